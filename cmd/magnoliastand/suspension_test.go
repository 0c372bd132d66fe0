package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"magnoliastand.example/clock/clocktest"
)

const (
	// suspensionSignal makes a program that a test has started see a suspension of its machine
	// that has just ended.
	suspensionSignal = syscall.SIGUSR1
	// simulatedSuspension is the length of that suspension.
	simulatedSuspension = 3 * time.Second
)

// suspendOnSignal simulates a suspension at each suspensionSignal.
func suspendOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, suspensionSignal)
	go func() {
		for range signals {
			clocktest.Suspend(simulatedSuspension)
		}
	}()
}
