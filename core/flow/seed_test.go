package flow

import "flag"

// A fixed seed gives the property tests the same verdict on every run.
func init() { _ = flag.Set("rapid.seed", "1") }
