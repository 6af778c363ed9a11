package feed

import (
	"context"
	"math/rand"

	"github.com/pkg/errors"

	"coltsfootloft/core/delta"
	"coltsfootloft/io/feed/feedpb"
)

// maxChunk is how many bytes of values one answer to a pull holds, at least one
// record.
const maxChunk = 1 << 20

// pullDuty pulls newer revisions from the hosts that were heard to have them.
func (f *Feed) pullDuty(ctx context.Context) {
	for f.Revision() == 0 && ctx.Err() == nil {
		f.start(ctx)
	}
	for {
		host := f.hint()
		if host == "" {
			select {
			case <-f.hinted:
			case <-ctx.Done():
				return
			}
			continue
		}
		if err := f.pull(ctx, host); err != nil {
			f.Log.V(1).Info("settings not pulled", "host", host, "reason", err.Error())
		}
	}
}

// start asks hosts for their settings: the relays, and then any.
func (f *Feed) start(ctx context.Context) {
	self := f.Members.Self()
	ask := f.relaysOf(self.Domain())
	all := f.Members.Alive()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, h := range all[:min(relays, len(all))] {
		ask = append(ask, h.Name())
	}
	for _, h := range ask {
		if h != self.Name() && f.Revision() == 0 && ctx.Err() == nil {
			_ = f.pull(ctx, h)
		}
	}
	if f.Revision() > 0 {
		return
	}
	select {
	case <-f.hinted:
		if h := f.hint(); h != "" {
			_ = f.pull(ctx, h)
		}
	case <-f.Changed():
	case <-f.Clock.After(startRetry):
	case <-ctx.Done():
	}
}

// hint takes the host that was heard to have the newest revision, or none if no
// revision is newer than this host's.
func (f *Feed) hint() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := ""
	for h, r := range f.hints {
		if r <= f.table.Revision() {
			delete(f.hints, h)
			continue
		}
		if best == "" || r > f.hints[best] {
			best = h
		}
	}
	delete(f.hints, best)
	return best
}

// pull brings this host to the other's revision, if that is newer.
func (f *Feed) pull(ctx context.Context, host string) error {
	var records []delta.Record
	request := &feedpb.Pull{Since: f.Revision()}
	for {
		a, err := f.ask(ctx, host, request)
		if err != nil {
			return err
		}
		d := decodeDelta(a.GetSince(), a.GetRevision(), a.GetRecords())
		records = append(records, d.Records()...)
		if !a.GetMore() {
			f.takeDelta(host, "", delta.NewDelta(d.Since(), d.Revision(), records))
			return nil
		}
		if request.AfterKey != "" && a.GetSince() != request.GetSince() {
			return errors.New("delta starts from another revision than its first part")
		}
		last := records[len(records)-1]
		request.Since = a.GetSince()
		request.AfterStamp = last.Version()
		request.AfterKey = last.Key()
	}
}

func (f *Feed) ask(ctx context.Context, host string, p *feedpb.Pull) (*feedpb.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := encodePull(p)
	if err != nil {
		return nil, err
	}
	b, err := f.Peers.Call(ctx, host, Duty, body)
	if err != nil {
		return nil, err
	}
	return decodeAnswer(b)
}

// pulled answers a pull with the next part of the delta.
func (f *Feed) pulled(p *feedpb.Pull) *feedpb.Answer {
	f.mu.Lock()
	revision := f.table.Revision()
	d := delta.NewDelta(0, revision, nil)
	if p.GetSince() < revision {
		d = f.table.Since(p.GetSince())
	}
	f.mu.Unlock()
	a := &feedpb.Answer{
		Revision: revision,
		Since:    d.Since(),
	}
	bytes := 0
	for _, r := range d.Records() {
		if r.Version() < p.GetAfterStamp() || (r.Version() == p.GetAfterStamp() && r.Key() <= p.GetAfterKey()) {
			continue
		}
		if bytes += len(r.Value()); bytes > maxChunk && len(a.Records) > 0 {
			a.More = true
			break
		}
		a.Records = append(a.Records, encodeRecord(r))
	}
	return a
}
