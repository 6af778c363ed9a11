// Package caller serves the session of one caller.
//
// # Batches
//
// A batch holds the messages that a caller sends up to a Sync, or one simple query. It
// is a list of steps: a message for the upstream together with the reply that ends it,
// or an answer that the host gives itself. Hidden steps are the host's own, such as
// preparing a statement on a connection that lacks it; their replies are not forwarded
// to the caller.
//
// # Attempts
//
// Outside a transaction every batch runs on a connection of its own, to a database
// chosen by package route. An attempt may be repeated on another database only while
// none of its answer has been sent to the caller, and only if the batch is known not to
// have run, can only have read, or is a write with a request id.
//
// # Acknowledgement
//
// The answer to a batch that may have committed is held from its first CommandComplete
// until a majority of the group holds the commit. If that is not known in time, the
// answer is replaced by an error with SQLSTATE 08007, outcome unknown.
//
// # Transactions
//
// The host answers BEGIN itself and sends it with the first statement, so that the
// primary is chosen late. From then on the session keeps the connection until the
// transaction ends.
package caller
