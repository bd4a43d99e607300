package flow

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func submission(id, workspace string) Record {
	return Record{Submit: &Submit{ID: id, Queue: "q", Workspace: workspace, Steps: []Step{{Count: 1}}, MaxAttempts: 2}}
}

func absentCancel(id, workspace string) Record {
	return Record{Cancel: &Cancel{ID: id, Absent: true, Workspace: workspace}}
}

// Guards against a job that runs although its cancellation was acknowledged before the log stored its submission
// (review/11), also when a snapshot was restored between the two.
func TestCancellationOutweighsALaterSubmission(t *testing.T) {
	for _, restored := range []bool{false, true} {
		s := NewState()
		applyRecords(t, s, absentCancel("j", ""))
		require.Empty(t, s.Jobs, "a job that nobody submitted is not shown")
		if restored {
			head, chunks, err := s.Snapshot(1, time.Second)
			require.NoError(t, err)
			s, err = Restore(head, chunks, time.Second)
			require.NoError(t, err)
		}
		applyRecords(t, s, submission("j", ""), submission("j", ""))
		require.Equal(t, Cancelled, s.Jobs["j"].Phase)
		require.Zero(t, s.Pending["q"])
		applyRecords(t, s, submission("k", ""))
		require.Equal(t, Queued, s.Jobs["k"].Phase)
	}
}

// Guards against a cancellation that overlooks the submission that was stored just before it.
func TestAbsentCancellationCancelsAJobThatHasArrived(t *testing.T) {
	s := NewState()
	applyRecords(t, s, submission("j", "w"), absentCancel("j", "w"))
	require.Equal(t, Cancelled, s.Jobs["j"].Phase)
	require.Zero(t, s.Tombstones())
}

// Guards against a workspace that cancels the jobs of another one by their ids, before or after their submission.
func TestAbsentCancellationSparesOtherWorkspaces(t *testing.T) {
	s := NewState()
	applyRecords(t, s, absentCancel("j", "a"), submission("j", "b"))
	require.Equal(t, Queued, s.Jobs["j"].Phase)
	applyRecords(t, s, submission("k", "b"), absentCancel("k", "a"))
	require.Equal(t, Queued, s.Jobs["k"].Phase)
	applyRecords(t, s, absentCancel("l", "a"), submission("l", ""), absentCancel("m", ""), submission("m", "a"))
	require.Equal(t, Cancelled, s.Jobs["l"].Phase, "jobs of public queues are open to all")
	require.Equal(t, Queued, s.Jobs["m"].Phase, "a caller without a key may not cancel jobs of a workspace")
}

// Guards against a tombstone that is removed while a submission may still be stored late, and against tombstones that
// are never removed.
func TestTombstonesLastForTheirRetention(t *testing.T) {
	s := NewState()
	cancel := absentCancel("j", "")
	require.NoError(t, s.Apply(&cancel, time.Second))
	s.Forget(time.Hour, time.Second+TombstoneRetention)
	require.True(t, s.Withdrawn("j", ""))
	require.NoError(t, s.Apply(&cancel, time.Minute))
	s.Forget(time.Hour, 2*time.Second+TombstoneRetention)
	require.True(t, s.Withdrawn("j", ""), "cancelled again")
	s.Forget(time.Hour, time.Minute+time.Second+TombstoneRetention)
	require.Zero(t, s.Tombstones())
}

// Guards against cancellations that fill the memory of every daemon or evict the tombstones of other workspaces.
func TestTombstonesOfOneWorkspaceEvictItsOwnOnly(t *testing.T) {
	s := NewState()
	for i := range 3 * maxTombstones {
		cancel := absentCancel(fmt.Sprint("j", i), "loud")
		require.NoError(t, s.Apply(&cancel, time.Duration(i)))
		if i == 10 {
			quiet := absentCancel("quiet", "quiet")
			require.NoError(t, s.Apply(&quiet, time.Duration(i)))
		}
		require.Equal(t, i < maxWorkspaceTombstones-1, s.AcceptsTombstone("loud"), i)
		require.LessOrEqual(t, s.Tombstones(), maxTombstones)
	}
	require.True(t, s.Withdrawn("quiet", "quiet"))
	require.True(t, s.Withdrawn(fmt.Sprint("j", 3*maxTombstones-1), "loud"))
	require.False(t, s.Withdrawn("j0", "loud"))
}

// Guards against a snapshot that the store refuses because long ids make one of its chunks too large.
func TestChunksOfTombstonesFitIntoARecord(t *testing.T) {
	s := NewState()
	for i := range maxTombstones {
		cancel := absentCancel(strings.Repeat("\x01", 124)+fmt.Sprintf("%04x", i), "w")
		require.NoError(t, s.Apply(&cancel, time.Duration(i)))
	}
	head, chunks, err := s.Snapshot(1, time.Second)
	require.NoError(t, err)
	for _, chunk := range chunks {
		require.Less(t, len(chunk), 256<<10)
	}
	restored, err := Restore(head, chunks, time.Second)
	require.NoError(t, err)
	require.Equal(t, s.Tombstones(), restored.Tombstones())
}

// Guards against a restored state that treats later cancellations and submissions in another way than the original, and
// against counts and lists of tombstones that disagree.
func TestTombstonesSurviveSnapshotsAtAnyTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := NewState(), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
			workspace := rapid.SampledFrom([]string{"", "v", "w"}).Draw(t, "workspace")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				record := absentCancel(id, workspace)
				require.NoError(t, s.Apply(&record, now))
				known := s.Jobs[id]
				require.Equal(t, known == nil, s.Withdrawn(id, workspace) && known == nil)
				if known != nil && (known.Workspace == "" || known.Workspace == workspace) {
					require.Equal(t, Cancelled, known.Phase)
				}
			case 1:
				known, withdrawn := s.Jobs[id] != nil, s.Withdrawn(id, workspace)
				record := submission(id, workspace)
				require.NoError(t, s.Apply(&record, now))
				if !known {
					require.Equal(t, withdrawn, s.Jobs[id].Phase == Cancelled)
				}
			case 2:
				s.Forget(time.Minute, now)
			case 3:
				head, chunks, err := s.Snapshot(1, now)
				require.NoError(t, err)
				restored, err := Restore(head, chunks, now)
				require.NoError(t, err)
				require.Equal(t, s.tombstones.sorted(), restored.tombstones.sorted())
				s = restored
			}
			require.Len(t, s.tombstones.sorted(), s.tombstones.count)
			listed := 0
			for _, list := range s.tombstones.byID {
				listed += len(list)
			}
			require.Equal(t, s.tombstones.count, listed)
			for _, list := range s.tombstones.byWorkspace {
				require.True(t, slices.IsSortedFunc(list, func(a, b *tombstone) int { return int(a.at - b.at) }))
			}
		}
	})
}
