package share

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/seat"
	"coltsfootloft/io/share/sharepb"
)

// confirmTimeout bounds a request to a peer, a host of the same failure domain.
const confirmTimeout = 400 * time.Millisecond

// outageTTL is how long after a failed store call a peer is told that the store is
// unreachable without another call.
const outageTTL = time.Second

// confirmLoop has peers confirm the seats while the lease can't be renewed.
func (s *seatManager) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.mutex.Lock()
		needed := s.table.NeedsConfirm(s.limiter.Clock.Now())
		s.mutex.Unlock()
		if needed {
			s.confirm(ctx)
			s.limiter.apply()
		}
		s.limiter.sleep(ctx, seat.ConfirmEvery)
	}
}

func (s *seatManager) confirm(ctx context.Context) {
	asked := s.limiter.Clock.Now()
	request, session := s.confirmRequest()
	answers := s.askPeers(ctx, request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	renewed, ended, taken := false, false, false
	for _, a := range answers {
		renewed = renewed || a.GetRenewed()
		ended = ended || a.GetEnded()
		for _, n := range a.GetTaken() {
			taken = true
			s.table.SeatLost(int(n), versionOf(request, n))
		}
	}
	switch {
	case renewed:
		s.table.SessionRenewed(session, asked)
	case ended:
		s.table.SessionEnded(session)
	case !taken:
		s.table.PeersConfirmed(asked)
	}
}

func versionOf(q *sharepb.ConfirmRequest, n int64) uint64 {
	for _, a := range q.GetSeats() {
		if a.GetNumber() == n {
			return a.GetVersion()
		}
	}
	return 0
}

func (s *seatManager) confirmRequest() (*sharepb.ConfirmRequest, string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	q := &sharepb.ConfirmRequest{Session: s.table.Session()}
	for n, v := range s.table.HeldVersions() {
		q.Seats = append(q.Seats, &sharepb.Seat{
			Number:  int64(n),
			Version: v,
		})
	}
	return q, q.GetSession()
}

// askPeers returns the answers that arrive within confirmTimeout.
func (s *seatManager) askPeers(ctx context.Context, q *sharepb.ConfirmRequest) []*sharepb.ConfirmResponse {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var mutex sync.Mutex
	var answers []*sharepb.ConfirmResponse
	var all sync.WaitGroup
	for _, m := range s.domainHosts() {
		if m == s.table.Host {
			continue
		}
		all.Go(func() {
			r, err := s.limiter.call(ctx, m, &sharepb.Request{Confirm: q})
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, r.GetConfirm())
		})
	}
	all.Wait()
	return answers
}

// handleConfirm answers a peer that asks for a confirmation of its seats.
func (s *seatManager) handleConfirm(ctx context.Context, q *sharepb.ConfirmRequest) *sharepb.ConfirmResponse {
	s.mutex.Lock()
	var taken []int64
	for _, a := range q.GetSeats() {
		if s.table.HasNewerVersion(int(a.GetNumber()), a.GetVersion()) {
			taken = append(taken, a.GetNumber())
		}
	}
	now := s.limiter.Clock.Now()
	down := s.failed.After(s.reached) && now.Sub(s.failed) < outageTTL
	s.mutex.Unlock()
	if len(taken) > 0 || down {
		return &sharepb.ConfirmResponse{Taken: taken}
	}
	err := s.renewFor(ctx, q.GetSession())
	s.recordCall(err)
	return &sharepb.ConfirmResponse{
		Renewed: err == nil,
		Ended:   errors.Is(err, coltsfootloft.ErrNoSession),
	}
}

// renewFor renews a peer's session. Without a session it reads a key, and returns
// [coltsfootloft.ErrNoSession] if the store answers.
func (s *seatManager) renewFor(ctx context.Context, session string) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if session != "" {
		return s.limiter.Store.RenewSession(ctx, session)
	}
	if _, err := s.limiter.Store.Read(ctx, s.table.Prefix+"layout"); err != nil {
		return err
	}
	return coltsfootloft.ErrNoSession
}

// call sends a request to a host and returns its response.
func (l *Limiter) call(ctx context.Context, host string, q *sharepb.Request) (*sharepb.Response, error) {
	body, err := proto.Marshal(q)
	if err != nil {
		return nil, err
	}
	body, err = l.Peers.Call(ctx, host, Duty, body)
	if err != nil {
		return nil, err
	}
	r := &sharepb.Response{}
	if err := proto.Unmarshal(body, r); err != nil {
		return nil, err
	}
	return r, nil
}
