package edge

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/conf"
	"coltsfootloft/io/mirror"
	"coltsfootloft/stand/keyval"
	"coltsfootloft/stand/opset"
)

const (
	coldRate    = 20
	coldOverage = 1.5
	coldSlack   = 5
	// coldNotice is how long hosts may take to learn that a database is cold.
	coldNotice = 500 * time.Millisecond
)

// coldFleet sets up a fleet whose databases are limited while they are cold.
func coldFleet(f *fleet) {
	f.group.CountRequests = true
	f.hasHostLinks = true
	f.change = func(s *conf.EntrySettings) {
		s.ColdOverage = coldOverage
		s.ColdSlack = coldSlack
	}
	f.config.Services = []service{{
		Name:       "notices",
		MaxConns:   30,
		ColdStartS: 30,
		ColdPerS:   coldRate,
	}}
}

// announceCold writes the entry of database i with the time for which it stays cold.
func (f *fleet) announceCold(i, remainingMS int) {
	d := f.databases[i]
	role := "replica"
	if f.group.Primary() == d.ID() {
		role = "primary"
	}
	e := opset.Entry("notices", f.addressOf(d.ID(), d.Addr()), role, fmt.Sprintf("domain-%d", i+1), "ready", 2)
	e["ColdRemainingMs"] = remainingMS
	f.store.Put("servers/"+d.ID(), e)
}

// load has callers at each host that send one statement after another. Its result stops them and
// returns how many statements were answered and how many were refused.
func (f *fleet) load(callers int, route string, texts ...string) (stop func() (served, refused int64)) {
	var wg sync.WaitGroup
	var done atomic.Bool
	var served, refused atomic.Int64
	for _, h := range f.hosts {
		for range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for c := (*client)(nil); !done.Load(); {
					if c == nil {
						if c = tryConnect(f.t, h, route); c == nil {
							time.Sleep(10 * time.Millisecond)
							continue
						}
					}
					for _, text := range texts {
						switch a := c.do(text); {
						case a.lost:
							c = nil
						case a.code == "":
							served.Add(1)
						default:
							refused.Add(1)
						}
						if c == nil {
							break
						}
					}
				}
			}()
		}
	}
	return func() (int64, int64) {
		done.Store(true)
		wg.Wait()
		return served.Load(), refused.Load()
	}
}

// tryConnect starts a session, or returns nil if the host does not take it.
func tryConnect(t *testing.T, h *testHost, route string) *client {
	conn, err := net.DialTimeout("tcp", h.settings.Listen, time.Second)
	if err != nil {
		return nil
	}
	c, _ := start(t, conn, route, "key-arima")
	return c
}

// requestsBetween returns when a database received requests in a period, and how many of them a second.
func (f *fleet) requestsBetween(id string, from, to time.Time) (at []time.Time, perSecond float64) {
	for _, r := range f.group.Requests(id) {
		if !r.At.Before(from) && r.At.Before(to) {
			at = append(at, r.At)
		}
	}
	return at, float64(len(at)) / to.Sub(from).Seconds()
}

