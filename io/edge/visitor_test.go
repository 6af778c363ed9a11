package edge

import (
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"coltsfootloft/stand/audit"
	"coltsfootloft/stand/caller"
	"coltsfootloft/stand/legal"
)

// visitor is one session of a history. Only its caller writes its item.
type visitor struct {
	*caller.Session
	history *history
	random  *rand.Rand
	text    legal.Source
	host    int
	key     string
	item    string
	values  map[string]string // of the session, as acknowledged
	shapes  map[string]string // of its prepared statements, as acknowledged, by name
	inTx    []string          // ids of the writes of the open transaction
}

// answerLimit is how long an answer is waited for.
const answerLimit = 5 * time.Second

// open starts a session; it returns nil if the host refuses it or is not there.
func (h *history) open(i int, database, key string) *visitor {
	s, _, _ := caller.Open(h.host(i).settings.Listen, database, key, answerLimit)
	if s == nil {
		return nil
	}
	return &visitor{
		Session: s,
		history: h,
		host:    i,
		key:     key,
		values:  make(map[string]string),
		shapes:  make(map[string]string),
	}
}

// run sends statements until the session is lost, or for a while. Who is a value of the session by which it
// can be told from others.
func (s *visitor) run(who string) {
	if !s.set("who"+s.text.Name(), who+s.text.Text()) || !s.prepare() {
		return
	}
	for range 3 + s.random.IntN(12) {
		if time.Now().After(s.history.end) || !s.step() {
			return
		}
		time.Sleep(time.Duration(s.random.IntN(20)) * time.Millisecond)
	}
}

// set sets a value of the session, and reports whether that was acknowledged.
func (s *visitor) set(name, value string) bool {
	a := s.send("SET " + name + " " + value)[0]
	if !a.Succeeded() {
		return false
	}
	s.values[name] = value
	return true
}

// prepare prepares statements in a third of the sessions, and reports whether the session goes on. Their names
// collide with those of others.
func (s *visitor) prepare() bool {
	if s.random.IntN(3) > 0 {
		return true
	}
	for name, kind := range map[string]string{"r1": "READ ", "w\n1": "WRITE "} {
		shape := kind + s.text.Text()
		if !s.send("PREPARE " + name + " " + shape)[0].Succeeded() {
			return false
		}
		s.shapes[name] = shape
	}
	return true
}

// step sends a read, a write, several of them at once, or a transaction, and reports whether the session
// goes on.
func (s *visitor) step() bool {
	switch s.random.IntN(6) {
	case 0, 1:
		return s.batch(s.read())
	case 2:
		return s.batch(s.write())
	case 3:
		texts := make([]string, 2+s.random.IntN(4))
		for i := range texts {
			texts[i] = s.read()
			if s.random.IntN(2) == 0 {
				texts[i] = s.write()
			}
		}
		return s.batch(texts...)
	}
	return s.transaction()
}

// read returns the text of a read of the item.
func (s *visitor) read() string {
	if s.shapes["r1"] != "" && s.random.IntN(2) == 0 {
		return "EXEC r1 " + s.item
	}
	return "READ " + s.item
}

// write returns the text of a write of the item.
func (s *visitor) write() string {
	data := strconv.FormatUint(s.history.nextValue(s.item), 10)
	if s.random.IntN(4) > 0 {
		data += " " + s.text.Text()
	}
	if s.shapes["w\n1"] != "" && s.random.IntN(2) == 0 {
		return "EXEC w\n1 " + s.item + " " + data
	}
	return "WRITE " + s.item + " " + data
}

// number returns the value that a text writes, or 0 if it is no write.
func (s *visitor) number(text string) uint64 {
	_, data, ok := strings.Cut(text, " "+s.item+" ")
	if !ok {
		return 0
	}
	return numberOf(data)
}

