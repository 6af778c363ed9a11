package store

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// operation is one operation of a transaction, as Consul encodes it.
type operation struct {
	KV kvOperation
}

type kvOperation struct {
	Verb    string
	Key     string
	Value   []byte `json:",omitempty"`
	Index   uint64 `json:",omitempty"`
	Session string `json:",omitempty"`
}

type txnResponse struct {
	Results []struct {
		KV kvPair
	}
	Errors []txnError
}

type txnError struct {
	OpIndex int
	What    string
}

// Apply makes all changes or none and returns the index at which they took effect.
// If all changes that write are removals, Consul's answer holds no index: Apply then
// lists a removed key to learn it, and returns 0 if that fails.
func (c *Consul) Apply(ctx context.Context, changes []coltsfootloft.Change) (uint64, error) {
	body, err := c.encode(changes)
	if err != nil {
		return 0, err
	}
	r, err := c.write(ctx, "/v1/txn", body)
	if err != nil {
		return 0, errors.Wrap(err, "apply")
	}
	var t txnResponse
	switch r.code {
	case http.StatusOK, http.StatusConflict:
		err = json.Unmarshal(r.body, &t)
	default:
		return 0, errors.Wrap(unexpectedStatus(r), "apply")
	}
	if err != nil {
		return 0, errors.Wrapf(coltsfootloft.ErrOutcomeUnknown, "apply: %v", err)
	}
	if len(t.Errors) > 0 {
		return 0, conflictError(changes, t.Errors)
	}
	return c.appliedIndex(ctx, changes, t), nil
}

// encode builds the transaction. A put that takes a lock becomes two operations, a
// version check and the lock. It fails if a value is larger than MaxValue or there are
// more than MaxOperations operations.
func (c *Consul) encode(changes []coltsfootloft.Change) ([]byte, error) {
	var ops []operation
	add := func(verb string, h coltsfootloft.Change, value []byte, index uint64, session string) {
		ops = append(ops, operation{KV: kvOperation{
			Verb:    verb,
			Key:     c.Prefix + h.Key(),
			Value:   value,
			Index:   index,
			Session: session,
		}})
	}
	for _, h := range changes {
		if len(h.Value()) > MaxValue {
			return nil, errors.Errorf("apply: value of %s is over %d bytes", h.Key(), MaxValue)
		}
		if h.Kind() == coltsfootloft.ChangePut && h.Session() == "" {
			add("cas", h, h.Value(), h.Version(), "")
			continue
		}
		if h.Kind() == coltsfootloft.ChangeRemove && h.Version() != 0 {
			add("delete-cas", h, nil, h.Version(), "")
			continue
		}
		if h.Version() == 0 {
			add("check-not-exists", h, nil, 0, "")
		} else {
			add("check-index", h, nil, h.Version(), "")
		}
		if h.Kind() == coltsfootloft.ChangePut {
			add("lock", h, h.Value(), 0, h.Session())
		}
	}
	if len(ops) > MaxOperations {
		return nil, errors.Errorf("apply: %d operations, at most %d fit one transaction", len(ops), MaxOperations)
	}
	body, err := json.Marshal(ops)
	return body, errors.Wrap(err, "apply")
}

// appliedIndex returns the index at which a transaction took effect; 0 if unknown.
func (c *Consul) appliedIndex(ctx context.Context, changes []coltsfootloft.Change, t txnResponse) uint64 {
	var index uint64
	for _, r := range t.Results {
		index = max(index, r.KV.ModifyIndex)
	}
	removed := ""
	for _, h := range changes {
		switch h.Kind() {
		case coltsfootloft.ChangePut:
			return index
		case coltsfootloft.ChangeRemove:
			removed = h.Key()
		case coltsfootloft.ChangeRequire:
		}
	}
	if removed == "" {
		return index
	}
	_, index, err := c.List(ctx, removed)
	if err != nil {
		return 0
	}
	return index
}

// conflictError returns ErrNoSession if a change failed because its session does not
// exist, and ErrConflict if a key was at another version.
func conflictError(changes []coltsfootloft.Change, failed []txnError) error {
	locked := make(map[string]bool)
	for _, h := range changes {
		if h.Session() != "" {
			locked[h.Session()] = true
		}
	}
	for _, e := range failed {
		for s := range locked {
			if e.What == "invalid session "+strconv.Quote(s) {
				return errors.Wrapf(coltsfootloft.ErrNoSession, "apply: session %s", s)
			}
		}
	}
	return errors.Wrapf(coltsfootloft.ErrConflict, "apply: %s", failed[0].What)
}

// unexpectedStatus returns the error of a change that was answered with an
// unexpected status. After a client error nothing was written; after a server error
// the outcome is unknown.
func unexpectedStatus(r response) error {
	if r.code < http.StatusInternalServerError {
		return errors.Errorf("refused, nothing written: status %d: %s", r.code, r.text())
	}
	return errors.Wrapf(coltsfootloft.ErrOutcomeUnknown, "status %d: %s", r.code, r.text())
}
