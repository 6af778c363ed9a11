package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"coltsfootloft/io/admin"
)

type status struct {
	tools *Tools
	adminFlags
	json bool
}

// Name returns status.
func (*status) Name() string { return "status" }

// Synopsis returns a one-line description of the command.
func (*status) Synopsis() string {
	return "show hosts, failure domains, groups, terms, primaries, lag and seats"
}

// Usage returns the help text of the command.
func (*status) Usage() string {
	return `status: show what one host knows of itself and of the fleet.

It asks the admin port of one host; other hosts may know more or less.
` + exitCodesHelp
}

// SetFlags declares the flags.
func (s *status) SetFlags(f *flag.FlagSet) {
	s.adminFlags.tools = s.tools
	s.set(f)
	f.BoolVar(&s.json, "json", false, "print JSON")
}

// Execute prints the status and returns the exit code.
func (s *status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if args, err := positional(f); err != nil || len(args) > 0 {
		return s.tools.usageError("status takes no arguments")
	}
	a, err := s.status(ctx)
	if err != nil {
		return s.tools.fail(err)
	}
	if s.json {
		return s.tools.printJSON(a)
	}
	printStatus(s.tools.Out, a)
	return ExitDone
}

func printStatus(w io.Writer, s admin.Status) {
	printf(w, "host %s in %s, version %s, %s, %d sessions\n", s.Host, s.Domain, s.Version, readiness(s), s.Sessions)
	printf(w, "settings: revision %d since %s, store %s\n", s.Settings.Revision,
		s.Settings.Since.UTC().Format(time.RFC3339), formatReachable(s.Settings.StoreReachable))
	for _, p := range s.Settings.Problems {
		printf(w, "problem: %s\n", p)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	printf(t, "\nHOST\tDOMAIN\tADDRESS\tSTATE\tREVISION\tSEATS\n")
	for _, h := range s.Hosts {
		printf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", h.Name, h.Domain, h.Address, hostState(h), formatRevision(h.Revision), formatSeats(h.Seats))
	}
	printf(t, "\nDOMAIN\tREGION\tSEATS\tTAKEN\tHOSTS\n")
	for _, d := range s.Domains {
		printf(t, "%s\t%s\t%d\t%d\t%d\n", d.Name, d.Region, d.Seats, d.Taken, d.Hosts)
	}
	printf(t, "\nGROUP\tDATABASE\tDOMAIN\tROLE\tTERM\tFENCE\tRECEIVED\tAPPLIED\tLAG\tAGE\tCONNECTIONS\n")
	for _, g := range s.Groups {
		for _, d := range g.Databases {
			printDatabase(t, g, d)
		}
	}
	if len(s.Accounts) == 0 {
		return
	}
	printf(t, "\nACCOUNT\tRATE HERE\tTOKENS\tWAITING\n")
	for _, a := range s.Accounts {
		printf(t, "%s\t%.1f/s\t%.1f\t%d\n", a.Name, a.Rate, a.Tokens, a.Waiting)
	}
}

func printDatabase(w io.Writer, g admin.GroupStatus, d admin.DatabaseStatus) {
	role := d.Role
	if d.Name == g.Primary {
		role = "PRIMARY"
	}
	if d.Leaving {
		role += ", leaving"
	}
	if !d.Known {
		printf(w, "%s\t%s\t%s\tno reading\t\t\t\t\t\t\t%d of %d\n", g.Name, d.Name, d.Domain, d.Connections, d.Limit)
		return
	}
	age := "unknown"
	if d.Age >= 0 {
		age = (time.Duration(d.Age) * time.Millisecond).String()
	}
	printf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%d of %d\n",
		g.Name, d.Name, d.Domain, role, d.Term, d.Fence, d.Received, d.Applied, d.Lag, age, d.Connections, d.Limit)
}

func readiness(s admin.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	}
	return "not ready: " + s.Reason
}

func formatReachable(yes bool) string {
	if yes {
		return "reachable"
	}
	return "out of reach"
}

func hostState(h admin.HostStatus) string {
	switch {
	case !h.Alive:
		return "silent"
	case h.Leaving:
		return "leaving"
	}
	return "live"
}

func formatRevision(revision uint64) string {
	if revision == 0 {
		return "unknown"
	}
	return fmt.Sprint(revision)
}

func formatSeats(numbers []int) string {
	if len(numbers) == 0 {
		return "none"
	}
	return strings.Trim(fmt.Sprint(numbers), "[]")
}
