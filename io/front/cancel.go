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
	// duty is the name of cancel requests on the links between hosts.
	duty = "front"
	// sequenceMask selects the part of a process id that numbers the sessions.
	sequenceMask uint32 = 1<<16 - 1
	// cancelTimeout limits the delivery of a cancel request to other hosts.
	cancelTimeout = 2 * time.Second
)

// processID combines the tag of a host with the number of a session.
func processID(host string, sequence uint32) uint32 {
	return hostTag(host)<<16 | sequence&sequenceMask
}

// hostTag is a 15-bit hash of the host's name. The process id is therefore positive
// for clients that read it as a signed integer.
func hostTag(host string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return h.Sum32() >> 17
}

// cancel cancels the session's statement if the session is on this host. Otherwise it
// forwards the request to the hosts whose tag is in the id.
func (s *Server) cancel(ctx context.Context, id uint32, secret []byte) {
	if s.cancelLocal(ctx, id, secret) || s.Peers == nil {
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
	found := s.cancelLocal(ctx, r.GetProcessId(), r.GetSecret())
	return proto.Marshal(&frontpb.CancelResponse{Found: found})
}

// cancelLocal cancels the running statement of a session on this host. It returns
// false if there is no such session or the secret is wrong.
func (s *Server) cancelLocal(ctx context.Context, id uint32, secret []byte) bool {
	s.mu.Lock()
	cc, ok := s.conns[id]
	s.mu.Unlock()
	if !ok || subtle.ConstantTimeCompare(cc.secret, secret) != 1 {
		return false
	}
	c, ok := cc.session.ConnToCancel()
	if !ok {
		return true
	}
	if err := pool.Cancel(ctx, c); err != nil {
		s.Log.V(1).Info("cancel request failed", "upstream", c.Database(), "error", err.Error())
	}
	return true
}
