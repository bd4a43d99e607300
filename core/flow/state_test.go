package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
)

func applyRecords(t *testing.T, s *State, records ...Record) {
	t.Helper()
	for i := range records {
		data, err := records[i].Encode()
		require.NoError(t, err)
		decoded, err := Decode(data)
		require.NoError(t, err)
		require.NoError(t, s.Apply(&decoded, time.Second))
	}
}

func stateWithJob(t *testing.T, steps ...Step) *State {
	s := NewState()
	applyRecords(t, s, Record{Claim: &Claim{Daemon: "a", Epoch: 9, StartedMS: 5}},
		Record{Submit: &Submit{ID: "j", Queue: "q", Pool: "p", Spec: "first", Steps: steps, MaxAttempts: 2}})
	return s
}

func runOf(step, index, run int) cluster.RunID {
	return cluster.RunID{TaskID: cluster.TaskID{Job: "j", Step: step, Index: index}, Run: run}
}

func beginRecord(ids ...cluster.RunID) Record {
	b := &Batch{Epoch: 9}
	for _, id := range ids {
		b.Begins = append(b.Begins, Begin{RunID: id, Life: cluster.Life{Worker: "w", Born: 3}})
	}
	return Record{Batch: b}
}

func endRecord(reason cluster.EndReason, ids ...cluster.RunID) Record {
	b := &Batch{Epoch: 9}
	for _, id := range ids {
		b.Ends = append(b.Ends, End{RunID: id, Reason: reason})
	}
	return Record{Batch: b}
}

// Guards against a repeated submission that replaces the job or counts it twice.
func TestFirstSubmissionCounts(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	applyRecords(t, s, Record{Submit: &Submit{ID: "j", Queue: "q", Spec: "second", Steps: []Step{{Count: 9}}}})
	require.Equal(t, "first", s.Jobs["j"].Spec)
	require.Equal(t, 1, s.Pending["q"])
}

// Guards against a job that is reported as running although no worker accepted a run of it, and
// against one that is reported as queued although a worker did.
func TestJobIsPendingUntilARunStarts(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	applyRecords(t, s, beginRecord(runOf(0, 0, 1)))
	require.Equal(t, 1, s.Pending["q"])
	require.Equal(t, Queued, s.Jobs["j"].Phase)
	applyRecords(t, s, endRecord(cluster.NeverStarted, runOf(0, 0, 1)), beginRecord(runOf(0, 0, 2)))
	require.Equal(t, 1, s.Pending["q"])
	applyRecords(t, s, Record{Batch: &Batch{Epoch: 9, StartedJobs: []string{"j", "unknown"}}})
	require.Zero(t, s.Pending["q"])
	require.Equal(t, Running, s.Jobs["j"].Phase)
	applyRecords(t, s, Record{Batch: &Batch{Epoch: 9, StartedJobs: []string{"j"}}}, endRecord(cluster.Done, runOf(0, 0, 2)))
	require.Zero(t, s.Pending["q"])
	require.Equal(t, Completed, s.Jobs["j"].Phase)
}

// Guards against a job that is reported as completed before all tasks are done, and against steps
// that become ready before the steps they depend on are complete.
func TestCompletedWhenAllTasksAreDone(t *testing.T) {
	s := stateWithJob(t, Step{Count: 2}, Step{Count: 1, DependsOn: []int{0}})
	applyRecords(t, s, beginRecord(runOf(0, 0, 1), runOf(0, 1, 1)), endRecord(cluster.Done, runOf(0, 0, 1)))
	require.False(t, s.Jobs["j"].StepReady(0, 1))
	applyRecords(t, s, endRecord(cluster.LeaseExpired, runOf(0, 1, 1)), beginRecord(runOf(0, 1, 2)), endRecord(cluster.Done, runOf(0, 1, 2)))
	require.True(t, s.Jobs["j"].StepReady(0, 1))
	require.Equal(t, Running, s.Jobs["j"].Phase)
	applyRecords(t, s, beginRecord(runOf(1, 0, 1)), endRecord(cluster.Done, runOf(1, 0, 1)))
	require.Equal(t, Completed, s.Jobs["j"].Phase)
}

