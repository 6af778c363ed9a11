// Package examples holds complete settings for two deployments, one directory
// each. The path of a file below it, without .jsonc, is the path of the setting:
// coltsfootloft config apply examples/caroni writes them all. The directory hosts
// holds process settings.
package examples

import "embed"

// Files are the settings of all examples.
//
//go:embed caroni quishpe hosts
var Files embed.FS
