package integration

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
	"briarproxy/standin/demo"
	"briarproxy/standin/worker"
)

// Guards against a gang whose tasks do not all run together, and against one that
// uses fewer racks than its object asks for (min_racks of mill-wear-review is 3).
func TestGangRunsTogetherOnEnoughRacks(t *testing.T) {
	c := start(t, options{user: &cooperative, daemons: 3, workers: 48, racks: 2, operations: []string{"wear-review=2000"}})
	ctx, cancel := context.WithTimeout(context.Background(), loadWait)
	defer cancel()
	client := demo.NewClient(c.urls(), seed)
	defer client.Close()
	spec := wire.JobSpec{ID: "review-1", Template: "mill-wear-review", Tasks: 24, Body: []byte("review")}
	record := client.Submit(ctx, "mill-wear-review", spec, 5*time.Second)
	require.Equal(t, demo.ToldAccepted, record.Final, lastDetail(record))
	client.Await(ctx, record, 12*time.Second)
	c.verify([]*demo.Record{record})

	rackOf := map[string]string{}
	for _, vm := range c.vms {
		rackOf[vm.Name] = wire.RackUnit(vm.DataCentre, vm.Rack)
	}
	tasks := map[string]int{} // by rack
	for _, e := range c.entries() {
		if e.Event == worker.EventStart {
			tasks[rackOf[e.VM]]++
		}
	}
	assert.GreaterOrEqual(t, len(tasks), 3, "tasks by rack: %v", tasks)
}
