package flow

import (
	"testing"
	"time"

	"briarproxy/core/cluster"
)

// Guards against a record that crashes every daemon that applies it, again at each restart.
func TestInvalidJobsAreIgnored(t *testing.T) {
	for name, steps := range map[string][]Step{
		"negative count":      {{Count: -1}},
		"no task":             {{Count: 0}},
		"too many tasks":      {{Count: MaxTasksInStep + 1}},
		"waits for itself":    {{Count: 1, DependsOn: []int{0}}},
		"waits for a later":   {{Count: 1, DependsOn: []int{1}}, {Count: 1}},
		"waits for a missing": {{Count: 1}, {Count: 1, DependsOn: []int{-1}}},
	} {
		s := NewState()
		if err := s.Apply(&Record{Submit: &Submit{ID: "j", Steps: steps}}, 0); err == nil {
			t.Errorf("%s: accepted", name)
		}
		if s.NextOffset != 1 || len(s.Jobs) != 0 {
			t.Errorf("%s: next %d, %d jobs", name, s.NextOffset, len(s.Jobs))
		}
	}
}

// FuzzRecords guards against records, in any order and with any content, that crash the process
// or do not advance the offset by exactly one.
func FuzzRecords(f *testing.F) {
	begin := Record{Batch: &Batch{Epoch: 1, Begins: []Begin{{RunID: cluster.RunID{TaskID: cluster.TaskID{Job: "j"}, Run: 1}}}}}
	end := Record{Batch: &Batch{Epoch: 1, Ends: []End{{RunID: cluster.RunID{TaskID: cluster.TaskID{Job: "j"}, Run: 1}, Reason: cluster.Done, Checkpoint: "c"}}}}
	for _, r := range []Record{
		{Submit: &Submit{ID: "j", Queue: "q", Steps: []Step{{Count: 2, Gang: true}, {Count: 1, DependsOn: []int{0}}}, MaxAttempts: 1}},
		{Submit: &Submit{ID: "j", Times: 3, Steps: []Step{{Count: -1}}}},
		{Claim: &Claim{Daemon: "d", Epoch: 1}}, begin, end, {Cancel: &Cancel{ID: "j"}}, {Cancel: &Cancel{ID: "k", Absent: true, Workspace: "w"}}, {Hello: &Hello{Daemon: "d", Leaving: true}}, {},
	} {
		data, err := r.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Add([]byte{compressedVersion, 0xff, 0x01}, []byte(`{"b":{"e":1,"b":[{"j":"j","i":-1,"s":99}]}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := NewState()
		claim := Record{Claim: &Claim{Daemon: "d", Epoch: 1}}
		job := Record{Submit: &Submit{ID: "j", Queue: "q", Steps: []Step{{Count: 2, Gang: true}, {Count: 1, DependsOn: []int{0}}}, MaxAttempts: 1}}
		records := []Record{claim, job}
		for _, data := range [][]byte{first, second, first} {
			if r, err := Decode(data); err == nil {
				records = append(records, r)
			}
		}
		for i := range records {
			_ = s.Apply(&records[i], time.Duration(i)) // an error means that the record was ignored
		}
		if s.NextOffset != int64(len(records)) {
			t.Fatalf("position %d after %d records", s.NextOffset, len(records))
		}
		head, chunks, err := s.Snapshot(1, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(head, chunks, time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzRestore guards against a damaged snapshot that crashes the process.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`[{"s":{"id":"j","t":[{"n":2}]},"p":"running","k":{"0":[{"t":[{},{}]}]}}]`))
	f.Add([]byte(`[{"s":{"id":"j","t":[{"n":-2}]},"p":"running","k":{"0":[]}}]`))
	f.Add(append([]byte{endedVersion, 0, 1}, "8bytes--\x05\x80\x03abc\x00"...))
	f.Add([]byte{endedVersion, 0, endedTextIDFlag, 0xff, 0xff, 0x03})
	f.Add(append([]byte{endedVersionWithWorkspaces, 0, 1}, "8bytes--\x05\x01\x01w\x80\x03abc\x00\x01"...))
	f.Add(append([]byte{endedVersionWithWorkspaces, 0, 1}, "8bytes--\x05\x02\x01w"...))
	f.Fuzz(func(_ *testing.T, chunk []byte) {
		s, err := Restore(SnapshotHead{Chunks: 1, Parts: []SnapshotPart{DescribeChunk(chunk)}}, [][]byte{chunk}, time.Second)
		if err != nil {
			return
		}
		batch := Record{Batch: &Batch{Begins: []Begin{{RunID: cluster.RunID{TaskID: cluster.TaskID{Job: "j"}, Run: 9}}}}}
		_ = s.Apply(&batch, time.Second)
	})
}
