package dial

import "github.com/pkg/errors"

// IsTimeout reports whether err, an error of a connection, was caused by an expired
// deadline.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
