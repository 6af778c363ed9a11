package stmt

// Kind is the class of a statement, which decides how it is routed.
type Kind uint8

// The kinds of statement.
const (
	// Read can run on a replica, unless the replica refuses it as a write.
	Read Kind = iota
	// Write goes to the primary. Every statement of no other kind is a Write.
	Write
	// Begin opens a transaction that may write.
	Begin
	// BeginReadOnly opens a transaction that may run on a replica.
	BeginReadOnly
	// Commit ends a transaction and makes its changes permanent.
	Commit
	// Rollback ends a transaction and discards its changes.
	Rollback
	// Savepoint sets, releases or rolls back to a savepoint.
	Savepoint
	// Set changes a setting of the session.
	Set
	// SetLocal changes a setting of the transaction.
	SetLocal
	// Reset returns a setting to its default.
	Reset
	// Discard resets the whole state of the session.
	Discard
	// Show reads a setting.
	Show
	// Copy streams rows, which the proxy does not support.
	Copy
	// Unsupported needs a server session to itself, which the proxy does not support.
	Unsupported
)

// changesSettings reports whether a statement of the kind changes settings of the session.
func (k Kind) changesSettings() bool { return k == Set || k == Reset || k == Discard }

// String returns the lower-case name of the kind.
func (k Kind) String() string {
	names := [...]string{
		Read:          "read",
		Write:         "write",
		Begin:         "begin",
		BeginReadOnly: "begin read only",
		Commit:        "commit",
		Rollback:      "rollback",
		Savepoint:     "savepoint",
		Set:           "set",
		SetLocal:      "set local",
		Reset:         "reset",
		Discard:       "discard",
		Show:          "show",
		Copy:          "copy",
		Unsupported:   "unsupported",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid kind"
}
