package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// quotaTeam is a team whose quota belongs to the test shard.
var quotaTeam = func() string {
	for i := 0; ; i++ {
		if name := fmt.Sprint("team-", i); wire.TeamShard(name) == testShard {
			return name
		}
	}
}()

func lease(m *Manager, epoch, seq int64, holder string, want, held int64) (int64, error) {
	wish := wire.QuotaWish{Team: quotaTeam, Want: resource.Vector{Slots: want}, Held: resource.Vector{Slots: held}}
	var reply wire.QuotaReply
	err := m.Quota(&wire.QuotaArgs{Holder: holder, Seq: seq, Shard: testShard, ShardEpoch: epoch, Wishes: []wire.QuotaWish{wish}}, &reply)
	if err != nil || len(reply.Portions) == 0 {
		return 0, err
	}
	return reply.Portions[0].Amount.Slots, nil
}

// Guards against a quota that is leased twice: by an owner and its successor, or by
// an owner after its lease.
func TestSuccessorLeasesOnlyWhatIsHeld(t *testing.T) {
	c := newTestCell(t)
	first, stop := c.owner(1, time.Minute)
	got, err := lease(first, 1, 1, "a", 5, 0)
	require.NoError(t, err)
	require.EqualValues(t, 5, got, "nobody owned the shard before")
	got, err = lease(first, 1, 1, "b", 5, 0)
	require.NoError(t, err)
	require.EqualValues(t, 3, got)
	stop()

	second, _ := c.owner(2, 300*time.Millisecond)
	got, err = lease(second, 2, 2, "a", 8, 5)
	require.NoError(t, err)
	require.EqualValues(t, 5, got, "the portion goes on and does not grow")
	got, err = lease(second, 2, 1, "c", 8, 0)
	require.NoError(t, err)
	require.Zero(t, got, "b may still use its portion")

	require.Eventually(t, func() bool {
		_, err := lease(second, 2, 3, "a", 5, 5)
		return fault.Is(err, fault.NotOwner)
	}, 2*time.Second, 20*time.Millisecond, "refused after the lease")
}
