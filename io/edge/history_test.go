package edge

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootloft/stand/audit"
	"coltsfootloft/stand/legal"
	"coltsfootloft/stand/linedb"
	"coltsfootloft/stand/opset"
	"coltsfootloft/stand/relay"
)

var (
	historySeed  = flag.Uint64("history-seed", 20261205, "seed of the first random history")
	historyCount = flag.Int("history-count", 6, "number of random histories")
	historyOdd   = flag.Bool("history-odd", false, "odd entries in the store in each random history")
)

const (
	historyLength = 6 * time.Second
	callerCount   = 24
	// noGrace is the time to stop, in seconds, of a host whose stop stands for a crash.
	noGrace = 0.05
	// moveLimit is how long a key may be used for the account that it was taken from.
	moveLimit = 2 * time.Second
	// answerSlack is how long after it was sent, or after the answer of the one sent before it, a
	// statement that no database ran may be cut off by a stop of its host.
	answerSlack = 200 * time.Millisecond
	// doubtEnds is how long a statement whose outcome is not known may still take effect.
	doubtEnds = 400 * time.Millisecond
	// lateLimit is how long after its answer a statement may run: a silent link to another host is probed
	// within 0.4 s and reset 0.6 s later.
	lateLimit = time.Second
)

// history is a random history: callers on three hosts, and faults and planned work beside them.
type history struct {
	*fleet
	random *rand.Rand
	end    time.Time

	mu        sync.Mutex
	record    audit.Record
	impaired  []span            // of holds of links to databases and the store, and stops without grace
	stops     [][]span          // of each host, from its signal to its end
	moves     int               // of the key that moves
	hostHolds int               // holds and cuts of links between hosts
	problems  []string          // found while the history ran
	acked     map[string]uint64 // value last acknowledged, by item
	sent      map[string]uint64 // value last sent, by item
}

type span struct{ from, to time.Time }

// TestRandomHistories plays random histories and checks what callers and databases have seen. Each has
// links held up between one host and one database, the store or another host, hosts stopped and started again
// beside open transactions, a key that moves between accounts, odd entries in the store, and databases that
// answer twice or with errors. Callers use all bytes that the protocol allows.
func TestRandomHistories(t *testing.T) {
	t.Parallel()
	for i := range uint64(*historyCount) {
		seed := *historySeed + i
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			newHistory(t, seed).play()
		})
	}
}

func newHistory(t *testing.T, seed uint64) *history {
	t.Helper()
	h := &history{
		random: rand.New(rand.NewPCG(seed, 0)),
		stops:  make([][]span, 3),
		acked:  make(map[string]uint64),
		sent:   make(map[string]uint64),
	}
	h.fleet = startFleet(t, 3, func(f *fleet) {
		f.grace = 2
		f.config.Limits["TxIdleMs"] = 5000
		f.config.Tenants[0].ApiKeys = append(f.config.Tenants[0].ApiKeys, "key-roams")
		for i := range f.config.Routes {
			f.config.Routes[i].TargetLatencyMs = 150 // so that reads give up on a database early
		}
		f.addLinks(t.Context())
		f.hasHostLinks = true
	})
	h.record = audit.Record{
		Limit: moveLimit,
		ByRun: true,
	}
	for key, account := range map[string]string{"key-arima": "arima", "key-siparia": "siparia", "key-roams": "arima"} {
		h.record.Give(key, account)
	}
	for i, d := range h.databases {
		delay := rand.New(rand.NewPCG(seed, uint64(100+i)))
		var mu sync.Mutex
		h.group.SetHook(d.ID(), func() {
			mu.Lock()
			wait := time.Duration(delay.IntN(120)) * time.Millisecond
			mu.Unlock()
			time.Sleep(wait)
		})
	}
	return h
}

