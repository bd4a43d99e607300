package logclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
)

// Times of calls to the log service.
const (
	dialTimeout     = time.Second
	appendTimeout   = 3 * time.Second        // until an append's answer counts as lost
	readTimeout     = 3 * time.Second        // beyond the wait of a long poll
	readBackPause   = 100 * time.Millisecond // between reads that look for a record
	defaultMaxBatch = 500                    // records per read
	idleConnTimeout = 30 * time.Second
)

// Client calls one log service.
type Client struct {
	http      *resty.Client
	transport *http.Transport
	mu        sync.Mutex
	next      map[string]int64 // lowest offset at which a new record of the stream can be
}

// New returns a client of the log service at the base URL.
func New(baseURL string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleConnTimeout,
	}
	client := resty.New().SetBaseURL(baseURL).SetTransport(transport)
	return &Client{http: client, transport: transport, next: map[string]int64{}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) seen(stream string, next int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next[stream] = max(c.next[stream], next)
}

func (c *Client) lowest(stream string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(1, c.next[stream])
}

// Append appends one record and returns its offset. contains tells whether a
// record's data is this one; it is used to settle a lost answer. Errors:
// fault.Refused, the record is not in the stream and never will be;
// fault.Unknown, it may be there now or later.
func (c *Client) Append(ctx context.Context, stream string, data []byte, contains func(data []byte) bool) (int64, error) {
	from := c.lowest(stream)
	var reply wire.AppendReply
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	response, err := c.http.R().SetContext(callCtx).SetHeader("Content-Type", "application/octet-stream").
		SetBody(data).SetResult(&reply).ForceContentType("application/json").Post("/v1/streams/" + stream + "/records")
	cancel()
	if err == nil && response.IsSuccess() && reply.Offset > 0 {
		c.seen(stream, reply.Offset+1)
		return reply.Offset, nil
	}
	if err == nil && hadNoEffect(response.StatusCode()) {
		return 0, refusedBy(response)
	}
	if neverSent(err) {
		return 0, fault.Wrap(err, fault.Refused, "retry with a backoff", "the log service can't be connected to")
	}
	c.transport.CloseIdleConnections() // they may have gone silent with this one
	return c.readBack(ctx, stream, from, contains)
}

// hadNoEffect reports whether an error answer was given before the record took
// effect. Any other error answer leaves it open.
func hadNoEffect(status int) bool {
	return status >= 400 && status < 500 || status == http.StatusServiceUnavailable
}

// neverSent reports whether no connection could be made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refusedBy turns an error answer without effect into an error.
func refusedBy(response *resty.Response) error {
	err := fault.New(fault.Refused, "retry after the time given", "the log service answered %s", response.Status())
	if seconds, parseErr := strconv.Atoi(response.Header().Get("Retry-After")); parseErr == nil {
		return &RetryAfterError{error: err, After: time.Duration(seconds) * time.Second}
	}
	return err
}

// RetryAfterError is a refusal that names the time after which to try again.
type RetryAfterError struct {
	error
	After time.Duration
}

// Unwrap returns the refusal.
func (e *RetryAfterError) Unwrap() error { return e.error }

// readBack looks for a record until it is found or ctx ends.
func (c *Client) readBack(ctx context.Context, stream string, from int64, contains func(data []byte) bool) (int64, error) {
	for {
		reply, err := c.Read(ctx, stream, from, defaultMaxBatch, 0)
		if err == nil {
			for _, record := range reply.Records {
				if contains(record.Data) {
					return record.Offset, nil
				}
				from = record.Offset + 1
			}
		}
		if err == nil && len(reply.Records) > 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return 0, fault.New(fault.Unknown, "look for the record's effect, then retry", "the answer to an append to stream %q was lost and the record was not found by then", stream)
		case <-time.After(readBackPause):
		}
	}
}

// Read reads up to limit records from an offset on. With a wait it is a long poll.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (wire.ReadReply, error) {
	var reply wire.ReadReply
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	response, err := c.http.R().SetContext(ctx).SetResult(&reply).ForceContentType("application/json").
		SetQueryParam("from", strconv.FormatInt(from, 10)).
		SetQueryParam("max", strconv.Itoa(limit)).
		SetQueryParam("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10)).
		Get("/v1/streams/" + stream + "/records")
	if err != nil {
		c.transport.CloseIdleConnections()
		return wire.ReadReply{}, fault.Wrap(err, fault.Unavailable, "retry with a backoff", "the log service can't be read")
	}
	if response.IsError() {
		return wire.ReadReply{}, fault.New(fault.Unavailable, "retry with a backoff", "the log service answered %s to a read", response.Status())
	}
	for _, record := range reply.Records {
		c.seen(stream, record.Offset+1)
	}
	return reply, nil
}

// ReadAll hands over every record from the first kept one to the end of the stream
// at the time of the last read.
func (c *Client) ReadAll(ctx context.Context, stream string, handle func(wire.LogRecord)) (next int64, err error) {
	from := int64(1)
	for {
		reply, err := c.Read(ctx, stream, from, defaultMaxBatch, 0)
		if err != nil {
			return from, fmt.Errorf("stream %q from offset %d: %w", stream, from, err)
		}
		for _, record := range reply.Records {
			handle(record)
			from = record.Offset + 1
		}
		if len(reply.Records) == 0 {
			return max(from, reply.Next), nil
		}
	}
}
