// Command standin runs the stand-ins for the services around a deployment, each as a
// separate process: a database of a group, the platform's key-value service, and a TCP
// relay that injects faults. It is a tool for tests and experiments.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// commands are the subcommands, one for each stand-in.
var commands = []subcommands.Command{
	&databaseCommand{},
	&platformCommand{},
	&relayCommand{},
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range commands {
		subcommands.Register(c, "stand-ins")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
