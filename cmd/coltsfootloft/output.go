package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/subcommands"

	"coltsfootloft/io/logs"
)

// outputTimeout is how long the end of the process waits for a reader of its output.
const outputTimeout = time.Second

// output is the log of a host. Neither a reader that is slow nor one that has ended
// delays or ends the host.
type output struct {
	format  string
	writer  *logs.AsyncWriter
	done    chan struct{}
	flushed chan struct{}
}

// startOutput starts writing lines in the background.
func startOutput(to io.Writer, format string) *output {
	o := &output{
		format:  format,
		writer:  logs.NewAsyncWriter(to),
		done:    make(chan struct{}),
		flushed: make(chan struct{}),
	}
	o.writer.Format = format
	go func() {
		defer close(o.flushed)
		o.writer.Run(o.done)
	}()
	return o
}

// logger returns a logger that writes lines of this level and above.
func (o *output) logger(level string) (logr.Logger, error) {
	return logs.Config{
		Output: o.writer,
		Format: o.format,
		Level:  level,
	}.Logger()
}

// end writes the last line, with the reason for the end of the process, and returns the exit
// code.
func (o *output) end(log logr.Logger, err error, code subcommands.ExitStatus, reason string) subcommands.ExitStatus {
	if err != nil {
		log.Error(err, "host ended", "reason", reason, "exit_code", int(code))
	} else {
		log.Info("host ended", "reason", reason, "exit_code", int(code))
	}
	close(o.done)
	select {
	case <-o.flushed:
	case <-time.After(outputTimeout):
	}
	return code
}

// complain prints an error to standard error, unless nobody reads that.
func complain(err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		fmt.Fprintln(os.Stderr, err)
	}()
	select {
	case <-done:
	case <-time.After(outputTimeout):
	}
}
