// Command demo runs a whole small deployment inside one process and drives a
// visible session through it: the platform's store, a database group of three,
// and two entry hosts. It prints each step, and then how to connect with one's own
// client.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"coltsfootloft/io/host"
)

func main() {
	stay := flag.Bool("stay", false, "keep serving until interrupted, for a client of your own")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, *stay)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, stay bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &deployment{
		log:  logr.Discard(),
		told: make(map[*host.Host]uint64),
	}
	defer d.wait()
	defer cancel()
	if err := d.start(ctx); err != nil {
		return err
	}
	d.describe()
	if err := session(ctx, d); err != nil {
		return err
	}
	d.invite()
	if !stay {
		return nil
	}
	fmt.Println("Serving until interrupted.")
	<-ctx.Done()
	return nil
}

// timeout bounds each step of the session.
const timeout = 15 * time.Second
