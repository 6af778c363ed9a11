package peer

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"

	"coltsfootloft/io/peer/peerpb"
)

// traceKey is the name of the W3C trace context in a propagation carrier.
const traceKey = "traceparent"

// Call sends body to the handler of duty on the named host and returns its answer. A
// call to this host itself runs the handler directly. The error is one of this
// package's, a *RemoteError, or the error of ctx if it ends after the request was
// sent.
func (l *Links) Call(ctx context.Context, host, duty string, body []byte) ([]byte, error) {
	l.prepare()
	if host == l.Self {
		h := l.handler(duty)
		if h == nil {
			return nil, errors.Wrap(ErrUnknownDuty, duty)
		}
		return h(ctx, host, body)
	}
	if len(body) > l.MaxFrame {
		return nil, errors.Wrapf(ErrTooLarge, "%s to %s: %d bytes", duty, host, len(body))
	}
	k, s, err := l.openStream(ctx, host, duty)
	if err != nil {
		return nil, err
	}
	defer k.calls.Add(-1)
	defer func() { _ = s.Close() }()
	k.notify()
	answer, err := l.exchange(ctx, k, s, duty, body)
	k.lastUsed.Store(l.Clock.Now().UnixNano())
	return answer, err
}

// openStream opens the stream of a call on the link to a host, and counts the call. If the other side
// takes no more calls on that link, it uses another one.
func (l *Links) openStream(ctx context.Context, host, duty string) (*link, *yamux.Stream, error) {
	var err error
	for range maxLinksOfHost {
		var k *link
		if k, err = l.linkTo(ctx, host); err != nil {
			return nil, nil, err
		}
		if k.calls.Add(1) > int64(l.MaxCalls) {
			k.calls.Add(-1)
			return nil, nil, errors.Wrapf(ErrBusy, "%s to %s", duty, host)
		}
		var s *yamux.Stream
		if s, err = k.open(); err == nil {
			return k, s, nil
		}
		k.calls.Add(-1)
		l.retire(k)
		if !errors.Is(err, yamux.ErrRemoteGoAway) {
			break
		}
	}
	return nil, nil, errors.Wrapf(ErrUnreachable, "%s to %s: %v", duty, host, err)
}

// exchange sends one request on its stream and reads the answer.
func (l *Links) exchange(ctx context.Context, k *link, s *yamux.Stream, duty string, body []byte) ([]byte, error) {
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request := &peerpb.Request{
		Id:    l.ids.Add(1),
		Duty:  duty,
		From:  l.Self,
		Trace: traceOf(ctx),
	}
	if d, ok := ctx.Deadline(); ok {
		request.TimeoutNanos = max(1, int64(time.Until(d)))
	}
	b, err := encodeFrame(request, body)
	if err != nil {
		return nil, err
	}
	l.counts.countSent(duty, len(b))
	if _, err := s.Write(b); err != nil {
		return nil, lostError(ctx, k, duty, err)
	}
	var answer peerpb.Answer
	first, size, err := readHeader(s, &answer, maxHeader, l.MaxFrame)
	if err != nil {
		return nil, lostError(ctx, k, duty, err)
	}
	b, err = readBody(s, first, size, &l.answers)
	l.answers.give(len(b))
	if err != nil {
		return nil, lostError(ctx, k, duty, err)
	}
	k.progress.Add(1)
	if answer.GetId() != request.GetId() {
		_ = k.session.Close()
		return nil, errors.Wrapf(ErrNoAnswer, "%s to %s: answer to another request", duty, k.host)
	}
	return resultOf(&answer, k.host, duty, b)
}

func resultOf(a *peerpb.Answer, host, duty string, body []byte) ([]byte, error) {
	switch a.GetStatus() {
	case peerpb.Status_STATUS_DONE:
		return body, nil
	case peerpb.Status_STATUS_BUSY:
		return nil, errors.Wrapf(ErrBusy, "%s at %s", duty, host)
	case peerpb.Status_STATUS_UNKNOWN_DUTY:
		return nil, errors.Wrapf(ErrUnknownDuty, "%s at %s", duty, host)
	case peerpb.Status_STATUS_TIMEOUT:
		return nil, errors.Wrapf(context.DeadlineExceeded, "%s at %s", duty, host)
	case peerpb.Status_STATUS_FAILED:
	}
	return nil, &RemoteError{
		host:    host,
		duty:    duty,
		message: string(a.GetMessage()),
	}
}

// lostError returns the error of a request that was sent but not answered, and has the link probed.
func lostError(ctx context.Context, k *link, duty string, err error) error {
	k.requestProbe()
	if ctx.Err() != nil {
		return errors.Wrapf(ctx.Err(), "%s to %s", duty, k.host)
	}
	return errors.Wrapf(ErrNoAnswer, "%s to %s: %v", duty, k.host, err)
}

func traceOf(ctx context.Context) []byte {
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return []byte(c[traceKey])
}

func withTrace(ctx context.Context, trace []byte) context.Context {
	if len(trace) == 0 {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceKey: string(trace)})
}
