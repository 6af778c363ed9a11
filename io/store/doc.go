// Package store is a client of the platform's key-value service. It uses the
// published subset of Consul's HTTP API.
//
// # Outcomes of a change
//
// A change has one of three outcomes, which callers must keep apart: it took
// effect; it is known not to have taken effect (coltsfootloft.ErrConflict,
// ErrNoSession, ErrStoreDown); or the outcome is unknown, because no answer came
// after some byte of it was handed to a connection (coltsfootloft.ErrOutcomeUnknown).
// Callers resolve an uncertain change by reading the keys that it would have
// changed. To recognise their change there, they write something unique, such as a
// change id, into one of the keys.
//
// # Addresses
//
// Calls go to the address that answered last. A read is retried at the next address
// after any failure, a change only if no byte of it was sent.
package store
