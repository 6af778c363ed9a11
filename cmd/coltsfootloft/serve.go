package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"

	"coltsfootloft/core/conf"
	"coltsfootloft/io/host"
	"coltsfootloft/io/logs"
)

// gcPercent is above Go's default of 100, for less processor time at the cost of
// memory, of which a host needs little.
const gcPercent = 400

// serveCommand runs one entry host.
type serveCommand struct {
	loader conf.Loader
}

// Name returns the name of the command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis returns a one-line description of the command.
func (*serveCommand) Synopsis() string { return "run an entry host" }

// Usage returns the help text of the command.
func (*serveCommand) Usage() string {
	return `serve [flags]
Runs an entry host until SIGTERM or SIGINT, which drain it: it takes no new callers,
lets running transactions finish and then exits. A second signal ends it at once.
Exit codes: 0 drained, 1 failed or not all sessions ended in time, 2 bad settings.
`
}

// SetFlags declares a flag for each process setting.
func (c *serveCommand) SetFlags(f *flag.FlagSet) { c.loader.SetFlags(f) }

// Execute runs the host until a signal ends it and returns the exit code.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, problems := c.loader.Load()
	if err := problems.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	log, err := logs.Config{
		Output: os.Stderr,
		Format: settings.LogFormat(),
		Level:  settings.LogLevel(),
	}.Logger()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" && settings.MemoryLimit() > 0 {
		debug.SetMemoryLimit(settings.MemoryLimit())
	}
	h, err := host.Build(settings, clockwork.NewRealClock(), log)
	if err != nil {
		log.Error(err, "creating the host")
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)
	if err := h.Run(ctx); err != nil {
		log.Error(err, "host ended")
		return subcommands.ExitFailure
	}
	log.Info("host ended")
	return subcommands.ExitSuccess
}
