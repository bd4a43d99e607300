package job

import "briarproxy/core/wire"

// State returns the state of the job as callers see it.
func (j *Job) State() wire.JobState {
	if j.open > 0 {
		for i := range j.Tasks {
			if p := j.Tasks[i].Phase; p == Running || p == Succeeded {
				return wire.JobRunning
			}
		}
		return wire.JobPending
	}
	for i := range j.Tasks {
		if j.Tasks[i].Phase == Failed {
			return wire.JobFailed
		}
	}
	for i := range j.Tasks {
		if j.Tasks[i].Phase == Cancelled {
			return wire.JobCancelled
		}
	}
	return wire.JobSucceeded
}

// Finished reports whether every task has ended.
func (j *Job) Finished() bool { return j.open == 0 }

// Status returns the job as callers see it.
func (j *Job) Status() *wire.JobStatus {
	status := &wire.JobStatus{ID: j.ID, State: j.State(), Tasks: make([]wire.TaskStatus, 0, len(j.Tasks))}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		status.Tasks = append(status.Tasks, wire.TaskStatus{
			ID: TaskID(j.ID, i), State: string(t.Phase), Generation: t.Generation,
			VM: t.VM, Reason: t.Reason, Resources: j.Definition.Resources,
		})
		if status.Reason == "" {
			status.Reason = t.Reason
		}
	}
	return status
}

// Results returns the results of the tasks that have ended.
func (j *Job) Results() *wire.JobResults {
	results := &wire.JobResults{ID: j.ID, State: j.State()}
	for i := range j.Tasks {
		if r := j.Tasks[i].Result; r != nil {
			results.Results = append(results.Results, *r)
		}
	}
	return results
}
