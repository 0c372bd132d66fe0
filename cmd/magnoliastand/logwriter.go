package main

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// logChunkBytes bounds one write. Writes of up to PIPE_BUF bytes to a pipe are
	// atomic, so lines stay whole when the reader is slow.
	logChunkBytes = 4096
	// logQueueBytes bounds the lines that wait for the output. Routine lines may
	// use half of it.
	logQueueBytes = 1 << 20
	// logFlushInterval bounds how long a line waits to be written with others.
	logFlushInterval = 100 * time.Millisecond
	// logRetryInterval is the delay after a failed write.
	logRetryInterval = 100 * time.Millisecond
	// logBurst is the time in seconds for which routine lines may exceed their
	// rate.
	logBurst = 2
	// logDrainTime bounds the wait for the lines of the stop.
	logDrainTime = 500 * time.Millisecond
)

// lineWriter writes log lines to an output without ever blocking the logger.
// Lines below the level warn are routine: they are dropped first when the output
// is too slow or their rate exceeds the limit. Dropped lines are counted, and a
// line reports their number. It is a zerolog.LevelWriter.
type lineWriter struct {
	out     io.Writer
	name    string
	limiter *rate.Limiter
	dropped *prometheus.CounterVec

	mu       sync.Mutex
	queue    [][]byte
	bytes    int
	flushing bool
	closed   bool
	// routine and other are the numbers of lines dropped since the last report.
	routine, other int

	wake chan struct{}
	done chan struct{}
}

// newLineWriter returns a writer that lets routine lines pass at up to
// bytesPerSecond. A line that reports drops names the daemon.
func newLineWriter(out io.Writer, name string, bytesPerSecond int) *lineWriter {
	w := &lineWriter{
		out: out, name: name, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), logBurst*bytesPerSecond),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliastand_log_lines_dropped_total", Help: "Log lines dropped, by kind."}, []string{"kind"}),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. The line is not routine.
func (w *lineWriter) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. It never fails.
func (w *lineWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	routine := level < zerolog.WarnLevel
	limit := logQueueBytes
	if routine {
		limit /= 2
	}
	if w.closed || w.bytes+len(line) > limit || routine && !w.limiter.AllowN(time.Now(), len(line)) {
		w.countDrop(routine)
		return len(line), nil
	}
	w.queue = append(w.queue, bytes.Clone(line))
	w.bytes += len(line)
	switch {
	case w.bytes >= logChunkBytes:
		w.flushSoon()
	case !w.flushing:
		w.flushing = true
		time.AfterFunc(logFlushInterval, w.flushSoon)
	}
	return len(line), nil
}

func (w *lineWriter) countDrop(routine bool) {
	if routine {
		w.routine++
		w.dropped.WithLabelValues("routine").Inc()
		return
	}
	w.other++
	w.dropped.WithLabelValues("other").Inc()
}

func (w *lineWriter) flushSoon() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes the queued lines until the writer is closed.
func (w *lineWriter) run() {
	defer close(w.done)
	for range w.wake {
		for {
			chunk, closed := w.nextChunk()
			if len(chunk) == 0 {
				if closed {
					return
				}
				break
			}
			w.writeChunk(chunk)
		}
	}
}

// nextChunk removes the lines of one write from the queue. If nothing is queued
// and lines were dropped, it returns the line that reports them.
func (w *lineWriter) nextChunk() (chunk []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for n < len(w.queue) && (n == 0 || len(chunk)+len(w.queue[n]) <= logChunkBytes) {
		chunk = append(chunk, w.queue[n]...)
		n++
	}
	w.queue = w.queue[n:]
	w.bytes -= len(chunk)
	if n == 0 {
		w.queue, w.flushing = nil, false
		chunk = w.reportDrops()
	}
	return chunk, w.closed
}

// reportDrops returns a line with the numbers of dropped lines, or nil.
func (w *lineWriter) reportDrops() []byte {
	if w.routine+w.other == 0 {
		return nil
	}
	line := fmt.Appendf(nil, `{"level":"warn","daemon":%q,"routine":%d,"other":%d,"time":%q,"message":"log lines dropped"}`+"\n",
		w.name, w.routine, w.other, time.Now().Format(time.RFC3339))
	w.routine, w.other = 0, 0
	return line
}

// writeChunk writes a chunk, and after an error what is left of it again, until
// it is written or the writer is closed.
func (w *lineWriter) writeChunk(chunk []byte) {
	for len(chunk) > 0 {
		n, err := w.out.Write(chunk)
		chunk = chunk[n:]
		if err == nil {
			continue
		}
		if w.isClosed() {
			return
		}
		time.Sleep(logRetryInterval)
	}
}

func (w *lineWriter) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// Close writes the queued lines and stops the writer. It waits up to
// logDrainTime. Later lines are dropped.
func (w *lineWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.flushSoon()
	select {
	case <-w.done:
	case <-time.After(logDrainTime):
	}
}

// Collectors returns the metrics of the writer.
func (w *lineWriter) Collectors() []prometheus.Collector { return []prometheus.Collector{w.dropped} }
