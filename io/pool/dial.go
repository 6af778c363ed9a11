package pool

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"coltsfootloft/io/dial"
)

// Login holds the proxy's own credentials and options for upstream connections. It
// never contains a caller's key.
type Login struct {
	// User is the role on the upstream.
	User string
	// Password is the password of User; empty if the upstream requires none.
	Password string
	// Database is the database name on the upstream.
	Database string
	// Dial opens the connection; nil lets the system choose the source address.
	Dial dial.Func
	// TLS is the TLS configuration; nil means plain TCP.
	TLS *tls.Config
}

// dial opens a connection to address, given as IP:port, within the timeout.
func (l Login) dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	config, err := l.config(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	opened, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	h, err := opened.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "taking over the connection")
	}
	return &Conn{
		conn:     h.Conn,
		frontend: h.Frontend,
		pid:      h.PID,
		secret:   h.SecretKey,
		params:   h.ParameterStatuses,
	}, nil
}

func (l Login) config(address string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "upstream address")
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, errors.Wrap(err, "upstream port")
	}
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "connection settings")
	}
	config.Host = host
	config.Port = uint16(port)
	config.User = l.User
	config.Password = l.Password
	config.Database = l.Database
	config.TLSConfig = l.TLS
	config.Fallbacks = nil
	config.DialFunc = pgconn.DialFunc(dial.Or(l.Dial, 0))
	config.RuntimeParams = map[string]string{
		"application_name": "coltsfootloft",
		"client_encoding":  "UTF8",
	}
	return config, nil
}
