package caller

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/events"
	"coltsfootloft/io/trace"
)

// handleBroken ends an attempt whose connection failed.
func (x *exchange) handleBroken(err error) (result, error) {
	x.conn.Abort()
	var r *coltsfootloft.RefusalError
	if isCallerError(err) || errors.As(err, &r) {
		return answered, err
	}
	x.session.out.dropHeld()
	x.session.Env.Log.V(1).Info("upstream connection lost", "upstream", x.conn.Database(), "error", err.Error())
	return unanswered, coltsfootloft.OutcomeUnknown("the connection to " + x.conn.Database() + " was lost before its answer was whole")
}

// settle determines the result of the attempt from the replies.
func (x *exchange) settle(ctx context.Context) (result, error) {
	s := x.session
	if x.stale && !s.out.sent {
		x.undo()
		return notRun, coltsfootloft.Refuse(coltsfootloft.CodeUnavailable, x.conn.Database()+" has not reached the session's position")
	}
	if x.refusedWrite && x.mayRetryElsewhere() {
		x.undo()
		return notRun, coltsfootloft.Refuse(coltsfootloft.CodeReadOnly, x.conn.Database()+" takes no writes")
	}
	if x.abortCode != "" && x.mayRunAgain() {
		x.undo()
		s.out.discard()
		return aborted, coltsfootloft.Refuse(x.abortCode, x.conn.Database()+" rolled the statement back")
	}
	if !x.committed() {
		s.out.release()
		return answered, nil
	}
	x.conn.SetLastCommit(x.commitPosition)
	err := x.awaitAck(ctx)
	if err != nil && x.idempotent {
		return unanswered, err
	}
	return answered, err
}

// committed reports whether the attempt has committed.
func (x *exchange) committed() bool {
	return x.mayCommit && x.commitPosition != x.conn.LastCommit()
}

// mayRetryElsewhere reports whether the refused attempt has had no effect and none of
// its answer has been sent.
func (x *exchange) mayRetryElsewhere() bool {
	return x.retryReadOnly && !x.session.out.sent && !x.committed()
}

// mayRunAgain reports whether a batch that was rolled back was a whole transaction, none
// of whose answer has been sent.
func (x *exchange) mayRunAgain() bool {
	s := x.session
	isWhole := x.before.tx == txIdle && s.tx == txIdle && !x.batch.partial
	isKnown := !x.mayCommit || x.commitKnown && !x.committed()
	return isWhole && isKnown && !s.out.sent
}

// undo restores the session's state from before the attempt.
func (x *exchange) undo() {
	s := x.session
	if s.tx != txIdle {
		x.conn.MarkBroken()
	}
	s.tx = x.before.tx
	s.beginSQL = x.before.beginSQL
	s.settings = x.before.settings
	s.savedSettings = x.before.savedSettings
	s.midBatch = false
}

// awaitAck waits until a majority holds the commit. On an error it drops the held
// answer.
func (x *exchange) awaitAck(ctx context.Context) error {
	s := x.session
	group := s.Route.Group()
	ctx, cancel := context.WithTimeout(ctx, s.Env.ackTimeout(group))
	defer cancel()
	defer s.observe(ackSeconds, s.now())
	wait := s.trace.Start(trace.AckWait)
	err := s.Env.Groups.AwaitMajority(ctx, group, x.commitPosition)
	wait.End(err)
	if err != nil {
		s.out.dropHeld()
		s.recordEvent(events.Refused, "commit not acknowledged: "+err.Error(), x.conn.Database())
		return coltsfootloft.OutcomeUnknown("no majority was seen to hold the commit").
			WithHint("look up whether it took effect before you repeat it, or send it with a request id")
	}
	s.out.release()
	s.Token = s.Token.Advance(group, x.commitPosition)
	return nil
}
