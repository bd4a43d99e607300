package quarantine

import (
	"slices"
	"time"
)

// Options are the thresholds.
type Options struct {
	WorkerFailures int           // consecutive failures that isolate a worker
	UnlikeTasks    int           // job templates that they must belong to
	UnlikeWorkers  int           // racks on which a task or template failed
	FirstProbe     time.Duration // wait before the first probe; doubles with each failed one
	MaxProbe       time.Duration // longest wait between probes
}

// Defaults returns the options that the daemon uses.
func Defaults() Options {
	return Options{
		WorkerFailures: 3, UnlikeTasks: 2, UnlikeWorkers: 3,
		FirstProbe: 30 * time.Second, MaxProbe: 30 * time.Minute,
	}
}

// maxFailures bounds the failures kept per worker, task and template.
const maxFailures = 16

// Failure is one start that failed.
type Failure struct {
	VM       string
	Rack     string // data centre and rack, see wire.RackUnit
	TaskID   string
	Template string
}

// Verdict is what follows from a failure.
type Verdict struct {
	Isolate    []string // VMs to isolate
	Restore    []string // VMs that were isolated because of tasks that fail everywhere
	TaskFailed bool     // the task fails everywhere: do not try it again
}

// Tracker holds the failures that matter. It is not safe for concurrent use.
type Tracker struct {
	options   Options
	workers   map[string]*worker
	tasks     map[string]*racks
	templates map[string]*racks
}

// worker is a VM with consecutive failures.
type worker struct {
	failures []Failure
	isolated bool
	probes   int           // failed probes
	probeAt  time.Duration // next probe
	probing  bool          // a probe is running
}

// racks is the list of racks on which something failed.
type racks struct {
	names []string
}

func (r *racks) add(name string) {
	if len(r.names) < maxFailures && !slices.Contains(r.names, name) {
		r.names = append(r.names, name)
	}
}

// New returns a tracker without failures.
func New(o Options) *Tracker {
	return &Tracker{
		options: o, workers: map[string]*worker{},
		tasks: map[string]*racks{}, templates: map[string]*racks{},
	}
}

// Failed takes a failed start. A failure of an isolated worker is a failed probe.
func (t *Tracker) Failed(f Failure, now time.Duration) Verdict {
	t.note(f)
	w := t.worker(f.VM)
	if w.isolated {
		t.probeFailed(w, now)
	}
	var v Verdict
	if t.failsEverywhere(t.tasks[f.TaskID]) {
		v.TaskFailed = true
	}
	if t.excused(f) {
		v.Restore = t.excuse(f)
		return v
	}
	t.count(w, f)
	if !w.isolated && t.qualifies(w) {
		w.isolated = true
		w.probeAt = now + t.options.FirstProbe
		v.Isolate = []string{f.VM}
	}
	return v
}

// note adds the rack to those on which the task and the template failed.
func (t *Tracker) note(f Failure) {
	if t.tasks[f.TaskID] == nil {
		t.tasks[f.TaskID] = &racks{}
	}
	if t.templates[f.Template] == nil {
		t.templates[f.Template] = &racks{}
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

func (t *Tracker) failsEverywhere(r *racks) bool {
	return r != nil && len(r.names) >= t.options.UnlikeWorkers
}

// excused tells whether the failure is the task's or its template's fault.
func (t *Tracker) excused(f Failure) bool {
	return t.failsEverywhere(t.tasks[f.TaskID]) || t.failsEverywhere(t.templates[f.Template])
}

// excuse removes the failures of the task, or of its template, from all workers.
// It returns the workers that are not isolated any more.
func (t *Tracker) excuse(f Failure) []string {
	var restored []string
	for vm, w := range t.workers {
		w.failures = slices.DeleteFunc(w.failures, t.excused)
		if !w.isolated || t.qualifies(w) {
			t.dropIfEmpty(vm, w)
			continue
		}
		// A worker whose probes failed too is isolated for a reason of its own.
		if w.probes > 0 {
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

func (t *Tracker) count(w *worker, f Failure) {
	if len(w.failures) >= maxFailures {
		w.failures = slices.Delete(w.failures, 0, 1)
	}
	w.failures = append(w.failures, f)
}

func (t *Tracker) qualifies(w *worker) bool {
	if len(w.failures) < t.options.WorkerFailures {
		return false
	}
	var templates []string
	for _, f := range w.failures {
		if !slices.Contains(templates, f.Template) {
			templates = append(templates, f.Template)
		}
	}
	return len(templates) >= t.options.UnlikeTasks
}

func (t *Tracker) probeFailed(w *worker, now time.Duration) {
	if !w.probing {
		return // a start from before the isolation
	}
	w.probing = false
	w.probes++
	w.probeAt = now + t.backoff(w.probes)
}

// backoff returns the wait after the given number of failed probes.
func (t *Tracker) backoff(probes int) time.Duration {
	wait := t.options.FirstProbe
	for range probes {
		wait *= 2
		if wait >= t.options.MaxProbe {
			return t.options.MaxProbe
		}
	}
	return wait
}

// Succeeded takes a start that went well and reports whether the worker was
// isolated and is not any more.
func (t *Tracker) Succeeded(vm, taskID, template string) bool {
	delete(t.templates, template)
	delete(t.tasks, taskID)
	w, ok := t.workers[vm]
	if !ok {
		return false
	}
	delete(t.workers, vm)
	return w.isolated
}

// Probes returns the isolated workers that may get one task now, in order of
// name.
func (t *Tracker) Probes(now time.Duration) []string {
	var due []string
	for vm, w := range t.workers {
		if w.isolated && !w.probing && now >= w.probeAt {
			due = append(due, vm)
		}
	}
	slices.Sort(due)
	return due
}

// ProbeStarted notes that a task was sent to an isolated worker. If nothing is
// heard of it until expires, the worker may be probed again.
func (t *Tracker) ProbeStarted(vm string, expires time.Duration) {
	if w, ok := t.workers[vm]; ok && w.isolated {
		w.probing = true
		w.probeAt = expires
	}
}

// ProbeUnused notes that the task of a probe was never started. The worker may be
// probed again after the first wait.
func (t *Tracker) ProbeUnused(vm string, now time.Duration) {
	if w, ok := t.workers[vm]; ok && w.probing {
		w.probing = false
		w.probeAt = now + t.options.FirstProbe
	}
}

// Expire ends probes of which nothing was heard; they count as failed.
func (t *Tracker) Expire(now time.Duration) {
	for _, w := range t.workers {
		if w.probing && now >= w.probeAt {
			t.probeFailed(w, now)
		}
	}
}

// Isolated reports whether the worker is isolated.
func (t *Tracker) Isolated(vm string) bool {
	w, ok := t.workers[vm]
	return ok && w.isolated
}

// Forget drops a worker that was replaced or removed.
func (t *Tracker) Forget(vm string) { delete(t.workers, vm) }

// ForgetTask drops a task that has ended for good.
func (t *Tracker) ForgetTask(taskID string) { delete(t.tasks, taskID) }

// ForgetTemplate drops a template, for instance after it was changed.
func (t *Tracker) ForgetTemplate(template string) { delete(t.templates, template) }
