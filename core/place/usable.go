package place

// notSchedulable reports whether no new work may be placed on the worker.
func notSchedulable(w *WorkerState) bool { return !w.Schedulable() }
