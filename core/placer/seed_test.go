package placer

import "flag"

// A fixed seed makes the property tests deterministic.
func init() { _ = flag.Set("rapid.seed", "1") }
