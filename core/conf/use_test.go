package conf

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// validatedOnly are settings whose only effect is their validation.
var validatedOnly = []string{"Slots"}

// TestEverySettingIsRead checks that every setting is read outside of this package, so
// that none is without effect.
func TestEverySettingIsRead(t *testing.T) {
	var all strings.Builder
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		inside := strings.HasPrefix(path, "../../core/conf") || strings.HasPrefix(path, "../../io/cmds")
		if err != nil || d.IsDir() || inside || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		all.Write(b)
		return err
	})
	assert.NilError(t, err)
	source := all.String()
	for _, o := range []any{Defaults{}, Group{}, Domain{}, Route{}, &Host{}} {
		typ := reflect.TypeOf(o)
		for i := range typ.NumMethod() {
			name := typ.Method(i).Name
			used := strings.Contains(source, "."+name+"(")
			assert.Assert(t, used || strings.Contains(strings.Join(validatedOnly, " "), name), "%v.%s is not read", typ, name)
		}
	}
}
