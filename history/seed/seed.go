// Package seed fixes the seed of property tests that import it, so that they
// give the same verdict in each run. The flag -rapid.seed sets another one.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

const fixed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", fixed); err != nil {
		panic(err)
	}
}
