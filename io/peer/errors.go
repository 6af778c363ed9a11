package peer

import "github.com/pkg/errors"

// Errors of Call.
var (
	// ErrUnreachable: no link could be opened; nothing was handled.
	ErrUnreachable = errors.New("host unreachable")
	// ErrBusy: too many calls in flight on the link; nothing was handled.
	ErrBusy = errors.New("too many calls in flight")
	// ErrTooLarge: the body is over MaxFrame; nothing was handled.
	ErrTooLarge = errors.New("message too large")
	// ErrUnknownDuty: the host does not know the duty; nothing was handled.
	ErrUnknownDuty = errors.New("unknown duty")
	// ErrLost: the link was lost after the request was sent; it may have been
	// handled.
	ErrLost = errors.New("no answer")
)

// RemoteError is the failure of the handler on the other host.
type RemoteError struct {
	host    string
	duty    string
	message string
}

// Host is where the handler ran.
func (e *RemoteError) Host() string { return e.host }

// Duty names the handler.
func (e *RemoteError) Duty() string { return e.duty }

// Error returns the handler's message with host and duty.
func (e *RemoteError) Error() string { return e.host + ": " + e.duty + ": " + e.message }

// Unsent reports whether err means that the request was not handled.
func Unsent(err error) bool {
	for _, e := range []error{ErrUnreachable, ErrBusy, ErrTooLarge, ErrUnknownDuty} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
