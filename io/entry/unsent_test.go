package entry

import (
	"net"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/boot"
)

// refusingCaller sends statements whose answers fail.
type refusingCaller struct {
	coltsfootloft.Caller
	err error
}

func (c refusingCaller) Next() (coltsfootloft.Statement, error) {
	return coltsfootloft.NewStatement("a1", "JUGGLE", coltsfootloft.VerbUnknown, "", ""), nil
}

func (c refusingCaller) Answer(coltsfootloft.Reply) error { return c.err }

// TestAnswerThatCannotBeSentIsLogged guards against a session that ends because its answer can't be encoded,
// which the default log does not show.
func TestAnswerThatCannotBeSentIsLogged(t *testing.T) {
	for _, c := range []struct {
		err   error
		lines int
	}{
		{errors.Wrap(coltsfootloft.ErrNotSent, "field 1 of ROW holds a line end"), 1},
		{errors.New("broken pipe"), 0},
	} {
		conn, peer := net.Pipe()
		defer peer.Close()
		lines := 0
		s := &Server{
			Clock: boot.Clock{},
			Log:   funcr.New(func(_, _ string) { lines++ }, funcr.Options{}),
		}
		s.prepare()
		n := &session{
			server: s,
			conn:   conn,
			caller: refusingCaller{err: c.err},
			busy:   true,
		}
		n.serveStatements()
		assert.Equal(t, lines, c.lines, "%v", c.err)
	}
}
