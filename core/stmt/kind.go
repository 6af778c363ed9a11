package stmt

// Kind is how a statement is routed.
type Kind uint8

// The kinds of statement.
const (
	// Read can run on a replica, unless that refuses it as writing.
	Read Kind = iota
	// Write goes to the primary; everything not known otherwise is one.
	Write
	// Begin opens a transaction that may write.
	Begin
	// BeginReadOnly opens a transaction that may run on a replica.
	BeginReadOnly
	// Commit ends a transaction.
	Commit
	// Rollback ends a transaction without effect.
	Rollback
	// Savepoint marks, releases or rolls back to a savepoint.
	Savepoint
	// Set changes a setting of the session.
	Set
	// SetLocal changes a setting of the transaction.
	SetLocal
	// Reset undoes a Set.
	Reset
	// Discard undoes every Set.
	Discard
	// Show reads a setting.
	Show
	// Copy streams rows, which is not carried.
	Copy
	// Unsupported needs a server session of its own, which is not carried.
	Unsupported
)

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
