package place_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and number of cases for property tests. Flags on the
// command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20130401", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
