package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

const (
	soakSeed = 20261204
	// soakFaults and soakFaultsLong are the number of faults without and with
	// -measure.
	soakFaults     = 10
	soakFaultsLong = 34
)

// TestSoak injects all kinds of fault, one or two at a time, into six hosts and two groups
// under callers of every kind, and checks all guarantees together. With -measure it
// takes two minutes.
func TestSoak(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 3,
		hosts:   6,
		groups:  2,
		lag:     30 * time.Millisecond,
		conns:   24,
		network: true,
		settings: map[string]string{
			"teams/alpha/accounts/rated": `{"rate": "100/s", "burst": 50}`,
			"teams/alpha/accounts/gone":  `{"rate": "100/s", "burst": 50}`,
		},
	})
	f.apply(map[string]string{
		"teams/alpha/keys/rated": f.newKey("alpha.rated", "rated"),
		"teams/alpha/keys/gone":  f.newKey("alpha.gone", "gone"),
	})
	s := newSoak(f)
	s.startCallers()
	faults := soakFaults
	if *measureRun {
		faults = soakFaultsLong
	}
	s.injectFaults(rand.New(rand.NewPCG(soakSeed, 0)), faults)
	s.withdrawKey(t)
	s.stop()
	s.check(t)
}

// faultKinds is the number of kinds of fault.
const faultKinds = 7

// soak holds the callers of every kind and the outcomes reported to them.
type soak struct {
	fleet       *fleet
	ctx         context.Context
	cancel      context.CancelFunc
	callers     sync.WaitGroup
	history     *history
	payments    *payments
	rated       admissions
	reads       atomic.Int64
	stale       atomic.Int64
	refused     atomic.Int64
	regressions atomic.Int64
}

func newSoak(f *fleet) *soak {
	ctx, cancel := context.WithCancel(context.Background())
	c := f.connect(f.hosts[0])
	for _, sql := range []string{
		"CREATE TABLE history (id text PRIMARY KEY)",
		"CREATE TABLE filed (caller int4, n int4)",
		"CREATE TABLE paid (id text)",
		"CREATE TABLE halves (id text, half int4)",
		requestTable,
	} {
		mustExec(f.t, c, sql)
	}
	return &soak{
		fleet:   f,
		ctx:     ctx,
		cancel:  cancel,
		history: newHistory(),
		payments: &payments{
			fleet:        f,
			paid:         make(map[string]outcome),
			transactions: make(map[string]outcome),
		},
	}
}

// startCallers starts callers of every kind.
func (s *soak) startCallers() {
	f := s.fleet
	for i, e := range f.hosts {
		random := rand.New(rand.NewPCG(soakSeed, uint64(100+i)))
		r := &roamingCaller{
			fleet:     f,
			random:    rand.New(rand.NewPCG(soakSeed, uint64(200+i))),
			id:        i,
			withToken: i%2 == 0,
			reads:     &s.reads,
			stale:     &s.stale,
			refused:   &s.refused,
		}
		s.callers.Go(func() { s.history.write(s.ctx, f, e, e.name, 10*time.Millisecond) })
		s.callers.Go(func() { s.repeat(func(int) { r.step() }) })
		s.callers.Go(func() {
			s.repeat(func(n int) { s.payments.pay(random, fmt.Sprint("p", i, "-", n), n%3 != 0) })
		})
		s.callers.Go(func() { s.repeat(func(n int) { s.payments.transact(random, fmt.Sprint("t", i, "-", n)) }) })
		for range 3 {
			s.callers.Go(func() { s.rated.run(s.ctx, f, e, "alpha.rated") })
		}
		s.callers.Go(func() { f.watchRevision(s.ctx, e, &s.regressions) })
	}
	s.callers.Go(func() { s.changeSettings() })
}

// repeat calls step until the load ends, with pauses of 5 ms.
func (s *soak) repeat(step func(n int)) {
	for n := 0; s.ctx.Err() == nil; n++ {
		step(n)
		time.Sleep(5 * time.Millisecond)
	}
}

// changeSettings changes a setting about every second; a change may fail during an outage.
func (s *soak) changeSettings() {
	s.repeat(func(n int) {
		time.Sleep(time.Second)
		_, _ = s.fleet.tryApply(s.ctx, map[string]string{
			"teams/alpha/accounts/other": fmt.Sprintf(`{"rate": "%d/s", "burst": 50}`, 10+n),
		})
	})
}

