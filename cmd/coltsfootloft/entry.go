package main

import (
	"context"
	"flag"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"

	"coltsfootloft/io/edge"
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
	signals *signals
	path    string
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
they come to rest. A second one changes nothing. Without the flag the file is named by ` + settingsEnv + `.
Exit codes: 0 left in good order, 1 failed, 2 bad settings.
`
}

// SetFlags declares the flag.
func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", os.Getenv(settingsEnv), "`file` with process settings in JSON with comments")
}

// Execute runs the host until a signal ends it and returns the exit code.
func (c *entryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	out := startOutput(os.Stdout, "json")
	log, err := out.logger("")
	if err != nil {
		panic(err) // the default level is known
	}
	ctx, stop := c.signals.context(ctx, log, false)
	defer stop()
	file := &settingsFile{path: c.path}
	settings, err := file.load(ctx, log)
	if err == nil {
		log, err = out.logger(settings.LogLevel)
	}
	switch {
	case ctx.Err() != nil:
		return out.end(log, nil, subcommands.ExitSuccess, "signal before the settings were read")
	case err != nil:
		complain(err)
		return out.end(log, err, subcommands.ExitUsageError, "settings not valid")
	}
	runtime.GOMAXPROCS(1) // a host has a fraction of one core
	debug.SetGCPercent(entryGCPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryShare))
	go file.follow(ctx, c.signals.hangup, settings, log)
	log.Info("host starting", "name", settings.Name, "domain", settings.Domain, "listen", settings.Listen)
	host := edge.Build(settings, log)
	host.CountDroppedLines(out.writer.Dropped)
	if err := host.Run(ctx); err != nil {
		return out.end(log, err, subcommands.ExitFailure, "failed")
	}
	return out.end(log, nil, subcommands.ExitSuccess, "signal")
}
