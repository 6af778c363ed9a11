package elect_test

import (
	"fmt"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/elect"
)

// A primary that has not answered for a second is acted on at once by the host of
// rank 0, and a little later by the host of rank 1.
func ExampleAssess() {
	term := coltsfootloft.NewTerm(4, "host7")
	p := coltsfootloft.NewPosition(term, 120)
	replica := coltsfootloft.NewReading(coltsfootloft.Replica, term, p, p).WithPrimary("a")
	need := elect.Assess(elect.View{
		Databases: []string{"a", "b", "c"},
		Readings: map[string]coltsfootloft.Reading{
			"a": coltsfootloft.NewReading(coltsfootloft.Primary, term, p, p),
			"b": replica,
			"c": replica,
		},
		Silence: map[string]time.Duration{
			"a": time.Second,
			"b": 0,
			"c": 0,
		},
	})
	var first, second elect.Suspicion
	now := time.Now()
	fmt.Println(need.Kind(), need.Primary())
	fmt.Println(first.Due(now, need, 0), second.Due(now, need, 1))
	// Output:
	// primary silent a
	// true false
}
