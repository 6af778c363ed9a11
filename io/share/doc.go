// Package share enforces the fleet-wide limits: each client account's rate and
// burst, and the number of connections that each database accepts.
//
// A [Limiter] on every host holds a part of each limit. Parts belong to seats, which
// hosts hold by a lease in the platform's store, and move between hosts by loans
// (see packages seat and loan); the parts of all hosts sum to the limit at all
// times. A request is admitted by its host alone, without a message to another
// host. Only when this host's part runs short does the limiter ask other hosts for a
// loan, and the requests that are short wait for it in a bounded queue.
//
// A Limiter without a Store is the only host and owns every limit entirely.
package share
