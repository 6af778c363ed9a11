package watch

import (
	"coltsfootloft"
	"coltsfootloft/io/watch/watchpb"

	"google.golang.org/protobuf/proto"
)

// encode tells a polling host what it hasn't seen of the group.
func (g *group) encode(s *watchpb.Seen) *watchpb.Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	m := &watchpb.Group{
		Name:     g.settings.Name(),
		Epoch:    g.epoch,
		Sequence: g.sequence,
	}
	current := s.GetEpoch() == g.epoch && s.GetSequence() == g.sequence
	for n, r := range g.readings {
		d := &watchpb.Database{
			Name:          n,
			AskedNanos:    int64(now.Sub(g.asked[n])),
			AnsweredNanos: int64(now.Sub(g.answered[n])),
		}
		if !current {
			d.Reading = encode(r)
		}
		m.Databases = append(m.Databases, d)
	}
	return m
}

func encode(r coltsfootloft.Reading) *watchpb.Reading {
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

func decode(m *watchpb.Reading) (coltsfootloft.Reading, error) {
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
	return r.Following(m.GetFollowing()).At(m.GetVersion()), nil
}
