package caller

import (
	"coltsfootloft/core/conf"
	"coltsfootloft/core/quorum"
	"coltsfootloft/core/route"
	"coltsfootloft/io/pool"
)

// view is a snapshot of the state of a group, valid until the next change of the
// group or the settings. Sessions share it and must not modify it.
type view struct {
	fleet      *conf.Fleet
	changed    <-chan struct{}
	candidates []route.Candidate
	pools      []*pool.Pool
}

func (v *view) isCurrent(f *conf.Fleet) bool {
	if v == nil || v.fleet != f {
		return false
	}
	select {
	case <-v.changed:
		return false
	default:
		return true
	}
}

// view returns the current view of a group.
func (e *Env) view(group string) *view {
	f := e.Fleet()
	cached, _ := e.views.Load(group)
	v, _ := cached.(*view)
	if v.isCurrent(f) {
		return v
	}
	v = e.buildView(f, group)
	e.views.Store(group, v)
	return v
}

func (e *Env) buildView(f *conf.Fleet, group string) *view {
	v := &view{
		fleet:   f,
		changed: e.Groups.Changed(group),
	}
	g, ok := f.Group(group)
	if !ok {
		return v
	}
	readings := e.Groups.Readings(group)
	upstreams := g.Group().Upstreams()
	primary, _, hasPrimary := quorum.Size(len(upstreams)).Primary(readings)
	for _, u := range upstreams {
		r, known := readings[u.Name()]
		p, open := e.Pool(u.Name())
		if !known || !open {
			continue
		}
		v.candidates = append(v.candidates, route.Candidate{
			Upstream:  u,
			Reading:   r,
			IsPrimary: hasPrimary && u.Name() == primary,
		})
		v.pools = append(v.pools, p)
	}
	return v
}
