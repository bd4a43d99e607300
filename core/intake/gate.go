package intake

import "time"

// Stage is what a connection is used for at present.
type Stage int

// Stages of a connection.
const (
	Silent    Stage = iota // nothing has been received on it
	Receiving              // a part of a request has been received
	Waiting                // the rest of a request is read once bytes are reserved for it
	Serving                // a whole request is worked on
	Sending                // an answer is being sent
	Idle                   // between two requests
)

func (s Stage) String() string {
	return [...]string{"silent", "receiving", "waiting", "serving", "sending", "idle"}[s]
}

// Connection is what a Gate knows of a connection.
type Connection struct {
	address  string
	number   uint64 // rises with each connection
	stage    Stage
	since    time.Duration // of the stage; of the request while it is received
	received int64         // bytes of the request
	reserved int64         // bytes
	leaving  bool          // it gives way and is about to be closed
	closed   bool          // it counts no more
}

// Stage returns what the connection is used for.
func (c *Connection) Stage() Stage { return c.stage }

// Leaving reports whether the connection gives way.
func (c *Connection) Leaving() bool { return c.leaving }

// Received returns when the request began of which a part has been received, and the size of that part.
func (c *Connection) Received() (began time.Duration, received int64) { return c.since, c.received }

// holding is what the connections of an address hold.
type holding struct {
	connections int
	bytes       int64
}

// Gate keeps what strangers hold on one port within its limits.
type Gate struct {
	limits       Limits
	connections  map[*Connection]struct{}
	addresses    map[string]*holding
	bytes        int64
	leaving      int
	leavingBytes int64
	opened       uint64
}

// NewGate returns a Gate that nothing has passed.
func NewGate(limits Limits) *Gate {
	return &Gate{limits: limits, connections: map[*Connection]struct{}{}, addresses: map[string]*holding{}}
}

// Limits returns the bounds.
func (g *Gate) Limits() Limits { return g.limits }

// Used returns what strangers hold.
func (g *Gate) Used() (connections int, bytes int64) { return len(g.connections), g.bytes }

// Open admits a connection, or returns nil if it must be closed at once. The evicted connection, if any,
// gives way.
func (g *Gate) Open(address string, now time.Duration) (opened, evicted *Connection) {
	if len(g.connections)-g.leaving >= g.limits.Connections-g.limits.Connections/8 {
		if evicted = g.giveWay(address, now, false); evicted != nil {
			g.leave(evicted)
		}
	}
	if len(g.connections) >= g.limits.Connections {
		return nil, evicted
	}
	g.opened++
	c := &Connection{address: address, number: g.opened, since: now}
	g.connections[c] = struct{}{}
	h := g.addresses[address]
	if h == nil {
		h = &holding{}
		g.addresses[address] = h
	}
	h.connections++
	return c, evicted
}

// Enter records that a connection is used for something else from now on.
func (g *Gate) Enter(c *Connection, stage Stage, now time.Duration) {
	if stage == c.stage || c.closed {
		return
	}
	if stage == Receiving && (c.stage == Silent || c.stage == Idle) {
		c.received = 0
	}
	if stage == Silent || stage == Idle {
		g.release(c)
	}
	// A request keeps the time of its first byte until it is whole.
	if stage != Waiting && (stage != Receiving || c.stage != Waiting) {
		c.since = now
	}
	c.stage = stage
}

// Receive records bytes of a request.
func (g *Gate) Receive(c *Connection, bytes int) { c.received += int64(bytes) }

// Reserve reserves bytes for a connection that stays, until it is idle or closed. If it returns false, nothing is
// reserved; the evicted connections give way, and the bytes may suffice once they are closed.
func (g *Gate) Reserve(c *Connection, bytes int64, now time.Duration) (reserved bool, evicted []*Connection) {
	if c.leaving || c.closed {
		return false, nil
	}
	limit := g.limits.Bytes
	if c.reserved+bytes > SmallReservation {
		limit -= limit / 8
	}
	missing := g.bytes + bytes - limit
	if missing <= 0 {
		c.reserved += bytes
		g.bytes += bytes
		g.addresses[c.address].bytes += bytes
		return true, nil
	}
	for missing -= g.leavingBytes; missing > 0; {
		other := g.giveWay(c.address, now, true)
		if other == nil || other == c {
			break
		}
		g.leave(other)
		missing -= other.reserved
		evicted = append(evicted, other)
	}
	return false, evicted
}

// Close records that a connection is closed. What its goroutines still do with it has no effect.
func (g *Gate) Close(c *Connection) {
	if c.closed {
		return
	}
	g.release(c)
	c.closed = true
	if c.leaving {
		g.leaving--
	}
	delete(g.connections, c)
	h := g.addresses[c.address]
	if h.connections--; h.connections == 0 {
		delete(g.addresses, c.address)
	}
}

func (g *Gate) leave(c *Connection) {
	c.leaving = true
	g.leaving++
	g.leavingBytes += c.reserved
}

func (g *Gate) release(c *Connection) {
	if c.leaving {
		g.leavingBytes -= c.reserved
	}
	g.bytes -= c.reserved
	g.addresses[c.address].bytes -= c.reserved
	c.reserved = 0
}

// giveWay returns the connection that gives way to one of an address, or nil. For bytes, it must hold some.
func (g *Gate) giveWay(address string, now time.Duration, forBytes bool) *Connection {
	var first *Connection
	equalPart := g.equalPart(forBytes)
	onlyOwn := len(g.addresses) > 1 && g.held(address, forBytes) >= equalPart
	for c := range g.connections {
		switch {
		case c.leaving || c.stage == Serving || c.stage == Waiting || now-c.since < GracePeriod,
			forBytes && (c.reserved == 0 || c.stage != Receiving),
			onlyOwn && c.address != address,
			len(g.addresses) > 1 && !onlyOwn && g.held(c.address, forBytes) <= equalPart && c.address != address:
			continue
		}
		if first == nil || c.before(first, now) {
			first = c
		}
	}
	return first
}

// equalPart returns the part of a bound that each address has if all hold as much as they can.
func (g *Gate) equalPart(forBytes bool) int64 {
	addresses := int64(max(1, len(g.addresses)))
	if forBytes {
		return g.limits.Bytes / addresses
	}
	return int64(g.limits.Connections) / addresses
}

func (g *Gate) held(address string, forBytes bool) int64 {
	h := g.addresses[address]
	switch {
	case h == nil:
		return 0
	case forBytes:
		return h.bytes
	default:
		return int64(h.connections)
	}
}

// before reports whether a connection gives way before another one.
func (c *Connection) before(other *Connection, now time.Duration) bool {
	if (c.stage == Idle) != (other.stage == Idle) {
		return other.stage == Idle
	}
	if c.stage == Idle && c.since != other.since {
		return c.since < other.since
	}
	if mine, others := c.rate(now), other.rate(now); mine != others {
		return mine < others
	}
	return c.number > other.number
}

// rate returns the progress for the age, in bytes a second.
func (c *Connection) rate(now time.Duration) int64 {
	if c.stage != Receiving {
		return 0
	}
	return c.received * int64(time.Second) / int64(max(1, now-c.since))
}
