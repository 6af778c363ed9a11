package watch

import (
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/io/watch/watchpb"
)

// encodeChanges returns the message for a polling host that knows the changes
// up to number since. It returns nil for a group that hasn't changed and whose
// databases were all asked within quietLimit; quiet then bounds how long ago
// that was.
func (g *group) encodeChanges(since uint64) (m *watchpb.Group, quiet time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	changed := g.sequence > since
	m = &watchpb.Group{
		Name:     g.settings.Name(),
		Sequence: g.sequence,
	}
	for n, r := range g.readings {
		requested := now.Sub(g.requested[n])
		quiet = max(quiet, requested)
		d := &watchpb.Database{
			Name:          n,
			AskedNanos:    int64(requested),
			AnsweredNanos: int64(now.Sub(g.answered[n])),
		}
		if changed {
			d.Reading = encodeReading(r)
		}
		m.Databases = append(m.Databases, d)
	}
	if !changed && quiet < quietLimit && len(g.readings) == int(g.size) {
		return nil, quiet
	}
	return m, 0
}

func encodeReading(r coltsfootloft.Reading) *watchpb.Reading {
	m := &watchpb.Reading{
		Primary:   r.Role() == coltsfootloft.Primary,
		Fence:     r.Fence().String(),
		Received:  r.Received().Offset(),
		Applied:   r.Applied().Offset(),
		Following: r.Primary(),
		Version:   r.Version(),
	}
	if t := r.Received().Term(); t != r.Fence() {
		m.ReceivedTerm = proto.String(t.String())
	}
	if t := r.Applied().Term(); t != r.Fence() {
		m.AppliedTerm = proto.String(t.String())
	}
	return m
}

func decodeReading(m *watchpb.Reading) (coltsfootloft.Reading, error) {
	fence, err := coltsfootloft.ParseTerm(m.GetFence())
	if err != nil {
		return coltsfootloft.Reading{}, err
	}
	received, applied := fence, fence
	if m.ReceivedTerm != nil {
		if received, err = coltsfootloft.ParseTerm(m.GetReceivedTerm()); err != nil {
			return coltsfootloft.Reading{}, err
		}
	}
	if m.AppliedTerm != nil {
		if applied, err = coltsfootloft.ParseTerm(m.GetAppliedTerm()); err != nil {
			return coltsfootloft.Reading{}, err
		}
	}
	role := coltsfootloft.Replica
	if m.GetPrimary() {
		role = coltsfootloft.Primary
	}
	r := coltsfootloft.NewReading(role, fence,
		coltsfootloft.NewPosition(received, m.GetReceived()),
		coltsfootloft.NewPosition(applied, m.GetApplied()))
	return r.WithPrimary(m.GetFollowing()).WithVersion(m.GetVersion()), nil
}

func encodePosition(p coltsfootloft.Position) *watchpb.Position {
	return &watchpb.Position{
		Term:   p.Term().String(),
		Offset: p.Offset(),
	}
}

func decodePosition(m *watchpb.Position) (coltsfootloft.Position, error) {
	term, err := coltsfootloft.ParseTerm(m.GetTerm())
	return coltsfootloft.NewPosition(term, m.GetOffset()), err
}
