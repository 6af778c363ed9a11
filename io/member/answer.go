package member

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/gossip"
	"coltsfootloft/io/decode"
	"coltsfootloft/io/member/memberpb"
)

// call sends a request to a host and returns its answer.
func (v *View) call(ctx context.Context, host string, r *memberpb.Request) (*memberpb.Answer, error) {
	timeout := heartbeatTimeout
	switch r.GetKind().(type) {
	case *memberpb.Request_Probe:
		// The host that probes may itself take as long as a heartbeat.
		timeout *= 2
	case *memberpb.Request_Collect:
		timeout = collectTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := proto.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "member request")
	}
	b, err := v.Peers.Call(ctx, host, Duty, body)
	if err != nil {
		return nil, err
	}
	var a memberpb.Answer
	if err := proto.Unmarshal(b, &a); err != nil {
		return nil, errors.Wrap(err, "member answer")
	}
	return &a, nil
}

// answer handles a request of another host.
func (v *View) answer(ctx context.Context, from string, body []byte) ([]byte, error) {
	var r memberpb.Request
	if err := decode.Message(body, &r); err != nil {
		return nil, errors.Wrap(err, "member request")
	}
	a := &memberpb.Answer{}
	switch k := r.GetKind().(type) {
	case *memberpb.Request_Beat:
		v.applyHeartbeat(from, k.Beat)
		v.mu.Lock()
		a.Beat = v.compose(from, k.Beat.GetWhole())
		v.mu.Unlock()
	case *memberpb.Request_Probe:
		a.Answered = v.exchange(ctx, k.Probe) == nil
	case *memberpb.Request_Collect:
		a.Revisions = v.collectRevisions(ctx, k.Collect)
	default:
		return nil, errors.New("member request of unknown kind")
	}
	b, err := proto.Marshal(a)
	return b, errors.Wrap(err, "member answer")
}

// collectRevisions returns the revision of this host, or those of all hosts of
// its failure domain if domain is set.
func (v *View) collectRevisions(ctx context.Context, domain bool) []*memberpb.Revision {
	own := &memberpb.Revision{
		Host:     v.Host.Name(),
		Revision: v.revision(),
	}
	if !domain {
		return []*memberpb.Revision{own}
	}
	var names []string
	for _, h := range v.Alive() {
		if h.Domain() == v.Host.Domain() && h.Name() != v.Host.Name() {
			names = append(names, h.Name())
		}
	}
	all := v.requestRevisions(ctx, names, false)
	return append(all, own)
}

// requestRevisions collects revisions from hosts, up to maxCollectCalls at a
// time.
func (v *View) requestRevisions(ctx context.Context, hosts []string, domain bool) []*memberpb.Revision {
	var mu sync.Mutex
	var all []*memberpb.Revision
	var group sync.WaitGroup
	slots := make(chan struct{}, maxCollectCalls)
	for _, h := range hosts {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			a, err := v.call(ctx, h, &memberpb.Request{Kind: &memberpb.Request_Collect{Collect: domain}})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a.GetRevisions()...)
		})
	}
	group.Wait()
	return all
}

// Revisions returns the revision of the settings in force on every host that
// can be reached, by name of the host. Live hosts that are missing did not
// answer.
func (v *View) Revisions(ctx context.Context) map[string]uint64 {
	v.prepare()
	relays := make(map[string][]string)
	for _, h := range v.Alive() {
		if relays[h.Domain()] == nil {
			relays[h.Domain()] = v.relays(h.Domain())
		}
	}
	found := make(map[string]uint64)
	for round := range listRelays {
		var hosts []string
		for _, d := range slices.Sorted(maps.Keys(relays)) {
			if round < len(relays[d]) {
				hosts = append(hosts, relays[d][round])
			}
		}
		for _, r := range v.requestRevisions(ctx, hosts, true) {
			found[r.GetHost()] = r.GetRevision()
			if m, ok := v.find(r.GetHost()); ok {
				delete(relays, m.Record().Domain())
			}
		}
	}
	found[v.Host.Name()] = v.revision()
	return found
}

func (v *View) find(host string) (gossip.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Find(host)
}

func encodeClaim(m gossip.Member) *memberpb.Claim {
	return &memberpb.Claim{
		Name:        m.Record().Name(),
		Domain:      m.Record().Domain(),
		Address:     m.Record().Address(),
		Upstream:    m.Record().Upstream(),
		Leaving:     m.Record().Leaving(),
		Incarnation: m.Incarnation(),
		Status:      uint32(m.Status()),
	}
}

func decodeClaim(c *memberpb.Claim) gossip.Member {
	h := coltsfootloft.NewHost(c.GetName(), c.GetDomain(), c.GetAddress())
	if c.GetUpstream() {
		h = h.AsUpstream()
	}
	if c.GetLeaving() {
		h = h.AsLeaving()
	}
	return gossip.NewMember(h, c.GetIncarnation()).As(gossip.Status(min(c.GetStatus(), uint32(gossip.Dead))))
}
