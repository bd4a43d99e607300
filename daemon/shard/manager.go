package shard

import (
	"context"
	"sync"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// Manager runs one goroutine for each shard that this daemon owns.
type Manager struct {
	options   Options
	summaries *summaries
	mu        sync.Mutex
	runners   map[int]*runner
}

// New returns a manager. Call Serve to run it.
func New(options Options) *Manager {
	return &Manager{options: options, summaries: newSummaries(&options), runners: map[int]*runner{}}
}

// Serve starts and stops shards as their ownership changes, until ctx ends.
func (m *Manager) Serve(ctx context.Context) {
	go m.summaries.serve(ctx)
	for {
		changed := m.options.View.Changed()
		m.reconcile(ctx, m.options.View.Current())
		select {
		case <-ctx.Done():
			m.stopAll()
			return
		case <-changed:
		}
	}
}

func (m *Manager) reconcile(ctx context.Context, snapshot *view.Snapshot) {
	for shard := range wire.ShardCount {
		unit := snapshot.Units[wire.ShardUnit(shard)]
		m.reconcileShard(ctx, shard, unit)
	}
}

func (m *Manager) reconcileShard(ctx context.Context, shard int, unit view.Unit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.runners[shard]
	if current != nil && (!unit.Mine || unit.Epoch != current.epoch) {
		current.cancel()
		delete(m.runners, shard)
		current = nil
	}
	if current == nil && unit.Mine {
		m.runners[shard] = startRunner(ctx, m.options, m.summaries, shard, unit.Epoch)
	}
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for shard, r := range m.runners {
		r.cancel()
		<-r.done
		delete(m.runners, shard)
	}
}

// runner returns the runner of a shard. A call that names an older epoch was sent
// to an earlier owner and must have no effect here.
func (m *Manager) runner(shard int, epoch int64) (*runner, error) {
	m.mu.Lock()
	r := m.runners[shard]
	m.mu.Unlock()
	if r == nil {
		return nil, fault.New(fault.NotOwner, "ask the shard's owner; retry in a second", "daemon %q does not own %s", m.options.Self, wire.ShardUnit(shard))
	}
	if epoch != 0 && epoch != r.epoch {
		return nil, fault.New(fault.NotOwner, "retry with the newest epoch", "%s is owned under epoch %d, the call names %d", wire.ShardUnit(shard), r.epoch, epoch)
	}
	return r, nil
}

// Idle reports whether no keyed request is in flight at this daemon.
func (m *Manager) Idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.runners {
		if r.inFlight.Load() > 0 {
			return false
		}
	}
	return true
}

// Stats describes the shards that this daemon owns.
type Stats struct {
	Shards  int `json:"shards"`
	Jobs    int `json:"jobs"`
	Waiting int `json:"waiting_groups"`
	Verify  int `json:"attempts_to_verify"`
	Keys    int `json:"idempotency_keys"`
}

// Stats adds up what the shards of this daemon hold.
func (m *Manager) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := Stats{Shards: len(m.runners)}
	for _, r := range m.runners {
		s := r.stats.Load()
		if s == nil {
			continue
		}
		total.Jobs += s.Jobs
		total.Waiting += s.Waiting
		total.Verify += s.Verify
		total.Keys += s.Keys
	}
	return total
}
