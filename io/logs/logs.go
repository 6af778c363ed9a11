// Package logs creates the logger of a process: logr on top of zap, as text or JSON.
//
// Each event is one line with a constant message; variable data goes into named
// fields. Errors are written as their message, without a stack trace. Names and
// reasons may be logged, but never keys, secrets, SQL or values from it. As a
// safeguard, the value of a field named in [RedactedFields] is never written. Callers
// choose some values, such as ids, so long ones are truncated.
//
// [AsyncWriter] keeps a slow output from blocking the process: it writes lines in
// the background and drops those that don't fit into its queue.
package logs

import (
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// RedactedFields lists the names of fields whose values are never written.
var RedactedFields = []string{"password", "secret", "key_secret", "verifier", "sql", "query", "parameters"}

const (
	redactedValue = "(hidden)"
	// maxValue is the length in bytes at which a value is truncated.
	maxValue = 1024
)

// Config holds the settings of a logger. Its fields must be set before Logger is
// called.
type Config struct {
	// Output receives the lines. Writes are serialised.
	Output io.Writer
	// Format is text or json; empty means text.
	Format string
	// Level is error, info or debug; empty means info. Events logged at V(1) and
	// above are debug.
	Level string
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Logger returns the logger. It returns an error if the format or level is unknown.
func (m Config) Logger() (logr.Logger, error) {
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
		e = zapcore.NewJSONEncoder(encoderConfig())
	case "", "text":
		c := encoderConfig()
		c.ConsoleSeparator = " "
		c.EncodeLevel = zapcore.CapitalLevelEncoder
		e = zapcore.NewConsoleEncoder(c)
	default:
		return logr.Logger{}, errors.Errorf("log format %q; accepted: text, json", m.Format)
	}
	core := zapcore.NewCore(e, zapcore.Lock(zapcore.AddSync(m.Output)), level)
	options := []zap.Option{zap.WithClock(clock{now: m.Now})}
	return zapr.NewLogger(zap.New(lineCore{Core: core}, options...)), nil
}

func encoderConfig() zapcore.EncoderConfig {
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

// lineCore writes each event on one line and redacts fields that must not be written.
type lineCore struct{ zapcore.Core }

// With returns a core that adds the fields to every event.
func (l lineCore) With(fields []zapcore.Field) zapcore.Core {
	return lineCore{Core: l.Core.With(redact(fields))}
}

// Check adds this core to the checked entry if events of this level are written.
func (l lineCore) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(e.Level) {
		return c.AddCore(e, l)
	}
	return c
}

// Write writes one event.
func (l lineCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	e.Message = strings.ReplaceAll(e.Message, "\n", " ")
	return l.Core.Write(e, redact(fields))
}

// redact replaces the values of [RedactedFields], and errors by their message. It
// truncates long strings.
func redact(fields []zapcore.Field) []zapcore.Field {
	r := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		err, isError := f.Interface.(error)
		switch {
		case slices.Contains(RedactedFields, f.Key):
			f = zap.String(f.Key, redactedValue)
		case f.Type == zapcore.ErrorType && isError:
			f = zap.String(f.Key, truncate(err.Error()))
		case f.Type == zapcore.StringType:
			f.String = truncate(f.String)
		}
		r[i] = f
	}
	return r
}

// truncate returns at most maxValue bytes of s, and says how many s has.
func truncate(s string) string {
	if len(s) <= maxValue {
		return s
	}
	return strings.ToValidUTF8(s[:maxValue], "") + "... (" + strconv.Itoa(maxValue) + " of " + strconv.Itoa(len(s)) + " bytes)"
}

// clock is the time source of zap.
type clock struct{ now func() time.Time }

// Now returns the time of an event.
func (c clock) Now() time.Time {
	if c.now == nil {
		return time.Now()
	}
	return c.now()
}

// NewTicker is required by zap's interface and not used here.
func (c clock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }
