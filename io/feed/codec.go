package feed

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft/core/delta"
	"coltsfootloft/io/feed/feedpb"
)

// handle serves a request of another host.
func (f *Feed) handle(ctx context.Context, from string, body []byte) ([]byte, error) {
	var r feedpb.Request
	if err := proto.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "feed request")
	}
	var a *feedpb.Answer
	switch k := r.GetKind().(type) {
	case *feedpb.Request_Pull:
		a = f.handlePull(k.Pull)
	case *feedpb.Request_Push:
		f.handlePush(ctx, from, k.Push)
		a = &feedpb.Answer{Revision: f.Revision()}
	default:
		return nil, errors.New("feed request of unknown kind")
	}
	b, err := proto.Marshal(a)
	return b, errors.Wrap(err, "feed answer")
}

func encodePull(p *feedpb.Pull) ([]byte, error) {
	b, err := proto.Marshal(&feedpb.Request{Kind: &feedpb.Request_Pull{Pull: p}})
	return b, errors.Wrap(err, "pull")
}

func encodePush(p push) ([]byte, error) {
	m := &feedpb.Push{
		Since:    p.delta.Since(),
		Revision: p.delta.Revision(),
		Root:     p.root,
	}
	for _, r := range p.delta.Records() {
		m.Records = append(m.Records, encodeRecord(r))
	}
	b, err := proto.Marshal(&feedpb.Request{Kind: &feedpb.Request_Push{Push: m}})
	return b, errors.Wrap(err, "push")
}

func encodeRecord(r delta.Record) *feedpb.Record {
	return &feedpb.Record{
		Key:     r.Key(),
		Value:   r.Value(),
		Stamp:   r.Version(),
		Removed: r.Removed(),
	}
}

func decodeAnswer(b []byte) (*feedpb.Answer, error) {
	var a feedpb.Answer
	err := proto.Unmarshal(b, &a)
	return &a, errors.Wrap(err, "feed answer")
}

func decodeDelta(since, revision uint64, records []*feedpb.Record) delta.Delta {
	all := make([]delta.Record, 0, len(records))
	for _, r := range records {
		if r.GetRemoved() {
			all = append(all, delta.NewRemoval(r.GetKey(), r.GetStamp()))
			continue
		}
		all = append(all, delta.NewRecord(r.GetKey(), r.GetValue(), r.GetStamp()))
	}
	return delta.NewDelta(since, revision, all)
}

// payloadSize returns the length of a delta's keys and values, in bytes.
func payloadSize(d delta.Delta) int {
	n := 0
	for _, r := range d.Records() {
		n += len(r.Key()) + len(r.Value())
	}
	return n
}
