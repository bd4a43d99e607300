package control

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"briarproxy/core/fault"
	"briarproxy/core/object"
	"briarproxy/core/ownership"
	"briarproxy/core/record"
	"briarproxy/core/wire"
	"briarproxy/daemon/bootclock"
	"briarproxy/daemon/event"
	"briarproxy/daemon/logclient"
	"briarproxy/daemon/view"
)

const (
	defaultHeartbeat  = 2 * time.Second
	defaultDecide     = time.Second
	defaultPublish    = 50 * time.Millisecond
	defaultCellRate   = 300             // appends per second of all daemons together
	healthyBeats      = 2               // the log is healthy if it was reached within so many heartbeats
	startValidity     = 2 * time.Second // longest time in which a start may begin
	vmKeptAfterReport = 10 * time.Second
	inputQueue        = 64
)

var (
	eventAppendFailed = event.Define(1120, "members_append_failed", log.WarnLevel,
		"A heartbeat, claim or release could not be appended. Leases run out if it repeats; check the log service.")
	eventRecordSkipped = event.Define(1121, "members_record_skipped", log.WarnLevel,
		"Records of the members stream do not decode and were skipped, for example those of a newer version.")
	eventPlan = event.Define(1122, "ownership_plan", log.InfoLevel,
		"This daemon claims or releases units.")
	eventMembersGap = event.Define(1123, "members_gap", log.WarnLevel,
		"Retention removed unread records of the members stream; ownership is learned anew and all units are given up.")
	eventConfigVersion = event.Define(1124, "config_version", log.InfoLevel,
		"A configuration version is in force on this daemon.")
)

// Log is the part of the log client that control uses.
type Log interface {
	Append(ctx context.Context, stream, id string, data []byte) (int64, error)
	Tail(ctx context.Context, stream string, from int64, handle func(logclient.Batch) error) error
}

// Config applies the records of stream "config" in log order.
type Config interface {
	Apply(offset int64, data []byte)
	Current() (version int64, set *object.Set)
}

// VMSource calls handle with every VM list until ctx ends.
type VMSource interface {
	Run(ctx context.Context, handle func(wire.VMList))
}

// Share takes the daemon's share of the log's append rate.
type Share interface {
	SetShare(cellRate float64, liveDaemons int)
}

// Options configure a Control. Zero values of the durations give the defaults.
type Options struct {
	Self           view.Daemon // name, incarnation and addresses of this daemon
	Timing         ownership.Timing
	HeartbeatEvery time.Duration
	DecideEvery    time.Duration
	PublishEvery   time.Duration // shortest time between snapshots that need no haste
	CellRate       float64       // appends per second of all daemons together
	Clock          func() time.Duration
	Log            Log
	Config         Config
	VMs            VMSource
	Share          Share // may be nil
	// Quiesce is called before units are released and returns when this daemon acts
	// on them no more. It may be nil.
	Quiesce func(ctx context.Context, units []string)
	Logger  *event.Logger
}

// outgoing is one append with a group of records for the members stream.
type outgoing struct {
	id      record.ID
	data    []byte
	quiesce []string
}

// Control owns ownership, configuration and membership. Its state is used by the
// goroutine of Run only.
type Control struct {
	options Options
	holder  *view.Holder
	inputs  chan func() // run by the goroutine of Run
	sender  chan outgoing
	done    chan struct{}

	state       *ownership.State
	vms         *vmTable
	units       []ownership.Unit
	counter     int64
	sequence    int64
	appends     int64
	configRead  bool
	version     int64
	lastLog     time.Duration
	draining    bool
	releasing   bool
	released    chan struct{}
	releaseOnce sync.Once
	dirty       bool
}