// chooseMoves returns one to three kinds of moves and the longest pause between them. In a third of the
// histories, databases answer twice or with errors for most of the time.
func (h *history) chooseMoves() (moves []func(), pause time.Duration) {
	if h.random.IntN(3) == 0 && !*historyOdd {
		return []func(){h.answerTwice, h.answerTwice, h.answerErrors}, 100 * time.Millisecond
	}
	moves = []func(){
		h.holdDatabase, h.holdStore, h.holdHost, h.holdHost, h.restartHost, h.restartHost, h.moveKey, h.writeOddEntry,
		h.answerTwice, h.answerTwice, h.answerErrors,
	}
	h.random.Shuffle(len(moves), func(i, j int) { moves[i], moves[j] = moves[j], moves[i] })
	moves = moves[:1+h.random.IntN(3)]
	if *historyOdd {
		moves = append(moves, h.writeOddEntry)
	}
	return moves, 500 * time.Millisecond
}

// play plays the history.
func (h *history) play() {
	moves, pause := h.chooseMoves()
	h.end = time.Now().Add(historyLength)
	var callers sync.WaitGroup
	for i := range callerCount {
		random := rand.New(rand.NewPCG(h.random.Uint64(), uint64(i)))
		callers.Go(func() { h.call(i, random) })
	}
	for time.Now().Before(h.end) {
		moves[h.random.IntN(len(moves))]()
		time.Sleep(pause/5 + time.Duration(h.random.Int64N(int64(pause*4/5))))
	}
	callers.Wait()
	h.awaitRepair()
	h.check()
}

// awaitRepair waits until each host may use the primary, which then crashes and must be replaced.
func (h *history) awaitRepair() {
	h.t.Helper()
	const limit = 8 * time.Second
	for i := range 3 {
		h.await(fmt.Sprintf("primary at host %d after the faults", i+1), limit, func() bool {
			_, ok := h.host(i).edge.groups.Primary("notices")
			return ok
		})
	}
	before := len(h.group.Promotions())
	h.group.SetDown(h.group.Primary(), true)
	h.await("promotion after the faults", limit, func() bool { return len(h.group.Promotions()) > before })
}

func (h *history) host(i int) *testHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts[i]
}

func (h *history) hold(r *relay.Relay) {
	d := time.Duration(50+h.random.IntN(2000)) * time.Millisecond
	now := time.Now()
	h.mu.Lock()
	h.impaired = append(h.impaired, span{now, now.Add(d)})
	h.mu.Unlock()
	r.Hold(relay.Both, true)
	time.AfterFunc(d, func() { r.Hold(relay.Both, false) })
}

// answerTwice has a database answer twice for a while, the second time up to some hundred ms late.
func (h *history) answerTwice() {
	h.impairAnswers(linedb.Faults{
		Seed:  h.random.Uint64(),
		Twice: []float64{0.05, 0.3, 1}[h.random.IntN(3)],
		Delay: time.Duration(h.random.IntN(400)) * time.Millisecond,
	})
}

// answerErrors has a database answer statements with errors for a while, some of which have run.
func (h *history) answerErrors() {
	h.impairAnswers(linedb.Faults{
		Seed:   h.random.Uint64(),
		Errors: []float64{0.05, 0.3}[h.random.IntN(2)],
		Codes:  []string{"BUSY", "FAILED", "TIMEOUT"}[:1+h.random.IntN(3)],
		Delay:  time.Duration(h.random.IntN(400)) * time.Millisecond,
	})
}

func (h *history) impairAnswers(f linedb.Faults) {
	id := h.databases[h.random.IntN(len(h.databases))].ID()
	h.t.Logf("%s %s answers with %+v", time.Now().Format("05.000"), id, f)
	h.group.SetFaults(id, f)
	time.Sleep(time.Duration(200+h.random.IntN(1200)) * time.Millisecond)
	h.group.SetFaults(id, linedb.Faults{})
}

func hostIP(i int) string { return fmt.Sprintf("127.0.62.%d", i+1) }

func (h *history) holdDatabase() {
	d := h.databases[h.random.IntN(len(h.databases))]
	h.hold(h.links[d.ID()].From(hostIP(h.random.IntN(3))))
}

