package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/mirror/mirrorpb"
	"coltsfootloft/io/peer/peerpb"
	"coltsfootloft/stand/badlink"
)

// unrulyDescriptors is the greatest number of sessions, the bounds of the ready and peer ports (64, and
// 128 and 130), and the connections that the host opens itself.
const unrulyDescriptors = 2500 + 64 + 128 + 130 + 100

// unruly is a host process whose callers misbehave.
type unruly struct {
	*hostProcess
	t           *testing.T
	descriptors atomic.Int64
	mu          sync.Mutex
	conns       []io.Closer
}

// startUnruly starts a host. The end of the test checks that the process has kept to its memory and
// descriptors, and serves a caller.
func startUnruly(t *testing.T, change func(*fleet)) *unruly {
	t.Helper()
	f := startFleet(t, 0, change)
	u := &unruly{
		hostProcess: f.startProcess(),
		t:           t,
	}
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { u.watchDescriptors(done) })
	t.Cleanup(func() {
		for _, c := range u.conns {
			_ = c.Close()
		}
		f.awaitServed(u.hostProcess)
		close(done)
		watching.Wait()
		u.assertPeak(t)
		t.Logf("%d descriptors, limit %d", u.descriptors.Load(), unrulyDescriptors)
		assert.Check(t, u.descriptors.Load() < unrulyDescriptors)
	})
	return u
}

func (u *unruly) watchDescriptors(done <-chan struct{}) {
	for {
		if all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid)); err == nil {
			u.descriptors.Store(max(u.descriptors.Load(), int64(len(all))))
		}
		other := u.memory() + socketBytes(u.settings.Peer) + socketBytes(u.settings.Ready)
		u.peak.Store(max(u.peak.Load(), other))
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// crowd has n clients misbehave, 50 at a time.
func (*unruly) crowd(n int, misbehave func(i int)) {
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

// assertServed fails the test unless a new session is served before long, beside the crowd.
func (u *unruly) assertServed(f *fleet) {
	u.t.Helper()
	f.await("session that is served beside the crowd", time.Minute, func() bool {
		c, code := connect(u.t, u.testHost, "file", "key-arima")
		if code != "" {
			return false
		}
		defer c.conn.Close()
		a := c.do("WRITE k v")
		return a.code == "" && !a.lost
	})
}

// keep leaves a connection open until the end of the test.
func (u *unruly) keep(c io.Closer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, c)
}

// send opens a connection and writes parts in pieces of the size, for as long as the host takes them.
// It returns the connection, or nil if the host refuses it.
func (u *unruly) send(address string, piece int, parts ...string) net.Conn {
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil
	}
	u.keep(c)
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	for _, text := range parts {
		for text != "" {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			n, err := io.WriteString(c, text[:min(piece, len(text))])
			if err != nil {
				return c
			}
			text = text[n:]
		}
	}
	return c
}

// assertReady fails the test unless the ready port answers soon.
func (u *unruly) assertReady() {
	u.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		client := http.Client{
			Timeout:   5 * time.Second,
			Transport: &http.Transport{DisableKeepAlives: true},
		}
		a, err := client.Get("http://" + u.settings.Ready + "/metrics")
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
			a.Body.Close()
		}
		if err == nil {
			return
		}
		assert.Assert(u.t, time.Now().Before(end), "ready port: %v", err)
	}
}

const startLine = "START file key-arima\r\n"

var pieces = []int{8 << 20, 5000}

// TestUnrulyLargeLines guards against many complete statements of the largest size at once.
func TestUnrulyLargeLines(t *testing.T) {
	u := startUnruly(t, nil)
	line := "QUERY q-1 WRITE k " + strings.Repeat("x", 1<<20-1000) + "\r\n"
	u.crowd(300, func(i int) { u.send(u.settings.Listen, pieces[i%2], startLine, line) })
}

// TestUnrulyEndlessLines guards against lines far over the largest size.
func TestUnrulyEndlessLines(t *testing.T) {
	u := startUnruly(t, nil)
	line := "QUERY q-1 WRITE k " + strings.Repeat("x", 5<<20)
	u.crowd(200, func(i int) { u.send(u.settings.Listen, pieces[i%2], startLine, line) })
}

// TestUnrulyEndlessStarts guards against START messages far over the largest size, and ones that stop
// half-way.
func TestUnrulyEndlessStarts(t *testing.T) {
	u := startUnruly(t, nil)
	line := "START file " + strings.Repeat("x", 5<<20)
	u.crowd(300, func(i int) { u.send(u.settings.Listen, pieces[i%2], line[:[]int{len(line), 7}[i%2]]) })
}

// TestUnrulyPipelines guards against statements that are sent ahead without reading their answers.
func TestUnrulyPipelines(t *testing.T) {
	u := startUnruly(t, nil)
	small := strings.Repeat("QUERY q-1 READ k\r\n", 100_000)
	u.crowd(500, func(i int) { u.send(u.settings.Listen, pieces[i%2], startLine, small) })
}

