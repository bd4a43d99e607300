package quarantine

import (
	"slices"
	"time"
)

// Options holds the thresholds and probe delays.
type Options struct {
	WorkerFailures    int           // consecutive failures that isolate a worker
	DistinctTemplates int           // number of different job templates among these failures
	DistinctRacks     int           // number of racks in which a task or template must fail to be considered faulty
	FirstProbeDelay   time.Duration // wait before the first probe; doubles with each failed probe
	MaxProbeDelay     time.Duration // longest wait between probes
}

// Defaults returns the options that the daemon uses.
func Defaults() Options {
	return Options{
		WorkerFailures: 3, DistinctTemplates: 2, DistinctRacks: 3,
		FirstProbeDelay: 30 * time.Second, MaxProbeDelay: 30 * time.Minute,
	}
}

// maxTrackedFailures limits the failures kept per worker and the racks kept per task and
// per template.
const maxTrackedFailures = 16

// Failure is one failed start.
type Failure struct {
	VM       string
	Rack     string // data centre and rack, see wire.RackUnit
	TaskID   string
	Template string
}

// Actions lists the actions to take after a failure.
type Actions struct {
	Isolate    []string // VMs to isolate
	Restore    []string // VMs to use again, because faulty tasks had caused their isolation
	TaskFailed bool     // the task is faulty and must not be retried
}

// Tracker keeps the recent failures of workers, tasks and templates. It is not safe for
// concurrent use.
type Tracker struct {
	options   Options
	workers   map[string]*worker
	tasks     map[string]*rackList
	templates map[string]*rackList
}

// worker is the state of a VM whose last starts failed.
type worker struct {
	failures     []Failure
	isolated     bool
	failedProbes int           // consecutive
	nextProbeAt  time.Duration // while probing: time at which the probe expires
	probing      bool          // a probe is running
}

// rackList is the list of racks in which a task or template failed.
type rackList struct {
	names []string
}

func (r *rackList) add(name string) {
	if len(r.names) < maxTrackedFailures && !slices.Contains(r.names, name) {
		r.names = append(r.names, name)
	}
}

// New returns a tracker without failures.
func New(o Options) *Tracker {
	return &Tracker{
		options: o, workers: map[string]*worker{},
		tasks: map[string]*rackList{}, templates: map[string]*rackList{},
	}
}

// RecordFailure records a failed start. If the worker is isolated and being probed, the
// failure also ends the probe.
func (t *Tracker) RecordFailure(f Failure, now time.Duration) Actions {
	t.recordRack(f)
	w := t.worker(f.VM)
	if w.isolated {
		t.probeFailed(w, now)
	}
	var v Actions
	if t.failsEverywhere(t.tasks[f.TaskID]) {
		v.TaskFailed = true
	}
	if t.isTaskFault(f) {
		v.Restore = t.discardTaskFaults(f)
		return v
	}
	t.addFailure(w, f)
	if !w.isolated && t.meetsThresholds(w) {
		w.isolated = true
		w.nextProbeAt = now + t.options.FirstProbeDelay
		v.Isolate = []string{f.VM}
	}
	return v
}

// recordRack adds the rack to those in which the task and the template failed.
func (t *Tracker) recordRack(f Failure) {
	if t.tasks[f.TaskID] == nil {
		t.tasks[f.TaskID] = &rackList{}
	}
	if t.templates[f.Template] == nil {
		t.templates[f.Template] = &rackList{}
	}
	t.tasks[f.TaskID].add(f.Rack)
	t.templates[f.Template].add(f.Rack)
}

func (t *Tracker) worker(vm string) *worker {
	w, ok := t.workers[vm]
	if !ok {
		w = &worker{}
		t.workers[vm] = w
	}
	return w
}

func (t *Tracker) failsEverywhere(r *rackList) bool {
	return r != nil && len(r.names) >= t.options.DistinctRacks
}

// isTaskFault reports whether the failure is attributed to the task or its template.
func (t *Tracker) isTaskFault(f Failure) bool {
	return t.failsEverywhere(t.tasks[f.TaskID]) || t.failsEverywhere(t.templates[f.Template])
}

