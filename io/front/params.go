package front

import "strings"

// params are reported to every caller at the start. Upstream connections are
// opened with the same values.
var params = [][2]string{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", "postgres"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"is_superuser", "off"},
}

// isDefault reports whether a startup parameter asks for what holds anyway.
func isDefault(name, value string) bool {
	for _, p := range params {
		if strings.EqualFold(p[0], name) {
			return strings.EqualFold(p[1], value)
		}
	}
	return false
}
