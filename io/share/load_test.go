package share

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
)

// workload sends statements of one account to the fleet and compares the admissions
// with those of one central bucket.
type workload struct {
	fleet   *fleet
	account coltsfootloft.Account
	random  *rand.Rand
	// factor is the offered load as a multiple of the account's rate.
	factor float64
	// spread returns the hosts that callers may use; nil means all.
	spread func() []string

	mutex    sync.Mutex
	central  bucket.Bucket
	window   bucket.Bucket
	excess   float64
	offered  int
	within   int
	admitted int
	wrongful int
	waits    []time.Duration
}

func newWorkload(f *fleet, account coltsfootloft.Account, factor float64, seed uint64) *workload {
	return &workload{
		fleet:   f,
		account: account,
		random:  rand.New(rand.NewPCG(seed, 2)),
		factor:  factor,
		central: bucket.New(account.Rate(), account.Burst(), time.Now()),
		window:  bucket.New(account.Rate(), account.Burst(), time.Now()),
	}
}

// run sends statements for d.
func (l *workload) run(d time.Duration) {
	end := time.Now().Add(d)
	var all sync.WaitGroup
	for time.Now().Before(end) {
		gap := l.random.ExpFloat64() / (l.account.Rate() * l.factor)
		time.Sleep(time.Duration(gap * float64(time.Second)))
		host := l.pick()
		if host == nil {
			continue
		}
		all.Go(func() { l.one(host) })
	}
	all.Wait()
}

// flood sends a burst to one host at once.
func (l *workload) flood(n *node) {
	for range int(l.account.Burst()) {
		go l.one(n)
	}
}

// pick returns a random host, with a skew that differs between accounts.
func (l *workload) pick() *node {
	names := l.fleet.names()
	if l.spread != nil {
		names = l.spread()
	}
	for range 20 {
		i := int(float64(len(names)) * l.random.Float64() * l.random.Float64())
		shift := len(l.account.Name()) + int(l.account.Rate())
		n := l.fleet.node(names[(i+shift)%len(names)])
		if n != nil && n.isRunning() && !n.isPaused() {
			return n
		}
	}
	return nil
}

func (l *workload) one(n *node) {
	start := time.Now()
	l.mutex.Lock()
	l.offered++
	within := l.central.Take(start, 1)
	if within {
		l.within++
	}
	l.mutex.Unlock()
	admitted := l.admit(n)
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !admitted {
		if within {
			l.wrongful++
		}
		return
	}
	l.admitted++
	l.waits = append(l.waits, now.Sub(start))
	l.spend(now)
}

func (l *workload) admit(n *node) bool {
	if l.fleet.naive != nil {
		return l.fleet.naive.admit(n, l.account)
	}
	return n.limiter.Admit(context.Background(), l.account.Name(), 1) == nil
}

// spend checks that no window has more than burst + rate × window admissions, which
// holds if a bucket of the whole limit, full at first, has a token for each.
func (l *workload) spend(now time.Time) {
	if !l.window.Take(now, 1) {
		l.excess++
	}
}

func (l *workload) String() string {
	return fmt.Sprintf(
		"%s: offered %d, within rate %d, admitted %d, refused though within %d (%.3f%%), over the bound %.0f",
		l.account.Name(), l.offered, l.within, l.admitted, l.wrongful,
		100*float64(l.wrongful)/float64(max(l.within, 1)), l.excess,
	)
}

// report sums loads and logs them.
func report(t *testing.T, loads []*workload) (wrongful, excess float64) {
	t.Helper()
	within, refused, admitted := 0, 0, 0
	for _, l := range loads {
		t.Log(l.String())
		within += l.within
		refused += l.wrongful
		admitted += l.admitted
		excess += l.excess
	}
	wrongful = float64(refused) / float64(max(within, 1))
	t.Logf("all: admitted %.3f of one central bucket, refused though within %.3f%%, over the bound %.0f",
		float64(admitted)/float64(max(within, 1)), 100*wrongful, excess)
	return wrongful, excess
}

// testPlan returns the settings of 15 hosts and a database group, with accounts of these
// rates and bursts of two seconds each.
func testPlan(rates ...float64) Limits {
	p := Limits{
		Domains: []Domain{
			{Name: "d1", Seats: 5},
			{Name: "d2", Seats: 5},
			{Name: "d3", Seats: 5},
		},
	}
	for i, r := range rates {
		p.Accounts = append(p.Accounts, coltsfootloft.NewAccount(fmt.Sprintf("team/a%d", i+1), r, 2*r))
	}
	var all []coltsfootloft.Upstream
	for i := range 3 {
		all = append(all, coltsfootloft.NewUpstream(fmt.Sprintf("g1db%d", i+1), fmt.Sprintf("d%d", i+1), "127.0.0.1:1"))
	}
	p.Groups = append(p.Groups, coltsfootloft.NewGroup("g1", 35, all...))
	return p
}
