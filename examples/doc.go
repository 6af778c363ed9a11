// Package examples holds complete settings for two deployments, each in its own
// directory. The path of a file in that directory, without .jsonc, is the path of the
// setting; coltsfootloft config apply examples/caroni writes them all. The directory
// hosts holds process settings of entry hosts.
package examples

import "embed"

// Files holds the settings of all examples.
//
//go:embed caroni quishpe hosts
var Files embed.FS
