package config

import (
	"testing"

	"github.com/stretchr/testify/require"

	"briarproxy/core/object"
)

// Guards against records of the stream "config" that crash a reader, decrease the
// version, or lead to a state whose snapshot another reader does not adopt.
func FuzzSequence(f *testing.F) {
	set := &object.Set{}
	whole, err := EncodePublication(Publication{ID: "a", Author: "x", Set: set})
	require.NoError(f, err)
	delta, err := EncodeDelta(Publication{ID: "b", Base: 1, Set: set}, set)
	require.NoError(f, err)
	f.Add(whole, delta, uint8(0))
	f.Add(whole, []byte(`{"format":1,"kind":"snapshot","id":"s","base":4,"version":5,"through":1,"set":{}}`), uint8(3))
	f.Add([]byte(`{"format":2}`), []byte("null"), uint8(1))
	f.Fuzz(func(t *testing.T, first, second []byte, gap uint8) {
		s := NewState(0)
		offset := int64(0)
		for _, data := range [][]byte{whole, first, second, first, delta} {
			before := s.Version()
			s.Apply(offset, data)
			require.GreaterOrEqual(t, s.Version(), before)
			require.NotNil(t, s.Set())
			offset += 1 + int64(gap%3)
		}
		require.Empty(t, s.TakeRefusals())
		snapshot, err := s.Snapshot()
		if err != nil {
			return
		}
		reader := NewState(s.NextOffset())
		require.Equal(t, EffectSnapshotAdopted, reader.Apply(s.NextOffset(), snapshot))
		require.Equal(t, s.Version(), reader.Version())
	})
}
