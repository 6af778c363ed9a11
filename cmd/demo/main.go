// Command demo runs a small deployment inside one process: the platform's store, a
// database group of three, and two entry hosts. It runs a session through both hosts,
// prints each step, and then prints how to connect with a client of your own.
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
		log:     logr.Discard(),
		printed: make(map[*host.Host]uint64),
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
	d.printConnectCommands()
	if !stay {
		return nil
	}
	fmt.Println("Serving until interrupted.")
	<-ctx.Done()
	return nil
}

// timeout bounds the start of each server and the whole session.
const timeout = 15 * time.Second
