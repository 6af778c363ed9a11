package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft/core/events"
)

const (
	// headerTimeout bounds how long a request's header may take to arrive.
	headerTimeout = 5 * time.Second
	// answerTimeout bounds how long an answer may take to be written.
	answerTimeout = 30 * time.Second
	// closeTimeout is how long running requests may take once Run's ctx ends.
	closeTimeout = time.Second
	// defaultLimit is the number of explained decisions without a limit asked.
	defaultLimit = 100
)

// Server serves the admin port. Its fields are set before Run; a nil function is
// a part that this host does not have, and its path answers 404.
type Server struct {
	// Listener takes the connections. Run closes it.
	Listener net.Listener
	// Ready returns why the host takes no new callers, or nil.
	Ready func() error
	// Status returns what the host knows.
	Status func(ctx context.Context) Status
	// Journal holds the decisions to explain.
	Journal *events.Journal
	// Drain starts a graceful shutdown and returns at once.
	Drain func()
	// Announce tells the fleet that an upstream leaves; false if there is none
	// of that name.
	Announce func(upstream string) bool
	// Metrics writes metrics besides those of the default set and the process.
	Metrics func(w io.Writer)
	// Log takes events.
	Log logr.Logger
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	h := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      answerTimeout,
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		within, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if h.Shutdown(within) != nil {
			_ = h.Close()
		}
	})
	defer stop()
	err := h.Serve(s.Listener)
	if ctx.Err() == nil {
		return errors.Wrap(err, "admin port")
	}
	<-closed
	return nil
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", s.metrics)
	m.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	m.HandleFunc("GET /debug/pprof/", pprof.Index)
	m.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { say(w, http.StatusOK, "live") })
	if s.Ready != nil {
		m.HandleFunc("GET /ready", s.ready)
	}
	if s.Status != nil {
		m.HandleFunc("GET /v1/status", s.status)
	}
	if s.Journal != nil {
		m.HandleFunc("GET /v1/explain", s.explain)
	}
	if s.Drain != nil {
		m.HandleFunc("POST /v1/drain", s.drain)
	}
	if s.Announce != nil {
		m.HandleFunc("POST /v1/upstreams/{name}/drain", s.announce)
	}
	return m
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	metrics.WritePrometheus(w, true)
	if s.Metrics != nil {
		s.Metrics(w)
	}
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		say(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	say(w, http.StatusOK, "ready")
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	s.answer(w, http.StatusOK, s.Status(r.Context()))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		say(w, http.StatusBadRequest, err.Error())
		return
	}
	found := s.Journal.Find(q)
	if found == nil {
		found = []events.View{}
	}
	s.answer(w, http.StatusOK, found)
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.Log.Info("drain of an upstream asked for", "upstream", name, "from", r.RemoteAddr)
	if !s.Announce(name) {
		say(w, http.StatusNotFound, "no upstream "+strconv.Quote(name))
		return
	}
	s.answer(w, http.StatusAccepted, struct {
		Draining bool `json:"draining"`
	}{
		Draining: true,
	})
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.Log.Info("drain asked for", "from", r.RemoteAddr)
	s.Drain()
	s.answer(w, http.StatusAccepted, struct {
		Draining bool `json:"draining"`
	}{
		Draining: true,
	})
}

func (s *Server) answer(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		s.Log.V(1).Info("admin answer not written", "error", err.Error())
	}
}

func say(w http.ResponseWriter, code int, text string) {
	http.Error(w, text, code)
}

func parseQuery(r *http.Request) (events.Query, error) {
	v := r.URL.Query()
	q := events.Query{
		Kind:    v.Get("kind"),
		Trace:   v.Get("trace"),
		Account: v.Get("account"),
		Group:   v.Get("group"),
		Limit:   defaultLimit,
	}
	for name := range v {
		switch name {
		case "kind", "trace", "account", "group", "session", "limit":
		default:
			return q, errors.Errorf("unknown parameter %q; accepted: kind, trace, account, group, session, limit", name)
		}
	}
	var err error
	if q.Session, err = strconv.ParseUint(cmp.Or(v.Get("session"), "0"), 10, 64); err != nil {
		return q, errors.New("session is not a number")
	}
	if q.Limit, err = strconv.Atoi(cmp.Or(v.Get("limit"), strconv.Itoa(defaultLimit))); err != nil || q.Limit < 1 {
		return q, errors.New("limit is not a number above 0")
	}
	return q, nil
}