// numberOf returns the number at the beginning of data, or 0.
func numberOf(data string) uint64 {
	first, _, _ := strings.Cut(data, " ")
	v, _ := strconv.ParseUint(first, 10, 64)
	return v
}

// batch sends reads and writes at once, and reports whether the session goes on.
func (s *visitor) batch(texts ...string) bool {
	least := s.history.ackedValue(s.item)
	for i, a := range s.send(texts...) {
		v := s.number(texts[i])
		switch {
		case v == 0:
			s.checkRead(a, least)
		case !s.settle(a, v):
			return false
		case a.Succeeded():
			least = v
		}
		if a.Lost {
			return false
		}
	}
	return true
}

// transaction sends a transaction, some of them for longer than a key may be used after it was taken.
func (s *visitor) transaction() bool {
	pause := time.Duration(s.random.IntN(80)) * time.Millisecond
	if s.random.IntN(2) == 0 {
		pause *= 20
	}
	if a := s.send("BEGIN")[0]; !a.Succeeded() {
		return !a.Lost
	}
	var v uint64
	s.inTx = nil
	for range 1 + s.random.IntN(5) {
		text := s.write()
		v = s.number(text)
		a := s.send(text)[0]
		if a.Lost {
			return false
		}
		if !a.Succeeded() {
			return !s.send("ROLLBACK")[0].Lost
		}
		s.inTx = append(s.inTx, s.Last())
		time.Sleep(pause)
	}
	if s.random.IntN(3) == 0 && !s.set("mood", s.text.Text()) {
		return false
	}
	a := s.send("COMMIT")[0]
	s.inTx = nil
	return s.settle(a, v)
}

// settle notes what became of a write. If that is not known, it waits while the write may still take
// effect, and reports that the session ends.
func (s *visitor) settle(a caller.Answer, v uint64) bool {
	switch {
	case a.Succeeded():
		s.history.mu.Lock()
		s.history.acked[s.item] = v
		s.history.mu.Unlock()
	case a.Unknown():
		time.Sleep(doubtEnds)
		return false
	}
	return true
}

// send sends statements at once and records them with their answers. One that does not come in time counts
// as lost.
func (s *visitor) send(texts ...string) []caller.Answer {
	sent := time.Now()
	answers := s.Batch(texts...)
	ids := s.Recent(len(texts))
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for i, text := range texts {
		a := &answers[i]
		a.Lost, a.Silent = a.Lost || a.Silent, false
		at := audit.Attempt{
			Answer: *a,
			ID:     ids[i],
			Text:   text,
			Key:    s.key,
			Host:   s.host,
			Sent:   sent,
			Ended:  time.Now(),
			Values: maps.Clone(s.values),
		}
		if rest, ok := strings.CutPrefix(text, "EXEC "); ok {
			name, _, _ := strings.Cut(rest, " ")
			at.Shape = s.shapes[name]
		}
		if text == "COMMIT" {
			at.Writes = s.inTx
		}
		s.history.record.Attempts = append(s.history.record.Attempts, at)
	}
	return answers
}

func (h *history) ackedValue(item string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acked[item]
}

func (h *history) nextValue(item string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[item]++
	return h.sent[item]
}

// checkRead checks that a read of an item that only this caller writes is not older than what was
// acknowledged to it, nor one that was not sent.
func (s *visitor) checkRead(a caller.Answer, least uint64) {
	if !a.Succeeded() {
		return
	}
	h := s.history
	h.mu.Lock()
	most := h.sent[s.item]
	h.mu.Unlock()
	v := uint64(0)
	if len(a.Rows) == 1 && a.Rows[0] != "-" {
		v = numberOf(a.Rows[0])
	}
	if len(a.Rows) != 1 || v < least || v > most {
		h.note("STALE or MIXED: read %.80q of %.80q at host %d, at least %d acknowledged, %d sent", a.Rows, s.item, s.host+1, least, most)
	}
}

// note notes a problem while the history runs.
func (h *history) note(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.report(format, arguments...)
}
