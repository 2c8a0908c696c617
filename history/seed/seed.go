// Package seed sets a fixed seed for the property tests of every test binary that
// imports it, so that each run draws the same cases. The flag -rapid.seed of the test
// binary overrides it.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag -rapid.seed
)

// defaultSeed is the seed of runs without the flag -rapid.seed.
const defaultSeed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
}
