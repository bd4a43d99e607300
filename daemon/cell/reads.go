package cell

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"briarproxy/core/cluster"
)

// purpose is the reason for a read from the store.
type purpose int

// Purposes of reads, with their number, and the interval of log lines about them.
const (
	readToFollow       purpose = iota // the log reader reads the next records
	readToRefresh                     // an answer to a caller or peer, or a claim, needs the current end of the log
	readToProbe                       // checks whether the store answers
	readToRestore                     // reads a snapshot
	purposeCount       int     = iota
	catchUpLogInterval         = time.Second // between two log lines of a daemon that catches up
)

var purposeNames = [purposeCount]string{"follow", "refresh", "probe", "restore"}

// readVolume counts reads and the bytes that they returned.
type readVolume struct{ calls, bytes atomic.Int64 }

// readStats counts the reads of this daemon from the store and their bytes, by purpose, for log lines
// and metrics.
type readStats struct {
	volumes      [purposeCount]readVolume
	callCounters [purposeCount]prometheus.Counter
	byteCounters [purposeCount]prometheus.Counter
}

func newReadStats(m metrics) *readStats {
	s := &readStats{}
	for p, name := range purposeNames {
		s.callCounters[p], s.byteCounters[p] = m.readCalls.WithLabelValues(name), m.readBytes.WithLabelValues(name)
	}
	return s
}

func (s *readStats) count(p purpose, bytes int) {
	s.volumes[p].calls.Add(1)
	s.volumes[p].bytes.Add(int64(bytes))
	s.callCounters[p].Inc()
	s.byteCounters[p].Add(float64(bytes))
}

// countPage counts the read of a log page, with the bytes of its records.
func (s *readStats) countPage(p purpose, page *cluster.LogPage) {
	bytes := 0
	for _, record := range page.Records {
		bytes += len(record)
	}
	s.count(p, bytes)
}

// logFields returns the counts as fields of a log line.
func (s *readStats) logFields() []any {
	var fields []any
	for p, name := range purposeNames {
		fields = append(fields, name+"_calls", s.volumes[p].calls.Load(), name+"_bytes", s.volumes[p].bytes.Load())
	}
	return fields
}

// logCatchingUp logs the progress of a daemon that has not read the log to its end recently, once per
// catchUpLogInterval: its offset, and what it has read from the store so far.
func (e *engine) logCatchingUp(now time.Duration) {
	if now-e.readToEndAt < readyReadAge || now-e.catchUpLoggedAt < catchUpLogInterval {
		return
	}
	e.catchUpLoggedAt = now
	e.log.Emit(evCatchingUp, append([]any{"offset", e.state.NextOffset, "end_at_least", e.logEnd, "ever_read", e.readToEndAt > 0}, e.store.reads.logFields()...)...)
}
