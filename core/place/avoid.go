package place

import "slices"

// avoidRefuses tells whether the request excludes the worker, for instance
// because the task failed there.
func avoidRefuses(vm string, avoid []string) bool { return slices.Contains(avoid, vm) }
