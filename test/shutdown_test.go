package test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exitCode waits for the end of the process and returns its exit code.
func (p *process) exitCode(t testing.TB, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(limit):
		t.Fatalf("%s did not exit within %s", p.name, limit)
		return -1
	}
}

// TestShutdown ends hosts by the drain command, by signals and by a time-out, with a
// transaction open, and checks the exit codes.
func TestShutdown(t *testing.T) {
	f := newFleet(t, layout{
		domains: 1,
		hosts:   3,
		groups:  1,
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	mustExec(t, f.connect(f.hosts[0]), "CREATE TABLE notices (id int4 PRIMARY KEY)")

	t.Run("drain lets the transaction end", func(t *testing.T) {
		e := f.hosts[0]
		idle, c := f.connect(e), f.connect(e)
		tx, err := c.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "INSERT INTO notices VALUES (1)")
		assert.NilError(t, err)
		out, exit := f.tool("drain", "-admin", e.admin)
		assert.Equal(t, exit, 0, out)
		f.await("the end of the idle session", func() bool { return idle.Ping(ctx) != nil })
		_, err = tx.Exec(ctx, "INSERT INTO notices VALUES (2)")
		assert.NilError(t, err)
		assert.NilError(t, tx.Commit(ctx))
		assert.Equal(t, e.process.exitCode(t, 10*time.Second), 0)
		var n int
		assert.NilError(t, f.connect(f.hosts[1]).QueryRow(ctx, "SELECT count(*) FROM notices").Scan(&n))
		assert.Equal(t, n, 2)
	})

	t.Run("a second signal ends the host at once", func(t *testing.T) {
		e := f.hosts[1]
		_, err := f.connect(e).Begin(ctx)
		assert.NilError(t, err)
		e.process.signal(syscall.SIGTERM)
		e.process.awaitLog(t, "draining")
		select {
		case <-e.process.done:
			t.Fatal("the host did not wait for the transaction after the first signal")
		case <-time.After(300 * time.Millisecond):
		}
		e.process.signal(syscall.SIGTERM)
		e.process.exitCode(t, time.Second)
		s, ok := e.process.cmd.ProcessState.Sys().(syscall.WaitStatus)
		assert.Assert(t, ok && s.Signal() == syscall.SIGTERM)
	})

	t.Run("sessions that do not end in time are an exit code of 1", func(t *testing.T) {
		e := f.hosts[2]
		revision := f.apply(map[string]string{"fleet/defaults": `{"drain_wait": "500ms"}`})
		f.await("the setting", func() bool { return f.toolStatus(e).Settings.Revision == revision })
		_, err := f.connect(e).Begin(ctx)
		assert.NilError(t, err)
		e.process.signal(os.Interrupt)
		assert.Equal(t, e.process.exitCode(t, 10*time.Second), 1)
	})

	t.Run("bad process settings are an exit code of 2", func(t *testing.T) {
		out, exit := f.tool("serve", "-name", "No Name")
		assert.Equal(t, exit, 2, out)
		out, exit = f.tool(append(f.hosts[2].args, "-caller-cert", "/none", "-caller-key", "/none")...)
		assert.Equal(t, exit, 2, out)
	})
}
