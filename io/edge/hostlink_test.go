package edge

import (
	"fmt"
	"time"

	"coltsfootloft/stand/relay"
)

// cutShare is the share of the moves on links between hosts that cut them, as one in so many.
const cutShare = 4

// holdHost holds up the links between two hosts, in one direction or in both, or cuts them. What was held up
// arrives later in order, also if its sender has closed the link or was stopped meanwhile. It counts as no impairment:
// whatever happens between hosts excuses nothing.
func (h *history) holdHost() {
	i := h.random.IntN(3)
	j := (i + 1 + h.random.IntN(2)) % 3
	pair := h.hostLinks.Between(hostName(i), hostName(j))
	direction := relay.Direction(h.random.IntN(3))
	d := time.Duration(50+h.random.IntN(1950)) * time.Millisecond
	h.hostHolds++
	if h.random.IntN(cutShare) == 0 {
		h.t.Logf("%s the links between %s and %s are cut for %s", time.Now().Format("05.000"), hostName(i), hostName(j), d)
		pair.Cut(true)
		time.AfterFunc(d, func() { pair.Cut(false) })
		return
	}
	h.t.Logf("%s the links between %s and %s are held for %s, %s", time.Now().Format("05.000"), hostName(i), hostName(j), d, direction)
	pair.Hold(direction, true)
	time.AfterFunc(d, func() { pair.Hold(direction, false) })
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i+1) }
