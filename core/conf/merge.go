package conf

import (
	"bytes"
	"strconv"
)

// value is the typed form of one settings value.
type value interface {
	// join checks what the value refers to and then adds it to the snapshot.
	join(f *Fleet) Problems
}

// parsed is a value that is well-formed on its own.
type parsed struct {
	source []byte
	value  value
}

// Parse reads all settings, arranged by path, into a snapshot. Values that are
// bad are left out of it and listed as problems.
func Parse(entries map[string][]byte) (*Fleet, Problems) {
	return Merge(nil, entries)
}

// Merge reads all settings, arranged by path, into a snapshot. Where a value is
// bad, the one in force in previous stays, if that is still right beside the
// others; otherwise it is left out. Problems lists all values that are bad.
// Previous may be nil.
func Merge(previous *Fleet, entries map[string][]byte) (*Fleet, Problems) {
	if previous == nil {
		previous = &Fleet{}
	}
	f := &Fleet{
		revision: previous.revision,
		defaults: standardDefaults(),
		teams:    make(map[string]map[string]bool),
		accounts: make(map[string]account),
		keys:     make(map[string]Key),
		routes:   make(map[string]Route),
		owners:   make(map[string]string),
		parsed:   make(map[string]parsed, len(entries)),
		rejected: make(map[string]bool),
	}
	var all Problems
	for _, l := range arrange(entries) {
		all = append(all, f.settle(l, entries[l.path], previous)...)
		if _, ok := f.parsed[l.path]; !ok {
			f.rejected[l.path] = true
		}
	}
	return f, all
}

// settle brings the value of one path into force, the new one if it is good and
// else the previous one.
func (f *Fleet) settle(l location, source []byte, previous *Fleet) Problems {
	old, had := previous.parsed[l.path]
	if had && bytes.Equal(old.source, source) {
		return f.join(l, old)
	}
	p, problems := parseValue(l, source)
	if len(problems) == 0 {
		problems = f.join(l, p)
	}
	if len(problems) > 0 && had {
		f.join(l, old)
	}
	return problems
}

// absent says why a name that something refers to is not in force.
func (f *Fleet) absent(under, name string) string {
	if f.rejected[under+"/"+name] {
		return strconv.Quote(name) + " whose value is bad"
	}
	return strconv.Quote(name) + " that is not set"
}

func (f *Fleet) join(l location, p parsed) Problems {
	problems := p.value.join(f)
	if len(problems) > 0 {
		return problems
	}
	f.parsed[l.path] = p
	return nil
}

// parseValue reads one value on its own.
func parseValue(l location, source []byte) (parsed, Problems) {
	d := &document{
		path:   l.path,
		source: bytes.Clone(source),
	}
	read := readers[l.kind]
	if read == nil {
		d.reportAt(place{path: l.path}, "a path that holds no setting", acceptedPaths)
		return parsed{}, d.problems
	}
	o := d.root()
	if o == nil {
		return parsed{}, d.problems
	}
	v := read(l, o)
	o.done()
	if len(d.problems) > 0 {
		return parsed{}, d.problems
	}
	return parsed{
		source: d.source,
		value:  v,
	}, nil
}

var readers = map[kind]func(l location, o *object) value{
	kindDefaults: parseDefaults,
	kindDomain:   parseDomain,
	kindGroup:    parseGroup,
	kindTeam:     parseTeam,
	kindAccount:  parseAccount,
	kindKey:      parseKey,
	kindRoute:    parseRoute,
}

// Entries returns the values that are in force, by path. They must not be
// changed.
func (f *Fleet) Entries() map[string][]byte {
	r := make(map[string][]byte, len(f.parsed))
	for p, v := range f.parsed {
		r[p] = v.source
	}
	return r
}
