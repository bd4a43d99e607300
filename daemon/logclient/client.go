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
	"briarproxy/daemon/internal/traffic"
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
	http     map[StreamKind]*resty.Client
	traffic  Traffic
	appended Appended
	mu       sync.Mutex
	next     map[string]int64 // lowest offset at which a new record of the stream can be
}

// StreamKind groups streams by what they are for. Each kind has connections of its
// own, so that bytes are counted per kind.
type StreamKind string

// Kinds of streams.
const (
	StreamConfig  StreamKind = "config"
	StreamMembers StreamKind = "members"
	StreamShards  StreamKind = "shards"
)

func kindOf(stream string) StreamKind {
	switch stream {
	case wire.StreamConfig:
		return StreamConfig
	case wire.StreamMembers:
		return StreamMembers
	}
	return StreamShards
}

// AppendResult is the result of an append.
type AppendResult string

// Results of appends.
const (
	AppendConfirmed AppendResult = "confirmed"
	AppendReadBack  AppendResult = "read-back" // the answer was lost and the record found
	AppendFailed    AppendResult = "failed"
)

// Traffic is told of bytes sent to or received from the log service, and Appended
// of the end of an append of the given bytes. Implementations must not block.
type (
	Traffic  func(kind StreamKind, bytes int)
	Appended func(stream string, result AppendResult, bytes int)
)

// Option changes a Client.
type Option func(*Client)

// WithTraffic has the bytes of all connections counted.
func WithTraffic(count Traffic) Option { return func(c *Client) { c.traffic = count } }

// WithAppended has all appends counted.
func WithAppended(count Appended) Option { return func(c *Client) { c.appended = count } }

// New returns a client of the log service at the base URL.
func New(baseURL string, options ...Option) *Client {
	c := &Client{http: map[StreamKind]*resty.Client{}, next: map[string]int64{}, appended: func(string, AppendResult, int) {}}
	for _, option := range options {
		option(c)
	}
	for _, kind := range []StreamKind{StreamConfig, StreamMembers, StreamShards} {
		c.http[kind] = resty.New().SetBaseURL(baseURL).SetTransport(c.transport(kind))
	}
	return c
}

func (c *Client) transport(kind StreamKind) *http.Transport {
	var count func(int)
	if c.traffic != nil {
		count = func(bytes int) { c.traffic(kind, bytes) }
	}
	return &http.Transport{
		DialContext:         traffic.CountBytes((&net.Dialer{Timeout: dialTimeout}).DialContext, count),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleConnTimeout,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	for _, client := range c.http {
		client.GetClient().CloseIdleConnections()
	}
}

// closeIdle closes the idle connections for a stream; they may have gone silent
// with one that did.
func (c *Client) closeIdle(stream string) { c.http[kindOf(stream)].GetClient().CloseIdleConnections() }

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
	offset, result, err := c.append(ctx, stream, data, contains)
	c.appended(stream, result, len(data))
	return offset, err
}

func (c *Client) append(ctx context.Context, stream string, data []byte, contains func(data []byte) bool) (int64, AppendResult, error) {
	from := c.lowest(stream)
	var reply wire.AppendReply
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	response, err := c.http[kindOf(stream)].R().SetContext(callCtx).SetHeader("Content-Type", "application/octet-stream").
		SetBody(data).SetResult(&reply).ForceContentType("application/json").Post("/v1/streams/" + stream + "/records")
	cancel()
	if err == nil && response.IsSuccess() && reply.Offset > 0 {
		c.seen(stream, reply.Offset+1)
		return reply.Offset, AppendConfirmed, nil
	}
	if err == nil && hadNoEffect(response.StatusCode()) {
		return 0, AppendFailed, refusedBy(response)
	}
	if neverSent(err) {
		return 0, AppendFailed, fault.Wrap(err, fault.Refused, "retry with a backoff", "the log service can't be connected to")
	}
	c.closeIdle(stream)
	offset, err := c.readBack(ctx, stream, from, contains)
	if err != nil {
		return 0, AppendFailed, err
	}
	return offset, AppendReadBack, nil
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
	response, err := c.http[kindOf(stream)].R().SetContext(ctx).SetResult(&reply).ForceContentType("application/json").
		SetQueryParam("from", strconv.FormatInt(from, 10)).
		SetQueryParam("max", strconv.Itoa(limit)).
		SetQueryParam("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10)).
		Get("/v1/streams/" + stream + "/records")
	if err != nil {
		c.closeIdle(stream)
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
