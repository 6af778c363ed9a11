package host

import (
	"sync"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/io/pool"
)

// pools holds a connection pool for each database in the settings. It is safe for
// concurrent use.
type pools struct {
	login  pool.Login
	certs  certificates
	shares coltsfootloft.Shares
	weight func(account string) int
	clock  clockwork.Clock
	log    logr.Logger

	mu     sync.RWMutex
	byName map[string]*pool.Pool
}

// get returns the pool of a database; ok is false if the settings have no such
// database.
func (p *pools) get(database string) (*pool.Pool, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	found, ok := p.byName[database]
	return found, ok
}

// configure creates pools for new databases and closes the pools of databases that
// were removed or whose connection settings have changed.
func (p *pools) configure(f *conf.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*pool.Pool)
	for _, g := range f.Groups() {
		group, _ := f.Group(g.Name())
		for _, u := range g.Upstreams() {
			next[u.Name()] = p.reuseOrCreate(group, u)
		}
	}
	for name, old := range p.byName {
		if next[name] != old {
			go old.Close()
		}
	}
	p.byName = next
}

// reuseOrCreate returns the existing pool of an upstream if its settings are
// unchanged, otherwise a new one.
func (p *pools) reuseOrCreate(g conf.Group, u coltsfootloft.Upstream) *pool.Pool {
	if old, ok := p.byName[u.Name()]; ok && settingsUnchanged(old, g, u) {
		return old
	}
	login := p.login
	login.Database = g.UpstreamDatabase()
	login.TLS = p.certs.upstreamTLS(u.Address())
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

// settingsUnchanged reports whether a pool was created with the current upstream (its
// name, failure domain and address), database name and connect timeout.
func settingsUnchanged(old *pool.Pool, g conf.Group, u coltsfootloft.Upstream) bool {
	return old.Upstream == u &&
		old.Login.Database == g.UpstreamDatabase() &&
		old.ConnectTimeout == g.ConnectTimeout()
}

// reclaim closes an idle connection to a database, so that another host may open
// one. It reports whether there was one.
func (p *pools) reclaim(database string) bool {
	found, ok := p.get(database)
	return ok && found.Reclaim()
}

// shed closes up to count connections to a database as they are returned to the
// pool, so that another host may open them.
func (p *pools) shed(database string, count int) {
	if found, ok := p.get(database); ok {
		found.CloseOnRelease(count)
	}
}

// revoke closes count connections to a database that this host may no longer hold.
func (p *pools) revoke(database string, count int) {
	if found, ok := p.get(database); ok {
		found.Revoke(count)
	}
}

func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.byName {
		o.Close()
	}
	p.byName = nil
}
