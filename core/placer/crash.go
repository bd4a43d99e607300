package placer

import (
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
)

// A task may crash each worker that starts it. Which of the runs on a crashed worker was the cause is
// not known, so each run that the worker started last is suspect. So is one whose worker fell silent,
// as long as nothing shows what became of the worker. The step of a suspect run is then
// placed on trial: on workers that are not starting anything else, and which start nothing else until
// they have survived its start, if there are any. A run that was only beside the cause shows that in its
// next trial.

// crashDelay is the longest time from the answer to a start command until a worker that the run crashes
// answers nothing any more.
const crashDelay = 150 * time.Millisecond

// hasSurvivedStart reports whether the worker has answered anything later than crashDelay after the answer
// to the start command.
func (r *run) hasSurvivedStart() bool { return r.vm.answeredAt > r.answeredAt+crashDelay }

// awaitsTrial reports whether the run is on trial and its worker has not survived its start yet.
func (r *run) awaitsTrial() bool { return r.onTrial && (r.answeredAt == 0 || !r.hasSurvivedStart()) }

// isLastStart reports whether nothing shows that the worker has survived the start of the run. A run that is
// not on trial may be beside the cause of a crash, so it counts as survived once the worker has listed it. If
// a former placer sent the start command, any answer to this one counts, and so does the time that the former
// placer had for hearing from the worker.
func (p *Placer) isLastStart(r *run) bool {
	if r.adopted {
		return r.vm.answeredAt == 0 && r.beganMS > p.wallAtMS(p.createdAt-p.options.Lease)
	}
	return r.startsSent > 0 && !r.hasSurvivedStart() && (r.onTrial || !r.progress.seen)
}

// decisionSilentWorker is the kind of decision that reports a run whose worker has answered nothing since the start
// until its leases expired. Age is the time since its last answer, Value the number of polls that it has missed.
const decisionSilentWorker = "no answer since the start"

func (p *Placer) reportSilence(r *run, now time.Duration) {
	if r.lostStart == "" && p.isLastStart(r) {
		p.addDecision(Decision{Kind: decisionSilentWorker, Job: r.Job, Task: r.TaskID, Run: r.Run, Worker: r.vm.Life.Worker, Age: now - r.vm.answeredAt, Value: int64(r.vm.missedPolls)})
	}
}

// trialTime is how long a step is on trial after a run whose worker did not show that it survived the start,
// if the run does not count as the last one that the worker started.
const trialTime = 10 * time.Second

// suspectStep places the step of a run on trial whose worker has not shown that it survived the start.
func (p *Placer) suspectStep(r *run, now time.Duration) {
	if step := p.steps[r.StepID()]; step != nil && !r.adopted && r.startsSent > 0 && !r.vm.Draining && !r.hasSurvivedStart() {
		step.trialUntil, step.crashedAt = now+trialTime, now
	}
}

// isOnTrial reports whether a worker may have crashed as it started a task of the step.
func (s *pendingStep) isOnTrial(now time.Duration) bool { return s.onTrial || now < s.trialUntil }

// markLostStart notes how the run ends on a worker that has been silent until its leases expired.
func (p *Placer) markLostStart(r *run) {
	switch {
	case r.lostStart != "" || r.vm.Draining || !p.isLastStart(r):
	case isCrashRestart(r.beganMS, r.vm.replacedBorn):
		r.lostStart = crashReason(r.answered)
	case r.vm.replacedBorn == 0:
		r.lostStart = cluster.Unreachable
	}
}

// maxRestartTime is the longest time from the begin of a run to the start of the next worker process at the
// address for which the worker counts as crashed by the run. Clocks of machines may differ.
const maxRestartTime = 15 * time.Second

// isCrashRestart reports whether a worker process that started at the given time (Unix ms) shows that the former
// one crashed as it started a run.
func isCrashRestart(beganMS, born int64) bool {
	return beganMS > 0 && born > 0 && born-beganMS <= maxRestartTime.Milliseconds()
}

// crashReason returns how a run ends that was the last that the ended incarnation of its worker started.
func crashReason(answered bool) cluster.EndReason {
	if answered {
		return cluster.Crashed
	}
	return cluster.Unanswered
}

// hasCrashed reports whether a worker may have crashed as it started a task of the step.
func hasCrashed(step *flow.StepState) bool {
	if step == nil {
		return false
	}
	for i := range step.Tasks {
		if step.Tasks[i].IsSuspect() {
			return true
		}
	}
	return false
}

// maxTrialWait is how long a step on trial waits for workers that start nothing else. In a busy cell
// there may be none.
const maxTrialWait = time.Second

// workersForTrial returns the candidates (nil: all workers) on which no other run was started that the
// worker has not listed yet, or all candidates if too few are found within maxTrialWait.
func (p *Placer) workersForTrial(step *pendingStep, tasks int, candidates []string, now time.Duration) []string {
	all := candidates
	if all == nil {
		all = p.workerIDs
	}
	eligible := make([]string, 0, len(all))
	for _, id := range all {
		if v := p.vms[id]; v != nil && !v.startsRuns() {
			eligible = append(eligible, id)
		}
	}
	if now-step.crashedAt > maxTrialWait && !p.mayFit(step, eligible, tasks) {
		return candidates
	}
	return eligible
}

func (v *vm) startsRuns() bool {
	for _, r := range v.runs {
		if !r.progress.seen {
			return true
		}
	}
	return false
}

// onTrial reports whether the worker has a run on trial whose start it has not survived yet.
func (v *vm) onTrial() bool {
	for _, r := range v.runs {
		if r.awaitsTrial() {
			return true
		}
	}
	return false
}
