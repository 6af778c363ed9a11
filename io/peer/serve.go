package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"coltsfootloft/io/peer/peerpb"
)

// accept accepts links from other hosts until the listener is closed.
func (l *Links) accept(ctx context.Context, listener net.Listener) {
	defer l.group.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			// The process is out of file descriptors, or the connection was reset.
			time.Sleep(acceptPause)
			continue
		}
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			l.acceptLink(ctx, conn)
		}()
	}
}

// acceptPause is the pause after a failed accept.
const acceptPause = 10 * time.Millisecond

func (l *Links) acceptLink(ctx context.Context, raw net.Conn) {
	conn, host, err := l.serverHandshake(ctx, raw)
	if err != nil {
		l.Log.V(1).Info("peer link refused", "address", raw.RemoteAddr().String(), "reason", err.Error())
		raw.Close()
		return
	}
	k, err := newLink(host, host, raw, countedConn{Conn: conn, wire: l.counts.wire}, l.Clock.Now(), false)
	if err != nil {
		conn.Close()
		return
	}
	if !l.adopt(k) {
		_ = k.session.Close()
	}
}

// serve handles the requests on a link until it is lost.
func (l *Links) serve(k *link) {
	defer l.group.Done()
	defer l.remove(k)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		s, err := k.session.AcceptStream()
		if err != nil {
			l.Log.V(1).Info("peer link closed", "host", k.host, "reason", err.Error())
			_ = k.session.Close()
			return
		}
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			l.handle(ctx, k, s)
		}()
	}
}

// handle reads one request from its stream and answers it.
func (l *Links) handle(ctx context.Context, k *link, s *yamux.Stream) {
	defer func() { _ = s.Close() }()
	busy := k.serving.Add(1) > int64(l.MaxCalls)
	defer func() {
		k.lastUsed.Store(l.Clock.Now().UnixNano())
		k.serving.Add(-1)
	}()
	var request peerpb.Request
	body, err := readFrame(s, &request, l.MaxFrame)
	if err != nil {
		return
	}
	answer := &peerpb.Answer{Id: request.GetId()}
	h := l.handler(request.GetDuty())
	var result []byte
	var late bool
	switch {
	case busy:
		answer.Status = peerpb.Status_STATUS_BUSY
	case h == nil:
		answer.Status = peerpb.Status_STATUS_UNKNOWN_DUTY
	default:
		ctx, cancel := l.requestContext(ctx, &request, s)
		result, err = h(ctx, k.host, body)
		late = errors.Is(ctx.Err(), context.DeadlineExceeded)
		cancel()
	}
	if err == nil && len(result) > l.MaxFrame {
		err = ErrTooLarge
	}
	if err != nil {
		answer.Status = peerpb.Status_STATUS_FAILED
		answer.Message = []byte(err.Error())
		result = nil
	}
	if err != nil && late {
		answer.Status = peerpb.Status_STATUS_TIMEOUT
	}
	b, err := encodeFrame(answer, result)
	if err != nil {
		return
	}
	l.counts.countSent(request.GetDuty(), len(b))
	_, _ = s.Write(b)
}

// requestContext returns a context that ends at the caller's deadline, when the
// caller gives up or when the link is lost.
func (l *Links) requestContext(ctx context.Context, r *peerpb.Request, s *yamux.Stream) (context.Context, context.CancelFunc) {
	ctx = withTrace(ctx, r.GetTrace())
	var cancel context.CancelFunc
	if t := r.GetTimeoutNanos(); t > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(t))
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		// The caller sends nothing after its request, so this returns when it
		// closes the stream.
		_, _ = io.Copy(io.Discard, s)
		cancel()
	}()
	return ctx, cancel
}
