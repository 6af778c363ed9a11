package main

import (
	"context"
	"flag"
	"os"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
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
	signals *signals
	loader  conf.Loader
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
		complain(err)
		out := startOutput(os.Stderr, "text")
		log, _ := out.logger("")
		return out.end(log, nil, subcommands.ExitUsageError, "settings not valid")
	}
	out := startOutput(os.Stderr, settings.LogFormat())
	log, err := out.logger(settings.LogLevel())
	if err != nil {
		complain(err)
		return subcommands.ExitUsageError
	}
	metrics.NewGauge(logs.DroppedMetric, func() float64 { return float64(out.writer.Dropped()) })
	ctx, stop := c.signals.context(ctx, log, true)
	defer stop()
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" && settings.MemoryLimit() > 0 {
		debug.SetMemoryLimit(settings.MemoryLimit() / 4 * 3) // the rest is for what the runtime does not count or collects too late
	}
	h, err := host.Build(settings, clockwork.NewRealClock(), log)
	if err != nil {
		return out.end(log, err, subcommands.ExitUsageError, "host not created")
	}
	go func() {
		for range c.signals.hangup {
			log.Info("hangup received; process settings are read at the next start only")
		}
	}()
	if err := h.Run(ctx); err != nil {
		return out.end(log, err, subcommands.ExitFailure, "failed")
	}
	return out.end(log, nil, subcommands.ExitSuccess, "drained")
}
