package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"coltsfootloft"
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
		l.admit(conn)
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			defer l.endPending(conn)
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
		if !l.beginStream(k) {
			l.Log.Info("peer link closed", "host", k.host, "reason", "too many requests")
			k.reset()
			return
		}
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			defer l.endStream(k)
			defer func() { _ = s.Close() }()
			l.handle(ctx, k, s)
			awaitClose(k, s)
		}()
	}
}

// handle reads one request from its stream and answers it.
func (l *Links) handle(ctx context.Context, k *link, s *yamux.Stream) {
	ofLink, ofAll := k.serving.Add(1), l.serving.Add(1)
	busy := ofLink > int64(l.MaxCalls) || ofAll > maxServing
	defer func() {
		k.lastUsed.Store(l.Clock.Now().UnixNano())
		k.progress.Add(1)
		k.serving.Add(-1)
		l.serving.Add(-1)
	}()
	var request peerpb.Request
	body, err := l.readRequest(s, &request, busy)
	defer func() { l.requests.give(len(body)) }()
	if err != nil && !errors.Is(err, ErrBusy) {
		if isMalformed(err) {
			k.reset() // what else comes on the stream would be kept until it is closed
		}
		return
	}
	answer := &peerpb.Answer{Id: request.GetId()}
	h := l.handler(request.GetDuty())
	var result []byte
	switch {
	case err != nil:
		answer.Status = peerpb.Status_STATUS_BUSY
	case request.GetDuty() == retireDuty:
		l.serveRetire(k)
	case h == nil:
		answer.Status = peerpb.Status_STATUS_UNKNOWN_DUTY
	default:
		result = l.run(ctx, k, s, &request, h, body, answer)
	}
	result, held := l.holdAnswer(answer, result)
	defer l.unread.give(held)
	b, err := encodeFrame(answer, result)
	if err != nil {
		return
	}
	l.requests.force(len(b))
	defer l.requests.give(len(b))
	if h != nil { // other names come from the other side
		l.counts.countSent(request.GetDuty(), len(b))
	}
	_ = s.SetWriteDeadline(time.Now().Add(frameTimeout))
	_, _ = s.Write(b)
}

const (
	// smallAnswer is the size in bytes of the largest answer that needs no room.
	smallAnswer = 16 << 10
	// answerCopies is how often an answer is in memory: as its handler made it, and with its header.
	answerCopies = 2
)

// holdAnswer takes room for a large answer. If there is none, it drops the result and turns the answer
// into a failure: answers pile up if other hosts do not read them.
func (l *Links) holdAnswer(answer *peerpb.Answer, result []byte) (kept []byte, held int) {
	if l.MaxAnswers == 0 || len(result) <= smallAnswer {
		return result, 0
	}
	held = answerCopies * len(result)
	if l.unread.begin(held) {
		return result, held
	}
	answer.Status = peerpb.Status_STATUS_FAILED
	answer.Message = []byte("no room for the answer")
	return nil, 0
}

// isMalformed reports whether a request could not be read though its sender has not given up on it.
func isMalformed(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, yamux.ErrConnectionReset, yamux.ErrStreamClosed, yamux.ErrSessionShutdown} {
		if errors.Is(err, e) {
			return false
		}
	}
	return true
}

// awaitClose waits until the other side has closed a stream, after which it keeps no bytes any more, for
// streamCloseTimeout at most. The other side sends none after its request. Once this side has
// closed the stream, nothing can be read.
func awaitClose(k *link, s *yamux.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(streamCloseTimeout))
	if n, _ := s.Read(make([]byte, 1)); n > 0 {
		k.reset()
	}
}

// frameTimeout bounds the time until a request has arrived, and until the other side has
// taken the answer.
const frameTimeout = 10 * time.Second

// readRequest reads a request. It fails with ErrBusy if there is no room for it, or if busy
// is set, after it has read the request all the same: its sender waits until that is sent. The
// caller gives the room of the body back, also beside an error.
func (l *Links) readRequest(s *yamux.Stream, request *peerpb.Request, busy bool) ([]byte, error) {
	if err := s.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
		return nil, err
	}
	body, size, err := readHeader(s, request, maxRequestHeader, l.MaxFrame)
	if err != nil {
		return nil, err
	}
	rest := shrinkingStream{s}
	if busy {
		if _, err := io.CopyN(io.Discard, rest, int64(size-len(body))); err != nil {
			return nil, err
		}
		return nil, ErrBusy
	}
	body, err = readBody(rest, body, size, &l.requests)
	if errors.Is(err, ErrBusy) {
		read := len(body)
		if body == nil {
			read = min(size, firstStep)
		}
		l.requests.give(len(body)) // others may use the room while the rest is read
		body = nil
		if _, err := io.CopyN(io.Discard, rest, int64(size-read)); err != nil {
			return nil, err
		}
	}
	if err != nil {
		return body, err
	}
	return body, s.SetReadDeadline(time.Time{})
}

// shrinkingStream frees the stream's own buffer whenever all of it has been read. Otherwise
// each stream keeps a whole window until it ends.
type shrinkingStream struct{ stream *yamux.Stream }

// Read reads from the stream.
func (s shrinkingStream) Read(p []byte) (int, error) {
	n, err := s.stream.Read(p)
	s.stream.Shrink()
	return n, err
}

// run has the handler serve a request, sets the status of the answer, and returns its body.
func (l *Links) run(ctx context.Context, k *link, s *yamux.Stream, request *peerpb.Request, h coltsfootloft.Handler, body []byte,
	answer *peerpb.Answer,
) []byte {
	ctx, cancel := l.requestContext(ctx, k, request, s)
	result, err := h(ctx, k.host, body)
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	cancel()
	if err == nil && len(result) > l.MaxFrame {
		err = ErrTooLarge
	}
	if err == nil {
		return result
	}
	answer.Status = peerpb.Status_STATUS_FAILED
	if late {
		answer.Status = peerpb.Status_STATUS_TIMEOUT
	}
	message := err.Error()
	answer.Message = []byte(message[:min(len(message), maxMessage)])
	return nil
}

// maxMessage is the size of the longest message of an error, in bytes, so that the header of
// an answer stays below maxHeader.
const maxMessage = 4 << 10

// requestContext returns a context that ends at the caller's deadline, when the
// caller gives up or when the link is lost.
func (l *Links) requestContext(ctx context.Context, k *link, r *peerpb.Request, s *yamux.Stream) (context.Context, context.CancelFunc) {
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
		if n, _ := s.Read(make([]byte, 1)); n > 0 {
			k.reset()
		}
		cancel()
	}()
	return ctx, cancel
}
