package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// sessionRequest asks for a session whose locks are free as soon as it lapses.
type sessionRequest struct {
	Name      string
	TTL       string
	Behavior  string
	LockDelay string
}

// OpenSession starts a lease of length ttl. After ErrUncertain a session may
// exist that nobody renews; it lapses by itself.
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
	a, err := c.change(ctx, "/v1/session/create", body)
	if err != nil {
		return "", errors.Wrap(err, "open session")
	}
	if a.code != http.StatusOK {
		return "", errors.Wrap(refused(a), "open session")
	}
	var made struct{ ID string }
	if err := json.Unmarshal(a.body, &made); err != nil || made.ID == "" {
		return "", errors.Wrap(coltsfootloft.ErrOutcomeUnknown, "open session: malformed answer")
	}
	return made.ID, nil
}

// RenewSession extends the lease by its ttl. It fails with ErrNoSession once the
// lease has lapsed.
func (c *Consul) RenewSession(ctx context.Context, session string) error {
	a, err := c.change(ctx, "/v1/session/renew/"+escape(session), nil)
	if err != nil {
		return errors.Wrap(err, "renew session")
	}
	switch a.code {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return errors.Wrapf(coltsfootloft.ErrNoSession, "renew session %s", session)
	}
	return errors.Wrap(refused(a), "renew session")
}

// CloseSession ends the lease and releases its locks. Closing a lapsed one is no
// error.
func (c *Consul) CloseSession(ctx context.Context, session string) error {
	a, err := c.change(ctx, "/v1/session/destroy/"+escape(session), nil)
	if err != nil {
		return errors.Wrap(err, "close session")
	}
	if a.code != http.StatusOK {
		return errors.Wrap(refused(a), "close session")
	}
	return nil
}
