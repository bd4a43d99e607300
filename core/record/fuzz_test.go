package record

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bytes in the stream `members` that stop a reader, and against
// records that mean something else after they are written again.
func FuzzDecode(f *testing.F) {
	for _, r := range []Record{
		{Heartbeat: &Heartbeat{Sequence: 1, Units: []HeldUnit{{Name: "shard:00", Epoch: 3}}}},
		{Claim: &Claim{Units: []ClaimedUnit{{Name: "rack:d/r", Supersedes: NoRecord}}}},
		{Release: &Release{Units: []HeldUnit{{Name: "shard:01", Epoch: 9}}}},
	} {
		r.ID = ID{Daemon: "d", Incarnation: 1, Counter: 2}
		data, err := Encode(r)
		require.NoError(f, err)
		f.Add(append(append(data, '\n'), data...))
	}
	f.Add([]byte("{\"v\":2}\n\nnull\n[]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, skipped := Decode(data)
		require.GreaterOrEqual(t, skipped, 0)
		for _, r := range records {
			again, err := Encode(r)
			require.NoError(t, err)
			decoded, skipped := Decode(again)
			require.Zero(t, skipped)
			require.Len(t, decoded, 1)
			written, err := Encode(decoded[0])
			require.NoError(t, err)
			require.Equal(t, string(again), string(written))
		}
	})
}