// mostInASecond returns the greatest number of times within one second.
func mostInASecond(at []time.Time) int {
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// quotaKeeper returns the index of the host that holds the duty of the first quota shard.
func (f *fleet) quotaKeeper() int {
	f.t.Helper()
	keeper := 0
	f.await("a quota keeper", 5*time.Second, func() bool {
		i, ok := f.store.Get("coltsfootloft/" + mirror.DutyKey("quota-0"))
		for n, h := range f.hosts {
			if ok && string(i.Value) == h.settings.Name {
				keeper = n
				return true
			}
		}
		return false
	})
	return keeper
}

// checkBound checks that no second in a period has more requests to a database than the bound.
func (f *fleet) checkBound(id string, from, to time.Time) (perSecond float64) {
	f.t.Helper()
	at, perSecond := f.requestsBetween(id, from, to)
	f.t.Logf("%s: %d requests, %.1f a second, at most %d in a second", id, len(at), perSecond, mostInASecond(at))
	assert.Assert(f.t, mostInASecond(at) <= coldRate*coldOverage+coldSlack, "%s: %d in a second", id, mostInASecond(at))
	return perSecond
}

// TestColdDatabaseGetsItsRate guards against a cold database that gets more in some second than its
// bound, from hosts whose callers ask for far more, while the links to the quota keeper are cut and
// while it changes; and against one that gets next to nothing and so stays cold, or whose reads are
// refused although others can serve them.
func TestColdDatabaseGetsItsRate(t *testing.T) {
	f := startFleet(t, 3, coldFleet)
	f.announceCold(1, 30_000) // the quota keeper is in the domain of at most one of them
	f.announceCold(2, 30_000)
	time.Sleep(coldNotice)
	from := time.Now()
	stop := f.load(8, "board", "READ x", "BEGIN READ", "READ y", "READ z", "COMMIT")
	time.Sleep(4 * time.Second)
	for _, id := range []string{"db-2", "db-3"} {
		rate := f.checkBound(id, from, time.Now())
		assert.Assert(t, rate >= coldRate/2, "only %.1f a second of %d", rate, coldRate)
	}
	keeper := f.quotaKeeper()
	for i := range f.hosts {
		if i != keeper {
			f.hostLinks.Between(hostName(i), hostName(keeper)).Cut(true)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	for i := range f.hosts {
		if i != keeper {
			f.hostLinks.Between(hostName(i), hostName(keeper)).Cut(false)
		}
	}
	time.Sleep(time.Second)
	f.restart(keeper)
	time.Sleep(4 * time.Second)
	served, refused := stop()
	f.checkBound("db-2", from, time.Now())
	f.checkBound("db-3", from, time.Now())
	t.Logf("%d statements served, %d refused", served, refused)
	assert.Assert(t, served > 20*refused, "%d refused of %d", refused, served)
}

// TestColdPrimaryGetsItsRate guards against a cold primary that gets more than its bound from writes,
// transactions and the status requests of the holder of changes of primary, and against a
// transaction that commits without its statements, or is in doubt, because one could not be sent.
func TestColdPrimaryGetsItsRate(t *testing.T) {
	f := startFleet(t, 3, coldFleet)
	f.announceCold(0, 30_000)
	time.Sleep(coldNotice)
	from := time.Now()
	stop := f.load(4, "file", "WRITE x y", "BEGIN", "WRITE a b", "READ x", "COMMIT")
	time.Sleep(5 * time.Second)
	rate := f.checkBound("db-1", from, time.Now())
	assert.Assert(t, rate >= coldRate/2, "only %.1f a second of %d", rate, coldRate)
	status := 0
	for _, r := range f.group.Requests("db-1") {
		if r.Word == "STATUS" && r.At.After(from) {
			status++
		}
	}
	assert.Assert(t, status > 0, "the primary is not checked any more")
	assert.Equal(t, len(f.group.Promotions()), 0, "a cold primary is not lost")
	f.announceCold(0, 0)
	time.Sleep(coldNotice)
	warm := time.Now()
	time.Sleep(time.Second)
	served, _ := stop()
	_, rate = f.requestsBetween("db-1", warm, time.Now())
	assert.Assert(t, served > 0 && rate > 4*coldRate, "%.1f a second once it is warm", rate)
}

// TestColdDatabasesAreNotLimitedWithoutARate guards against a host that limits what it sent before where
// the operators' settings have no rate for cold databases.
func TestColdDatabasesAreNotLimitedWithoutARate(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) {
		coldFleet(f)
		f.config.Services[0].ColdPerS = 0
	})
	f.announceCold(0, 30_000)
	time.Sleep(coldNotice)
	from := time.Now()
	stop := f.load(4, "file", "WRITE x y")
	time.Sleep(2 * time.Second)
	stop()
	_, rate := f.requestsBetween("db-1", from, time.Now())
	assert.Assert(t, rate > 4*coldRate, "%.1f a second", rate)
	for _, h := range f.hosts {
		for _, name := range []string{"coltsfootloft_cold_requests_total", "coltsfootloft_cold_refusals_total"} {
			assert.Equal(t, h.edge.metrics.GetOrCreateCounter(name).Get(), uint64(0), name)
		}
	}
}

// TestWarmDatabaseIsPromoted guards against a cold database that becomes primary although a warm one
// has received as much.
func TestWarmDatabaseIsPromoted(t *testing.T) {
	f := startFleet(t, 3, coldFleet)
	c, _ := connect(t, f.hosts[0], "file", "key-arima")
	c.must("WRITE x y")
	f.announceCold(1, 30_000) // db-2 precedes db-3 otherwise
	time.Sleep(coldNotice)
	f.announce(0, "draining")
	f.await("another primary", 5*time.Second, func() bool { return f.group.Primary() != "db-1" })
	assert.Equal(t, f.group.Primary(), "db-3")
}

// startColdInTheSouth starts a fleet in which only db-3 can serve the route "board".
func startColdInTheSouth(t *testing.T) *fleet {
	t.Helper()
	f := startFleet(t, 3, func(f *fleet) {
		coldFleet(f)
		f.withdrawalLimit = 5 * time.Second // keys are served on without the store
		cold := f.change
		twoRegions(f)
		regions := f.change
		f.change = func(s *conf.EntrySettings) {
			cold(s)
			regions(s)
		}
	})
	f.setRegions("board", []string{"south"})
	return f
}

// TestDatabaseThatStartsAgainIsNotOverrun guards against a database that gets more than its bound right
// after it has started again, before its entry has reached the hosts.
func TestDatabaseThatStartsAgainIsNotOverrun(t *testing.T) {
	f := startColdInTheSouth(t)
	stop := f.load(8, "board", "READ x")
	time.Sleep(500 * time.Millisecond)
	f.group.SetDown("db-3", true)
	time.Sleep(time.Second)
	from := time.Now()
	f.group.SetDown("db-3", false)
	f.await("a request", 2*time.Second, func() bool {
		at, _ := f.requestsBetween("db-3", from, time.Now())
		return len(at) > 0
	})
	time.Sleep(200 * time.Millisecond)
	f.announceCold(2, 30_000)
	time.Sleep(3 * time.Second)
	stop()
	rate := f.checkBound("db-3", from, time.Now())
	assert.Assert(t, rate >= coldRate/2, "only %.1f a second of %d", rate, coldRate)
}

// TestDatabaseThatMayBeColdIsLimited guards against hosts that send a database which has started again as
// much as before, because they are cut off from the store and can't know that it is cold.
func TestDatabaseThatMayBeColdIsLimited(t *testing.T) {
	f := startColdInTheSouth(t)
	stop := f.load(4, "board", "READ x")
	time.Sleep(time.Second)
	f.store.SetFaults(keyval.Faults{Down: true})
	f.group.SetDown("db-3", true)
	time.Sleep(500 * time.Millisecond)
	from := time.Now()
	f.group.SetDown("db-3", false)
	time.Sleep(1500 * time.Millisecond)
	f.checkBound("db-3", from, time.Now())
	f.store.SetFaults(keyval.Faults{})
	f.await("a database that is used as before", 5*time.Second, func() bool {
		_, rate := f.requestsBetween("db-3", time.Now().Add(-time.Second), time.Now())
		return rate > 4*coldRate
	})
	stop()
}
