package peer

import "github.com/pkg/errors"

// Errors of Call.
var (
	// ErrUnreachable means that no link could be opened; the request was not handled.
	ErrUnreachable = errors.New("host unreachable")
	// ErrBusy means that too many calls are in flight on the link; the request was
	// not handled.
	ErrBusy = errors.New("too many calls in flight")
	// ErrTooLarge means that the body is larger than MaxFrame; the request was not
	// handled.
	ErrTooLarge = errors.New("message too large")
	// ErrUnknownDuty means that the host has no handler of the duty; the request was
	// not handled.
	ErrUnknownDuty = errors.New("unknown duty")
	// ErrNoAnswer means that the link was lost after the request was sent, which may have
	// been handled.
	ErrNoAnswer = errors.New("no answer")
)

// RemoteError is the error that the handler on the other host returned.
type RemoteError struct {
	host    string
	duty    string
	message string
}

// Host returns the name of the host on which the handler ran.
func (e *RemoteError) Host() string { return e.host }

// Duty returns the duty that the handler serves.
func (e *RemoteError) Duty() string { return e.duty }

// Error returns the handler's message with host and duty.
func (e *RemoteError) Error() string { return e.host + ": " + e.duty + ": " + e.message }

// NotHandled reports whether err means that the request was not handled.
func NotHandled(err error) bool {
	for _, e := range []error{ErrUnreachable, ErrBusy, ErrTooLarge, ErrUnknownDuty} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
