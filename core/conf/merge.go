package conf

import (
	"bytes"
	"strconv"
)

// value is the typed form of one settings value.
type value interface {
	// addTo checks the references of the value to other settings and, if they are
	// right, adds it to the snapshot.
	addTo(f *Fleet) Problems
}

// parsed is a value that is valid on its own, with its source text.
type parsed struct {
	source []byte
	value  value
}

// Parse reads all settings, by path, into a snapshot. Invalid values are left out of
// it and reported as problems.
func Parse(entries map[string][]byte) (*Fleet, Problems) {
	return Merge(nil, entries)
}

// Merge reads all settings, by path, into a snapshot. For an invalid value, the value
// in effect in previous is kept if its references are still valid; otherwise the
// setting is left out. All invalid values are reported as problems. Previous may be
// nil.
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
	for _, l := range sortedLocations(entries) {
		all = append(all, f.apply(l, entries[l.path], previous)...)
		if _, ok := f.parsed[l.path]; !ok {
			f.rejected[l.path] = true
		}
	}
	return f, all
}

// apply adds the value of one path to the snapshot: the new one if it is valid, and
// otherwise the previous one.
func (f *Fleet) apply(l location, source []byte, previous *Fleet) Problems {
	old, hadOld := previous.parsed[l.path]
	if hadOld && bytes.Equal(old.source, source) {
		return f.add(l, old)
	}
	p, problems := parseValue(l, source)
	if len(problems) == 0 {
		problems = f.add(l, p)
	}
	if len(problems) > 0 && hadOld {
		f.add(l, old)
	}
	return problems
}

// describeMissing returns the text that explains why a name that a setting refers to is
// not in effect.
func (f *Fleet) describeMissing(parent, name string) string {
	if f.rejected[parent+"/"+name] {
		return strconv.Quote(name) + " whose value is bad"
	}
	return strconv.Quote(name) + " that is not set"
}

func (f *Fleet) add(l location, p parsed) Problems {
	problems := p.value.addTo(f)
	if len(problems) > 0 {
		return problems
	}
	f.parsed[l.path] = p
	return nil
}

// parseValue parses one value without checking its references.
func parseValue(l location, source []byte) (parsed, Problems) {
	d := &document{
		path:   l.path,
		source: bytes.Clone(source),
	}
	read := parsers[l.kind]
	if read == nil {
		d.reportAt(place{path: l.path}, "a path that holds no setting", acceptedPaths)
		return parsed{}, d.problems
	}
	o := d.root()
	if o == nil {
		return parsed{}, d.problems
	}
	v := read(l, o)
	o.reportUnknown()
	if len(d.problems) > 0 {
		return parsed{}, d.problems
	}
	return parsed{
		source: d.source,
		value:  v,
	}, nil
}

var parsers = map[kind]func(l location, o *object) value{
	kindDefaults: parseDefaults,
	kindDomain:   parseDomain,
	kindGroup:    parseGroup,
	kindTeam:     parseTeam,
	kindAccount:  parseAccount,
	kindKey:      parseKey,
	kindRoute:    parseRoute,
}

// Entries returns the source texts of the values that are in effect, by path. They
// must not be modified.
func (f *Fleet) Entries() map[string][]byte {
	r := make(map[string][]byte, len(f.parsed))
	for p, v := range f.parsed {
		r[p] = v.source
	}
	return r
}
