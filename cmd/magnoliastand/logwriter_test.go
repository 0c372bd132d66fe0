package main

import (
	"bytes"
	"strings"
	"testing"
)

// chunks keeps what is written at a time.
type chunks struct{ list []string }

func (c *chunks) Write(b []byte) (int, error) {
	c.list = append(c.list, string(bytes.Clone(b)))
	return len(b), nil
}

func TestLogLinesAreGatheredAndStayWhole(t *testing.T) {
	var out chunks
	w := newBatchWriter(&out)
	line := strings.Repeat("x", 1000) + "\n"
	const lines = 100
	for range lines {
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(strings.Join(out.list, ""), line); n != lines {
		t.Errorf("%d of %d lines written", n, lines)
	}
	if len(out.list) > 5 {
		t.Errorf("%d writes for %d lines", len(out.list), lines)
	}
	for _, c := range out.list {
		if !strings.HasSuffix(c, "\n") {
			t.Error("a line was cut")
		}
	}
}
