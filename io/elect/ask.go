package elect

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/elect"
	"coltsfootloft/core/quorum"
	"coltsfootloft/io/elect/electpb"
)

const (
	// askLimit is how long the observers of other failure domains may take to
	// answer.
	askLimit = 100 * time.Millisecond
	// freshLimit is how recently an observer must have heard from a primary to
	// vouch for it. It is above the longest poll of a healthy one.
	freshLimit = 350 * time.Millisecond
)

// vouched reports whether another host still sees the primary make progress.
func (k *keeper) vouched(ctx context.Context, need elect.Need) bool {
	host, seen := k.seen(ctx, need)
	if host != k.voucher {
		k.voucher = host
		k.record("primary vouched for", "need", need.Kind().String(), "primary", need.Primary(), "by", host)
	}
	return seen
}

// seen asks the observers of the other failure domains whether they see a primary
// that makes progress, and returns the first host that says so.
func (k *keeper) seen(ctx context.Context, need elect.Need) (host string, seen bool) {
	d := k.duty
	if d.Peers == nil {
		return "", false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock(), askLimit)
	defer cancel()
	first := d.proposers(k.group.Name()).first
	answers := make(chan string, len(first))
	for _, h := range first {
		if h == d.Self.Name() {
			answers <- ""
			continue
		}
		go func() { answers <- k.ask(ctx, h, need) }()
	}
	for range first {
		if host = <-answers; host != "" {
			return host, true
		}
	}
	return "", false
}

// ask returns the name of the host if it vouches for the primary.
func (k *keeper) ask(ctx context.Context, host string, need elect.Need) string {
	body, err := proto.Marshal(&electpb.Ask{
		Group: k.group.Name(),
		Term:  need.Term().String(),
	})
	if err != nil {
		panic(err)
	}
	body, err = k.duty.Peers.Call(ctx, host, dutyName, body)
	if err != nil {
		return ""
	}
	answer := &electpb.Answer{}
	if proto.Unmarshal(body, answer) != nil || !answer.GetProgress() {
		return ""
	}
	return host
}

// answer tells another host what this one sees.
func (d *Elector) answer(_ context.Context, from string, body []byte) ([]byte, error) {
	ask := &electpb.Ask{}
	if err := proto.Unmarshal(body, ask); err != nil {
		return nil, errors.Wrapf(err, "question about a primary from %s", from)
	}
	suspected, err := coltsfootloft.ParseTerm(ask.GetTerm())
	if err != nil {
		return nil, errors.Wrapf(err, "question about a primary from %s", from)
	}
	k := d.keeper(ask.GetGroup())
	if k == nil {
		return proto.Marshal(&electpb.Answer{})
	}
	v := k.view()
	name, term, ok := quorum.Size(len(k.names)).Primary(v.Readings)
	return proto.Marshal(&electpb.Answer{
		Progress: ok && term.Compare(suspected) >= 0 && v.Progresses(freshLimit),
		Primary:  name,
		Term:     term.String(),
	})
}
