package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
	"briarproxy/core/ownership"
	"briarproxy/core/wire"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
	"briarproxy/daemon/logclient"
	"briarproxy/daemon/view"
)

// memoryLog is a log in memory that can be switched off or land appends late.
type memoryLog struct {
	mu      sync.Mutex
	down    bool
	late    time.Duration // from an append's send to its effect
	streams map[string][]wire.LogRecord
	reads   int
	watch   func(stream string, data []byte) // called when an append is sent
}

func newMemoryLog() *memoryLog { return &memoryLog{streams: map[string][]wire.LogRecord{}} }

func (l *memoryLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// Append implements LogService. Offsets begin at 1.
func (l *memoryLog) Append(ctx context.Context, stream string, data []byte, _ func([]byte) bool) (int64, error) {
	l.mu.Lock()
	late, watch := l.late, l.watch
	l.mu.Unlock()
	if watch != nil {
		watch(stream, data)
	}
	select {
	case <-ctx.Done():
	case <-time.After(late):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || ctx.Err() != nil {
		return 0, fault.New(fault.Unknown, "read back", "the log is down")
	}
	offset := int64(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], wire.LogRecord{Offset: offset, Data: data})
	return offset, nil
}

// Read implements LogService.
func (l *memoryLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (wire.ReadReply, error) {
	deadline := time.Now().Add(wait)
	for {
		reply, err := l.read(stream, from, limit)
		if err != nil || len(reply.Records) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return reply, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *memoryLog) read(stream string, from int64, limit int) (wire.ReadReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return wire.ReadReply{}, fault.New(fault.Unavailable, "wait", "the log is down")
	}
	records := l.streams[stream]
	next := int64(len(records) + 1)
	records = records[min(from, next)-1:]
	return wire.ReadReply{First: 1, Next: next, Records: records[:min(limit, len(records))]}, nil
}

type fixedVMs struct{}

// Get implements VMSource.
func (fixedVMs) Get(context.Context) ([]wire.VM, error) {
	return []wire.VM{{Name: "w1", Role: wire.RoleWorker, State: wire.VMLive, Region: "r", DataCentre: "d", Rack: "k1"}}, nil
}

// fakePeers answers calls with a function.
type fakePeers func(daemon, method string, args, reply any) error

// Call implements peer.Caller.
func (f fakePeers) Call(_ context.Context, daemon, method string, args, reply any) error {
	return f(daemon, method, args, reply)
}

const (
	testLease     = time.Second
	testHeartbeat = 200 * time.Millisecond
)

func testOptions(log *memoryLog, name string) Options {
	timing := ownership.DefaultTiming()
	timing.Lease = testLease
	timing.Margin = 20 * time.Millisecond
	timing.Settle = 200 * time.Millisecond
	timing.MoveWindow = 200 * time.Millisecond
	noPeers := func(string, string, any, any) error { return fault.New(fault.Unavailable, "none", "no peers") }
	return Options{
		Self: view.Daemon{Name: name, Incarnation: 1, Region: "r", DataCentre: "d"},
		Log:  log, VMs: fixedVMs{}, Peers: fakePeers(noPeers), View: view.NewHolder(), Events: event.Discard(),
		Now: bootclock.Now, Timing: timing, Heartbeat: testHeartbeat, Retention: time.Hour,
		Budget: logclient.NewBudget(100), CellRate: func() float64 { return 100 },
	}
}

type daemon struct {
	*Control
	stop func()
}

func startDaemon(t *testing.T, log *memoryLog, name string) *daemon {
	c := New(testOptions(log, name))
	ctx, cancel := context.WithCancel(t.Context())
	finished := make(chan struct{})
	go func() { defer close(finished); c.Serve(ctx) }()
	d := &daemon{Control: c, stop: func() { cancel(); <-finished }}
	t.Cleanup(d.stop)
	return d
}

// held returns the units whose lease is valid now, with their epochs.
func (d *daemon) held() map[string]int64 {
	units := map[string]int64{}
	s := d.View.Current()
	now := bootclock.Now()
	for name, u := range s.Units {
		if u.Mine && u.LeaseUntil > now {
			units[name] = u.Epoch
		}
	}
	return units
}

const allUnits = wire.ShardCount + 1 // and one rack

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, 10*time.Millisecond, what)
}
