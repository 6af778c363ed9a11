package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"coltsfootloft/stand/linedb"
	"coltsfootloft/stand/opset"
	"coltsfootloft/stand/relay"
)

// group is one database group, the ways to its databases, and their entries in the store.
type group struct {
	*linedb.Group
	soak *soak
	ids  []string
	ways []*relay.Switch

	mu    sync.Mutex
	down  map[string]time.Time // since when a database is down
	roles map[string]string    // as announced; none for one without an entry
	seq   int
	// written holds the store's revision of the entry of each database, and beats when it was
	// last compared with the store's.
	written map[string]uint64
	beats   map[string]time.Time
}

// heartbeat is how often a database writes its entry, as on the users' platform.
const heartbeat = 1200 * time.Millisecond

const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

func (s *soak) startGroup(ctx context.Context, number int) error {
	g := &group{
		Group: &linedb.Group{
			Name:            fmt.Sprintf("group-%d", number+1),
			Lag:             lag,
			MaxConns:        connections,
			DrawPromoteTime: drawPromotions(s.seed + uint64(number)),
		},
		soak:    s,
		down:    make(map[string]time.Time),
		roles:   make(map[string]string),
		written: make(map[string]uint64),
		beats:   make(map[string]time.Time),
	}
	for i := range databases {
		l, err := listen(ctx, fmt.Sprintf("%s.2.%d:0", s.net, number*databases+i+1))
		if err != nil {
			return err
		}
		id := fmt.Sprintf("db-%d-%d", number+1, i+1)
		d := g.Add(ctx, id, l)
		w, err := s.startSwitch(ctx, d.Addr())
		if err != nil {
			return err
		}
		g.ids = append(g.ids, id)
		g.ways = append(g.ways, w)
	}
	s.groups = append(s.groups, g)
	go g.keepEntries(ctx)
	return nil
}

// promote answers the platform's call that promotes a database.
func (s *soak) promote(name, database, holder string, fence uint64) int {
	for _, g := range s.groups {
		if g.Name == name {
			code := g.Promote(database, fence)
			s.ordered(g, database, holder)
			return code
		}
	}
	const unknown = 404
	return unknown
}

// silence is how long a database may be down before its entry is removed.
const silence = 1500 * time.Millisecond

// keepEntries writes the entries of the databases as they change, until ctx ends.
func (g *group) keepEntries(ctx context.Context) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for ctx.Err() == nil {
		g.writeEntries()
		<-t.C
	}
}

func (g *group) writeEntries() {
	primary := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, id := range g.ids {
		since, down := g.down[id]
		switch {
		case down && time.Since(since) > silence:
			if g.roles[id] != "" {
				g.soak.store.Remove("servers/" + id)
				g.roles[id] = ""
			}
			continue
		case down:
			continue
		}
		role := roleReplica
		if id == primary {
			role = rolePrimary
		}
		if g.roles[id] == role && !g.isOverwritten(id) {
			continue
		}
		g.roles[id] = role
		g.seq++
		g.written[id] = g.soak.store.Put("servers/"+id, opset.Entry(g.Name, g.ways[i].Listener.Addr().String(), role, g.soak.domain(i), "ready", g.seq))
	}
}

// isOverwritten reports, once in each heartbeat of a database, whether another writer has overwritten or
// removed its entry; mu is held.
func (g *group) isOverwritten(id string) bool {
	if time.Since(g.beats[id]) < heartbeat {
		return false
	}
	g.beats[id] = time.Now()
	entry, _ := g.soak.store.Get("servers/" + id)
	return entry.Revision != g.written[id]
}

// kill takes a database down for a time. It does nothing if one of the group is down.
func (g *group) kill(id string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.down) == 0 {
		g.takeDown(id, d)
	}
}

// crash takes a database down for a time, also if another one of the group is down.
func (g *group) crash(id string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, down := g.down[id]; !down {
		g.takeDown(id, d)
	}
}

// takeDown takes a database down for a time; mu is held.
func (g *group) takeDown(id string, d time.Duration) {
	g.down[id] = time.Now()
	g.SetDown(id, true)
	time.AfterFunc(d, func() {
		g.Rejoin(id)
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.down, id)
	})
}
