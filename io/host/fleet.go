package host

import (
	"sync/atomic"
	"time"

	"coltsfootloft/core/conf"
)

// currentSettings holds the fleet's settings in force. The zero value holds empty
// settings. It is safe for concurrent use.
type currentSettings struct {
	state atomic.Pointer[settingsState]
}

// settingsState is one revision of the settings, with the problems found in it.
type settingsState struct {
	fleet    *conf.Fleet
	problems conf.Problems
	since    time.Time
}

func (c *currentSettings) load() *settingsState {
	if s := c.state.Load(); s != nil {
		return s
	}
	empty, _ := conf.Parse(nil)
	return &settingsState{fleet: empty}
}

// Fleet returns the settings in force, empty ones before the first revision.
func (c *currentSettings) Fleet() *conf.Fleet { return c.load().fleet }

// problems returns the problems of entries that could not be brought into force.
func (c *currentSettings) problems() conf.Problems { return c.load().problems }

// since returns when the revision came into force.
func (c *currentSettings) since() time.Time { return c.load().since }

// apply brings entries into force. For an invalid entry it keeps the last valid
// value and returns a problem.
func (c *currentSettings) apply(revision uint64, entries map[string][]byte, now time.Time) (*conf.Fleet, conf.Problems) {
	f, problems := conf.Merge(c.Fleet(), entries)
	f = f.At(revision)
	c.state.Store(&settingsState{
		fleet:    f,
		problems: problems,
		since:    now,
	})
	return f, problems
}