// Guards against attempts that are counted once per member of a gang, or for ends that are not
// failures of the task.
func TestAttemptsAreCountedOnce(t *testing.T) {
	s := stateWithJob(t, Step{Count: 3, Gang: true})
	all := func(run int) []cluster.RunID {
		return []cluster.RunID{runOf(0, 0, run), runOf(0, 1, run), runOf(0, 2, run)}
	}
	applyRecords(t, s, beginRecord(all(1)...), endRecord(cluster.Failed, all(1)...))
	require.Equal(t, Running, s.Jobs["j"].Phase)
	applyRecords(t, s, beginRecord(all(2)...), endRecord(cluster.GangBroken, all(2)...), beginRecord(all(3)...), endRecord(cluster.Lost, all(3)...))
	require.Equal(t, Running, s.Jobs["j"].Phase)
	applyRecords(t, s, beginRecord(all(4)...), endRecord(cluster.Failed, runOf(0, 1, 4)))
	require.Equal(t, Failed, s.Jobs["j"].Phase)
}

// Guards against a gang that runs again because the end of one member was lost with its worker:
// the end of any member completes the gang.
func TestOneDoneMemberEndsTheGang(t *testing.T) {
	s := stateWithJob(t, Step{Count: 3, Gang: true})
	applyRecords(t, s, beginRecord(runOf(0, 0, 1), runOf(0, 1, 1), runOf(0, 2, 1)), endRecord(cluster.Done, runOf(0, 1, 1)))
	require.Equal(t, Completed, s.Jobs["j"].Phase)
	require.Zero(t, s.Jobs["j"].ActiveRuns)
	applyRecords(t, s, endRecord(cluster.Lost, runOf(0, 0, 1)), endRecord(cluster.Done, runOf(0, 2, 1)))
	require.Equal(t, Completed, s.Jobs["j"].Phase)
}

// Guards against begins and ends of a superseded placer, and against two active runs of one task.
func TestStaleAndDuplicateEntriesAreIgnored(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	applyRecords(t, s, beginRecord(runOf(0, 0, 1)))
	require.Error(t, s.Apply(&Record{Batch: &Batch{Epoch: 8, Ends: []End{{RunID: runOf(0, 0, 1), Reason: cluster.Done}}}}, 0))
	second := beginRecord(runOf(0, 0, 2))
	require.Error(t, s.Apply(&second, 0))
	require.Equal(t, 1, s.Task(runOf(0, 0, 1).TaskID).LastRun)
	unknown := endRecord(cluster.Done, cluster.RunID{TaskID: cluster.TaskID{Job: "none"}, Run: 1})
	require.Error(t, s.Apply(&unknown, 0))
	outside := beginRecord(runOf(4, 0, 1))
	require.Error(t, s.Apply(&outside, 0))
	require.Error(t, s.Apply(&Record{}, 0))
	require.EqualValues(t, 8, s.NextOffset)
}

// Guards against a cell that waits for a placer whose process is known to have ended, and
// against a claim that ends on a Hello of another daemon or of the same process.
func TestClaimEndsWithItsProcess(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	applyRecords(t, s, Record{Hello: &Hello{Daemon: "b", StartedMS: 99}}, Record{Hello: &Hello{Daemon: "a", StartedMS: 5}})
	require.Equal(t, "a", s.Claim.Daemon)
	applyRecords(t, s, Record{Hello: &Hello{Daemon: "a", StartedMS: 6}})
	require.Empty(t, s.Claim.Daemon)
	require.EqualValues(t, 9, s.Claim.Epoch)
	applyRecords(t, s, Record{Claim: &Claim{Daemon: "b", Epoch: 10}}, Record{Release: &Release{Daemon: "a", Epoch: 9}})
	require.Equal(t, "b", s.Claim.Daemon)
}

// Guards against jobs that are removed too early or never.
func TestForget(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	applyRecords(t, s, beginRecord(runOf(0, 0, 1)), Record{Cancel: &Cancel{ID: "j"}})
	require.Equal(t, Cancelled, s.Jobs["j"].Phase)
	require.Empty(t, s.Forget(time.Minute, 10*time.Minute), "a run is still active")
	applyRecords(t, s, endRecord(cluster.Stopped, runOf(0, 0, 1)))
	require.Empty(t, s.Forget(time.Minute, 30*time.Second))
	require.Equal(t, []string{"j"}, s.Forget(time.Minute, 10*time.Minute))
	require.Error(t, s.Apply(&Record{Cancel: &Cancel{ID: "j"}}, 0))
}

