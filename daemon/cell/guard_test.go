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

// Guards against a bug met by one query, record or job that ends the process, and with it
// every daemon in turn, as all of them follow the same log.
func TestUnexpectedErrorDoesNotEndTheDaemon(t *testing.T) {
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	c.engine.do(t.Context(), func(*engine) { panic("a query") })
	var next int64
	c.onEngine(func(e *engine) {
		broken := &flow.Job{Submit: flow.Submit{ID: "broken", Steps: []flow.Step{{Count: -1}}}, Phase: flow.Running}
		e.state.Jobs["broken"] = broken // as an older daemon may have saved it
		batch := &flow.Batch{Epoch: e.state.Claim.Epoch, Begins: []flow.Begin{{RunID: cluster.RunID{TaskID: cluster.TaskID{Job: "broken"}, Run: 1}}}}
		broken.Steps[0].Count = 1
		broken.Occurrences = map[int]*flow.Occurrence{0: nil}
		broken.Steps = append(broken.Steps, flow.Step{Count: -1})
		next = e.state.NextOffset
		e.applyRecord(c.ctx, &decoded{record: flow.Record{Batch: batch}}, bootclock.Now())
		next = e.state.NextOffset - next
	})
	require.EqualValues(t, 1, next, "the record is passed over")
	require.Equal(t, 200, c.request("GET", "/p/known", "").Code)
}

// panicAdviser stands for any bug in a handler.
type panicAdviser struct{ Adviser }

func (panicAdviser) Advise(context.Context, cluster.StepID, []string) ([]cluster.Grant, time.Duration, error) {
	panic("a handler")
}

// Guards against an RPC that ends the process of the daemon that serves it, and against one
// that is not RPC at all.
func TestUnexpectedErrorInAnRPC(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	require.NoError(t, servePeers(l, &peerService{adviser: panicAdviser{}, yield: func(int64) {}}))
	raw, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	_, err = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n\x00\xff\xff\xff\xff"))
	require.NoError(t, err)
	require.NoError(t, raw.Close())
	p := newPeerClients()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, _, err = p.advise(ctx, l.Addr().String(), cluster.StepID{}, []string{"w"})
	require.ErrorContains(t, err, "unexpectedly")
	require.NoError(t, p.yield(ctx, l.Addr().String(), 1), "it still serves")
}
