package conf

import (
	"strings"

	"coltsfootloft"
)

// StorePrefix opens the store's key of each setting; the settings path follows.
const StorePrefix = "coltsfootloft/settings/"

// Collect arranges entries of the store by settings path, and returns the
// revision that they show: the highest version among them. Entries outside
// [StorePrefix] are passed over. Every change made by the command line moves the
// entry at [HeadPath], so removals raise the revision too.
func Collect(list []coltsfootloft.Entry) (entries map[string][]byte, revision uint64) {
	entries = make(map[string][]byte, len(list))
	for _, e := range list {
		path, ok := strings.CutPrefix(e.Key(), StorePrefix)
		if !ok {
			continue
		}
		entries[path] = e.Value()
		revision = max(revision, e.Version())
	}
	return entries, revision
}
