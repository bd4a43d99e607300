package record

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a record that is lost or altered by the codec, and against one
// undecodable line that hides the records around it.
func TestDecodeSkipsOnlyBadLines(t *testing.T) {
	id := ID{Daemon: "a", Incarnation: 7, Counter: 3}
	beat := Record{Version: Version, ID: id, Heartbeat: &Heartbeat{Sequence: 9, Draining: true, Units: []HeldUnit{{Name: "shard:01", Epoch: 4}}}}
	claim := Record{Version: Version, ID: ID{Daemon: "a", Incarnation: 7, Counter: 4}, Claim: &Claim{Units: []ClaimedUnit{{Name: "shard:02", Supersedes: NoRecord}}}}
	first, err := Encode(beat)
	require.NoError(t, err)
	second, err := Encode(claim)
	require.NoError(t, err)
	data := append(first, []byte("\n{\"v\":99,\"id\":\"a/1/1\",\"hb\":{}}\nnot json\n{\"v\":1,\"id\":\"a/1/x\",\"hb\":{}}\n")...)
	data = append(data, second...)

	records, skipped := Decode(data)
	require.Equal(t, []Record{beat, claim}, records)
	require.Equal(t, 3, skipped)
	require.Contains(t, string(data), `"a/7/4"`, "the log client searches appends for the quoted id")
}

// Guards against a record without a unique id or body reaching the log.
func TestEncodeRefusesIncompleteRecords(t *testing.T) {
	for _, r := range []Record{
		{Heartbeat: &Heartbeat{}},
		{ID: ID{Daemon: "a"}},
		{ID: ID{Daemon: "a"}, Heartbeat: &Heartbeat{}, Release: &Release{}},
	} {
		_, err := Encode(r)
		require.Error(t, err)
	}
}
