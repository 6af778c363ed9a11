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

// simulation runs a few hosts that share one limit and exchange requests and grants
// over links that lose, delay, reorder and duplicate messages. Every host's clock
// runs up to 1% fast or slow.
type simulation struct {
	t        *rapid.T
	limit    Part
	elapsed  time.Duration
	hosts    []*host
	requests []message
	grants   []message
}

type host struct {
	name  string
	drift float64
	rate  Rate
}

type message struct {
	from     int
	to       int
	request  Request
	grant    Grant
	answered bool
}

func newSimulation(t *rapid.T, limit Part) *simulation {
	s := &simulation{
		t:     t,
		limit: limit,
	}
	n := rapid.IntRange(2, 4).Draw(t, "hosts")
	for i := range n {
		h := &host{
			name:  fmt.Sprint("h", i),
			drift: rapid.Float64Range(-0.01, 0.01).Draw(t, "drift"),
		}
		s.hosts = append(s.hosts, h)
		h.rate.Own(s.now(i), limit.Scale(1/float64(n)), s.now(i).Add(time.Hour))
		h.rate.Fill(s.now(i))
	}
	return s
}

// now returns the time by the clock of host i.
func (s *simulation) now(i int) time.Time {
	return epoch.Add(time.Duration(float64(s.elapsed) * (1 + s.hosts[i].drift)))
}

func (s *simulation) randomHost(label string) int {
	return rapid.IntRange(0, len(s.hosts)-1).Draw(s.t, label)
}

// step takes one random action.
func (s *simulation) step() {
	switch rapid.IntRange(0, 9).Draw(s.t, "kind") {
	case 0, 1, 2:
		s.elapsed += time.Duration(rapid.IntRange(1, 900).Draw(s.t, "ms")) * time.Millisecond
	case 3, 4:
		s.sendRequest()
	case 5, 6:
		s.receive()
	case 7, 8:
		s.accept()
	case 9:
		i := s.randomHost("lease")
		left := time.Duration(rapid.IntRange(0, 5000).Draw(s.t, "left")) * time.Millisecond
		s.hosts[i].rate.Own(s.now(i), s.limit.Scale(1/float64(len(s.hosts))), s.now(i).Add(left))
	}
}

func (s *simulation) sendRequest() {
	i, j := s.randomHost("borrower"), s.randomHost("lender")
	if i == j {
		return
	}
	want := NewPart(
		rapid.Float64Range(0, s.limit.Rate()).Draw(s.t, "rate"),
		rapid.Float64Range(0, s.limit.Burst()).Draw(s.t, "burst"),
	)
	if rapid.Bool().Draw(s.t, "return") {
		want = Part{}
	}
	tokens := rapid.Float64Range(0, 5).Draw(s.t, "tokens")
	m := message{
		from: i,
		to:   j,
	}
	if rapid.IntRange(0, 2).Draw(s.t, "same") == 0 {
		m.request = s.hosts[i].rate.RequestTokens(s.now(i), s.hosts[j].name, tokens)
	} else {
		m.request = s.hosts[i].rate.Request(s.now(i), s.hosts[j].name, want, tokens)
	}
	s.requests = append(s.requests, m)
}

// receive delivers any request that was ever sent, possibly again.
func (s *simulation) receive() {
	if len(s.requests) == 0 {
		return
	}
	m := s.requests[rapid.IntRange(0, len(s.requests)-1).Draw(s.t, "ask")]
	waiting := rapid.Float64Range(0, 2).Draw(s.t, "waiting")
	m.grant = s.hosts[m.to].rate.Lend(s.now(m.to), s.hosts[m.from].name, m.request, waiting)
	m.answered = true
	s.grants = append(s.grants, m)
}

// accept delivers any answer that was ever sent, or abandons its request.
func (s *simulation) accept() {
	if len(s.grants) == 0 {
		return
	}
	m := s.grants[rapid.IntRange(0, len(s.grants)-1).Draw(s.t, "grant")]
	h := s.hosts[m.from]
	if rapid.IntRange(0, 3).Draw(s.t, "lost") == 0 {
		h.rate.Abandon(s.now(m.from), s.hosts[m.to].name, m.request)
		return
	}
	h.rate.Accept(s.now(m.from), s.hosts[m.to].name, m.request, m.grant)
}

// held sums the parts that all hosts may use at this moment.
func (s *simulation) held() Part {
	var sum Part
	for i, h := range s.hosts {
		sum = sum.Plus(h.rate.Held(s.now(i)))
	}
	return sum
}

// TestPartsNeverExceedTheWhole checks after every step that the parts held sum to at
// most the limit, and that the tokens that all hosts admit conform to one bucket with
// the whole limit, which bounds them over every window.
func TestPartsNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, NewPart(10, 20))
		// Clocks that run 1% fast fill their buckets 1% faster.
		window := bucket.New(10*1.0101, 20, epoch)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.step()
			sum := s.held()
			assert.Assert(t, sum.Rate() <= s.limit.Rate()+1e-6, "rate %v", sum.Rate())
			assert.Assert(t, sum.Burst() <= s.limit.Burst()+1e-6, "burst %v", sum.Burst())
			if rapid.Bool().Draw(t, "spend") {
				i := s.randomHost("spender")
				n := s.hosts[i].rate.Available(s.now(i))
				s.hosts[i].rate.Debit(s.now(i), n)
				assert.Assert(t, window.Take(epoch.Add(s.elapsed), n-1e-6), "%v tokens at once", n)
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
