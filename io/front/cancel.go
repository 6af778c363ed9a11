package front

import (
	"context"
	"crypto/subtle"
	"hash/fnv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft/io/front/frontpb"
	"coltsfootloft/io/pool"
)

const (
	// duty carries cancel requests between hosts.
	duty = "front"
	// sequenceMask is the part of a process id that numbers sessions.
	sequenceMask uint32 = 1<<16 - 1
	// cancelTimeout bounds the way of a cancel request.
	cancelTimeout = 2 * time.Second
)

// processID joins the tag of a host and the number of a session.
func processID(host string, sequence uint32) uint32 {
	return hostTag(host)<<16 | sequence&sequenceMask
}

// hostTag is a 15-bit hash of the host's name, so that process ids stay positive
// for callers that take them as signed.
func hostTag(host string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return h.Sum32() >> 17
}

// cancel looks for the session here, or asks the hosts whose tag it bears.
func (s *Server) cancel(ctx context.Context, id uint32, secret []byte) {
	if s.cancelHere(ctx, id, secret) || s.Peers == nil {
		return
	}
	ctx, done := context.WithTimeout(ctx, cancelTimeout)
	defer done()
	body, err := proto.Marshal(&frontpb.CancelRequest{
		ProcessId: id,
		Secret:    secret,
	})
	if err != nil {
		return
	}
	for _, h := range s.Env.Members.Alive() {
		if h.Name() == s.Name || hostTag(h.Name()) != id>>16 {
			continue
		}
		if _, err := s.Peers.Call(ctx, h.Name(), duty, body); err != nil {
			s.Log.V(1).Info("cancel request not delivered", "host", h.Name(), "error", err.Error())
		}
	}
}

func (s *Server) cancelFromPeer(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var r frontpb.CancelRequest
	if err := proto.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "cancel request")
	}
	found := s.cancelHere(ctx, r.GetProcessId(), r.GetSecret())
	return proto.Marshal(&frontpb.CancelResponse{Found: found})
}

// cancelHere cancels what a session of this host runs.
func (s *Server) cancelHere(ctx context.Context, id uint32, secret []byte) bool {
	s.mu.Lock()
	v, ok := s.visits[id]
	s.mu.Unlock()
	if !ok || subtle.ConstantTimeCompare(v.secret, secret) != 1 {
		return false
	}
	c, ok := v.session.ConnToCancel()
	if !ok {
		return true
	}
	if err := pool.Cancel(ctx, c); err != nil {
		s.Log.V(1).Info("cancel request failed", "upstream", c.Database(), "error", err.Error())
	}
	return true
}
