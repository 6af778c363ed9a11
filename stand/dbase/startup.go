package dbase

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

// scramIterations is the iteration count of the password's SCRAM verifier.
const scramIterations = 4096

// reportedSettings are the settings that are reported to the client in
// ParameterStatus messages, with their defaults.
var reportedSettings = []struct {
	name  string
	value string
}{
	{name: "application_name", value: ""},
	{name: "client_encoding", value: "UTF8"},
	{name: "DateStyle", value: "ISO, MDY"},
	{name: "default_transaction_read_only", value: "off"},
	{name: "integer_datetimes", value: "on"},
	{name: "IntervalStyle", value: "postgres"},
	{name: "is_superuser", value: "off"},
	{name: "server_encoding", value: "UTF8"},
	{name: "server_version", value: "16.4"},
	{name: "session_authorization", value: ""},
	{name: "standard_conforming_strings", value: "on"},
	{name: "TimeZone", value: "UTC"},
}

// handshake runs the startup phase of the protocol and reports whether a session
// was started.
func (x *session) handshake(ctx context.Context) bool {
	for {
		m, err := x.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if !x.offerTLS(ctx) {
				return false
			}
		case *pgproto3.GSSEncRequest:
			if _, err := x.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			x.server.cancel(m.ProcessID, m.SecretKey)
			return false
		case *pgproto3.StartupMessage:
			return x.startSession(ctx, m)
		}
	}
}

func (x *session) offerTLS(ctx context.Context) bool {
	if x.server.TLS == nil {
		_, err := x.conn.Write([]byte{'N'})
		return err == nil
	}
	if _, err := x.conn.Write([]byte{'S'}); err != nil {
		return false
	}
	c := tls.Server(x.conn, x.server.TLS)
	if c.HandshakeContext(ctx) != nil {
		return false
	}
	x.useConn(c)
	return true
}

// startSession authenticates and registers the client, then reports the settings
// and the cancel key.
func (x *session) startSession(ctx context.Context, m *pgproto3.StartupMessage) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.user = m.Parameters["user"]
	x.platform = x.user == PlatformUser
	x.database = m.Parameters["database"]
	err := x.authenticate()
	if err == nil {
		err = x.server.register(x)
	}
	if err != nil {
		x.fatal(err)
		return false
	}
	x.startup = startupSettings(m.Parameters)
	x.startup["session_authorization"] = x.user
	x.resetSettings()
	x.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range reportedSettings {
		x.report(p.name)
	}
	x.backend.Send(&pgproto3.BackendKeyData{
		ProcessID: x.pid,
		SecretKey: x.secret,
	})
	return x.ready(ctx)
}

// startupSettings returns the settings of a startup message, both its own
// parameters and those in its options.
func startupSettings(parameters map[string]string) map[string]string {
	out := make(map[string]string)
	for k, v := range parameters {
		switch k {
		case "user", "database", "replication":
		case "options":
			for name, value := range parseOptions(v) {
				out[name] = value
			}
		default:
			out[strings.ToLower(k)] = v
		}
	}
	return out
}

// parseOptions parses options of the forms -c name=value and --name=value.
func parseOptions(s string) map[string]string {
	out := make(map[string]string)
	for _, f := range strings.Fields(strings.ReplaceAll(s, "-c ", "-c")) {
		f = strings.TrimPrefix(strings.TrimPrefix(f, "--"), "-c")
		if name, value, ok := strings.Cut(f, "="); ok {
			out[strings.ToLower(name)] = value
		}
	}
	return out
}

// register admits a session, or refuses it if the database is catching up after a
// rebuild or the connection limit is reached.
func (s *Server) register(x *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !x.platform && s.state.applied < s.syncTo {
		return sqlErrorf(codeCannotConnect, "the database system is starting up")
	}
	limit := s.MaxConns
	if limit == 0 {
		limit = 100
	}
	if x.platform {
		limit = platformConns
	}
	n := 0
	for _, y := range s.sessions {
		if y.platform == x.platform {
			n++
		}
	}
	if n >= limit {
		return sqlErrorf(codeTooManyConnections, "sorry, too many clients already")
	}
	s.pid++
	x.pid = s.pid
	x.secret = binary.BigEndian.AppendUint32(nil, randomSecret())
	s.sessions[x.pid] = x
	if !x.platform {
		s.peakSessions = max(s.peakSessions, n+1)
	}
	return nil
}

