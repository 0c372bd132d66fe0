package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
	ends  []func()
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	return &record{file: f, begun: time.Now()}
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// atEnd registers what is done before the process exits, last first.
func (r *record) atEnd(f func()) { r.ends = append(r.ends, f) }

// finish ends the case.
func (r *record) finish(code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("result: %s (exit %d)", text, code)
	for i := len(r.ends) - 1; i >= 0; i-- {
		r.ends[i]()
	}
	_ = r.file.Close()
	fmt.Println(text)
	os.Exit(code)
}

// must ends the case as not run after an error.
func (r *record) must(err error) {
	if err != nil {
		r.finish(exitNotRun, "the case could not run: %v", err)
	}
}

// await polls a condition.
func await(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
