package admin_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"coltsfootloft/core/events"
	"coltsfootloft/io/admin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serve(t *testing.T, s *admin.Server, method, target string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(method, target, nil))
	return w.Code, w.Body.String()
}

func TestPaths(t *testing.T) {
	j := &events.Journal{}
	j.Record(events.NewEvent(events.Promoted, "primary silent").Group("orders"))
	j.Record(events.NewEvent(events.Routed, "replica covers").Group("orders").Session(4))
	drained := 0
	var notReady error
	s := &admin.Server{
		Ready:   func() error { return notReady },
		Status:  func(context.Context) admin.Status { return admin.Status{Host: "e1"} },
		Journal: j,
		Drain:   func() { drained++ },
		Metrics: func(w io.Writer) { io.WriteString(w, "own_metric 3\n") },
	}
	for _, c := range []struct {
		method, target string
		code           int
		contains       string
	}{
		{"GET", "/live", 200, "live"},
		{"GET", "/ready", 200, "ready"},
		{"GET", "/metrics", 200, "own_metric 3"},
		{"GET", "/metrics", 200, "go_goroutines"},
		{"GET", "/v1/status", 200, `"host": "e1"`},
		{"GET", "/v1/explain?kind=promoted", 200, "primary silent"},
		{"GET", "/v1/explain?session=4", 200, "replica covers"},
		{"GET", "/v1/explain?group=none", 200, "[]"},
		{"GET", "/v1/explain?sesion=4", 400, `unknown parameter "sesion"; accepted: kind,`},
		{"GET", "/v1/explain?session=x", 400, "session is not a number"},
		{"GET", "/v1/explain?limit=0", 400, "limit"},
		{"GET", "/v1/drain", 405, ""},
		{"POST", "/v1/drain", 202, `"draining": true`},
		{"GET", "/nothing", 404, ""},
	} {
		code, body := serve(t, s, c.method, c.target)
		assert.Equal(t, code, c.code, "%s %s: %s", c.method, c.target, body)
		assert.Assert(t, strings.Contains(body, c.contains), "%s %s: %s", c.method, c.target, body)
	}
	assert.Equal(t, drained, 1)
	notReady = errors.New("draining")
	code, body := serve(t, s, "GET", "/ready")
	assert.Equal(t, code, 503)
	assert.Equal(t, body, "draining\n")
}

func TestMissingPartsAreNotFound(t *testing.T) {
	for _, target := range []string{"/ready", "/v1/status", "/v1/explain"} {
		code, _ := serve(t, &admin.Server{}, "GET", target)
		assert.Equal(t, code, 404, target)
	}
}

func TestRunServesUntilTheContextEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &admin.Server{
		Listener: l,
		Status: func(context.Context) admin.Status {
			return admin.Status{
				Host: "e1",
				At:   time.Unix(0, 0),
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()
	client := &http.Client{Transport: &http.Transport{}}
	a, err := client.Get("http://" + l.Addr().String() + "/v1/status")
	assert.NilError(t, err)
	var got admin.Status
	assert.NilError(t, json.NewDecoder(a.Body).Decode(&got))
	a.Body.Close()
	assert.Equal(t, got.Host, "e1")
	client.CloseIdleConnections()
	cancel()
	assert.NilError(t, <-done)
}
