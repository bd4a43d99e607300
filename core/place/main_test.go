package place_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of cases of property tests, unless the
// command line sets them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20130401", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
