package test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

const (
	// unrulyMemory is the default of memory_limit, the memory that a host keeps to.
	unrulyMemory = 200 << 20
	// unrulySessions is max_sessions of the hosts of these tests.
	unrulySessions = 500
	// unrulyDescriptors is max_sessions, the connections that a host opens itself and those of its
	// admin and peer ports.
	unrulyDescriptors = unrulySessions + 300
	// legalMessage is a little less than the largest message of a caller inside the limits.
	legalMessage = 1<<20 - 1000
)

// unruly is a fleet of one host whose callers misbehave.
type unruly struct {
	*fleet
	t    *testing.T
	host *entry
	// peak and descriptors are the greatest sum of resident memory and bytes in sockets, and the
	// greatest number of descriptors, seen so far.
	peak, descriptors atomic.Int64
	mu                sync.Mutex
	conns             []net.Conn
}

// startUnruly starts a host that 8 connections to each database serve, with the limits of these tests.
// The end of the test checks that the process has kept to them and serves a caller.
func startUnruly(t *testing.T) *unruly {
	t.Helper()
	u := &unruly{t: t}
	u.fleet = newFleet(t, layout{
		domains: 3,
		hosts:   1,
		groups:  1,
		conns:   8,
		settings: map[string]string{
			"fleet/defaults": `{"message_limit": "1MiB", "caller_wait": "2s", "idle_transaction": "2s", "pool_wait": "2s"}`,
		},
		hostArgs: func(string) []string {
			return []string{"-max-sessions", fmt.Sprint(unrulySessions), "-message-memory", "48", "-log-level", "info"}
		},
	})
	u.host = u.hosts[0]
	u.assertServed()
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { u.watch(done) })
	t.Cleanup(func() {
		for _, c := range u.conns {
			c.Close()
		}
		u.assertServed()
		close(done)
		watching.Wait()
		u.assertBounds()
	})
	return u
}

// watch records the peaks of memory and descriptors.
func (u *unruly) watch(done <-chan struct{}) {
	for {
		u.peak.Store(max(u.peak.Load(), u.status("VmRSS:")+u.socketBytes()))
		if all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid())); err == nil {
			u.descriptors.Store(max(u.descriptors.Load(), int64(len(all))))
		}
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (u *unruly) pid() int { return u.host.process.cmd.Process.Pid }

// status returns a size in /proc/PID/status in bytes, 0 if there is none.
func (u *unruly) status(field string) int64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid()))
	_, rest, _ := strings.Cut(string(b), field)
	n, _ := strconv.ParseInt(strings.Fields(rest + " 0")[0], 10, 64)
	return n << 10
}

// socketBytes returns how many bytes the kernel holds for the connections of the host's ports.
func (u *unruly) socketBytes() int64 {
	b, _ := os.ReadFile("/proc/net/tcp")
	own := make(map[string]bool)
	for _, address := range []string{u.host.address, u.host.peer, u.host.admin} {
		a, err := net.ResolveTCPAddr("tcp", address)
		assert.Check(u.t, err)
		own[fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(a.IP.To4()), a.Port)] = true
	}
	const listening = "0A"
	total := int64(0)
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 5 || !own[f[1]] || f[3] == listening {
			continue
		}
		for queue := range strings.SplitSeq(f[4], ":") {
			n, _ := strconv.ParseInt(queue, 16, 64)
			total += n
		}
	}
	return total
}

// assertServed fails the test unless the process lives and a new session is served before long.
func (u *unruly) assertServed() {
	u.t.Helper()
	served := eventually(time.Minute, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c, err := pgx.Connect(ctx, u.dsn(u.host, "alpha.app", "g1"))
		if err != nil {
			return false
		}
		defer c.Close(ctx)
		var n int
		return c.QueryRow(ctx, "SELECT 1").Scan(&n) == nil
	})
	assert.Assert(u.t, served, "no session is served")
	select {
	case <-u.host.process.done:
		u.t.Fatalf("the process ended: %v", u.host.process.err)
	default:
	}
}

