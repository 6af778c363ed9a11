// Command coltsfootloft runs hosts of the database proxy with session consistency,
// and holds the commands that operators use: settings, keys, status, explanations
// and draining.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"coltsfootloft/io/cmds"
	"coltsfootloft/io/host"
)

func main() {
	s := catchSignals()
	c := subcommands.NewCommander(flag.CommandLine, "coltsfootloft")
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&serveCommand{signals: s}, "hosts")
	c.Register(&entryCommand{signals: s}, "hosts")
	tools := &cmds.Tools{
		Out:     os.Stdout,
		Err:     os.Stderr,
		Version: host.Version,
	}
	tools.Register(c)
	flag.Parse()
	if name := flag.Arg(0); name != "serve" && name != "entry" {
		go s.exit()
	}
	os.Exit(int(c.Execute(context.Background())))
}
