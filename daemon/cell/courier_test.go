package cell

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/placer"
	"briarproxy/daemon/bootclock"
)

// startRecorder records the orders to start that reach it.
type startRecorder struct {
	Platform
	sent chan cluster.Start
}

func (s startRecorder) Start(_ context.Context, _ cluster.Life, _ string, order *cluster.Start) (cluster.StartResult, int64) {
	s.sent <- *order
	return cluster.Started, 77
}

// Guards against an order to start that is relayed by another daemon and arrives without its Spec, is
// sent twice, or is lost because that daemon has not read the job yet.
func TestOrderThroughAnotherDaemon(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	recorder := startRecorder{sent: make(chan cluster.Start, 4)}
	require.NoError(t, servePeers(listener, &peerService{starter: recorder, specOf: func(_ context.Context, job string) (string, bool) { return "text", job == "known" }}))
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	sender := newOrderSender(api.engine)
	order := func(job string) *placer.StartCommand {
		return &placer.StartCommand{Relay: "d", Order: cluster.Start{
			RunID: cluster.RunID{TaskID: cluster.TaskID{Job: job}, Run: 2}, Spec: "text", Ticket: "t", LeaseUntil: 9, Token: 5,
		}}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	result, clock, sent := sender.startThroughPeer(ctx, listener.Addr().String(), order("known"))
	require.True(t, sent)
	require.Equal(t, cluster.Started, result)
	require.EqualValues(t, 77, clock)
	require.Equal(t, order("known").Order, <-recorder.sent)
	_, _, sent = sender.startThroughPeer(ctx, listener.Addr().String(), order("unread"))
	require.False(t, sent, "the placer is to send the order itself")
	require.Empty(t, recorder.sent)
}

// Guards against sending orders that have queued until their tickets expired: the worker refuses them,
// so they waste bandwidth.
func TestOrderIsNotSentAfterItsDeadline(t *testing.T) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	recorder := startRecorder{sent: make(chan cluster.Start, 2)}
	api.engine.platform = recorder
	sender := newOrderSender(api.engine)
	result, _ := sender.sendStart(t.Context(), "", &placer.StartCommand{SendDeadline: bootclock.Now() - time.Millisecond})
	require.Equal(t, cluster.NotSent, result)
	require.Empty(t, recorder.sent)
	result, _ = sender.sendStart(t.Context(), "", &placer.StartCommand{SendDeadline: bootclock.Now() + time.Minute})
	require.Equal(t, cluster.Started, result)
	require.Len(t, recorder.sent, 1)
}

// Guards against a Spec that is not found because its record is only just being read.
func TestSpecOfAJobThatIsBeingRead(t *testing.T) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	go func() {
		time.Sleep(specRetryDelay)
		api.onEngine(func(e *engine) { e.state.Jobs["late"] = &flow.Job{Submit: flow.Submit{ID: "late", Spec: "x"}} })
	}()
	spec, known := api.engine.specOf(t.Context(), "late")
	require.True(t, known)
	require.Equal(t, "x", spec)
	_, known = api.engine.specOf(t.Context(), "never")
	require.False(t, known)
}

// Guards against records that cross the link of a low-capacity placer twice: once when they are
// forwarded, once when they are appended.
func TestRecordsBypassALowCapacityPlacer(t *testing.T) {
	store := &fakeStore{}
	w := newWriter(store, newPeerClients())
	address := serveSubmissions(t, func(records [][]byte, _ time.Duration) []error { return make([]error, len(records)) })
	w.placerAddress.Store(&address)
	w.lowCapacityPlacer.Store(true)
	go w.run(t.Context())
	require.NoError(t, w.append(t.Context(), testSubmission, time.Second))
	require.EqualValues(t, 1, store.appends.Load())
}