// TestUnrulyDrips guards against callers that send or read a byte at a time and so hold a session or memory
// for as long as they like.
func TestUnrulyDrips(t *testing.T) {
	var f *fleet
	u := startUnruly(t, func(started *fleet) { f = started })
	c, code := connect(t, u.testHost, "file", "key-arima")
	assert.Equal(t, code, "")
	c.must("WRITE large " + strings.Repeat("x", 900_000))
	long := strings.Repeat("x", 1000)
	var drips sync.WaitGroup
	u.crowd(300, func(i int) {
		texts := [][]string{
			{"START ", long},
			{startLine + "QUERY q-1 WRITE k " + strings.Repeat("x", 500_000), long},
			{startLine + "QUERY q-1 READ large\r\n", ""},
		}[i%3]
		c := u.send(u.settings.Listen, pieces[i%2], texts[0])
		if c == nil {
			return
		}
		drips.Go(func() { drip(c, texts[1]) })
	})
	u.assertServed(f)
	drips.Wait()
}

// drip writes or, without a text, reads a byte at a time for a while.
func drip(c net.Conn, text string) {
	one := make([]byte, 1)
	for n := range 100 {
		var err error
		if text == "" {
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			_, err = c.Read(one)
		} else {
			_, err = c.Write([]byte(text[n : n+1]))
		}
		if err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestUnrulySilence guards against connections without number that send nothing.
func TestUnrulySilence(t *testing.T) {
	u := startUnruly(t, nil)
	u.crowd(3500, func(i int) { u.send(u.settings.Listen, 100, []string{"", "ST"}[i%2]) })
}

// TestUnrulyTransactions guards against connections to databases that are all lent to callers that stop
// half-way through a transaction.
func TestUnrulyTransactions(t *testing.T) {
	var f *fleet
	u := startUnruly(t, func(started *fleet) { f = started })
	u.crowd(200, func(int) {
		u.send(u.settings.Listen, 100, startLine, "QUERY q-1 BEGIN\r\nQUERY q-2 READ k\r\nQUERY q-3 RE")
	})
	u.assertServed(f)
}

// TestUnrulyReadyPort guards against HTTP clients that are many, slow, or do not read their answers.
func TestUnrulyReadyPort(t *testing.T) {
	u := startUnruly(t, nil)
	const get = "GET /metrics HTTP/1.1\r\nHost: a\r\n"
	for _, text := range []string{
		"", "GET /met", get, get + "X: " + strings.Repeat("x", 1<<20), strings.Repeat(get+"\r\n", 10_000),
		get + "Content-Length: 1000000000\r\n\r\n" + strings.Repeat("x", 1<<20),
		get + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("x", 0x10000)+"\r\n", 50),
	} {
		u.crowd(200, func(i int) { u.send(u.settings.Ready, []int{8 << 20, 500}[i%2], text[:len(text)/(1+i%2*20)]) })
	}
	u.assertReady()
}

// TestUnrulyPeerPort guards against connections to the port for other hosts that are silent, stop
// half-way through their Hello or announce far too much.
func TestUnrulyPeerPort(t *testing.T) {
	u := startUnruly(t, nil)
	hello := string(badlink.Frame(&peerpb.Hello{
		From: "host-9",
		To:   "host-1",
	}, 0))
	for _, text := range []string{"", hello[:len(hello)/2], hello, strings.Repeat("\xff", 3<<20), hello + strings.Repeat("\xff", 3<<20)} {
		u.crowd(300, func(i int) { u.send(u.settings.Peer, pieces[i%2], text) })
	}
	u.assertReady()
}

// TestUnrulyRequests guards against requests of other hosts that are large, many and unfinished.
func TestUnrulyRequests(t *testing.T) {
	u := startUnruly(t, nil)
	body := make([]byte, 1<<20)
	u.crowd(40, func(i int) {
		l, err := badlink.Open(u.settings.Peer, fmt.Sprint("host-", 10+i), "host-1")
		if err != nil {
			return
		}
		u.keep(closer(l.Close))
		for range 20 {
			size := []int{len(body), 8 << 20, 1 << 30}[i%3]
			if l.Send([]string{"mirror", "relay", "none"}[i%3], size, body[:len(body)-i%2]) != nil {
				return
			}
		}
	})
	u.assertReady()
}

// closer calls a function as an io.Closer.
type closer func()

// Close calls the function.
func (c closer) Close() error {
	c()
	return nil
}

// TestUnrulyUnreadAnswers guards against answers to other hosts that pile up because they are not read.
func TestUnrulyUnreadAnswers(t *testing.T) {
	u := startUnruly(t, func(f *fleet) {
		for i := range 2000 {
			f.config.Tenants = append(f.config.Tenants, tenant{
				Name:     fmt.Sprint("tenant-", i),
				ApiKeys:  []string{strings.Repeat("k", 150) + fmt.Sprint(i)},
				RatePerS: 10,
				Burst:    10,
			})
		}
	})
	poll, err := proto.Marshal(&mirrorpb.Poll{})
	assert.NilError(t, err)
	reader, err := badlink.Open(u.settings.Peer, "host-9", "host-1")
	assert.NilError(t, err)
	u.keep(closer(reader.Close))
	size, err := reader.AnswerSize("mirror", poll)
	assert.NilError(t, err)
	assert.Assert(t, size > 400_000, "answers of %d bytes", size)
	u.crowd(40, func(i int) {
		l, err := badlink.Open(u.settings.Peer, fmt.Sprint("host-", 10+i), "host-1")
		if err != nil {
			return
		}
		u.keep(closer(l.Close))
		l.StopReading()
		for range 100 {
			if l.Send("mirror", len(poll), poll) != nil {
				return
			}
		}
	})
	u.assertReady()
}
