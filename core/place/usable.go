package place

// usableRefuses tells whether the worker may not get new work.
func usableRefuses(w *State) bool { return !w.Open() }
