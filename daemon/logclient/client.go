package logclient

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/phuslu/log"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
	"briarproxy/daemon/event"
)

const (
	defaultCallTimeout = time.Second
	defaultPollWait    = 2 * time.Second
	defaultReadMax     = 1000 // records
	settleWait         = 200 * time.Millisecond
	maxIdleConns       = 16
)

var (
	eventCallFailed = event.Define(1100, "log_call_failed", log.WarnLevel,
		"A call to the log service failed and is retried. Check the log service if it repeats.")
	eventAppendSettled = event.Define(1101, "log_append_settled", log.InfoLevel,
		"The answer to an append was lost; the record was found in the stream.")
	eventAppendUnknown = event.Define(1102, "log_append_unknown", log.WarnLevel,
		"The answer to an append was lost and the record was not found in time; it may still arrive.")
	eventGap = event.Define(1103, "log_gap", log.WarnLevel,
		"Records were removed by retention before they were read. Readers start anew from the first retained one.")
)

// Options configure a Client. Zero values give the defaults.
type Options struct {
	BaseURL     string        // http://IP:port of the log service
	CallTimeout time.Duration // of each call, in addition to the wait of a long poll
	PollWait    time.Duration // longest wait of one long poll
	// Contains reports whether an append holds the record with the id. The default
	// searches for the id in quotes, as it stands in a JSON record.
	Contains func(data []byte, id string) bool
	Limiter  *Limiter // of the daemon's appends; nil for none
	Logger   *event.Logger
}

// Client calls the log service. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	http      *resty.Client

	mu   sync.Mutex
	next map[string]int64 // highest Next seen per stream; later appends land at or above it
}