// Guards against ended jobs that fill the memory of every daemon, and against a job that is
// removed too early: its id would be accepted again.
func TestEndedJobsKeepTheirIDAndPhaseOnly(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	applyRecords(t, s, beginRecord(runOf(0, 0, 1)), endRecord(cluster.Done, runOf(0, 0, 1)))
	require.Equal(t, Completed, s.Jobs["j"].Phase)
	require.Empty(t, s.Forget(time.Hour, time.Second+endedJobDetailRetention/2))
	require.NotEmpty(t, s.Jobs["j"].Steps, "a run planned before the end may still be recorded")
	require.Empty(t, s.Forget(time.Hour, 2*time.Second+endedJobDetailRetention))
	require.Empty(t, s.Jobs["j"].Steps)
	require.Equal(t, Completed, s.Jobs["j"].Phase)
	require.NoError(t, s.applySubmit(&Submit{ID: "j", Steps: []Step{{Count: 1}}}, 99, 2*time.Second))
	require.Equal(t, Completed, s.Jobs["j"].Phase)
	require.Equal(t, []string{"j"}, s.Forget(time.Hour, 2*time.Hour))
}

// Guards against a task that crashes workers and is never given up, because some of its crashes could
// not be told from a lost worker, and against one that is given up although workers have survived it.
func TestTaskIsGivenUpAfterItsWorkersCrashed(t *testing.T) {
	for name, test := range map[string]struct {
		ends  []cluster.EndReason
		phase Phase
	}{
		"twice":                         {[]cluster.EndReason{cluster.Crashed, cluster.Crashed}, Running},
		"three times":                   {[]cluster.EndReason{cluster.Crashed, cluster.Crashed, cluster.Crashed}, Failed},
		"with lost workers in between":  {[]cluster.EndReason{cluster.Crashed, cluster.LeaseExpired, cluster.Crashed, cluster.Lost, cluster.Crashed}, Failed},
		"with a listed end in between":  {[]cluster.EndReason{cluster.Crashed, cluster.Crashed, cluster.Stopped, cluster.Crashed}, Running},
		"without an answer, four times": {[]cluster.EndReason{cluster.Unanswered, cluster.Unanswered, cluster.Unanswered, cluster.Unanswered}, Running},
		"without an answer, five times": {[]cluster.EndReason{cluster.Unanswered, cluster.Unanswered, cluster.Crashed, cluster.Unanswered, cluster.Unanswered}, Failed},
		"on lost workers only":          {[]cluster.EndReason{cluster.LeaseExpired, cluster.Lost, cluster.LeaseExpired, cluster.Lost}, Running},
	} {
		t.Run(name, func(t *testing.T) {
			s := stateWithJob(t, Step{Count: 2})
			for i, reason := range test.ends {
				applyRecords(t, s, beginRecord(runOf(0, 0, i+1)), endRecord(reason, runOf(0, 0, i+1)))
			}
			require.Equal(t, test.phase, s.Jobs["j"].Phase)
		})
	}
}

// Guards against the silence of workers that counts as their crash (LOST), and against crashes that are not
// counted because they became known late.
func TestUnreachableWorkersCountOnceTheirCrashIsKnown(t *testing.T) {
	s := stateWithJob(t, Step{Count: 2})
	task := func() *TaskState { return s.Task(runOf(0, 0, 1).TaskID) }
	lost := func(run int, answered bool) {
		applyRecords(t, s, beginRecord(runOf(0, 0, run)),
			Record{Batch: &Batch{Epoch: 9, Ends: []End{{RunID: runOf(0, 0, run), Reason: cluster.Unreachable, Address: "a", Answered: answered}}}})
	}
	for run := 1; run <= 6; run++ {
		lost(run, true)
	}
	require.Equal(t, Running, s.Jobs["j"].Phase)
	require.Len(t, task().LostStarts, 6)
	require.True(t, task().NeedsExplanation())
	applyRecords(t, s, endRecord(cluster.LeaseExpired, runOf(0, 0, 1)), endRecord(cluster.Crashed, runOf(0, 0, 3)), endRecord(cluster.Unanswered, runOf(0, 0, 4)))
	require.Equal(t, [2]int{1, 1}, [2]int{task().Crashes, task().Unanswered})
	require.Error(t, s.Apply(&Record{Batch: &Batch{Epoch: 9, Ends: []End{{RunID: runOf(0, 0, 3), Reason: cluster.Crashed}}}}, 0), "it counts once")
	applyRecords(t, s, endRecord(cluster.Crashed, runOf(0, 0, 2)), endRecord(cluster.Crashed, runOf(0, 0, 6)))
	require.Equal(t, Failed, s.Jobs["j"].Phase)
}

