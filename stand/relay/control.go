package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Handler serves the controls over HTTP:
//
//	POST /delay?direction=both&for=5ms
//	POST /jitter?direction=to-caller&for=2ms
//	POST /hold?direction=to-target&on=true
//	POST /drop?direction=to-caller&bytes=100
//	POST /cut?on=true
//	POST /capture?on=true
//	GET  /captured?direction=to-target
//	GET  /status
//
// The direction is to-target, to-caller or both, which is the default. Requests with
// wrong parameters are answered 400.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, change func(q query) error) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
			if err := change(query{request: req}); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
			}
		})
	}
	handle("/delay", func(q query) error { return q.duration(r.SetDelay) })
	handle("/jitter", func(q query) error { return q.duration(r.SetJitter) })
	handle("/hold", func(q query) error {
		return q.direction(func(d Direction) error { return q.flag(func(on bool) { r.Hold(d, on) }) })
	})
	handle("/cut", func(q query) error { return q.flag(r.Cut) })
	handle("/capture", func(q query) error { return q.flag(r.Capture) })
	handle("/drop", func(q query) error {
		n, err := strconv.ParseInt(q.get("bytes"), 10, 64)
		if err != nil {
			return errors.Wrap(err, "bytes")
		}
		return q.direction(func(d Direction) error {
			r.DropAfter(d, n)
			return nil
		})
	})
	mux.HandleFunc("GET /captured", func(w http.ResponseWriter, req *http.Request) {
		err := query{request: req}.direction(func(d Direction) error {
			w.Header().Set("Content-Type", "application/octet-stream")
			_, err := w.Write(r.Captured(d))
			return err
		})
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(r.Status()); err != nil {
			r.Log.Error(err, "status")
		}
	})
	return mux
}

// query reads the parameters of one control request.
type query struct {
	request *http.Request
}

func (q query) get(name string) string { return q.request.URL.Query().Get(name) }

// direction passes the direction on to use.
func (q query) direction(use func(Direction) error) error {
	name := q.get("direction")
	if name == "" {
		return use(Both)
	}
	for _, d := range []Direction{Both, ToTarget, ToCaller} {
		if d.String() == name {
			return use(d)
		}
	}
	return errors.Errorf("direction %q: want to-target, to-caller or both", name)
}

// flag passes the boolean parameter "on" to use.
func (q query) flag(use func(bool)) error {
	on, err := strconv.ParseBool(q.get("on"))
	if err != nil {
		return errors.Wrap(err, "on")
	}
	use(on)
	return nil
}

// duration passes the direction and the duration on to use.
func (q query) duration(use func(Direction, time.Duration)) error {
	length, err := time.ParseDuration(q.get("for"))
	if err != nil || length < 0 {
		return errors.Errorf("for %q: want a duration such as 5ms", q.get("for"))
	}
	return q.direction(func(d Direction) error {
		use(d, length)
		return nil
	})
}
