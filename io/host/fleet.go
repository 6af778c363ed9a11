package host

import (
	"sync/atomic"

	"coltsfootloft/core/conf"
)

// current holds the settings in force. The zero value holds empty ones.
type current struct {
	fleet atomic.Pointer[conf.Fleet]
}

// Fleet returns the settings in force.
func (c *current) Fleet() *conf.Fleet {
	if f := c.fleet.Load(); f != nil {
		return f
	}
	empty, _ := conf.Parse(nil)
	return empty
}

// take brings entries into force, keeping the last good value where one is bad.
func (c *current) take(revision uint64, entries map[string][]byte) (*conf.Fleet, conf.Problems) {
	f, problems := conf.Merge(c.Fleet(), entries)
	f = f.At(revision)
	c.fleet.Store(f)
	return f, problems
}
