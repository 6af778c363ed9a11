package front

import "strings"

// reportedParams are the parameters that every caller is told at the start. Upstream
// connections are opened with the same values.
var reportedParams = [][2]string{
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

// isDefault reports whether a startup parameter has the value that applies anyway.
func isDefault(name, value string) bool {
	for _, p := range reportedParams {
		if strings.EqualFold(p[0], name) {
			return strings.EqualFold(p[1], value)
		}
	}
	return false
}
