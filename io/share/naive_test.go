package share

import (
	"sync"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
)

// admitter decides about the admission of statements on each host. Tests compare
// the naive implementations below with the limiter.
type admitter interface {
	admit(n *node, account coltsfootloft.Account) bool
}

// staticParts gives every host a fixed equal part of the rate.
type staticParts struct {
	mutex sync.Mutex
	hosts int
	parts map[string]*bucket.Bucket
}

func (s *staticParts) admit(n *node, a coltsfootloft.Account) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := n.record.Name() + "/" + a.Name()
	b, ok := s.parts[key]
	if !ok {
		part := bucket.New(a.Rate()/float64(s.hosts), a.Burst()/float64(s.hosts), time.Now())
		b = &part
		if s.parts == nil {
			s.parts = map[string]*bucket.Bucket{}
		}
		s.parts[key] = b
	}
	return b.Take(time.Now(), 1)
}

// gossipedCounts lets every host spend the whole rate; after 100 ms it also deducts what
// the hosts that it can reach have spent.
type gossipedCounts struct {
	mutex sync.Mutex
	whole map[string]*bucket.Bucket
	spent []spending
}

type spending struct {
	host    string
	domain  string
	account string
	at      time.Time
	heard   map[string]bool
}

const gossipEvery = 100 * time.Millisecond

func (g *gossipedCounts) admit(n *node, a coltsfootloft.Account) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	key := n.record.Name() + "/" + a.Name()
	b, ok := g.whole[key]
	if !ok {
		whole := bucket.New(a.Rate(), a.Burst(), now)
		b = &whole
		if g.whole == nil {
			g.whole = map[string]*bucket.Bucket{}
		}
		g.whole[key] = b
	}
	g.hear(n, a, b, now)
	if !b.Take(now, 1) {
		return false
	}
	g.spent = append(g.spent, spending{
		host:    n.record.Name(),
		domain:  n.record.Domain(),
		account: a.Name(),
		at:      now,
		heard:   map[string]bool{},
	})
	return true
}

func (g *gossipedCounts) hear(n *node, a coltsfootloft.Account, b *bucket.Bucket, now time.Time) {
	self := n.record.Name()
	for i := len(g.spent) - 1; i >= 0; i-- {
		s := g.spent[i]
		if now.Sub(s.at) > 2*time.Second {
			break
		}
		if s.host == self || s.account != a.Name() || s.heard[self] || now.Sub(s.at) < gossipEvery {
			continue
		}
		if s.domain != n.record.Domain() && n.fleet.isCut(s.domain, n.record.Domain()) {
			continue
		}
		s.heard[self] = true
		b.Debit(now, 1)
	}
}
