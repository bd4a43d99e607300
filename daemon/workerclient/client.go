package workerclient

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
	"briarproxy/daemon/internal/traffic"
)

// CallTimeout is the time without an answer after which a connection counts as
// silent.
const CallTimeout = time.Second

const (
	dialTimeout     = 900 * time.Millisecond // below CallTimeout, so that a failed dial is told from a silent connection
	idleTimeout     = 30 * time.Second
	forgetAfter     = 10 * time.Minute
	maxAnswerBytes  = 64 << 20
	maxStartConns   = 32 // the three limits together are the 60 connections that a worker accepts
	maxControlConns = 12
	maxFreshConns   = 16
	maxStartsAtOnce = 4096 // goroutines that wait for an answer to a start
)

// Client calls workers by address. It is safe for concurrent use.
type Client struct {
	traffic Traffic
	pool    pond.Pool
	mu      sync.Mutex
	workers map[string]*worker
}

// worker holds the connections to one worker by purpose, so that starts, which
// stay open while a request runs, never use up the connections of control calls.
type worker struct {
	used    time.Time
	start   *resty.Client
	control *resty.Client
	fresh   *resty.Client // one new connection per call
}

// Traffic is told of bytes sent to or received from a worker. request is true on
// the connections for starts and queries, false on those for control calls.
// Implementations must not block.
type Traffic func(address string, request bool, bytes int)

// Option changes a Client.
type Option func(*Client)

// WithTraffic has the bytes of all connections counted.
func WithTraffic(count Traffic) Option { return func(c *Client) { c.traffic = count } }

// New returns a client without connections.
func New(options ...Option) *Client {
	c := &Client{pool: pond.NewPool(maxStartsAtOnce), workers: map[string]*worker{}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close waits for the starts in flight and closes all idle connections.
func (c *Client) Close() {
	c.pool.StopAndWait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.closeIdle()
	}
	c.workers = map[string]*worker{}
}

// Forget drops the connections to a worker that is gone.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, found := c.workers[address]; found {
		w.closeIdle()
		delete(c.workers, address)
	}
}

func (c *Client) worker(address string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	w, found := c.workers[address]
	if !found {
		c.sweep(now)
		w = &worker{
			start:   c.newHTTP(address, maxStartConns, true, true),
			control: c.newHTTP(address, maxControlConns, true, false),
			fresh:   c.newHTTP(address, maxFreshConns, false, true),
		}
		c.workers[address] = w
	}
	w.used = now
	return w
}

// sweep drops the connections to workers that were not called for a while.
// Thousands of workers are replaced a day, each with a new address.
func (c *Client) sweep(now time.Time) {
	for address, w := range c.workers {
		if now.Sub(w.used) > forgetAfter {
			w.closeIdle()
			delete(c.workers, address)
		}
	}
}

func (w *worker) closeIdle() {
	for _, client := range []*resty.Client{w.start, w.control, w.fresh} {
		client.GetClient().CloseIdleConnections()
	}
}

func (c *Client) newHTTP(address string, conns int, keepAlive, request bool) *resty.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	var count func(int)
	if c.traffic != nil {
		count = func(bytes int) { c.traffic(address, request, bytes) }
	}
	transport := &http.Transport{
		DialContext:         traffic.CountBytes(dialer.DialContext, count),
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
	}
	return resty.NewWithClient(&http.Client{Transport: transport}).
		SetBaseURL("http://" + address).
		SetResponseBodyLimit(maxAnswerBytes)
}

// Fence raises the worker's epoch and returns its inventory. A refusal is in the
// report's Refused.
func (c *Client) Fence(ctx context.Context, address string, msg wire.Fence) (wire.Report, error) {
	return control[wire.Report](ctx, c.worker(address), http.MethodPost, wire.PathFence, msg)
}

// Report returns the worker's inventory.
func (c *Client) Report(ctx context.Context, address string) (wire.Report, error) {
	return control[wire.Report](ctx, c.worker(address), http.MethodGet, wire.PathReport, nil)
}

