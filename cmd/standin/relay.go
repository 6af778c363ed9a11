package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"coltsfootloft/stand/relay"
)

// controlTimeout bounds the time to read the header of a control request.
const controlTimeout = 5 * time.Second

// relayCommand runs a TCP relay that injects faults.
type relayCommand struct {
	relay   relay.Relay
	control string
}

// Name returns the name of the subcommand.
func (*relayCommand) Name() string { return "relay" }

// Synopsis returns a one-line description of the subcommand.
func (*relayCommand) Synopsis() string { return "run a TCP relay that injects faults" }

// Usage returns the help text of the subcommand.
func (*relayCommand) Usage() string {
	return "standin relay -target IP:PORT [-listen IP:PORT] [-control IP:PORT] [flags]\n" +
		"Prints \"relay listening on IP:PORT control on IP:PORT\" once it takes connections.\n" +
		"Controls are POST /delay /jitter /hold /drop /cut /capture and GET /captured /status on the control port.\n"
}

// SetFlags declares the flags.
func (c *relayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.relay.Listen, "listen", "127.0.0.1:0", "IP:port for callers")
	f.StringVar(&c.relay.Target, "target", "", "IP:port that connections are forwarded to")
	f.DurationVar(&c.relay.Delay, "delay", 0, "delay of each direction")
	f.Uint64Var(&c.relay.Seed, "seed", 1, "seed of the jitter")
	f.StringVar(&c.control, "control", "127.0.0.1:0", "IP:port of the control port")
}

// Execute runs the relay until ctx ends and returns the exit code.
func (c *relayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.relay.Target == "" {
		fmt.Fprintln(os.Stderr, "relay: -target is missing")
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *relayCommand) run(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", c.control)
	if err != nil {
		return errors.Wrap(err, "control")
	}
	server := &http.Server{
		Handler:           c.relay.Handler(),
		ReadHeaderTimeout: controlTimeout,
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.relay.Run(ctx) })
	g.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "control")
		}
		return nil
	})
	g.Go(func() error {
		select {
		case <-c.relay.Ready():
			fmt.Printf("relay listening on %s control on %s\n", c.relay.Addr(), l.Addr())
		case <-ctx.Done():
		}
		<-ctx.Done()
		return server.Close()
	})
	return g.Wait()
}
