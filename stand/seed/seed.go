// Package seed fixes the seed of property tests, so that every run of a test has the
// same result. Tests import it for its side effect.
package seed

import (
	"flag"

	"pgregory.net/rapid"
)

// Value is the seed of all property tests.
const Value = "20261204"

// Generator keeps the import of rapid, whose flags must be registered before init
// sets the seed.
type Generator = rapid.T

func init() {
	if err := flag.Set("rapid.seed", Value); err != nil {
		panic(err)
	}
}
