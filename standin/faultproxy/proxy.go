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

// Options configure a Proxy.
type Options struct {
	Listen string // IP:port; default 127.0.0.1:0
	Target string // IP:port
}

// Delay is the body of POST /control/delay. It applies to data that arrives from
// then on, of open and of new connections.
type Delay struct {
	UpMS   int64 `json:"up_ms"`   // client to target
	DownMS int64 `json:"down_ms"` // target to client
}

// Mode says what new connections meet.
type Mode string

// Modes for new connections.
const (
	ModePass   Mode = "pass"
	ModeRefuse Mode = "refuse" // reset at once
	ModeSilent Mode = "silent" // accepted, but nothing is ever delivered
)

// New is the body of POST /control/new.
type New struct {
	Mode Mode `json:"mode"`
}

// Direction names one way of a connection.
type Direction string

// Directions of a connection.
const (
	DirectionBoth Direction = ""
	DirectionUp   Direction = "up"   // client to target
	DirectionDown Direction = "down" // target to client
)

// Silence is the body of POST /control/silence: existing connections stop
// delivering for good, without being closed.
type Silence struct {
	IDs       []int64   `json:"ids,omitempty"`
	All       bool      `json:"all,omitempty"` // all that are open now
	Direction Direction `json:"direction,omitempty"`
}

// Cut is the body of POST /control/cut. No ids mean all connections.
type Cut struct {
	IDs []int64 `json:"ids,omitempty"`
}

// Lose is the body of POST /control/lose: as soon as the target answers on a
// connection, the answer is dropped and the connection is cut. The request has
// been passed on by then.
type Lose struct {
	Answers int64   `json:"answers"`          // the next so many; 0 ends the loss
	IDs     []int64 `json:"ids,omitempty"`    // connections; empty: any
	Silent  bool    `json:"silent,omitempty"` // the connection goes silent both ways and is not cut
}

// Connection describes an open connection.
type Connection struct {
	ID         int64  `json:"id"` // rises with each connection
	Client     string `json:"client"`
	AgeMS      int64  `json:"age_ms"`
	UpBytes    int64  `json:"up_bytes"`
	DownBytes  int64  `json:"down_bytes"`
	SilentUp   bool   `json:"silent_up,omitempty"`
	SilentDown bool   `json:"silent_down,omitempty"`
}

// Connections answers GET /control/connections.
type Connections struct {
	Accepted    int64        `json:"accepted"` // since the start, with those refused
	Connections []Connection `json:"connections"`
}

// Proxy passes connections on to its target. As an http.Handler it serves the
// control calls, which belong on another listener.
type Proxy struct {
	mux      *http.ServeMux
	options  Options
	listener net.Listener
	group    sync.WaitGroup

	mu     sync.Mutex
	links  map[int64]*link
	lastID int64
	delay  Delay
	mode   Mode
	lose   Lose
	closed bool
}

// Listen starts a proxy.
func Listen(options Options) (*Proxy, error) {
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "choose a free address, or port 0", "listen on %s", options.Listen)
	}
	p := &Proxy{mux: http.NewServeMux(), options: options, listener: listener, links: map[int64]*link{}, mode: ModePass}
	p.mux.HandleFunc("POST /control/delay", httpjson.Control(p.SetDelay))
	p.mux.HandleFunc("POST /control/new", httpjson.Control(p.SetNew))
	p.mux.HandleFunc("POST /control/silence", httpjson.Control(p.Silence))
	p.mux.HandleFunc("POST /control/cut", httpjson.Control(p.Cut))
	p.mux.HandleFunc("POST /control/lose", httpjson.Control(p.SetLose))
	p.mux.HandleFunc("GET /control/connections", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, p.Connections())
	})
	p.group.Go(p.accept)
	return p, nil
}

// ServeHTTP implements http.Handler for the control calls.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Address returns the IP:port that clients connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close cuts all connections and waits for the proxy's goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	_ = p.Cut(Cut{})
	p.group.Wait()
}