// Stop ends, forbids or queries an attempt.
func (c *Client) Stop(ctx context.Context, address string, msg wire.Stop) (wire.StopReply, error) {
	return control[wire.StopReply](ctx, c.worker(address), http.MethodPost, wire.PathStop, msg)
}

// Renew extends run leases.
func (c *Client) Renew(ctx context.Context, address string, msg wire.Renew) (wire.RenewReply, error) {
	return control[wire.RenewReply](ctx, c.worker(address), http.MethodPost, wire.PathRenew, msg)
}

// Ack lets the worker forget attempts that have ended.
func (c *Client) Ack(ctx context.Context, address string, msg wire.Ack) error {
	_, err := control[struct{}](ctx, c.worker(address), http.MethodPost, wire.PathAck, msg)
	return err
}

// Throttle limits a running task to a share of its cores.
func (c *Client) Throttle(ctx context.Context, address string, msg wire.Throttle) error {
	_, err := control[struct{}](ctx, c.worker(address), http.MethodPost, wire.PathThrottle, msg)
	return err
}

// Checkpoint stores a checkpoint of a running task and stops it.
func (c *Client) Checkpoint(ctx context.Context, address string, msg wire.Checkpoint) (wire.StopReply, error) {
	return control[wire.StopReply](ctx, c.worker(address), http.MethodPost, wire.PathCheckpoint, msg)
}

// Start sends the start of a task once. It is not repeated, because the worker
// refuses the second copy as a duplicate; after an error the effect is unknown and
// Stop with Query resolves it.
func (c *Client) Start(ctx context.Context, address string, msg wire.Start) (wire.StartReply, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return call[wire.StartReply](ctx, c.worker(address).start, http.MethodPost, wire.PathStart, msg)
}

// control makes a call that the worker answers at once. A call without an answer
// closes its connection and is repeated once on a new one; every control message
// has the same effect when it arrives twice.
func control[R any](ctx context.Context, w *worker, method, path string, body any) (R, error) {
	reply, err := timed[R](ctx, w.control, method, path, body)
	if !fault.Is(err, fault.Unavailable) || ctx.Err() != nil {
		return reply, err
	}
	return timed[R](ctx, w.fresh, method, path, body)
}

// timed makes a call that is given up, with its connection closed, after
// CallTimeout.
func timed[R any](ctx context.Context, client *resty.Client, method, path string, body any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return call[R](ctx, client, method, path, body)
}

// call makes one HTTP call. Its error is of kind fault.Unavailable when the call
// may have had an effect, and fault.Refused when the worker rejected the message.
func call[R any](ctx context.Context, client *resty.Client, method, path string, body any) (R, error) {
	var reply R
	request := client.R().SetContext(ctx)
	if body != nil {
		request.SetBody(body)
	}
	response, err := request.Execute(method, path)
	if err != nil {
		return reply, fault.Wrap(err, fault.Unavailable, "query the attempt on a new connection", "worker call %s %s", method, path)
	}
	answer := response.Body()
	if len(answer) == 0 && response.IsSuccess() {
		return reply, nil
	}
	if err := json.Unmarshal(answer, &reply); err != nil {
		return reply, answerFault(response, path, err)
	}
	if response.IsError() && response.StatusCode() != http.StatusConflict {
		return reply, answerFault(response, path, nil)
	}
	return reply, nil
}

// answerFault classifies an answer that is not a reply of the protocol.
func answerFault(response *resty.Response, path string, cause error) error {
	kind, remedy := fault.Unavailable, "query the attempt on a new connection"
	if status := response.StatusCode(); status >= 400 && status < 500 {
		kind, remedy = fault.Refused, "check that the worker and the daemon speak the same protocol version"
	}
	if cause == nil {
		return fault.New(kind, remedy, "worker call %s: HTTP status %d", path, response.StatusCode())
	}
	return fault.Wrap(cause, kind, remedy, "worker call %s: HTTP status %d", path, response.StatusCode())
}
