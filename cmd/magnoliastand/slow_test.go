package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"
)

// TestSlowBodyIsCut sends the start of an announcement, a job, a request and a
// request that is refused, and then nothing: the daemon ends each connection instead of holding it for ever.
func TestSlowBodyIsCut(t *testing.T) {
	c := prepareCluster(t, []string{"oita"}, 1)
	c.appendSettings(c.members[0], "limits: {body_timeout: 5s}\n")
	c.start(c.members[0])
	c.setUp(20)
	lines := []string{"PUT /v1/endpoints/e1", "POST /v1/jobs", "POST /v1/queues/quote/requests", "POST /v1/queues/none/requests"}
	conns := make([]net.Conn, len(lines))
	for i, line := range lines {
		conn, err := net.Dial("tcp", c.members[0].callers)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", line)
		conns[i] = conn
	}
	for i, conn := range conns {
		if err := conn.SetReadDeadline(time.Now().Add(convergence)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: held for %s", lines[i], convergence)
		}
	}
}
