// Command 6 shows a record that names a database whose successor has already been ordered, after two kills of
// the host that orders promotions. See claim.txt beside it.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootloft/review/rig"
	"coltsfootloft/stand/caller"
	"coltsfootloft/stand/opset"
)

// The figures of the site wi-branchnews: its class notice-filing, a database, and a promotion.
const (
	slots     = 2
	conns     = 34
	lag       = 60 * time.Millisecond
	promotion = 600 * time.Millisecond
	timeoutMS = 800
	targetMS  = 120
)

const (
	// leaveFrom is when the primary reports draining, and deafFrom when a replica begins to receive nothing.
	deafFrom, leaveFrom = 2 * time.Second, 2500 * time.Millisecond
	// length is how long the callers go on.
	length = 10 * time.Second
	// sessions is the number of callers at each host, which pause for think between two writes.
	sessions = 2
	think    = 100 * time.Millisecond
	// clockSlack is how much later than its successor leads a commit counts, and grace how much later an old
	// primary goes on at most.
	clockSlack, grace = 2 * time.Millisecond, time.Second
	kills             = 2
)

// The databases: the first primary, and the replica that receives nothing for a while.
const primary, deaf = "i-db1", "i-db2"

const (
	key      = "k-7aa20c4f"
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
	trouble := os.Getenv("TROUBLE") != "0"
	o := options()
	var r *rig.Rig
	var ordered atomic.Int64
	o.Ordered = func(_, holder string) {
		if !trouble || ordered.Add(1) > kills {
			return
		}
		go r.Kill(holder)
		r.Group.PauseReplication(deaf, false)
	}
	r, err := rig.Start(ctx, o, "review/6")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer r.Stop()
	if err := r.Await(ctx); err != nil {
		r.Note("not run: %v", err)
		return failed
	}
	done := run(r, trouble)
	return judge(r, done)
}

func options() rig.Options {
	zones := []string{"tt-north-a", "tt-north-b", "tt-north-c"}
	return rig.Options{
		Domains:         append(zones[:3:3], zones...),
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
				Name:     "branchnews-db",
				MaxConns: conns,
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

// run has callers write, and returns the writes that were answered with a success, by id.
func run(r *rig.Rig, trouble bool) map[string]time.Time {
	begun := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := make(map[string]time.Time)
	for _, h := range r.Hosts {
		for i := range sessions {
			wg.Go(func() {
				write(r, h, fmt.Sprintf("%s-%d", h.Name, i), begun.Add(length), func(id string) {
					mu.Lock()
					defer mu.Unlock()
					done[id] = time.Now()
				})
			})
		}
	}
	time.Sleep(time.Until(begun.Add(deafFrom)))
	if trouble {
		r.Note("%s receives nothing until the first promotion is ordered", deaf)
		r.Group.PauseReplication(deaf, true)
	}
	time.Sleep(time.Until(begun.Add(leaveFrom)))
	r.Leave(primary)
	wg.Wait()
	return done
}

// write sends writes until end, and calls succeeded for each that was answered with a success.
func write(r *rig.Rig, h *rig.Host, item string, end time.Time, succeeded func(id string)) {
	const limit, pause = 5 * time.Second, 50 * time.Millisecond
	for time.Now().Before(end) {
		s, code, _ := caller.Open(h.Settings.Listen, database, key, limit)
		if s == nil {
			r.Note("%s: session refused: %s", h.Name, code)
			time.Sleep(pause)
			continue
		}
		for n := 0; time.Now().Before(end); n++ {
			text := fmt.Sprintf("WRITE %s %d", item, n)
			a := s.Do(text)
			r.Note("%s: %s %s: %s %s lost %t", h.Name, s.Last(), text, a.Code, a.Digest, a.Lost)
			if a.Lost || a.Silent {
				break
			}
			if a.Succeeded() {
				succeeded(s.Last())
			}
			time.Sleep(think)
		}
		s.Close()
	}
}

// judge checks that no acknowledged write was committed at a primary in the second after its successor led.
func judge(r *rig.Rig, done map[string]time.Time) int {
	leaders := r.Leaders()
	r.Note("%d writes answered with a success, %d promotions took effect", len(done), len(leaders))
	if len(done) == 0 || len(leaders) == 0 {
		r.Note("not run")
		return failed
	}
	count := 0
	for _, run := range r.Group.Runs() {
		r.Note("%s ran %s %s at %.3f, committed %t", run.Database, run.ID, run.Text, r.At(run.At), run.Committed)
		if _, ok := done[run.ID]; !ok || !run.Committed {
			continue
		}
		for _, l := range leaders {
			if run.Database != l.Database && run.At.After(l.Led.Add(clockSlack)) && run.At.Before(l.Led.Add(grace)) && isOld(leaders, run.Database, l) {
				count++
				r.Note("ONE: %s was committed at %s at %.3f, %d ms after %s led, and answered DONE", run.ID, run.Database, r.At(run.At),
					run.At.Sub(l.Led).Milliseconds(), l.Database)
			}
		}
	}
	if count > 0 {
		r.Note("BROKEN: %d writes", count)
		return broken
	}
	r.Note("HELD")
	return held
}

// isOld reports whether a database led, if at all, before another one did.
func isOld(leaders []rig.Leader, database string, successor rig.Leader) bool {
	for _, l := range leaders {
		if l.Database == database {
			return l.Led.Before(successor.Led)
		}
	}
	return true
}
