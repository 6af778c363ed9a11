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
	// askTimeout bounds the answers of the observers of other failure domains.
	askTimeout = 100 * time.Millisecond
	// maxSilence is how recently a primary must have answered an observer for
	// the observer to confirm its progress. It is above the longest poll of a
	// healthy database.
	maxSilence = 350 * time.Millisecond
)

// confirmedElsewhere reports whether another host still sees a primary that
// makes progress, and records a change of the host that does.
func (m *monitor) confirmedElsewhere(ctx context.Context, need elect.Need) bool {
	host, confirmed := m.findConfirmation(ctx, need)
	if host != m.confirmedBy {
		m.confirmedBy = host
		m.record("primary vouched for", "need", need.Kind().String(), "primary", need.Primary(), "by", host)
	}
	return confirmed
}

// findConfirmation asks the observers of the other failure domains whether they
// see a primary that makes progress, and returns the first host that confirms
// it.
func (m *monitor) findConfirmation(ctx context.Context, need elect.Need) (host string, confirmed bool) {
	d := m.elector
	if d.Peers == nil {
		return "", false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock(), askTimeout)
	defer cancel()
	observers := d.proposers(m.group.Name()).observers
	answers := make(chan string, len(observers))
	for _, h := range observers {
		if h == d.Self.Name() {
			answers <- ""
			continue
		}
		go func() { answers <- m.askHost(ctx, h, need) }()
	}
	for range observers {
		if host = <-answers; host != "" {
			return host, true
		}
	}
	return "", false
}

// askHost returns the name of the host if it confirms the primary's progress,
// else an empty string.
func (m *monitor) askHost(ctx context.Context, host string, need elect.Need) string {
	body, err := proto.Marshal(&electpb.Ask{
		Group: m.group.Name(),
		Term:  need.Term().String(),
	})
	if err != nil { // a term that a database reported is not UTF-8
		return ""
	}
	body, err = m.elector.Peers.Call(ctx, host, dutyName, body)
	if err != nil {
		return ""
	}
	answer := &electpb.Answer{}
	if proto.Unmarshal(body, answer) != nil || !answer.GetProgress() {
		return ""
	}
	return host
}

// answer handles the question of another host: whether this host sees a primary
// of the suspected term or a later one that makes progress.
func (e *Elector) answer(_ context.Context, from string, body []byte) ([]byte, error) {
	ask := &electpb.Ask{}
	if err := proto.Unmarshal(body, ask); err != nil {
		return nil, errors.Wrapf(err, "question about a primary from %s", from)
	}
	suspected, err := coltsfootloft.ParseTerm(ask.GetTerm())
	if err != nil {
		return nil, errors.Wrapf(err, "question about a primary from %s", from)
	}
	m := e.monitor(ask.GetGroup())
	if m == nil {
		return proto.Marshal(&electpb.Answer{})
	}
	v := m.view()
	name, term, ok := quorum.Size(len(m.names)).Primary(v.Readings)
	return proto.Marshal(&electpb.Answer{
		Progress: ok && term.Compare(suspected) >= 0 && v.Progresses(maxSilence),
		Primary:  name,
		Term:     term.String(),
	})
}