func (u *unruly) assertBounds() {
	high, peak, descriptors := u.status("VmHWM:"), u.peak.Load(), u.descriptors.Load()
	u.t.Logf("peak: resident %d MiB, with bytes in sockets %d MiB, limit %d MiB; %d descriptors, limit %d",
		high>>20, peak>>20, unrulyMemory>>20, descriptors, unrulyDescriptors)
	assert.Check(u.t, high > 0 && high < unrulyMemory, "resident %d bytes", high)
	assert.Check(u.t, peak < unrulyMemory, "resident and in sockets %d bytes", peak)
	assert.Check(u.t, descriptors < unrulyDescriptors)
}

// crowd has n callers misbehave at once, 50 at a time, and leaves their connections open.
func (u *unruly) crowd(n int, misbehave func(i int)) {
	var wg sync.WaitGroup
	turns := make(chan struct{}, 50)
	for i := range n {
		turns <- struct{}{}
		wg.Go(func() {
			misbehave(i)
			<-turns
		})
	}
	wg.Wait()
	time.Sleep(time.Second) // the crowd stays for a while
}

// dialUnruly opens a connection whose receive buffer is small, or returns nil if the host refuses it.
func (u *unruly) dialUnruly(address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, c)
	return c
}

// session opens a session and returns its connection, or nil if the host refuses it.
func (u *unruly) session() net.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	config, err := pgconn.ParseConfig(u.dsn(u.host, "alpha.app", "g1"))
	assert.Check(u.t, err)
	config.DialFunc = func(context.Context, string, string) (net.Conn, error) {
		if c := u.dialUnruly(u.host.address); c != nil {
			return c, nil
		}
		return nil, io.EOF
	}
	c, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil
	}
	h, err := c.Hijack()
	assert.Check(u.t, err)
	return h.Conn
}

// write writes in pieces of the size, for as long as the host takes them, and reports whether it took
// all.
func write(c net.Conn, piece int, parts ...[]byte) bool {
	if c == nil {
		return false
	}
	for _, b := range parts {
		for len(b) > 0 {
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			n, err := c.Write(b[:min(piece, len(b))])
			if err != nil {
				return false
			}
			b = b[n:]
		}
	}
	return true
}

// encoded returns a message of the PostgreSQL protocol.
func encoded(m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return b
}

// query returns a query of about size bytes.
func query(size int) []byte {
	return encoded(&pgproto3.Query{String: "SELECT 1 /*" + strings.Repeat("x", size) + "*/"})
}

// awaitEnd reads the answers to n statements, and reports whether all came.
func awaitEnd(c net.Conn, n int) bool {
	if c == nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	f := pgproto3.NewFrontend(c, c)
	for n > 0 {
		m, err := f.Receive()
		if err != nil {
			return false
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			n--
		}
	}
	return true
}

// pieces are the sizes of the pieces in which callers send, by turns.
var pieces = []int{8 << 20, 10_000}

// TestUnrulyUnfinishedMessages guards against a host that runs out of memory because callers stop
// half-way through messages of legal size.
func TestUnrulyUnfinishedMessages(t *testing.T) {
	u := startUnruly(t)
	b := query(legalMessage)
	u.crowd(400, func(i int) { write(u.session(), pieces[i%2], b[:len(b)*9/10]) })
	u.assertServed()
}

// TestUnrulyAnnouncedMessages guards against a host that allocates what messages announce before their
// bytes arrive.
func TestUnrulyAnnouncedMessages(t *testing.T) {
	u := startUnruly(t)
	b := query(legalMessage)
	u.crowd(450, func(int) { write(u.session(), 100, b[:100]) })
	u.assertServed()
}

// TestUnrulyIdleAfterLargeMessages guards against a host that keeps the memory of large messages which
// it has answered.
func TestUnrulyIdleAfterLargeMessages(t *testing.T) {
	u := startUnruly(t)
	b := query(legalMessage)
	u.crowd(400, func(i int) {
		if c := u.session(); write(c, pieces[i%2], b) {
			awaitEnd(c, 1)
		}
	})
	u.assertServed()
}

// TestUnrulyBatches guards against a host that runs out of memory because few callers send parts of a
// batch and no Sync.
func TestUnrulyBatches(t *testing.T) {
	u := startUnruly(t)
	parse := encoded(&pgproto3.Parse{Query: "SELECT $1"})
	bind := encoded(&pgproto3.Bind{Parameters: [][]byte{[]byte(strings.Repeat("x", legalMessage))}})
	execute := encoded(&pgproto3.Execute{})
	u.crowd(4, func(i int) {
		c := u.session()
		for range 100 {
			if !write(c, pieces[i%2], parse, bind, execute) {
				return
			}
		}
	})
	u.assertServed()
}

