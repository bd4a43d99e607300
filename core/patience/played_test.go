package patience

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarproxy/core/resource"
)

// playedJob is one task with its data in one rack.
type playedJob struct {
	arrived time.Duration
	work    time.Duration
	rack    int
	waited  time.Duration // while another rack had room
	skipped int           // times that it left room of another rack unused
}

// policy reports whether a job waits while its rack is full and another one has room. skips counts the rooms that became
// free since the last decision.
type policy func(j *playedJob, l *playedLoad, skips int) bool

// playedLoad plays jobs on racks of slots. Each job is started in the order of arrival, in its rack or elsewhere.
type playedLoad struct {
	now      time.Duration
	factor   float64 // run time away from the data
	busy     []int   // slots in use by rack
	ends     []playedEnd
	waiting  []*playedJob
	releases *Releases
	times    []time.Duration // from arrival to the end
	away     int
}

type playedEnd struct {
	at   time.Duration
	rack int
}

const (
	playedRacks = 6
	playedSlots = 8
)

// play returns the load after jobs have arrived for two minutes at a share of the racks' capacity.
func play(decide policy, load, factor float64, works []time.Duration, seed uint64) *playedLoad {
	rng := rand.New(rand.NewPCG(seed, 7))
	l := &playedLoad{factor: factor, busy: make([]int, playedRacks), releases: NewReleases()}
	mean := 0.0
	for _, w := range works {
		mean += w.Seconds() / float64(len(works))
	}
	rate := load * playedRacks * playedSlots / mean
	next := time.Duration(0)
	for l.now = 0; next < 2*time.Minute || len(l.waiting)+len(l.ends) > 0; l.now += 20 * time.Millisecond {
		for ; next <= l.now && next < 2*time.Minute; next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			// Two of six racks hold half of the data, so these fill up first.
			rack := rng.IntN(playedRacks)
			if rng.Float64() < 0.25 {
				rack = rng.IntN(2)
			}
			work := time.Duration(float64(works[rng.IntN(len(works))]) * math.Exp(0.5*rng.NormFloat64()-0.125))
			l.waiting = append(l.waiting, &playedJob{arrived: next, work: work, rack: rack})
		}
		freed := 0
		l.ends = slices.DeleteFunc(l.ends, func(e playedEnd) bool {
			if e.at > l.now {
				return false
			}
			l.busy[e.rack]--
			freed++
			l.releases.Observe(fmt.Sprint(e.rack), resource.Vector{MilliCores: 1000}, l.now)
			return true
		})
		l.start(decide, freed)
	}
	slices.Sort(l.times)
	return l
}

func (l *playedLoad) start(decide policy, freed int) {
	l.waiting = slices.DeleteFunc(l.waiting, func(j *playedJob) bool {
		rack, took := j.rack, j.work
		if l.busy[rack] == playedSlots {
			rack = slices.Index(l.busy, slices.Min(l.busy))
			if l.busy[rack] == playedSlots {
				return false
			}
			if decide(j, l, freed) {
				j.waited += 20 * time.Millisecond
				return false
			}
			took = time.Duration(float64(took) * l.factor)
			l.away++
		}
		l.busy[rack]++
		l.ends = append(l.ends, playedEnd{l.now + took, rack})
		l.times = append(l.times, l.now+took-j.arrived)
		return true
	})
}

func (l *playedLoad) mean() time.Duration {
	sum := time.Duration(0)
	for _, t := range l.times {
		sum += t
	}
	return sum / time.Duration(len(l.times))
}

func (l *playedLoad) p99() time.Duration { return l.times[len(l.times)*99/100] }

func constantWait(j *playedJob, _ *playedLoad, _ int) bool { return j.waited < 2*time.Second }

// delayScheduling skips the number of opportunities that the paper derives for the share of local tasks that it aims at.
func delayScheduling(j *playedJob, _ *playedLoad, freed int) bool {
	const localShare = 0.95
	j.skipped += max(freed, 1)
	return float64(j.skipped) < -playedRacks*math.Log((1-localShare)/(1+(1-localShare)))
}

func learnedWait(j *playedJob, l *playedLoad, _ int) bool {
	ahead, inUse := int64(1), 0
	for _, n := range l.busy {
		inUse += n
	}
	for _, other := range l.waiting {
		if other == j {
			break
		}
		if other != nil && other.rack == j.rack {
			ahead++
		}
	}
	return Decide(Choice{
		Work: j.work, Factor: l.factor, Waited: j.waited, Load: float64(inUse) / (playedRacks * playedSlots), Spare: time.Hour,
		Expected: l.releases.TimeToFree([]string{fmt.Sprint(j.rack)}, resource.Vector{MilliCores: 1000 * ahead}, l.now),
	}) == Wait
}

func TestWaitIsNotShorterOrLongerThanItPays(t *testing.T) {
	const seeds = 3
	works := map[string][]time.Duration{
		"short": {300 * time.Millisecond}, "long": {6 * time.Second}, "both": {300 * time.Millisecond, 6 * time.Second},
	}
	for _, load := range []float64{0.3, 0.7, 0.95} {
		for _, factor := range []float64{1.2, 3} {
			for _, name := range []string{"short", "long", "both"} {
				mean, p99 := map[string]time.Duration{}, map[string]time.Duration{}
				for policyName, decide := range map[string]policy{"constant": constantWait, "delay": delayScheduling, "learned": learnedWait} {
					for seed := range uint64(seeds) {
						l := play(decide, load, factor, works[name], seed)
						mean[policyName] += l.mean() / seeds
						p99[policyName] += l.p99() / seeds
					}
				}
				t.Logf("load %.2f factor %.1f %5s: mean constant %5d delay %5d learned %5d ms; p99 %6d %6d %6d ms", load, factor, name,
					mean["constant"].Milliseconds(), mean["delay"].Milliseconds(), mean["learned"].Milliseconds(),
					p99["constant"].Milliseconds(), p99["delay"].Milliseconds(), p99["learned"].Milliseconds())
				best := min(mean["constant"], mean["delay"])
				assert.LessOrEqual(t, mean["learned"].Seconds(), 1.1*best.Seconds(), "load %.2f factor %.1f %s", load, factor, name)
			}
		}
	}
}
