package cmds_test

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"

	"coltsfootloft/core/events"
	"coltsfootloft/core/keys"
	"coltsfootloft/io/admin"
	"coltsfootloft/io/cmds"
	"coltsfootloft/stand/consul"
)

// bench runs commands against a stand-in for the platform and an admin port.
type bench struct {
	t        *testing.T
	platform *consul.Server
	status   admin.Status
	journal  *events.Journal
	drained  int
	admin    string
	out, err bytes.Buffer
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{
		t:        t,
		platform: &consul.Server{Listen: "127.0.0.1:0"},
		journal:  &events.Journal{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.platform.Run(ctx) }()
	s := &admin.Server{
		Status:  func(context.Context) admin.Status { return b.status },
		Journal: b.journal,
		Drain:   func() { b.drained++ },
	}
	h := httptest.NewServer(s.Handler())
	b.admin = strings.TrimPrefix(h.URL, "http://")
	t.Cleanup(func() {
		h.Close()
		cancel()
		<-done
	})
	return b
}

// run executes one command line and returns its exit code.
func (b *bench) run(args ...string) subcommands.ExitStatus {
	b.t.Helper()
	b.out.Reset()
	b.err.Reset()
	f := flag.NewFlagSet("coltsfootloft", flag.ContinueOnError)
	f.SetOutput(&b.err)
	c := subcommands.NewCommander(f, "coltsfootloft")
	c.Output = &b.out
	c.Error = &b.err
	t := &cmds.Tools{
		Out:     &b.out,
		Err:     &b.err,
		Version: "v0-test",
		Getenv: func(name string) string {
			return map[string]string{
				"COLTSFOOTLOFT_STORE": "http://" + b.platform.Addr(),
				"COLTSFOOTLOFT_ADMIN": b.admin,
				"USER":                "ann",
			}[name]
		},
	}
	t.Register(c)
	assert.NilError(b.t, f.Parse(args))
	return c.Execute(context.Background())
}

// expect runs a command and checks its exit code and that its output contains a text.
func (b *bench) expect(code subcommands.ExitStatus, contains string, args ...string) {
	b.t.Helper()
	got := b.run(args...)
	all := b.out.String() + b.err.String()
	assert.Equal(b.t, got, code, "%v: %s", args, all)
	assert.Assert(b.t, strings.Contains(all, contains), "%v: %s", args, all)
}

// write creates a file below a directory and returns its path.
func (b *bench) write(dir, name, text string) string {
	b.t.Helper()
	name = filepath.Join(dir, name)
	assert.NilError(b.t, os.MkdirAll(filepath.Dir(name), 0o700))
	assert.NilError(b.t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

const caroni = "../../examples/caroni"

func TestSettingsFromEndToEnd(t *testing.T) {
	b := newBench(t)
	b.expect(cmds.ExitDone, "30 settings are right: 3 failure domains, 3 groups, 8 accounts, 7 keys, 6 routes", "config", "check", caroni)
	b.expect(cmds.ExitDiffers, "added: fleet/groups/minutes", "config", "diff", caroni)
	b.expect(cmds.ExitDone, "added: teams/readers/routes/boards", "config", "apply", caroni, "-note", "first")
	b.expect(cmds.ExitDone, "no differences", "config", "diff", caroni)
	b.expect(cmds.ExitDone, "nothing to change", "config", "apply", caroni)
	b.expect(cmds.ExitDone, `"weight": 6`, "config", "get", "teams/readers/accounts/bulletin")
	b.expect(cmds.ExitDone, "teams/readers/accounts/noticeboards\n", "config", "get", "teams/readers")
	b.expect(cmds.ExitFailed, "no setting at or below teams/none", "config", "get", "teams/none")
	b.expect(cmds.ExitDone, `"first"`, "config", "history")
	id := strings.Fields(b.out.String())[0]
	b.expect(cmds.ExitDone, `"author": "ann"`, "config", "history", "-id", id, "-json")
	b.expect(cmds.ExitFailed, "no record of this change", "config", "history", "-id", "x")
}

func TestApplyRefusesAndChanges(t *testing.T) {
	b := newBench(t)
	b.expect(cmds.ExitDone, "revision", "config", "apply", caroni)
	dir := t.TempDir()
	const path = "teams/branches/accounts/arima"
	bad := b.write(dir, path+".jsonc", `{"rate": "20"}`)
	b.expect(cmds.ExitProblems, path+`:1:10: found "20" as "rate"`, "config", "apply", "-root", dir, bad)
	b.expect(cmds.ExitProblems, path+`:1:10: found "20" as "rate"`, "config", "check", dir)
	b.expect(cmds.ExitFailed, "set -root", "config", "apply", "-root", t.TempDir(), bad)
	good := b.write(dir, path+".jsonc", "// More.\n{\"rate\": \"25/s\"}\n")
	b.expect(cmds.ExitFailed, "is not within teams/readers", "config", "apply", "-root", dir, good, "-only", "teams/readers")
	b.expect(cmds.ExitDiffers, "  + {\"rate\": \"25/s\"}", "config", "diff", "-root", dir, good)
	b.expect(cmds.ExitDone, "changed: "+path, "config", "apply", "-root", dir, good, "-only", "teams/branches", "-as", "bob")
	b.expect(cmds.ExitConflict, "changed since the base revision: "+path, "config", "apply", "-base", "1", "-root", dir, good)
	b.expect(cmds.ExitProblems, `account "mayaro" that is not set`, "config", "apply", "-only", "teams/branches/accounts", "-prune", "-root", dir, good)
	b.expect(cmds.ExitUsage, "takes a directory or files", "config", "apply")
}

func TestGetWritesATreeThatAppliesAgain(t *testing.T) {
	b := newBench(t)
	b.expect(cmds.ExitDone, "revision", "config", "apply", caroni)
	dir := t.TempDir()
	b.expect(cmds.ExitDone, "revision", "config", "get", "-out", dir)
	b.expect(cmds.ExitDone, "no differences", "config", "diff", dir)
	assert.NilError(t, os.Remove(filepath.Join(dir, "teams/readers/routes/boards.jsonc")))
	b.expect(cmds.ExitDiffers, "only in the store: teams/readers/routes/boards", "config", "diff", dir)
	b.expect(cmds.ExitDone, "removed: teams/readers/routes/boards", "config", "apply", "-prune", dir)
}

func TestLostAnswersAreResolved(t *testing.T) {
	b := newBench(t)
	b.platform.SetFaults(consul.Faults{LoseAnswers: 1})
	b.expect(cmds.ExitDone, "change 00000001-", "config", "apply", caroni)
	b.expect(cmds.ExitDone, "no differences", "config", "diff", caroni)
	b.expect(cmds.ExitDone, "ann", "config", "history")
	assert.Equal(t, strings.Count(b.out.String(), "revision"), 1)
}

func TestKeys(t *testing.T) {
	b := newBench(t)
	b.expect(cmds.ExitDone, "revision", "config", "apply", caroni)
	b.expect(cmds.ExitDone, "user:     branches.desk", "key", "issue", "branches", "arima", "desk")
	_, rest, _ := strings.Cut(b.out.String(), "password: ")
	secret := strings.Fields(rest)[0]
	b.expect(cmds.ExitDone, "SCRAM-SHA-256$", "config", "get", "teams/branches/keys/desk")
	assert.Assert(t, !strings.Contains(b.out.String(), secret))
	_, v, _ := strings.Cut(b.out.String(), `"verifier": "`)
	verifier, err := keys.Parse(strings.Split(v, `"`)[0])
	assert.NilError(t, err)
	assert.Assert(t, verifier.Check(secret))
	b.expect(cmds.ExitFailed, "key branches.desk exists, nothing written", "key", "issue", "branches", "arima", "desk")
	b.expect(cmds.ExitProblems, `account "nobody" that is not set`, "key", "issue", "branches", "nobody")
	assert.Assert(t, !strings.Contains(b.out.String(), "password"))
	b.expect(cmds.ExitDone, "branches.desk  account branches/arima", "key", "list", "branches")
	assert.Assert(t, !strings.Contains(b.out.String(), "readers."))
	b.expect(cmds.ExitDone, `"key": "readers.press"`, "key", "list", "-json")
	b.expect(cmds.ExitDone, "removed: teams/branches/keys/desk", "key", "withdraw", "branches", "desk")
	b.expect(cmds.ExitFailed, "no key branches.desk", "key", "withdraw", "branches", "desk")
}

func TestWaitReturnsOnceEveryLiveHostHasTheChange(t *testing.T) {
	b := newBench(t)
	b.expect(cmds.ExitDone, "revision", "config", "apply", caroni)
	b.status = admin.Status{
		Host:     "e1",
		Settings: admin.SettingsStatus{Revision: 1 << 40},
		Hosts: []admin.HostStatus{
			{
				Name:  "e1",
				Alive: true,
			},
			{
				Name:     "e2",
				Alive:    true,
				Revision: 1 << 40,
			},
			{
				Name: "gone",
			},
		},
	}
	b.expect(cmds.ExitDone, "in force on 2 hosts", "config", "apply", caroni, "-wait")
	b.status.Hosts[1].Revision = 1
	b.expect(cmds.ExitWaiting, "behind: e2 (revision 1)", "config", "apply", caroni, "-wait", "-wait-limit=10ms")
	b.expect(cmds.ExitWaiting, "admin port", "config", "apply", caroni, "-wait", "-wait-limit=10ms", "-admin", b.admin+",127.0.0.1:1")
}

func TestStoreThatCannotBeReached(t *testing.T) {
	b := newBench(t)
	b.expect(cmds.ExitFailed, "store unreachable", "config", "apply", caroni, "-store", "http://127.0.0.1:1")
	b.expect(cmds.ExitUsage, "no store: set -store or COLTSFOOTLOFT_STORE", "config", "apply", caroni, "-store", "")
}

func TestStatusExplainDrainVersion(t *testing.T) {
	b := newBench(t)
	b.status = admin.Status{
		Host:  "e1",
		Ready: true,
		Groups: []admin.GroupStatus{
			{
				Name:    "orders",
				Primary: "orders-1",
				Databases: []admin.DatabaseStatus{
					{
						Name:    "orders-1",
						Known:   true,
						Term:    "3@e1",
						Applied: 17,
						Age:     -1,
					},
					{
						Name: "orders-2",
					},
				},
			},
		},
	}
	b.expect(cmds.ExitDone, "PRIMARY", "status")
	b.expect(cmds.ExitDone, "no reading", "status")
	b.expect(cmds.ExitDone, `"primary": "orders-1"`, "status", "-json")
	b.expect(cmds.ExitFailed, "admin port", "status", "-admin", "127.0.0.1:1")
	b.journal.Record(events.NewEvent(events.Promoted, "orders-1 made no progress").Group("orders").Database("orders-2"))
	b.journal.Record(events.NewEvent(events.Refused, "over its rate").Session(5).Account("t/a"))
	b.expect(cmds.ExitDone, "promoted  group orders  database orders-2: orders-1 made no progress", "explain", "-group", "orders")
	b.expect(cmds.ExitDone, "refused  session 5  account t/a: over its rate", "explain", "-session", "5")
	b.expect(cmds.ExitDone, `"kind": "refused"`, "explain", "-kind", "refused", "-json")
	b.expect(cmds.ExitDone, "remembers no such decision", "explain", "-trace", "abc")
	b.expect(cmds.ExitDone, "is draining", "drain")
	assert.Equal(t, b.drained, 1)
	b.expect(cmds.ExitDone, "coltsfootloft v0-test", "version")
}

// TestAnswerOfAnotherProgramIsNoSuccess guards against a command that reports success because whatever
// listens at the address answered with 200 and some JSON.
func TestAnswerOfAnotherProgramIsNoSuccess(t *testing.T) {
	b := newBench(t)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"status": "ok"}`) }))
	defer h.Close()
	b.admin = h.URL
	for _, c := range [][]string{{"drain"}, {"drain", "-upstream", "x"}, {"status"}, {"status", "-json"}} {
		b.expect(cmds.ExitFailed, "not that of a host", c...)
	}
}

func TestHelpIsUseful(t *testing.T) {
	b := newBench(t)
	for _, c := range [][]string{
		{"config"},
		{"key"},
		{"status"},
		{"explain"},
		{"drain"},
		{"version"},
		{"config", "check"},
		{"config", "get"},
		{"config", "diff"},
		{"config", "apply"},
		{"config", "history"},
		{"key", "issue"},
		{"key", "withdraw"},
		{"key", "list"},
	} {
		b.expect(cmds.ExitUsage, strings.Join(c, " "), append(c, "-h")...)
		assert.Assert(t, c[0] == "version" || strings.Contains(b.out.String()+b.err.String(), "Exit codes:"), "%v", c)
	}
}
