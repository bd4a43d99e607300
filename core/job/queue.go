package job

import (
	"container/heap"
	"time"
)

// group is what is placed together: one task of a batch job, or a whole gang.
type group struct {
	job       *Job
	index     int // first task; the only one unless the job is a gang
	notBefore time.Duration
	deadline  int64 // Unix time, ms
}

// readyQueue orders groups by priority, then deadline, then submission.
type readyQueue []group

func (q readyQueue) Len() int { return len(q) }

func (q readyQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.job.Definition.Priority != b.job.Definition.Priority {
		return a.job.Definition.Priority > b.job.Definition.Priority
	}
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	if a.job.seq != b.job.seq {
		return a.job.seq < b.job.seq
	}
	return a.index < b.index
}

func (q readyQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *readyQueue) Push(x any) { *q = append(*q, x.(group)) }

// Pop implements heap.Interface.
func (q *readyQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// delayQueue orders groups by the end of their backoff.
type delayQueue struct{ readyQueue }

// Less implements heap.Interface.
func (q delayQueue) Less(i, j int) bool {
	return q.readyQueue[i].notBefore < q.readyQueue[j].notBefore
}

func (s *Shard) enqueue(g group, now time.Duration) {
	if g.notBefore > now {
		heap.Push(&s.delayed, g)
		return
	}
	heap.Push(&s.ready, g)
}

func (s *Shard) releaseDelayed(now time.Duration) {
	for s.delayed.Len() > 0 && s.delayed.readyQueue[0].notBefore <= now {
		heap.Push(&s.ready, heap.Pop(&s.delayed))
	}
}
