package cell

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"briarproxy/core/fault"
	"briarproxy/core/intake"
)

// Times and sizes of strangers' connections.
const (
	reserveTimeout    = 400 * time.Millisecond // for which a request waits for bytes
	reserveRetryDelay = 50 * time.Millisecond  // what waits grows old enough to give way meanwhile
	sendTimeout       = 10 * time.Second       // in which a part of an answer must be taken
	lingerTimeout     = 300 * time.Millisecond // for which the rest of a refused request is read, as closing a connection with unread bytes resets it
	maxRequestTime    = 15 * time.Second       // from the first byte of a request to its last, if the configuration states no time
	leastBodyTime     = 5 * time.Second        // of any configuration: the largest body takes 1 s at 2 Mbit/s, and lost packets take seconds
	acceptRetryDelay  = 20 * time.Millisecond
	callerBufferBytes = 16 << 10 // of the kernel, for each direction of a connection; unread bytes count as memory
	peerBufferBytes   = 32 << 10
	minQueueLength    = 64 // connections that are not accepted yet
)

// Reasons for which a door refuses something.
const (
	refusedConnections = "connections" // the port has no connection left
	refusedBytes       = "bytes"       // no bytes were free in time
	refusedGaveWay     = "gave way"    // it was evicted
	refusedTooSlow     = "too slow"    // it did not arrive in time
)

var errNoRoom = fault.New(fault.Unavailable, "retry in a second", "the bytes that strangers may hold are all in use")

// door keeps the connections of one port within the limits of its gate, which decides.
type door struct {
	port    string
	started time.Time
	metrics *metrics

	mu               sync.Mutex
	gate             *intake.Gate
	conns            map[*intake.Connection]*doorConn
	freed            chan struct{} // closed and replaced whenever bytes are released while someone waits
	waiting          int
	refused, evicted int // since the last report
}

func newDoor(port string, limits intake.Limits, m *metrics) *door {
	return &door{port: port, started: time.Now(), metrics: m, gate: intake.NewGate(limits), conns: map[*intake.Connection]*doorConn{}, freed: make(chan struct{})}
}

// now is a steady time: what strangers send while the machine is suspended is not late.
func (d *door) now() time.Duration { return time.Since(d.started) }

// listen returns a listener whose connections pass the door. The kernel queues no more connections than
// the door admits, as it holds bytes for each of them.
func (d *door) listen(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			// A system that refuses this has its own limit.
			_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), max(minQueueLength, d.gate.Limits().Connections)) })
		}
	}
	return doorListener{l, d}
}

type doorListener struct {
	net.Listener
	door *door
}

// Accept returns the next connection that the gate admits, and closes the others. Only a closed listener
// ends it: after other errors, such as a lack of descriptors, it tries again.
func (l doorListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := l.door.open(conn); c != nil {
			return c, nil
		}
		_ = conn.Close() // nothing was read from it
	}
}

func (d *door) open(conn net.Conn) *doorConn {
	address, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		address = conn.RemoteAddr().String()
	}
	d.mu.Lock()
	entry, evicted := d.gate.Open(address, d.now())
	var c *doorConn
	if entry != nil {
		c = &doorConn{Conn: conn, door: d, entry: entry}
		d.conns[entry] = c
	} else {
		d.countRefused(refusedConnections)
	}
	victim := d.evict(evicted)
	d.mu.Unlock()
	victim.leave()
	return c
}

// evict counts an eviction and returns the connection that has to leave. It is called with mu held.
func (d *door) evict(entry *intake.Connection) *doorConn {
	if entry == nil {
		return nil
	}
	d.evicted++
	d.metrics.doorEvictions.WithLabelValues(d.port, entry.Stage().String()).Inc()
	return d.conns[entry]
}

// countRefused is called with mu held.
func (d *door) countRefused(reason string) {
	d.refused++
	d.metrics.doorRefusals.WithLabelValues(d.port, reason).Inc()
}

// release wakes those who wait for bytes. It is called with mu held.
func (d *door) release() {
	if d.waiting > 0 {
		close(d.freed)
		d.freed = make(chan struct{})
	}
}

// doorReport is the state of a door, and what it has refused since the last report.
type doorReport struct {
	limits           intake.Limits
	connections      int
	bytes            int64
	refused, evicted int
}

func (d *door) report() doorReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := doorReport{limits: d.gate.Limits(), refused: d.refused, evicted: d.evicted}
	r.connections, r.bytes = d.gate.Used()
	d.refused, d.evicted = 0, 0
	return r
}

// doorConn is a connection that has passed a door. A nil doorConn is one without limits.
type doorConn struct {
	net.Conn
	door  *door
	entry *intake.Connection // guarded by door.mu

	mu             sync.Mutex
	serverDeadline time.Time     // of reads, set by the server
	requestEnd     time.Duration // time of the door by which the request must be whole; 0 while its header is read or it is served
	left           bool          // it gives way: reads fail
	headerBytes    int
	headerReserved bool
}

// leave makes the connection's reads fail, and a send that is under way. The server then closes it. If a whole
// request has arrived meanwhile, that is served first.
func (c *doorConn) leave() {
	if c == nil {
		return
	}
	c.door.mu.Lock()
	sending := c.entry.Stage() == intake.Sending
	c.door.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	c.applyDeadline()
	if sending {
		_ = c.Conn.SetWriteDeadline(time.Now()) // fails only on a closed connection
	}
}

