package test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

const cancelSeed = 20261205

// codeCanceled is the SQLSTATE of a cancelled statement.
const codeCanceled = "57014"

// cancelAt sends the cancel request of a session to a host.
func cancelAt(e *entry, c *pgx.Conn) error {
	n, err := net.DialTimeout("tcp", e.address, 2*time.Second)
	if err != nil {
		return err
	}
	defer n.Close()
	_ = n.SetDeadline(time.Now().Add(5 * time.Second))
	b, err := (&pgproto3.CancelRequest{
		ProcessID: c.PgConn().PID(),
		SecretKey: c.PgConn().SecretKey(),
	}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := n.Write(b); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, n)
	return err
}

// TestCancelThroughAnotherHost sends the cancel request to another host than the
// one that runs the statement.
func TestCancelThroughAnotherHost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 3,
		hosts:   3,
		groups:  1,
	})
	for i, e := range f.hosts {
		c := f.connect(e)
		took := make(chan time.Duration, 1)
		go func() {
			started := time.Now()
			_, err := c.Exec(context.Background(), "SELECT pg_sleep(8)")
			assert.Check(t, code(err) == codeCanceled, "%v", err)
			took <- time.Since(started)
		}()
		time.Sleep(200 * time.Millisecond)
		assert.NilError(t, cancelAt(f.hosts[(i+1)%3], c))
		d := <-took
		t.Logf("%s by %s: cancelled after %v", e.name, f.hosts[(i+1)%3].name, d)
		assert.Assert(t, d < 2*time.Second)
		assert.Equal(t, count(t, c, "SELECT 3"), 3)
	}
}

// TestCancelAffectsOnlyItsSession cancels half of the sessions repeatedly through all
// hosts. The others share the few upstream connections with them, and a cancel that
// arrives late must not stop their statements.
func TestCancelAffectsOnlyItsSession(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 1,
		hosts:   2,
		groups:  1,
		conns:   4,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var hit, answered, wanted, sent atomic.Int64
	var sessions sync.WaitGroup
	for i := range 8 {
		random := rand.New(rand.NewPCG(cancelSeed, uint64(i)))
		c := f.connect(f.hosts[i%2])
		isVictim := i < 4
		sessions.Go(func() {
			for ctx.Err() == nil {
				_, err := c.Exec(context.Background(), "SELECT pg_sleep(0.002)")
				switch {
				case code(err) == codeCanceled && isVictim:
					wanted.Add(1)
				case code(err) == codeCanceled:
					hit.Add(1)
				case err == nil:
					answered.Add(1)
				}
				time.Sleep(time.Millisecond)
			}
		})
		if !isVictim {
			continue
		}
		sessions.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(1+random.IntN(5)) * time.Millisecond)
				if cancelAt(f.hosts[random.IntN(2)], c) == nil {
					sent.Add(1)
				}
			}
		})
	}
	sessions.Wait()
	t.Logf("seed %d: %d cancel requests, %d hit their own request, %d another one; %d answers", cancelSeed, sent.Load(), wanted.Load(), hit.Load(), answered.Load())
	assert.Equal(t, hit.Load(), int64(0))
	assert.Assert(t, wanted.Load() > 20)
	assert.Assert(t, answered.Load() > 100)
}
