package logclient

import (
	"context"

	"briarproxy/core/wire"
)

// Batch is what one successful read of a tail returned.
type Batch struct {
	From    int64 // offset at which the read began
	Gap     bool  // records below From were removed before they were read
	First   int64 // lowest retained offset
	Next    int64 // offset that the next append will get
	Records []wire.LogRecord
	AtEnd   bool // nothing was left to read
}

// Tail reads the stream from an offset on and calls handle after every successful
// read, also when nothing new was found. It returns when ctx ends or handle returns
// an error. A negative from starts that many records before the end.
func (c *Client) Tail(ctx context.Context, stream string, from int64, handle func(Batch) error) error {
	var pause backoff
	started := from >= 0
	for ctx.Err() == nil {
		wait := c.options.PollWait
		if !started {
			wait = 0
		}
		reply, err := c.Read(ctx, stream, max(from, 0), defaultReadMax, wait)
		if err != nil {
			c.options.Logger.Emit(eventCallFailed, "stream", stream, "call", "read", "error", err.Error())
			_ = pause.wait(ctx, 0)
			continue
		}
		pause.reset()
		if !started {
			from = max(reply.First, reply.Next+from, 0)
			started = true
			continue
		}
		batch := Batch{First: reply.First, Next: reply.Next, Records: reply.Records, Gap: reply.First > from}
		if batch.Gap {
			c.options.Logger.Emit(eventGap, "stream", stream, "wanted", from, "first", reply.First)
			from = reply.First
		}
		batch.From = from
		if n := len(reply.Records); n > 0 {
			from = reply.Records[n-1].Offset + 1
		}
		batch.AtEnd = from >= reply.Next
		if err := handle(batch); err != nil {
			return err
		}
	}
	return ctx.Err()
}