// TestUnrulySmallBatches guards against a batch of small messages without end.
func TestUnrulySmallBatches(t *testing.T) {
	u := startUnruly(t)
	parse := encoded(&pgproto3.Parse{Query: "SELECT 1"})
	piece := []byte(strings.Repeat(string(parse)+string(encoded(&pgproto3.Bind{}))+string(encoded(&pgproto3.Execute{})), 1000))
	u.crowd(2, func(int) {
		c := u.session()
		for range 300 {
			if !write(c, len(piece), piece) {
				return
			}
		}
	})
	u.assertServed()
}

// TestUnrulyScripts guards against queries of legal size whose parts take much more memory than their
// text.
func TestUnrulyScripts(t *testing.T) {
	u := startUnruly(t)
	b := encoded(&pgproto3.Query{String: strings.Repeat("a;", legalMessage/2)})
	u.crowd(100, func(i int) { write(u.session(), pieces[i%2], b) })
	u.assertServed()
}

// TestUnrulyStatements guards against a host that runs out of memory because of the prepared statements
// and settings of sessions, which were bounded in number, not in bytes.
func TestUnrulyStatements(t *testing.T) {
	u := startUnruly(t)
	long := strings.Repeat("x", 500_000)
	u.crowd(40, func(i int) {
		c := u.session()
		for n := range 20 {
			b := encoded(&pgproto3.Query{String: fmt.Sprintf("SET app.v%d = '%s'", n, long)})
			if i%2 == 0 {
				b = encoded(&pgproto3.Parse{
					Name:  fmt.Sprint("s", n),
					Query: "SELECT 1 /*" + long + "*/",
				})
				b = append(b, encoded(&pgproto3.Sync{})...)
			}
			if !write(c, pieces[0], b) || !awaitEnd(c, 1) {
				return
			}
		}
	})
	u.assertServed()
}

// TestUnrulyPortals guards against a host that keeps the names of all portals of a session.
func TestUnrulyPortals(t *testing.T) {
	u := startUnruly(t)
	u.crowd(4, func(i int) {
		c := u.session()
		for n := range 300 {
			b := encoded(&pgproto3.Parse{Query: "SELECT 1"})
			for m := range 10 {
				b = append(b, encoded(&pgproto3.Bind{DestinationPortal: fmt.Sprint(strings.Repeat("p", 50_000), i, n, m)})...)
			}
			if !write(c, pieces[0], append(b, encoded(&pgproto3.Sync{})...)) || !awaitEnd(c, 1) {
				return
			}
		}
	})
	u.assertServed()
}

// TestUnrulyStrangers guards against a host that keeps large messages of callers that have not logged
// in.
func TestUnrulyStrangers(t *testing.T) {
	u := startUnruly(t)
	startup := encoded(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":     "alpha.nobody",
			"database": "g1",
		},
	})
	message := binary.BigEndian.AppendUint32([]byte{'p'}, 1<<20)
	u.crowd(400, func(i int) {
		write(u.dialUnruly(u.host.address), pieces[i%2], startup, message, make([]byte, 900_000))
	})
	u.assertServed()
}

// TestUnrulySilence guards against connections without number that never start a session, or stop
// half-way to it.
func TestUnrulySilence(t *testing.T) {
	u := startUnruly(t)
	u.crowd(1500, func(i int) {
		if c := u.dialUnruly(u.host.address); i%2 == 0 {
			write(c, 10, []byte{0, 0, 1, 0, 0, 3})
		}
	})
	u.assertServed()
}

// TestUnrulySlowReaders guards against a host whose connections to databases are all lent to callers
// that do not read their answers.
func TestUnrulySlowReaders(t *testing.T) {
	u := startUnruly(t)
	c := u.connect(u.host)
	mustExec(t, c, "CREATE TABLE large (id int4, body text)")
	for i := range 16 {
		_, err := c.Exec(context.Background(), "INSERT INTO large VALUES ($1, $2)", i, strings.Repeat("x", 500_000))
		assert.NilError(t, err)
	}
	q := encoded(&pgproto3.Query{String: "SELECT id, body FROM large"})
	u.crowd(100, func(int) { write(u.session(), len(q), q) })
	u.assertServed()
}

