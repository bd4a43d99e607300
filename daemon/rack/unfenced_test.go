package rack

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/object"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// Guards against loans that outlive the rack's lease on workers which do not refuse
// stale epochs: a successor could lend the same slots.
func TestLoansOfUnfencedWorkersEndWithTheLease(t *testing.T) {
	h := newHarness(t, vmSize)
	snapshot := *h.holder.Current()
	snapshot.Set = &object.Set{Pools: map[string]*object.Pool{poolName: {Name: poolName, Fencing: false}}}
	rack := wire.RackUnit("c", "r")
	unit := snapshot.Units[rack]
	unit.LeaseUntil = h.now + 4*time.Second
	snapshot.Units = map[string]view.Unit{rack: unit}
	h.holder.Publish(&snapshot)
	h.pass(time.Second, tickInterval)
	loans := h.lend(1).Loans
	require.Len(t, loans, 1)
	renew := wire.BorrowArgs{Borrower: "b", Renew: []int64{loans[0].ID}}
	h.pass(2*time.Second, tickInterval)
	require.Len(t, h.borrow(renew).Renewed, 1)
	h.pass(2*time.Second, tickInterval)
	reply := h.borrow(renew)
	require.Empty(t, reply.Renewed)
	require.Len(t, reply.Lapsed, 1)
	require.Empty(t, h.lend(1).Loans)
}
