// Package change reads and changes the settings in the platform's store.
//
// # One transaction
//
// A change of any number of paths, up to [MaxPaths], is one compare-and-swap
// transaction. It also updates the head, a key that points to the newest change,
// and adds a [Record] of who changed which paths and when. Because every change
// updates the head, changes are totally ordered, and whatever was checked before a
// change still holds when it takes effect.
//
// # Conflicts
//
// Changes of different paths don't conflict: a change that lost the race for the
// head is checked again and repeated. A change fails with a [ConflictError] if a
// path that it touches has changed since it was read, or since the base revision
// that the operator names.
//
// # Lost answers
//
// If no answer comes, the same transaction is sent again. It can take effect only
// once, because it requires the version of the head for which it was made. If the
// repetition meets a conflict, the chain of records shows whether an earlier attempt
// has taken effect. The chain is followed back from the head, so that a stale read
// can't lead to a wrong result. Only if the store stays silent is the outcome an
// [UnknownError].
package change
