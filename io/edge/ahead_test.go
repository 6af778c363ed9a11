package edge

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answers reads the answers to statements that were sent with these ids. The digest of a database names
// itself and the id; -, BEGIN and the like have none.
func (c *client) answers(ids ...string) []answer {
	c.t.Helper()
	all := make([]answer, 0, len(ids))
	for _, id := range ids {
		a := c.read()
		assert.Assert(c.t, !a.lost, id)
		if a.code == "" && a.digest != "-" {
			assert.Assert(c.t, strings.HasSuffix(a.digest, "."+id), "%s got the answer %q", id, a.digest)
		}
		all = append(all, a)
	}
	return all
}

// TestStatementsSentAheadGetTheirOwnAnswers guards against answers that are given to another statement of
// the session: a caller sends statements before it has the answers to those before them, in pieces that
// end anywhere.
func TestStatementsSentAheadGetTheirOwnAnswers(t *testing.T) {
	f := startFleet(t, 1, nil)
	for _, size := range []int{1, 7, 64, 1 << 20} {
		c, code := connect(t, f.hosts[0], "file", "key-arima")
		assert.Equal(t, code, "")
		texts := []string{
			"WRITE page a", "READ page", "PREPARE s READ q", "EXEC s page", "BEGIN", "READ page", "WRITE page b", "COMMIT",
			"STATUS", "READ page", "SET a b", "BEGIN READ", "READ page", "ROLLBACK", "DEALLOC s", "EXEC s page", "READ page",
		}
		var script strings.Builder
		ids := make([]string, len(texts))
		for i, text := range texts {
			ids[i] = fmt.Sprintf("ahead-%d-%d", size, i)
			fmt.Fprintf(&script, "QUERY %s %s\r\n", ids[i], text)
		}
		script.WriteString("BYE\r\n")
		go func() {
			for rest := script.String(); rest != ""; {
				n := min(size, len(rest))
				if _, err := io.WriteString(c.conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		all := c.answers(ids...)
		for i, want := range map[int]string{8: "MALFORMED", 15: "NOSTMT"} {
			assert.Equal(t, all[i].code, want, texts[i])
			all[i].code = ""
		}
		for i, a := range all {
			assert.Equal(t, a.code, "", texts[i])
		}
		assert.DeepEqual(t, all[1].rows, []string{"a"})
		assert.DeepEqual(t, all[16].rows, []string{"b"})
		_, err := c.r.Line()
		assert.Equal(t, err, io.EOF, "nothing follows the last answer")
	}
}

// TestCallersSendNoCommandsOfTheHost guards against a caller that runs a command which only hosts may
// send, or a statement under the id of the host's own.
func TestCallersSendNoCommandsOfTheHost(t *testing.T) {
	f := startFleet(t, 1, nil)
	c, code := connect(t, f.hosts[0], "file", "key-arima")
	assert.Equal(t, code, "")
	c.must("WRITE page a")
	for _, text := range []string{
		"STATUS", "RESET", "DEMOTE 9", "PAUSE 9", "RESUME", "AFTERLSN 1.1 READ page", "AFTERLSN 9.9 BEGIN", "START g1 x", "QUERY 1 READ page",
	} {
		a := c.do(text)
		assert.Equal(t, a.code, "MALFORMED", text)
		assert.Equal(t, a.state, "I", text)
	}
	assert.DeepEqual(t, c.must("READ page").rows, []string{"a"})
	fmt.Fprint(c.conn, "QUERY - READ page\r\n")
	line, err := c.r.Line()
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(line, "ERR MALFORMED "))
	_, err = c.r.Line()
	assert.Equal(t, err, io.EOF, "the session ends")
}

// TestStatementsSentAheadAreRefusedAtTheEnd guards against a host that is stopped and closes a session without
// an answer to the statements behind the one that it serves: it has read them, and their caller can't know
// that they did not run.
func TestStatementsSentAheadAreRefusedAtTheEnd(t *testing.T) {
	const late = 20000 // no time limit ends the first statement
	f := startFleet(t, 1, func(f *fleet) {
		f.grace = 2
		for i := range f.config.Routes {
			f.config.Routes[i].TimeoutMs = late
			f.config.Routes[i].TargetLatencyMs = late
		}
	})
	h := f.hosts[0]
	c, code := connect(t, h, "file", "key-arima")
	assert.Equal(t, code, "")
	c.must("WRITE page before")
	begun, proceed := make(chan struct{}), make(chan struct{})
	var once sync.Once
	for _, d := range f.databases {
		f.group.SetHook(d.ID(), func() {
			once.Do(func() {
				close(begun)
				<-proceed
			})
		})
	}
	texts := []string{"READ page", "WRITE page after", "SET a b", "BEGIN", "READ page", "COMMIT", "ROLLBACK"}
	var script strings.Builder
	ids := make([]string, len(texts))
	for i, text := range texts {
		ids[i] = fmt.Sprint("end-", i)
		fmt.Fprintf(&script, "QUERY %s %s\r\n", ids[i], text)
	}
	script.WriteString("QUERY unfinished WRITE page")
	_, err := io.WriteString(c.conn, script.String())
	assert.NilError(t, err)
	<-begun
	h.stop()
	time.Sleep(time.Duration(f.grace * (noticeShare + 0.2) * float64(time.Second)))
	close(proceed)
	all := c.answers(ids...)
	assert.DeepEqual(t, all[0].rows, []string{"before"})
	for i, a := range all[1:] {
		assert.Equal(t, a.code, "BUSY", texts[i+1])
		assert.Equal(t, a.state, "I", texts[i+1])
	}
	line, err := c.r.Line()
	assert.Assert(t, err != nil, "%q", line)
	assert.NilError(t, <-h.ended)
	h.ended <- nil // for the end of the fleet
}
