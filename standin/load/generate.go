package load

import (
	"fmt"
	"sync"
	"time"
)

// stream is a sequence of requests of one operation at a constant rate.
type stream struct {
	operation         string
	requestsPerSecond float64
	timeout           time.Duration
}

// generate sends the streams' requests for the duration, to the daemons in turn and
// without waiting for answers (open loop). It returns when all requests have ended.
// keyPrefix must differ between calls, to keep idempotency keys unique.
func (c *Cell) generate(keyPrefix string, daemons []*daemon, streams []stream, duration time.Duration) []requestResult {
	var mu sync.Mutex
	var results []requestResult
	var group sync.WaitGroup
	began := time.Now()
	sentByStream := make([]int, len(streams))
	total := 0
	for elapsed := time.Duration(0); elapsed < duration; elapsed = time.Since(began) {
		for i, s := range streams {
			for float64(sentByStream[i]) < elapsed.Seconds()*s.requestsPerSecond {
				key := fmt.Sprintf("%s-%s-%d", keyPrefix, s.operation, sentByStream[i])
				d := daemons[total%len(daemons)]
				sentByStream[i]++
				total++
				group.Go(func() {
					result := c.sendRequest(d, s.operation, key, s.timeout)
					mu.Lock()
					defer mu.Unlock()
					results = append(results, result)
				})
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	group.Wait()
	return results
}

// requestMix holds each operation's share of the slots at a load of 1 and its callers'
// timeout. The policies guarantee 35% of the slots to the lower classes, so the urgent
// class must need less than 65% at a load of 2; with a share of 0.4 it needed 80%, and no
// scheduler could have kept its waiting time.
var requestMix = []struct {
	operation string
	slotShare float64
	timeout   time.Duration
}{
	{doorstep, 0.25, 4 * time.Second},
	{certificate, 0.35, 10 * time.Second},
	{survey, 0.4, 10 * time.Second},
}

// mixedStreams returns the streams of requestMix at rates that need load times the
// cell's slots.
func (c *Cell) mixedStreams(load float64) []stream {
	slots := float64(c.options.Workers * slotsPerVM)
	streams := make([]stream, len(requestMix))
	for i, m := range requestMix {
		streams[i] = stream{m.operation, load * slots * m.slotShare / runTimes[m.operation].Seconds(), m.timeout}
	}
	return streams
}
