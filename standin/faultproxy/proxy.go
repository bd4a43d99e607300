package faultproxy

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"briarproxy/core/fault"
	"briarproxy/standin/internal/httpjson"
)

const dialTimeout = 5 * time.Second

// Options configures a Proxy.
type Options struct {
	Listen string // The address is IP:port; the default is 127.0.0.1:0.
	Target string // The address is IP:port.
}

// Delay is the body of POST /control/delay. It applies to data that arrives after the
// call, on open and on new connections.
type Delay struct {
	UpMS   int64 `json:"up_ms"`   // Delay from the client to the target.
	DownMS int64 `json:"down_ms"` // Delay from the target to the client.
}

// Mode defines how the proxy treats new connections.
type Mode string

// Modes for new connections.
const (
	ModePass   Mode = "pass"   // Data is forwarded.
	ModeRefuse Mode = "refuse" // The connection is reset immediately.
	ModeSilent Mode = "silent" // The connection is accepted, but no data is ever delivered.
)

// ConnectionPolicy is the body of POST /control/new. It sets the mode of connections
// that are accepted after the call.
type ConnectionPolicy struct {
	Mode Mode `json:"mode"`
}

// Direction is a direction of data on a connection.
type Direction string

// Directions of a connection.
const (
	DirectionBoth Direction = ""
	DirectionUp   Direction = "up"   // From the client to the target.
	DirectionDown Direction = "down" // From the target to the client.
)

// Silence is the body of POST /control/silence: open connections permanently stop
// delivering data without being closed.
type Silence struct {
	IDs       []int64   `json:"ids,omitempty"`
	All       bool      `json:"all,omitempty"` // If set, all open connections are selected.
	Direction Direction `json:"direction,omitempty"`
}

// Reset is the body of POST /control/cut. Without IDs, all connections are reset.
type Reset struct {
	IDs []int64 `json:"ids,omitempty"`
}

// ResponseLoss is the body of POST /control/lose: as soon as the target responds on a
// connection, the response is dropped and the connection is reset. The request has
// reached the target by then.
type ResponseLoss struct {
	Responses int64   `json:"answers"`          // This many of the next responses are lost; 0 ends the loss.
	IDs       []int64 `json:"ids,omitempty"`    // Only these connections lose responses; empty means any.
	Silent    bool    `json:"silent,omitempty"` // The connection goes silent in both directions instead of being reset.
}

// Connection describes an open connection.
type Connection struct {
	ID         int64  `json:"id"` // IDs increase with each accepted connection.
	Client     string `json:"client"`
	AgeMS      int64  `json:"age_ms"`
	UpBytes    int64  `json:"up_bytes"`
	DownBytes  int64  `json:"down_bytes"`
	SilentUp   bool   `json:"silent_up,omitempty"`
	SilentDown bool   `json:"silent_down,omitempty"`
}

// Connections is the response to GET /control/connections.
type Connections struct {
	Accepted    int64        `json:"accepted"` // Connections accepted since the start, including refused ones.
	Connections []Connection `json:"connections"`
}

// Proxy forwards TCP connections to its target. It implements http.Handler for the
// control calls, which must be served on another listener.
type Proxy struct {
	mux      *http.ServeMux
	options  Options
	listener net.Listener
	group    sync.WaitGroup

	mu           sync.Mutex
	conns        map[int64]*proxiedConn
	lastID       int64
	delay        Delay
	mode         Mode
	responseLoss ResponseLoss
	closed       bool
}

// Listen starts a proxy that accepts connections in the background until Close.
func Listen(options Options) (*Proxy, error) {
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "choose a free address, or port 0", "cannot listen on %s", options.Listen)
	}
	p := &Proxy{mux: http.NewServeMux(), options: options, listener: listener, conns: map[int64]*proxiedConn{}, mode: ModePass}
	p.mux.HandleFunc("POST /control/delay", httpjson.ControlHandler(p.SetDelay))
	p.mux.HandleFunc("POST /control/new", httpjson.ControlHandler(p.SetConnectionPolicy))
	p.mux.HandleFunc("POST /control/silence", httpjson.ControlHandler(p.Silence))
	p.mux.HandleFunc("POST /control/cut", httpjson.ControlHandler(p.Reset))
	p.mux.HandleFunc("POST /control/lose", httpjson.ControlHandler(p.SetResponseLoss))
	p.mux.HandleFunc("GET /control/connections", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, p.Connections())
	})
	p.group.Go(p.acceptLoop)
	return p, nil
}

// ServeHTTP implements http.Handler for the control calls.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Address returns the IP:port that clients connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close resets all connections and waits for the proxy's goroutines to end.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	_ = p.Reset(Reset{})
	p.group.Wait()
}

