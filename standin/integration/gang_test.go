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

// Guards against a gang whose tasks do not all run at the same time, and against a gang
// on fewer racks than its configuration requires (min_racks of mill-wear-review is 3).
func TestGangRunsTogetherOnEnoughRacks(t *testing.T) {
	c := startCluster(t, options{deployment: &cooperative, daemons: 3, workers: 48, racksPerRegion: 2, operations: []string{"wear-review=2000"}})
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	client := demo.NewClient(c.callerURLs(), seed)
	defer client.Close()
	spec := wire.JobSpec{ID: "review-1", Template: "mill-wear-review", Tasks: 24, Body: []byte("review")}
	record := client.SubmitJob(ctx, "mill-wear-review", spec, 5*time.Second)
	require.Equal(t, demo.OutcomeAccepted, record.FinalOutcome, lastDetail(record))
	client.AwaitJob(ctx, record, 12*time.Second)
	c.verifyAgainstJournal([]*demo.Record{record})

	rackOf := map[string]string{}
	for _, vm := range c.vms {
		rackOf[vm.Name] = wire.RackUnit(vm.DataCentre, vm.Rack)
	}
	tasksByRack := map[string]int{}
	for _, e := range c.journalEntries() {
		if e.Event == worker.EventStart {
			tasksByRack[rackOf[e.VM]]++
		}
	}
	assert.GreaterOrEqual(t, len(tasksByRack), 3, "tasks by rack: %v", tasksByRack)
}
