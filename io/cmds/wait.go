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
	// defaultWait is the default time to wait until a change is in force on every
	// live host.
	defaultWait = 30 * time.Second
	// pollInterval is the pause between two requests for the hosts' revisions.
	pollInterval = 200 * time.Millisecond
)

// waitFlags are the flags of commands that can wait until a change is in force.
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

// waitInForce waits until every live host reports the revision in force and returns
// ExitDone, or ExitWaiting once the limit has passed or ctx ends. Without -wait it
// returns at once.
func (t *Tools) waitInForce(ctx context.Context, revision uint64, w *waitFlags) subcommands.ExitStatus {
	if !w.wait {
		return ExitDone
	}
	start := t.clock().Now()
	for {
		revisions, err := w.revisions(ctx)
		behind := hostsBehind(revisions, revision)
		elapsed := t.clock().Since(start)
		if err == nil && len(behind) == 0 {
			t.printf("in force on %d hosts after %s\n", len(revisions), elapsed.Round(time.Millisecond))
			return ExitDone
		}
		if elapsed >= w.limit || ctx.Err() != nil {
			return t.notInForce(revision, behind, err)
		}
		select {
		case <-ctx.Done():
		case <-t.clock().After(pollInterval):
		}
	}
}

// revisions requests the status from each admin port in -admin and returns the newest
// revision known for each live host. If a port fails, it returns the revisions from
// the others and the last error.
func (w *waitFlags) revisions(ctx context.Context) (map[string]uint64, error) {
	newest := make(map[string]uint64)
	var failed error
	for _, address := range strings.Split(w.admin, ",") {
		flags := adminFlags{
			tools: w.tools,
			admin: address,
		}
		s, err := flags.status(ctx)
		if err != nil {
			failed = err
			continue
		}
		newest[s.Host] = max(newest[s.Host], s.Settings.Revision)
		for _, h := range s.Hosts {
			if h.Alive {
				newest[h.Name] = max(newest[h.Name], h.Revision)
			}
		}
	}
	return newest, failed
}

// notInForce prints why the wait for a revision has ended early and returns
// ExitWaiting.
func (t *Tools) notInForce(revision uint64, behind []string, err error) subcommands.ExitStatus {
	t.printErrf("revision %d is written, but not in force everywhere yet\n", revision)
	if err != nil {
		t.printErrf("%v\n", err)
	}
	if len(behind) > 0 {
		t.printErrf("%v\n", "behind: "+strings.Join(behind, ", "))
	}
	return ExitWaiting
}

// hostsBehind returns the hosts that are not known to have the revision in force, by
// name and with their last known revision.
func hostsBehind(revisions map[string]uint64, revision uint64) []string {
	var r []string
	for _, h := range slices.Sorted(maps.Keys(revisions)) {
		if revisions[h] < revision {
			r = append(r, fmt.Sprintf("%s (revision %s)", h, formatRevision(revisions[h])))
		}
	}
	return r
}
