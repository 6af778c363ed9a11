package elect

import (
	"maps"
	"slices"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

// best chooses the database to promote from readings of a majority that were
// taken after fencing, and returns the reason. The greatest position among them
// covers every acknowledged write. So does the greatest position of any smaller
// set that is still a majority, which allows databases in avoid to be passed
// over. Among equal positions the current primary wins, then the first by name.
func best(size quorum.Size, fenced map[string]coltsfootloft.Reading, avoid map[string]bool) (name, reason string) {
	preferred := maps.Clone(fenced)
	maps.DeleteFunc(preferred, func(n string, _ coltsfootloft.Reading) bool { return avoid[n] })
	if len(preferred) >= size.Majority() {
		return greatest(preferred), "greatest position of a majority"
	}
	overall := greatest(fenced)
	if len(preferred) == 0 {
		return overall, "greatest position; no other database answered"
	}
	alternative := greatest(preferred)
	if preferred[alternative].Received() == fenced[overall].Received() {
		return alternative, "holds all that the avoided database holds"
	}
	return overall, "greatest position; no other choice is safe"
}

// greatest returns the name of the database with the greatest received position.
func greatest(readings map[string]coltsfootloft.Reading) string {
	names := slices.Sorted(maps.Keys(readings))
	return slices.MaxFunc(names, func(a, b string) int {
		x, y := readings[a], readings[b]
		if c := x.Received().Compare(y.Received()); c != 0 {
			return c
		}
		return int(x.Role()) - int(y.Role())
	})
}
