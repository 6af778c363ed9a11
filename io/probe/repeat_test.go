package probe

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/platform"
)

// repeating is a database whose term rises with each command. On its first connection it sends
// answers from to from+count-1 again before answer place.
type repeating struct {
	from, count, place int
	term               atomic.Uint64
	busy               bool // refuses every second command
	opened             atomic.Int32
}

func (d *repeating) serve(c net.Conn) {
	defer c.Close()
	first := d.opened.Add(1) == 1
	var sent []string
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		answer := "DONE -\r\n"
		switch {
		case strings.HasPrefix(line, "START"):
			answer = ""
		case !strings.Contains(line, "PREPARE"):
			n := d.term.Add(1)
			answer = fmt.Sprintf("ROW primary %d 3.9 0 0 0 1\r\nDONE -\r\n", n)
			if d.busy && n%2 == 0 {
				answer = "ERR BUSY db-1\r\n"
			}
		}
		answer += "READY I 3.9\r\n"
		sent = append(sent, answer)
		if place := len(sent) - 1; first && place == d.place {
			answer = strings.Join(sent[d.from:d.from+d.count], "") + answer
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// probeRepeating sends commands to a database and returns which of them got a state or a refusal that
// was not the database's own at that time.
func probeRepeating(t *testing.T, d *repeating, commands int) (wrong []string) {
	t.Helper()
	target := listen(t, func(c net.Conn) { go d.serve(c) })
	target.Group = "notices"
	p := &Prober{
		Opener:        &platform.Dialer{Dial: (&net.Dialer{}).DialContext},
		RefusalReason: func(error) (coltsfootloft.Reason, bool) { return coltsfootloft.ReasonNone, false },
		Parse:         platform.ParseHealth,
		Metrics:       metrics.NewSet(),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for i := range commands {
		before := d.term.Load()
		var h coltsfootloft.Health
		var err error
		if i%3 == 2 {
			h, err = p.Demote(ctx, target, 1)
		} else {
			h, err = p.Status(ctx, target)
		}
		if err == nil && h.Term <= before {
			wrong = append(wrong, fmt.Sprintf("command %d got term %d, the database had %d", i, h.Term, before))
		}
	}
	return wrong
}

// TestRepeatedStatesAreNotBelieved guards against a database that answers twice: the next command got its
// older state, by which a primary is chosen.
func TestRepeatedStatesAreNotBelieved(t *testing.T) {
	const commands, answers = 5, 12
	failed, played := 0, 0
	for _, busy := range []bool{false, true} {
		for from := range answers {
			for count := 1; count <= 4; count++ {
				for place := from + count; place < answers; place++ {
					d := &repeating{
						from:  from,
						count: count,
						place: place,
						busy:  busy,
					}
					played++
					if wrong := probeRepeating(t, d, commands); len(wrong) > 0 {
						failed++
						t.Logf("answers %d to %d before %d: %s", from, from+count-1, place, strings.Join(wrong, "; "))
					}
				}
			}
		}
	}
	assert.Equal(t, failed, 0, "of %d runs", played)
	d := &repeating{place: -1}
	assert.DeepEqual(t, probeRepeating(t, d, 9), []string(nil))
	assert.Equal(t, d.opened.Load(), int32(1), "no answer was repeated")
}
