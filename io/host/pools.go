package host

import (
	"sync"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/io/pool"
)

// pools holds the connections to every database of the settings.
type pools struct {
	login  pool.Login
	secure security
	shares coltsfootloft.Shares
	weight func(account string) int
	clock  clockwork.Clock
	log    logr.Logger

	mu  sync.RWMutex
	all map[string]*pool.Pool
}

// get returns the pool of a database.
func (p *pools) get(database string) (*pool.Pool, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	found, ok := p.all[database]
	return found, ok
}

// configure opens pools for new databases and closes those of databases that are
// gone or have moved.
func (p *pools) configure(f *conf.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*pool.Pool)
	for _, g := range f.Groups() {
		group, _ := f.Group(g.Name())
		for _, u := range g.Upstreams() {
			next[u.Name()] = p.keepOrOpen(group, u)
		}
	}
	for name, old := range p.all {
		if next[name] != old {
			go old.Close()
		}
	}
	p.all = next
}

func (p *pools) keepOrOpen(g conf.Group, u coltsfootloft.Upstream) *pool.Pool {
	if old, ok := p.all[u.Name()]; ok && isSame(old, g, u) {
		return old
	}
	login := p.login
	login.Database = g.UpstreamDatabase()
	login.TLS = p.secure.upstream(u.Address())
	return &pool.Pool{
		Upstream:       u,
		Login:          login,
		Shares:         p.shares,
		Clock:          p.clock,
		Log:            p.log,
		ConnectTimeout: g.ConnectTimeout(),
		Weight:         p.weight,
	}
}

// isSame reports whether the settings of a pool's connections still hold.
func isSame(old *pool.Pool, g conf.Group, u coltsfootloft.Upstream) bool {
	return old.Upstream == u &&
		old.Login.Database == g.UpstreamDatabase() &&
		old.ConnectTimeout == g.ConnectTimeout()
}

// reclaim gives up an idle connection of a database for another host.
func (p *pools) reclaim(database string) bool {
	found, ok := p.get(database)
	return ok && found.Reclaim()
}

// shed gives connections up as they come back, for another host.
func (p *pools) shed(database string, count int) {
	if found, ok := p.get(database); ok {
		found.Shed(count)
	}
}

// revoke closes connections whose rights end.
func (p *pools) revoke(database string, count int) {
	if found, ok := p.get(database); ok {
		found.Revoke(count)
	}
}

func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.all {
		o.Close()
	}
	p.all = nil
}
