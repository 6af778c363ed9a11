package host

import (
	"sync/atomic"
	"time"

	"coltsfootloft/core/conf"
)

// current holds the settings in force. The zero value holds empty ones.
type current struct {
	state atomic.Pointer[inForce]
}

// inForce is a revision of the settings.
type inForce struct {
	fleet    *conf.Fleet
	problems conf.Problems
	since    time.Time
}

func (c *current) load() *inForce {
	if s := c.state.Load(); s != nil {
		return s
	}
	empty, _ := conf.Parse(nil)
	return &inForce{fleet: empty}
}

// Fleet returns the settings in force.
func (c *current) Fleet() *conf.Fleet { return c.load().fleet }

// problems returns what could not be brought into force.
func (c *current) problems() conf.Problems { return c.load().problems }

// since is when the revision came into force.
func (c *current) since() time.Time { return c.load().since }

// take brings entries into force, keeping the last good value where one is bad.
func (c *current) take(revision uint64, entries map[string][]byte, now time.Time) (*conf.Fleet, conf.Problems) {
	f, problems := conf.Merge(c.Fleet(), entries)
	f = f.At(revision)
	c.state.Store(&inForce{
		fleet:    f,
		problems: problems,
		since:    now,
	})
	return f, problems
}
