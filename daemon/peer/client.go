package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
)

// Times of a connection to a peer.
const (
	dialTimeout  = 500 * time.Millisecond
	pingInterval = time.Second // a call that waits longer is checked by a ping
)

// Directory gives the address of a daemon's net/rpc listener.
type Directory func(daemon string) (address string, ok bool)

// Observer is told of every call and its outcome; err is nil on success.
type Observer func(daemon, method string, err error)

// Traffic is told of the bytes of a call, sent or received. Implementations must
// not block.
type Traffic func(daemon, method string, bytes int)

// Client implements Caller.
type Client struct {
	self      string
	local     Handler
	directory Directory
	observe   Observer
	traffic   Traffic
	mu        sync.Mutex
	conns     map[string]*connection // by address
}

// NewClient returns a client. Calls to self go to local directly. SetLocal sets
// the handler when it is built after the client.
func NewClient(self string, directory Directory, observe Observer) *Client {
	if observe == nil {
		observe = func(string, string, error) {}
	}
	return &Client{self: self, directory: directory, observe: observe, conns: map[string]*connection{}}
}

// SetLocal sets the handler for calls to this daemon itself. It is called once,
// before the first call.
func (c *Client) SetLocal(h Handler) { c.local = h }

// SetTraffic has the bytes of all calls counted. It is called before the first call.
func (c *Client) SetTraffic(count Traffic) { c.traffic = count }

// Call implements Caller.
func (c *Client) Call(ctx context.Context, daemon, method string, args, reply any) error {
	err := c.call(ctx, daemon, method, args, reply)
	c.observe(daemon, method, err)
	return err
}

func (c *Client) call(ctx context.Context, daemon, method string, args, reply any) error {
	if daemon == c.self {
		return dispatch(c.local, method, args, reply)
	}
	address, known := c.directory(daemon)
	if !known {
		return fault.New(fault.Refused, "retry when its heartbeat has been read", "daemon %q has no known address", daemon)
	}
	conn, err := c.connection(daemon, address)
	if err != nil {
		return fault.Wrap(err, fault.Refused, "retry; another daemon takes over if this one stays away", "can't connect to daemon %q at %s", daemon, address)
	}
	return conn.call(ctx, daemon, method, args, reply)
}

func (c *Client) connection(daemon, address string) (*connection, error) {
	c.mu.Lock()
	old := c.conns[address]
	c.mu.Unlock()
	if old != nil && !old.broken.Load() {
		return old, nil
	}
	raw, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	count := func(method string, bytes int) {
		if c.traffic != nil {
			c.traffic(daemon, method, bytes)
		}
	}
	fresh := &connection{rpc: rpc.NewClientWithCodec(newCodec(raw, count))}
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.conns[address]; current != nil && !current.broken.Load() {
		_ = fresh.rpc.Close()
		return current, nil
	}
	c.conns[address] = fresh
	return fresh, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.fail()
	}
}

// connection is one net/rpc connection to a peer.
type connection struct {
	rpc     *rpc.Client
	broken  atomic.Bool
	pinging atomic.Bool
}

func (c *connection) fail() {
	c.broken.Store(true)
	_ = c.rpc.Close()
}

func (c *connection) call(ctx context.Context, daemon, method string, args, reply any) error {
	done := c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case finished := <-done:
			return c.outcome(daemon, method, finished.Error)
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Unavailable, "retry with the same id or idempotency key", "no answer from daemon %q to %s in time", daemon, method)
		case <-ticker.C:
			go c.check()
		}
	}
}

func (c *connection) outcome(daemon, method string, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return decodeError(remote)
	}
	c.fail()
	return fault.Wrap(err, fault.Unavailable, "retry with the same id or idempotency key", "the connection to daemon %q broke during %s", daemon, method)
}

// check closes the connection when a ping on it gets no answer. Only one check
// runs at a time.
func (c *connection) check() {
	if !c.pinging.CompareAndSwap(false, true) {
		return
	}
	defer c.pinging.Store(false)
	done := c.rpc.Go(wire.RPCPing, &wire.PingArgs{}, &wire.PingReply{}, make(chan *rpc.Call, 1)).Done
	select {
	case finished := <-done:
		if finished.Error != nil {
			c.fail()
		}
	case <-time.After(pingInterval):
		c.fail()
	}
}