// Guards against a job that counts as begun, and is missing in the count of pending jobs, although no worker has answered
// its start (MIXED).
func TestJobWithUnansweredStartsIsPending(t *testing.T) {
	s := stateWithJob(t, Step{Count: 2})
	unreachable := func(run int, answered bool) Record {
		return Record{Batch: &Batch{Epoch: 9, Ends: []End{{RunID: runOf(0, 0, run), Reason: cluster.Unreachable, Answered: answered}}}}
	}
	applyRecords(t, s, beginRecord(runOf(0, 0, 1)), unreachable(1, false), endRecord(cluster.LeaseExpired, runOf(0, 0, 1)))
	require.Equal(t, Queued, s.Jobs["j"].Phase)
	require.Equal(t, 1, s.Pending["q"])
	applyRecords(t, s, beginRecord(runOf(0, 0, 2)), unreachable(2, true))
	require.Equal(t, Running, s.Jobs["j"].Phase)
	require.Zero(t, s.Pending["q"])
}

// Guards against ends that are listed after their run was given up and lost, or counted twice.
func TestLateEndOfAGivenUpRunCountsOnce(t *testing.T) {
	id := cluster.TaskID{Job: "j"}
	run := func(n int) cluster.RunID { return cluster.RunID{TaskID: id, Run: n} }
	given := func(t *testing.T, later ...Batch) *State {
		s := NewState()
		apply := func(r Record) { require.NoError(t, s.Apply(&r, 0)) }
		apply(Record{Claim: &Claim{Daemon: "d", Epoch: 1}})
		apply(Record{Submit: &Submit{ID: "j", Queue: "q", Pool: "p", Steps: []Step{{Count: 1}}, MaxAttempts: 2}})
		apply(Record{Batch: &Batch{Epoch: 1, Begins: []Begin{{RunID: run(1)}}}})
		apply(Record{Batch: &Batch{Epoch: 1, Ends: []End{{RunID: run(1), Reason: cluster.LeaseExpired}}}})
		for i := range later {
			later[i].Epoch = 1
			apply(Record{Batch: &later[i]})
		}
		return s
	}
	end := func(s *State, n int, reason cluster.EndReason) error {
		return s.Apply(&Record{Batch: &Batch{Epoch: 1, Ends: []End{{RunID: run(n), Reason: reason}}}}, 0)
	}
	begin := Batch{Begins: []Begin{{RunID: run(2)}}}
	withdraw := Batch{Ends: []End{{RunID: run(2), Reason: cluster.NeverStarted}}}

	s := given(t)
	require.NoError(t, end(s, 1, cluster.Done))
	require.Equal(t, Completed, s.Jobs["j"].Phase)
	require.Zero(t, s.Jobs["j"].ActiveRuns)

	s = given(t, begin, withdraw)
	require.NoError(t, end(s, 1, cluster.Failed))
	require.Equal(t, 1, s.Task(id).Failures)
	require.Error(t, end(s, 1, cluster.Failed), "it counts once")

	s = given(t, begin)
	require.NoError(t, end(s, 1, cluster.Done))
	require.Equal(t, Completed, s.Jobs["j"].Phase, "the later run is not needed")
	require.Zero(t, s.Jobs["j"].ActiveRuns)
	require.NoError(t, end(s, 2, cluster.Stopped))
	require.Zero(t, s.Jobs["j"].ActiveRuns)

	s = given(t, begin)
	require.NoError(t, end(s, 1, cluster.Failed))
	require.True(t, s.Task(id).Active, "the later run goes on")
	require.NoError(t, end(s, 2, cluster.Failed))
	require.Equal(t, Failed, s.Jobs["j"].Phase, "both attempts count")

	s = given(t)
	require.Error(t, end(s, 2, cluster.Done), "no such run was given up")
}
