package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarproxy/core/object"
	"briarproxy/core/wire"
)

func listOf(count int) wire.VMList {
	var list wire.VMList
	for i := range count {
		list.VMs = append(list.VMs, wire.VM{
			Name: fmt.Sprintf("vm-%05d", i), Role: wire.RoleWorker, State: wire.VMLive, Region: "region",
			DataCentre: fmt.Sprintf("dc-%02d", i/8%30), Rack: fmt.Sprintf("rack-%04d", i/8), Address: fmt.Sprintf("10.0.0.1:%d", i),
		})
	}
	return list
}

// Guards against a kept snapshot that hides a change of the list, a worker that
// says it leaves, or the time at which a VM counts as gone.
func TestKeptSnapshotFollowsEveryChange(t *testing.T) {
	set := &object.Set{}
	table := newVMTable()
	table.list(listOf(16), 0)
	first := table.wantedUnits(0, set)
	assert.Len(t, first, wire.ShardCount+2)
	assert.False(t, table.current(0)["vm-00003"].Leaving)

	assert.True(t, table.report("vm-00003", 1, true, time.Second))
	assert.True(t, table.current(time.Second)["vm-00003"].Leaving)

	table.list(listOf(3), 2*time.Second)
	assert.Len(t, table.current(2*time.Second), 4, "three are listed and one has reported lately")
	assert.Len(t, table.wantedUnits(2*time.Second, set), wire.ShardCount+1)
	gone := time.Second + vmKeptAfterReport + time.Millisecond
	assert.Len(t, table.current(gone), 3)
}

// BenchmarkTick measures what the control goroutine does with the VMs at a tick.
func BenchmarkTick(b *testing.B) {
	set := &object.Set{}
	for _, vms := range []int{50, 18_000} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			table := newVMTable()
			list := listOf(vms)
			table.list(list, 0)
			for b.Loop() {
				table.wantedUnits(0, set)
			}
		})
	}
}
