package control

import (
	"context"
	"math/rand/v2"
	"time"

	"briarproxy/core/record"
	"briarproxy/core/wire"
)

// followMembers reads the stream `members`, without an end.
func (c *Control) followMembers(ctx context.Context) {
	next := int64(0)
	for ctx.Err() == nil {
		if next == 0 {
			next = c.beginMembers(ctx)
			continue
		}
		reply, err := c.Log.Read(ctx, wire.StreamMembers, next, pollBatch, pollWait)
		if err != nil {
			sleep(ctx, 100*time.Millisecond, 300*time.Millisecond)
			continue
		}
		if reply.First > next {
			next = 0 // records were missed: start again
			continue
		}
		m := membersRead{records: reply.Records, at: c.Now(), atEnd: true}
		if n := len(reply.Records); n > 0 {
			next = reply.Records[n-1].Offset + 1
			m.atEnd = next >= reply.Next
		}
		if !c.send(m) {
			return
		}
	}
}

// beginMembers finds the offset to begin at. Only the newest part of the stream
// matters; it returns 0 when the log can't be read.
func (c *Control) beginMembers(ctx context.Context) int64 {
	reply, err := c.Log.Read(ctx, wire.StreamMembers, 1, 1, 0)
	if err != nil {
		sleep(ctx, 100*time.Millisecond, 300*time.Millisecond)
		return 0
	}
	start := max(1, reply.First, reply.Next-c.Timing.History())
	if !c.send(membersBegin{start: start}) {
		return 0
	}
	return start
}

type membersBegin struct{ start int64 }

func (m membersBegin) handle(c *Control) {
	c.units.Reset()
	start := m.start
	if start == 1 {
		start = 0 // the whole history is there
	}
	c.units.StartAt(start)
	c.dirty = true
}

// membersRead is what one read of the stream returned.
type membersRead struct {
	records []wire.LogRecord
	at      time.Duration // boot clock after the read
	atEnd   bool
}

func (m membersRead) handle(c *Control) {
	for _, data := range m.records {
		records, skipped := record.Decode(data.Data)
		if skipped > 0 {
			c.Events.Emit(eventRecord, "offset", data.Offset, "records", skipped)
		}
		for _, r := range records {
			c.units.Apply(data.Offset, r, m.at)
		}
	}
	if m.atEnd {
		c.units.ReadSucceeded(m.at)
	}
	c.logOK = max(c.logOK, m.at)
	c.stale = c.stale || len(m.records) > 0
	c.tellReleased()
}

// sleep waits for a random time between the bounds, or until ctx ends.
func sleep(ctx context.Context, least, most time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(least + rand.N(most-least)):
	}
}
