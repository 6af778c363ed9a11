package test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/feed/feedpb"
	"coltsfootloft/io/peer/peerpb"
	"coltsfootloft/stand/badlink"
)

// assertAdmin fails the test unless the admin port answers soon.
func (u *unruly) assertAdmin() {
	u.t.Helper()
	answered := eventually(time.Minute, func() bool {
		_, ok := u.fleet.status(u.host)
		return ok
	})
	assert.Assert(u.t, answered, "no answer of the admin port")
}

// TestUnrulyAdminPort guards against HTTP clients that are many, slow, or do not read their answers.
func TestUnrulyAdminPort(t *testing.T) {
	u := startUnruly(t)
	const get = "GET /v1/status HTTP/1.1\r\nHost: a\r\n"
	for _, text := range []string{
		"", "GET /met", get, get + "X: " + strings.Repeat("x", 1<<20), strings.Repeat(get+"\r\n", 10_000),
		get + "Content-Length: 1000000000\r\n\r\n" + strings.Repeat("x", 1<<20),
		get + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("x", 0x10000)+"\r\n", 50),
	} {
		u.crowd(200, func(i int) {
			write(u.dialUnruly(u.host.admin), []int{8 << 20, 500}[i%2], []byte(text[:len(text)/(1+i%2*20)]))
		})
	}
	u.assertAdmin()
}

// TestUnrulyAdminAnswers guards against large answers of the admin port that are made for many clients at
// once, and not read: decisions, metrics and profiles.
func TestUnrulyAdminAnswers(t *testing.T) {
	u := startUnruly(t)
	u.crowd(450, func(i int) {
		c := u.session() // a goroutine each, and decisions
		for range 20 {
			if !write(c, pieces[i%2], query(100)) || !awaitEnd(c, 1) {
				return
			}
		}
	})
	for _, path := range []string{"/v1/explain?limit=1000000", "/debug/pprof/goroutine?debug=2", "/debug/pprof/heap?gc=1", "/metrics"} {
		u.crowd(1000, func(int) {
			write(u.dialUnruly(u.host.admin), 1<<20, []byte(strings.Repeat("GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n", 10)))
		})
	}
	u.assertAdmin()
}

// TestUnrulyPeerPort guards against connections to the port for other hosts that are silent, stop
// half-way through their Hello or announce far too much.
func TestUnrulyPeerPort(t *testing.T) {
	u := startUnruly(t)
	hello := string(badlink.Frame(&peerpb.Hello{
		From: "h9",
		To:   "h1",
	}, 0))
	for _, text := range []string{"", hello[:len(hello)/2], hello, strings.Repeat("\xff", 3<<20), hello + strings.Repeat("\xff", 3<<20)} {
		u.crowd(300, func(i int) { write(u.dialUnruly(u.host.peer), pieces[i%2], []byte(text)) })
	}
}

// links opens 40 links under names of their own.
func (u *unruly) links(misbehave func(i int, l *badlink.Link)) {
	u.crowd(40, func(i int) {
		l, err := badlink.Open(u.host.peer, fmt.Sprint("h", 10+i), u.host.name)
		if err != nil {
			return
		}
		u.t.Cleanup(l.Close)
		misbehave(i, l)
	})
}

// TestUnrulyRequests guards against requests of other hosts that are large, many and unfinished.
func TestUnrulyRequests(t *testing.T) {
	u := startUnruly(t)
	body := make([]byte, 1<<20)
	u.links(func(i int, l *badlink.Link) {
		for range 20 {
			size := []int{len(body), 8 << 20, 1 << 30}[i%3]
			if l.Send([]string{"feed", "watch", "none"}[i%3], size, body[:len(body)-i%2]) != nil {
				return
			}
		}
	})
}

// TestUnrulyUnreadAnswers guards against answers to other hosts that pile up because they are not read.
func TestUnrulyUnreadAnswers(t *testing.T) {
	u := startUnruly(t)
	for part := range 10 {
		keys := make(map[string]string)
		for i := range 40 {
			keys[fmt.Sprintf("teams/alpha/keys/k%d-%d", part, i)] = strings.Repeat(" ", 1000) + u.newKey("alpha.unused", "main")
		}
		u.apply(keys)
	}
	pull, err := proto.Marshal(&feedpb.Request{Kind: &feedpb.Request_Pull{Pull: &feedpb.Pull{}}})
	assert.NilError(t, err)
	reader, err := badlink.Open(u.host.peer, "h9", u.host.name)
	assert.NilError(t, err)
	defer reader.Close()
	size, err := reader.AnswerSize("feed", pull)
	assert.NilError(t, err)
	assert.Assert(t, size > 300_000, "answers of %d bytes", size)
	u.links(func(_ int, l *badlink.Link) {
		l.StopReading()
		for range 100 {
			if l.Send("feed", len(pull), pull) != nil {
				return
			}
		}
	})
}
