package cell

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
)

// Limits of appending.
const (
	appendTimeout = 1800 * time.Millisecond // of one append: a direct try, then one through another daemon
	appendRetry   = 120 * time.Millisecond
	appendQueue   = 4096 // records that wait for an append
	appendsOpen   = 4    // appends under way at a time; more would only wait at the partition
	gather        = 4 * time.Millisecond
	maxGather     = 128
)

// entry is a record to append and the place for the outcome.
type entry struct {
	data  []byte
	until time.Time
	done  chan error
}

// writer appends callers' records in groups. Every record may safely be appended twice,
// because the first submission and the first cancellation of a job count; so it repeats
// an append that was not answered until the deadline of the record.
type writer struct {
	log     Log
	entries chan *entry
	slots   chan struct{}
}

func newWriter(log Log) *writer {
	return &writer{log: log, entries: make(chan *entry, appendQueue), slots: make(chan struct{}, appendsOpen)}
}

// append stores a record. An error of kind fault.Refused means that it is not stored
// and never will be; fault.Unknown that it may be.
func (w *writer) append(ctx context.Context, r *flow.Record, within time.Duration) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	e := &entry{data: data, until: time.Now().Add(within), done: make(chan error, 1)}
	select {
	case w.entries <- e:
	default:
		return fault.New(fault.Refused, "retry later; nothing was done", "%d records wait for the log", appendQueue)
	}
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Unknown, "ask again with the same id", "the caller left before the log answered")
	}
}

func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-w.entries:
			group := w.group(e)
			select {
			case w.slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			go func() {
				defer func() { <-w.slots }()
				w.store(ctx, group)
			}()
		}
	}
}

// group gathers the records that arrive within a short time of the first.
func (w *writer) group(first *entry) []*entry {
	group := []*entry{first}
	timer := time.NewTimer(gather)
	defer timer.Stop()
	for len(group) < maxGather {
		select {
		case e := <-w.entries:
			group = append(group, e)
		case <-timer.C:
			return group
		}
	}
	return group
}

// store appends a group until it is acknowledged or the deadlines of its records pass.
func (w *writer) store(ctx context.Context, group []*entry) {
	unsure := false
	for {
		now := time.Now()
		group = expire(group, now, unsure)
		if len(group) == 0 {
			return
		}
		records := make([][]byte, len(group))
		for i, e := range group {
			records[i] = e.data
		}
		err := w.try(ctx, records, group[0].until)
		if err == nil {
			finish(group, nil)
			return
		}
		if fault.Is(err, fault.Unknown) {
			unsure = true
		}
		if ctx.Err() != nil {
			finish(group, outcome(err, unsure))
			return
		}
		time.Sleep(appendRetry)
	}
}

func (w *writer) try(ctx context.Context, records [][]byte, until time.Time) error {
	limit := min(appendTimeout, max(time.Until(until), appendRetry))
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, err := w.log.Append(bounded, partition, records, nil)
	return err
}

// expire answers the records whose deadline has passed and returns the others.
func expire(group []*entry, now time.Time, unsure bool) []*entry {
	rest := group[:0:0]
	for _, e := range group {
		if now.Before(e.until) {
			rest = append(rest, e)
			continue
		}
		e.done <- outcome(nil, unsure)
	}
	return rest
}

func outcome(cause error, unsure bool) error {
	kind, text := fault.Refused, "the log did not take the record in time"
	if unsure {
		kind, text = fault.Unknown, "the log did not answer in time"
	}
	return newOutcome(cause, kind, text)
}

func newOutcome(cause error, kind *errorx.Type, text string) error {
	if cause == nil {
		return fault.New(kind, "ask again with the same id", "%s", text)
	}
	return fault.Wrap(cause, kind, "ask again with the same id", "%s", text)
}

func finish(group []*entry, err error) {
	for _, e := range group {
		e.done <- err
	}
}

// fenced appends the placer's records in order, each under the next sequence number.
type fenced struct {
	log   Log
	fence cluster.Fence
}

// append stores a record and returns its offset. It repeats the append, which has no
// further effect, until there is an answer or the context ends. An error of kind
// fault.Conflict means that a newer epoch was used.
func (f *fenced) append(ctx context.Context, r *flow.Record) (int64, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, err
	}
	fence := f.fence
	f.fence.Sequence++
	for {
		bounded, cancel := context.WithTimeout(ctx, appendTimeout)
		offset, err := f.log.Append(bounded, partition, [][]byte{data}, &fence)
		cancel()
		if err == nil || fault.Is(err, fault.Conflict) {
			return offset, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(appendRetry):
		}
	}
}
