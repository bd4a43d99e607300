package flow

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/cluster"
)

// batchWithRuns returns a batch with begins and ends of the given number of runs, as a placer
// appends it.
func batchWithRuns(runs int) *Record {
	b := &Batch{Epoch: 1 << 21}
	for i := range runs {
		id := cluster.RunID{TaskID: cluster.TaskID{Job: fmt.Sprintf("%016x", i/4*2654435761), Index: i % 4}, Run: 1}
		life := cluster.Life{Worker: fmt.Sprintf("i-%04x", i*37%350), Born: 1779750176768 + int64(i*37%350)}
		b.Begins = append(b.Begins, Begin{RunID: id, Life: life})
		b.Ends = append(b.Ends, End{RunID: id, Reason: cluster.Done})
	}
	return &Record{Batch: b}
}

// Guards against a log that is too large for small VMs: at 600 starts per second every daemon
// read 3 to 6 Mbit/s from it, and reads broke off on links of 10 Mbit/s.
func TestBatchesAreSmall(t *testing.T) {
	data, err := batchWithRuns(40).Encode()
	require.NoError(t, err)
	require.Less(t, len(data), 40*2*20, "bytes of 40 begins and 40 ends")
	back, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, *batchWithRuns(40), back)
}

// Guards against a record that cannot be decoded after encoding, and against a crash on bytes
// that are no valid record.
func TestRecordsAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Record{Submit: &Submit{ID: rapid.String().Draw(t, "id"), Spec: rapid.String().Draw(t, "spec"), Steps: []Step{{Count: 1}}}}
		data, err := in.Encode()
		require.NoError(t, err)
		out, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, *in, out)
		_, _ = Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "foreign")) // it may fail but must not crash
		if len(data) > 2 {
			_, _ = Decode(data[:len(data)/2])
		}
	})
}

// Guards against a loss of compatibility with uncompressed records of earlier versions.
func TestPlainRecordsAreRead(t *testing.T) {
	r, err := Decode([]byte(`{"c":{"id":"j","at":5}}`))
	require.NoError(t, err)
	require.Equal(t, Record{Cancel: &Cancel{ID: "j", AtMS: 5}}, r)
}

func BenchmarkEncodeBatch(b *testing.B) {
	r := batchWithRuns(40)
	for b.Loop() {
		if _, err := r.Encode(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeBatch(b *testing.B) {
	data, err := batchWithRuns(40).Encode()
	require.NoError(b, err)
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
