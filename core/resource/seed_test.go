package resource

import "flag"

// A fixed seed makes the results of the property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }
