// Command 7 shows writes that an old primary commits after its successor leads, and that a host
// acknowledges all the same. See claim.txt beside it.
package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft/review/rig"
	"coltsfootloft/stand/caller"
	"coltsfootloft/stand/opset"
)

// The figures of the site mwangaza-loft-grown: its class meeting-notes, a database, and a promotion.
const (
	work        = 18 * time.Millisecond
	workSpread  = 0.7 // standard deviation of its logarithm
	workMax     = 45 * time.Millisecond
	slots       = 4
	conns       = 112
	lag         = 20 * time.Millisecond
	promotion   = 300 * time.Millisecond
	timeoutMS   = 800
	targetMS    = 250
	stalenessMS = 2500
)

const (
	// slowness is how many times as long statements take at the slow primary, slowFrom and slowFor
	// when it is slow.
	slowness = 5
	slowFrom = 3 * time.Second
	slowFor  = 6500 * time.Millisecond
	// cutFrom and cutFor are when the primary is cut off from some hosts.
	cutFrom = 5 * time.Second
	cutFor  = 5 * time.Second
	// length is how long the callers go on.
	length = 11 * time.Second
	// clockSlack is how much later than its successor leads a commit counts.
	clockSlack = 2 * time.Millisecond
	// sessions is the number of callers at each host, homeSessions that at those in the domain of the primary. Of
	// either, transactions send transactions.
	sessions     = 1
	homeSessions = 26
	transactions = 1
)

const (
	old  = "i-db1"
	home = "nbo-a" // the domain of that database
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
	r, err := rig.Start(ctx, options(), "review/7")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer r.Stop()
	return run(ctx, r, os.Getenv("TROUBLE") != "0")
}

func options() rig.Options {
	return rig.Options{
		Domains:         []string{home, home, home, "nbo-b", "nbo-b", "nbo-c", "nbo-c"},
		DatabaseDomains: []string{home, "nbo-b", "nbo-c"},
		Slots:           slots,
		MaxConns:        conns,
		Lag:             lag,
		Promotion:       promotion,
		Cores:           0.8,
		MemoryMB:        536,
		Settings: opset.Settings{
			ConfigVersion: 7,
			Routes: []opset.Route{{
				Name:            "r-notes",
				Host:            "meeting-notes",
				RouteType:       "read_own_writes",
				Service:         "companions-db",
				TimeoutMs:       timeoutMS,
				TargetLatencyMs: targetMS,
				MaxStalenessMs:  stalenessMS,
				Priority:        1,
			}},
			Services: []opset.Service{{
				Name:     "companions-db",
				MaxConns: conns,
			}},
			Tenants: accounts(),
			Limits:  map[string]int{"TxIdleMs": 3000},
		},
	}
}

// tenants is the number of client accounts.
const tenants = 8

func keyOf(tenant int) string { return fmt.Sprintf("k-%d-3f9a12c7", tenant%tenants) }

func accounts() []opset.Tenant {
	var list []opset.Tenant
	for i := range tenants {
		list = append(list, opset.Tenant{
			Name:     fmt.Sprintf("branch-%d", i),
			ApiKeys:  []string{keyOf(i)},
			RatePerS: 2000,
			Burst:    2000,
		})
	}
	return list
}

// database makes the statements of callers at the primary take a slot for their work.
type database struct {
	slots chan struct{}
	// times is how many times as long statements take.
	times atomic.Int64
}

// work is called before each statement of a caller.
func (d *database) work() {
	d.slots <- struct{}{}
	takes := time.Duration(float64(work) * math.Exp(workSpread*rand.NormFloat64()-workSpread*workSpread/2))
	time.Sleep(min(takes, workMax) * time.Duration(d.times.Load()))
	<-d.slots
}

// success is a write that was answered with a success.
type success struct {
	id, host string
	at       time.Time
	// atHome is set if its host is in the domain of the first primary, and so not cut off.
	atHome bool
}

func run(ctx context.Context, r *rig.Rig, trouble bool) int {
	if err := prepare(ctx, r); err != nil {
		r.Note("not run: %v", err)
		return failed
	}
	d := &database{slots: make(chan struct{}, slots)}
	d.times.Store(1)
	r.Group.SetHook(old, d.work)
	begun := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var done []success
	for number, h := range r.Hosts {
		count := sessions
		if h.Settings.Domain == home {
			count = homeSessions
		}
		for i := range count {
			wg.Go(func() {
				w := &writer{
					rig:           r,
					host:          h,
					key:           keyOf(number + i),
					item:          fmt.Sprintf("%s-%d", h.Name, i),
					inTransaction: i < transactions,
				}
				w.run(begun.Add(length))
				mu.Lock()
				defer mu.Unlock()
				done = append(done, w.done...)
			})
		}
	}
	if trouble {
		disturb(r, d, begun)
	}
	wg.Wait()
	return judge(r, done, trouble)
}

