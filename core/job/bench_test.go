package job

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"briarproxy/core/wire"
)

// BenchmarkTaskLife takes one task per iteration from submission to its end: six
// steps of its state.
func BenchmarkTaskLife(b *testing.B) {
	const tasks = 100
	b.ReportAllocs()
	s := NewShard(rand.New(rand.NewPCG(1, 1)))
	places := []Place{{VM: "vm"}}
	for n := 0; n < b.N; n += tasks {
		id := fmt.Sprintf("job-%d", n)
		s.Apply(Record{Submit: &Submit{ID: id, Tasks: tasks, Definition: Definition{MaxAttempts: 1}}}, 0)
		for _, g := range s.NextGroups(0, tasks) {
			for _, r := range s.Reserved(g, places) {
				s.Apply(r, 0)
				s.Started(id, r.Intent.Index, r.Intent.Generation)
				s.Apply(*s.EndRecord(TaskID(id, r.Intent.Index), r.Intent.Generation, wire.RunFinished, nil, 0), 0)
			}
		}
		s.Expire(1, 0)
	}
}
