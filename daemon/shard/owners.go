package shard

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// Sampling of rack owners.
const (
	sampleSize      = 3 // owners whose summaries are refreshed while work waits
	summaryInterval = 100 * time.Millisecond
	summaryKeep     = 10 * time.Second // owners not heard of for longer are not chosen
)

// summaries holds the free capacity of rack owners as they told it last. All
// shards of a daemon share it, so that the number of calls does not depend on the
// number of shards that wait.
type summaries struct {
	options *Options
	wanted  atomic.Bool // a shard has work that waits
	mu      sync.Mutex
	owners  map[string]summary
}

// summary is what one owner told.
type summary struct {
	pools map[string]wire.PoolSummary
	at    time.Duration // boot clock
}

func newSummaries(options *Options) *summaries {
	return &summaries{options: options, owners: map[string]summary{}}
}

// serve refreshes a random sample while work waits, until ctx ends.
func (s *summaries) serve(ctx context.Context) {
	rng := s.options.Random()
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.wanted.Swap(false) {
			continue
		}
		for _, name := range sample(rackOwners(s.options.View.Current()), rng) {
			s.options.Calls.Go(func() { s.ask(ctx, name) })
		}
	}
}

func sample(names []string, rng *rand.Rand) []string {
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(sampleSize, len(names))]
}

// rackOwners returns the names of the live daemons that own rack units, in order.
func rackOwners(snapshot *view.Snapshot) []string {
	var names []string
	for name, unit := range snapshot.Units {
		if d, known := snapshot.Daemons[unit.Owner]; known && d.Live && strings.HasPrefix(name, "rack:") {
			names = append(names, unit.Owner)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (s *summaries) ask(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.SummaryReply
	err := s.options.Peers.Call(ctx, name, wire.RPCSummary, &wire.SummaryArgs{From: s.options.Self}, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		delete(s.owners, name)
		return
	}
	s.owners[name] = summary{pools: poolsOf(reply.Pools), at: s.options.Now()}
}

// poolsOf merges the parts of a pool that lie in several data centres.
func poolsOf(parts []wire.PoolSummary) map[string]wire.PoolSummary {
	pools := make(map[string]wire.PoolSummary, len(parts))
	for _, p := range parts {
		merged := pools[p.Pool]
		merged.Pool = p.Pool
		merged.Workers += p.Workers
		merged.Usable += p.Usable
		merged.Free = merged.Free.Add(p.Free)
		merged.Capacity = merged.Capacity.Add(p.Capacity)
		merged.Largest = merged.Largest.Max(p.Largest)
		pools[p.Pool] = merged
	}
	return pools
}

// forget drops an owner that did not answer a call for room.
func (s *summaries) forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.owners, name)
}

// current returns what is known now. The map is the caller's, its values are shared
// and must not be changed.
func (s *summaries) current() map[string]summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]summary, len(s.owners))
	for name, one := range s.owners {
		copied[name] = one
	}
	return copied
}

// ownerChoice chooses the daemon that one shard asks for room. It belongs to the
// runner's goroutine.
type ownerChoice struct {
	shared *summaries
	owners map[string]summary
	used   map[string]resource.Vector // by owner and pool: room asked for since its summary
}

func newOwnerChoice(shared *summaries) *ownerChoice {
	return &ownerChoice{shared: shared, used: map[string]resource.Vector{}}
}

// refresh asks for newer summaries and takes over those that have come.
func (o *ownerChoice) refresh() {
	o.shared.wanted.Store(true)
	fresh := o.shared.current()
	for key := range o.used {
		name, _, _ := strings.Cut(key, "\x00")
		if fresh[name].at != o.owners[name].at {
			delete(o.used, key)
		}
	}
	o.owners = fresh
}

// known reports whether any owner's summary is there.
func (o *ownerChoice) known() bool { return len(o.owners) > 0 }

// choose returns the owner with the largest free share for the ask and notes the
// total, so that one summary is not used up twice. It returns "" when no known
// owner has room.
func (o *ownerChoice) choose(pool string, ask, total resource.Vector, now time.Duration, tried map[string]bool) string {
	best, bestShare := "", -1.0
	for name, s := range o.owners {
		p, has := s.pools[pool]
		if !has || tried[name] || now-s.at > summaryKeep || !ask.Fits(p.Largest) {
			continue
		}
		free := p.Free.Sub(o.used[name+"\x00"+pool])
		if !ask.Fits(free) {
			continue
		}
		share := freeShare(free, p.Capacity)
		if share > bestShare || share == bestShare && name < best {
			best, bestShare = name, share
		}
	}
	if best != "" {
		key := best + "\x00" + pool
		o.used[key] = o.used[key].Add(total)
	}
	return best
}

// freeShare is the smallest free share over the kinds of resource the pool has.
func freeShare(free, capacity resource.Vector) float64 {
	share := 1.0
	for _, kind := range [][2]int64{
		{free.MilliCores, capacity.MilliCores},
		{free.MemoryMiB, capacity.MemoryMiB},
		{free.Slots, capacity.Slots},
	} {
		if kind[1] > 0 {
			share = min(share, float64(kind[0])/float64(kind[1]))
		}
	}
	return share
}
