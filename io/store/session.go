package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// sessionRequest creates a session whose locks are released as soon as it expires,
// without Consul's lock delay.
type sessionRequest struct {
	Name      string
	TTL       string
	Behavior  string
	LockDelay string
}

// OpenSession creates a session, a lease that expires ttl after its last renewal, and
// returns its id. After ErrOutcomeUnknown a session may exist that nobody renews; it
// expires by itself.
func (c *Consul) OpenSession(ctx context.Context, name string, ttl time.Duration) (string, error) {
	body, err := json.Marshal(sessionRequest{
		Name:      name,
		TTL:       ttl.String(),
		Behavior:  "release",
		LockDelay: "0s",
	})
	if err != nil {
		return "", errors.Wrap(err, "open session")
	}
	r, err := c.write(ctx, "/v1/session/create", body)
	if err != nil {
		return "", errors.Wrap(err, "open session")
	}
	if r.code != http.StatusOK {
		return "", errors.Wrap(unexpectedStatus(r), "open session")
	}
	var created struct{ ID string }
	if err := json.Unmarshal(r.body, &created); err != nil || created.ID == "" {
		return "", errors.Wrap(coltsfootloft.ErrOutcomeUnknown, "open session: malformed answer")
	}
	return created.ID, nil
}

// RenewSession extends the session by its ttl. It fails with ErrNoSession if the
// session has expired.
func (c *Consul) RenewSession(ctx context.Context, session string) error {
	r, err := c.write(ctx, "/v1/session/renew/"+escape(session), nil)
	if err != nil {
		return errors.Wrap(err, "renew session")
	}
	switch r.code {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return errors.Wrapf(coltsfootloft.ErrNoSession, "renew session %s", session)
	}
	return errors.Wrap(unexpectedStatus(r), "renew session")
}

// CloseSession ends the session and releases its locks. It is no error if the session
// has expired already.
func (c *Consul) CloseSession(ctx context.Context, session string) error {
	r, err := c.write(ctx, "/v1/session/destroy/"+escape(session), nil)
	if err != nil {
		return errors.Wrap(err, "close session")
	}
	if r.code != http.StatusOK {
		return errors.Wrap(unexpectedStatus(r), "close session")
	}
	return nil
}
