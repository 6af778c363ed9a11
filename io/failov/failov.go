// Package failov replaces the primaries of database groups: planned when a primary
// leaves, and unplanned when it is lost.
//
// One host, the holder of the duty, runs the checks. It asks the primary of every group
// for its status and receives reports from hosts that can't reach a primary. It replaces
// a primary that leaves, that calls itself a replica, whose announcement is gone, or that
// more hosts fail to reach than reach it. The steps of a change, and why they are safe,
// are described in package leader. Every write depends on the holder's key in the store,
// so that a holder that was paused beyond its lease changes nothing.
//
// If the store comes back from a backup, its records may be older than those it had. The
// holder asks all hosts for the newest that they know and writes these in the new era, with
// the next epoch. Until then no host uses a primary. Once no rights of an earlier era are left, it
// writes to the store that the era is settled.
package failov

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/accept"
	"coltsfootloft/core/evac"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/duty"
	"coltsfootloft/io/failov/stewardpb"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
	"coltsfootloft/io/probe"
)

// dutyName is the name under which hosts call each other for this duty.
const dutyName = "steward"

const (
	// checkPeriod is how often the holder asks each primary for its status.
	checkPeriod = 300 * time.Millisecond
	// statusTimeout bounds one status request to a database. A full queue of 16
	// statements of 22 ms on two slots takes 180 ms.
	statusTimeout = 300 * time.Millisecond
	// voteTimeout bounds how long hosts may take to answer whether they reach a database.
	voteTimeout = 450 * time.Millisecond
	// reportPeriod is the minimum time between the reports of a host about one group.
	reportPeriod = 250 * time.Millisecond
	// replicaAnswersToChange is how many answers in a row must call the primary a replica
	// before it is replaced.
	replicaAnswersToChange = 2
	// votePeriod is the minimum time between votes on one primary.
	votePeriod = 700 * time.Millisecond
	// recentChangePeriod is how long after a change of primary a vote on the new one is
	// held only if the holder itself fails to reach it, too. Otherwise votes in a row
	// that are wrong for the same reason could change the primary back and forth.
	recentChangePeriod = 5 * time.Second
	// votersPerDomain is how many hosts of each failure domain are asked. That is nearly
	// all of a fleet of 15 to 17 hosts, and in larger fleets few enough for their
	// connections to fit into the connection limit of the database.
	votersPerDomain = 4
	// removedGrace is how long the announcement of a primary must be gone before the
	// primary is replaced for this reason alone. Announcements that expired while the
	// store was unavailable are back within 2 s.
	removedGrace = 2500 * time.Millisecond
)

// Causes of a change of a primary: most hosts fail to reach it, and it says that it will
// leave.
const (
	lostPrimary    = "the primary is lost"
	leavingPrimary = "the primary is leaving"
	// evacuatedPrimary is the cause for replacing a primary whose failure domain is evacuated.
	evacuatedPrimary = "the primary's domain is evacuated"
)

// Controller replaces primaries while this host holds the duty, and answers the holder
// otherwise. Its exported fields are set before Run.
type Controller struct {
	// Self is the name of this host.
	Self string
	// Peers calls the other hosts.
	Peers coltsfootloft.Peers
	// Duty reports whether this host is the holder.
	Duty *duty.Duty
	// Lease is the host's lease, within which calls to the platform must end.
	Lease *lease.Lease
	// Store is the platform's store.
	Store coltsfootloft.KeyValue
	// Mirror is the host's copy of the store.
	Mirror *mirror.Mirror
	// Answers learns which closing records this host confirms.
	Answers *accept.Answers
	// Promoter promotes replicas through the platform.
	Promoter coltsfootloft.Promoter
	// Prober reads the status of databases and demotes them.
	Prober *probe.Prober
	// IsCold reports whether a database is cold; none is if it is nil.
	IsCold func(database string) bool
	// Clock is monotonic and includes the time in which the host is suspended.
	Clock coltsfootloft.Clock
	// Log receives a line for each step of a change.
	Log logr.Logger
	// Metrics receives the counters of changes.
	Metrics *metrics.Set

	mu         sync.Mutex
	busy       map[string]bool
	primaries  map[string]*primaryState
	lastReport map[string]time.Duration
	recalled   recalled
	// ended holds when the store has ended the leases of displaced registrations, or said that
	// they have ended.
	ended map[string]time.Duration
	once  sync.Once
}

