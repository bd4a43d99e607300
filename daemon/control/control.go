package control

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"time"

	"briarproxy/core/object"
	"briarproxy/core/ownership"
	"briarproxy/core/record"
	"briarproxy/core/wire"
	"briarproxy/daemon/configstream"
	"briarproxy/daemon/event"
	"briarproxy/daemon/logclient"
	"briarproxy/daemon/peer"
	"briarproxy/daemon/view"
)

// Times of the control goroutine.
const (
	tickInterval    = 200 * time.Millisecond
	pollWait        = time.Second // long polls of the log
	pollBatch       = 500         // records per read
	peerPoll        = 500 * time.Millisecond
	peerTimeout     = 2 * time.Second
	vmListInterval  = time.Second
	appendTimeout   = 4 * time.Second        // until a membership record counts as unconfirmed
	publishInterval = time.Second            // at the latest; liveness of daemons depends on time
	publishSpacing  = 100 * time.Millisecond // between views that differ in heartbeats; 150 daemons send 75 a second
	logDownAfter    = 3 * time.Second        // without an answer of the log service
)

// LogService is what control needs of the log; *logclient.Client implements it.
type LogService interface {
	Append(ctx context.Context, stream string, data []byte, contains func(data []byte) bool) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (wire.ReadReply, error)
}

// VMSource reads the VM list; *vmlist.Client implements it.
type VMSource interface {
	Get(ctx context.Context) ([]wire.VM, error)
}

// Options configures a Control. Fields without a default are required.
type Options struct {
	Self      view.Daemon // Name, Incarnation, addresses, Region and DataCentre
	Log       LogService
	VMs       VMSource
	Peers     peer.Caller
	View      *view.Holder
	Events    *event.Logger
	Now       func() time.Duration // boot clock
	Timing    ownership.Timing
	Heartbeat time.Duration
	Retention time.Duration // time for which the log keeps records
	Budget    *logclient.Budget
	Keep      func(unit string) bool // the unit must not be released now; default: none
	CellRate  func() float64         // appends a second that all daemons may use together
}

// Control is the control goroutine of one daemon.
type Control struct {
	Options
	messages chan message
	done     chan struct{}

	// The fields below belong to the goroutine that runs Serve.
	ctx         context.Context
	units       *ownership.State
	config      configstream.Reader
	configKnown bool // the config stream was read to its end once
	configTail  []wire.LogRecord
	counter     int64 // of this daemon's records
	sequence    int64 // of its heartbeats
	appending   bool
	draining    bool
	released    []chan struct{}
	nextBeat    time.Duration
	nextRepeat  time.Duration
	vms         *vmTable
	logOK       time.Duration // boot clock of the last answer
	logHealthy  bool
	publishedAt time.Duration
	mine        map[string]int64 // units of this daemon and their epochs, as last published
	dirty       bool             // the view is to be published at once
	stale       bool             // the view is to be published after publishSpacing
}

// message is handled by the control goroutine.
type message interface{ handle(c *Control) }

// New returns a Control. Call Serve to run it.
func New(options Options) *Control {
	if options.Keep == nil {
		options.Keep = func(string) bool { return false }
	}
	self := ownership.Identity{Name: options.Self.Name, Incarnation: options.Self.Incarnation}
	return &Control{
		Options: options, messages: make(chan message, 256), done: make(chan struct{}),
		units: ownership.New(self, options.Timing), vms: newVMTable(),
		mine: map[string]int64{}, logOK: options.Now(), logHealthy: true,
	}
}

// Serve runs until ctx ends.
func (c *Control) Serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(c.done)
	c.ctx = ctx
	c.nextRepeat = c.Now() + c.Retention/3
	go c.followMembers(ctx)
	go c.followConfig(ctx)
	go c.followVMs(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.messages:
			m.handle(c)
		case <-ticker.C:
			c.tick()
		}
		if c.dirty || c.stale && c.Now()-c.publishedAt >= publishSpacing {
			c.publish()
		}
	}
}

func (c *Control) send(m message) bool {
	select {
	case c.messages <- m:
		return true
	case <-c.done:
		return false
	}
}

func (c *Control) tick() {
	now := c.Now()
	c.checkLog(now)
	c.dirty = c.dirty || now-c.publishedAt >= publishInterval
	if c.appending {
		return
	}
	records := c.due(now)
	if len(records) > 0 {
		// A successor may claim a unit as soon as it reads the release, so this daemon
		// stops acting for the unit before it sends the release.
		c.publish()
		c.append(records, now)
	}
	if now >= c.nextRepeat {
		c.nextRepeat = now + c.Retention/3
		c.repeatConfig()
	}
}

