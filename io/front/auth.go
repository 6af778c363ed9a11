package front

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/core/keys"
)

// mechanism is the only way to prove a key.
const mechanism = "SCRAM-SHA-256"

var errWrongKey = coltsfootloft.Refuse(coltsfootloft.CodeKey, "the key is wrong or withdrawn")

// grant is what a caller was admitted for.
type grant struct {
	key     conf.Key
	route   conf.Route
	account string
}

// admit checks the key that the caller presents against the settings in force.
func (v *visit) admit(h hello) (grant, error) {
	f := v.server.Env.Fleet()
	r, known := f.Resolve(h.user, h.database)
	if known && r.Open() {
		return grant{
			route:   r,
			account: r.Account(),
		}, nil
	}
	k, ok := f.Key(h.user)
	verifier := k.Verifier()
	if !ok {
		verifier = keys.Decoy(v.server.decoySeed, h.user)
	}
	if err := v.prove(verifier); err != nil {
		return grant{}, err
	}
	if !ok {
		return grant{}, errWrongKey
	}
	if !known || !r.Allows(k) {
		return grant{}, coltsfootloft.Refuse(coltsfootloft.CodeRoute, "route "+h.database+" does not exist or is not granted to this key")
	}
	return grant{
		key:     k,
		route:   r,
		account: k.Account(),
	}, nil
}

// holds reports whether the settings still grant what the session was admitted
// for.
func (g grant) holds(f *conf.Fleet) bool {
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

// prove runs the SCRAM exchange.
func (v *visit) prove(verifier keys.Verifier) error {
	c, err := verifier.Conversation()
	if err != nil {
		return err
	}
	v.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	first, err := v.saslReply(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	challenge, err := c.Step(first)
	if err != nil {
		return errWrongKey
	}
	v.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	second, err := v.saslReply(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, err := c.Step(second)
	if err != nil || !c.Valid() {
		return errWrongKey
	}
	v.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

func (v *visit) saslReply(authType uint32) (string, error) {
	if err := v.backend.Flush(); err != nil {
		return "", err
	}
	if err := v.backend.SetAuthType(authType); err != nil {
		return "", err
	}
	m, err := v.backend.Receive()
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
