package caller

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/journ"
	"coltsfootloft/io/trace"
)

// broke ends an attempt whose connection failed.
func (x *exchange) broke(err error) (verdict, error) {
	x.conn.Abort()
	var r *coltsfootloft.RefusalError
	if isCallerError(err) || errors.As(err, &r) {
		return answered, err
	}
	x.session.out.revoke()
	x.session.Env.Log.V(1).Info("upstream connection lost", "upstream", x.conn.Database(), "error", err.Error())
	return lost, coltsfootloft.Unsure("the connection to " + x.conn.Database() + " was lost before its answer was whole")
}

// settle decides what the replies mean.
func (x *exchange) settle(ctx context.Context) (verdict, error) {
	s := x.session
	if x.stale && !s.out.sent {
		x.undo()
		return elsewhere, coltsfootloft.Refuse(coltsfootloft.CodeUnavailable, x.conn.Database()+" has not reached the session's position")
	}
	if x.refusedWrite && x.mayMove() {
		x.undo()
		return elsewhere, coltsfootloft.Refuse(coltsfootloft.CodeReadOnly, x.conn.Database()+" takes no writes")
	}
	if !x.committed() {
		s.out.release()
		return answered, nil
	}
	x.conn.Committed(x.position)
	err := x.acknowledge(ctx)
	if err != nil && x.idempotent {
		return lost, err
	}
	return answered, err
}

// committed reports whether the attempt has made a commit.
func (x *exchange) committed() bool {
	return x.commits && x.position != x.conn.LastCommit()
}

// mayMove reports whether the refused attempt has had no effect anywhere.
func (x *exchange) mayMove() bool {
	return x.movable && !x.session.out.sent && !x.committed()
}

// undo takes the session back to before the attempt.
func (x *exchange) undo() {
	s := x.session
	if s.tx != txIdle {
		x.conn.Break()
	}
	s.tx = x.before.tx
	s.begin = x.before.begin
	s.settings = x.before.settings
	s.saved = x.before.saved
	s.midBatch = false
}

// acknowledge waits until a majority holds the commit.
func (x *exchange) acknowledge(ctx context.Context) error {
	s := x.session
	group := s.Route.Group()
	ctx, cancel := context.WithTimeout(ctx, s.Env.ackTimeout(group))
	defer cancel()
	defer s.observe(ackSeconds, s.now())
	wait := s.trace.Start(trace.AckWait)
	err := s.Env.Groups.AwaitMajority(ctx, group, x.position)
	wait.End(err)
	if err != nil {
		s.out.revoke()
		s.note(journ.Refused, "commit not acknowledged: "+err.Error(), x.conn.Database())
		return coltsfootloft.Unsure("no majority was seen to hold the commit").
			WithHint("look up whether it took effect before you repeat it, or send it with a request id")
	}
	s.out.release()
	s.Token = s.Token.Advance(group, x.position)
	return nil
}