// TestUnrulyDrips guards against callers that send or read a byte at a time and so hold a session, memory
// or a connection to a database for as long as they like.
func TestUnrulyDrips(t *testing.T) {
	u := startUnruly(t)
	c := u.connect(u.host)
	mustExec(t, c, "CREATE TABLE large (id int4, body text)")
	for i := range 16 {
		_, err := c.Exec(context.Background(), "INSERT INTO large VALUES ($1, $2)", i, strings.Repeat("x", 500_000))
		assert.NilError(t, err)
	}
	startup := encoded(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": strings.Repeat("x", 5000)},
	})
	b := query(legalMessage)
	q := encoded(&pgproto3.Query{String: "SELECT id, body FROM large"})
	var drips sync.WaitGroup
	u.crowd(150, func(i int) {
		switch i % 3 {
		case 0:
			c := u.dialUnruly(u.host.address)
			drips.Go(func() { drip(c, startup) })
		case 1:
			if c := u.session(); write(c, pieces[1], b[:len(b)/2]) {
				drips.Go(func() { drip(c, b[len(b)/2:]) })
			}
		default:
			if c := u.session(); write(c, len(q), q) {
				drips.Go(func() { drip(c, nil) })
			}
		}
	})
	u.assertServed()
	drips.Wait()
}

// drip writes or, without b, reads a byte at a time for a while.
func drip(c net.Conn, b []byte) {
	if c == nil {
		return
	}
	one := make([]byte, 1)
	for n := range 100 {
		var err error
		if b == nil {
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			_, err = c.Read(one)
		} else {
			_, err = c.Write(b[n : n+1])
		}
		if err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestUnrulyPipelines guards against statements that are sent ahead without reading their answers.
func TestUnrulyPipelines(t *testing.T) {
	u := startUnruly(t)
	small := []byte(strings.Repeat(string(query(100)), 100))
	u.crowd(100, func(i int) {
		c := u.session()
		for range 400 {
			if !write(c, pieces[i%2], small) {
				return
			}
		}
	})
	u.assertServed()
}

// TestUnrulyTransactions guards against a host whose connections to databases are all lent to callers
// that stop half-way through a transaction or a batch.
func TestUnrulyTransactions(t *testing.T) {
	u := startUnruly(t)
	u.crowd(100, func(i int) {
		c := u.session()
		if i%2 == 0 {
			write(c, 1<<10, encoded(&pgproto3.Query{String: "BEGIN READ ONLY"}), encoded(&pgproto3.Query{String: "SELECT 1"}))
			return
		}
		write(c, 1<<10, encoded(&pgproto3.Parse{Query: "SELECT 1"}), encoded(&pgproto3.Bind{}), encoded(&pgproto3.Execute{}),
			encoded(&pgproto3.Flush{}))
	})
	u.assertServed()
}

// TestUnrulySizes guards against messages far over the limit.
func TestUnrulySizes(t *testing.T) {
	u := startUnruly(t)
	u.crowd(200, func(i int) {
		size := []uint32{1 << 30, 1<<32 - 1, 3 << 20}[i%3]
		write(u.session(), pieces[i%2], binary.BigEndian.AppendUint32([]byte{'Q'}, size), make([]byte, 3<<20))
	})
	u.assertServed()
}

// TestLargeMessagesAreServedInCalm guards against limits that refuse a message inside of them.
func TestLargeMessagesAreServedInCalm(t *testing.T) {
	f := newFleet(t, layout{
		domains: 3,
		hosts:   1,
		groups:  1,
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := f.connect(f.hosts[0])
	mustExec(t, c, "CREATE TABLE large (id int4, body text)")
	for i, size := range []int{1 << 20, 16<<20 - 1000} {
		_, err := c.Exec(ctx, "INSERT INTO large VALUES ($1, $2)", i, strings.Repeat("x", size))
		assert.NilError(t, err)
		var body string
		assert.NilError(t, c.QueryRow(ctx, "SELECT body FROM large WHERE id = $1", i).Scan(&body))
		assert.Equal(t, len(body), size)
		_, err = c.Exec(ctx, "SELECT 1 /*"+strings.Repeat("x", size-100)+"*/")
		assert.NilError(t, err)
	}
}
