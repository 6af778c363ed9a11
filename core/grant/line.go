package grant

import (
	"time"
)

// Line is the report of a host for one account, or the grant in reply.
type Line struct {
	// Account is the client account.
	Account string
	// Demand is the demand of the callers, in operations per second.
	Demand float64
	// Held is the rate that the host may serve now, in operations per second.
	Held float64
	// HeldBurst is the depth of the bucket that fills at Held, in operations.
	HeldBurst float64
	// HeldFor is the longest time for which the host may serve Held.
	HeldFor time.Duration
	// Want is the number of operations that wait to be lent.
	Want float64
	// Unused is the number of operations that were lent to the host and expired unused since its
	// last report.
	Unused float64
	// Rate is the granted rate, in operations per second.
	Rate float64
	// Burst is the depth of the host's bucket, in operations.
	Burst float64
	// Lent is the number of operations lent from the bucket of the allocator.
	Lent float64
}
