package bound

import (
	"bytes"
	"net/http"

	"coltsfootloft/core/memory"
)

const (
	// maxAnswers is how many answers of a Handler are made at a time.
	maxAnswers = 4
	// answerMemory is how many bytes of answers a Handler holds that are not sent yet.
	answerMemory = 16 << 20
)

// Handler returns a handler that bounds the answers of h in memory. It has h make few at a time, so
// that h may take much memory for each, and sends an answer once it is complete, so that peers that
// do not read keep no others waiting. An answer that is larger than half of the room that is left
// becomes 503.
func Handler(h http.Handler) http.Handler {
	turns := make(chan struct{}, maxAnswers)
	room := memory.New(answerMemory)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &answer{
			header: w.Header(),
			code:   http.StatusOK,
		}
		select {
		case turns <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		h.ServeHTTP(a, r)
		size := a.body.Len()
		fits := room.Take(0, size)
		<-turns
		if !fits {
			http.Error(w, "too many answers at a time", http.StatusServiceUnavailable)
			return
		}
		defer room.Give(size)
		w.WriteHeader(a.code)
		_, _ = w.Write(a.body.Bytes()) // fails if the peer has gone
	})
}

// answer is an answer that is being made.
type answer struct {
	header http.Header
	code   int
	body   bytes.Buffer
}

// Header returns the header of the answer.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader sets the status code.
func (a *answer) WriteHeader(code int) { a.code = code }

// Write appends to the body.
func (a *answer) Write(p []byte) (int, error) { return a.body.Write(p) }
