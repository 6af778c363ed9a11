// Command 8 shows acknowledged commits of a service with SyncReplicas 1 that are lost, because a replica which
// lacks them is promoted. See claim.txt beside it.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft/review/rig"
	"coltsfootloft/stand/caller"
	"coltsfootloft/stand/opset"
)

// The figures of the site wi-branchnews, but for SyncReplicas.
const (
	slots        = 2
	conns        = 34
	lag          = 60 * time.Millisecond
	promotion    = 600 * time.Millisecond
	timeoutMS    = 800
	targetMS     = 120
	syncReplicas = 1
)

const (
	// deaf is how long one replica receives nothing, and crash how long the other two databases are down.
	deaf  = 7 * time.Second
	crash = 7 * time.Second
	// crashFrom is when they crash, after the replica has become deaf.
	crashFrom = 1500 * time.Millisecond
	// calm is how long after the disruptions, or in their place, the writes are read.
	calm = 14 * time.Second
	// writes is the number of writes.
	writes = 20
	// limit is how long an answer is waited for, and pause the time between two tries.
	limit, pause = 5 * time.Second, 100 * time.Millisecond
)

// The databases: the first primary, the replica that has all commits, and the one that receives nothing.
const primary, complete, behind = "i-db1", "i-db2", "i-db3"

const (
	key      = "k-51d0b8e2"
	database = "notice-filing"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() { os.Exit(play(context.Background())) }

// play starts the deployment, runs the case and ends all processes.
func play(ctx context.Context) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := rig.Start(ctx, options(), "review/8")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer r.Stop()
	lost, err := run(ctx, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.Note("not run: %v", err)
		return failed
	case lost > 0:
		r.Note("BROKEN: %d acknowledged commits are lost", lost)
		return broken
	}
	r.Note("HELD")
	return held
}

func options() rig.Options {
	zones := []string{"tt-north-a", "tt-north-b", "tt-north-c"}
	return rig.Options{
		Domains:         zones,
		DatabaseDomains: zones,
		Slots:           slots,
		MaxConns:        conns,
		Lag:             lag,
		Promotion:       promotion,
		Cores:           0.272,
		MemoryMB:        206,
		Settings: opset.Settings{
			ConfigVersion: 7,
			Routes: []opset.Route{{
				Name:            "r-filing",
				Host:            database,
				RouteType:       "primary",
				Service:         "branchnews-db",
				TimeoutMs:       timeoutMS,
				TargetLatencyMs: targetMS,
				Priority:        1,
			}},
			Services: []opset.Service{{
				Name:         "branchnews-db",
				MaxConns:     conns,
				SyncReplicas: syncReplicas,
			}},
			Tenants: []opset.Tenant{{
				Name:     "arima",
				ApiKeys:  []string{key},
				RatePerS: 131,
				Burst:    131,
			}},
			Limits: map[string]int{"TxIdleMs": 3000},
		},
	}
}

// run plays the case, and returns how many acknowledged writes are not there in the end.
func run(ctx context.Context, r *rig.Rig, trouble bool) (lost int, err error) {
	if err := r.Await(ctx); err != nil {
		return 0, err
	}
	if trouble {
		r.Note("%s receives nothing for %s", behind, deaf)
		// The primary is down when that ends, so that nothing more comes from it before it is back.
		r.Group.PauseReplication(behind, true)
	}
	begun := time.Now()
	for i := range writes {
		if err := do(r, fmt.Sprintf("WRITE item-%d text-%d", i, i)); err != nil {
			return 0, err
		}
	}
	// No caller writes until the primary is back: a commit would not be acknowledged.
	time.Sleep(time.Until(begun.Add(crashFrom)))
	if trouble {
		r.Crash(complete, crash)
		r.Crash(primary, crash)
	}
	time.Sleep(calm)
	for i := range writes {
		item := fmt.Sprintf("item-%d", i)
		rows, err := read(r, item)
		if err != nil {
			return 0, err
		}
		if len(rows) != 1 || rows[0] != fmt.Sprintf("text-%d", i) {
			r.Note("LOST: %s was acknowledged and reads as %q", item, rows)
			lost++
		}
	}
	for _, run := range r.Group.Runs() {
		r.Note("%s ran %s %s at %.3f, committed %t", run.Database, run.ID, run.Text, r.At(run.At), run.Committed)
	}
	return lost, nil
}

// do sends a statement until it is answered with a success.
func do(r *rig.Rig, text string) error {
	_, err := ask(r, text)
	return err
}

// read reads an item on a route that shows every acknowledged commit.
func read(r *rig.Rig, item string) (rows []string, err error) {
	return ask(r, "READ "+item)
}

func ask(r *rig.Rig, text string) (rows []string, err error) {
	const tries = 50
	for n := range tries {
		h := r.Hosts[n%len(r.Hosts)]
		s, code, err := caller.Open(h.Settings.Listen, database, key, limit)
		if s == nil {
			r.Note("%s: session refused: %s %v", h.Name, code, err)
			time.Sleep(pause)
			continue
		}
		a := s.Do(text)
		r.Note("%s: %s %s: %s %s %q", h.Name, s.Last(), text, a.Code, a.Digest, a.Rows)
		s.Close()
		if a.Succeeded() {
			return a.Rows, nil
		}
		if a.Unknown() && text[0] == 'W' {
			return nil, errors.Errorf("outcome of %s is not known", text)
		}
		time.Sleep(pause)
	}
	return nil, errors.Errorf("%s was never answered", text)
}
