// Command coltsfootloft is the database proxy with session consistency, and the
// tools that operate a fleet of it.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serveCommand{}, "hosts")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