// discardTaskFaults removes the failures that are attributed to tasks or templates from
// all workers. It returns the workers that are no longer isolated.
func (t *Tracker) discardTaskFaults(f Failure) []string {
	var restored []string
	for vm, w := range t.workers {
		w.failures = slices.DeleteFunc(w.failures, t.isTaskFault)
		if !w.isolated || t.meetsThresholds(w) {
			t.dropIfEmpty(vm, w)
			continue
		}
		// Failed probes show that the worker itself is faulty, so it stays isolated.
		if w.failedProbes > 0 {
			continue
		}
		restored = append(restored, vm)
		delete(t.workers, vm)
	}
	slices.Sort(restored)
	return restored
}

func (t *Tracker) dropIfEmpty(vm string, w *worker) {
	if len(w.failures) == 0 && !w.isolated {
		delete(t.workers, vm)
	}
}

func (t *Tracker) addFailure(w *worker, f Failure) {
	if len(w.failures) >= maxTrackedFailures {
		w.failures = slices.Delete(w.failures, 0, 1)
	}
	w.failures = append(w.failures, f)
}

func (t *Tracker) meetsThresholds(w *worker) bool {
	if len(w.failures) < t.options.WorkerFailures {
		return false
	}
	var templates []string
	for _, f := range w.failures {
		if !slices.Contains(templates, f.Template) {
			templates = append(templates, f.Template)
		}
	}
	return len(templates) >= t.options.DistinctTemplates
}

func (t *Tracker) probeFailed(w *worker, now time.Duration) {
	if !w.probing {
		return // the start was sent before the isolation
	}
	w.probing = false
	w.failedProbes++
	w.nextProbeAt = now + t.backoff(w.failedProbes)
}

// backoff returns the wait after the given number of failed probes.
func (t *Tracker) backoff(probes int) time.Duration {
	wait := t.options.FirstProbeDelay
	for range probes {
		wait *= 2
		if wait >= t.options.MaxProbeDelay {
			return t.options.MaxProbeDelay
		}
	}
	return wait
}

// RecordSuccess records a successful start, which ends an isolation of the worker. It
// reports whether the worker was isolated.
func (t *Tracker) RecordSuccess(vm, taskID, template string) bool {
	delete(t.templates, template)
	delete(t.tasks, taskID)
	w, ok := t.workers[vm]
	if !ok {
		return false
	}
	delete(t.workers, vm)
	return w.isolated
}

// DueProbes returns the isolated workers that may be probed with one task now, sorted by
// name.
func (t *Tracker) DueProbes(now time.Duration) []string {
	var due []string
	for vm, w := range t.workers {
		if w.isolated && !w.probing && now >= w.nextProbeAt {
			due = append(due, vm)
		}
	}
	slices.Sort(due)
	return due
}

// ProbeStarted records that a task was sent to an isolated worker. Without an outcome
// until expires, ExpireProbes counts the probe as failed.
func (t *Tracker) ProbeStarted(vm string, expires time.Duration) {
	if w, ok := t.workers[vm]; ok && w.isolated {
		w.probing = true
		w.nextProbeAt = expires
	}
}

// ProbeNotStarted records that the task of a probe was never started. The worker may be
// probed again after FirstProbeDelay.
func (t *Tracker) ProbeNotStarted(vm string, now time.Duration) {
	if w, ok := t.workers[vm]; ok && w.probing {
		w.probing = false
		w.nextProbeAt = now + t.options.FirstProbeDelay
	}
}

// ExpireProbes ends probes whose outcome did not arrive in time and counts them as
// failed.
func (t *Tracker) ExpireProbes(now time.Duration) {
	for _, w := range t.workers {
		if w.probing && now >= w.nextProbeAt {
			t.probeFailed(w, now)
		}
	}
}

// Isolated reports whether the worker is isolated.
func (t *Tracker) Isolated(vm string) bool {
	w, ok := t.workers[vm]
	return ok && w.isolated
}

// Forget drops the state of a worker that was replaced or removed.
func (t *Tracker) Forget(vm string) { delete(t.workers, vm) }

// ForgetTask drops the state of a task that will not be started again.
func (t *Tracker) ForgetTask(taskID string) { delete(t.tasks, taskID) }

// ForgetTemplate drops the state of a template, for example after it was changed.
func (t *Tracker) ForgetTemplate(template string) { delete(t.templates, template) }
