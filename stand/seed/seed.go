// Package seed fixes the seed of property tests, so that every run of a test
// reaches the same verdict. Tests import it for its effect.
package seed

import (
	"flag"

	"pgregory.net/rapid"
)

// Value is the seed of every property test.
const Value = "20261204"

// Generator keeps the import of rapid, whose flags must be registered first.
type Generator = rapid.T

func init() {
	if err := flag.Set("rapid.seed", Value); err != nil {
		panic(err)
	}
}
