// Command standin runs the stand-ins for a deployment's surroundings, each as a
// process of its own: a database of a group, the platform, a relay that injects
// faults. It is a tool for tests and trials.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// list holds the stand-ins.
var list = []subcommands.Command{
	&databaseCommand{},
	&platformCommand{},
	&relayCommand{},
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range list {
		subcommands.Register(c, "stand-ins")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
