package conf

import "time"

// Defaults are the bounds that hold for the whole fleet.
type Defaults struct {
	withdrawalBound  time.Duration
	queueWait        time.Duration
	queueLength      int
	poolWait         time.Duration
	readWait         time.Duration
	barrierWait      time.Duration
	drainWait        time.Duration
	retryBudget      float64
	heldBytes        int
	messageLimit     int
	requestTable     string
	requestRetention time.Duration
}

// The values of fields that fleet/defaults leaves out.
const (
	DefaultWithdrawalBound  = 2 * time.Second
	DefaultQueueWait        = 2 * time.Second
	DefaultQueueLength      = 1000
	DefaultPoolWait         = 5 * time.Second
	DefaultReadWait         = 100 * time.Millisecond
	DefaultBarrierWait      = 2 * time.Second
	DefaultDrainWait        = 30 * time.Second
	DefaultRetryBudget      = 0.1
	DefaultHeldBytes        = 1 << 20
	DefaultMessageLimit     = 16 << 20
	DefaultRequestTable     = "coltsfootloft_requests"
	DefaultRequestRetention = 24 * time.Hour
)

const acceptedTable = "a table name of lower-case letters, digits and _, which may be qualified by one schema"

// WithdrawalBound is how long a running request of a withdrawn key may go on.
func (d Defaults) WithdrawalBound() time.Duration { return d.withdrawalBound }

// QueueWait is how long a request waits for its account's rate and burst.
func (d Defaults) QueueWait() time.Duration { return d.queueWait }

// QueueLength is how many requests of one account wait on one host.
func (d Defaults) QueueLength() int { return d.queueLength }

// PoolWait is how long a request waits for a connection to a database.
func (d Defaults) PoolWait() time.Duration { return d.poolWait }

// ReadWait is how long a read waits for a database that is fresh enough.
func (d Defaults) ReadWait() time.Duration { return d.readWait }

// BarrierWait is how long a session without a token waits for a majority.
func (d Defaults) BarrierWait() time.Duration { return d.barrierWait }

// DrainWait is how long a host that shuts down waits for running transactions.
func (d Defaults) DrainWait() time.Duration { return d.drainWait }

// RetryBudget is the share of an account's successes that may be repeated, from
// 0 to 1.
func (d Defaults) RetryBudget() float64 { return d.retryBudget }

// HeldBytes is how much of one answer is held back while a repeat is possible.
func (d Defaults) HeldBytes() int { return d.heldBytes }

// MessageLimit is the size in bytes of the longest message from a caller.
func (d Defaults) MessageLimit() int { return d.messageLimit }

// RequestTable is the table that request ids are recorded in.
func (d Defaults) RequestTable() string { return d.requestTable }

// RequestRetention is how long a request id is kept.
func (d Defaults) RequestRetention() time.Duration { return d.requestRetention }

func parseDefaults(_ location, o *object) value {
	ms := time.Millisecond
	return Defaults{
		withdrawalBound:  take(o, duration("withdrawal_bound", 0, time.Minute).or(DefaultWithdrawalBound)),
		queueWait:        take(o, duration("queue_wait", 0, time.Minute).or(DefaultQueueWait)),
		queueLength:      take(o, integer("queue_length", 1, 1_000_000).or(DefaultQueueLength)),
		poolWait:         take(o, duration("pool_wait", ms, time.Minute).or(DefaultPoolWait)),
		readWait:         take(o, duration("read_wait", 0, time.Minute).or(DefaultReadWait)),
		barrierWait:      take(o, duration("barrier_wait", ms, time.Minute).or(DefaultBarrierWait)),
		drainWait:        take(o, duration("drain_wait", 0, time.Hour).or(DefaultDrainWait)),
		retryBudget:      take(o, fraction("retry_budget", 0, 1).or(DefaultRetryBudget)),
		heldBytes:        take(o, size("held_bytes", "4KiB", "64MiB").or(DefaultHeldBytes)),
		messageLimit:     take(o, size("message_limit", "64KiB", "512MiB").or(DefaultMessageLimit)),
		requestTable:     take(o, text("request_table", acceptedTable, parseTable).or(DefaultRequestTable)),
		requestRetention: take(o, duration("request_retention", time.Minute, 366*24*time.Hour).or(DefaultRequestRetention)),
	}
}

func (d Defaults) join(f *Fleet) Problems {
	f.defaults = d
	return nil
}

// standardDefaults is what holds without a value at fleet/defaults.
func standardDefaults() Defaults {
	doc := &document{
		path:   "fleet/defaults",
		source: []byte("{}"),
	}
	d, _ := parseDefaults(locate(doc.path), doc.root()).(Defaults)
	return d
}

func parseTable(s string) (string, bool) {
	return s, tableForm.MatchString(s)
}
