package job

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
)

const benchTasks = 100

func submitBench(s *Shard, id string) {
	s.Apply(Record{Submit: &Submit{ID: id, Template: "batch", Tasks: benchTasks, Definition: Definition{
		Pool: "workers", Class: "batch", Team: "team-001", Operation: "run", MaxAttempts: 3}}}, 0)
}

// runBench starts and ends all tasks that are ready and returns the bytes of their
// records.
func runBench(b *testing.B, s *Shard) (bytes int) {
	for _, g := range s.NextGroups(0, benchTasks) {
		name := g.Job.ID
		for _, r := range s.Reserved(g, []Place{{VM: "rack-001-vm-001", Incarnation: 1796354538729}}) {
			s.Apply(r, 0)
			in := r.Intent
			s.Started(name, in.Index, in.Generation)
			end := s.EndRecord(TaskID(name, in.Index), in.Generation, wire.RunFinished, nil, 1796354538729)
			require.NotNil(b, end)
			s.Apply(*end, 0)
			intent, _ := json.Marshal(r)
			ended, _ := json.Marshal(end)
			bytes += len(intent) + len(ended)
		}
	}
	return bytes
}

// BenchmarkTaskRecords measures the life of one task at its shard's owner: submission,
// start, end and the encoding of both records.
func BenchmarkTaskRecords(b *testing.B) {
	s := NewShard(rand.New(rand.NewPCG(1, 1)))
	bytes, tasks := 0, 0
	for i := 0; b.Loop(); i++ {
		if i%benchTasks == 0 {
			submitBench(s, fmt.Sprintf("job-%d", i))
			bytes += runBench(b, s)
			tasks += benchTasks
		}
	}
	b.ReportMetric(float64(bytes)/float64(tasks), "log-bytes/task")
}

// BenchmarkShardMemory measures the heap that a waiting task takes.
func BenchmarkShardMemory(b *testing.B) {
	const jobs = 100
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := NewShard(rand.New(rand.NewPCG(1, 1)))
		for i := range jobs {
			submitBench(s, fmt.Sprintf("job-%d", i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(jobs*benchTasks), "heap-bytes/task")
		runtime.KeepAlive(s)
	}
}
