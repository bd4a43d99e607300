package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/resource"
)

// tasksPerWorker is 110,000 running tasks on 18,000 workers.
const tasksPerWorker = 6

// renewalLoad is a cell in which every worker runs tasksPerWorker tasks, and none ends.
type renewalLoad struct {
	*fakeCell
	reports map[string]*cluster.WorkerReport
	answers map[time.Duration][]*PollCommand // by the time at which they arrive
	polls   int
}

func newRenewalLoad(b *testing.B, workers int) *renewalLoad {
	l := &renewalLoad{
		fakeCell: newFakeCell(b, workers, resource.Vector{MilliCores: 64000, MemoryMiB: 131072}),
		reports:  map[string]*cluster.WorkerReport{}, answers: map[time.Duration][]*PollCommand{},
	}
	require.NoError(b, l.append(flow.Record{Claim: &flow.Claim{Daemon: "former", Epoch: 1}}))
	step := flow.Step{Count: tasksPerWorker, Size: resource.Vector{MilliCores: 9000, MemoryMiB: 16000}, EstimateMS: 60_000}
	for id, w := range l.workers {
		l.submit(id, step)
		report := &cluster.WorkerReport{Life: w.Life, Renewed: true}
		batch := &flow.Batch{Epoch: 1}
		for i := range tasksPerWorker {
			run := cluster.RunID{TaskID: cluster.TaskID{Job: id, Index: i}, Run: 1}
			batch.Begins = append(batch.Begins, flow.Begin{RunID: run, Life: w.Life})
			report.Running = append(report.Running, cluster.RunReport{RunID: run, Percent: 10, Load: 9000})
		}
		require.NoError(b, l.append(flow.Record{Batch: batch}))
		l.reports[id] = report
	}
	return l
}

// play runs the placer for a time, in which each poll is answered after its wait and the round trip.
func (l *renewalLoad) play(d time.Duration) {
	const tick = 20 * time.Millisecond
	for end := l.now + d; l.now < end; {
		l.now += tick
		for _, c := range l.answers[l.now] {
			report := l.reports[c.Life.Worker]
			report.ClockMS = l.now.Milliseconds()
			l.placer.PollAnswered(c, report, l.now)
		}
		delete(l.answers, l.now)
		for _, c := range l.placer.Tick(l.now, l.wallMS()) {
			if c.Poll != nil {
				l.polls++
				at := (l.now + c.Poll.Renewal.Wait + l.answerDelay).Truncate(tick) + tick
				l.answers[at] = append(l.answers[at], c.Poll)
			}
		}
		l.placer.TakeDecisions()
	}
}

// BenchmarkRenewals measures a second of a placer that only renews the leases of its workers.
func BenchmarkRenewals(b *testing.B) {
	for _, workers := range []int{350, 3000, 18000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newRenewalLoad(b, workers)
			l.takeOver()
			l.play(4 * time.Second)
			l.polls = 0
			b.ReportAllocs()
			for b.Loop() {
				l.play(time.Second)
			}
			b.ReportMetric(float64(l.polls)/float64(b.N), "polls/op")
		})
	}
}

// BenchmarkTakeover measures how long a new placer takes until all workers have answered its first poll,
// without the time that the answers take.
func BenchmarkTakeover(b *testing.B) {
	for _, workers := range []int{350, 3000, 18000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newRenewalLoad(b, workers)
			l.answerDelay = 0
			b.ReportAllocs()
			for b.Loop() {
				l.takeOver()
				l.play(100 * time.Millisecond)
				clear(l.answers)
			}
		})
	}
}
