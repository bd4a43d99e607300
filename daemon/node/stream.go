package node

import (
	"context"
	"fmt"

	"briarproxy/core/wire"
	"briarproxy/daemon/logclient"
	"briarproxy/daemon/shard"
	"briarproxy/daemon/view"
)

// streams returns the function that opens the log stream of a shard. Each opening
// gets a writer with an id of its own.
func (n *Node) streams(self view.Daemon, budget *logclient.Budget) func(ctx context.Context, number int) shard.Stream {
	opened := 0
	return func(ctx context.Context, number int) shard.Stream {
		opened++
		name := wire.ShardStream(number)
		id := fmt.Sprintf("%s/%d/%d", self.Name, self.Incarnation, opened)
		writer := logclient.NewWriter(n.log, name, id, budget)
		n.spawn(func() { writer.Serve(ctx) })
		return &stream{name: name, client: n.log, writer: writer}
	}
}

// stream is the log stream of one shard.
type stream struct {
	name   string
	client *logclient.Client
	writer *logclient.Writer
}

// Append implements shard.Stream.
func (s *stream) Append(item []byte) func(ctx context.Context) error { return s.writer.Append(item) }

// Replay implements shard.Stream.
func (s *stream) Replay(ctx context.Context, handle func(item []byte)) error {
	var decodeErr error
	_, err := s.client.ReadAll(ctx, s.name, func(record wire.LogRecord) {
		items, err := logclient.Items(record.Data)
		if err != nil {
			decodeErr = err
			return
		}
		for _, item := range items {
			handle(item)
		}
	})
	if err != nil {
		return err
	}
	return decodeErr
}
