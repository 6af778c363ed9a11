// Package logs makes the logger of a process: logr on top of zap, as text or JSON.
//
// One event is one line. Its message is constant; what varies stands in named
// values. Errors are written by their message alone, without a stack. Names and
// reasons may be logged, but never keys, secrets, SQL or values from it; a field
// with one of the [Hidden] names is written without its value, should one ever be
// passed.
package logs

import (
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Hidden are the names of fields whose values are never written.
var Hidden = []string{"password", "secret", "key_secret", "verifier", "sql", "query", "parameters"}

const hiddenValue = "(hidden)"

// Maker makes a logger. Its fields are set before Logger is called.
type Maker struct {
	// Output takes the lines. Writes are serialised.
	Output io.Writer
	// Format is text or json; text if empty.
	Format string
	// Level is error, info or debug; info if empty. Events logged at V(1) and
	// above are debug.
	Level string
	// Now tells the time; time.Now if nil.
	Now func() time.Time
}

// Logger returns the logger. It fails on a format or level that is not known.
func (m Maker) Logger() (logr.Logger, error) {
	level, ok := map[string]zapcore.Level{
		"":      zapcore.InfoLevel,
		"error": zapcore.ErrorLevel,
		"info":  zapcore.InfoLevel,
		"debug": zapcore.DebugLevel,
	}[m.Level]
	if !ok {
		return logr.Logger{}, errors.Errorf("log level %q; accepted: error, info, debug", m.Level)
	}
	var e zapcore.Encoder
	switch m.Format {
	case "json":
		e = zapcore.NewJSONEncoder(encoding())
	case "", "text":
		c := encoding()
		c.ConsoleSeparator = " "
		c.EncodeLevel = zapcore.CapitalLevelEncoder
		e = zapcore.NewConsoleEncoder(c)
	default:
		return logr.Logger{}, errors.Errorf("log format %q; accepted: text, json", m.Format)
	}
	core := zapcore.NewCore(e, zapcore.Lock(zapcore.AddSync(m.Output)), level)
	options := []zap.Option{zap.WithClock(clock{now: m.Now})}
	return zapr.NewLogger(zap.New(lines{Core: core}, options...)), nil
}

func encoding() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		NameKey:        "duty",
		MessageKey:     "event",
		LineEnding:     "\n",
		EncodeTime:     zapcore.ISO8601TimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
}

// lines keeps each event on one line and hides what must not be written.
type lines struct{ zapcore.Core }

// With adds fields to every event.
func (l lines) With(fields []zapcore.Field) zapcore.Core {
	return lines{Core: l.Core.With(clean(fields))}
}

// Check says whether an event of this level is written.
func (l lines) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(e.Level) {
		return c.AddCore(e, l)
	}
	return c
}

// Write writes one event.
func (l lines) Write(e zapcore.Entry, fields []zapcore.Field) error {
	e.Message = strings.ReplaceAll(e.Message, "\n", " ")
	return l.Core.Write(e, clean(fields))
}

func clean(fields []zapcore.Field) []zapcore.Field {
	r := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		err, isError := f.Interface.(error)
		switch {
		case slices.Contains(Hidden, f.Key):
			f = zap.String(f.Key, hiddenValue)
		case f.Type == zapcore.ErrorType && isError:
			f = zap.String(f.Key, err.Error())
		}
		r[i] = f
	}
	return r
}

// clock tells zap the time.
type clock struct{ now func() time.Time }

// Now is the time of an event.
func (c clock) Now() time.Time {
	if c.now == nil {
		return time.Now()
	}
	return c.now()
}

// NewTicker is asked for by zap's interface; nothing here ticks.
func (c clock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }
