package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"magnoliastand.example/api"
)

// Faults are the ratios of requests, from 0 to 1, that an endpoint treats
// wrongly. Their sum must be at most 1.
type Faults struct {
	// Refuse answers that the request was not accepted.
	Refuse float64 `json:"refuse,omitempty"`
	// Crossed runs the request and answers with another id.
	Crossed float64 `json:"crossed,omitempty"`
	// Short runs the request and ends the answer early.
	Short float64 `json:"short,omitempty"`
	// Doubled runs the request and answers twice on the connection.
	Doubled float64 `json:"doubled,omitempty"`
	// Late runs the request and answers LateBy after its run time.
	Late   float64      `json:"late,omitempty"`
	LateBy api.Duration `json:"late_by,omitempty"`
	// Hang accepts the request and never answers.
	Hang float64 `json:"hang,omitempty"`
	// Cut runs the request and closes the connection without an answer.
	Cut float64 `json:"cut,omitempty"`
	// Fail runs the request and answers status 500.
	Fail float64 `json:"fail,omitempty"`
}

type fault uint8

const (
	faultNone fault = iota
	faultRefuse
	faultCrossed
	faultShort
	faultDoubled
	faultLate
	faultHang
	faultCut
	faultFail
)

// plan is what an endpoint will do with one accepted request.
type plan struct {
	fault   fault
	runTime time.Duration
}

func (f Faults) draw(rng *rand.Rand) fault {
	x := rng.Float64()
	ratios := [...]float64{f.Refuse, f.Crossed, f.Short, f.Doubled, f.Late, f.Hang, f.Cut, f.Fail}
	for i, ratio := range ratios {
		if x < ratio {
			return faultRefuse + fault(i)
		}
		x -= ratio
	}
	return faultNone
}

// answeredID returns the id of the request that the answer to id is for.
func (f fault) answeredID(id string) string {
	if f == faultCrossed {
		return id + "-crossed"
	}
	return id
}

// write answers a request that ran.
func (f fault) write(w http.ResponseWriter, id string, answer []byte) {
	status := http.StatusOK
	switch f {
	case faultFail:
		status = http.StatusInternalServerError
	case faultShort:
		writeRaw(w, rawAnswer(id, answer, len(answer)/2))
		return
	case faultDoubled:
		once := rawAnswer(id, answer, len(answer))
		writeRaw(w, append(once, once...))
		return
	case faultCut:
		writeRaw(w, nil)
		return
	}
	h := w.Header()
	h.Set(api.HeaderRequestID, id)
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// rawAnswer returns an HTTP/1.1 answer that announces all of body and contains
// its first n bytes.
func rawAnswer(id string, body []byte, n int) []byte {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", api.HeaderRequestID, id, len(body))
	return append([]byte(head), body[:n]...)
}

// writeRaw writes raw bytes and closes the connection.
func writeRaw(w http.ResponseWriter, raw []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write(raw)
	_ = conn.Close()
}

// Delay is a distribution of run times: Min, plus an exponential part of mean
// Mean, bounded by Max if Max is positive.
type Delay struct {
	Min  time.Duration
	Mean time.Duration
	Max  time.Duration
}

func (d Delay) draw(rng *rand.Rand) time.Duration {
	v := d.Min
	if d.Mean > 0 {
		v += time.Duration(rng.ExpFloat64() * float64(d.Mean))
	}
	if d.Max > 0 {
		v = min(v, d.Max)
	}
	return v
}
