// Package caller serves one caller's session.
//
// # Batches
//
// What a caller sends up to a Sync, or one simple query, is a batch. A batch is a
// list of steps: messages for the upstream, each with the reply that ends it, and
// answers that the host gives itself. Hidden steps are the host's own, such as
// preparing a statement on a connection that does not have it yet; their replies
// never reach the caller.
//
// # Attempts
//
// Outside of a transaction every batch is placed on a connection of its own, by
// package route. An attempt may be repeated on another database only while none
// of its answer has reached the caller and it is known not to have run, or could
// only read.
//
// # Acknowledgement
//
// The answer to a batch that may have committed is held from its first
// CommandComplete until a majority of the group holds the commit. When that is
// not known in time the answer is replaced by SQLSTATE 08007, outcome unknown.
//
// # Transactions
//
// BEGIN is answered by the host and sent with the first statement, so that the
// primary is chosen late. From then on the session keeps the connection until the
// transaction ends.
package caller
