// Package store speaks to the platform's key-value service over the published
// subset of Consul's HTTP API.
//
// # Outcomes of a change
//
// A change ends in one of three ways, which callers must never merge. It took
// effect; it is known not to have taken effect (coltsfootloft.ErrConflict,
// ErrNoSession, ErrStoreDown); or no answer came after some byte of it was handed
// to a connection (coltsfootloft.ErrUncertain). An uncertain change is resolved by
// reading the keys it would have changed, which is why callers write something of
// their own, such as a change id, into one of them.
//
// # Addresses
//
// Calls go to the address that answered last. A read moves on to the next address
// after any failure, a change only after one that left nothing sent.
package store
