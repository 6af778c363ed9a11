package conf

import (
	"strings"

	"coltsfootloft"
)

// StorePrefix starts the store key of each setting and is followed by the settings
// path.
const StorePrefix = "coltsfootloft/settings/"

// Collect returns the settings in a list of store entries, by settings path, and their
// revision, which is the highest version among them. Entries outside [StorePrefix]
// are ignored. Every change made by the command line also updates the entry at
// [HeadPath], so removals raise the revision too.
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
