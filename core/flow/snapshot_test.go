package flow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
)

// comparableState returns the parts of a state that must survive a snapshot.
func comparableState(s *State) map[string]any {
	view := map[string]any{"next": s.NextOffset, "claim": s.Claim, "token": s.ClaimToken, "pending": s.Pending}
	for id, j := range s.Jobs {
		view[id] = j.Phase
		if j.Phase.Final() && j.ActiveRuns <= 0 {
			continue
		}
		view[id+" active"], view[id+" ended"] = j.ActiveRuns, j.CompletedOccurrences
		for k, o := range j.Occurrences {
			view[fmt.Sprint(id, "/", k)] = *o
		}
	}
	return view
}

// Guards against a snapshot that loses or adds state: a restored state must react to later
// records like the original state.
func TestRestoredStateMatchesOriginal(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewState()
	applyRecords(t, s, Record{Claim: &Claim{Daemon: "a", Epoch: 9, StartedMS: 5}}, Record{Hello: &Hello{Daemon: "a", Address: "x", StartedMS: 5}})
	var restored *State
	for n := range 3000 {
		r := randomRecord(rng)
		first := s.Apply(&r, time.Second)
		if restored != nil {
			again := restored.Apply(&r, time.Second)
			require.Equal(t, first == nil, again == nil, "record %d: %v, %v", n, first, again)
		}
		if n%500 == 250 {
			head, chunks, err := s.Snapshot(int64(n), time.Second)
			require.NoError(t, err)
			require.Greater(t, head.Chunks, 0)
			restored, err = Restore(head, chunks, time.Second)
			require.NoError(t, err)
			require.Len(t, restored.Members, 1)
		}
	}
	for queue, n := range s.Pending {
		if n == 0 {
			delete(s.Pending, queue)
		}
	}
	for queue, n := range restored.Pending {
		if n == 0 {
			delete(restored.Pending, queue)
		}
	}
	require.Equal(t, comparableState(s), comparableState(restored))
}

func randomRecord(rng *rand.Rand) Record {
	job := fmt.Sprint("j", rng.IntN(120))
	task := cluster.TaskID{Job: job, Occurrence: rng.IntN(2), Step: rng.IntN(2), Index: rng.IntN(3)}
	switch rng.IntN(10) {
	case 0, 1:
		return Record{Submit: &Submit{ID: job, Queue: fmt.Sprint("q", rng.IntN(3)), Steps: []Step{{Count: 3, Gang: rng.IntN(2) == 0}, {Count: 1 + rng.IntN(3), DependsOn: []int{0}}}, Times: rng.IntN(3), MaxAttempts: 3}}
	case 2:
		if rng.IntN(4) > 0 {
			return Record{Batch: &Batch{Epoch: 9, StartedJobs: []string{job}}}
		}
		return Record{Cancel: &Cancel{ID: job}}
	case 3, 4, 5, 6:
		return Record{Batch: &Batch{Epoch: 9, Begins: []Begin{{RunID: cluster.RunID{TaskID: task, Run: 1 + rng.IntN(6)}, Life: cluster.Life{Worker: "w", Born: 2}}}}}
	default:
		reason := []cluster.EndReason{cluster.Done, cluster.Done, cluster.Failed, cluster.NeverStarted, cluster.LeaseExpired, cluster.Unreachable, cluster.Crashed}[rng.IntN(7)]
		return Record{Batch: &Batch{Epoch: 9, Ends: []End{{RunID: cluster.RunID{TaskID: task, Run: 1 + rng.IntN(6)}, Reason: reason, Checkpoint: "c", Address: "a", Answered: reason == cluster.Unreachable}}}}
	}
}

// Guards against ended jobs that lose their phase or end time through a snapshot, or are accepted
// again after it.
func TestEndedJobsKeepTheirPhase(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	applyRecords(t, s, Record{Cancel: &Cancel{ID: "j"}})
	for _, now := range []time.Duration{2 * time.Second, time.Minute} {
		head, chunks, err := s.Snapshot(1, now)
		require.NoError(t, err)
		restored, err := Restore(head, chunks, time.Hour)
		require.NoError(t, err)
		require.Equal(t, Cancelled, restored.Jobs["j"].Phase)
		require.Equal(t, now-time.Second, time.Hour-restored.Jobs["j"].EndedAt)
		applyRecords(t, restored, Record{Submit: &Submit{ID: "j", Queue: "q", Steps: []Step{{Count: 1}}}})
		require.Equal(t, Cancelled, restored.Jobs["j"].Phase)
		require.Zero(t, restored.Pending["q"])
	}
}

