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

	openPolls  int // polls that may be under way at a time; 0 means any number
	underWay   int
	queued     []*PollCommand           // for their turn
	answeredAt map[string]time.Duration // by worker
	longestGap time.Duration            // between two answers of a worker
}

func newRenewalLoad(b testing.TB, workers int) *renewalLoad {
	l := &renewalLoad{
		fakeCell: newFakeCell(b, workers, resource.Vector{MilliCores: 64000, MemoryMiB: 131072}),
		reports:  map[string]*cluster.WorkerReport{}, answers: map[time.Duration][]*PollCommand{}, answeredAt: map[string]time.Duration{},
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
			l.underWay--
			if former := l.answeredAt[c.Life.Worker]; former > 0 {
				l.longestGap = max(l.longestGap, l.now-former)
			}
			l.answeredAt[c.Life.Worker] = l.now
			l.placer.PollAnswered(c, report, l.now)
		}
		delete(l.answers, l.now)
		for _, c := range l.placer.Tick(l.now, l.wallMS()) {
			if c.Poll != nil {
				l.queued = append(l.queued, c.Poll)
			}
		}
		for len(l.queued) > 0 && (l.openPolls == 0 || l.underWay < l.openPolls) {
			c := l.queued[0]
			l.queued = l.queued[1:]
			l.polls, l.underWay = l.polls+1, l.underWay+1
			at := (l.now + c.Renewal.Wait + l.answerDelay).Truncate(tick) + tick
			l.answers[at] = append(l.answers[at], c)
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
				l.queued = nil
			}
		})
	}
}

// Guards against leases that end although every worker answers: a daemon with few descriptors had fewer polls
// under way than workers, and renewals waited behind polls that waited for an end.
func TestRenewalsDoNotWaitBehindPollsThatWait(t *testing.T) {
	l := newRenewalLoad(t, 600)
	l.openPolls, l.answerDelay = 100, 60*time.Millisecond
	l.takeOver()
	l.placer.options.OpenPolls = l.openPolls
	l.play(4 * time.Second)
	l.longestGap = 0
	l.play(20 * time.Second)
	require.Less(t, l.longestGap, maxSilenceForRenewal)
	require.Equal(t, 600*tasksPerWorker, l.placer.ActiveRuns(), "no lease has ended")
}
