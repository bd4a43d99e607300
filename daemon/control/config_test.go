package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/config"
	"briarproxy/core/fault"
	"briarproxy/core/object"
	"briarproxy/core/wire"
	"briarproxy/daemon/view"
)

// publications returns n accepted publications, the first at offset 1.
func publications(t *testing.T, n int) []wire.LogRecord {
	var records []wire.LogRecord
	for i := range n {
		p := config.Publication{ID: fmt.Sprintf("p%d", i), Base: int64(i), Author: "a", Set: &object.Set{}}
		data, err := config.EncodePublication(p)
		require.NoError(t, err)
		records = append(records, wire.LogRecord{Offset: int64(i + 1), Data: data})
	}
	return records
}

// Guards against a configuration that goes back: when reading starts again, at the
// beginning or behind records that expired unread, and when a peer sends records
// that were applied before.
func TestConfigurationNeverGoesBack(t *testing.T) {
	c := New(testOptions(newMemoryLog(), "a"))
	records := publications(t, 4)
	configRead{records: records[:1], atEnd: true}.handle(c)
	require.Zero(t, c.version(), "nothing is served before the stream was begun")
	configBegin{start: 1}.handle(c)
	configRead{records: records[:2]}.handle(c)
	require.Zero(t, c.version(), "nothing is served before the end of the stream")
	configRead{records: records[2:3], atEnd: true}.handle(c)
	require.EqualValues(t, 3, c.version())
	configBegin{start: 1}.handle(c)
	require.EqualValues(t, 3, c.version())
	configRead{records: records[:2], atEnd: true}.handle(c)
	require.EqualValues(t, 3, c.version())
	configBegin{start: 9}.handle(c)
	configRead{atEnd: true}.handle(c)
	require.EqualValues(t, 3, c.version(), "records 4 to 8 expired unread")
	c.publish()
	require.EqualValues(t, 3, c.View.Current().ConfigVersion)
}

func regionView(self view.Daemon, others ...view.Daemon) *view.Snapshot {
	s := &view.Snapshot{Self: self, Daemons: map[string]view.Daemon{self.Name: self}}
	for _, d := range others {
		s.Daemons[d.Name] = d
	}
	return s
}

// Guards against two readers in one region, and against a reader that is dead,
// leaving or in another region.
func TestRegionReader(t *testing.T) {
	live := func(name, region string) view.Daemon { return view.Daemon{Name: name, Region: region, Live: true} }
	leaving := live("a", "r")
	leaving.Draining = true
	self := live("b", "r")
	cases := []struct {
		name   string
		others []view.Daemon
		want   string
	}{
		{"one region", []view.Daemon{live("a", "r")}, ""},
		{"first by name", []view.Daemon{live("a", "r"), live("x", "q")}, "a"},
		{"this daemon", []view.Daemon{live("c", "r"), live("a", "q")}, "b"},
		{"dead", []view.Daemon{{Name: "a", Region: "r"}, live("x", "q")}, "b"},
		{"leaving", []view.Daemon{leaving, live("x", "q")}, "b"},
	}
	for _, c := range cases {
		require.Equal(t, c.want, regionReader(regionView(self, c.others...)), c.name)
	}
}

// Guards against a daemon that is cut off from publications because its region's
// reader is down or behind, and against one that reads from the log although the
// reader answers.
func TestConfigIsReadFromTheRegionReaderOrTheLog(t *testing.T) {
	log := newMemoryLog()
	log.streams[wire.StreamConfig] = publications(t, 2)
	options := testOptions(log, "b")
	var answer error
	options.Peers = fakePeers(func(daemon, method string, args, reply any) error {
		require.Equal(t, "a", daemon)
		require.Equal(t, wire.RPCConfigSince, method)
		require.EqualValues(t, 2, args.(*wire.ConfigSinceArgs).From)
		*reply.(*wire.ConfigSinceReply) = wire.ConfigSinceReply{Records: publications(t, 2)[1:], Next: 3}
		return answer
	})
	c := New(options)
	live := view.Daemon{Name: "b", Region: "r", Live: true}
	options.View.Publish(regionView(live, view.Daemon{Name: "a", Region: "r", Live: true}, view.Daemon{Name: "x", Region: "q", Live: true}))
	reply, err := c.readConfig(t.Context(), 2)
	require.NoError(t, err)
	require.Len(t, reply.Records, 1)
	require.Zero(t, log.reads, "the reader answered")
	answer = fault.New(fault.Unavailable, "read the log", "down")
	reply, err = c.readConfig(t.Context(), 2)
	require.NoError(t, err)
	require.EqualValues(t, 2, reply.Records[0].Offset)
	require.Equal(t, 1, log.reads)
}

// Guards against a region reader that answers although it is not up to date or does
// not have the records: its readers would miss publications.
func TestRegionReaderAnswersOnlyWhatItHas(t *testing.T) {
	c := New(testOptions(newMemoryLog(), "a"))
	ask := func(from int64) configSinceAnswer {
		m := configSinceCall{from: from, reply: make(chan configSinceAnswer, 1)}
		m.handle(c)
		return <-m.reply
	}
	require.Error(t, ask(1).err, "the stream was not read")
	configBegin{start: 1}.handle(c)
	configRead{records: publications(t, 3), atEnd: true}.handle(c)
	require.Len(t, ask(2).reply.Records, 2)
	require.EqualValues(t, 4, ask(4).reply.Next)
	c.configTail = c.configTail[1:]
	require.Error(t, ask(1).err, "record 1 is not kept")
	c.logHealthy = false
	require.Error(t, ask(2).err, "the log is down for this daemon")
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
