package loan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft/core/bucket"
	_ "coltsfootloft/stand/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

// world is a few hosts that share one limit and exchange asks and grants over
// links that lose, delay, reorder and double messages. Every host has a clock of
// its own that runs up to 1% fast or slow.
type world struct {
	t       *rapid.T
	whole   Part
	elapsed time.Duration
	hosts   []*host
	asks    []message
	grants  []message
}

type host struct {
	name  string
	drift float64
	rate  Rate
}

type message struct {
	from   int
	to     int
	ask    Request
	grant  Grant
	answer bool
}

func newWorld(t *rapid.T, whole Part) *world {
	w := &world{
		t:     t,
		whole: whole,
	}
	n := rapid.IntRange(2, 4).Draw(t, "hosts")
	for i := range n {
		h := &host{
			name:  fmt.Sprint("h", i),
			drift: rapid.Float64Range(-0.01, 0.01).Draw(t, "drift"),
		}
		w.hosts = append(w.hosts, h)
		h.rate.Own(w.now(i), whole.Scale(1/float64(n)), w.now(i).Add(time.Hour))
		h.rate.Fill(w.now(i))
	}
	return w
}

// now is the time by a host's own clock.
func (w *world) now(i int) time.Time {
	return epoch.Add(time.Duration(float64(w.elapsed) * (1 + w.hosts[i].drift)))
}

func (w *world) any(label string) int {
	return rapid.IntRange(0, len(w.hosts)-1).Draw(w.t, label)
}

// step does one random thing.
func (w *world) step() {
	switch rapid.IntRange(0, 9).Draw(w.t, "kind") {
	case 0, 1, 2:
		w.elapsed += time.Duration(rapid.IntRange(1, 900).Draw(w.t, "ms")) * time.Millisecond
	case 3, 4:
		w.ask()
	case 5, 6:
		w.receive()
	case 7, 8:
		w.accept()
	case 9:
		i := w.any("lease")
		left := time.Duration(rapid.IntRange(0, 5000).Draw(w.t, "left")) * time.Millisecond
		w.hosts[i].rate.Own(w.now(i), w.whole.Scale(1/float64(len(w.hosts))), w.now(i).Add(left))
	}
}

func (w *world) ask() {
	i, j := w.any("borrower"), w.any("lender")
	if i == j {
		return
	}
	want := NewPart(
		rapid.Float64Range(0, w.whole.Rate()).Draw(w.t, "rate"),
		rapid.Float64Range(0, w.whole.Burst()).Draw(w.t, "burst"),
	)
	if rapid.Bool().Draw(w.t, "return") {
		want = Part{}
	}
	tokens := rapid.Float64Range(0, 5).Draw(w.t, "tokens")
	m := message{
		from: i,
		to:   j,
	}
	if rapid.IntRange(0, 2).Draw(w.t, "same") == 0 {
		m.ask = w.hosts[i].rate.RequestTokens(w.now(i), w.hosts[j].name, tokens)
	} else {
		m.ask = w.hosts[i].rate.Request(w.now(i), w.hosts[j].name, want, tokens)
	}
	w.asks = append(w.asks, m)
}

// receive delivers any ask ever sent, again perhaps.
func (w *world) receive() {
	if len(w.asks) == 0 {
		return
	}
	m := w.asks[rapid.IntRange(0, len(w.asks)-1).Draw(w.t, "ask")]
	waiting := rapid.Float64Range(0, 2).Draw(w.t, "waiting")
	m.grant = w.hosts[m.to].rate.Lend(w.now(m.to), w.hosts[m.from].name, m.ask, waiting)
	m.answer = true
	w.grants = append(w.grants, m)
}

// accept delivers any answer ever sent, or gives its ask up.
func (w *world) accept() {
	if len(w.grants) == 0 {
		return
	}
	m := w.grants[rapid.IntRange(0, len(w.grants)-1).Draw(w.t, "grant")]
	h := w.hosts[m.from]
	if rapid.IntRange(0, 3).Draw(w.t, "lost") == 0 {
		h.rate.Abandon(w.now(m.from), w.hosts[m.to].name, m.ask)
		return
	}
	h.rate.Accept(w.now(m.from), w.hosts[m.to].name, m.ask, m.grant)
}

// held sums what all hosts may use at this moment.
func (w *world) held() Part {
	var sum Part
	for i, h := range w.hosts {
		sum = sum.Plus(h.rate.Held(w.now(i)))
	}
	return sum
}

// TestPartsNeverExceedTheWhole checks after every step that the parts held sum to
// at most the whole, and that what the hosts admit conforms to one bucket of the
// whole, which is the bound over every window.
func TestPartsNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, NewPart(10, 20))
		// Clocks that run 1% fast fill their buckets as much faster.
		window := bucket.New(10*1.0101, 20, epoch)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step()
			sum := w.held()
			assert.Assert(t, sum.Rate() <= w.whole.Rate()+1e-6, "rate %v", sum.Rate())
			assert.Assert(t, sum.Burst() <= w.whole.Burst()+1e-6, "burst %v", sum.Burst())
			if rapid.Bool().Draw(t, "spend") {
				i := w.any("spender")
				n := w.hosts[i].rate.Available(w.now(i))
				w.hosts[i].rate.Debit(w.now(i), n)
				assert.Assert(t, window.Take(epoch.Add(w.elapsed), n-1e-6), "%v tokens at once", n)
			}
		}
	})
}

func TestSplitSumsToTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "parts")
		whole := rapid.IntRange(0, 500).Draw(t, "whole")
		var parts []string
		for i := range n {
			parts = append(parts, fmt.Sprint(i))
		}
		sum := 0
		for _, p := range Split("db", whole, parts) {
			assert.Assert(t, p >= whole/n && p <= whole/n+1)
			sum += p
		}
		assert.Equal(t, sum, whole)
	})
}
