package conf

import "time"

// Defaults are the limits that apply to the whole fleet.
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
	callerWait       time.Duration
	idleTransaction  time.Duration
	requestTable     string
	requestRetention time.Duration
}

// Default values of the fields of fleet/defaults. Sizes are in bytes.
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
	DefaultCallerWait       = 30 * time.Second
	DefaultIdleTransaction  = 10 * time.Minute
	DefaultRequestTable     = "coltsfootloft_requests"
	DefaultRequestRetention = 24 * time.Hour
)

const acceptedTable = "a table name of lower-case letters, digits and _, which may be qualified by one schema"

// WithdrawalBound is how long a running request may continue after its key was
// withdrawn.
func (d Defaults) WithdrawalBound() time.Duration { return d.withdrawalBound }

// QueueWait is how long a request waits for its account's rate and burst.
func (d Defaults) QueueWait() time.Duration { return d.queueWait }

// QueueLength is the maximum number of requests of one account that wait on one host.
func (d Defaults) QueueLength() int { return d.queueLength }

// PoolWait is how long a request waits for a connection to a database.
func (d Defaults) PoolWait() time.Duration { return d.poolWait }

// ReadWait is how long a read waits for a database that is fresh enough.
func (d Defaults) ReadWait() time.Duration { return d.readWait }

// BarrierWait is how long a session without a token waits for a majority of the
// database group.
func (d Defaults) BarrierWait() time.Duration { return d.barrierWait }

// DrainWait is how long a host that shuts down waits for running transactions.
func (d Defaults) DrainWait() time.Duration { return d.drainWait }

// RetryBudget is the number of retries that an account may use, as a fraction of its
// successful requests, from 0 to 1.
func (d Defaults) RetryBudget() float64 { return d.retryBudget }

// HeldBytes is the maximum number of bytes of one answer that are buffered while the
// request can still be retried.
func (d Defaults) HeldBytes() int { return d.heldBytes }

// MessageLimit is the maximum size in bytes of a message from a caller.
func (d Defaults) MessageLimit() int { return d.messageLimit }

// CallerWait is how long a caller may take to send the next 32 KiB of a message that has begun, or to
// receive the next 32 KiB of an answer; 0 for no limit.
func (d Defaults) CallerWait() time.Duration { return d.callerWait }

// IdleTransaction is how long a transaction may wait for its caller's next message; 0 for no limit.
func (d Defaults) IdleTransaction() time.Duration { return d.idleTransaction }

// RequestTable is the name of the database table in which request ids are recorded.
func (d Defaults) RequestTable() string { return d.requestTable }

// RequestRetention is how long a request id is kept.
func (d Defaults) RequestRetention() time.Duration { return d.requestRetention }

func parseDefaults(_ location, o *object) value {
	ms := time.Millisecond
	return Defaults{
		withdrawalBound:  take(o, duration("withdrawal_bound", 0, time.Minute).orDefault(DefaultWithdrawalBound)),
		queueWait:        take(o, duration("queue_wait", 0, time.Minute).orDefault(DefaultQueueWait)),
		queueLength:      take(o, integer("queue_length", 1, 1_000_000).orDefault(DefaultQueueLength)),
		poolWait:         take(o, duration("pool_wait", ms, time.Minute).orDefault(DefaultPoolWait)),
		readWait:         take(o, duration("read_wait", 0, time.Minute).orDefault(DefaultReadWait)),
		barrierWait:      take(o, duration("barrier_wait", ms, time.Minute).orDefault(DefaultBarrierWait)),
		drainWait:        take(o, duration("drain_wait", 0, time.Hour).orDefault(DefaultDrainWait)),
		retryBudget:      take(o, fraction("retry_budget", 0, 1).orDefault(DefaultRetryBudget)),
		heldBytes:        take(o, sizeField("held_bytes", "4KiB", "64MiB").orDefault(DefaultHeldBytes)),
		messageLimit:     take(o, sizeField("message_limit", "64KiB", "512MiB").orDefault(DefaultMessageLimit)),
		callerWait:       take(o, duration("caller_wait", 0, time.Hour).orDefault(DefaultCallerWait)),
		idleTransaction:  take(o, duration("idle_transaction", 0, 24*time.Hour).orDefault(DefaultIdleTransaction)),
		requestTable:     take(o, text("request_table", acceptedTable, parseTable).orDefault(DefaultRequestTable)),
		requestRetention: take(o, duration("request_retention", time.Minute, 366*24*time.Hour).orDefault(DefaultRequestRetention)),
	}
}

func (d Defaults) addTo(f *Fleet) Problems {
	f.defaults = d
	return nil
}

// standardDefaults returns the limits that apply without a value at fleet/defaults.
func standardDefaults() Defaults {
	doc := &document{
		path:   "fleet/defaults",
		source: []byte("{}"),
	}
	d, _ := parseDefaults(parsePath(doc.path), doc.root()).(Defaults)
	return d
}

func parseTable(s string) (string, bool) {
	return s, tableForm.MatchString(s)
}