// prepare waits until the hosts are ready, and has a host outside the domain of the primary order the
// promotions.
func prepare(ctx context.Context, r *rig.Rig) error {
	const tries = 8
	for range tries {
		if err := r.Await(ctx); err != nil {
			return err
		}
		h := r.Steward()
		if h != nil && h.Settings.Domain != home {
			return nil
		}
		if h == nil {
			time.Sleep(time.Second)
			continue
		}
		if err := r.Restart(h); err != nil {
			return err
		}
	}
	return errors.New("no host of another domain orders the promotions")
}

// disturb makes the primary slow, and cuts it off from the hosts of the other domains, one of which orders the
// promotions.
func disturb(r *rig.Rig, d *database, begun time.Time) {
	time.Sleep(time.Until(begun.Add(slowFrom)))
	d.times.Store(slowness)
	r.Note("%s is slow: statements take %d times as long", old, slowness)
	time.AfterFunc(slowFor, func() { d.times.Store(1) })
	time.Sleep(time.Until(begun.Add(cutFrom)))
	for _, h := range r.Hosts {
		if h.Settings.Domain == home {
			continue
		}
		r.Cut(h, old, true)
		r.Note("%s is cut off from %s", h.Name, old)
		time.AfterFunc(cutFor, func() { r.Cut(h, old, false) })
	}
}

// writer is a caller that sends writes, each to an item that no other caller writes.
type writer struct {
	rig  *rig.Rig
	host *rig.Host
	key  string
	item string
	// inTransaction has it send transactions of two writes.
	inTransaction bool
	n             int
	done          []success
}

// run sends writes until end.
func (w *writer) run(end time.Time) {
	const limit, pause = 5 * time.Second, 50 * time.Millisecond
	for time.Now().Before(end) {
		s, code, err := caller.Open(w.host.Settings.Listen, "meeting-notes", w.key, limit)
		if s == nil {
			w.rig.Note("%s: session refused: %s %v", w.host.Name, code, err)
			time.Sleep(pause)
			continue
		}
		for time.Now().Before(end) && w.step(s) {
			time.Sleep(think)
		}
		s.Close()
	}
}

// think is the pause of a caller between two operations.
const think = 10 * time.Millisecond

// step sends one operation, and reports whether the session goes on.
func (w *writer) step(s *caller.Session) bool {
	w.n++
	write := fmt.Sprintf("WRITE %s %d", w.item, w.n)
	texts := []string{write}
	if w.inTransaction {
		texts = []string{"BEGIN", write, write + "-again", "COMMIT"}
	}
	for i, text := range texts {
		sent := time.Now()
		a := s.Do(text)
		w.rig.Note("%s: %s %s, sent %.3f: %s", w.host.Name, s.Last(), text, w.rig.At(sent), outcome(a))
		if !a.Succeeded() {
			return a.State == "I"
		}
		if i == len(texts)-1 {
			w.done = append(w.done, success{
				id:   s.Last(),
				host: w.host.Name,
				at:   time.Now(),

				atHome: w.host.Settings.Domain == home,
			})
		}
	}
	return true
}

func outcome(a caller.Answer) string {
	switch {
	case a.Lost:
		return "connection lost"
	case a.Silent:
		return "no answer"
	case a.Code != "":
		return a.Code
	}
	return "DONE " + a.Digest
}

// judge checks that no write which a caller was told of as done was committed at the old primary after its
// successor led.
func judge(r *rig.Rig, done []success, trouble bool) int {
	acked := make(map[string]success, len(done))
	for _, w := range done {
		acked[w.id] = w
	}
	leaders := r.Leaders()
	r.Note("%d writes answered with a success, %d promotions", len(done), len(leaders))
	if len(done) == 0 || trouble && len(leaders) == 0 {
		r.Note("not run: no writes, or no promotion")
		return failed
	}
	count := 0
	for _, run := range r.Group.Runs() {
		r.Note("%s ran %s %s at %.3f, committed %t", run.Database, run.ID, run.Text, r.At(run.At), run.Committed)
		if run.Database != old || !run.Committed || len(leaders) == 0 {
			continue
		}
		if run.At.Before(leaders[0].Led.Add(clockSlack)) {
			continue
		}
		// The answer of a host whose own link to the old primary is cut is excused.
		if w, ok := acked[run.ID]; ok && w.atHome {
			count++
			r.Note("ONE: %s (%s) was committed at %s at %.3f, %d ms after %s led, and answered DONE by %s at %.3f", run.ID, run.Text, old, r.At(run.At),
				run.At.Sub(leaders[0].Led).Milliseconds(), leaders[0].Database, w.host, r.At(w.at))
		}
	}
	if count > 0 {
		r.Note("BROKEN: %d writes", count)
		return broken
	}
	r.Note("HELD")
	return held
}