// New returns a Control that publishes to holder once Run is called.
func New(options Options, holder *view.Holder) *Control {
	setDefault(&options.HeartbeatEvery, defaultHeartbeat)
	setDefault(&options.DecideEvery, defaultDecide)
	setDefault(&options.PublishEvery, defaultPublish)
	if options.Timing.Lease == 0 {
		options.Timing = ownership.DefaultTiming()
	}
	if options.CellRate <= 0 {
		options.CellRate = defaultCellRate
	}
	if options.Clock == nil {
		options.Clock = bootclock.Now
	}
	if options.Logger == nil {
		options.Logger = event.Discard()
	}
	self := ownership.Identity{Name: options.Self.Name, Incarnation: options.Self.Incarnation}
	return &Control{
		options:  options,
		holder:   holder,
		inputs:   make(chan func(), inputQueue),
		sender:   make(chan outgoing, 1),
		done:     make(chan struct{}),
		state:    ownership.New(self, options.Timing),
		vms:      newVMTable(),
		units:    unitsOf(nil, nil),
		lastLog:  -healthyBeats * options.HeartbeatEvery,
		released: make(chan struct{}),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Run works until ctx ends.
func (c *Control) Run(ctx context.Context) {
	defer close(c.done)
	ctx, cancel := context.WithCancel(ctx)
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	workers.Go(func() { c.tail(ctx, wire.StreamMembers, -c.options.Timing.History(), c.onMembers) })
	workers.Go(func() { c.tail(ctx, wire.StreamConfig, 0, c.onConfig) })
	workers.Go(func() { c.send(ctx) })
	workers.Go(func() {
		c.options.VMs.Run(ctx, func(list wire.VMList) { c.input(ctx, func() { c.onVMs(list) }) })
	})
	heartbeat := time.NewTicker(c.options.HeartbeatEvery)
	decide := time.NewTicker(c.options.DecideEvery)
	publish := time.NewTicker(c.options.PublishEvery)
	defer heartbeat.Stop()
	defer decide.Stop()
	defer publish.Stop()
	c.heartbeat()
	for {
		select {
		case <-ctx.Done():
			return
		case run := <-c.inputs:
			run()
		case <-heartbeat.C:
			c.heartbeat()
		case <-decide.C:
			c.decide()
		case <-publish.C:
			c.publishIfChanged()
		}
	}
}

// input hands a function to the goroutine of Run; false if that has ended.
func (c *Control) input(ctx context.Context, run func()) bool {
	select {
	case c.inputs <- run:
		return true
	case <-ctx.Done():
	case <-c.done:
	}
	return false
}

// tail reads a stream. The clock is read after the answer has arrived and before it
// waits for the goroutine of Run, which is fresh enough for the read time.
func (c *Control) tail(ctx context.Context, stream string, from int64, handle func(logclient.Batch, time.Duration)) {
	_ = c.options.Log.Tail(ctx, stream, from, func(batch logclient.Batch) error {
		readAt := c.options.Clock()
		if !c.input(ctx, func() { handle(batch, readAt) }) {
			return context.Canceled
		}
		return nil
	})
}

func (c *Control) onMembers(batch logclient.Batch, readAt time.Duration) {
	if batch.Gap {
		c.options.Logger.Emit(eventMembersGap, "first", batch.First)
		c.state.Reset()
	}
	if !c.state.Started() {
		c.state.StartAt(batch.From)
	}
	for _, logged := range batch.Records {
		records, skipped := record.Decode(logged.Data)
		if skipped > 0 {
			c.options.Logger.Emit(eventRecordSkipped, "offset", logged.Offset, "lines", skipped)
		}
		for _, r := range records {
			c.state.Apply(logged.Offset, r, readAt)
		}
	}
	if batch.AtEnd {
		c.state.ReadSucceeded(readAt)
	}
	c.lastLog = max(c.lastLog, readAt)
	c.dirty = true
}

func (c *Control) onConfig(batch logclient.Batch, readAt time.Duration) {
	for _, logged := range batch.Records {
		c.options.Config.Apply(logged.Offset, logged.Data)
	}
	c.configRead = c.configRead || batch.AtEnd
	c.lastLog = max(c.lastLog, readAt)
	c.dirty = true
	version, _ := c.options.Config.Current()
	if c.configRead && version > c.version {
		c.version = version
		c.options.Logger.Emit(eventConfigVersion, "version", version)
		c.refreshUnits()
	}
}

func (c *Control) onVMs(list wire.VMList) {
	c.vms.list(list, c.options.Clock())
	c.refreshUnits()
	c.dirty = true
}

func (c *Control) refreshUnits() {
	_, set := c.options.Config.Current()
	c.units = unitsOf(c.vms.current(c.options.Clock()), set)
}

// heartbeat appends a heartbeat with the units held. A heartbeat that finds the
// last append still in flight is left out.
func (c *Control) heartbeat() {
	c.sequence++
	self := c.options.Self
	c.enqueue(nil, record.Record{Heartbeat: &record.Heartbeat{
		Sequence:      c.sequence,
		PeerAddress:   self.PeerAddress,
		CallerAddress: self.CallerAddress,
		AdminAddress:  self.AdminAddress,
		Region:        self.Region,
		DataCentre:    self.DataCentre,
		ConfigVersion: c.version,
		Draining:      c.draining,
		Appends:       c.appends,
		Units:         c.state.Held(),
	}})
}

func (c *Control) decide() {
	if c.draining && !c.releasing {
		return
	}
	plan := c.state.Decide(c.options.Clock(), c.units, c.releasing)
	if c.releasing && len(plan.Releases) == 0 {
		c.releaseOnce.Do(func() { close(c.released) })
		return
	}
	var records []record.Record
	var leaving []string
	if len(plan.Releases) > 0 {
		// The snapshot without the units is out before the release is sent.
		c.publish()
		records = append(records, record.Record{Release: &record.Release{Units: plan.Releases}})
		for _, unit := range plan.Releases {
			leaving = append(leaving, unit.Name)
		}
	}
	if len(plan.Claims) > 0 {
		records = append(records, record.Record{Claim: &record.Claim{Units: plan.Claims}})
	}
	if len(records) > 0 && c.enqueue(leaving, records...) {
		c.options.Logger.Emit(eventPlan, "claims", len(plan.Claims), "releases", len(plan.Releases))
	}
}

// enqueue hands the records to the sender as one append, unless it is busy.
func (c *Control) enqueue(quiesce []string, records ...record.Record) bool {
	if len(c.sender) > 0 {
		return false
	}
	now := c.options.Clock()
	group := outgoing{quiesce: quiesce}
	for _, r := range records {
		c.counter++
		r.ID = record.ID{Daemon: c.options.Self.Name, Incarnation: c.options.Self.Incarnation, Counter: c.counter}
		line, err := record.Encode(r)
		if err != nil {
			c.options.Logger.Emit(eventAppendFailed, "error", err.Error())
			return false
		}
		c.state.Sending(r.ID, now)
		group.id = r.ID
		group.data = append(append(group.data, line...), '\n')
	}
	c.sender <- group
	return true
}

// send appends one group at a time. A group that fails is not repeated: the next
// heartbeat or decision replaces it.
func (c *Control) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case group := <-c.sender:
			c.sendOne(ctx, group)
		}
	}
}

