package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootloft/io/mirror"
	"coltsfootloft/io/quota/quotapb"
)

// reportLifetime is how long after its report a host counts as reporting: one report may be late.
const reportLifetime = 1500 * time.Millisecond

// transitAllowance is how long a report may have been on the way. The age that it states is
// counted from its arrival, so that the store would otherwise seem to have answered later.
const transitAllowance = 100 * time.Millisecond

const (
	// inquiries is how many other hosts are asked at a time whether the store answers them.
	inquiries = 3
	// inquiryTimeout bounds such a call; it is less than the period of readiness checks.
	inquiryTimeout = 200 * time.Millisecond
)

// reports is what the keeper knows of the store by the reports of other hosts.
type reports struct {
	// reported is when each registered host last reported.
	reported map[string]time.Duration
	// reached is the latest time at which the store was asked by another host and answered it.
	reached time.Duration
}

// observe records the report of another host. A host of an earlier version does not state when
// the store answered it; it counts as if the store had just done so.
func (r *reports) observe(now time.Duration, from string, report *quotapb.Report, v *mirror.View) {
	if _, ok := v.Hosts[from]; !ok {
		return
	}
	if r.reported == nil {
		r.reported = make(map[string]time.Duration)
	}
	r.reported[from] = now
	for host, at := range r.reported {
		if now-at > reportLifetime {
			delete(r.reported, host)
		}
	}
	reached := now
	if report.StoreAgeMs != nil {
		reached = now - transitAllowance - time.Duration(max(report.GetStoreAgeMs(), 0))*time.Millisecond
	}
	r.reached = max(r.reached, reached)
}

// count returns how many hosts reported recently.
func (r *reports) count(now time.Duration) int {
	n := 0
	for _, at := range r.reported {
		if now-at <= reportLifetime {
			n++
		}
	}
	return n
}

// StoreNews is what a host knows by way of the quota keeper about whether other hosts reach the
// store.
type StoreNews struct {
	// Silence is how long ago the host named as the keeper last answered, and KeeperSilence how
	// long ago it last answered as the keeper.
	Silence, KeeperSilence time.Duration
	// Reached is the latest time, on this host's clock, at which another host is known to have
	// asked the store and got an answer.
	Reached time.Duration
	// Reporters is the number of hosts that had reported to the keeper at its last answer; 0 if it
	// does not state it.
	Reporters int
}

// StoreNews returns what is known about whether other hosts reach the store.
func (l *Limiter) StoreNews() StoreNews {
	l.allocatorMu.Lock()
	reached := l.reporters.reached
	l.allocatorMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	n := l.news
	n.Silence = now - l.heardAt
	n.KeeperSilence = now - l.lastAnswer
	n.Reached = max(n.Reached, reached)
	return n
}

// observeNews records what an answer says of the store; mu is held.
func (l *Limiter) observeNews(sent time.Duration, g *quotapb.Grants) {
	l.heardAt = l.Clock.Elapsed()
	l.news.Reporters = int(g.GetHeard())
	l.observeReached(sent, g)
}

// Inquire asks some other hosts when the store last answered them. It is called while the store
// does not answer this host: the reports that carry the same come too seldom to tell before
// the lease ends. Hosts that are not the keeper answer a report without lines, too.
func (l *Limiter) Inquire(ctx context.Context) {
	body, err := proto.Marshal(&quotapb.Report{
		Some:       true,
		StoreAgeMs: proto.Int64(l.StoreAge().Milliseconds()),
	})
	if err != nil {
		panic(err) // a report without names always encodes
	}
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	hosts := l.Mirror.View().HostNames()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var wg sync.WaitGroup
	for _, host := range hosts[:min(inquiries+1, len(hosts))] {
		if host == l.Duty.Self {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.inquireAt(ctx, host, body)
		}()
	}
	wg.Wait()
}

func (l *Limiter) inquireAt(ctx context.Context, host string, body []byte) {
	sent := l.Clock.Elapsed()
	b, err := l.Peers.Call(ctx, host, l.Duty.Name, body)
	var g quotapb.Grants
	if err != nil || proto.Unmarshal(b, &g) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeReached(sent, &g)
}

// observeReached records when the store last answered the host that gave an answer; mu is held.
func (l *Limiter) observeReached(sent time.Duration, g *quotapb.Grants) {
	age := time.Duration(max(g.GetStoreAgeMs(), 0)+1) * time.Millisecond
	l.news.Reached = max(l.news.Reached, sent-age)
}

// fleetStoreAge returns how long ago the store last answered this host or another that has reported;
// allocatorMu is held.
func (l *Limiter) fleetStoreAge(now time.Duration) time.Duration {
	if l.reporters.reached == 0 {
		return l.StoreAge()
	}
	return max(min(l.StoreAge(), now-l.reporters.reached), 0)
}