// primaryState is what the holder has observed of the primary of one group.
type primaryState struct {
	failures       int
	replicaAnswers int
	reported       bool // a host has reported it unreachable
	lastVote       time.Duration
	lastChange     time.Duration // 0 if not yet
	partial        uint64        // revision of the evacuation that can't be carried out in full, or 0
	slowest        time.Duration // promotion seen by this host
	membersRead    time.Duration // 0 if not yet
	// called is when the last calls were made for databases that the closing record of version names, or later.
	called  map[string]time.Duration
	version uint64
}

// Register sets the handler for requests of other hosts. It is called before Run.
func (c *Controller) Register() {
	c.lazyInit()
	c.Peers.Register(dutyName, c.handle)
}

func (c *Controller) lazyInit() {
	c.once.Do(func() {
		c.busy = make(map[string]bool)
		c.primaries = make(map[string]*primaryState)
		c.lastReport = make(map[string]time.Duration)
		c.ended = make(map[string]time.Duration)
	})
}

// Run checks all groups while this host holds the duty, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.lazyInit()
	c.promotionSeconds() // is shown from the start
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.settleEras(ctx) })
	wg.Go(func() { c.repairHosts(ctx) })
	for ctx.Err() == nil {
		changed := c.Mirror.Changed()
		if _, ok := c.Duty.Holds(); !ok {
			pause.Until(ctx, changed, time.Second)
			continue
		}
		for _, g := range c.groups() {
			c.startCheck(ctx, &wg, g)
		}
		pause.Until(ctx, changed, checkPeriod)
	}
}

func (c *Controller) groups() []string {
	settings := c.Mirror.View().Settings
	if settings == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(settings.Connections))
}

// startCheck starts a check of one group, unless one is in progress.
func (c *Controller) startCheck(ctx context.Context, wg *sync.WaitGroup, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[name] {
		return
	}
	c.busy[name] = true
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.checkGroup(ctx, name)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.busy[name] = false
	}()
}

// checkGroup checks a group once: it writes a record that is missing, was overwritten or is of an
// earlier era of the store, continues a change that was interrupted, and replaces a primary that leaves or
// is gone.
func (c *Controller) checkGroup(ctx context.Context, name string) {
	v := c.Mirror.View()
	r, ok := v.Groups[name]
	_, isOdd := v.OddRecords[name]
	switch {
	case !ok, !r.IsCurrent(), isOdd:
		c.establishRecord(ctx, name)
		return
	case r.Closing:
		c.changePrimary(ctx, name, "a change was interrupted")
		return
	}
	u, known := v.Upstreams[r.Primary]
	now := c.Clock.Elapsed()
	if known && v.Evacuations.State(u.Upstream.Domain(), now) != evac.None {
		c.checkEvacuated(ctx, name, u)
		return
	}
	switch {
	case !known:
		c.changePrimary(ctx, name, "the primary is not announced")
	case u.Leaving:
		c.changePrimary(ctx, name, leavingPrimary)
	case u.Removed && now-u.Since > removedGrace:
		c.changePrimary(ctx, name, "the primary's announcement is gone")
	default:
		c.checkPrimary(ctx, name, u.Target())
	}
}

// checkPrimary asks the primary for its status. It replaces a primary that repeatedly
// calls itself a replica, that another database has superseded, or that a vote of the hosts finds lost.
func (c *Controller) checkPrimary(ctx context.Context, name string, t dbpool.Target) {
	h, err := c.status(ctx, t)
	vote, demoted := c.noteStatus(name, h, err)
	switch {
	case demoted:
		c.changePrimary(ctx, name, "the primary calls itself a replica")
	case err == nil && h.Role == coltsfootloft.Primary && c.isSuperseded(ctx, name, t.ID, h.Term):
		c.changePrimary(ctx, name, "another database leads in a later term")
	case vote:
		reason := "hosts can't reach the primary"
		if err != nil {
			reason = err.Error()
		}
		if c.isLost(ctx, name, t, reason) {
			c.changePrimary(ctx, name, lostPrimary)
		}
	case err == nil && h.Role == coltsfootloft.Primary:
		if g := c.Mirror.View().Groups[name]; g.IsOpen() && g.Primary == t.ID {
			c.keepMembers(ctx, name, g, h.Received)
		}
	}
}