func (h *history) holdStore() { h.hold(h.links[""].From(hostIP(h.random.IntN(3)))) }

// restartHost stops a host and starts it again under its name, often several times in a row.
func (h *history) restartHost() {
	i := h.random.IntN(3)
	h.restartOnce(i)
	for h.random.IntN(4) > 0 && time.Now().Before(h.end) {
		time.Sleep(time.Duration(300+h.random.IntN(600)) * time.Millisecond)
		h.restartOnce(i)
	}
}

// restartOnce stops host i and starts it again. Half of the runs of a host get no time to end their
// sessions.
func (h *history) restartOnce(i int) {
	old := h.host(i)
	settings := old.settings
	settings.GraceS = []float64{h.grace, noGrace}[h.random.IntN(2)]
	from := time.Now()
	h.mu.Lock()
	if old.settings.GraceS == noGrace {
		h.impaired = append(h.impaired, span{from, from})
	}
	h.stops[i] = append(h.stops[i], span{from, from.Add(time.Hour)})
	h.mu.Unlock()
	old.stop()
	err := <-old.ended
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.problems = append(h.problems, fmt.Sprintf("host %d ended: %v", i+1, err))
	}
	ended := time.Now()
	h.stops[i][len(h.stops[i])-1].to = ended
	if n := old.edge.server.Sessions(); n > 0 && old.settings.GraceS != noGrace && !h.isImpaired(from, ended) {
		h.problems = append(h.problems, fmt.Sprintf("LOST: host %d ended while it served %d sessions", i+1, n))
	}
	h.hosts[i] = h.startHost(settings)
}

func (h *history) moveKey() {
	h.changeSettings(func(c *config) {
		from, to := &c.Tenants[0], &c.Tenants[1]
		if !slices.Contains(from.ApiKeys, "key-roams") {
			from, to = to, from
		}
		from.ApiKeys = slices.DeleteFunc(from.ApiKeys, func(k string) bool { return k == "key-roams" })
		to.ApiKeys = append(to.ApiKeys, "key-roams")
		h.mu.Lock()
		defer h.mu.Unlock()
		h.record.Give("key-roams", to.Name)
		h.moves++
	})
}

// writeOddEntry leaves an odd value in any folder, or over a key that the store holds, or removes such a key.
func (h *history) writeOddEntry() {
	key := opset.Folders[h.random.IntN(len(opset.Folders))] + fmt.Sprintf("odd-%d", h.random.IntN(5))
	value := opset.OddValues[h.random.IntN(len(opset.OddValues))]
	if keys := opset.ForeignKeys(h.store.Keys()); h.random.IntN(4) > 0 {
		key = keys[h.random.IntN(len(keys))]
		if h.random.IntN(4) == 0 {
			value = removal
		}
	}
	h.t.Logf("%s %.40q over %s", time.Now().Format("05.000"), value, key)
	h.overwrite(key, value)
	if strings.HasPrefix(key, "servers/") {
		time.AfterFunc(time.Duration(h.random.IntN(1000))*time.Millisecond, h.announceAll) // as databases do by themselves
	}
}

// call runs sessions until the history ends.
func (h *history) call(worker int, random *rand.Rand) {
	key := []string{"key-arima", "key-siparia", "key-roams"}[worker%3]
	text := legal.Source{Random: random}
	item := fmt.Sprintf("item-%d%s", worker, text.Name())
	for n := 0; time.Now().Before(h.end); n++ {
		i := random.IntN(3)
		s := h.open(i, []string{"file", "minutes"}[random.IntN(2)], key)
		if s == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.item = item
		s.random = random
		s.text = text
		if worker%4 == 0 {
			s.Pieces = random
		}
		s.run(fmt.Sprintf("w%d-%d", worker, n))
		if stray := s.Close(); stray != "" {
			h.note("STRAY: host %d sent %q, which is no part of an answer", i+1, stray)
		}
	}
}
