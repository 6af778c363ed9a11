package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
)

// signals receives the signals to the process from the beginning of main on. Those that
// arrive before a command takes them wait.
type signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	hangup chan os.Signal // SIGHUP
}

func catchSignals() *signals {
	s := &signals{
		stop:   make(chan os.Signal, 4),
		hangup: make(chan os.Signal, 1),
	}
	signal.Notify(s.hangup, syscall.SIGHUP)
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// exit ends the process at the first signal, with the exit code that a shell reports.
func (s *signals) exit() {
	const shellBase = 128
	var got os.Signal
	select {
	case got = <-s.stop:
	case got = <-s.hangup:
	}
	if n, ok := got.(syscall.Signal); ok {
		os.Exit(shellBase + int(n))
	}
	os.Exit(1)
}

// context returns a context that ends with the first signal to stop. Later ones are logged,
// unless secondEnds is set: then the second ends the process at once.
//
// Writes to a broken standard output or error fail from then on, and no longer end the
// process.
func (s *signals) context(parent context.Context, log logr.Logger, secondEnds bool) (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGPIPE)
	ctx, cancel := context.WithCancel(parent)
	go func() {
		for got := range s.stop {
			if secondEnds {
				signal.Stop(s.stop)
			}
			log.Info("signal received; stopping", "signal", got.String())
			cancel()
		}
	}()
	return ctx, cancel
}
