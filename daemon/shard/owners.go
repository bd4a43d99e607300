package shard

import (
	"context"
	"sort"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// Sampling of rack owners.
const (
	sampleSize      = 3 // owners whose summaries are refreshed while work waits
	summaryMaxAge   = 400 * time.Millisecond
	summaryKeep     = 10 * time.Second // owners not heard of for longer are not chosen
	summaryInterval = 100 * time.Millisecond
)

// ownerChoice chooses the daemon that is asked for room, by sampled summaries of
// free capacity. It belongs to the runner's goroutine.
type ownerChoice struct {
	r         *runner
	summaries map[string]*summary
	next      time.Duration // when the next sample is due
}

type summary struct {
	pools   map[string]*wire.PoolSummary
	at      time.Duration
	pending bool
}

func newOwnerChoice(r *runner) *ownerChoice {
	return &ownerChoice{r: r, summaries: map[string]*summary{}}
}

// rackOwners returns the names of the live daemons that own rack units, in order.
func rackOwners(snapshot *view.Snapshot) []string {
	seen := map[string]bool{}
	for name, unit := range snapshot.Units {
		if unit.Owner == "" || len(name) < 5 || name[:5] != "rack:" {
			continue
		}
		if d, ok := snapshot.Daemons[unit.Owner]; ok && d.Live {
			seen[unit.Owner] = true
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// refresh asks a random sample of owners for their summaries.
func (o *ownerChoice) refresh(now time.Duration) {
	if now < o.next {
		return
	}
	o.next = now + summaryInterval
	names := rackOwners(o.r.View.Current())
	o.r.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:min(sampleSize, len(names))] {
		if s := o.summaries[name]; s == nil || !s.pending && now-s.at > summaryMaxAge {
			o.ask(name)
		}
	}
}

func (o *ownerChoice) ask(name string) {
	if o.summaries[name] == nil {
		o.summaries[name] = &summary{}
	}
	o.summaries[name].pending = true
	r := o.r
	r.Calls.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
		defer cancel()
		var reply wire.SummaryReply
		err := r.Peers.Call(ctx, name, wire.RPCSummary, &wire.SummaryArgs{From: r.Self}, &reply)
		_ = r.send(summaryAnswer{name: name, pools: reply.Pools, err: err})
	})
}

// known reports whether any owner's summary is there.
func (o *ownerChoice) known() bool {
	for _, s := range o.summaries {
		if s.pools != nil {
			return true
		}
	}
	return false
}

type summaryAnswer struct {
	name  string
	pools []wire.PoolSummary
	err   error
}

func (m summaryAnswer) handle(r *runner) {
	s := r.owners.summaries[m.name]
	s.pending = false
	if m.err != nil {
		delete(r.owners.summaries, m.name)
		return
	}
	s.at = r.Now()
	s.pools = map[string]*wire.PoolSummary{}
	for i := range m.pools {
		s.add(&m.pools[i])
	}
	r.place(s.at)
}

// add merges the parts of a pool that lie in several data centres.
func (s *summary) add(p *wire.PoolSummary) {
	known := s.pools[p.Pool]
	if known == nil {
		s.pools[p.Pool] = p
		return
	}
	known.Usable += p.Usable
	known.Workers += p.Workers
	known.Free = known.Free.Add(p.Free)
	known.Capacity = known.Capacity.Add(p.Capacity)
	known.Largest = known.Largest.Max(p.Largest)
}

// choose returns the owner with the largest free share for the ask and notes the
// ask against its summary, so that one sample is not used up twice. It returns ""
// when no known owner has room.
func (o *ownerChoice) choose(pool string, ask, total resource.Vector, now time.Duration, tried map[string]bool) string {
	best, bestShare := "", -1.0
	for name, s := range o.summaries {
		p := s.pools[pool]
		if p == nil || tried[name] || now-s.at > summaryKeep || !ask.Fits(p.Largest) {
			continue
		}
		share := freeShare(p)
		if share > bestShare || share == bestShare && name < best {
			best, bestShare = name, share
		}
	}
	if best != "" {
		p := o.summaries[best].pools[pool]
		p.Free = p.Free.Sub(total)
	}
	return best
}

// freeShare is the smallest free share over the kinds of resource the pool has.
func freeShare(p *wire.PoolSummary) float64 {
	share := 1.0
	for _, kind := range [][2]int64{
		{p.Free.MilliCores, p.Capacity.MilliCores},
		{p.Free.MemoryMiB, p.Capacity.MemoryMiB},
		{p.Free.Slots, p.Capacity.Slots},
	} {
		if kind[1] > 0 {
			share = min(share, float64(kind[0])/float64(kind[1]))
		}
	}
	return share
}
