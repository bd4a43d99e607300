package cell

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Guards against a panic in the handling of one query, record or job that ends the process, and so
// that of every daemon, because all of them apply the same log.
func TestUnexpectedErrorDoesNotEndTheDaemon(t *testing.T) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	api.engine.do(t.Context(), func(*engine) { panic("a query") })
	var applied int64
	api.onEngine(func(e *engine) {
		broken := &flow.Job{Submit: flow.Submit{ID: "broken", Steps: []flow.Step{{Count: -1}}}, Phase: flow.Running}
		e.state.Jobs["broken"] = broken // invalid, as an older version of the daemon may have stored it
		batch := &flow.Batch{Epoch: e.state.Claim.Epoch, Begins: []flow.Begin{{RunID: cluster.RunID{TaskID: cluster.TaskID{Job: "broken"}, Run: 1}}}}
		broken.Steps[0].Count = 1
		broken.Occurrences = map[int]*flow.Occurrence{0: nil}
		broken.Steps = append(broken.Steps, flow.Step{Count: -1})
		applied = e.state.NextOffset
		e.applyRecord(api.ctx, &decodedRecord{record: flow.Record{Batch: batch}}, bootclock.Now())
		applied = e.state.NextOffset - applied
	})
	require.EqualValues(t, 1, applied, "the record is skipped")
	require.Equal(t, 200, api.request("GET", "/p/known", "").Code)
}

// panicAdviser panics in an RPC handler.
type panicAdviser struct{ Adviser }

func (panicAdviser) Advise(context.Context, cluster.StepID, []string) ([]cluster.Grant, time.Duration, error) {
	panic("a handler")
}

// Guards against a panic in an RPC handler, or a request that is not RPC at all, that ends the process
// of the daemon that serves it.
func TestUnexpectedErrorInAnRPC(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	require.NoError(t, servePeers(listener, &peerService{adviser: panicAdviser{}, yield: func(int64) {}}))
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n\x00\xff\xff\xff\xff"))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	peers := newPeerClients()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, _, err = peers.advise(ctx, listener.Addr().String(), cluster.StepID{}, []string{"w"})
	require.ErrorContains(t, err, "unexpectedly")
	require.NoError(t, peers.yield(ctx, listener.Addr().String(), 1), "the daemon still serves")
}