// SetDelay sets the delay that is added in each direction.
func (p *Proxy) SetDelay(d Delay) error {
	if d.UpMS < 0 || d.DownMS < 0 {
		return fault.New(fault.Invalid, "use at least 0", "delay out of range: up %d ms, down %d ms", d.UpMS, d.DownMS)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
	return nil
}

// SetConnectionPolicy sets the mode of new connections.
func (p *Proxy) SetConnectionPolicy(policy ConnectionPolicy) error {
	if policy.Mode != ModePass && policy.Mode != ModeRefuse && policy.Mode != ModeSilent {
		return fault.New(fault.Invalid, "use pass, refuse or silent", "unknown mode %q", policy.Mode)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = policy.Mode
	return nil
}

// SetResponseLoss sets which responses are lost.
func (p *Proxy) SetResponseLoss(l ResponseLoss) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responseLoss = l
	return nil
}

// Silence makes open connections permanently silent. IDs of connections that are
// already closed are ignored.
func (p *Proxy) Silence(s Silence) error {
	if len(s.IDs) == 0 && !s.All {
		return fault.New(fault.Invalid, "give ids or set all", "no connections selected")
	}
	if s.Direction != DirectionBoth && s.Direction != DirectionUp && s.Direction != DirectionDown {
		return fault.New(fault.Invalid, "use up, down or nothing", "unknown direction %q", s.Direction)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, pc := range p.conns {
		if s.All || slices.Contains(s.IDs, id) {
			pc.silence(s.Direction)
		}
	}
	return nil
}

func (pc *proxiedConn) silence(d Direction) {
	if d != DirectionDown {
		pc.up.silent.Store(true)
	}
	if d != DirectionUp {
		pc.down.silent.Store(true)
	}
}

// Reset closes connections with a TCP reset on both sides.
func (p *Proxy) Reset(c Reset) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, pc := range p.conns {
		if len(c.IDs) == 0 || slices.Contains(c.IDs, id) {
			pc.reset()
		}
	}
	return nil
}

// Connections lists the open connections in order of their IDs.
func (p *Proxy) Connections() Connections {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := Connections{Accepted: p.lastID, Connections: make([]Connection, 0, len(p.conns))}
	for _, pc := range p.conns {
		list.Connections = append(list.Connections, Connection{
			ID:         pc.id,
			Client:     pc.client.RemoteAddr().String(),
			AgeMS:      time.Since(pc.opened).Milliseconds(),
			UpBytes:    pc.up.bytes.Load(),
			DownBytes:  pc.down.bytes.Load(),
			SilentUp:   pc.up.silent.Load(),
			SilentDown: pc.down.silent.Load(),
		})
	}
	slices.SortFunc(list.Connections, func(a, b Connection) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// acceptRetryDelay limits the rate of failing accepts, for example when the process has
// no file descriptors left.
const acceptRetryDelay = 10 * time.Millisecond

func (p *Proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
		if err == nil {
			p.group.Go(func() { p.serve(client) })
			continue
		}
		if p.isClosed() {
			return
		}
		time.Sleep(acceptRetryDelay)
	}
}

func (p *Proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// serve forwards one connection until it ends.
func (p *Proxy) serve(client net.Conn) {
	id, mode := p.assignID()
	if mode == ModeRefuse {
		closeWithReset(client)
		return
	}
	server, err := p.dialTarget(mode)
	if err != nil {
		closeWithReset(client)
		return
	}
	pc := &proxiedConn{id: id, client: client, server: server, opened: time.Now(), closed: make(chan struct{})}
	if mode == ModeSilent {
		pc.silence(DirectionBoth)
	}
	if !p.add(pc) {
		pc.reset()
		return
	}
	p.relay(pc)
	p.remove(pc)
}

// assignID returns the ID of a new connection and the mode that applies to it.
func (p *Proxy) assignID() (int64, Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	return p.lastID, p.mode
}

// dialTarget connects to the target. A connection that is silent from the start has no
// target connection, so that it opens even when the target is down.
func (p *Proxy) dialTarget(mode Mode) (net.Conn, error) {
	if mode == ModeSilent {
		unconnected, _ := net.Pipe()
		return unconnected, nil
	}
	return net.DialTimeout("tcp", p.options.Target, dialTimeout)
}

// add registers a connection, or returns false if the proxy is closed.
func (p *Proxy) add(pc *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[pc.id] = pc
	return true
}

func (p *Proxy) remove(pc *proxiedConn) {
	pc.closeBoth()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, pc.id)
}

// relay forwards data in both directions and returns when both have ended.
func (p *Proxy) relay(pc *proxiedConn) {
	up := make(chan chunk, maxQueuedChunks)
	down := make(chan chunk, maxQueuedChunks)
	var group sync.WaitGroup
	group.Go(func() { pc.readStream(pc.client, &pc.up, p.upDelay, func() bool { return true }, up) })
	group.Go(func() { pc.writeStream(pc.server, &pc.up, &pc.down, up) })
	group.Go(func() {
		pc.readStream(pc.server, &pc.down, p.downDelay, func() bool { return p.forwardsResponse(pc) }, down)
	})
	group.Go(func() { pc.writeStream(pc.client, &pc.down, &pc.up, down) })
	group.Wait()
}

func (p *Proxy) upDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.delay.UpMS) * time.Millisecond
}

func (p *Proxy) downDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.delay.DownMS) * time.Millisecond
}

// forwardsResponse reports whether data from the target is forwarded. If the data is to
// be lost, it resets or silences the connection.
func (p *Proxy) forwardsResponse(pc *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.responseLoss.Responses <= 0 || (len(p.responseLoss.IDs) > 0 && !slices.Contains(p.responseLoss.IDs, pc.id)) {
		return true
	}
	p.responseLoss.Responses--
	if p.responseLoss.Silent {
		pc.silence(DirectionBoth)
		return false
	}
	pc.reset()
	return false
}
