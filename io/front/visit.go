package front

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/caller"
)

// handshakeTimeout bounds all that comes before the first request.
const handshakeTimeout = 10 * time.Second

// codeAuthorization is the SQLSTATE of a caller that is refused before its key is
// asked for.
const codeAuthorization = "28000"

// visit is one connection from a caller.
type visit struct {
	server   *Server
	conn     *frames
	backend  *pgproto3.Backend
	isSecure bool
	grant    grant
	secret   []byte
	session  *caller.Session
}

func (v *visit) use(c net.Conn) {
	v.conn = newFrames(c)
	v.backend = pgproto3.NewBackend(v.conn, c)
	v.backend.SetMaxBodyLen(v.server.Env.Fleet().Defaults().MessageLimit())
}

// serve runs the connection to its end.
func (v *visit) serve(ctx context.Context) error {
	_ = v.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	m, err := v.greet(ctx)
	if err != nil {
		return v.reject(err)
	}
	switch m := m.(type) {
	case *pgproto3.CancelRequest:
		v.server.cancel(ctx, m.ProcessID, m.SecretKey)
		return nil
	case *pgproto3.StartupMessage:
		err = v.open(m)
	default:
		err = errors.New("unexpected startup message")
	}
	if err != nil {
		return v.reject(err)
	}
	defer v.server.leave(v)
	_ = v.conn.SetDeadline(time.Time{})
	return v.session.Run(ctx)
}

// open admits the caller and makes its session.
func (v *visit) open(m *pgproto3.StartupMessage) error {
	if v.server.RequireTLS && !v.isSecure {
		return coltsfootloft.Refuse(codeAuthorization, "this host takes callers over TLS only")
	}
	h, err := parseHello(m)
	if err != nil {
		return err
	}
	v.conn.typed = true
	v.grant, err = v.admit(h)
	if err != nil {
		return err
	}
	v.session = &caller.Session{
		Env:      v.server.Env,
		Host:     v.server.Name,
		Conn:     v.conn,
		Backend:  v.backend,
		Account:  v.grant.account,
		Route:    v.grant.route,
		Token:    h.token,
		Settings: h.settings,
	}
	if err := v.server.enter(v); err != nil {
		return err
	}
	// The settings may have changed since admit read them. From here on Refresh
	// knows the session.
	if !v.grant.holds(v.server.Env.Fleet()) {
		v.server.leave(v)
		return errWrongKey
	}
	return v.welcome(h)
}

// welcome sends what a caller expects before its first ReadyForQuery.
func (v *visit) welcome(h hello) error {
	v.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range params {
		v.backend.Send(&pgproto3.ParameterStatus{
			Name:  p[0],
			Value: p[1],
		})
	}
	v.backend.Send(&pgproto3.ParameterStatus{
		Name:  "session_authorization",
		Value: h.user,
	})
	v.backend.Send(&pgproto3.ParameterStatus{
		Name:  caller.HostName,
		Value: v.server.Name,
	})
	v.backend.Send(&pgproto3.BackendKeyData{
		ProcessID: v.session.ID,
		SecretKey: v.secret,
	})
	if err := v.backend.Flush(); err != nil {
		v.server.leave(v)
		return err
	}
	return nil
}

// reject tells the caller why it is not admitted.
func (v *visit) reject(err error) error {
	var r *coltsfootloft.RefusalError
	if !errors.As(err, &r) {
		return err
	}
	v.backend.Send(&pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                r.Code(),
		Message:             r.Message(),
		Detail:              r.Outcome().String(),
	})
	if flushed := v.backend.Flush(); flushed != nil {
		return flushed
	}
	return err
}
