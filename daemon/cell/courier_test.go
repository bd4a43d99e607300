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

// startRecorder notes the orders to start that were sent.
type startRecorder struct {
	Platform
	sent chan cluster.Start
}

func (s startRecorder) Start(_ context.Context, _ cluster.Life, _ string, o *cluster.Start) (cluster.StartResult, int64) {
	s.sent <- *o
	return cluster.Started, 77
}

// Guards against an order through another daemon that arrives without its Spec, is sent
// twice, or is lost because that daemon has not read the job yet.
func TestOrderThroughAnotherDaemon(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	other := startRecorder{sent: make(chan cluster.Start, 4)}
	require.NoError(t, servePeers(l, &peerService{starter: other, spec: func(_ context.Context, job string) (string, bool) { return "text", job == "known" }}))
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	o := newOrderSender(c.engine)
	order := func(job string) *placer.StartCommand {
		return &placer.StartCommand{Relay: "d", Order: cluster.Start{
			RunID: cluster.RunID{TaskID: cluster.TaskID{Job: job}, Run: 2}, Spec: "text", Ticket: "t", LeaseUntil: 9, Token: 5,
		}}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	result, clock, sent := o.startThroughPeer(ctx, l.Addr().String(), order("known"))
	require.True(t, sent)
	require.Equal(t, cluster.Started, result)
	require.EqualValues(t, 77, clock)
	require.Equal(t, order("known").Order, <-other.sent)
	_, _, sent = o.startThroughPeer(ctx, l.Addr().String(), order("unread"))
	require.False(t, sent, "the placer sends it itself")
	require.Empty(t, other.sent)
}

// Guards against orders that wait behind others until their tickets have expired and are then
// sent all the same: the worker refuses them, and the link carries them for nothing.
func TestOrderIsNotSentAfterItsDeadline(t *testing.T) {
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	sent := startRecorder{sent: make(chan cluster.Start, 2)}
	c.engine.platform = sent
	o := newOrderSender(c.engine)
	result, _ := o.sendStart(t.Context(), "", &placer.StartCommand{SendDeadline: bootclock.Now() - time.Millisecond})
	require.Equal(t, cluster.NotSent, result)
	require.Empty(t, sent.sent)
	result, _ = o.sendStart(t.Context(), "", &placer.StartCommand{SendDeadline: bootclock.Now() + time.Minute})
	require.Equal(t, cluster.Started, result)
	require.Len(t, sent.sent, 1)
}

// Guards against a Spec that is not found although its record is about to be read.
func TestSpecOfAJobThatIsBeingRead(t *testing.T) {
	c := newTestCallerAPI(t, &fakeStore{}, 0)
	go func() {
		time.Sleep(specRetryDelay)
		c.onEngine(func(e *engine) { e.state.Jobs["late"] = &flow.Job{Submit: flow.Submit{ID: "late", Spec: "x"}} })
	}()
	spec, known := c.engine.specOf(t.Context(), "late")
	require.True(t, known)
	require.Equal(t, "x", spec)
	_, known = c.engine.specOf(t.Context(), "never")
	require.False(t, known)
}

// Guards against records that pass the link of a weak placer twice.
func TestRecordsBypassAWeakPlacer(t *testing.T) {
	store := &fakeStore{}
	w := newWriter(store, newPeerClients())
	address := serveSubmissions(t, func(records [][]byte, _ time.Duration) []error { return make([]error, len(records)) })
	w.placerAddress.Store(&address)
	w.weakPlacer.Store(true)
	go w.run(t.Context())
	require.NoError(t, w.append(t.Context(), testSubmission, time.Second))
	require.EqualValues(t, 1, store.appends.Load())
}
