package place

import "slices"

// lacksLabel reports whether the worker lacks the label that the request requires.
func lacksLabel(w *WorkerState, label string) bool {
	return label != "" && !slices.Contains(w.Labels, label)
}
