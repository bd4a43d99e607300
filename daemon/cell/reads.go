package cell

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"briarproxy/core/cluster"
)

// purpose is why something is read from the store.
type purpose int

// Purposes of reads.
const (
	readToFollow       purpose = iota // the log reader follows the log
	readToRefresh                     // an answer needs what the log holds now
	readToProbe                       // the path to the store is tried
	readToRestore                     // a snapshot
	purposes           int     = iota
	catchUpLogInterval         = time.Second // between two lines of a daemon that catches up
)

var purposeNames = [purposes]string{"follow", "refresh", "probe", "restore"}

// readVolume is a number of reads and of the bytes that they brought.
type readVolume struct{ calls, bytes atomic.Int64 }

// readStats counts what this daemon reads from the store, by purpose.
type readStats struct {
	volumes [purposes]readVolume
	total   [purposes]prometheus.Counter
	bytes   [purposes]prometheus.Counter
}

func newReadStats(c metrics) *readStats {
	r := &readStats{}
	for p, name := range purposeNames {
		r.total[p], r.bytes[p] = c.readCalls.WithLabelValues(name), c.readBytes.WithLabelValues(name)
	}
	return r
}

// count counts one read.
func (r *readStats) count(p purpose, bytes int) {
	r.volumes[p].calls.Add(1)
	r.volumes[p].bytes.Add(int64(bytes))
	r.total[p].Inc()
	r.bytes[p].Add(float64(bytes))
}

// countPage counts the read of a page of the log.
func (r *readStats) countPage(p purpose, page *cluster.LogPage) {
	bytes := 0
	for _, record := range page.Records {
		bytes += len(record)
	}
	r.count(p, bytes)
}

// logFields returns the volumes for a log line.
func (r *readStats) logFields() []any {
	var fields []any
	for p, name := range purposeNames {
		fields = append(fields, name+"_calls", r.volumes[p].calls.Load(), name+"_bytes", r.volumes[p].bytes.Load())
	}
	return fields
}

// logCatchingUp writes once a second how far a daemon is that has not read the log to its
// end, and what it reads meanwhile.
func (e *engine) logCatchingUp(now time.Duration) {
	if now-e.readToEndAt < readyReadAge || now-e.catchUpLoggedAt < catchUpLogInterval {
		return
	}
	e.catchUpLoggedAt = now
	e.log.Emit(evCatchingUp, append([]any{"offset", e.state.NextOffset, "end_at_least", e.logEnd, "ever_read", e.readToEndAt > 0}, e.store.reads.logFields()...)...)
}
