package main

import (
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/stdr"
	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"coltsfootloft/stand/dbase"
)

// databaseCommand runs one database of a group.
type databaseCommand struct {
	server  dbase.Server
	peers   peerFlag
	verbose bool
	// certificate and key are paths of PEM files.
	certificate string
	key         string
}

// Name returns the name of the subcommand.
func (*databaseCommand) Name() string { return "database" }

// Synopsis returns a one-line description of the subcommand.
func (*databaseCommand) Synopsis() string { return "run one database of a group" }

// Usage returns the help text of the subcommand.
func (*databaseCommand) Usage() string {
	return "standin database -name NAME -listen IP:PORT -replicate IP:PORT [-peer NAME=IP:PORT]... -initial NAME [flags]\n" +
		"Prints \"database NAME listening on IP:PORT replicating on IP:PORT\" once it takes connections.\n"
}

// SetFlags declares the flags.
func (c *databaseCommand) SetFlags(f *flag.FlagSet) {
	s := &c.server
	f.StringVar(&s.Name, "name", "a", "name among its peers")
	f.StringVar(&s.Listen, "listen", "127.0.0.1:0", "IP:port for the PostgreSQL protocol")
	f.StringVar(&s.ReplicateListen, "replicate", "127.0.0.1:0", "IP:port where replicas fetch the log")
	f.Var(&c.peers, "peer", "name=IP:port of another database's -replicate; may be repeated")
	f.StringVar(&s.InitialPrimary, "initial", "", "name of the primary of the first term")
	f.IntVar(&s.MaxConns, "max-conns", 100, "limit of connections, without the platform's")
	f.DurationVar(&s.IdleTransactionTimeout, "idle-transaction", 5*time.Second, "time after which a silent session that holds the write lock is ended; 0 is never")
	f.DurationVar(&s.ConnectDelay, "connect-delay", 12*time.Millisecond, "time that a new connection takes")
	f.DurationVar(&s.Lag, "lag", 0, "time from receiving to applying a record")
	f.StringVar(&s.Dir, "dir", "", "directory for log and terms; empty keeps them in memory")
	f.StringVar(&s.User, "user", "", "user that callers log in as")
	f.StringVar(&s.Password, "password", "", "password of callers and the platform; empty lets all in")
	f.BoolVar(&s.Cleartext, "cleartext", false, "ask for the password itself instead of SCRAM-SHA-256")
	f.StringVar(&c.certificate, "tls-cert", "", "PEM file of the certificate; empty offers no TLS")
	f.StringVar(&c.key, "tls-key", "", "PEM file of the certificate's key")
	f.BoolVar(&c.verbose, "v", false, "log to standard error")
}

// Execute runs the database until ctx ends and returns the exit code.
func (c *databaseCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s := &c.server
	s.Peers = c.peers
	s.Log = logger(c.verbose)
	if c.certificate != "" {
		pair, err := tls.LoadX509KeyPair(c.certificate, c.key)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitUsageError
		}
		s.TLS = &tls.Config{
			Certificates: []tls.Certificate{pair},
			MinVersion:   tls.VersionTLS12,
		}
	}
	go func() {
		select {
		case <-s.Ready():
			fmt.Printf("database %s listening on %s replicating on %s\n", s.Name, s.Addr(), s.ReplicateAddr())
		case <-ctx.Done():
		}
	}()
	if err := s.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// logger returns a logger to standard error if verbose, else one that discards all
// events.
func logger(verbose bool) logr.Logger {
	if !verbose {
		return logr.Discard()
	}
	stdr.SetVerbosity(1)
	return stdr.New(nil)
}

// peerFlag is a repeatable flag of the form name=IP:port: addresses by name.
type peerFlag map[string]string

// String returns the peers as name=IP:port, separated by commas.
func (p *peerFlag) String() string {
	var parts []string
	for k, v := range *p {
		parts = append(parts, k+"="+v)
	}
	return strings.Join(parts, ",")
}

// Set adds one peer. It returns an error if the value is not of the form name=address.
func (p *peerFlag) Set(s string) error {
	name, address, ok := strings.Cut(s, "=")
	if !ok || name == "" || address == "" {
		return errors.New("want name=IP:port")
	}
	if *p == nil {
		*p = make(peerFlag)
	}
	(*p)[name] = address
	return nil
}
