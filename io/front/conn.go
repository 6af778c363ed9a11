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

// handshakeTimeout limits the time from accepting the connection to the start of the
// session.
const handshakeTimeout = 10 * time.Second

// maxHandshake is the size in bytes of the largest message before the start of the session, so that
// it fits the buffer of the protocol library.
const maxHandshake = smallMessage - headerBytes

// codeAuthorization is the SQLSTATE for a caller that is refused before it is
// authenticated.
const codeAuthorization = "28000"

// callerConn is one connection from a caller.
type callerConn struct {
	server   *Server
	raw      net.Conn // as it was accepted
	conn     *messageConn
	backend  *pgproto3.Backend
	isSecure bool
	grant    grant
	secret   []byte
	session  *caller.Session
}

func (cc *callerConn) setConn(c net.Conn) {
	cc.conn = newMessageConn(c)
	cc.backend = pgproto3.NewBackend(cc.conn, c)
	cc.backend.SetMaxBodyLen(maxHandshake)
}

// setLimits sets the limits of a session's messages in place of those of the handshake.
func (cc *callerConn) setLimits() {
	d := cc.server.Env.Fleet().Defaults()
	cc.conn.limit = d.MessageLimit()
	cc.conn.wait = d.CallerWait()
	cc.conn.hold.Memory = cc.server.Env.Messages
	cc.backend.SetMaxBodyLen(d.MessageLimit())
}

// serve handles the connection until its end.
func (cc *callerConn) serve(ctx context.Context) error {
	_ = cc.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	m, err := cc.readStartup(ctx)
	if err != nil {
		return cc.reject(err)
	}
	switch m := m.(type) {
	case *pgproto3.CancelRequest:
		cc.server.cancel(ctx, m.ProcessID, m.SecretKey)
		return nil
	case *pgproto3.StartupMessage:
		err = cc.startSession(m)
	default:
		err = errors.New("unexpected startup message")
	}
	if err != nil {
		return cc.reject(err)
	}
	defer cc.server.unregister(cc)
	_ = cc.conn.SetDeadline(time.Time{})
	cc.setLimits()
	cc.backend = nil // the session replaces its own after large messages, with their buffers
	return cc.session.Run(ctx)
}

// startSession admits the caller and creates its session.
func (cc *callerConn) startSession(m *pgproto3.StartupMessage) error {
	if cc.server.RequireTLS && !cc.isSecure {
		return coltsfootloft.Refuse(codeAuthorization, "this host takes callers over TLS only")
	}
	st, err := parseStartup(m)
	if err != nil {
		return err
	}
	cc.conn.hasType = true
	cc.grant, err = cc.admit(st)
	if err != nil {
		return err
	}
	cc.session = &caller.Session{
		Env:      cc.server.Env,
		Host:     cc.server.Name,
		Conn:     cc.conn,
		Backend:  cc.backend,
		Account:  cc.grant.account,
		Route:    cc.grant.route,
		Token:    st.token,
		Settings: st.settings,
		Working:  cc.conn.hold,
	}
	if err := cc.server.register(cc); err != nil {
		return err
	}
	// The settings may have changed since admit read them. Later changes reach the
	// session through Refresh.
	if !cc.grant.isValid(cc.server.Env.Fleet()) {
		cc.server.unregister(cc)
		return errWrongKey
	}
	return cc.sendParameters(st)
}

// sendParameters sends the messages that precede the first ReadyForQuery.
func (cc *callerConn) sendParameters(st startup) error {
	cc.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range reportedParams {
		cc.backend.Send(&pgproto3.ParameterStatus{
			Name:  p[0],
			Value: p[1],
		})
	}
	cc.backend.Send(&pgproto3.ParameterStatus{
		Name:  "session_authorization",
		Value: st.user,
	})
	cc.backend.Send(&pgproto3.ParameterStatus{
		Name:  caller.HostName,
		Value: cc.server.Name,
	})
	cc.backend.Send(&pgproto3.BackendKeyData{
		ProcessID: cc.session.ID,
		SecretKey: cc.secret,
	})
	if err := cc.backend.Flush(); err != nil {
		cc.server.unregister(cc)
		return err
	}
	return nil
}

// reject tells the caller why it is not admitted.
func (cc *callerConn) reject(err error) error {
	var r *coltsfootloft.RefusalError
	if !errors.As(err, &r) {
		return err
	}
	cc.backend.Send(&pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                r.Code(),
		Message:             r.Message(),
		Detail:              r.Outcome().String(),
	})
	if flushed := cc.backend.Flush(); flushed != nil {
		return flushed
	}
	return err
}
