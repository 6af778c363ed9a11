package host

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// unlimitedOwners exceeds the number of seats in any failure domain, so that each
// seat owns an equal part of every limit.
const unlimitedOwners = 1 << 16

var errNoLoans = errors.New("this build makes no loans")

// noLoans refuses every call to another host, so that no host borrows a part of a
// limit. The build with the tag naive uses it.
type noLoans struct{ coltsfootloft.Peers }

// Call returns an error without calling the host.
func (noLoans) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, errNoLoans
}
