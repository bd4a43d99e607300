package rack

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

var (
	vmSize   = resource.Vector{MilliCores: 4000, MemoryMiB: 4096, Slots: 4}
	taskSize = resource.Vector{MilliCores: 1000, MemoryMiB: 1024}
)

// Guards against work on a VM whose former owner may still place there, or of which
// it is not known what runs: nothing is lent or reserved before the fence's
// inventory is adopted.
func TestNothingIsPlacedBeforeTheFence(t *testing.T) {
	h := newHarness(t, vmSize)
	h.worker.silent = true
	h.pass(3*time.Second, tickInterval)
	require.Zero(t, lentSlots(h.lend(1)))
	require.Empty(t, h.reserve("j/0", taskSize))
	h.worker.silent = false
	h.pass(time.Second, tickInterval)
	require.EqualValues(t, testEpoch, h.worker.epoch)
	require.EqualValues(t, 1, lentSlots(h.lend(1)))
	require.Len(t, h.reserve("j/0", taskSize), 1)
}

// Guards against slots that are lent while requests of an earlier owner still run
// on them, and against slots that stay lost when these have ended.
func TestRequestsOfAnEarlierOwnerKeepTheirSlots(t *testing.T) {
	h := newHarness(t, vmSize)
	for _, id := range []string{"r1", "r2", "r3"} {
		h.worker.add(wire.Attempt{ID: id, Epoch: testEpoch - 1, Kind: wire.KindRequest, Loan: 9, Resources: resource.Vector{Slots: 1}}, time.Hour)
	}
	h.pass(time.Second, tickInterval)
	require.EqualValues(t, 1, lentSlots(h.lend(4)))
	h.worker.attempts["r1"].State = wire.RunFinished
	h.worker.attempts["r2"].State = wire.RunFinished
	h.pass(3*time.Second, tickInterval)
	require.EqualValues(t, 2, lentSlots(h.lend(4)))
}

// Guards against tasks that a former owner started and that the new owner does not
// know: their room would be given away and their ends told to nobody.
func TestTasksOfAnEarlierOwnerAreAdopted(t *testing.T) {
	h := newHarness(t, vmSize)
	h.worker.add(wire.Attempt{ID: "j/0", Generation: 3, Epoch: testEpoch - 1, Kind: wire.KindTask, Job: "j", Resources: vmSize}, runLease)
	h.pass(time.Second, tickInterval)
	require.Empty(t, h.reserve("j/1", taskSize))
	h.worker.attempts["j/0"].State = wire.RunFinished
	h.pass(3*time.Second, tickInterval)
	require.Len(t, h.shards.ended, 1)
	require.EqualValues(t, 3, h.shards.ended[0].Generation)
	require.Equal(t, wire.RunFinished, h.shards.ended[0].State)
	require.Len(t, h.reserve("j/1", taskSize), 1)
}

// Guards against tasks of a restarted worker that count as running for ever, and
// against a new placement before the new incarnation is fenced.
func TestRestartedWorkerEndsItsAttempts(t *testing.T) {
	h := newHarness(t, vmSize)
	h.pass(time.Second, tickInterval)
	require.True(t, h.start(h.reserve("j/0", vmSize)[0], vmSize).Started)
	h.worker.restart()
	h.pass(3*time.Second, tickInterval)
	require.Len(t, h.shards.ended, 1)
	require.Equal(t, wire.RunStopped, h.shards.ended[0].State)
	require.EqualValues(t, testEpoch, h.worker.epoch, "fenced again")
	r := h.reserve("j/1", vmSize)
	require.Len(t, r, 1)
	require.EqualValues(t, 2, r[0].Incarnation)
}

// Guards against a task that is started elsewhere while it still runs on a silent
// worker, and against one that is never started elsewhere.
func TestTaskIsLostOnlyAfterItsRunLease(t *testing.T) {
	h := newHarness(t, vmSize)
	h.pass(time.Second, tickInterval)
	require.True(t, h.start(h.reserve("j/0", taskSize)[0], taskSize).Started)
	h.worker.silent = true
	for range 600 {
		h.pass(tickInterval, tickInterval)
		if len(h.shards.ended) > 0 {
			break
		}
	}
	require.Len(t, h.shards.ended, 1, "lost within 30 s")
	h.worker.expire()
	require.Equal(t, wire.RunStopped, h.worker.attempts["j/0"].State, "its worker has stopped it before")
}

