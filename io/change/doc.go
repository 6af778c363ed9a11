// Package change reads and changes the settings in the platform's store.
//
// # One transaction
//
// A change of any number of paths, up to [MaxPaths], is one compare-and-swap
// transaction. Beside the paths it moves the head, a pointer to the newest change,
// and writes a [Record] of who changed which paths and when. Because every change
// moves the head, changes have one order, and what was checked before a change
// still holds when it takes effect.
//
// # Conflicts
//
// Operators that change different paths don't disturb each other: a change that
// lost the race for the head is checked again and repeated. A change is a
// [ConflictError] if a path that it touches has changed since it was read, or
// since the revision that the operator names as base.
//
// # Lost answers
//
// When no answer comes, the same transaction is sent again. It can take effect
// only once, because it requires the head it was made for. If it meets a conflict
// then, the chain of records tells whether an earlier sending has taken effect.
// The chain is followed from the head, so that reads of old states mislead
// nobody. Only when the store stays silent is the outcome an [UnknownError].
package change
