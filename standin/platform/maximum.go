package platform

import "time"

// Parts of the rule on maxima: a workspace may exceed its maximum by a share and by one task, and a
// former maximum counts for a while after its replacement.
const (
	maximumOveragePercent = 10
	formerMaximumCounts   = 4 * time.Second
)

// publishedMaximum is a maximum with the time of its replacement, which is zero for the present one.
type publishedMaximum struct {
	size       Size
	replacedAt time.Time
}

// SetMaximum makes the fleet check from now on what a workspace runs on all workers.
func (f *Fleet) SetMaximum(workspace string, size Size) {
	f.mu.Lock()
	defer f.mu.Unlock()
	published := f.maxima[workspace]
	if len(published) > 0 {
		published[len(published)-1].replacedAt = time.Now()
	}
	f.maxima[workspace] = append(published, publishedMaximum{size: size})
}

// checkMaximum records a violation if a run was started while the other runs of its workspace exceeded
// the highest maximum that may be in force. The caller must hold the lock.
func (f *Fleet) checkMaximum(task string, started *taskRun) {
	if len(f.maxima[started.workspace]) == 0 {
		return
	}
	others := Size{}
	for _, w := range f.workers {
		w.endDueRuns()
		for _, r := range w.runs {
			if r != started && r.workspace == started.workspace {
				others = others.add(r.size)
			}
		}
	}
	for _, m := range f.maxima[started.workspace] {
		if counts := m.replacedAt.IsZero() || time.Since(m.replacedAt) < formerMaximumCounts; counts && others.within(m.size) {
			return
		}
	}
	f.addViolation("task %s of workspace %s was started while it had %+v running, above its maximum", task, started.workspace, others)
}

// within reports whether an amount exceeds a maximum by no more than the permitted share.
func (s Size) within(maximum Size) bool {
	fits := func(used, limit int64) bool { return limit == 0 || used*100 <= limit*(100+maximumOveragePercent) }
	return fits(s.Cpu, maximum.Cpu) && fits(s.MemMb, maximum.MemMb) && fits(s.Gpu, maximum.Gpu)
}