// injectFaults injects faults of every kind in random order. Each overlaps the one
// before by 1 s.
func (s *soak) injectFaults(random *rand.Rand, faults int) {
	f := s.fleet
	repair := func() {}
	var kinds []int
	for i := range faults {
		if len(kinds) == 0 {
			kinds = random.Perm(faultKinds)
		}
		name, nextRepair := f.fault(kinds[0], random)
		kinds = kinds[1:]
		f.t.Logf("fault %d: %s", i, name)
		time.Sleep(time.Second)
		repair()
		repair = nextRepair
		time.Sleep(2 * time.Second)
	}
	repair()
	time.Sleep(4 * time.Second)
}

// fault injects one fault and returns the function that repairs it.
func (f *fleet) fault(kind int, random *rand.Rand) (name string, repair func()) {
	place := 1 + random.IntN(3)
	d := f.databases[fmt.Sprint("g", 1+random.IntN(2), "-", 1+random.IntN(3))]
	e := f.hosts[random.IntN(len(f.hosts))]
	switch kind {
	case 0:
		f.network.isolate(place, 3, true)
		return fmt.Sprint("failure domain ", place, " cut off"), func() { f.network.isolate(place, 3, false) }
	case 1:
		f.network.holdPlace(place, 3, true)
		return fmt.Sprint("failure domain ", place, " held"), func() { f.network.holdPlace(place, 3, false) }
	case 2:
		d.process.signal(syscall.SIGSTOP)
		return d.name + " frozen", func() { d.process.signal(syscall.SIGCONT) }
	case 3:
		d.process.kill()
		return d.name + " killed", func() { f.startDatabase(d) }
	case 4:
		e.process.signal(syscall.SIGSTOP)
		return e.name + " frozen", func() { e.process.signal(syscall.SIGCONT) }
	case 5:
		e.process.kill()
		return e.name + " killed", func() { f.restartHost(e) }
	default:
		f.setPlatformFaults(`{"down": "refuse"}`)
		return "platform down", func() { f.setPlatformFaults(`{"down": "up"}`) }
	}
}

// withdrawKey withdraws a key while its callers are connected to every host.
func (s *soak) withdrawKey(t testing.TB) {
	t.Helper()
	f := s.fleet
	for _, e := range f.hosts {
		f.mustDial(e, "alpha.gone", "g2")
	}
	f.remove("teams/alpha/keys/gone")
	for _, e := range f.hosts {
		assert.Check(t, eventually(3*time.Second, func() bool {
			c, err := f.dial(e, "alpha.gone", "g2")
			if err == nil {
				c.Close(context.Background())
			}
			return err != nil
		}), "%s still accepts a withdrawn key", e.name)
	}
}

// awaitReserved waits until the platform's user can connect to a database. For a while
// after a partition every host observes the databases itself, which uses all the
// connections that are reserved for that user.
func (s *soak) awaitReserved(t testing.TB, name string) {
	t.Helper()
	started := time.Now()
	ok := eventually(15*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		c, err := pgx.Connect(ctx, "postgres://platform@"+s.fleet.databases[name].listen+"/main?sslmode=disable")
		if err == nil {
			c.Close(ctx)
		}
		return err == nil
	})
	t.Logf("%s: reserved connections free after %v: %v", name, time.Since(started).Round(time.Millisecond), ok)
	assert.Check(t, ok, name)
}

func (s *soak) stop() {
	s.cancel()
	s.callers.Wait()
}

// check compares the reported outcomes with the contents of the databases.
func (s *soak) check(t testing.TB) {
	t.Helper()
	acked, notRun, unknown := s.history.counts()
	t.Logf("seed %d: writes acknowledged %d, not run %d, unknown %d, %v; longest gap %v", soakSeed, acked, notRun, unknown, s.history.errors, s.history.longestGap)
	t.Logf("reads %d, stale %d; settings went back %d times", s.reads.Load(), s.stale.Load(), s.regressions.Load())
	assert.Check(t, s.stale.Load() == 0)
	assert.Check(t, s.regressions.Load() == 0)
	assert.Check(t, acked > 500 && s.reads.Load() > 300)
	for _, window := range []time.Duration{time.Second, 10 * time.Second} {
		bound := 50 + int(100*window.Seconds())
		most := s.rated.maxWithin(window)
		t.Logf("rated account in %v: at most %d, bound %d", window, most, bound)
		assert.Check(t, most <= bound)
	}
	s.history.check(t, s.fleet, s.fleet.hosts[1])
	s.payments.check(t)
	for name := range s.fleet.databases {
		s.awaitReserved(t, name)
		assert.Check(t, s.fleet.peakConnections(t, name) <= s.fleet.connections(), name)
	}
}
