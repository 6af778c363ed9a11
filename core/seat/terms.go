package seat

import "time"

// The times of a lease. A replaced host's seat is in use again after at most
// SessionTTL, Settle and the time it takes to notice.
const (
	// SessionTTL is the time to live of the platform session.
	SessionTTL = 10 * time.Second
	// LeaseTime is how long a renewal lasts for the holder, from when it was sent.
	LeaseTime = 8 * time.Second
	// RenewEvery is the time between renewals.
	RenewEvery = 3 * time.Second
	// ConfirmTime is how long a confirmation by mates lasts, from when they were
	// asked.
	ConfirmTime = 2 * time.Second
	// ConfirmEvery is the time between confirmations.
	ConfirmEvery = 700 * time.Millisecond
	// ConfirmAhead is how long before the end of the lease confirmations begin.
	ConfirmAhead = 3 * time.Second
	// Settle is how long the new holder of a seat waits that was not handed back.
	Settle = ConfirmTime + ConfirmTime/4
	// TickEvery is the longest time between ticks.
	TickEvery = 100 * time.Millisecond
	// tickGap is a pause that mates may have noticed.
	tickGap = 250 * time.Millisecond
	// MoveAfter is how long a seat must belong to another host before its holder
	// hands it back.
	MoveAfter = 2 * time.Second
	// KeepAfter is how long a host keeps a seat that the host it belongs to has
	// left free.
	KeepAfter = 30 * time.Second
	// Patience is how long a host leaves a free seat to the host it belongs to.
	Patience = 3 * time.Second
)
