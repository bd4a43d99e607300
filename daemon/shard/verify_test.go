package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// Guards against tasks that count as ended, and run again while they still run, because a daemon that has just started could
// not read the VM list yet.
func TestUnreadVMListDoesNotEndAttempts(t *testing.T) {
	holder, now := view.NewHolder(), time.Minute
	r := &runner{Options: Options{View: holder, Now: func() time.Duration { return now }}, missing: map[string]time.Duration{}}
	for range 3 {
		require.False(t, r.vmGone("vm", false))
		now += 2 * goneAfter
	}
	holder.Publish(&view.Snapshot{VMs: map[string]view.VM{"other": {VM: wire.VM{Name: "other"}}}})
	require.False(t, r.vmGone("vm", false))
	now += 2 * goneAfter
	require.True(t, r.vmGone("vm", false))
}
