// Package share keeps the fleet-wide limits: each client account's rate and
// burst, and the connections that each database takes.
//
// A [Ledger] on every host holds a part of each limit. Parts come with seats, which
// hosts hold by a lease of the platform's store, and move between hosts by loans
// (see packages seat and loan); the parts of all hosts sum to the limit at all
// times. Admission is decided on this host alone, without a message. Only when
// this host's part runs short does the ledger ask others for a loan, and the
// requests that are short wait for it in a bounded queue.
//
// A Ledger without a Store is the only host, and owns every limit whole.
package share