func randomSecret() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}

func (s *Server) unregister(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, x.pid)
}

// cancel interrupts the session with this cancel key.
func (s *Server) cancel(pid uint32, secret []byte) {
	s.mu.Lock()
	x := s.sessions[pid]
	s.mu.Unlock()
	if x != nil && bytes.Equal(x.secret, secret) {
		x.interrupt()
	}
}

// authenticate checks user and password, if the database has a password.
func (x *session) authenticate() error {
	s := x.server
	if s.Password == "" {
		return nil
	}
	if s.Cleartext {
		return x.cleartext()
	}
	if x.user != s.User && !x.platform {
		return x.passwordError()
	}
	ok, err := x.scram()
	if err != nil {
		return sqlErrorf(codeInvalidPassword, "authentication failed: %v", err)
	}
	if !ok {
		return x.passwordError()
	}
	return nil
}

func (x *session) passwordError() error {
	return sqlErrorf(codeInvalidPassword, "password authentication failed for user %q", x.user)
}

func (x *session) cleartext() error {
	x.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := x.backend.Flush(); err != nil {
		return errors.Wrap(err, "authenticate")
	}
	if err := x.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return errors.Wrap(err, "authenticate")
	}
	m, err := x.backend.Receive()
	if err != nil {
		return errors.Wrap(err, "authenticate")
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok || p.Password != x.server.Password || x.user != x.server.User && !x.platform {
		return x.passwordError()
	}
	return nil
}

// credentials returns the SCRAM-SHA-256 verifier of a password.
func credentials(password string) (scram.StoredCredentials, error) {
	c, err := scram.HashGeneratorFcn(sha256.New).NewClient("", password, "")
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "scram")
	}
	salt := make([]byte, 16)
	_, _ = rand.Read(salt)
	stored, err := c.GetStoredCredentialsWithError(scram.KeyFactors{
		Salt:  string(salt),
		Iters: scramIterations,
	})
	return stored, errors.Wrap(err, "scram")
}

// scram runs SCRAM-SHA-256 and reports whether the password was right.
func (x *session) scram() (bool, error) {
	lookup := func(string) (scram.StoredCredentials, error) { return x.server.verifier, nil }
	server, err := scram.HashGeneratorFcn(sha256.New).NewServer(lookup)
	if err != nil {
		return false, errors.Wrap(err, "scram")
	}
	conversation := server.NewConversation()
	x.backend.Send(&pgproto3.AuthenticationSASL{
		AuthMechanisms: []string{"SCRAM-SHA-256"},
	})
	data, err := x.saslFirst()
	if err != nil {
		return false, err
	}
	reply, err := conversation.Step(data)
	if err != nil {
		return false, errors.Wrap(err, "scram")
	}
	x.backend.Send(&pgproto3.AuthenticationSASLContinue{
		Data: []byte(reply),
	})
	data, err = x.saslNext()
	if err != nil {
		return false, err
	}
	reply, err = conversation.Step(data)
	if err != nil || !conversation.Valid() {
		return false, nil //nolint:nilerr // A wrong password is a result, not an error.
	}
	x.backend.Send(&pgproto3.AuthenticationSASLFinal{
		Data: []byte(reply),
	})
	return true, nil
}

func (x *session) saslFirst() (string, error) {
	m, err := x.receiveAuth(pgproto3.AuthTypeSASL)
	if err != nil {
		return "", err
	}
	first, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != "SCRAM-SHA-256" {
		return "", errors.New("no SCRAM-SHA-256 response")
	}
	return string(first.Data), nil
}

func (x *session) saslNext() (string, error) {
	m, err := x.receiveAuth(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return "", err
	}
	r, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return "", errors.New("no SCRAM-SHA-256 response")
	}
	return string(r.Data), nil
}

func (x *session) receiveAuth(kind uint32) (pgproto3.FrontendMessage, error) {
	if err := x.backend.Flush(); err != nil {
		return nil, errors.Wrap(err, "authenticate")
	}
	if err := x.backend.SetAuthType(kind); err != nil {
		return nil, errors.Wrap(err, "authenticate")
	}
	m, err := x.backend.Receive()
	return m, errors.Wrap(err, "authenticate")
}
