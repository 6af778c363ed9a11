package dial

import "github.com/pkg/errors"

// IsTimeout reports whether an error of a connection says that a deadline passed.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