// Guards against a task that stays open for ever, with its room, because its start got
// no answer and never arrived, and against ending it while the start may arrive.
func TestUnansweredStartThatNeverArrivedEnds(t *testing.T) {
	h := newHarness(t, vmSize)
	h.pass(time.Second, tickInterval)
	r := h.reserve("j/0", vmSize)[0]
	h.worker.silent = true
	require.True(t, h.start(r, vmSize).Unknown)
	h.worker.silent = false
	h.pass(startValidity/2, tickInterval)
	require.Empty(t, h.shards.ended, "the start may still arrive")
	h.pass(10*time.Second, tickInterval)
	require.Len(t, h.shards.ended, 1)
	require.Equal(t, wire.RunStopped, h.shards.ended[0].State)
	require.Len(t, h.reserve("j/1", vmSize), 1, "the room is free again")
}

// Guards against a start whose room was given away when its reservation expired.
func TestExpiredReservationIsNotStarted(t *testing.T) {
	h := newHarness(t, vmSize)
	h.pass(time.Second, tickInterval)
	r := h.reserve("j/0", vmSize)[0]
	require.Empty(t, h.reserve("j/1", taskSize), "the room is reserved")
	h.now += 2 * time.Second
	require.Equal(t, wire.RefusedTooLate, h.start(r, vmSize).Refused, "before the owner's tick expires it")
	h.pass(tickInterval, tickInterval)
	require.Equal(t, wire.RefusedTooLate, h.start(r, vmSize).Refused)
	require.Zero(t, h.worker.starts)
	require.Len(t, h.reserve("j/1", vmSize), 1, "the room is free again")
}

// Guards against placement by an owner that has a successor which it has not read
// of: the worker refuses its epoch, the task did not run, and nothing more is
// placed there.
func TestStartUnderAStaleEpochIsRefused(t *testing.T) {
	h := newHarness(t, vmSize)
	h.pass(time.Second, tickInterval)
	r := h.reserve("j/0", taskSize)[0]
	h.worker.epoch = testEpoch + 1
	outcome := h.start(r, taskSize)
	require.False(t, outcome.Started)
	require.Equal(t, wire.RefusedStaleEpoch, outcome.Refused)
	require.Empty(t, h.worker.attempts)
	require.Empty(t, h.reserve("j/1", taskSize))
	require.Zero(t, lentSlots(h.lend(1)))
	h.own(testEpoch + 2)
	h.pass(time.Second, tickInterval)
	require.Len(t, h.reserve("j/1", taskSize), 1, "owned again under a newer epoch")
}

// Guards against a shard owner with a successor that still reserves or starts.
func TestCallsUnderAStaleShardEpochAreRefused(t *testing.T) {
	h := newHarness(t, vmSize)
	h.pass(time.Second, tickInterval)
	require.Error(t, h.checkShard(0, 0))
	require.NoError(t, h.checkShard(0, 1))
	call := startCall{args: &wire.StartArgs{ShardEpoch: 0}, reply: make(chan startBatch, 1)}
	call.handle(h.Owner)
	require.Error(t, (<-call.reply).err)
	reserve := reserveCall{args: &wire.ReserveArgs{ShardEpoch: 0}, reply: make(chan reserveAnswer, 1)}
	reserve.handle(h.Owner)
	require.Error(t, (<-reserve.reply).err)
}

// Guards against a task that runs again, or is never known to have succeeded, because its rack owner was frozen for longer
// than the run lease and judges by its clock before it reads what the worker lists.
func TestFrozenOwnerTellsTheEndThatTheWorkerLists(t *testing.T) {
	h := newHarness(t, vmSize)
	h.pass(time.Second, tickInterval)
	require.True(t, h.start(h.reserve("j/0", taskSize)[0], taskSize).Started)
	h.worker.attempts["j/0"].State = wire.RunFinished
	h.now += time.Minute
	h.pass(5*time.Second, tickInterval)
	require.Len(t, h.shards.ended, 1)
	require.Equal(t, wire.RunFinished, h.shards.ended[0].State)
}

// Guards against a second run of a task that its rack's next owner keeps running, because the former owner was frozen, finds
// its own run leases lapsed and tells so before it reads that it has a successor.
func TestFrozenOwnerWithASuccessorTellsNoEnds(t *testing.T) {
	h := newHarness(t, vmSize)
	snapshot := *h.holder.Current()
	snapshot.Units = maps.Clone(snapshot.Units)
	rack := wire.RackUnit("c", "r")
	unit := snapshot.Units[rack]
	unit.LeaseUntil = h.now + 6*time.Second
	snapshot.Units[rack] = unit
	h.holder.Publish(&snapshot)
	h.pass(time.Second, tickInterval)
	require.True(t, h.start(h.reserve("j/0", taskSize)[0], taskSize).Started)
	h.now += time.Minute
	h.worker.epoch, h.worker.leases["j/0"] = testEpoch+1, h.now+runLease
	h.pass(5*time.Second, tickInterval)
	require.Empty(t, h.shards.ended)
}
