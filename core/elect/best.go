package elect

import (
	"maps"
	"slices"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

// best chooses what to promote from readings of a majority that were taken after
// fencing, and says why. The greatest position holds every acknowledged write; so
// does the greatest of any majority among them, which is how a database in avoid
// is passed over. Among equals the current primary stays, else the first by name.
func best(size quorum.Size, fenced map[string]coltsfootloft.Reading, avoid map[string]bool) (name, why string) {
	wanted := maps.Clone(fenced)
	maps.DeleteFunc(wanted, func(n string, _ coltsfootloft.Reading) bool { return avoid[n] })
	if len(wanted) >= size.Majority() {
		return greatest(wanted), "greatest position of a majority"
	}
	all := greatest(fenced)
	if len(wanted) == 0 {
		return all, "greatest position; no other database answered"
	}
	other := greatest(wanted)
	if wanted[other].Received() == fenced[all].Received() {
		return other, "holds all that the avoided database holds"
	}
	return all, "greatest position; no other choice is safe"
}

// greatest returns the name of the reading with the greatest received position.
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
