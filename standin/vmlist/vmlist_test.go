package vmlist

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
)

// Guards against a list that shows changes too early or out of order, and against
// patches that clear fields that they do not contain.
func TestChangesBecomeVisibleAfterLag(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(Options{
		VMs: []wire.VM{{Name: "a", Rack: "r1", State: wire.VMLive}, {Name: "b"}},
		Lag: time.Minute,
		Now: func() time.Time { return now },
	})
	require.NoError(t, l.Change(Change{Patch: []json.RawMessage{[]byte(`{"name":"a","state":"leaving"}`), []byte(`{"name":"c"}`)}}))
	now = now.Add(30 * time.Second)
	require.NoError(t, l.Change(Change{Remove: []string{"b"}}))
	assert.Equal(t, []wire.VM{{Name: "a", Rack: "r1", State: wire.VMLive}, {Name: "b"}}, l.Visible().VMs)
	now = now.Add(30 * time.Second)
	assert.Equal(t, []wire.VM{{Name: "a", Rack: "r1", State: wire.VMLeaving}, {Name: "b"}, {Name: "c"}}, l.Visible().VMs)
	now = now.Add(30 * time.Second)
	assert.Equal(t, []wire.VM{{Name: "a", Rack: "r1", State: wire.VMLeaving}, {Name: "c"}}, l.Visible().VMs)
	require.Error(t, l.Change(Change{Patch: []json.RawMessage{[]byte(`{"state":"leaving"}`)}}))
}