// Guards against a restore from an incomplete snapshot or from chunks of two generations.
func TestIncompleteSnapshotIsRefused(t *testing.T) {
	s := stateWithJob(t, Step{Count: 1})
	head, chunks, err := s.Snapshot(1, 0)
	require.NoError(t, err)
	_, err = Restore(head, chunks[:0], 0)
	require.Error(t, err)
	_, err = Restore(head, [][]byte{[]byte("{")}, 0)
	require.Error(t, err)
	_, next, err := s.Snapshot(2, 0)
	require.NoError(t, err)
	_, err = Restore(head, next, 0)
	require.True(t, fault.Is(err, fault.Invalid), "a chunk of the next snapshot was accepted: %v", err)
	head.Parts = []SnapshotPart{DescribeChunk(next[0])}
	_, err = Restore(head, next, 0)
	require.True(t, fault.Is(err, fault.Invalid), "a chunk of the next snapshot was accepted although its generation differs: %v", err)
}

// mixedJobs returns a state in which a third of the n jobs is queued and the others were
// cancelled at boot-clock time 1 s.
func mixedJobs(t testing.TB, n int) *State {
	s := NewState()
	apply := func(r Record) { require.NoError(t, s.Apply(&r, time.Second)) }
	apply(Record{Claim: &Claim{Daemon: "a", Epoch: 9, StartedMS: 5}})
	for i := range n {
		id := fmt.Sprintf("%016x", i)
		apply(Record{Submit: &Submit{ID: id, Queue: "q", Steps: []Step{{Count: 1}}, MaxAttempts: 2}})
		if i%3 > 0 {
			apply(Record{Cancel: &Cancel{ID: id}})
		}
	}
	return s
}

// Guards against a start-up that reads ended jobs before the data needed for placement, and
// against ended jobs that saturate the link of a small VM.
func TestEndedJobsAreLastAndCompact(t *testing.T) {
	const jobs, bytesEach = 3000, 11
	head, chunks, err := mixedJobs(t, jobs).Snapshot(1, time.Minute)
	require.NoError(t, err)
	r := NewRestorer(head)
	last := chunks[len(chunks)-1]
	for _, chunk := range chunks[:len(chunks)-1] {
		require.NoError(t, r.AddChunk(chunk, time.Hour))
	}
	require.Len(t, r.state.Jobs, jobs/3)
	require.Equal(t, jobs/3, r.state.Pending["q"])
	_, err = r.State(time.Hour)
	require.True(t, fault.Is(err, fault.Invalid), "a state was returned without the ended jobs")
	require.LessOrEqual(t, len(last), jobs*2/3*bytesEach)
	require.NoError(t, r.AddChunk(last, time.Hour))
	s, err := r.State(time.Hour)
	require.NoError(t, err)
	require.Len(t, s.Jobs, jobs)
	require.Equal(t, Cancelled, s.Jobs[fmt.Sprintf("%016x", 1)].Phase)
	require.Equal(t, time.Hour-59*time.Second, s.Jobs[fmt.Sprintf("%016x", 1)].EndedAt)
}

// Guards against ids, phases or end times that change through a snapshot, and against chunks
// above the log's limit for a record.
func TestEndedJobsRoundTrip(t *testing.T) {
	s := NewState()
	phases := []Phase{Completed, Failed, Cancelled}
	for i, id := range []string{"j", "00000000000000ff", "00000000000000FF", "not hexadecimal!", "0123456789abcdef0", string(make([]byte, 300))} {
		s.Jobs[id] = &Job{Submit: Submit{ID: id}, Phase: phases[i%3], EndedAt: time.Duration(i) * time.Second}
	}
	for i := range 30_000 {
		id := fmt.Sprintf("%016x", 1000+i)
		s.Jobs[id] = &Job{Submit: Submit{ID: id}, Phase: phases[i%3], EndedAt: time.Duration(i) * time.Millisecond}
	}
	head, chunks, err := s.Snapshot(7, time.Hour)
	require.NoError(t, err)
	require.Greater(t, len(chunks), 2)
	for _, chunk := range chunks {
		require.Less(t, len(chunk), maxChunkBytes+1024)
	}
	restored, err := Restore(head, chunks, time.Hour)
	require.NoError(t, err)
	require.Equal(t, s.Jobs, restored.Jobs)
}

