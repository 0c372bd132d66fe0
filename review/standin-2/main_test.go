package standin

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// longest is how long a case may take.
const longest = 112 * time.Second

// verdict is what a case has found: broken is "" if the rule held.
type verdict struct{ broken string }

// cases are the cases by name.
var cases = map[string]func(*world) (verdict, error){
	"wave-entry":  waveEntry,
	"ended-entry": endedEntry,
	"two-waves":   twoWaves,
	"overlap":     overlap,
	"quota":       quota,
	"advice":      adviceLife,
	"first-start": firstStart,
	"hopeless":    hopeless,
	"budget":      budget,
}

// TestMain makes the test binary act as the program: `go test -c` builds it, and the names of
// the users' pages stay in tests.
func TestMain(*testing.M) { os.Exit(play()) }

// play plays a case and returns the exit code.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: review-2 CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	w, err := newWorld(rec, dir, 3, 1)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.end()
	go w.limit()
	rec.add("case %s, trouble %t", os.Args[1], w.trouble)
	v, err := cases[os.Args[1]](w)
	switch {
	case errors.Is(err, errCannotRun), err != nil:
		rec.add("not played: %v", err)
		fmt.Println("not played:", err)
		return 2
	case v.broken != "":
		rec.add("BROKEN: %s", v.broken)
		fmt.Println("BROKEN:", v.broken)
		return 1
	}
	rec.add("held")
	fmt.Println("held")
	return 0
}

// limit ends a case that takes too long or is told to stop, with all that it started.
func (w *world) limit() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-time.After(longest):
	case <-told:
	case <-w.stop:
		return
	}
	w.end()
	os.Exit(2)
}
