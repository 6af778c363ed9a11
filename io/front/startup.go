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

// hello is what a startup message asks for.
type hello struct {
	user     string
	database string
	token    token.Token
	settings map[string]string
}

// greet answers encryption requests until the startup or cancel message comes.
func (v *visit) greet(ctx context.Context) (pgproto3.FrontendMessage, error) {
	for {
		m, err := v.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, malformed(err)
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if err := v.secure(ctx); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := v.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		default:
			return m, nil
		}
	}
}

// malformed turns what is wrong with a startup message into a refusal. A caller
// that has gone or is silent is told nothing.
func malformed(err error) error {
	var n net.Error
	if errors.As(err, &n) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "startup message")
	}
	return coltsfootloft.Refuse(coltsfootloft.CodeProtocol, "malformed startup message")
}

// secure starts TLS if the host has a certificate.
func (v *visit) secure(ctx context.Context) error {
	if v.server.TLS == nil || v.isSecure {
		_, err := v.conn.Write([]byte{'N'})
		return err
	}
	if _, err := v.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	if v.conn.reader.Buffered() > 0 {
		return errors.New("bytes in clear after a request for TLS")
	}
	c := tls.Server(v.conn.Conn, v.server.TLS)
	if err := c.HandshakeContext(ctx); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	v.isSecure = true
	v.use(c)
	return nil
}

// parseHello reads the parameters of a startup message.
func parseHello(m *pgproto3.StartupMessage) (hello, error) {
	h := hello{settings: make(map[string]string)}
	for name, value := range m.Parameters {
		if err := h.take(strings.ToLower(name), value); err != nil {
			return h, err
		}
	}
	if h.user == "" {
		return h, coltsfootloft.Refuse(codeAuthorization, "no user in the startup message")
	}
	if h.database == "" {
		h.database = h.user
	}
	return h, nil
}

func (h *hello) take(name, value string) error {
	switch name {
	case "user":
		h.user = value
	case "database":
		h.database = value
	case "options":
		return h.takeOptions(value)
	case "application_name":
	case "replication":
		return coltsfootloft.Refuse(coltsfootloft.CodeUnsupported, "replication connections are not carried by this proxy")
	case "client_encoding":
		return checkEncoding(value)
	case caller.TokenName:
		t, err := token.Parse(value)
		if err != nil {
			return coltsfootloft.Refuse("22023", err.Error())
		}
		h.token = t
	default:
		return h.takeSetting(name, value)
	}
	return nil
}

func (h *hello) takeSetting(name, value string) error {
	if strings.HasPrefix(name, "_pq_.") || isDefault(name, value) {
		return nil
	}
	if !isName(name) {
		return coltsfootloft.Refuse("42704", "unrecognized setting in the startup message")
	}
	h.settings[name] = value
	return nil
}

// checkEncoding takes UTF8 only, which statements are classified in.
func checkEncoding(value string) error {
	if caller.IsUTF8(value) {
		return nil
	}
	return coltsfootloft.Refuse("22023", "client_encoding must be UTF8")
}

// takeOptions reads "-c name=value" and "--name=value".
func (h *hello) takeOptions(options string) error {
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
		if err := h.take(name, value); err != nil {
			return err
		}
	}
	return nil
}

// splitOptions cuts at spaces that no backslash precedes.
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

// isName reports whether s can stand in SET without quotes.
func isName(s string) bool {
	for _, c := range s {
		isLetter := c >= 'a' && c <= 'z'
		if !isLetter && c != '_' && c != '.' && (c < '0' || c > '9') {
			return false
		}
	}
	return s != "" && !strings.HasPrefix(s, "coltsfootloft.")
}
