package coltsfootloft

// eraShift is the number of low bits of a revision that hold the store's own number.
// Tokens made of revisions stay below 2^53, which all JSON decoders represent, up to era
// 511.
const eraShift = 44

// MaxNumber is the highest number of a change that a revision can hold.
const MaxNumber = 1<<eraShift - 1

// MaxEra is the largest era that a revision can hold.
const MaxEra = 1<<(64-eraShift) - 1

// FirstEra is the era of a store that never came back from a backup.
const FirstEra = 1

// RevisionAt returns the revision of the change that a store counts as number in an era.
// An era begins when the store comes back from a backup: it then gives out numbers again,
// but every revision of an era is greater than all of those before it. It is 0, which no change
// has, if the era is above [MaxEra] or the number above [MaxNumber].
func RevisionAt(era, number uint64) uint64 {
	if era > MaxEra || number > MaxNumber {
		return 0
	}
	return era<<eraShift | number
}

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// NumberOf returns the number of a revision within its era.
func NumberOf(revision uint64) uint64 { return revision & MaxNumber }
