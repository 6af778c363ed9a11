package conf

import (
	"net/netip"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"
)

const (
	minRate = 0.01
	maxRate = 10_000_000
)

const (
	acceptedName    = "a name of 1 to 63 lower-case letters, digits, - and _, the first a letter or digit"
	acceptedRate    = "a rate with its unit from \"0.01/s\" to \"10000000/s\", such as \"200/s\" or \"90/min\""
	acceptedAddress = "an IP number and port, such as \"10.0.0.1:5432\""
)

var (
	nameForm  = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)
	rateForm  = regexp.MustCompile(`^([0-9]{1,12}(?:\.[0-9]{1,6})?)/(s|min|h)$`)
	sizeForm  = regexp.MustCompile(`^([0-9]{1,9})(B|KiB|MiB|GiB)$`)
	tableForm = regexp.MustCompile(`^([a-z_][a-z0-9_]{0,62}\.)?[a-z_][a-z0-9_]{0,62}$`)
)

func parseName(s string) (string, bool) { return s, nameForm.MatchString(s) }

// parseRate returns a rate in statements per second.
func parseRate(s string) (float64, bool) {
	m := rateForm.FindStringSubmatch(s)
	if m == nil {
		return 0, false
	}
	n, err := strconv.ParseFloat(m[1], 64)
	if err != nil {
		return 0, false
	}
	switch m[2] {
	case "min":
		n /= 60
	case "h":
		n /= 3600
	}
	return n, n >= minRate && n <= maxRate
}

// parseSize returns a size in bytes.
func parseSize(s string) (int, bool) {
	m := sizeForm.FindStringSubmatch(s)
	if m == nil {
		return 0, false
	}
	n, err := strconv.Atoi(m[1])
	if err != nil {
		return 0, false
	}
	shift := map[string]int{"B": 0, "KiB": 10, "MiB": 20, "GiB": 30}[m[2]]
	return n << shift, true
}

func parseAddress(s string) (string, bool) {
	a, err := netip.ParseAddrPort(s)
	return s, err == nil && a.Port() != 0
}

func nameField(field string) field[string] { return text(field, acceptedName, parseName) }

func addressField(name string) field[string] { return text(name, acceptedAddress, parseAddress) }

func rateField(name string) field[float64] { return text(name, acceptedRate, parseRate) }

func sizeField(name string, low, high string) field[int] {
	minimum, _ := parseSize(low)
	maximum, _ := parseSize(high)
	accepted := "a size with its unit from \"" + low + "\" to \"" + high + "\", such as \"" + high + "\""
	return text(name, accepted, func(s string) (int, bool) {
		n, ok := parseSize(s)
		return n, ok && n >= minimum && n <= maximum
	})
}

// nameList is a field with a list of distinct names; it records the place of each.
func nameList(o *object, name string) field[[]reference] {
	return field[[]reference]{
		name:     name,
		accepted: "a list of distinct names, each " + acceptedName,
		read: func(v hujson.Value) ([]reference, bool) {
			a, ok := v.Value.(*hujson.Array)
			if !ok {
				return nil, false
			}
			seen := make(map[string]bool, len(a.Elements))
			list := make([]reference, 0, len(a.Elements))
			for _, e := range a.Elements {
				l, ok := e.Value.(hujson.Literal)
				if !ok || l.Kind() != '"' || !nameForm.MatchString(l.String()) || seen[l.String()] {
					return nil, false
				}
				seen[l.String()] = true
				list = append(list, reference{
					name: l.String(),
					at:   o.doc.place(e.StartOffset),
				})
			}
			return list, true
		},
	}
}

// reference is the name of another setting, and the place of that reference.
type reference struct {
	name string
	at   place
}

// takeReference reads a field that names another setting.
func takeReference(o *object, f field[string]) reference {
	return reference{
		name: take(o, f),
		at:   o.at(f.name),
	}
}
