package quorum_test

import (
	"fmt"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

// A write is held durably once two of three databases have reported both fence
// term and log term equal to the term of the write.
func ExampleLedger() {
	term := coltsfootloft.NewTerm(4, "host7")
	write := coltsfootloft.NewPosition(term, 120)
	later := coltsfootloft.NewPosition(term, 121)
	l := quorum.NewLedger(3)
	l.Note("a", coltsfootloft.NewReading(coltsfootloft.Primary, term, later, later))
	fmt.Println(l.HeldByMajority(write))
	l.Note("b", coltsfootloft.NewReading(coltsfootloft.Replica, term, write, write))
	fmt.Println(l.HeldByMajority(write), l.HeldByMajority(later), l.MajorityOffset(term))
	// Output:
	// false
	// true false 120
}