// noteStatus notes the answer of a primary to a request for its status. It reports whether the hosts are to vote
// on the primary, and whether it has called itself a replica often enough to be replaced.
func (c *Controller) noteStatus(name string, h coltsfootloft.Health, err error) (vote, demoted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stateOf(name)
	switch {
	case errors.Is(err, probe.ErrOverloaded):
		s.failures = 0
	case err != nil:
		s.failures++
	case h.Role == coltsfootloft.Replica:
		s.failures = 0
		s.replicaAnswers++
	default:
		s.failures = 0
		s.replicaAnswers = 0
	}
	now := c.Clock.Elapsed()
	vote = (s.failures > 0 || s.reported) && now-s.lastVote > votePeriod
	if vote {
		s.reported = false
		s.lastVote = now
	}
	recent := s.failures == 0 && s.lastChange > 0 && now-s.lastChange < recentChangePeriod
	return vote && !recent, s.replicaAnswers >= replicaAnswersToChange
}

// isSuperseded reports whether another database of the group, which announces itself as the primary, leads
// in a later term than the primary of the record.
func (c *Controller) isSuperseded(ctx context.Context, group, primary string, term uint64) bool {
	for _, u := range c.Mirror.View().Members(group) {
		if u.Upstream.Name() == primary || u.Removed || u.Role != coltsfootloft.Primary || c.evacuationState(u) == evac.Closed {
			continue
		}
		if h, err := c.status(ctx, u.Target()); err == nil && h.Role == coltsfootloft.Primary && h.Term > term {
			return true
		}
	}
	return false
}

// stateOf returns the state of a group's primary; mu is held.
func (c *Controller) stateOf(group string) *primaryState {
	s := c.primaries[group]
	if s == nil {
		s = &primaryState{}
		c.primaries[group] = s
	}
	return s
}

func (c *Controller) status(ctx context.Context, t dbpool.Target) (coltsfootloft.Health, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.Prober.Status(ctx, t)
}

// ReadPosition asks a primary for the position of its newest record. The context must have a deadline.
func (c *Controller) ReadPosition(ctx context.Context, t dbpool.Target) (coltsfootloft.Position, error) {
	h, err := c.status(ctx, t)
	if err == nil && h.Role != coltsfootloft.Primary {
		err = errors.New("the database calls itself a replica")
	}
	return h.Received, err
}

// ReportUnreachable reports to the holder that this host can't reach a primary. It does not
// block.
func (c *Controller) ReportUnreachable(group, database string) {
	c.lazyInit()
	c.mu.Lock()
	now := c.Clock.Elapsed()
	if last, ok := c.lastReport[group]; ok && now-last < reportPeriod {
		c.mu.Unlock()
		return
	}
	c.lastReport[group] = now
	c.mu.Unlock()
	holder, ok := c.Duty.Holder()
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		defer cancel()
		_, err := c.call(ctx, holder, &stewardpb.Request{Missing: &stewardpb.Missing{
			Group:    group,
			Database: database,
		}})
		if err != nil {
			c.Log.V(1).Info("report of an unreachable primary failed", "host", holder, "reason", err.Error())
		}
	}()
}

func (c *Controller) call(ctx context.Context, host string, r *stewardpb.Request) (bool, error) {
	b, err := proto.Marshal(r)
	if err != nil { // the name of a group or database is not UTF-8
		return false, errors.Wrap(err, "question")
	}
	b, err = c.Peers.Call(ctx, host, dutyName, b)
	if err != nil {
		return false, err
	}
	var answer stewardpb.Response
	if err := proto.Unmarshal(b, &answer); err != nil {
		return false, errors.Wrap(err, "answer")
	}
	return answer.GetYes(), nil
}