func (c *Control) sendOne(ctx context.Context, group outgoing) {
	ctx, cancel := context.WithTimeout(ctx, c.options.HeartbeatEvery)
	defer cancel()
	if len(group.quiesce) > 0 && c.options.Quiesce != nil {
		c.options.Quiesce(ctx, group.quiesce)
		if ctx.Err() != nil {
			return
		}
	}
	_, err := c.options.Log.Append(ctx, wire.StreamMembers, group.id.String(), group.data)
	if err != nil {
		c.options.Logger.Emit(eventAppendFailed, "id", group.id.String(), "error", err.Error())
		return
	}
	now := c.options.Clock()
	c.input(ctx, func() {
		c.appends++
		c.lastLog = max(c.lastLog, now)
	})
}

// ReportVM tells what a worker said of itself: its incarnation, and whether it is
// draining. The rack goroutine calls it for every report.
func (c *Control) ReportVM(vm string, incarnation int64, draining bool) {
	c.input(context.Background(), func() {
		if c.vms.report(vm, incarnation, draining, c.options.Clock()) {
			c.dirty = true
		}
	})
}

// Drain marks this daemon as draining: other daemons become the wanted owners of
// its units, and it claims nothing more. It keeps its units until ReleaseAll.
func (c *Control) Drain() {
	c.input(context.Background(), func() {
		c.draining = true
		c.dirty = true
		c.heartbeat()
	})
}

// ReleaseAll releases all units and returns when the release was read back. If ctx
// ends first, the error is fault.Unavailable and the units change owner when their
// leases expire.
func (c *Control) ReleaseAll(ctx context.Context) error {
	c.input(ctx, func() {
		c.draining = true
		c.releasing = true
		c.decide()
	})
	select {
	case <-c.released:
		return nil
	case <-ctx.Done():
	case <-c.done:
	}
	return fault.New(fault.Unavailable, "nothing needs to be done; the leases expire", "the release of all units was not confirmed")
}
