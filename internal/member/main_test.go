package member_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run has the same result.
// To search for new failures, set -rapid.seed and -rapid.checks.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20260105") // cannot fail, since this is a number
	}
	os.Exit(m.Run())
}
