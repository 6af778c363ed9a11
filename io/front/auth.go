package front

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/core/keys"
)

// mechanism is the only supported SASL mechanism.
const mechanism = "SCRAM-SHA-256"

var errWrongKey = coltsfootloft.Refuse(coltsfootloft.CodeKey, "the key is wrong or withdrawn")

// grant is the authorization of a session: the key, the route and the client account.
type grant struct {
	key     conf.Key
	route   conf.Route
	account string
}

// admit authenticates the caller's key and checks it against the current settings.
// Open routes need no key.
func (cc *callerConn) admit(st startup) (grant, error) {
	f := cc.server.Env.Fleet()
	r, known := f.Resolve(st.user, st.database)
	if known && r.Open() {
		return grant{
			route:   r,
			account: r.Account(),
		}, nil
	}
	k, ok := f.Key(st.user)
	verifier := k.Verifier()
	if !ok {
		verifier = keys.Decoy(cc.server.decoySeed, st.user)
	}
	if err := cc.authenticate(verifier); err != nil {
		return grant{}, err
	}
	if !ok {
		return grant{}, errWrongKey
	}
	if !known || !r.Allows(k) {
		return grant{}, coltsfootloft.Refuse(coltsfootloft.CodeRoute, "route "+st.database+" does not exist or is not granted to this key")
	}
	return grant{
		key:     k,
		route:   r,
		account: k.Account(),
	}, nil
}

// isValid reports whether the settings still permit what was granted.
func (g grant) isValid(f *conf.Fleet) bool {
	r, ok := f.Route(g.route.Team(), baseName(g.route))
	if !ok || r.Group() != g.route.Group() {
		return false
	}
	if g.route.Open() {
		return r.Open() && r.Account() == g.account
	}
	k, ok := f.Key(g.key.Name())
	if !ok || k.Account() != g.account || k.Verifier() != g.key.Verifier() {
		return false
	}
	return r.Allows(k)
}

func baseName(r conf.Route) string { return r.Name()[len(r.Team())+1:] }

// authenticate runs the SCRAM exchange.
func (cc *callerConn) authenticate(verifier keys.Verifier) error {
	c, err := verifier.Conversation()
	if err != nil {
		return err
	}
	cc.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	first, err := cc.saslReply(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	challenge, err := c.Step(first)
	if err != nil {
		return errWrongKey
	}
	cc.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	second, err := cc.saslReply(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, err := c.Step(second)
	if err != nil || !c.Valid() {
		return errWrongKey
	}
	cc.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

func (cc *callerConn) saslReply(authType uint32) (string, error) {
	if err := cc.backend.Flush(); err != nil {
		return "", err
	}
	if err := cc.backend.SetAuthType(authType); err != nil {
		return "", err
	}
	m, err := cc.backend.Receive()
	if err != nil {
		return "", errors.Wrap(err, "authentication")
	}
	switch m := m.(type) {
	case *pgproto3.SASLInitialResponse:
		if m.AuthMechanism != mechanism {
			return "", errWrongKey
		}
		return string(m.Data), nil
	case *pgproto3.SASLResponse:
		return string(m.Data), nil
	}
	return "", coltsfootloft.Refuse(coltsfootloft.CodeProtocol, "expected an answer to the authentication request")
}
