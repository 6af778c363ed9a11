package seat

import "time"

// Times of sessions, leases and handovers. The seat of a host that has failed is
// back in use after at most SessionTTL, TakeoverWait and the time that another host
// needs to notice the failure.
const (
	// SessionTTL is the time to live of the platform session.
	SessionTTL = 10 * time.Second
	// LeaseTime is the length of the holder's lease, from when the renewal was sent.
	LeaseTime = 8 * time.Second
	// RenewEvery is the interval between renewals.
	RenewEvery = 3 * time.Second
	// ConfirmTime is how long a confirmation by peers lasts, from when they were
	// asked.
	ConfirmTime = 2 * time.Second
	// ConfirmEvery is the interval between confirmations.
	ConfirmEvery = 700 * time.Millisecond
	// ConfirmAhead is how long before the end of the lease a host starts to ask its
	// peers for confirmation.
	ConfirmAhead = 3 * time.Second
	// TakeoverWait is how long a new holder waits before it uses a seat that was not
	// handed back.
	TakeoverWait = ConfirmTime + ConfirmTime/4
	// TickEvery is the longest interval between calls of [Table.Tick].
	TickEvery = 100 * time.Millisecond
	// maxTickGap is the longest interval between ticks that does not count as a
	// pause, during which peers may have got no answer.
	maxTickGap = 250 * time.Millisecond
	// ReassignAfter is how long a seat must be assigned to another host before its
	// holder hands it back.
	ReassignAfter = 2 * time.Second
	// MinTakeoverHold is how long a host keeps, at least, a seat that it took
	// because the host it is assigned to had left it free.
	MinTakeoverHold = 30 * time.Second
	// AssigneeGrace is how long other hosts leave a free seat to the host it is
	// assigned to.
	AssigneeGrace = 3 * time.Second
)
