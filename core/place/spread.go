package place

// spreadCost returns a cost below 1 that grows with the number of tasks of the job
// in the worker's rack.
func spreadCost(tasksInRack int) float64 {
	return 1 - 1/float64(1+tasksInRack)
}
