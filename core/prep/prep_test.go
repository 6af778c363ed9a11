package prep

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft"
	_ "coltsfootloft/stand/seed"
)

// database applies commands to its state as a real database does.
type database struct {
	values   map[string]string
	prepared map[string]Shape
}

func (d *database) run(commands []coltsfootloft.Command) {
	for _, c := range commands {
		switch c.Kind {
		case coltsfootloft.CommandReset:
			d.values = map[string]string{}
			d.prepared = map[string]Shape{}
		case coltsfootloft.CommandSet:
			d.values[c.Name] = c.Detail
		case coltsfootloft.CommandPrepare:
			d.prepared[c.Name] = Shape{
				Writes: c.Writes,
				Text:   c.Detail,
			}
		default:
		}
	}
}

// sizeOf returns the size of values and prepared statements.
func sizeOf(values map[string]string, prepared map[string]Shape) int {
	size := 0
	for n, v := range values {
		size += EntrySize(n, v)
	}
	for n, s := range prepared {
		size += EntrySize(n, s.Text)
	}
	return size
}

// TestConnectionMatchesSession guards against state that leaks between
// sessions, and against sizes that part from it. Random sessions borrow one connection in
// turn; each must find exactly its own values, and its shape under the returned name.
func TestConnectionMatchesSession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sessions := make([]SessionState, 4)
		var held ConnState
		d := &database{
			values:   map[string]string{},
			prepared: map[string]Shape{},
		}
		for range 60 {
			w := &sessions[rapid.IntRange(0, 3).Draw(t, "session")]
			n := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "name"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				w.Set(n, fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "value")))
			case 1:
				w.Prepare(n, Shape{
					Writes: rapid.Bool().Draw(t, "writes"),
					Text:   fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "shape")),
				})
			case 2:
				w.Deallocate(n)
			}
			s, ok := w.Shape(n)
			var wanted *Shape
			if ok {
				wanted = &s
			}
			commands, name := held.Align(w, wanted)
			d.run(commands)
			assert.Equal(t, w.Size(), sizeOf(w.values, w.prepared))
			assert.Equal(t, held.Size(), sizeOf(d.values, d.prepared))
			assert.Assert(t, maps.Equal(d.values, w.Values()) || len(d.values) == 0 && len(w.Values()) == 0)
			if ok {
				assert.Equal(t, d.prepared[name], s)
			}
			again, _ := held.Align(w, wanted)
			assert.Equal(t, len(again), 0, "an aligned connection needs nothing")
		}
	})
}
