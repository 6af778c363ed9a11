package cmds

import (
	"cmp"
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/io/change"
	"coltsfootloft/io/store"
)

const (
	defaultAdmin = "127.0.0.1:9080"
	// callTimeout bounds one request to an admin port.
	callTimeout = 10 * time.Second
)

// Tools holds the dependencies that all commands share. Its fields must be set before
// Register; all but Out, Err and Version have a default.
type Tools struct {
	// Out receives the results of commands.
	Out io.Writer
	// Err receives error messages.
	Err io.Writer
	// Version is the version of the program.
	Version string
	// Getenv returns an environment variable; nil means os.Getenv.
	Getenv func(name string) string
	// Open returns a client of the store at the given base URLs; nil means a client
	// of Consul's HTTP API.
	Open func(addresses []string) coltsfootloft.Store
	// HTTP is the client for admin ports; nil means a client without keep-alive.
	HTTP *http.Client
	// Clock is the time source; nil means the system clock.
	Clock clockwork.Clock
}

// Register registers all commands.
func (t *Tools) Register(c *subcommands.Commander) {
	const (
		settings = "settings"
		fleet    = "fleet"
	)
	c.Register(t.config(), settings)
	c.Register(t.key(), settings)
	c.Register(&status{tools: t}, fleet)
	c.Register(&explain{tools: t}, fleet)
	c.Register(&drain{tools: t}, fleet)
	c.Register(&version{tools: t}, "")
}

func (t *Tools) getenv(name string) string {
	if t.Getenv == nil {
		return os.Getenv(name)
	}
	return t.Getenv(name)
}

func (t *Tools) clock() clockwork.Clock {
	if t.Clock == nil {
		return clockwork.NewRealClock()
	}
	return t.Clock
}

func (t *Tools) open(addresses []string) coltsfootloft.Store {
	if t.Open != nil {
		return t.Open(addresses)
	}
	return &store.Consul{Addresses: addresses}
}

// storeFlags are the flags of commands that call the store.
type storeFlags struct {
	tools  *Tools
	store  string
	author string
}

func (s *storeFlags) set(f *flag.FlagSet) {
	f.StringVar(&s.store, "store", s.tools.getenv(conf.EnvPrefix+"STORE"),
		"base `URL` of the platform's store, or several separated by commas; by default "+conf.EnvPrefix+"STORE")
}

func (s *storeFlags) setAuthor(f *flag.FlagSet) {
	f.StringVar(&s.author, "as", cmp.Or(s.tools.getenv("USER"), "unknown"), "`name` to record as the author of the change")
}

// editor returns an editor of the settings in the store. If no store is given, it
// prints that and returns nil.
func (s *storeFlags) editor() *change.Editor {
	if s.store == "" {
		s.tools.usageError("no store: set -store or %sSTORE", conf.EnvPrefix)
		return nil
	}
	return &change.Editor{
		Store:  s.tools.open(strings.Split(s.store, ",")),
		Author: s.author,
		Clock:  s.tools.clock(),
	}
}

// positional returns the positional arguments. Unlike the flag package alone, it also
// parses flags that follow them.
func positional(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// commandGroup is a command with subcommands, such as config or key.
type commandGroup struct {
	tools    *Tools
	name     string
	synopsis string
	commands func() []subcommands.Command
}

// Name returns the name of the group, the first word after the program's name.
func (g *commandGroup) Name() string { return g.name }

// Synopsis returns a one-line description of the group.
func (g *commandGroup) Synopsis() string { return g.synopsis }

// Usage returns a list of the subcommands.
func (g *commandGroup) Usage() string {
	var b strings.Builder
	b.WriteString(g.name + " COMMAND: " + g.synopsis + "\n\n")
	for _, c := range g.commands() {
		b.WriteString("  " + g.name + " " + c.Name() + strings.Repeat(" ", max(1, 12-len(c.Name()))) + c.Synopsis() + "\n")
	}
	b.WriteString("\n" + g.name + " COMMAND -h tells more.\n" + exitCodesHelp)
	return b.String()
}

// SetFlags does nothing: there are no flags.
func (g *commandGroup) SetFlags(*flag.FlagSet) {}

// Execute runs the subcommand named by the next argument and returns its exit code.
func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c := subcommands.NewCommander(f, "coltsfootloft "+g.name)
	c.Output = g.tools.Out
	c.Error = g.tools.Err
	for _, s := range g.commands() {
		c.Register(s, "")
	}
	return c.Execute(ctx)
}
