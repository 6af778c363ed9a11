package logs_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/logs"
)

var epoch = func() time.Time { return time.Unix(0, 0).UTC() }

func ExampleConfig() {
	log, err := logs.Config{Output: os.Stdout, Now: epoch}.Logger()
	if err != nil {
		panic(err)
	}
	log.WithName("elect").Info("promoted", "group", "orders", "term", "3@e1", "took", 80*time.Millisecond)
	// Output: 1970-01-01T00:00:00.000Z INFO elect promoted {"group": "orders", "term": "3@e1", "took": "80ms"}
}

func TestOneEventIsOneLine(t *testing.T) {
	for _, c := range []struct {
		format, level, want string
	}{
		{"json", "", `{"level":"info","time":"1970-01-01T00:00:00.000Z","event":"started again","host":"e1","password":"(hidden)"}
{"level":"error","time":"1970-01-01T00:00:00.000Z","event":"store","host":"e1","sql":"(hidden)","error":"list: down\nfor long"}
`},
		{"text", "error", `1970-01-01T00:00:00.000Z ERROR store {"host": "e1", "sql": "(hidden)", "error": "list: down\nfor long"}
`},
		{"text", "debug", `1970-01-01T00:00:00.000Z INFO started again {"host": "e1", "password": "(hidden)"}
1970-01-01T00:00:00.000Z ERROR store {"host": "e1", "sql": "(hidden)", "error": "list: down\nfor long"}
1970-01-01T00:00:00.000Z DEBUG detail {"host": "e1", "n": 3}
`},
	} {
		var b bytes.Buffer
		log, err := logs.Config{
			Output: &b,
			Format: c.format,
			Level:  c.level,
			Now:    epoch,
		}.Logger()
		assert.NilError(t, err)
		log = log.WithValues("host", "e1")
		log.Info("started\nagain", "password", "hunter2")
		log.Error(errors.Wrap(errors.New("down\nfor long"), "list"), "store", "sql", "SELECT 'x'")
		log.V(1).Info("detail", "n", 3)
		assert.Equal(t, b.String(), c.want)
	}
}

func TestUnknownFormatAndLevel(t *testing.T) {
	_, err := logs.Config{Format: "xml"}.Logger()
	assert.ErrorContains(t, err, "accepted: text, json")
	_, err = logs.Config{Level: "loud"}.Logger()
	assert.ErrorContains(t, err, "accepted: error, info, debug")
}

func BenchmarkDebugOff(b *testing.B) {
	log, _ := logs.Config{Output: os.Stdout}.Logger()
	b.ReportAllocs()
	for b.Loop() {
		log.V(1).Info("detail", "n", 3)
	}
}
