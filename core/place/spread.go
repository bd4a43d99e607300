package place

// spreadCost grows with the number of tasks of the job in the worker's rack and
// stays below 1.
func spreadCost(tasksInRack int) float64 {
	return 1 - 1/float64(1+tasksInRack)
}
