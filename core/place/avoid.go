package place

import "slices"

// avoided reports whether the request excludes the worker, for instance because
// the task failed there.
func avoided(vm string, avoid []string) bool { return slices.Contains(avoid, vm) }
