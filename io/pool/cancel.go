package pool

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// cancelTimeout limits connecting to the upstream, and then sending the cancel
// request and waiting for the upstream to close the connection.
const cancelTimeout = 2 * time.Second

// Cancel asks the upstream to cancel what runs on the connection. The connection must
// have been marked as broken: a late cancel request must not affect the next session
// that uses it.
func Cancel(ctx context.Context, c *Conn) error {
	d := net.Dialer{Timeout: cancelTimeout}
	n, err := d.DialContext(ctx, "tcp", c.pool.Upstream.Address())
	if err != nil {
		return errors.Wrap(err, "cancel request")
	}
	defer n.Close()
	_ = n.SetDeadline(time.Now().Add(cancelTimeout))
	b, err := (&pgproto3.CancelRequest{
		ProcessID: c.pid,
		SecretKey: c.secret,
	}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "cancel request")
	}
	if _, err := n.Write(b); err != nil {
		return errors.Wrap(err, "cancel request")
	}
	_, err = io.Copy(io.Discard, n)
	return errors.Wrap(err, "cancel request")
}
