package cmds

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"coltsfootloft/core/events"
)

// defaultExplainLimit is the default number of decisions that explain prints.
const defaultExplainLimit = 50

type explain struct {
	tools *Tools
	adminFlags
	query events.Query
	json  bool
}

// Name returns explain.
func (*explain) Name() string { return "explain" }

// Synopsis returns a one-line description of the command.
func (*explain) Synopsis() string {
	return "show why statements were routed, held, refused or repeated, and why a primary changed"
}

// Usage returns the help text of the command.
func (*explain) Usage() string {
	return `explain [-kind KIND] [-trace ID] [-session ID] [-account NAME] [-group NAME]

It asks the admin port of one host for the decisions that it made and still
remembers, the newest last. Ask the host that the session was connected to; why a
primary changed is known to the host that promoted it, and is -kind promoted.
Kinds: ` + strings.Join(events.KindNames(), ", ") + `.
` + exitCodesHelp
}

// SetFlags declares the flags.
func (e *explain) SetFlags(f *flag.FlagSet) {
	e.adminFlags.tools = e.tools
	e.set(f)
	f.StringVar(&e.query.Kind, "kind", "", "only decisions of this `kind`")
	f.StringVar(&e.query.Trace, "trace", "", "only decisions on the trace with this `id`")
	f.Uint64Var(&e.query.Session, "session", 0, "only decisions on the session with this `number`")
	f.StringVar(&e.query.Account, "account", "", "only decisions on this client account, as `team/account`")
	f.StringVar(&e.query.Group, "group", "", "only decisions on this database `group`")
	f.IntVar(&e.query.Limit, "limit", defaultExplainLimit, "greatest `number` of decisions")
	f.BoolVar(&e.json, "json", false, "print JSON")
}

// Execute prints the decisions and returns the exit code.
func (e *explain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if args, err := positional(f); err != nil || len(args) > 0 {
		return e.tools.usageError("explain takes no arguments")
	}
	decisions := []events.View{}
	if err := e.call(ctx, http.MethodGet, "/v1/explain?"+queryValues(e.query).Encode(), &decisions); err != nil {
		return e.tools.fail(err)
	}
	if e.json {
		return e.tools.printJSON(decisions)
	}
	for _, v := range decisions {
		e.tools.printf("%s\n", formatDecision(v))
	}
	if len(decisions) == 0 {
		e.tools.printf("this host remembers no such decision\n")
	}
	return ExitDone
}

// queryValues encodes a query as URL parameters.
func queryValues(q events.Query) url.Values {
	v := url.Values{"limit": {strconv.Itoa(q.Limit)}}
	for name, s := range map[string]string{"kind": q.Kind, "trace": q.Trace, "account": q.Account, "group": q.Group} {
		if s != "" {
			v.Set(name, s)
		}
	}
	if q.Session != 0 {
		v.Set("session", strconv.FormatUint(q.Session, 10))
	}
	return v
}

// formatDecision returns a decision as one readable line.
func formatDecision(v events.View) string {
	parts := []string{v.At.UTC().Format("15:04:05.000"), v.Kind}
	if v.Session != 0 {
		parts = append(parts, fmt.Sprintf("session %d", v.Session))
	}
	for _, p := range []struct{ name, value string }{
		{
			name:  "account",
			value: v.Account,
		},
		{
			name:  "group",
			value: v.Group,
		},
		{
			name:  "database",
			value: v.Database,
		},
		{
			name:  "trace",
			value: v.Trace,
		},
	} {
		if p.value != "" {
			parts = append(parts, p.name+" "+p.value)
		}
	}
	return strings.Join(parts, "  ") + ": " + v.Reason
}
