package place

import "slices"

// labelRefuses tells whether the worker lacks the label that the request needs.
func labelRefuses(w *State, label string) bool {
	return label != "" && !slices.Contains(w.Labels, label)
}
