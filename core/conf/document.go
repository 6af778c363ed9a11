package conf

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxValue is the maximum size in bytes of one value in the platform's store.
const maxValue = 1 << 20

// document is one settings value while it is parsed, with the problems found so far.
type document struct {
	path     string
	source   []byte
	problems Problems
}

// root parses the document and returns its top-level object, or nil if it has
// none.
func (d *document) root() *object {
	if len(d.source) > maxValue {
		d.reportAt(place{path: d.path}, fmt.Sprintf("a value of %d bytes", len(d.source)),
			fmt.Sprintf("at most %d bytes", maxValue))
		return nil
	}
	if !utf8.Valid(d.source) {
		d.reportAt(place{path: d.path}, "bytes that are not UTF-8", "JSON with comments in UTF-8")
		return nil
	}
	v, err := hujson.Parse(d.source)
	if err != nil {
		// The value may end in a line comment without a line feed, which the parser
		// rejects.
		var again error
		if v, again = hujson.Parse(append(bytes.Clone(d.source), '\n')); again != nil {
			d.reportSyntax(err)
			return nil
		}
	}
	return d.object(v)
}

func (d *document) reportSyntax(err error) {
	var line, column int
	text := err.Error()
	if n, _ := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); n == 2 {
		_, text, _ = strings.Cut(text, ": ")
		_, text, _ = strings.Cut(text, ": ")
	}
	at := place{
		path:   d.path,
		line:   line,
		column: d.characterColumn(line, column),
	}
	d.reportAt(at, "broken syntax ("+text+")", "JSON with comments")
}

// characterColumn converts a column in bytes to one in characters.
func (d *document) characterColumn(line, column int) int {
	rest := d.source
	for range line - 1 {
		_, rest, _ = bytes.Cut(rest, []byte("\n"))
	}
	return 1 + utf8.RuneCount(rest[:min(max(column-1, 0), len(rest))])
}

// place returns the line and column of the byte at offset.
func (d *document) place(offset int) place {
	before := d.source[:offset]
	last := bytes.LastIndexByte(before, '\n')
	return place{
		path:   d.path,
		line:   1 + bytes.Count(before, []byte("\n")),
		column: 1 + utf8.RuneCount(before[last+1:]),
	}
}

func (d *document) report(offset int, found, accepted string) {
	d.reportAt(d.place(offset), found, accepted)
}

func (d *document) reportAt(at place, found, accepted string) {
	d.problems = append(d.problems, at.problem(found, accepted))
}

// object returns v as an object and reports duplicate names. It returns nil if v is
// something else.
func (d *document) object(v hujson.Value) *object {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(v.StartOffset, describe(v), "an object")
		return nil
	}
	r := &object{
		doc:     d,
		offset:  v.StartOffset,
		members: make(map[string]hujson.Value, len(o.Members)),
	}
	for _, m := range o.Members {
		name := literal(m.Name)
		if _, duplicate := r.members[name]; duplicate {
			d.report(m.Name.StartOffset, "a second "+strconv.Quote(name), "each field once")
			continue
		}
		r.members[name] = m.Value
		r.order = append(r.order, member{
			name:   name,
			offset: m.Name.StartOffset,
		})
	}
	return r
}

// describe returns the text for a value in a problem.
func describe(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	}
	const maxLength = 60
	l, _ := v.Value.(hujson.Literal)
	s := string(l)
	if len(s) > maxLength {
		return strings.ToValidUTF8(s[:maxLength], "") + "…"
	}
	return s
}

func literal(v hujson.Value) string {
	l, _ := v.Value.(hujson.Literal)
	return l.String()
}
