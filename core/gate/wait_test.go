package gate

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	tick    = time.Millisecond
	service = 20 * tick
	seconds = 20
	maxWait = 72 * tick // 0.6 of a target latency of 120 ms
)

// waiter is a statement in a simulated queue.
type waiter struct {
	level    int
	until    time.Duration
	expected time.Duration
	waited   time.Duration
}

// result counts statements by level.
type result struct {
	served          []*waiter
	refused, inVain [Levels]int
}

// overload sends statements of 10 to 30 ms to a gate of two permits, which gives 100 turns a
// second, at the given rates by level. If refuse is set, those that can't begin in time are refused.
func overload(perSecond [Levels]float64, refuse bool) (r result) {
	random := rand.New(rand.NewPCG(20261207, 1))
	g := Gate[*waiter]{Limit: 2}
	g.Observe(service)
	var running [][2]time.Duration // when they end and when they began
	queued := make(map[*waiter]Ticket[*waiter])
	begin := func(w *waiter, now time.Duration) {
		w.waited = now - w.until + maxWait
		r.served = append(r.served, w)
		end := now + service/2 + time.Duration(random.Int64N(int64(service)))
		running = append(running, [2]time.Duration{end, now})
	}
	for now := time.Duration(0); now < seconds*time.Second; now += tick {
		running = slices.DeleteFunc(running, func(x [2]time.Duration) bool {
			if x[0] > now {
				return false
			}
			g.Release(false)
			g.Observe(now - x[1])
			return true
		})
		for w, k := range queued {
			if now >= w.until && g.Cancel(k) {
				r.inVain[w.level]++
				delete(queued, w)
			}
		}
		for w, ok := g.Dequeue(); ok; w, ok = g.Dequeue() {
			delete(queued, w)
			begin(w, now)
		}
		for level, rate := range perSecond {
			if random.Float64() >= rate*tick.Seconds() {
				continue
			}
			w := &waiter{
				level: level,
				until: now + maxWait,
			}
			w.expected = g.Wait(level, "a", w.until)
			switch {
			case g.TryAcquire():
				begin(w, now)
			case refuse && w.expected > maxWait:
				r.refused[level]++
			default:
				queued[w], _ = g.EnqueueUntil(level, "a", w.until, w)
			}
		}
	}
	return r
}

// TestUselessWaitIsRefusedAtOnce guards against statements that wait although their turn can't
// come in time. Load: 1.6 times the turns, in one level.
func TestUselessWaitIsRefusedAtOnce(t *testing.T) {
	r := overload([Levels]float64{2: 160}, true)
	without := overload([Levels]float64{2: 160}, false)
	t.Logf("served %d, refused %d, in vain %d; without refusals: served %d, in vain %d",
		len(r.served), r.refused[2], r.inVain[2], len(without.served), without.inVain[2])
	assert.Assert(t, without.inVain[2] > 30*seconds, "the load is no overload")
	assert.Assert(t, r.inVain[2]*10 < without.inVain[2])
	assert.Assert(t, len(r.served) >= 95*seconds, "refusals leave turns unused")
}

// TestEstimateIsNearTheWait guards against refusals on an estimate that is far off. Load: 0.9
// times the turns, in two levels.
func TestEstimateIsNearTheWait(t *testing.T) {
	r := overload([Levels]float64{1: 30, 2: 60}, true)
	var off, waits time.Duration
	for _, w := range r.served {
		off += max(w.waited-w.expected, w.expected-w.waited)
		waits += w.waited
	}
	n := time.Duration(len(r.served))
	t.Logf("mean wait %v, mean error %v, refused %v", waits/n, off/n, r.refused)
	assert.Assert(t, off/n < service/2, "the error is over a turn")
}

// TestUrgentBesideABurstOfTheLeastUrgent guards against urgent statements that are refused for
// the queue of others, and against others that get no turn. Load: half of the turns urgent,
// three times the turns least urgent.
func TestUrgentBesideABurstOfTheLeastUrgent(t *testing.T) {
	r := overload([Levels]float64{0: 50, 3: 300}, true)
	served := [Levels]int{}
	for _, w := range r.served {
		served[w.level]++
	}
	without := overload([Levels]float64{0: 50, 3: 300}, false)
	t.Logf("served %v, refused %v, in vain %v; without refusals: in vain %v", served, r.refused, r.inVain, without.inVain)
	assert.Assert(t, r.refused[0]+r.inVain[0] <= without.inVain[0]+served[0]/100)
	assert.Assert(t, r.inVain[3]*10 < without.inVain[3])
	assert.Assert(t, served[3] >= 25*seconds, "the least urgent level keeps one turn in four")
}

// TestSmallAccountIsNotRefusedForALargeOne guards against an estimate that counts the whole queue
// of another account.
func TestSmallAccountIsNotRefusedForALargeOne(t *testing.T) {
	g := Gate[int]{Limit: 1}
	g.TryAcquire()
	g.Observe(service)
	for i := range 50 {
		g.EnqueueUntil(2, "large", maxWait, i)
	}
	assert.Assert(t, g.Wait(2, "large", maxWait) > 50*service)
	assert.Assert(t, g.Wait(2, "small", maxWait) <= 2*service)
	assert.Assert(t, g.Wait(1, "small", maxWait) <= 2*service)
	assert.Equal(t, g.WaitOfLevel(2), g.Wait(2, "large", maxWait))
}

// TestLeastTimeLeftIsFirst guards against a statement that runs out of time behind one of its
// account that has more.
func TestLeastTimeLeftIsFirst(t *testing.T) {
	g := Gate[int]{Limit: 1}
	g.TryAcquire()
	for i, until := range []time.Duration{30, 10, 20, 10} {
		g.EnqueueUntil(2, "a", until, i)
	}
	var order []int
	for range 4 {
		g.Release(false)
		i, _ := g.Dequeue()
		order = append(order, i)
	}
	assert.DeepEqual(t, order, []int{1, 3, 2, 0})
}

// TestRefusedReturnNoFasterThanServed guards against refused statements that return all at once.
// Load: 60 statements refused within one turn, behind a queue of 20.
func TestRefusedReturnNoFasterThanServed(t *testing.T) {
	random := rand.New(rand.NewPCG(20261207, 2))
	g := Gate[int]{Limit: 1}
	g.TryAcquire()
	g.Observe(service)
	for i := range 20 {
		g.EnqueueUntil(2, "a", maxWait, i)
	}
	wait := g.Wait(2, "a", maxWait)
	var returns []time.Duration
	for range 60 {
		returns = append(returns, g.RetryAfter(time.Minute, 2, wait, maxWait, random.Float64()))
	}
	slices.Sort(returns)
	const window = 10
	for i := range len(returns) - 2*window {
		assert.Assert(t, returns[i+2*window]-returns[i] >= window*service/2, "%d: %v", i, returns[i:i+2*window+1])
	}
	assert.Assert(t, returns[0] >= (wait-maxWait)/2)
	assert.Assert(t, returns[len(returns)-1] <= maxRetryQueues*wait*3/2)
	urgent := g.RetryAfter(time.Minute, 0, wait, maxWait, 0.5)
	assert.Assert(t, urgent <= wait, "urgent statements return behind less urgent ones")
}
