package logclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"briarproxy/core/fault"
)

// Bounds of group commits.
const (
	minSpacing     = 20 * time.Millisecond
	maxRecord      = 256 << 10 // bytes of items in one record
	queueLength    = 4096      // items that wait for a commit
	refusalRetries = 3         // tries of a commit that the service refused
	refusalPause   = 150 * time.Millisecond
	commitTimeout  = 8 * time.Second // until a commit's outcome counts as unknown
)

// Budget limits the appends of one daemon. It is shared by all its writers.
type Budget struct{ limiter *rate.Limiter }

// NewBudget returns a budget of perSecond appends a second.
func NewBudget(perSecond float64) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))}
}

func burstOf(perSecond float64) int { return max(2, int(perSecond/10)) }

// SetShare sets the budget to this daemon's part of the cell's appends a second.
func (b *Budget) SetShare(cellPerSecond float64, daemons int) {
	share := cellPerSecond / float64(max(1, daemons))
	b.limiter.SetLimit(rate.Limit(share))
	b.limiter.SetBurst(burstOf(share))
}

// frame is a record with the items of one commit. Items are JSON values.
type frame struct {
	ID    string            `json:"id"`
	Items []json.RawMessage `json:"items"`
}

// Items returns the items of a record that a Writer wrote.
func Items(data []byte) ([]json.RawMessage, error) {
	var f frame
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "check for daemons of another release", "a record is no frame of items")
	}
	return f.Items, nil
}

func frameID(data []byte) string {
	var f struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(data, &f) // foreign records have no id
	return f.ID
}

// Writer appends items to one stream. Items that are queued while an append is in
// flight share the next one, in the order in which they were queued.
type Writer struct {
	client  *Client
	stream  string
	id      string // unique prefix of record ids
	budget  *Budget
	queue   chan *item
	commits atomic.Int64
	bytes   atomic.Int64
}

type item struct {
	data []byte
	done chan error // buffered; gets the outcome
}

// NewWriter returns a writer. id must be unique among all writers of the stream
// that ever existed. Serve has to run for anything to be appended.
func NewWriter(client *Client, stream, id string, budget *Budget) *Writer {
	return &Writer{client: client, stream: stream, id: id, budget: budget, queue: make(chan *item, queueLength)}
}

// Append queues one JSON value without blocking and returns a function that waits
// for the outcome: nil when the value is in the stream, fault.Refused when it is
// not and never will be, and otherwise an error after which it may be there, now
// or later.
func (w *Writer) Append(data []byte) (wait func(ctx context.Context) error) {
	if len(data) > maxRecord {
		return failed(fault.New(fault.Refused, "send less", "an item of %d bytes is larger than a record", len(data)))
	}
	it := &item{data: data, done: make(chan error, 1)}
	select {
	case w.queue <- it:
	default:
		return failed(fault.New(fault.Refused, "retry with a backoff", "%d items wait for the log service already", queueLength))
	}
	return func(ctx context.Context) error {
		select {
		case err := <-it.done:
			return err
		case <-ctx.Done():
			return fault.New(fault.Unknown, "look for the record's effect, then retry", "no outcome of an append to stream %q in time", w.stream)
		}
	}
}

func failed(err error) func(context.Context) error {
	return func(context.Context) error { return err }
}

// Stats returns the number of commits and of the bytes appended.
func (w *Writer) Stats() (commits, bytes int64) { return w.commits.Load(), w.bytes.Load() }

// Serve commits until ctx ends. Items that are queued then are refused.
func (w *Writer) Serve(ctx context.Context) {
	var carried *item
	for {
		first := carried
		carried = nil
		if first == nil {
			select {
			case <-ctx.Done():
				w.refuseQueued()
				return
			case first = <-w.queue:
			}
		}
		began := time.Now()
		if err := w.budget.limiter.Wait(ctx); err != nil {
			first.done <- stopped()
			w.refuseQueued()
			return
		}
		var batch []*item
		batch, carried = w.gather(first)
		w.commit(ctx, batch)
		pause(ctx, minSpacing-time.Since(began))
	}
}

// gather takes what is queued, up to the size of a record. An item that does not
// fit any more is carried over to the next commit.
func (w *Writer) gather(first *item) (batch []*item, carried *item) {
	batch = []*item{first}
	size := len(first.data)
	for {
		select {
		case next := <-w.queue:
			if size+len(next.data) > maxRecord {
				return batch, next
			}
			batch = append(batch, next)
			size += len(next.data)
		default:
			return batch, nil
		}
	}
}

func (w *Writer) commit(ctx context.Context, batch []*item) {
	f := frame{ID: fmt.Sprintf("%s.%d", w.id, w.commits.Add(1)), Items: make([]json.RawMessage, len(batch))}
	for i, it := range batch {
		f.Items[i] = it.data
	}
	data, err := json.Marshal(f)
	if err != nil {
		err = fault.Wrap(err, fault.Refused, "report this as a bug", "an item is no JSON value")
	} else {
		w.bytes.Add(int64(len(data)))
		err = w.append(ctx, f.ID, data)
	}
	for _, it := range batch {
		it.done <- err
	}
}

// append tries a commit again only after a refusal, which leaves no trace in the
// stream.
func (w *Writer) append(ctx context.Context, id string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for try := 1; ; try++ {
		_, err := w.client.Append(ctx, w.stream, data, func(found []byte) bool { return frameID(found) == id })
		var refusal *RetryAfterError
		tooLong := errors.As(err, &refusal) && refusal.After > time.Second
		if err == nil || !fault.Is(err, fault.Refused) || try == refusalRetries || tooLong {
			return err
		}
		pause(ctx, refusalPause)
	}
}

func (w *Writer) refuseQueued() {
	for {
		select {
		case it := <-w.queue:
			it.done <- stopped()
		default:
			return
		}
	}
}

func stopped() error {
	return fault.New(fault.Refused, "ask the next owner", "the writer has stopped")
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
