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
	readToFollow  purpose = iota // the tail follows the log
	readToRefresh                // an answer needs what the log holds now
	readToProbe                  // the path to the store is tried
	readToRestore                // a snapshot
	purposes      int     = iota
	catchUpEvery          = time.Second // between two lines of a daemon that catches up
)

var purposeNames = [purposes]string{"follow", "refresh", "probe", "restore"}

// volume is a number of reads and of the bytes that they brought.
type volume struct{ calls, bytes atomic.Int64 }

// reads counts what this daemon reads from the store, by purpose.
type reads struct {
	volumes [purposes]volume
	total   [purposes]prometheus.Counter
	bytes   [purposes]prometheus.Counter
}

func newReads(c counts) *reads {
	r := &reads{}
	for p, name := range purposeNames {
		r.total[p], r.bytes[p] = c.readCalls.WithLabelValues(name), c.readBytes.WithLabelValues(name)
	}
	return r
}

// note counts one read.
func (r *reads) note(p purpose, bytes int) {
	r.volumes[p].calls.Add(1)
	r.volumes[p].bytes.Add(int64(bytes))
	r.total[p].Inc()
	r.bytes[p].Add(float64(bytes))
}

// notePage counts the read of a page of the log.
func (r *reads) notePage(p purpose, page *cluster.LogPage) {
	bytes := 0
	for _, record := range page.Records {
		bytes += len(record)
	}
	r.note(p, bytes)
}

// fields returns the volumes for a log line.
func (r *reads) fields() []any {
	var fields []any
	for p, name := range purposeNames {
		fields = append(fields, name+"_calls", r.volumes[p].calls.Load(), name+"_bytes", r.volumes[p].bytes.Load())
	}
	return fields
}

// reportCatchingUp writes once a second how far a daemon is that has not read the log to its
// end, and what it reads meanwhile.
func (e *engine) reportCatchingUp(now time.Duration) {
	if now-e.readLast < readyWithin || now-e.catchUpAt < catchUpEvery {
		return
	}
	e.catchUpAt = now
	e.log.Emit(evCatchingUp, append([]any{"offset", e.state.Next, "end_at_least", e.logEnd, "ever_read", e.readLast > 0}, e.store.reads.fields()...)...)
}
