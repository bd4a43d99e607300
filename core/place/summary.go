package place

import (
	"cmp"
	"slices"

	"briarproxy/core/wire"
)

// Summary returns the free capacity per pool and data centre, sorted by pool, region
// and data centre. Largest is the free capacity of the schedulable worker with the
// most free cores. Summary examines every worker, which is acceptable because it is
// published every few seconds and not per decision.
func (c *Cell) Summary() []wire.PoolSummary {
	type key struct{ pool, region, dataCentre string }
	rows := map[key]*wire.PoolSummary{}
	for i := range c.states {
		w := &c.states[i]
		for n := range c.entries[i] {
			k := key{c.entries[i][n].pool.name, w.Region, w.DataCentre}
			if rows[k] == nil {
				rows[k] = &wire.PoolSummary{Pool: k.pool, Region: k.region, DataCentre: k.dataCentre}
			}
			addWorkerToSummary(rows[k], w)
		}
	}
	all := make([]wire.PoolSummary, 0, len(rows))
	for _, row := range rows {
		all = append(all, *row)
	}
	slices.SortFunc(all, func(a, b wire.PoolSummary) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Region, b.Region), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return all
}

func addWorkerToSummary(row *wire.PoolSummary, w *WorkerState) {
	row.Workers++
	if !w.Schedulable() {
		return
	}
	free := w.Free()
	if row.Usable == 0 || free.MilliCores > row.Largest.MilliCores {
		row.Largest = free
	}
	row.Usable++
	row.Capacity = row.Capacity.Add(w.Capacity)
	row.Free = row.Free.Add(free)
}
