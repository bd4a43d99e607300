package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"briarproxy/core/config"
	"briarproxy/core/fault"
	"briarproxy/core/object"
	"briarproxy/core/wire"
	"briarproxy/daemon/configstream"
	"briarproxy/daemon/logclient"
)

// recordsPerRead is the number of records that one read of the stream asks for.
const recordsPerRead = 500

// logFlags are the flags that select the log service.
type logFlags struct {
	url     string
	timeout time.Duration
}

func (f *logFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.url, "log", "", "URL of the log service")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 15*time.Second, "time after which the command gives up")
	_ = cmd.MarkFlagRequired("log")
}

// configLog reads the configuration stream of the log and appends to it.
type configLog struct {
	client        *logclient.Client
	reader        configstream.Reader
	nextOffset    int64
	setsByVersion map[int64]*object.Set // versions that the stream still contains
}

// openConfigLog reads the configuration stream from its oldest record to its end.
func openConfigLog(ctx context.Context, f logFlags) (*configLog, error) {
	l := &configLog{client: logclient.New(f.url), setsByVersion: map[int64]*object.Set{}}
	reply, err := l.client.Read(ctx, wire.StreamConfig, 1, 1, 0)
	if err != nil {
		return nil, err
	}
	l.nextOffset = max(1, reply.First)
	l.reader = configstream.NewReader(l.nextOffset)
	return l, l.readToEnd(ctx)
}

// readToEnd applies all records up to the current end of the stream.
func (l *configLog) readToEnd(ctx context.Context) error {
	for {
		reply, err := l.client.Read(ctx, wire.StreamConfig, l.nextOffset, recordsPerRead, 0)
		if err != nil {
			return err
		}
		for _, record := range reply.Records {
			l.reader.Apply(record)
			l.setsByVersion[l.reader.Version()] = l.reader.Set()
			l.nextOffset = record.Offset + 1
		}
		if len(reply.Records) == 0 {
			return nil
		}
	}
}

// publish appends a publication and returns whether it was accepted. The result is read
// back from the stream, so that it is correct even if the response to the append was lost.
func (l *configLog) publish(ctx context.Context, p config.Publication) (config.PublicationResult, error) {
	progress := config.NewProgress()
	if err := progress.Step(config.Checked); err != nil {
		return config.PublicationResult{}, err
	}
	data, err := l.encode(p)
	if err != nil {
		return config.PublicationResult{}, err
	}
	if err := progress.Step(config.AppendSent); err != nil {
		return config.PublicationResult{}, err
	}
	_, err = l.client.Append(ctx, wire.StreamConfig, data, func(found []byte) bool {
		id, ok := config.RecordID(found)
		return ok && id == p.ID
	})
	if err := progress.RecordAppend(err); err != nil {
		return config.PublicationResult{}, err
	}
	if err != nil {
		return config.PublicationResult{}, err
	}
	for {
		if err := l.readToEnd(ctx); err != nil {
			return config.PublicationResult{}, fault.Wrap(err, fault.Unknown, "run history to see whether the version was accepted", "the publication is in the log but its result can't be read")
		}
		if result, known := l.reader.PublicationResult(p.ID); known {
			return result, progress.RecordResult(result)
		}
		select {
		case <-ctx.Done():
			return config.PublicationResult{}, fault.New(fault.Unknown, "run history to see whether the version was accepted", "the result of the publication was not read in time")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// encode returns only the difference from the base version if that version is in the
// stream, and the whole set otherwise.
func (l *configLog) encode(p config.Publication) ([]byte, error) {
	base, known := l.setsByVersion[p.Base]
	if p.Base == 0 || !known {
		return config.EncodePublication(p)
	}
	return config.EncodeDelta(p, base)
}

// newPublicationID returns a random ID that identifies a publication in the stream.
func newPublicationID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(raw[:])
}

func defaultAuthor() string {
	host, _ := os.Hostname()
	if current, err := user.Current(); err == nil {
		return fmt.Sprintf("%s@%s", current.Username, host)
	}
	return host
}
