// Package main plays the cases of the third review: it starts the project's own programs on
// loopback addresses, beside stand-ins of clients, executors and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// TestMain makes the test binary act as the program, as in the earlier reviews: a test keeps the names
// of the users' pages out of sources other than tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*record, bool) bool{"flood": flood, "crash": crashes}
	play := cases[os.Args[1]]
	if play == nil {
		cannotRun("no case %s", os.Args[1])
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		cannotRun("ended from outside")
	}()
	rec := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", os.Args[1], trouble)
	held := play(rec, trouble)
	if held {
		rec.printf("the rule held")
		os.Exit(0)
	}
	rec.printf("the rule was broken")
	os.Exit(1)
}
