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
	// callTimeout bounds one call to an admin port.
	callTimeout = 10 * time.Second
)

// Tools is what all commands share. Its fields are set before Register; only Out
// and Err have no default.
type Tools struct {
	// Out takes what a command tells.
	Out io.Writer
	// Err takes what went wrong.
	Err io.Writer
	// Version is the version of the program.
	Version string
	// Getenv reads an environment variable; os.Getenv if nil.
	Getenv func(name string) string
	// Open returns the store at some addresses; Consul's HTTP API if nil.
	Open func(addresses []string) coltsfootloft.Store
	// HTTP speaks to admin ports; a client of its own if nil.
	HTTP *http.Client
	// Clock tells the time; the system's if nil.
	Clock clockwork.Clock
}

// Register adds all commands.
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

// storeFlags are the flags of commands that speak to the store.
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

// editor returns an editor, or nil with the reason printed.
func (s *storeFlags) editor() *change.Editor {
	if s.store == "" {
		s.tools.misused("no store: set -store or %sSTORE", conf.EnvPrefix)
		return nil
	}
	return &change.Editor{
		Store:  s.tools.open(strings.Split(s.store, ",")),
		Author: s.author,
		Clock:  s.tools.clock(),
	}
}

// positional returns the arguments that are no flags. Unlike the flag package
// alone, it takes flags after them too.
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

// group is a command that holds others.
type group struct {
	tools    *Tools
	name     string
	synopsis string
	commands func() []subcommands.Command
}

// Name is the first word after the program's name.
func (g *group) Name() string { return g.name }

// Synopsis says in a line what the group is for.
func (g *group) Synopsis() string { return g.synopsis }

// Usage lists the commands of the group.
func (g *group) Usage() string {
	var b strings.Builder
	b.WriteString(g.name + " COMMAND: " + g.synopsis + "\n\n")
	for _, c := range g.commands() {
		b.WriteString("  " + g.name + " " + c.Name() + strings.Repeat(" ", max(1, 12-len(c.Name()))) + c.Synopsis() + "\n")
	}
	b.WriteString("\n" + g.name + " COMMAND -h tells more.\n" + exitUsage)
	return b.String()
}

// SetFlags sets no flags.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute runs the command of the group that the next word names.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c := subcommands.NewCommander(f, "coltsfootloft "+g.name)
	c.Output = g.tools.Out
	c.Error = g.tools.Err
	for _, s := range g.commands() {
		c.Register(s, "")
	}
	return c.Execute(ctx)
}