// SetDelay sets the added delay.
func (p *Proxy) SetDelay(d Delay) error {
	if d.UpMS < 0 || d.DownMS < 0 {
		return fault.New(fault.Invalid, "use at least 0", "delay %d, %d", d.UpMS, d.DownMS)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
	return nil
}

// SetNew sets what new connections meet.
func (p *Proxy) SetNew(n New) error {
	if n.Mode != ModePass && n.Mode != ModeRefuse && n.Mode != ModeSilent {
		return fault.New(fault.Invalid, "use pass, refuse or silent", "mode %q is not known", n.Mode)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = n.Mode
	return nil
}

// SetLose sets which answers are lost.
func (p *Proxy) SetLose(l Lose) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = l
	return nil
}

// Silence makes existing connections go silent for good. Ids of connections that
// are closed already are passed over.
func (p *Proxy) Silence(s Silence) error {
	if len(s.IDs) == 0 && !s.All {
		return fault.New(fault.Invalid, "give ids or set all", "no connection is named")
	}
	if s.Direction != DirectionBoth && s.Direction != DirectionUp && s.Direction != DirectionDown {
		return fault.New(fault.Invalid, "use up, down or nothing", "direction %q is not known", s.Direction)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.links {
		if s.All || slices.Contains(s.IDs, id) {
			l.silence(s.Direction)
		}
	}
	return nil
}

func (l *link) silence(d Direction) {
	if d != DirectionDown {
		l.up.silent.Store(true)
	}
	if d != DirectionUp {
		l.down.silent.Store(true)
	}
}

// Cut resets connections on both sides.
func (p *Proxy) Cut(c Cut) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.links {
		if len(c.IDs) == 0 || slices.Contains(c.IDs, id) {
			l.cut()
		}
	}
	return nil
}

// Connections lists the open connections by id.
func (p *Proxy) Connections() Connections {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := Connections{Accepted: p.lastID, Connections: make([]Connection, 0, len(p.links))}
	for _, l := range p.links {
		list.Connections = append(list.Connections, Connection{
			ID:         l.id,
			Client:     l.client.RemoteAddr().String(),
			AgeMS:      time.Since(l.opened).Milliseconds(),
			UpBytes:    l.up.bytes.Load(),
			DownBytes:  l.down.bytes.Load(),
			SilentUp:   l.up.silent.Load(),
			SilentDown: l.down.silent.Load(),
		})
	}
	slices.SortFunc(list.Connections, func(a, b Connection) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// acceptRetry spaces out failing accepts, for instance when no descriptors are left.
const acceptRetry = 10 * time.Millisecond

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err == nil {
			p.group.Go(func() { p.serve(client) })
			continue
		}
		if p.isClosed() {
			return
		}
		time.Sleep(acceptRetry)
	}
}

func (p *Proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// serve passes one connection on until it ends.
func (p *Proxy) serve(client net.Conn) {
	id, mode := p.admit()
	if mode == ModeRefuse {
		reset(client)
		return
	}
	server, err := p.dial(mode)
	if err != nil {
		reset(client)
		return
	}
	l := &link{id: id, client: client, server: server, opened: time.Now(), closed: make(chan struct{})}
	if mode == ModeSilent {
		l.silence(DirectionBoth)
	}
	if !p.add(l) {
		l.cut()
		return
	}
	p.relay(l)
	p.remove(l)
}

// admit numbers a new connection.
func (p *Proxy) admit() (int64, Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	return p.lastID, p.mode
}

// dial connects to the target. A connection that is silent from the start needs
// none, so that it opens even when the target is down.
func (p *Proxy) dial(mode Mode) (net.Conn, error) {
	if mode == ModeSilent {
		nowhere, _ := net.Pipe()
		return nowhere, nil
	}
	return net.DialTimeout("tcp", p.options.Target, dialTimeout)
}

func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.links[l.id] = l
	return true
}

func (p *Proxy) remove(l *link) {
	l.finish()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l.id)
}

// relay returns when both directions have ended.
func (p *Proxy) relay(l *link) {
	up := make(chan chunk, delayedChunks)
	down := make(chan chunk, delayedChunks)
	var group sync.WaitGroup
	group.Go(func() { l.read(l.client, &l.up, p.upDelay, func() bool { return true }, up) })
	group.Go(func() { l.write(l.server, &l.up, &l.down, up) })
	group.Go(func() { l.read(l.server, &l.down, p.downDelay, func() bool { return p.passesAnswer(l) }, down) })
	group.Go(func() { l.write(l.client, &l.down, &l.up, down) })
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

// passesAnswer reports whether data from the target is passed on, and otherwise
// cuts or silences the connection.
func (p *Proxy) passesAnswer(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lose.Answers <= 0 || (len(p.lose.IDs) > 0 && !slices.Contains(p.lose.IDs, l.id)) {
		return true
	}
	p.lose.Answers--
	if p.lose.Silent {
		l.silence(DirectionBoth)
		return false
	}
	l.cut()
	return false
}
