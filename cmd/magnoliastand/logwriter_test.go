package main

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
)

// logOutput is an output for log lines whose writes may block, fail or be partial.
type logOutput struct {
	mu     sync.Mutex
	writes [][]byte
	// before, if set, is called before each write. It may block, and returns how
	// many bytes are taken and the error.
	before func(n int) (int, error)
}

func (o *logOutput) Write(b []byte) (int, error) {
	n, err := len(b), error(nil)
	if o.before != nil {
		n, err = o.before(n)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes = append(o.writes, bytes.Clone(b[:n]))
	return n, err
}

func (o *logOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(bytes.Join(o.writes, nil))
}

const unlimited = 1 << 30

// checkWholeLines checks that each line of a text is one of the lines logged, or
// reports drops.
func checkWholeLines(t *testing.T, text, line string) (lines, reports int) {
	t.Helper()
	for l := range strings.Lines(text) {
		switch {
		case l == line:
			lines++
		case strings.Contains(l, "log lines dropped") && strings.HasSuffix(l, "\n"):
			reports++
		default:
			t.Errorf("torn line %q", l)
		}
	}
	return lines, reports
}

func TestLogLinesAreGatheredIntoAtomicWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out logOutput
		w := newLineWriter(&out, "d", unlimited)
		line := strings.Repeat("x", 199) + "\n"
		const lines = 1000
		for range lines {
			_, _ = w.WriteLevel(zerolog.InfoLevel, []byte(line))
		}
		time.Sleep(2 * logFlushInterval)
		if n, _ := checkWholeLines(t, out.text(), line); n != lines {
			t.Errorf("%d of %d lines written", n, lines)
		}
		for _, b := range out.writes {
			if len(b) > logChunkBytes {
				t.Errorf("a write of %d bytes", len(b))
			}
		}
		if len(out.writes) > 2*lines*len(line)/logChunkBytes {
			t.Errorf("%d writes", len(out.writes))
		}
		w.Close()
	})
}

// TestStuckLogOutputNeverBlocks logs a peak of 1,000 routine lines a second for
// 30 s while the output is stuck. Logging must not block, later lines that explain
// a failure must be kept, and the drops must be counted and reported.
func TestStuckLogOutputNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		out := logOutput{before: func(n int) (int, error) { <-release; return n, nil }}
		w := newLineWriter(&out, "d", unlimited)
		line, failure := strings.Repeat("r", 199)+"\n", strings.Repeat("f", 199)+"\n"
		const lines, failures = 30_000, 500
		for i := range lines {
			_, _ = w.WriteLevel(zerolog.InfoLevel, []byte(line))
			if i%(lines/failures) == 0 {
				_, _ = w.WriteLevel(zerolog.WarnLevel, []byte(failure))
			}
			time.Sleep(time.Millisecond)
		}
		close(release)
		time.Sleep(time.Second)
		text := out.text()
		if n := strings.Count(text, failure); n != failures {
			t.Errorf("%d of %d lines of failures written", n, failures)
		}
		written, reports := checkWholeLines(t, strings.ReplaceAll(text, failure, ""), line)
		dropped := int(testutil.ToFloat64(w.dropped.WithLabelValues("routine")))
		if written+dropped != lines || dropped == 0 || reports != 1 {
			t.Errorf("%d lines written and %d dropped of %d, %d reports", written, dropped, lines, reports)
		}
		w.Close()
	})
}

// TestSlowLogOutputKeepsLinesWhole lets the output take a part of each write, and
// fail now and then.
func TestSlowLogOutputKeepsLinesWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writes := 0
		out := logOutput{before: func(n int) (int, error) {
			time.Sleep(time.Millisecond)
			if writes++; writes%5 == 0 {
				return n / 3, errors.New("resource temporarily unavailable")
			}
			return n, nil
		}}
		w := newLineWriter(&out, "d", unlimited)
		line := strings.Repeat("x", 199) + "\n"
		const lines = 2000
		for range lines {
			_, _ = w.WriteLevel(zerolog.InfoLevel, []byte(line))
		}
		time.Sleep(time.Minute)
		if n, _ := checkWholeLines(t, out.text(), line); n != lines {
			t.Errorf("%d of %d lines written", n, lines)
		}
		w.Close()
	})
}

func TestRateOfRoutineLogLinesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out logOutput
		const bytesPerSecond, seconds = 50_000, 10
		w := newLineWriter(&out, "d", bytesPerSecond)
		line, failure := strings.Repeat("r", 199)+"\n", strings.Repeat("f", 199)+"\n"
		for range seconds * 1000 {
			_, _ = w.WriteLevel(zerolog.InfoLevel, []byte(line))
			_, _ = w.WriteLevel(zerolog.ErrorLevel, []byte(failure))
			time.Sleep(time.Millisecond)
		}
		w.Close()
		routine := strings.Count(out.text(), line) * len(line)
		if most := (seconds + logBurst) * bytesPerSecond; routine > most || routine < most*9/10 {
			t.Errorf("%d bytes of routine lines, want up to %d", routine, most)
		}
		if n := strings.Count(out.text(), failure); n != seconds*1000 {
			t.Errorf("%d of %d lines of failures written", n, seconds*1000)
		}
	})
}
