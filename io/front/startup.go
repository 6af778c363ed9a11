package front

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/token"
	"coltsfootloft/io/caller"
)

// startup holds the parameters of a startup message.
type startup struct {
	user     string
	database string
	token    token.Token
	settings map[string]string
}

// readStartup answers encryption requests until the startup message or a cancel
// request arrives.
func (cc *callerConn) readStartup(ctx context.Context) (pgproto3.FrontendMessage, error) {
	for {
		m, err := cc.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, startupError(err)
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if err := cc.startTLS(ctx); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := cc.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		default:
			return m, nil
		}
	}
}

// startupError converts an error of reading a startup message to a refusal. If the
// caller has disconnected or timed out, the error is not a refusal, and nothing is
// sent.
func startupError(err error) error {
	var n net.Error
	if errors.As(err, &n) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "startup message")
	}
	return coltsfootloft.Refuse(coltsfootloft.CodeProtocol, "malformed startup message")
}

// startTLS starts TLS if the host has a certificate, and otherwise declines it.
func (cc *callerConn) startTLS(ctx context.Context) error {
	if cc.server.TLS == nil || cc.isSecure {
		_, err := cc.conn.Write([]byte{'N'})
		return err
	}
	if _, err := cc.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	if cc.conn.reader.Buffered() > 0 {
		return errors.New("unencrypted data after a request for TLS")
	}
	c := tls.Server(cc.conn.Conn, cc.server.TLS)
	if err := c.HandshakeContext(ctx); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	cc.isSecure = true
	cc.setConn(c)
	return nil
}

// parseStartup reads the parameters of a startup message.
func parseStartup(m *pgproto3.StartupMessage) (startup, error) {
	st := startup{settings: make(map[string]string)}
	for name, value := range m.Parameters {
		if err := st.setParameter(strings.ToLower(name), value); err != nil {
			return st, err
		}
	}
	if st.user == "" {
		return st, coltsfootloft.Refuse(codeAuthorization, "no user in the startup message")
	}
	if st.database == "" {
		st.database = st.user
	}
	return st, nil
}

func (st *startup) setParameter(name, value string) error {
	switch name {
	case "user":
		st.user = value
	case "database":
		st.database = value
	case "options":
		return st.parseOptions(value)
	case "application_name":
	case "replication":
		return coltsfootloft.Refuse(coltsfootloft.CodeUnsupported, "replication connections are not carried by this proxy")
	case "client_encoding":
		return checkEncoding(value)
	case "standard_conforming_strings":
		return caller.CheckStringSyntax(value)
	case caller.TokenName:
		t, err := token.Parse(value)
		if err != nil {
			return coltsfootloft.Refuse("22023", err.Error())
		}
		st.token = t
	default:
		return st.addSetting(name, value)
	}
	return nil
}

func (st *startup) addSetting(name, value string) error {
	if strings.HasPrefix(name, "_pq_.") || isDefault(name, value) {
		return nil
	}
	if !isSettingName(name) {
		return coltsfootloft.Refuse("42704", "unrecognized setting in the startup message")
	}
	st.settings[name] = value
	return nil
}

// checkEncoding accepts only UTF8, because statements are classified as UTF8 text.
func checkEncoding(value string) error {
	if caller.IsUTF8(value) {
		return nil
	}
	return coltsfootloft.Refuse("22023", "client_encoding must be UTF8")
}

// parseOptions reads settings of the form "-c name=value" and "--name=value".
func (st *startup) parseOptions(options string) error {
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		w := words[i]
		switch {
		case w == "-c" && i+1 < len(words):
			i++
			w = words[i]
		case strings.HasPrefix(w, "-c"):
			w = w[2:]
		case strings.HasPrefix(w, "--"):
			w = w[2:]
		default:
			return coltsfootloft.Refuse("22023", "options of the startup message: want -c name=value")
		}
		name, value, ok := strings.Cut(w, "=")
		if !ok {
			return coltsfootloft.Refuse("22023", "options of the startup message: want -c name=value")
		}
		name = strings.ToLower(strings.ReplaceAll(name, "-", "_"))
		if name == "user" || name == "database" || name == "options" {
			return coltsfootloft.Refuse("22023", "options of the startup message: "+name+" is not a setting")
		}
		if err := st.setParameter(name, value); err != nil {
			return err
		}
	}
	return nil
}

// splitOptions splits at spaces that are not escaped by a backslash.
func splitOptions(s string) []string {
	var words []string
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '\\' && i+1 < len(s):
			i++
			b.WriteByte(s[i])
		case s[i] == ' ':
			if b.Len() > 0 {
				words = append(words, b.String())
			}
			b.Reset()
		default:
			b.WriteByte(s[i])
		}
	}
	if b.Len() > 0 {
		words = append(words, b.String())
	}
	return words
}

// isSettingName reports whether s can be used in SET without quotes and is not one of
// the proxy's own settings.
func isSettingName(s string) bool {
	for _, c := range s {
		isLetter := c >= 'a' && c <= 'z'
		if !isLetter && c != '_' && c != '.' && (c < '0' || c > '9') {
			return false
		}
	}
	return s != "" && !strings.HasPrefix(s, "coltsfootloft.")
}
