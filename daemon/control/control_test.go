package control

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
	"briarproxy/core/object"
	"briarproxy/core/ownership"
	"briarproxy/core/wire"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/logclient"
	"briarproxy/daemon/view"
)

// memoryLog is a log in memory that can be switched off.
type memoryLog struct {
	mu      sync.Mutex
	down    bool
	streams map[string][]wire.LogRecord
}

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *memoryLog) Append(_ context.Context, stream, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, fault.New(fault.Unavailable, "wait", "log is down")
	}
	offset := int64(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], wire.LogRecord{Offset: offset, Data: data})
	return offset, nil
}

func (l *memoryLog) Tail(ctx context.Context, stream string, from int64, handle func(logclient.Batch) error) error {
	from = max(from, 0)
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		l.mu.Lock()
		down, records := l.down, l.streams[stream][from:]
		l.mu.Unlock()
		if down {
			continue
		}
		next := from + int64(len(records))
		if err := handle(logclient.Batch{From: from, Next: next, Records: records, AtEnd: true}); err != nil {
			return err
		}
		from = next
	}
	return ctx.Err()
}

type fakeConfig struct{ version int64 }

func (f *fakeConfig) Apply(int64, []byte)           { f.version++ }
func (f *fakeConfig) Current() (int64, *object.Set) { return f.version, &object.Set{} }

type fixedVMs struct{}

func (fixedVMs) Run(ctx context.Context, handle func(wire.VMList)) {
	handle(wire.VMList{VMs: []wire.VM{{Name: "w1", Role: wire.RoleWorker, State: wire.VMLive, Region: "r", DataCentre: "d", Rack: "k1"}}})
	<-ctx.Done()
}

type daemon struct {
	control *Control
	holder  *view.Holder
	stop    func()
}

func startDaemon(t *testing.T, log *memoryLog, name string, quiesce func(context.Context, []string)) *daemon {
	timing := ownership.DefaultTiming()
	timing.Lease = time.Second
	timing.Margin = 20 * time.Millisecond
	timing.Settle = 200 * time.Millisecond
	timing.MoveWindow = 200 * time.Millisecond
	holder := view.NewHolder()
	c := New(Options{
		Self:   view.Daemon{Name: name, Incarnation: 1, Region: "r", DataCentre: "d"},
		Timing: timing, HeartbeatEvery: 200 * time.Millisecond, DecideEvery: 50 * time.Millisecond,
		PublishEvery: 10 * time.Millisecond,
		Log:          log, Config: &fakeConfig{}, VMs: fixedVMs{}, Quiesce: quiesce,
	}, holder)
	ctx, cancel := context.WithCancel(t.Context())
	finished := make(chan struct{})
	go func() { defer close(finished); c.Run(ctx) }()
	d := &daemon{control: c, holder: holder, stop: func() { cancel(); <-finished }}
	t.Cleanup(d.stop)
	return d
}

// mine returns the units whose lease is valid now.
func (d *daemon) mine() map[string]bool {
	units := map[string]bool{}
	s := d.holder.Current()
	now := bootclock.Now()
	for name, u := range s.Units {
		if u.Mine && u.LeaseUntil > now {
			units[name] = true
		}
	}
	return units
}

const allUnits = wire.ShardCount + 1

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, 20*time.Millisecond, what)
}

// Guards against units that two daemons hold at once or nobody holds, against one
// daemon that claims everything at a common start, and against units of a stopped
// daemon that are not taken over.
func TestDaemonsShareAndTakeOver(t *testing.T) {
	log := &memoryLog{streams: map[string][]wire.LogRecord{}}
	a := startDaemon(t, log, "a", nil)
	b := startDaemon(t, log, "b", nil)
	noneTwice := func() int {
		ofA, ofB := a.mine(), b.mine()
		for unit := range ofA {
			require.False(t, ofB[unit], "%s has two holders", unit)
		}
		return len(ofA) + len(ofB)
	}
	eventually(t, "all units are held", func() bool { return noneTwice() == allUnits })
	require.Greater(t, len(a.mine()), allUnits/5)
	require.Greater(t, len(b.mine()), allUnits/5)
	require.Equal(t, "w1", b.holder.Current().VMs["w1"].Name)
	a.stop()
	eventually(t, "the rest is taken over", func() bool { noneTwice(); return len(b.mine()) == allUnits })
	require.False(t, b.holder.Current().Daemons["a"].Live)
}

