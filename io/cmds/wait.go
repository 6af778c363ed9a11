package cmds

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"

	"coltsfootloft/io/admin"
)

const (
	// defaultWait is how long a change may take to be in force everywhere.
	defaultWait = 30 * time.Second
	// askInterval is the pause between two looks at the fleet.
	askInterval = 200 * time.Millisecond
)

// waitFlags are the flags of commands that wait for a change to be in force.
type waitFlags struct {
	adminFlags
	wait  bool
	limit time.Duration
}

func (w *waitFlags) set(t *Tools, f *flag.FlagSet) {
	w.tools = t
	w.adminFlags.set(f)
	f.BoolVar(&w.wait, "wait", false, "return once every live host has the change in force")
	f.DurationVar(&w.limit, "wait-limit", defaultWait, "how long to wait")
}

// await returns once every live host reports the revision in force.
func (t *Tools) await(ctx context.Context, revision uint64, w *waitFlags) subcommands.ExitStatus {
	if !w.wait {
		return ExitDone
	}
	begun := t.clock().Now()
	for {
		s, err := w.status(ctx)
		behind := hostsBehind(s, revision)
		took := t.clock().Since(begun)
		if err == nil && len(behind) == 0 {
			fmt.Fprintf(t.Out, "in force on %d hosts after %s\n", live(s), took.Round(time.Millisecond))
			return ExitDone
		}
		if took >= w.limit || ctx.Err() != nil {
			return t.notInForce(revision, behind, err)
		}
		select {
		case <-ctx.Done():
		case <-t.clock().After(askInterval):
		}
	}
}

func (t *Tools) notInForce(revision uint64, behind []string, err error) subcommands.ExitStatus {
	fmt.Fprintf(t.Err, "revision %d is written, but not in force everywhere yet\n", revision)
	if err != nil {
		fmt.Fprintln(t.Err, err)
	}
	if len(behind) > 0 {
		fmt.Fprintln(t.Err, "behind: "+strings.Join(behind, ", "))
	}
	return ExitWaiting
}

// hostsBehind names the live hosts that don't report the revision in force.
func hostsBehind(s admin.Status, revision uint64) []string {
	var r []string
	if s.Settings.Revision < revision {
		r = append(r, fmt.Sprintf("%s (revision %d)", s.Host, s.Settings.Revision))
	}
	for _, h := range s.Hosts {
		if h.Alive && h.Name != s.Host && h.Revision < revision {
			r = append(r, fmt.Sprintf("%s (revision %d)", h.Name, h.Revision))
		}
	}
	return r
}

func live(s admin.Status) int {
	n := 0
	for _, h := range s.Hosts {
		if h.Alive {
			n++
		}
	}
	return max(n, 1)
}
