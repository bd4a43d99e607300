// Package quarantine tells workers that fail everything from tasks that fail
// everywhere. A worker that fails consecutive starts of unlike tasks, which are
// tasks of different job templates, is isolated and probed with backoff. A task
// that failed on unlike workers, which are workers in different racks, is failed
// itself and does not count against workers; nor does a template whose tasks
// failed on unlike workers and succeeded nowhere since.
package quarantine