// Guards against a snapshot that loses units or daemons during a log outage, and
// against owners and epochs that change although everybody comes back.
func TestLogOutageKeepsTheSnapshot(t *testing.T) {
	log := &memoryLog{streams: map[string][]wire.LogRecord{}}
	a := startDaemon(t, log, "a", nil)
	eventually(t, "all units are held", func() bool { return len(a.mine()) == allUnits })
	before := a.holder.Current()
	require.True(t, before.LogHealthy)
	log.setDown(true)
	eventually(t, "leases end", func() bool { return len(a.mine()) == 0 })
	during := a.holder.Current()
	require.False(t, during.LogHealthy)
	require.True(t, during.Daemons["a"].Live)
	for name, u := range before.Units {
		require.True(t, during.Units[name].Mine, name)
		require.Equal(t, u.Epoch, during.Units[name].Epoch)
	}
	log.setDown(false)
	eventually(t, "leases are valid again", func() bool { return len(a.mine()) == allUnits })
	require.Equal(t, before.Units["shard:00"].Epoch, a.holder.Current().Units["shard:00"].Epoch)
}

// Guards against a planned stop that leaves units to their leases, that releases
// before the daemon has stopped acting, or that claims again while draining.
func TestPlannedStopReleases(t *testing.T) {
	log := &memoryLog{streams: map[string][]wire.LogRecord{}}
	var early bool
	a := startDaemon(t, log, "a", func(context.Context, []string) {
		log.mu.Lock()
		defer log.mu.Unlock()
		for _, r := range log.streams[wire.StreamMembers] {
			early = early || strings.Contains(string(r.Data), `"rl"`)
		}
	})
	eventually(t, "all units are held", func() bool { return len(a.mine()) == allUnits })
	a.control.Drain()
	eventually(t, "the heartbeat says draining", func() bool { return a.holder.Current().Daemons["a"].Draining })
	require.Len(t, a.mine(), allUnits, "a draining daemon keeps its units until the release")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, a.control.ReleaseAll(ctx))
	require.Empty(t, a.mine())
	a.stop()
	require.False(t, early, "a release was in the log before Quiesce returned")
}

// Guards against a leaving VM that receives work again because the list lags, and
// against a replacement on the same address that inherits the mark.
func TestLeavingIsStickyPerIncarnation(t *testing.T) {
	table := newVMTable()
	list := func(state wire.VMState) {
		table.list(wire.VMList{VMs: []wire.VM{{Name: "w", Address: "x", State: state}}}, time.Minute)
	}
	leaving := func() bool { return table.current(time.Minute)["w"].Leaving }
	list(wire.VMLive)
	require.False(t, leaving())
	table.report("w", 1, true, time.Minute)
	require.True(t, leaving())
	list(wire.VMLive)
	table.report("w", 1, false, time.Minute)
	require.True(t, leaving(), "sticky")
	list(wire.VMLeaving)
	table.report("w", 2, false, time.Minute)
	list(wire.VMLeaving)
	require.False(t, leaving(), "the list still means incarnation 1")
	table.report("w", 1, true, time.Minute)
	require.False(t, leaving(), "a late report of incarnation 1")
	list(wire.VMLive)
	list(wire.VMLeaving)
	require.True(t, leaving())
	table.list(wire.VMList{}, time.Minute)
	require.Contains(t, table.current(time.Minute), "w", "reported 0 s ago")
	require.NotContains(t, table.current(2*time.Minute), "w")
}
