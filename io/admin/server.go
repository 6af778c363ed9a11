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
	"coltsfootloft/io/bound"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// writeTimeout bounds the time until a response is written.
	writeTimeout = 30 * time.Second
	// shutdownTimeout is how long running requests may take after Run's ctx has ended.
	shutdownTimeout = time.Second
	// defaultLimit is the maximum number of decisions returned if a query names no limit.
	defaultLimit = 100
)

// Server serves the admin port. Its fields must be set before Run. If a function or
// Journal is nil, this host does not have that part, and its path answers 404.
type Server struct {
	// Listener accepts the connections. Run closes it.
	Listener net.Listener
	// Ready returns why the host accepts no new callers, or nil if it does.
	Ready func() error
	// Status returns the current status of the host.
	Status func(ctx context.Context) Status
	// Journal holds the decisions for explain queries.
	Journal *events.Journal
	// Drain starts a graceful shutdown and returns at once.
	Drain func()
	// DrainUpstream announces to the fleet that the upstream leaves. It returns false if
	// there is no upstream of that name.
	DrainUpstream func(upstream string) bool
	// Metrics, if set, writes further metrics after those of the default set and the
	// process.
	Metrics func(w io.Writer)
	// Log receives a line for each drain request and each failed response.
	Log logr.Logger
}

// Run serves requests until ctx ends, and then waits up to a second for running ones.
// It returns an error if the listener fails before.
func (s *Server) Run(ctx context.Context) error {
	h := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
	}
	bound.Limit(h)
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if h.Shutdown(shutdownCtx) != nil {
			_ = h.Close()
		}
	})
	defer stop()
	err := h.Serve(&bound.Listener{Listener: s.Listener})
	if ctx.Err() == nil {
		return errors.Wrap(err, "admin port")
	}
	<-closed
	return nil
}

// Handler returns the handler of all paths. Run serves it too.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "live") })
	if s.Ready != nil {
		m.HandleFunc("GET /ready", s.ready)
	}
	if s.Drain != nil {
		m.HandleFunc("POST /v1/drain", s.drain)
	}
	if s.DrainUpstream != nil {
		m.HandleFunc("POST /v1/upstreams/{name}/drain", s.drainUpstream)
	}
	m.Handle("GET /metrics", bounded(s.metrics))
	m.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	m.Handle("GET /debug/pprof/", bounded(pprof.Index))
	if s.Status != nil {
		m.Handle("GET /v1/status", bounded(s.status))
	}
	if s.Journal != nil {
		m.Handle("GET /v1/explain", bounded(s.explain))
	}
	return m
}

// bounded bounds the answers of one path, which are large.
func bounded(h http.HandlerFunc) http.Handler { return bound.Handler(h) }

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	metrics.WritePrometheus(w, true)
	if s.Metrics != nil {
		s.Metrics(w)
	}
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	s.writeJSON(w, http.StatusOK, s.Status(r.Context()))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		writeText(w, http.StatusBadRequest, err.Error())
		return
	}
	found := s.Journal.Find(q)
	if found == nil {
		found = []events.View{}
	}
	s.writeJSON(w, http.StatusOK, found)
}

func (s *Server) drainUpstream(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.Log.Info("drain of an upstream requested", "upstream", name, "from", r.RemoteAddr)
	if !s.DrainUpstream(name) {
		writeText(w, http.StatusNotFound, "no upstream "+strconv.Quote(name))
		return
	}
	s.writeJSON(w, http.StatusAccepted, struct {
		Draining bool `json:"draining"`
	}{
		Draining: true,
	})
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.Log.Info("drain requested", "from", r.RemoteAddr)
	s.Drain()
	s.writeJSON(w, http.StatusAccepted, struct {
		Draining bool `json:"draining"`
	}{
		Draining: true,
	})
}

func (s *Server) writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		s.Log.V(1).Info("could not write response on the admin port", "error", err.Error())
	}
}

func writeText(w http.ResponseWriter, code int, text string) {
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