// Guards against an ended job that loses its workspace, or gets another one, when its details are
// dropped and through a snapshot of several chunks.
func TestEndedJobsKeepTheirWorkspace(t *testing.T) {
	s := mixedJobs(t, 30_000)
	names := []string{"", "mill", "farms", "café"}
	for i := range 30_000 {
		s.Jobs[fmt.Sprintf("%016x", i)].Workspace = names[i%len(names)]
	}
	s.Forget(time.Hour, time.Minute)
	head, chunks, err := s.Snapshot(7, time.Minute)
	require.NoError(t, err)
	restored, err := Restore(head, chunks, time.Minute)
	require.NoError(t, err)
	for i := range 30_000 {
		require.Equal(t, names[i%len(names)], restored.Jobs[fmt.Sprintf("%016x", i)].Workspace)
	}
}

// Guards against an invalid head that crashes the process or makes it request chunks for ever.
func TestInvalidHeadsAreRejected(t *testing.T) {
	head, _, err := stateWithJob(t, Step{Count: 1}).Snapshot(3, 0)
	require.NoError(t, err)
	data, err := head.Encode()
	require.NoError(t, err)
	again, err := DecodeHead(data)
	require.NoError(t, err)
	require.Equal(t, head, again)
	for _, invalid := range []string{"{", `{}`, `{"g":-1,"n":1,"p":[{}]}`, `{"g":1,"n":2,"p":[{}]}`, `{"g":1,"n":1,"p":[{"o":-4}]}`, `{"g":6,"n":24,"x":7591}`} {
		_, err := DecodeHead([]byte(invalid))
		require.True(t, fault.Is(err, fault.Invalid), "%s: %v", invalid, err)
	}
}

// Guards against a daemon that starts from a snapshot and does not know of an earlier placer that may
// still renew leases.
func TestSnapshotKeepsSupersededClaims(t *testing.T) {
	s := NewState()
	for _, r := range []Record{
		{Claim: &Claim{Daemon: "a", Epoch: 1, StartedMS: 1}},
		{Claim: &Claim{Daemon: "b", Epoch: 2, StartedMS: 1}},
		{Release: &Release{Daemon: "b", Epoch: 2}},
		{Claim: &Claim{Daemon: "c", Epoch: 3, StartedMS: 1}},
	} {
		require.NoError(t, s.Apply(&r, time.Second))
	}
	head, chunks, err := s.Snapshot(1, 2*time.Second)
	require.NoError(t, err)
	restored, err := Restore(head, chunks, 9*time.Second)
	require.NoError(t, err)
	require.Equal(t, []SupersededClaim{{Claim{Daemon: "a", Epoch: 1, StartedMS: 1}, 9 * time.Second}}, restored.Superseded)
	restarted := Record{Hello: &Hello{Daemon: "a", StartedMS: 2}}
	require.NoError(t, restored.Apply(&restarted, 10*time.Second))
	require.Empty(t, restored.Superseded, "the process that claimed has ended")
}

// Guards against a daemon that starts from a snapshot and finds other jobs beyond the rate of their
// workspace than the daemons that have read the log from its start.
func TestRatesAreRestored(t *testing.T) {
	submit := func(s *State, i int) {
		require.NoError(t, s.Apply(&Record{Submit: &Submit{ID: fmt.Sprint("j", i), Queue: "q", Workspace: "ws", Rate: 3, Steps: []Step{{Count: 1}}, AtMS: 1_700_000_000_000 + int64(i)*200}}, time.Second))
	}
	s := NewState()
	for i := range 20 {
		submit(s, i)
	}
	head, chunks, err := s.Snapshot(1, time.Second)
	require.NoError(t, err)
	stored, err := head.Encode()
	require.NoError(t, err)
	head, err = DecodeHead(stored)
	require.NoError(t, err)
	restored, err := Restore(head, chunks, time.Second)
	require.NoError(t, err)
	beyond := 0
	for i := range 40 {
		if i >= 20 {
			submit(s, i)
			submit(restored, i)
		}
		id := fmt.Sprint("j", i)
		require.Equal(t, s.Jobs[id].BeyondRate, restored.Jobs[id].BeyondRate, id)
		if s.Jobs[id].BeyondRate {
			beyond++
		}
	}
	require.Equal(t, 14, beyond, "of 5 jobs a second, 3 are within the rate, and 2 more at the start")
}
