package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"coltsfootloft/stand/consul"
)

// platformCommand runs the stand-in for the platform's key-value service.
type platformCommand struct {
	listen  string
	control string
	writes  int
	reads   int
}

// Name returns the name of the subcommand.
func (*platformCommand) Name() string { return "platform" }

// Synopsis returns a one-line description of the subcommand.
func (*platformCommand) Synopsis() string { return "run the platform's key-value service" }

// Usage returns the help text of the subcommand.
func (*platformCommand) Usage() string {
	return `standin platform [-listen IP:port] [-control IP:port]
  Serves keys, sessions and the host list as Consul does, until interrupted.
  PUT /standin/faults changes how it misbehaves; GET /standin/counts counts calls.
`
}

// SetFlags declares the flags.
func (p *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.listen, "listen", "127.0.0.1:8500", "address of the service, IP:port")
	f.StringVar(&p.control, "control", "", "address that serves only /standin/ and stays up, IP:port")
	f.IntVar(&p.writes, "writes", 0, "most changes a second; 0 for no bound")
	f.IntVar(&p.reads, "reads", 0, "most reads a second, a waiting one counted once; 0 for no bound")
}

// Execute runs the service until ctx ends and returns the exit code.
func (p *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s := &consul.Server{
		Listen:          p.listen,
		Control:         p.control,
		WritesPerSecond: p.writes,
		ReadsPerSecond:  p.reads,
	}
	go func() {
		fmt.Printf("platform listening on %s\n", s.Addr())
	}()
	if err := s.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
