package test

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowAccount is an account that admits one statement and then none for 100 s.
const slowAccount = `{"rate": "0.01/s", "burst": 1}`

// TestSettingsTakeEffect changes settings while a host runs, each to a value whose effect
// a caller observes.
func TestSettingsTakeEffect(t *testing.T) {
	f := newFleet(t, layout{
		domains: 1,
		hosts:   1,
		groups:  1,
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	// run runs a statement in a new session without a token.
	run := func(sql string) (time.Duration, error) {
		c := f.connect(f.hosts[0])
		defer c.Close(ctx)
		started := time.Now()
		_, err := c.Exec(ctx, sql)
		return time.Since(started), err
	}
	set := func(defaults, account string) {
		revision := f.apply(map[string]string{
			"fleet/defaults":             defaults,
			"teams/alpha/accounts/main":  account,
			"teams/alpha/accounts/spare": account,
		})
		f.await("the revision", func() bool { return f.toolStatus(f.hosts[0]).Settings.Revision == revision })
	}

	t.Run("message_limit", func(t *testing.T) {
		long := "SELECT '" + string(make([]byte, 100<<10)) + "'"
		set(`{"message_limit": "64KiB"}`, `{"rate": "20000/s"}`)
		_, err := run(long)
		assert.Equal(t, code(err), "08P01")
	})

	t.Run("queue_wait", func(t *testing.T) {
		set(`{"queue_wait": "300ms"}`, slowAccount)
		_, _ = run("SELECT 1")
		took, err := run("SELECT 1")
		assert.Equal(t, code(err), "53400")
		assert.Assert(t, took > 250*time.Millisecond && took < 1500*time.Millisecond, took)
	})

	t.Run("queue_length", func(t *testing.T) {
		set(`{"queue_wait": "2s", "queue_length": 1}`, slowAccount)
		var mu sync.Mutex
		var quick, slow int
		var sessions sync.WaitGroup
		for range 4 {
			sessions.Go(func() {
				took, err := run("SELECT 1")
				mu.Lock()
				defer mu.Unlock()
				assert.Check(t, code(err) == "53400")
				if took < time.Second {
					quick++
				} else {
					slow++
				}
			})
		}
		sessions.Wait()
		assert.Equal(t, quick, 3)
		assert.Equal(t, slow, 1)
	})

	t.Run("barrier_wait", func(t *testing.T) {
		set(`{"barrier_wait": "300ms"}`, `{"rate": "20000/s"}`)
		for _, name := range []string{"g1-2", "g1-3"} {
			f.databases[name].process.signal(syscall.SIGSTOP)
		}
		took, err := run("SELECT 1")
		assert.Equal(t, code(err), "57P03")
		assert.Equal(t, detail(err), "not run")
		assert.Assert(t, took < 1500*time.Millisecond, took)
	})
}
