package patience

import (
	"math"
	"time"

	"briarproxy/core/resource"
)

const (
	// memory is the time constant with which past releases are forgotten.
	memory = 10 * time.Second
	// minObserved is the least time of observation that a rate is divided by.
	minObserved = time.Second
	// maxPlaces bounds the number of places that are remembered.
	maxPlaces = 20_000
)

// Releases measures the rate at which capacity becomes free, by place. It is not safe for concurrent use.
type Releases struct {
	places map[string]*released
}

type released struct {
	milliCores, memoryMiB, accelerators float64 // weighted by age
	since, at                           time.Duration
}

// NewReleases returns a Releases without observations.
func NewReleases() *Releases { return &Releases{places: map[string]*released{}} }

// Observe records that work has ended at a place and freed its capacity.
func (r *Releases) Observe(place string, freed resource.Vector, now time.Duration) {
	p := r.places[place]
	if p == nil {
		if len(r.places) >= maxPlaces {
			r.forgetIdle(now)
		}
		p = &released{since: now, at: now}
		r.places[place] = p
	}
	p.age(now)
	p.milliCores += float64(max(0, freed.MilliCores))
	p.memoryMiB += float64(max(0, freed.MemoryMiB))
	p.accelerators += float64(max(0, freed.Accelerators))
}

// age forgets what is past. From then on p.at is now, or later if the clock has gone back.
func (p *released) age(now time.Duration) {
	if now <= p.at {
		return
	}
	share := math.Exp(-float64(now-p.at) / float64(memory))
	p.milliCores, p.memoryMiB, p.accelerators, p.at = p.milliCores*share, p.memoryMiB*share, p.accelerators*share, now
}

// forgetIdle drops the places at which nothing was freed for several time constants.
func (r *Releases) forgetIdle(now time.Duration) {
	for name, p := range r.places {
		if now-p.at > 3*memory {
			delete(r.places, name)
		}
	}
}

// TimeToFree returns the expected time until the given capacity has been freed at the places together, at the rate
// measured there. It is Never if nothing was freed, as at places that no longer exist.
func (r *Releases) TimeToFree(places []string, lack resource.Vector, now time.Duration) time.Duration {
	var milliCores, memoryMiB, accelerators float64 // freed per second
	for _, name := range places {
		p := r.places[name]
		if p == nil {
			continue
		}
		p.age(now)
		// The weights of releases at a constant rate since the first one sum up to this time.
		observed := max(minObserved.Seconds(), memory.Seconds()*(1-math.Exp(-float64(p.at-p.since)/float64(memory))))
		milliCores, memoryMiB, accelerators = milliCores+p.milliCores/observed, memoryMiB+p.memoryMiB/observed, accelerators+p.accelerators/observed
	}
	seconds := 0.0
	for _, kind := range []struct {
		lack int64
		rate float64
	}{{lack.MilliCores, milliCores}, {lack.MemoryMiB, memoryMiB}, {lack.Accelerators, accelerators}} {
		if kind.lack > 0 {
			seconds = max(seconds, float64(kind.lack)/kind.rate)
		}
	}
	if !(seconds < MaxWait.Seconds()) {
		return Never
	}
	return time.Duration(seconds * float64(time.Second))
}
