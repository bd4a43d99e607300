package bench

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against versions that do different work: at 30% load every small
// decision must find room in both, and slots must not allocate.
func TestDecisionsCompareEqualWork(t *testing.T) {
	d := Decisions{Seed: 1, Workers: []int{50, 200}, Loads: []float64{0.3}, Gangs: []int{8}, Budget: time.Millisecond}
	rows := RunDecisions(d)
	require.Len(t, rows, 8)
	for _, r := range rows {
		assert.Equal(t, 1.0, r.Placed, "%s on %d", r.Work, r.Workers)
		assert.True(t, r.NaivePlaced == 1 || r.Work == workUrgent, "%s on %d", r.Work, r.Workers)
		assert.GreaterOrEqual(t, r.Repeats, leastRepeats)
		assert.True(t, r.Work != workSlot || r.Allocs == 0)
	}
}

// Guards against a packing figure above what the capacity allows, and against a
// rule that sees another sequence of tasks than the bound.
func TestPackingStaysBelowTheBound(t *testing.T) {
	p := Packing{Seed: 3, Runs: 1, Large: 60}
	rows := RunPacking(p)
	bound := map[string]float64{}
	for _, r := range rows {
		if r.Rule == "arithmetic bound" {
			bound[r.Mix] = r.Placed
		}
	}
	require.Len(t, bound, 3)
	for _, r := range rows {
		assert.LessOrEqual(t, r.Placed, bound[r.Mix]+1e-9, "%s, %s", r.Mix, r.Rule)
		assert.Greater(t, r.Placed, 0.3, "%s, %s", r.Mix, r.Rule)
	}
}

// Guards against a trial that loses tasks or gives another result on each run.
func TestOppositeEndsIsRepeatable(t *testing.T) {
	o := OppositeEnds{Seed: 5, Runs: 2, Workers: 40, Daemons: []int{2, 3}, Demands: []float64{0.5}, Lags: []int{10}}
	rows := RunOppositeEnds(o)
	assert.Equal(t, rows, RunOppositeEnds(o))
	for _, r := range rows {
		assert.Zero(t, r.Unplaced, r.Order)
	}
}

// Guards against a JSON file without the rows of the table.
func TestTableAndFileHoldTheRows(t *testing.T) {
	rows := RunOppositeEnds(OppositeEnds{Seed: 5, Runs: 1, Workers: 20, Daemons: []int{2}, Demands: []float64{0.5}, Lags: []int{10}})
	path := filepath.Join(t.TempDir(), "rows.json")
	require.NoError(t, writeJSON(path, Result{Kind: KindOppositeEnds, Opposite: rows}))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	var result Result
	require.NoError(t, json.Unmarshal(data, &result))
	assert.Equal(t, rows, result.Opposite)
	var out bytes.Buffer
	printOppositeEnds(&out, rows)
	assert.Contains(t, out.String(), "opposite ends")
	assert.Error(t, Run("other", 1, &out, ""))
}