// gaveWay reports whether the connection was evicted.
func (c *doorConn) gaveWay() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}

// applyDeadline sets the earliest of the deadlines that apply. It is called with mu held.
func (c *doorConn) applyDeadline() {
	c.door.mu.Lock()
	serving := c.entry.Stage() == intake.Serving
	began, received := c.entry.Received()
	c.door.mu.Unlock()
	deadline := c.serverDeadline
	switch {
	case c.left && !serving: // a failed read while a request is served would cancel the request
		deadline = c.door.started
	case c.requestEnd > 0:
		if until := c.door.started.Add(intake.ReadUntil(began, received, c.requestEnd)); deadline.IsZero() || until.Before(deadline) {
			deadline = until
		}
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails only on a closed connection
}

// SetReadDeadline implements net.Conn.
func (c *doorConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = deadline
	c.applyDeadline()
	return nil
}

func (c *doorConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(n) {
		return 0, errNoRoom
	}
	return n, err
}

// received records bytes. It returns false if they belong to a long header for which there is no room.
func (c *doorConn) received(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.door.mu.Lock()
	if stage := c.entry.Stage(); stage == intake.Silent || stage == intake.Idle {
		c.door.gate.Enter(c.entry, intake.Receiving, c.door.now())
		c.headerBytes, c.headerReserved = 0, false
	}
	if c.entry.Stage() != intake.Receiving {
		c.door.mu.Unlock()
		return true
	}
	c.door.gate.Receive(c.entry, n)
	if c.requestEnd > 0 {
		c.door.mu.Unlock()
		c.applyDeadline()
		return true
	}
	defer c.door.mu.Unlock()
	if c.headerBytes += n; c.headerBytes <= intake.UsualHeader || c.headerReserved {
		return true
	}
	var evicted []*intake.Connection
	c.headerReserved, evicted = c.door.gate.Reserve(c.entry, intake.HeaderBytes, c.door.now())
	for _, entry := range evicted {
		go c.door.evict(entry).leave()
	}
	if !c.headerReserved {
		c.door.countRefused(refusedBytes)
	}
	return c.headerReserved
}

// readBy limits the time in which the rest of a request must arrive.
func (c *doorConn) readBy(limit time.Duration) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestEnd = c.door.now() + max(limit, time.Nanosecond)
	c.applyDeadline()
}

// enter records that the connection is used for something else. Whole and answered requests have no time limit.
func (c *doorConn) enter(stage intake.Stage) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.door.mu.Lock()
	c.door.gate.Enter(c.entry, stage, c.door.now())
	if stage == intake.Idle {
		c.door.release()
	}
	c.door.mu.Unlock()
	limited := c.requestEnd > 0
	if stage == intake.Serving || stage == intake.Idle {
		c.requestEnd = 0
	}
	if c.left || limited && c.requestEnd == 0 {
		c.applyDeadline()
	}
}

// reserve reserves bytes for the request until it is answered. It waits for them for a short time while
// others give way.
func (c *doorConn) reserve(ctx context.Context, bytes int64) bool {
	if c == nil {
		return true
	}
	d := c.door
	var deadline time.Duration
	for {
		d.mu.Lock()
		now := d.now()
		if reserved, evicted := d.gate.Reserve(c.entry, bytes, now); reserved {
			if deadline > 0 {
				d.gate.Enter(c.entry, intake.Receiving, now)
			}
			d.mu.Unlock()
			return true
		} else {
			for _, entry := range evicted {
				go d.evict(entry).leave()
			}
		}
		if deadline == 0 {
			deadline = now + reserveTimeout
			d.gate.Enter(c.entry, intake.Waiting, now)
		}
		if now >= deadline || ctx.Err() != nil || c.entry.Leaving() {
			d.gate.Enter(c.entry, intake.Receiving, now)
			d.countRefused(refusedBytes)
			d.mu.Unlock()
			return false
		}
		freed := d.freed
		d.waiting++
		d.mu.Unlock()
		select {
		case <-freed:
		case <-time.After(reserveRetryDelay):
		case <-ctx.Done():
		}
		d.mu.Lock()
		d.waiting--
		d.mu.Unlock()
	}
}

// Write sends bytes within sendTimeout, or not at all once the connection gives way.
func (c *doorConn) Write(p []byte) (int, error) {
	timeout := sendTimeout
	c.mu.Lock()
	if c.left {
		timeout = lingerTimeout
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(timeout)) // fails only on a closed connection
	c.door.mu.Lock()
	stage := c.entry.Stage()
	c.door.gate.Enter(c.entry, intake.Sending, c.door.now())
	c.door.mu.Unlock()
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	if c.entry.Stage() == intake.Sending {
		c.door.gate.Enter(c.entry, stage, c.door.now())
	}
	return n, err
}

// CloseWrite closes the sending direction.
func (c *doorConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. The connection counts until its descriptor is free.
func (c *doorConn) Close() error {
	err := c.Conn.Close()
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	c.door.gate.Close(c.entry)
	delete(c.door.conns, c.entry)
	c.door.release()
	return err
}

// smallBuffers returns a listener's option: the kernel holds few bytes for each of its connections.
func smallBuffers(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A system that refuses these options has its own buffers.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
		})
	}
}
