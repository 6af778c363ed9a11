package test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// handoverLimit is how long writes may stall while a leaving primary hands over.
const handoverLimit = 300 * time.Millisecond

// registerLeaving marks an upstream as leaving in the platform's host list.
func (f *fleet) registerLeaving(d *database, domain string) {
	f.t.Helper()
	host, port, err := net.SplitHostPort(d.address)
	assert.NilError(f.t, err)
	p, err := strconv.Atoi(port)
	assert.NilError(f.t, err)
	body, err := json.Marshal(map[string]any{
		"Node":    d.name,
		"Address": host,
		"Service": map[string]any{
			"Service": "coltsfootloft",
			"Address": host,
			"Port":    p,
			"Meta": map[string]string{
				"domain": domain,
				"kind":   "upstream",
				"state":  "leaving",
			},
		},
	})
	assert.NilError(f.t, err)
	r, err := http.NewRequest(http.MethodPut, f.store.Addresses[0]+"/v1/catalog/register", bytes.NewReader(body))
	assert.NilError(f.t, err)
	answer, err := http.DefaultClient.Do(r)
	assert.NilError(f.t, err)
	defer answer.Body.Close()
	assert.Equal(f.t, answer.StatusCode, http.StatusOK)
}

// TestLeavingPrimary marks the primary as leaving, under writes through every host.
// Another database becomes primary, no write fails, and writes stall for less than
// handoverLimit.
func TestLeavingPrimary(t *testing.T) {
	t.Parallel()
	acquireSlot(t)
	f := newFleet(t, layout{
		domains: 3,
		hosts:   3,
		groups:  1,
	})
	mustExec(t, f.connect(f.hosts[0]), "CREATE TABLE history (id text PRIMARY KEY)")
	h := newHistory()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var writers sync.WaitGroup
	for _, e := range f.hosts {
		for _, n := range []string{"a", "b"} {
			writers.Go(func() { h.write(ctx, f, e, e.name+n, 5*time.Millisecond) })
		}
	}
	time.Sleep(time.Second)
	f.registerLeaving(f.databases["g1-1"], "d1")
	moved := eventually(6*time.Second, func() bool {
		s, ok := f.status(f.hosts[1])
		return ok && len(s.Groups) == 1 && s.Groups[0].Primary != "g1-1" && s.Groups[0].Primary != ""
	})
	time.Sleep(500 * time.Millisecond)
	cancel()
	writers.Wait()
	acked, notRun, unknown := h.counts()
	t.Logf("acknowledged %d, not run %d, unknown %d, errors %v, longest gap %v", acked, notRun, unknown, h.errors, h.longestGap)
	assert.Assert(t, moved, "the primary was not handed over")
	assert.Equal(t, unknown, 0)
	assert.Equal(t, notRun, 0)
	assert.Assert(t, h.longestGap < handoverLimit)
	h.check(t, f, f.hosts[1])
}