// New returns a client.
func New(options Options) *Client {
	if options.CallTimeout <= 0 {
		options.CallTimeout = defaultCallTimeout
	}
	if options.PollWait <= 0 {
		options.PollWait = defaultPollWait
	}
	if options.Contains == nil {
		options.Contains = func(data []byte, id string) bool { return bytes.Contains(data, []byte(strconv.Quote(id))) }
	}
	if options.Limiter == nil {
		options.Limiter = NewLimiter()
	}
	if options.Logger == nil {
		options.Logger = event.Discard()
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: options.CallTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		options:   options,
		transport: transport,
		http:      resty.New().SetTransport(transport).SetBaseURL(options.BaseURL).SetRedirectPolicy(resty.NoRedirectPolicy()),
		next:      map[string]int64{},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// appendResult says what is known about one POST.
type appendResult int

const (
	appended      appendResult = iota // the record has the returned offset
	notAppended                       // it has no effect and may be sent again
	refused                           // it has no effect and a repeat would have none either
	maybeAppended                     // it may have taken effect or may still do so
)

// Append appends data, which holds the record with the unique id, and returns its
// offset. An append without effect is tried again until ctx ends, then the error is
// fault.Unavailable. An append whose answer is lost is never repeated: the stream
// is read back until the id is found or ctx ends, then the error is fault.Unknown.
func (c *Client) Append(ctx context.Context, stream, id string, data []byte) (int64, error) {
	var pause backoff
	for {
		from, err := c.floor(ctx, stream)
		if err == nil {
			err = c.options.Limiter.Wait(ctx)
		}
		if err != nil {
			return 0, fault.Wrap(err, fault.Unavailable, "try again later", "append to stream %s was not sent", stream)
		}
		offset, result, retryAfter, err := c.post(ctx, stream, data)
		switch result {
		case appended:
			return offset, nil
		case refused:
			return 0, err
		case maybeAppended:
			return c.settle(ctx, stream, id, from, err)
		}
		c.options.Logger.Emit(eventCallFailed, "stream", stream, "call", "append", "error", err.Error())
		if waitErr := pause.wait(ctx, retryAfter); waitErr != nil {
			return 0, fault.Wrap(err, fault.Unavailable, "try again later", "append to stream %s was not accepted", stream)
		}
	}
}

func (c *Client) post(ctx context.Context, stream string, data []byte) (int64, appendResult, time.Duration, error) {
	var reply wire.AppendReply
	callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	response, err := c.http.R().
		SetContext(callCtx).
		SetHeader("Content-Type", "application/octet-stream").
		SetBody(data).
		SetResult(&reply).
		ForceContentType("application/json").
		SetPathParam("stream", stream).
		Post("/v1/streams/{stream}/records")
	if err != nil {
		c.dropConnections(err)
		if neverSent(err) {
			return 0, notAppended, 0, err
		}
		return 0, maybeAppended, 0, err
	}
	switch status := response.StatusCode(); {
	case status == http.StatusOK || status == http.StatusCreated:
		c.sawNext(stream, reply.Offset+1)
		return reply.Offset, appended, 0, nil
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		wait := retryAfter(response)
		c.options.Limiter.Pause(wait)
		return 0, notAppended, wait, unexpected(response)
	case status >= 400 && status < 500:
		return 0, refused, 0, unexpected(response)
	default:
		return 0, maybeAppended, 0, unexpected(response)
	}
}

// neverSent reports whether the connection could not be made, so that the service
// has seen nothing of the call.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// settle looks for the record with the id at or above from.
func (c *Client) settle(ctx context.Context, stream, id string, from int64, cause error) (int64, error) {
	var pause backoff
	for ctx.Err() == nil {
		reply, err := c.Read(ctx, stream, from, defaultReadMax, settleWait)
		if err != nil {
			_ = pause.wait(ctx, 0)
			continue
		}
		pause.reset()
		for _, r := range reply.Records {
			if c.options.Contains(r.Data, id) {
				c.options.Logger.Emit(eventAppendSettled, "stream", stream, "id", id, "offset", r.Offset)
				return r.Offset, nil
			}
			from = r.Offset + 1
		}
		from = max(from, reply.First)
	}
	c.options.Logger.Emit(eventAppendUnknown, "stream", stream, "id", id)
	return 0, fault.Wrap(cause, fault.Unknown, "read the stream for the record's id before acting on it",
		"append of record %s to stream %s may have taken effect", id, stream)
}

// floor returns an offset at or above which the next append lands.
func (c *Client) floor(ctx context.Context, stream string) (int64, error) {
	c.mu.Lock()
	next, known := c.next[stream]
	c.mu.Unlock()
	if known {
		return next, nil
	}
	var pause backoff
	for {
		reply, err := c.Read(ctx, stream, 0, 1, 0)
		if err == nil {
			return reply.Next, nil
		}
		if waitErr := pause.wait(ctx, 0); waitErr != nil {
			return 0, err
		}
	}
}

func (c *Client) sawNext(stream string, next int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next[stream] = max(c.next[stream], next)
}

// Read reads up to limit records from an offset on and waits up to wait for the
// first one. Errors are fault.Unavailable, or fault.Invalid for a refused call.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (wire.ReadReply, error) {
	var reply wire.ReadReply
	callCtx, cancel := context.WithTimeout(ctx, wait+c.options.CallTimeout)
	defer cancel()
	response, err := c.http.R().
		SetContext(callCtx).
		SetResult(&reply).
		ForceContentType("application/json").
		SetPathParam("stream", stream).
		SetQueryParam("from", strconv.FormatInt(from, 10)).
		SetQueryParam("max", strconv.Itoa(limit)).
		SetQueryParam("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10)).
		Get("/v1/streams/{stream}/records")
	if err != nil {
		c.dropConnections(err)
		return reply, fault.Wrap(err, fault.Unavailable, "try again later", "read of stream %s failed", stream)
	}
	if response.StatusCode() != http.StatusOK {
		return reply, unexpected(response)
	}
	c.sawNext(stream, reply.Next)
	return reply, nil
}

// dropConnections closes idle connections after a timeout: a connection that has
// stopped delivering data takes others of the same path with it.
func (c *Client) dropConnections(err error) {
	var netErr net.Error
	if errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &netErr) && netErr.Timeout()) {
		c.transport.CloseIdleConnections()
	}
}

func unexpected(response *resty.Response) error {
	kind, remedy := fault.Unavailable, "try again later"
	status := response.StatusCode()
	if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
		kind, remedy = fault.Invalid, "correct the call; a repeat is refused again"
	}
	return fault.New(kind, remedy, "log service answered %s", response.Status())
}

func retryAfter(response *resty.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header().Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
