package place

import "slices"

// notInPool reports whether the worker does not belong to the pool.
func notInPool(w *WorkerState, pool string) bool { return !slices.Contains(w.Pools, pool) }
