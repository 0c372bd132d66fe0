package main

import (
	"bufio"
	"io"
	"sync"
	"time"
)

const (
	// logBufferBytes is the size of the lines that are written at once.
	logBufferBytes = 32 << 10
	// logFlushInterval bounds how long a line waits to be written.
	logFlushInterval = 100 * time.Millisecond
)

// batchWriter gathers log lines, so that a busy leader does not pay a system
// call for each. A timer runs only while lines wait.
type batchWriter struct {
	mu      sync.Mutex
	buf     *bufio.Writer
	pending bool
}

func newBatchWriter(w io.Writer) *batchWriter {
	return &batchWriter{buf: bufio.NewWriterSize(w, logBufferBytes)}
}

// Write implements io.Writer.
func (b *batchWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.pending {
		b.pending = true
		time.AfterFunc(logFlushInterval, func() { _ = b.Flush() }) // the next write reports the error again
	}
	if b.buf.Available() < len(line) {
		if err := b.buf.Flush(); err != nil { // lines stay whole
			return 0, err
		}
	}
	return b.buf.Write(line)
}

// Flush writes what waits.
func (b *batchWriter) Flush() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = false
	return b.buf.Flush()
}
