package cmds

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
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
	f.BoolVar(&w.wait, "wait", false, "return once every live host has the change in force; -admin may name several hosts, separated by commas")
	f.DurationVar(&w.limit, "wait-limit", defaultWait, "how long to wait")
}

// await returns once every live host reports the revision in force.
func (t *Tools) await(ctx context.Context, revision uint64, w *waitFlags) subcommands.ExitStatus {
	if !w.wait {
		return ExitDone
	}
	begun := t.clock().Now()
	for {
		seen, err := w.revisions(ctx)
		behind := hostsBehind(seen, revision)
		took := t.clock().Since(begun)
		if err == nil && len(behind) == 0 {
			t.printf("in force on %d hosts after %s\n", len(seen), took.Round(time.Millisecond))
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

// revisions asks every admin port given and returns the newest revision that is
// known of each live host.
func (w *waitFlags) revisions(ctx context.Context) (map[string]uint64, error) {
	seen := make(map[string]uint64)
	var failed error
	for _, address := range strings.Split(w.admin, ",") {
		one := adminFlags{
			tools: w.tools,
			admin: address,
		}
		s, err := one.status(ctx)
		if err != nil {
			failed = err
			continue
		}
		seen[s.Host] = max(seen[s.Host], s.Settings.Revision)
		for _, h := range s.Hosts {
			if h.Alive {
				seen[h.Name] = max(seen[h.Name], h.Revision)
			}
		}
	}
	return seen, failed
}

func (t *Tools) notInForce(revision uint64, behind []string, err error) subcommands.ExitStatus {
	t.complainf("revision %d is written, but not in force everywhere yet\n", revision)
	if err != nil {
		t.complainf("%v\n", err)
	}
	if len(behind) > 0 {
		t.complainf("%v\n", "behind: "+strings.Join(behind, ", "))
	}
	return ExitWaiting
}

// hostsBehind names the hosts that are not known to have the revision in force.
func hostsBehind(seen map[string]uint64, revision uint64) []string {
	var r []string
	for _, h := range slices.Sorted(maps.Keys(seen)) {
		if seen[h] < revision {
			r = append(r, fmt.Sprintf("%s (revision %s)", h, known(seen[h])))
		}
	}
	return r
}