// due returns the records to append now: a heartbeat when its time has come, and
// claims and releases at once.
func (c *Control) due(now time.Duration) []record.Record {
	plan := c.units.Decide(now, c.unitsToOwn(now), c.draining)
	var records []record.Record
	if len(plan.Releases) > 0 {
		records = append(records, record.Record{ID: c.nextID(), Release: &record.Release{Units: plan.Releases}})
	}
	if len(plan.Claims) > 0 {
		records = append(records, record.Record{ID: c.nextID(), Claim: &record.Claim{Units: plan.Claims}})
	}
	if now >= c.nextBeat {
		c.nextBeat = now + c.Heartbeat
		records = append(records, record.Record{ID: c.nextID(), Heartbeat: c.heartbeat()})
	}
	return records
}

// unitsToOwn lists every unit that should have an owner, and which of them must
// not be released.
func (c *Control) unitsToOwn(now time.Duration) []ownership.Unit {
	units := slices.Clone(c.vms.wantedUnits(now, c.set()))
	for i := range units {
		units[i].Keep = c.Keep(units[i].Name)
	}
	return units
}

func (c *Control) nextID() record.ID {
	c.counter++
	return record.ID{Daemon: c.Self.Name, Incarnation: c.Self.Incarnation, Counter: c.counter}
}

func (c *Control) heartbeat() *record.Heartbeat {
	c.sequence++
	return &record.Heartbeat{
		Sequence: c.sequence, PeerAddress: c.Self.PeerAddress, CallerAddress: c.Self.CallerAddress,
		AdminAddress: c.Self.AdminAddress, Region: c.Self.Region, DataCentre: c.Self.DataCentre,
		ConfigVersion: c.version(), Draining: c.Self.Draining || c.draining, Units: c.units.Held(),
	}
}

// set returns the objects in force, nil before the stream was read.
func (c *Control) set() *object.Set {
	if !c.configKnown {
		return nil
	}
	return c.config.Set()
}

func (c *Control) version() int64 {
	if !c.configKnown {
		return 0
	}
	return c.config.Version()
}

// append sends the records in one append. Their leases count from now on, before
// the append is sent.
func (c *Control) append(records []record.Record, now time.Duration) {
	c.appending = true
	var data []byte
	for _, r := range records {
		line, err := record.Encode(r)
		if err != nil {
			continue // only records of this function are encoded
		}
		c.units.Sending(r.ID, now)
		data = append(append(data, line...), '\n')
	}
	id := []byte(strconv.Quote(records[0].ID.String()))
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, appendTimeout)
		defer cancel()
		_, err := c.Log.Append(ctx, wire.StreamMembers, data, func(found []byte) bool { return bytes.Contains(found, id) })
		c.send(appended{err: err})
	}()
}

// appended is the outcome of an append to `members`. What it changes is learned by
// reading the stream.
type appended struct{ err error }

func (m appended) handle(c *Control) {
	c.appending = false
	if m.err != nil {
		c.Events.Emit(eventAppend, "error", m.err.Error())
		return
	}
	c.logOK = c.Now()
}

func (c *Control) checkLog(now time.Duration) {
	healthy := now-c.logOK < logDownAfter
	if healthy == c.logHealthy {
		return
	}
	c.logHealthy = healthy
	if healthy {
		c.Events.Emit(eventLogUp)
	} else {
		c.Events.Emit(eventLogDown, "silent_ms", (now - c.logOK).Milliseconds())
	}
}

// Drain marks this daemon as draining: it claims nothing more. It keeps its units
// until ReleaseAll.
func (c *Control) Drain() {
	c.send(drainMessage{})
}

type drainMessage struct{ done chan struct{} }

func (m drainMessage) handle(c *Control) {
	if m.done == nil {
		c.leaving()
		return
	}
	c.draining = true
	c.released = append(c.released, m.done)
	c.nextBeat = 0
	c.tick()
}

// leaving makes the next heartbeat tell peers that this daemon is draining.
func (c *Control) leaving() {
	c.Self.Draining = true
	c.nextBeat = 0
	c.dirty = true
}

// ReleaseAll releases all units and reports whether the release was read back
// before ctx ended. A unit whose release is not in the log changes owner when its
// lease ends.
func (c *Control) ReleaseAll(ctx context.Context) (released bool) {
	m := drainMessage{done: make(chan struct{})}
	if !c.send(m) {
		return false
	}
	select {
	case <-m.done:
		return true
	case <-ctx.Done():
	case <-c.done:
	}
	return false
}

func (c *Control) tellReleased() {
	if !c.draining || len(c.units.Held()) > 0 || c.ownsAny() {
		return
	}
	for _, done := range c.released {
		close(done)
	}
	c.released = nil
}

func (c *Control) ownsAny() bool {
	owns := false
	c.units.Units(func(_ string, h ownership.Holding) {
		owns = owns || h.Owner == ownership.Identity{Name: c.Self.Name, Incarnation: c.Self.Incarnation}
	})
	return owns
}
