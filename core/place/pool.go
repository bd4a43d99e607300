package place

import "slices"

// poolRefuses tells whether the worker is outside the request's pool.
func poolRefuses(w *State, pool string) bool { return !slices.Contains(w.Pools, pool) }
