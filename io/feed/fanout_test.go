//go:build measure

package feed

import (
	"fmt"
	"testing"
	"time"
)

// TestFanOut measures, for several fan-outs, the bytes sent by the busiest host and
// the time until all hosts of a domain have a change, also with dead hosts in the
// tree.
func TestFanOut(t *testing.T) {
	for _, fan := range []int{2, 4, 8, 16, 121} {
		t.Run(fmt.Sprint(fan), func(t *testing.T) {
			f := newFleet(t, 122, 1)
			f.fan = fan
			f.startAll()
			f.await("start", f.mustApply(value("0")), changeLimit, nil)
			time.Sleep(time.Second)
			whole, most := f.measurePushes(5)
			order := f.hosts["h000"].source.(*Feed).order("d0")
			for _, name := range []string{order[2], order[len(order)-1]} {
				f.mesh.Leave(name)
				f.hosts[name].stop()
				delete(f.hosts, name)
			}
			dead, _ := f.measurePushes(1)
			t.Logf("fan-out %d: in force after %v, after %v with two dead inner hosts, at most %d bytes sent by a host for each change",
				fan, whole, dead, most)
		})
	}
}
