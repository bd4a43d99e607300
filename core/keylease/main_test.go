package keylease

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests so that every run checks the same
// cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260", "rapid.nofailfile": "true", "rapid.steps": "120", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
