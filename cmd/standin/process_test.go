package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/dbops"
	"coltsfootloft/stand/dbase"
	"coltsfootloft/stand/ports"
)

// build compiles the command.
func build(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "standin")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	return binary
}

// process is a running stand-in.
type process struct {
	command *exec.Cmd
	words   []string
}

// launch starts the command and waits for the line that it prints once it is ready.
func launch(t testing.TB, binary string, args ...string) *process {
	t.Helper()
	c := exec.Command(binary, args...)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, c.Start())
	t.Cleanup(func() {
		if c.ProcessState == nil {
			c.Process.Kill()
			c.Wait()
		}
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	return &process{
		command: c,
		words:   strings.Fields(line),
	}
}

// after returns the word that follows the given words in the line printed at start.
func (p *process) after(words ...string) string {
	text := strings.Join(p.words, " ")
	_, rest, _ := strings.Cut(text, strings.Join(words, " ")+" ")
	word, _, _ := strings.Cut(rest, " ")
	return word
}

func (p *process) address() string { return p.after("listening", "on") }

func (p *process) kill(t *testing.T) {
	t.Helper()
	assert.NilError(t, p.command.Process.Kill())
	p.command.Wait()
}

// freeAddress returns an address that no process listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	list, err := ports.Choose("127.0.0.1", 1)
	assert.NilError(t, err)
	return list[0]
}

func connect(t testing.TB, address string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), "postgres://caroni@"+address+"/news?sslmode=disable")
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// waitForReading polls the database until ok accepts its reading, for at most 10 s.
func waitForReading(t *testing.T, address string, ok func(coltsfootloft.Reading) bool) coltsfootloft.Reading {
	t.Helper()
	d := &dbops.Database{
		Address: address,
	}
	defer d.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for {
		r, err := d.Status(ctx)
		assert.NilError(t, err)
		if ok(r) {
			return r
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestKilledDatabaseKeepsLogAndFence guards against a restarted database that has lost
// an acknowledged record or a fence. It kills a replica and a primary under load and
// starts them again.
func TestKilledDatabaseKeepsLogAndFence(t *testing.T) {
	binary := build(t)
	dirs := map[string]string{"a": t.TempDir(), "b": t.TempDir()}
	replicate := map[string]string{"a": freeAddress(t), "b": freeAddress(t)}
	run := func(name, peer string) *process {
		return launch(t, binary, "database", "-name", name, "-initial", "a", "-dir", dirs[name], "-connect-delay", "0",
			"-replicate", replicate[name], "-peer", peer+"="+replicate[peer])
	}
	a, b := run("a", "b"), run("b", "a")
	c := connect(t, a.address())
	_, err := c.Exec(t.Context(), "CREATE TABLE orders (id BIGSERIAL PRIMARY KEY, n INT, slip BYTEA)")
	assert.NilError(t, err)
	acknowledged := make(chan int)
	go func() {
		n := 0
		for ; ; n++ {
			_, err := c.Exec(context.Background(), "INSERT INTO orders (n, slip) VALUES ($1, $2)", n, []byte{0, byte(n)})
			if err != nil {
				break
			}
		}
		acknowledged <- n
	}()
	waitForReading(t, b.address(), func(r coltsfootloft.Reading) bool { return r.Applied().Offset() > 200 })
	b.kill(t)
	waitForReading(t, a.address(), func(r coltsfootloft.Reading) bool { return r.Received().Offset() > 400 })
	a.kill(t)
	n := <-acknowledged
	a, b = run("a", "b"), run("b", "a")
	r := waitForReading(t, a.address(), func(coltsfootloft.Reading) bool { return true })
	assert.Equal(t, r.Role(), coltsfootloft.Primary)
	assert.Assert(t, r.Received().Offset() >= uint64(n+2))
	waitForReading(t, b.address(), func(s coltsfootloft.Reading) bool { return s.Applied() == r.Received() })
	var largest, rows int
	assert.NilError(t, connect(t, b.address()).QueryRow(t.Context(), "SELECT max(n), count(*) FROM orders").Scan(&largest, &rows))
	assert.Assert(t, largest >= n-1)
	assert.Equal(t, rows, largest+1)

	next := dbase.BootstrapTerm.Next("host")
	d := &dbops.Database{
		Address: a.address(),
	}
	defer d.Close()
	_, err = d.Fence(t.Context(), next)
	assert.NilError(t, err)
	a.kill(t)
	a = run("a", "b")
	r = waitForReading(t, a.address(), func(coltsfootloft.Reading) bool { return true })
	assert.Equal(t, r.Fence(), next)
	_, err = connect(t, a.address()).Exec(t.Context(), "INSERT INTO orders (n) VALUES (-1)")
	assert.ErrorContains(t, err, "25006")
}

func TestRelayProcess(t *testing.T) {
	binary := build(t)
	db := launch(t, binary, "database", "-name", "a", "-initial", "a", "-connect-delay", "0")
	r := launch(t, binary, "relay", "-target", db.address(), "-delay", "20ms")
	c := connect(t, r.address())
	start := time.Now()
	_, err := c.Exec(t.Context(), "SELECT 1", pgx.QueryExecModeSimpleProtocol)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) >= 40*time.Millisecond)
	res, err := http.Post(fmt.Sprintf("http://%s/cut?on=true", r.after("control", "on")), "", nil)
	assert.NilError(t, err)
	res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusOK)
	_, err = c.Exec(t.Context(), "SELECT 1")
	assert.Assert(t, err != nil)
	for _, p := range []*process{r, db} {
		assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
		assert.NilError(t, p.command.Wait())
	}
}
