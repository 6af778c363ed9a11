package relay

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/homes"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay/relaypb"
)

// foreign returns a statement of another host.
func foreign(id, text string, verb coltsfootloft.Verb) *relaypb.Exchange {
	return &relaypb.Exchange{
		Database: "db-1",
		Id:       []byte(id),
		Text:     []byte(text),
		Verb:     uint32(verb),
		WaitMs:   1000,
		AnswerMs: 1000,
		Align:    true,
		Keep:     true,
	}
}

// withValue returns a read with a session value.
func withValue(name, value string) *relaypb.Exchange {
	x := foreign("a1", "READ x", coltsfootloft.VerbRead)
	x.Values = []*relaypb.Value{{
		Name:  []byte(name),
		Value: []byte(value),
	}}
	return x
}

// withShape returns the execution of a prepared statement with a text.
func withShape(text string) *relaypb.Exchange {
	x := foreign("a1", "EXEC s x y", coltsfootloft.VerbExecute)
	x.Shape = &relaypb.Shape{
		Writes: true,
		Text:   []byte(text),
	}
	return x
}

// TestOtherHostsSendOneStatement guards against bytes of another host that a database reads as a
// statement which no caller has sent.
func TestOtherHostsSendOneStatement(t *testing.T) {
	unprepared := withShape("q")
	unprepared.Align = false
	shaped := foreign("a1", "READ x", coltsfootloft.VerbRead)
	shaped.Shape = &relaypb.Shape{Text: []byte("q")}
	for name, x := range map[string]*relaypb.Exchange{
		"line end in the text":       foreign("a1", "WRITE x y\r\nQUERY b WRITE x z", coltsfootloft.VerbWrite),
		"line end in the id":         foreign("a1 READ x\r\nQUERY b", "READ x", coltsfootloft.VerbRead),
		"blank in the id":            foreign("a1 WRITE", "READ x", coltsfootloft.VerbRead),
		"id of the host":             foreign("-", "READ x", coltsfootloft.VerbRead),
		"no id":                      foreign("", "READ x", coltsfootloft.VerbRead),
		"no text":                    foreign("a1", "", coltsfootloft.VerbRead),
		"verb of another text":       foreign("a1", "WRITE x y", coltsfootloft.VerbRead),
		"unknown verb":               foreign("a1", "STATUS", coltsfootloft.VerbUnknown),
		"large verb":                 foreign("a1", "READ x", coltsfootloft.VerbRead+1<<7),
		"statement of the session":   foreign("a1", "SET x y", coltsfootloft.VerbSet),
		"line end in a value":        withValue("a", "b\r\nQUERY b WRITE x z"),
		"line end in a value's name": withValue("a\r\nQUERY", "b"),
		"blank in a value's name":    withValue("a b", "c"),
		"no value":                   withValue("a", ""),
		"line end in a template":     withShape("q\r\nQUERY b WRITE x z"),
		"no template":                withShape(""),
		"no prepared statement":      foreign("a1", "EXEC s x y", coltsfootloft.VerbExecute),
		"not prepared":               unprepared,
		"template of a read":         shaped,
	} {
		d := &answeringDatabase{}
		r := newRelay(t)
		r.Pools.Opener = d
		a, _ := r.exchange("other", x)
		assert.Equal(t, a.GetOutcome(), relaypb.Outcome_OUTCOME_ANSWERED, name)
		assert.Equal(t, coltsfootloft.Reason(a.GetReason()), coltsfootloft.ReasonMalformed, name)
		assert.Equal(t, d.requests.Load(), int32(0), name)
		b, _ := r.exchange("other", foreign("a1", "BEGIN", coltsfootloft.VerbBegin))
		sent := d.requests.Load()
		x.Handle = b.GetHandle()
		a, _ = r.exchange("other", x)
		assert.Equal(t, coltsfootloft.Reason(a.GetReason()), coltsfootloft.ReasonMalformed, name)
		assert.Equal(t, a.GetHandle(), x.GetHandle(), "%s: the transaction goes on", name)
		assert.Equal(t, d.requests.Load(), sent, name)
	}
	for _, x := range []*relaypb.Exchange{
		foreign("a1", "BEGIN READ", coltsfootloft.VerbBeginRead),
		foreign("a1", "WRITE x \u00e9\n\xff y ", coltsfootloft.VerbWrite),
		withValue("a", "b c\n"),
		withShape("q r"),
	} {
		a, _ := newRelay(t).exchange("other", x)
		assert.Equal(t, a.GetReason(), uint32(coltsfootloft.ReasonNone), "%s: %s", x.GetText(), a.GetText())
	}
}

// TestUnreadInputIsNotAnAnswer guards against an answer that nobody asked for and that the next statement
// gets, and against its connection, which is never returned.
func TestUnreadInputIsNotAnAnswer(t *testing.T) {
	d := &answeringDatabase{}
	r := newRelay(t)
	r.HoldTimeout = func() time.Duration { return time.Minute }
	r.Pools.Opener = d
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	read := foreign("a1", "READ x", coltsfootloft.VerbRead)

	d.stray.Store(true)
	n, err := r.Borrow(ctx, dbpool.Target{ID: "db-1"}, "arima", 0, nil, homes.Homes{})
	assert.NilError(t, err)
	q, ok := r.request(read, time.Now())
	assert.Assert(t, ok)
	_, err = n.Exchange(q, q.Deadline, false)
	assert.Assert(t, errors.Is(err, dbpool.ErrBusy), "not sent: %v", err)
	assert.Equal(t, d.open.Load(), int32(0))
	a, _ := r.exchange("other", read)
	assert.Equal(t, a.GetOutcome(), relaypb.Outcome_OUTCOME_BUSY)
	assert.Equal(t, d.open.Load(), int32(0))
	assert.Equal(t, d.requests.Load(), int32(0))

	d.stray.Store(false)
	a, _ = r.exchange("other", foreign("a1", "BEGIN", coltsfootloft.VerbBegin))
	sent := d.requests.Load()
	d.stray.Store(true)
	read.Handle = a.GetHandle()
	a, _ = r.exchange("other", read)
	assert.Equal(t, a.GetOutcome(), relaypb.Outcome_OUTCOME_LOST)
	assert.Assert(t, a.GetNotSent(), "the transaction has ended")
	assert.Equal(t, d.requests.Load(), sent)
	assert.Equal(t, d.open.Load(), int32(0))
}
