package conf

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// object is a JSON object while its fields are read one by one.
type object struct {
	doc         *document
	offset      int
	members     map[string]hujson.Value
	order       []member
	knownFields []string
}

type member struct {
	name   string
	offset int
}

// field describes one field of an object.
type field[T any] struct {
	name         string
	accepted     string
	defaultValue T
	required     bool
	secret       bool
	read         func(v hujson.Value) (T, bool)
}

// take reads a field. If it is missing or invalid, take returns the default, and
// reports the problem unless the field is optional and missing.
func take[T any](o *object, f field[T]) T {
	o.knownFields = append(o.knownFields, f.name)
	v, ok := o.members[f.name]
	if !ok {
		if f.required {
			o.doc.report(o.offset, "no "+strconv.Quote(f.name), strconv.Quote(f.name)+": "+f.accepted)
		}
		return f.defaultValue
	}
	t, ok := f.read(v)
	if !ok {
		found := describe(v)
		if f.secret {
			found = "something else"
		}
		o.doc.report(v.StartOffset, found+" as "+strconv.Quote(f.name), f.accepted)
		return f.defaultValue
	}
	return t
}

// reportUnknown reports the fields that were never read with take.
func (o *object) reportUnknown() {
	for _, m := range o.order {
		if slices.Contains(o.knownFields, m.name) {
			continue
		}
		o.doc.report(m.offset, "unknown field "+strconv.Quote(m.name), "the fields "+strings.Join(o.knownFields, ", "))
	}
}

// at returns the place of the value of a field, or of the object if the field is
// missing.
func (o *object) at(name string) place {
	if v, ok := o.members[name]; ok {
		return o.doc.place(v.StartOffset)
	}
	return o.doc.place(o.offset)
}

func (o *object) has(name string) bool {
	_, ok := o.members[name]
	return ok
}

func integer(name string, low, high int) field[int] {
	return field[int]{
		name:     name,
		accepted: fmt.Sprintf("a whole number from %d to %d", low, high),
		read: func(v hujson.Value) (int, bool) {
			l, ok := v.Value.(hujson.Literal)
			if !ok || l.Kind() != '0' {
				return 0, false
			}
			n, err := strconv.Atoi(string(l))
			return n, err == nil && n >= low && n <= high
		},
	}
}

func fraction(name string, low, high float64) field[float64] {
	return field[float64]{
		name:     name,
		accepted: fmt.Sprintf("a number from %g to %g", low, high),
		read: func(v hujson.Value) (float64, bool) {
			l, ok := v.Value.(hujson.Literal)
			if !ok || l.Kind() != '0' {
				return 0, false
			}
			n, err := strconv.ParseFloat(string(l), 64)
			return n, err == nil && n >= low && n <= high
		},
	}
}

func boolean(name string) field[bool] {
	return field[bool]{
		name:     name,
		accepted: "true or false",
		read: func(v hujson.Value) (bool, bool) {
			l, ok := v.Value.(hujson.Literal)
			if !ok || l.Kind() != 't' && l.Kind() != 'f' {
				return false, false
			}
			return l.Bool(), true
		},
	}
}

// text is a string field whose value is parsed and validated by a function.
func text[T any](name, accepted string, parse func(s string) (T, bool)) field[T] {
	return field[T]{
		name:     name,
		accepted: accepted,
		read: func(v hujson.Value) (T, bool) {
			var none T
			l, ok := v.Value.(hujson.Literal)
			if !ok || l.Kind() != '"' {
				return none, false
			}
			return parse(l.String())
		},
	}
}

func duration(name string, low, high time.Duration) field[time.Duration] {
	accepted := fmt.Sprintf("a time with its unit from %q to %q, such as \"1.5s\"", low, high)
	return text(name, accepted, func(s string) (time.Duration, bool) {
		d, err := time.ParseDuration(s)
		return d, err == nil && d >= low && d <= high
	})
}

func (f field[T]) require() field[T] {
	f.required = true
	return f
}

// hide keeps the value out of the text of problems.
func (f field[T]) hide() field[T] {
	f.secret = true
	return f
}

func (f field[T]) orDefault(value T) field[T] {
	f.defaultValue = value
	return f
}
