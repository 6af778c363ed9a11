package token

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft"
	_ "coltsfootloft/stand/seed"
)

func ExampleToken() {
	t := Token{}
	t = t.Advance("news", coltsfootloft.NewPosition(coltsfootloft.NewTerm(3, "host-a"), 17))
	t = t.Advance("news", coltsfootloft.NewPosition(coltsfootloft.NewTerm(2, "host-b"), 99))
	fmt.Println(t)
	// Output: news=3@host-a:17
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := Token{}
		for range rapid.IntRange(0, 4).Draw(t, "entries") {
			g := rapid.StringMatching(`[a-z][a-z0-9-]{0,8}`).Draw(t, "group")
			p := rapid.StringMatching(`[a-z0-9#.-]{1,8}`).Draw(t, "proposer")
			term := coltsfootloft.NewTerm(rapid.Uint64().Draw(t, "counter"), p)
			k = k.Advance(g, coltsfootloft.NewPosition(term, rapid.Uint64().Draw(t, "offset")))
		}
		got, err := Parse(k.String())
		assert.NilError(t, err)
		assert.Equal(t, got.String(), k.String())
	})
}

func FuzzParse(f *testing.F) {
	f.Add("news=3@host-a:17")
	f.Add("=:")
	f.Fuzz(func(t *testing.T, s string) {
		k, err := Parse(s)
		if err != nil {
			return
		}
		again, err := Parse(k.String())
		assert.NilError(t, err)
		assert.Equal(t, again.String(), k.String())
	})
}
