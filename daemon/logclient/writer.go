package logclient

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"briarproxy/core/fault"
)

const (
	maxAppendBytes       = 256 << 10
	minAppendSpacing     = 20 * time.Millisecond
	defaultAppendTimeout = 10 * time.Second
)

// Appender appends one record; Client implements it.
type Appender interface {
	Append(ctx context.Context, stream, id string, data []byte) (int64, error)
}

type result struct {
	offset int64
	err    error
}

type queued struct {
	id   string
	data []byte
	done chan result
}

// Writer groups the records of one stream: one append is in flight, and everything
// queued meanwhile goes into the next one, joined by line ends. Records must not
// contain line ends.
type Writer struct {
	client  Appender
	stream  string
	timeout time.Duration

	mu    sync.Mutex
	queue []*queued
	wake  chan struct{}
}

// NewWriter returns a writer for a stream. timeout bounds each append with its
// read-back; 0 gives 10 s. Run must be called for it to work.
func NewWriter(client Appender, stream string, timeout time.Duration) *Writer {
	if timeout <= 0 {
		timeout = defaultAppendTimeout
	}
	return &Writer{client: client, stream: stream, timeout: timeout, wake: make(chan struct{}, 1)}
}

// Append queues a record and waits for its offset, which it shares with the other
// records of the same append. When ctx ends first, the error is fault.Unavailable
// if the record was still queued and was taken back, else fault.Unknown.
func (w *Writer) Append(ctx context.Context, id string, data []byte) (int64, error) {
	if len(data) > maxAppendBytes || bytes.IndexByte(data, '\n') >= 0 {
		return 0, fault.New(fault.Invalid, "split the record and remove line ends",
			"record %s of %d bytes does not fit an append", id, len(data))
	}
	item := &queued{id: id, data: data, done: make(chan result, 1)}
	w.mu.Lock()
	w.queue = append(w.queue, item)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-item.done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, w.takeBack(item, ctx.Err())
	}
}

func (w *Writer) takeBack(item *queued, cause error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := slices.Index(w.queue, item); i >= 0 {
		w.queue = slices.Delete(w.queue, i, i+1)
		return fault.Wrap(cause, fault.Unavailable, "try again later", "record %s was not sent", item.id)
	}
	return fault.Wrap(cause, fault.Unknown, "read the stream for the record's id before acting on it",
		"record %s may be in stream %s", item.id, w.stream)
}

// Run sends the queued records until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.failQueued(ctx.Err())
			return
		case <-w.wake:
		}
		for batch := w.take(); len(batch) > 0; batch = w.take() {
			spacing := time.NewTimer(minAppendSpacing)
			w.send(ctx, batch)
			select {
			case <-spacing.C:
			case <-ctx.Done():
				spacing.Stop()
			}
			if ctx.Err() != nil {
				break
			}
		}
	}
}

func (w *Writer) take() []*queued {
	w.mu.Lock()
	defer w.mu.Unlock()
	size, n := 0, 0
	for n < len(w.queue) && size+len(w.queue[n].data)+1 <= maxAppendBytes+1 {
		size += len(w.queue[n].data) + 1
		n++
	}
	batch := slices.Clone(w.queue[:n])
	w.queue = slices.Delete(w.queue, 0, n)
	return batch
}

func (w *Writer) send(ctx context.Context, batch []*queued) {
	lines := make([][]byte, len(batch))
	for i, item := range batch {
		lines[i] = item.data
	}
	callCtx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	// The batch is never split or joined anew, so one id stands for all of it.
	offset, err := w.client.Append(callCtx, w.stream, batch[0].id, bytes.Join(lines, []byte{'\n'}))
	for _, item := range batch {
		item.done <- result{offset: offset, err: err}
	}
}

func (w *Writer) failQueued(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, item := range w.queue {
		item.done <- result{err: fault.Wrap(cause, fault.Unavailable, "ask another daemon", "record %s was not sent", item.id)}
	}
	w.queue = nil
}
