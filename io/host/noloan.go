package host

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// everySeat has each seat of a failure domain own its part of every limit.
const everySeat = 1 << 16

var errNoLoans = errors.New("this build makes no loans")

// noLoans are peers that are never asked for a loan.
type noLoans struct{ coltsfootloft.Peers }

// Call fails without asking.
func (noLoans) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, errNoLoans
}
