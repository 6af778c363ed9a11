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
	// settingsEnv is the environment variable with the path of the settings file.
	settingsEnv = "COLTSFOOTLOFT_CONFIG"
	// memoryShare is the fraction of memory_mb that is set as the soft limit
	// of the Go runtime, near which it collects garbage more often. The rest is for
	// memory that the runtime does not count.
	memoryShare = 0.6
	// entryGCPercent is lower than gcPercent of the command serve: an entry host is
	// charged for its peak memory, and its processor is mostly idle.
	entryGCPercent = 60
)

// entryCommand runs one entry host on the users' platform.
type entryCommand struct {
	path string
}

// Name returns the name of the command.
func (*entryCommand) Name() string { return "entry" }

// Synopsis returns a one-line description of the command.
func (*entryCommand) Synopsis() string { return "run an entry host on the users' platform" }

// Usage returns the help text of the command.
func (*entryCommand) Usage() string {
	return `entry [-settings FILE]
Runs an entry host on the users' platform until SIGTERM, which makes it leave: it is
not ready any more, serves on until the balancer has seen it, and ends its sessions as
they come to rest. Without the flag the file is named by ` + settingsEnv + `.
Exit codes: 0 left in good order, 1 failed, 2 bad settings.
`
}

// SetFlags declares the flag.
func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", os.Getenv(settingsEnv), "`file` with process settings in JSON with comments")
}

// Execute runs the host until a signal ends it and returns the exit code.
func (c *entryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := conf.LoadEntry(c.path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	writer := logs.NewAsyncWriter(os.Stdout)
	done := make(chan struct{})
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		writer.Run(done)
	}()
	defer func() {
		close(done)
		<-flushed
	}()
	log, err := logs.Config{
		Output: writer,
		Format: "json",
		Level:  settings.LogLevel,
	}.Logger()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	runtime.GOMAXPROCS(1) // a host has a fraction of one core
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

// reload reads the settings file again and logs whether it differs from the running
// settings. The host keeps running with the old ones; new ones, such as addresses,
// take effect at the next start.
func (c *entryCommand) reload(running conf.EntrySettings, log logr.Logger) {
	loaded, err := conf.LoadEntry(c.path)
	if err != nil {
		log.Error(err, "settings file not reloaded; keeping the running settings")
		return
	}
	log.Info("settings file read again", "changed", loaded != running)
}
