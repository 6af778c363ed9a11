// Command soak runs many entry hosts as separate processes on loopback, beside stand-ins of the
// users' platform and of its databases, injects faults, and counts each end of a process with its
// reason. It fails if a process ends by itself or has too much memory, or if a promise to callers is
// broken. It then prints the seed and keeps settings, logs and the record around the problems.
//
//	go run ./cmd/soak -hosts 126 -for 3m -seed 1
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// options are the flags.
type options struct {
	seed     uint64
	duration time.Duration
	hosts    int
	program  string
	faults   []string
	out      string
	memoryMB int
}

func main() {
	var o options
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the choice of moves")
	flag.DurationVar(&o.duration, "for", time.Minute, "duration of the faults")
	flag.IntVar(&o.hosts, "hosts", 6, "number of hosts")
	flag.StringVar(&o.program, "program", "", "path of the `program` coltsfootloft; built if empty")
	faults := flag.String("faults", strings.Join(allMoves(), ","), "`kinds` of fault")
	flag.StringVar(&o.out, "out", os.TempDir(), "`folder` for the logs of a run that fails")
	flag.IntVar(&o.memoryMB, "memory-mb", 136, "limit of the resident memory of a host, in MB")
	flag.Parse()
	o.faults = strings.Split(*faults, ",")
	if err := o.run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// run runs the whole, and fails if something is wrong. Nothing that it starts outlives it.
func (o options) run(ctx context.Context) error {
	// A signal that this process ignores would be ignored by the hosts as they start.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	for _, f := range o.faults {
		if moves[f] == nil {
			return errors.Errorf("unknown kind of fault %q; kinds are %s", f, strings.Join(allMoves(), ", "))
		}
	}
	if err := os.MkdirAll(o.out, 0o700); err != nil {
		return errors.Wrap(err, "folder for logs")
	}
	folder, err := os.MkdirTemp(o.out, fmt.Sprintf("soak-%d-", o.seed))
	if err != nil {
		return errors.Wrap(err, "folder for logs")
	}
	if o.program == "" {
		o.program = filepath.Join(folder, "coltsfootloft")
		// As the platform builds it: see deploy/system.toml.
		build := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", o.program, "coltsfootloft/cmd/coltsfootloft") //nolint:gosec // the path is the operator's
		if out, err := build.CombinedOutput(); err != nil {
			return errors.Wrap(err, string(out))
		}
	}
	s, err := newSoak(ctx, o, folder)
	if err != nil {
		return err
	}
	return s.play(ctx)
}
