package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliastand.example/workload"
)

// The tests of this file guard against limits that a single client meets although it keeps within
// those that it is told.

const (
	// documentBytes and reportBytes are the largest bodies of the operators' listener.
	documentBytes, reportBytes = workload.MaxDocumentBytes, 4 << 20
	// slowBody is the time in which a slow body arrives.
	slowBody = 8 * time.Second
)

// padded fills a JSON object up to a size with white space.
func padded(object string, size int) string {
	return strings.TrimSuffix(object, "}") + strings.Repeat(" ", size-len(object)) + "}"
}

// sendBody sends a request on a connection of its own and returns the status of the response.
func sendBody(t *testing.T, address, target, fields string, body func(c net.Conn) error) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * convergence))
	begin(c, target, "Magnoliastand-Deadline-Ms: 60000\r\n"+fields+"\r\n")
	if err := body(c); err != nil {
		t.Errorf("%s: %v", target, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("%s: %v", target, err)
		return 0
	}
	text, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("%s: %d %s", target, resp.StatusCode, text)
	}
	return resp.StatusCode
}

// sendCalmly sends a body whole, slowly in pieces, and in chunks of one byte.
func sendCalmly(t *testing.T, address string, target func() string, body string) {
	t.Helper()
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	sendBody(t, address, target(), length, func(c net.Conn) error {
		_, err := io.WriteString(c, body)
		return err
	})
	sendBody(t, address, target(), length, func(c net.Conn) error {
		const pieces = 64
		for n := range pieces {
			time.Sleep(slowBody / pieces)
			if _, err := io.WriteString(c, body[n*len(body)/pieces:(n+1)*len(body)/pieces]); err != nil {
				return err
			}
		}
		return nil
	})
	sendBody(t, address, target(), "Transfer-Encoding: chunked\r\n", func(c net.Conn) error {
		w := bufio.NewWriter(c)
		for n := range len(body) {
			fmt.Fprintf(w, "1\r\n%s\r\n", body[n:n+1])
		}
		fmt.Fprint(w, "0\r\n\r\n")
		return w.Flush()
	})
}

func TestEdgeServesLargestBodyInCalm(t *testing.T) {
	s := newSystem(t, manyDescriptors, manyDescriptors)
	await(t, s.edge, "an answer", s.submit)
	body := padded(`{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":100,"estimate_ms":60}]}`, jobBytes)
	sendCalmly(t, s.callers(), func() string {
		s.jobs++
		return fmt.Sprintf("POST /q/%016x", s.jobs)
	}, body)
	s.edge.sample()
	s.edge.checkMemory(edgeMB)
}

func TestCoreServesLargestDocumentInCalm(t *testing.T) {
	s := newSystem(t, manyDescriptors, manyDescriptors)
	sendCalmly(t, s.control(), func() string { return "POST /config/put" }, padded(`{"version":2,"routes":[],"services":[{"name":"p"}],"tenants":[]}`, documentBytes))
	s.core.sample()
	s.core.checkMemory(coreMB)
}

func TestCoreServesLargestReportInCalm(t *testing.T) {
	s := newSystem(t, manyDescriptors, manyDescriptors)
	report := padded(`{"service":"p","address":"127.0.0.1:1","zone":"z","version":"v1","slots":8,"state":"ready","cold_ms":0,`+
		`"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a"],"current_time_ms":482113,"seq":4}`, reportBytes)
	sendCalmly(t, s.control(), func() string { return "POST /executors/w1/heartbeat" }, report)
	s.core.sample()
	s.core.checkMemory(coreMB)
}
