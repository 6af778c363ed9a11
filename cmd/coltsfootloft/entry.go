package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/google/subcommands"

	"coltsfootloft/core/conf"
	"coltsfootloft/io/edge"
	"coltsfootloft/io/logs"
)

const (
	// settingsVariable names the file of process settings.
	settingsVariable = "COLTSFOOTLOFT_CONFIG"
	// memoryShare is the part of the host's memory at which the collector works
	// harder; the rest is for what the runtime does not count.
	memoryShare = 0.6
	// entryGCPercent is lower than that of serve: an entry host pays for its peak
	// of memory, and its processor is idle for the most part.
	entryGCPercent = 60
)

// entryCommand runs one entry host on the users' platform.
type entryCommand struct {
	path string
}

// Name returns the name of the command.
func (*entryCommand) Name() string { return "entry" }

// Synopsis returns a line about the command.
func (*entryCommand) Synopsis() string { return "run an entry host on the users' platform" }

// Usage returns how to call the command.
func (*entryCommand) Usage() string {
	return `entry [-settings FILE]
Runs an entry host on the users' platform until SIGTERM, which makes it leave: it is
not ready any more, serves on until the balancer has seen it, and ends its sessions as
they come to rest. Without the flag the file is named by ` + settingsVariable + `.
Exit codes: 0 left in good order, 1 failed, 2 bad settings.
`
}

// SetFlags adds the flag.
func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", os.Getenv(settingsVariable), "`file` with process settings in JSON with comments")
}

// Execute runs the host.
func (c *entryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := conf.LoadEntry(c.path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	ring := logs.NewRing(os.Stdout)
	done := make(chan struct{})
	written := make(chan struct{})
	go func() {
		defer close(written)
		ring.Run(done)
	}()
	defer func() {
		close(done)
		<-written
	}()
	log, err := logs.Maker{
		Output: ring,
		Format: "json",
		Level:  settings.LogLevel,
	}.Logger()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	runtime.GOMAXPROCS(1) // a host has a part of one core
	debug.SetGCPercent(entryGCPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryShare))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	go func() {
		for range hangup {
			c.reload(settings, log)
		}
	}()
	log.Info("host starting", "name", settings.Name, "domain", settings.Domain, "listen", settings.Listen)
	if err := edge.Build(settings, log).Run(ctx); err != nil {
		log.Error(err, "host ended")
		return subcommands.ExitFailure
	}
	log.Info("host ended")
	return subcommands.ExitSuccess
}

// reload reads the settings again. What they change about addresses takes effect at
// the next start; until then the host goes on as it is.
func (c *entryCommand) reload(running conf.EntrySettings, log logr.Logger) {
	now, err := conf.LoadEntry(c.path)
	if err != nil {
		log.Error(err, "settings not reloaded; the running ones stay")
		return
	}
	log.Info("settings read again", "changed", now != running)
}
