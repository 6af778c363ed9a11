package feed

import (
	"context"
	"math/rand"

	"github.com/pkg/errors"

	"coltsfootloft/core/delta"
	"coltsfootloft/io/feed/feedpb"
)

// maxChunk bounds the values in one answer to a pull, in bytes. An answer holds at
// least one record, whatever its size.
const maxChunk = 1 << 20

// pullLoop pulls newer revisions from the hosts that are known to have them.
func (f *Feed) pullLoop(ctx context.Context) {
	for f.Revision() == 0 && ctx.Err() == nil {
		f.pullInitial(ctx)
	}
	for {
		host := f.popHint()
		if host == "" {
			select {
			case <-f.hintAdded:
			case <-ctx.Done():
				return
			}
			continue
		}
		if err := f.pull(ctx, host); err != nil {
			f.Log.V(1).Info("could not pull settings", "host", host, "reason", err.Error())
		}
	}
}

// pullInitial makes one round of pulls on a host that has no settings yet: from the
// relays of its domain, then from random hosts, then from a host that reports a
// revision before initialRetry has passed.
func (f *Feed) pullInitial(ctx context.Context) {
	self := f.Members.Self()
	targets := f.relaysOf(self.Domain())
	all := f.Members.Alive()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, h := range all[:min(relaysPerDomain, len(all))] {
		targets = append(targets, h.Name())
	}
	for _, h := range targets {
		if h != self.Name() && f.Revision() == 0 && ctx.Err() == nil {
			_ = f.pull(ctx, h)
		}
	}
	if f.Revision() > 0 {
		return
	}
	select {
	case <-f.hintAdded:
		if h := f.popHint(); h != "" {
			_ = f.pull(ctx, h)
		}
	case <-f.Changed():
	case <-f.Clock.After(initialRetry):
	case <-ctx.Done():
	}
}

// popHint removes and returns the host that is known to have the newest revision,
// or "" if none has a newer one than this host.
func (f *Feed) popHint() string {
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

// pull requests the changes since this host's revision from another host, chunk by
// chunk, and applies them once all have come.
func (f *Feed) pull(ctx context.Context, host string) error {
	var records []delta.Record
	request := &feedpb.Pull{Since: f.Revision()}
	for {
		a, err := f.requestPull(ctx, host, request)
		if err != nil {
			return err
		}
		d := decodeDelta(a.GetSince(), a.GetRevision(), a.GetRecords())
		records = append(records, d.Records()...)
		if !a.GetMore() {
			f.applyDelta(host, "", delta.NewDelta(d.Since(), d.Revision(), records))
			return nil
		}
		if request.AfterKey != "" && a.GetSince() != request.GetSince() {
			return errors.New("delta chunk starts from another revision than the first chunk")
		}
		last := records[len(records)-1]
		request.Since = a.GetSince()
		request.AfterStamp = last.Version()
		request.AfterKey = last.Key()
	}
}

// requestPull requests one chunk.
func (f *Feed) requestPull(ctx context.Context, host string, p *feedpb.Pull) (*feedpb.Answer, error) {
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

// handlePull answers a pull with the next chunk of the delta.
func (f *Feed) handlePull(p *feedpb.Pull) *feedpb.Answer {
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
	size := 0
	for _, r := range d.Records() {
		if r.Version() < p.GetAfterStamp() || (r.Version() == p.GetAfterStamp() && r.Key() <= p.GetAfterKey()) {
			continue
		}
		if size += len(r.Value()); size > maxChunk && len(a.Records) > 0 {
			a.More = true
			break
		}
		a.Records = append(a.Records, encodeRecord(r))
	}
	return a
}
