package control

import (
	"context"
	"slices"
	"time"

	"briarproxy/core/config"
	"briarproxy/core/fault"
	"briarproxy/core/wire"
	"briarproxy/daemon/configstream"
	"briarproxy/daemon/view"
)

// maxConfigTail bounds the configuration records kept for peers.
const maxConfigTail = 256

// followConfig reads the stream `config`, without an end, from the log or from the
// daemon of this region that reads it for all.
func (c *Control) followConfig(ctx context.Context) {
	next := int64(0)
	for ctx.Err() == nil {
		if next == 0 {
			next = c.beginConfig(ctx)
			continue
		}
		reply, err := c.readConfig(ctx, next)
		if err != nil {
			sleep(ctx, 100*time.Millisecond, 300*time.Millisecond)
			continue
		}
		if reply.First > next {
			next = 0
			continue
		}
		m := configRead{records: reply.Records, atEnd: true}
		if n := len(reply.Records); n > 0 {
			next = reply.Records[n-1].Offset + 1
			m.atEnd = next >= reply.Next
		}
		if !c.send(m) {
			return
		}
	}
}

func (c *Control) beginConfig(ctx context.Context) int64 {
	reply, err := c.Log.Read(ctx, wire.StreamConfig, 1, 1, 0)
	if err != nil {
		sleep(ctx, 100*time.Millisecond, 300*time.Millisecond)
		return 0
	}
	start := max(1, reply.First)
	if !c.send(configBegin{start: start}) {
		return 0
	}
	return start
}

// readConfig polls the region's reader first, so that one copy crosses into each
// region. Without an answer it reads from the log itself.
func (c *Control) readConfig(ctx context.Context, next int64) (wire.ReadReply, error) {
	reader := regionReader(c.View.Current())
	if reader == "" || reader == c.Self.Name {
		return c.Log.Read(ctx, wire.StreamConfig, next, pollBatch, pollWait)
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply wire.ConfigSinceReply
	if err := c.Peers.Call(callCtx, reader, wire.RPCConfigSince, &wire.ConfigSinceArgs{From: next}, &reply); err != nil {
		return c.Log.Read(ctx, wire.StreamConfig, next, pollBatch, pollWait)
	}
	if len(reply.Records) == 0 {
		sleep(ctx, peerPoll/2, peerPoll)
	}
	return wire.ReadReply{First: 1, Next: reply.Next, Records: reply.Records}, nil
}

// regionReader returns the first live daemon of this region by name, or "" when
// the cell has one region only.
func regionReader(snapshot *view.Snapshot) string {
	regions := map[string]bool{}
	var names []string
	for name, d := range snapshot.Daemons {
		if !d.Live {
			continue
		}
		regions[d.Region] = true
		if d.Region == snapshot.Self.Region && !d.Draining {
			names = append(names, name)
		}
	}
	if len(regions) < 2 || len(names) == 0 {
		return ""
	}
	return slices.Min(names)
}

type configBegin struct{ start int64 }

func (m configBegin) handle(c *Control) {
	if c.configKnown && m.start <= c.config.Next() {
		return // nothing was missed: versions only go forward
	}
	if !c.configKnown {
		c.config = configstream.NewReader(m.start)
	}
	c.configTail = nil
}

type configRead struct {
	records []wire.LogRecord
	atEnd   bool
}

func (m configRead) handle(c *Control) {
	for _, r := range m.records {
		c.applyConfig(r)
	}
	if m.atEnd && !c.configKnown && c.config.State != nil && c.config.Synced() {
		c.configKnown = true
		c.dirty = true
	}
	c.logOK = max(c.logOK, c.Now())
}

func (c *Control) applyConfig(r wire.LogRecord) {
	if c.config.State == nil || r.Offset < c.config.Next() {
		return
	}
	effect := c.config.Apply(r)
	for _, err := range c.config.TakeRefusals() {
		c.Events.Emit(eventVersion, "offset", r.Offset, "error", err.Error())
	}
	c.configTail = append(c.configTail, r)
	if n := len(c.configTail); n > maxConfigTail {
		c.configTail = slices.Clone(c.configTail[n-maxConfigTail:])
	}
	switch effect {
	case config.EffectAccepted, config.EffectSnapshotAdopted:
		c.dirty = true
		newest, _ := c.config.Newest()
		c.Events.Emit(eventConfig, "version", c.config.Version(), "offset", r.Offset, "author", newest.Author, "message", newest.Message)
	case config.EffectRefused, config.EffectUndecodable, config.EffectNewerFormat:
		c.Events.Emit(eventConfigSkips, "offset", r.Offset, "effect", int(effect))
	}
}

// ConfigSince serves a daemon of the same region.
func (c *Control) ConfigSince(args *wire.ConfigSinceArgs, reply *wire.ConfigSinceReply) error {
	call := configSinceCall{from: args.From, reply: make(chan configSinceAnswer, 1)}
	if !c.send(call) {
		return fault.New(fault.Unavailable, "read the log", "daemon %q is stopping", c.Self.Name)
	}
	select {
	case answer := <-call.reply:
		*reply = answer.reply
		return answer.err
	case <-c.done:
		return fault.New(fault.Unavailable, "read the log", "daemon %q is stopping", c.Self.Name)
	}
}

type configSinceAnswer struct {
	reply wire.ConfigSinceReply
	err   error
}

type configSinceCall struct {
	from  int64
	reply chan configSinceAnswer
}

func (m configSinceCall) handle(c *Control) {
	if !c.configKnown || !c.logHealthy {
		m.reply <- configSinceAnswer{err: fault.New(fault.Unavailable, "read the log", "this daemon is not up to date")}
		return
	}
	answer := configSinceAnswer{reply: wire.ConfigSinceReply{Next: c.config.Next()}}
	if m.from < c.config.Next() {
		first := slices.IndexFunc(c.configTail, func(r wire.LogRecord) bool { return r.Offset == m.from })
		if first < 0 {
			answer.err = fault.New(fault.Unavailable, "read the log", "record %d is not kept here", m.from)
		} else {
			answer.reply.Records = slices.Clone(c.configTail[first:])
		}
	}
	m.reply <- answer
}

// repeatConfig appends the configuration again, if this daemon owns the first key
// shard.
func (c *Control) repeatConfig() {
	if _, owner := c.mine[wire.ShardUnit(0)]; !owner || !c.configKnown || c.config.Version() == 0 {
		return
	}
	data, err := c.config.Snapshot()
	if err != nil {
		return
	}
	version := c.config.Version()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, appendTimeout)
		defer cancel()
		// A copy that lands twice or late tells nothing new, so it needs no read-back.
		_, err := c.Log.Append(ctx, wire.StreamConfig, data, func([]byte) bool { return false })
		if err == nil {
			c.Events.Emit(eventSnapshot, "version", version)
		}
	}()
}
