package cmds

import (
	"context"
	"flag"
	"net/http"
	"net/url"

	"github.com/google/subcommands"
)

type drain struct {
	tools    *Tools
	upstream string
	adminFlags
}

// Name returns drain.
func (*drain) Name() string { return "drain" }

// Synopsis returns a one-line description of the command.
func (*drain) Synopsis() string {
	return "shut one host down, or take an upstream out, without cutting a request"
}

// Usage returns the help text of the command.
func (*drain) Usage() string {
	return `drain -admin ADDRESS: start the graceful shutdown of one host.

drain -upstream NAME -admin ADDRESS: tell the fleet through that host that an
upstream leaves, ahead of the platform's list. No host gives it new work; if it is
a primary, another database is promoted. The list counts again after a minute.

The host turns unready, takes no new callers, lets running transactions finish,
ends idle sessions with SQLSTATE 57P01, gives back what it holds, and exits with
0. The command returns once the shutdown has begun. SIGTERM does the same.
` + exitCodesHelp
}

// SetFlags declares the flags.
func (d *drain) SetFlags(f *flag.FlagSet) {
	d.adminFlags.tools = d.tools
	d.set(f)
	f.StringVar(&d.upstream, "upstream", "", "upstream that leaves, in place of the host")
}

// Execute starts the shutdown of the host, or announces that the upstream is leaving,
// and returns the exit code.
func (d *drain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if args, err := positional(f); err != nil || len(args) > 0 {
		return d.tools.usageError("drain takes no arguments")
	}
	var answer struct {
		Draining bool `json:"draining"`
	}
	path, target := "/v1/drain", d.admin
	if d.upstream != "" {
		path, target = "/v1/upstreams/"+url.PathEscape(d.upstream)+"/drain", d.upstream
	}
	if err := d.call(ctx, http.MethodPost, path, &answer); err != nil {
		return d.tools.fail(err)
	}
	if !answer.Draining {
		return d.tools.fail(errOtherProgram)
	}
	d.tools.printf("%s is draining\n", target)
	return ExitDone
}
