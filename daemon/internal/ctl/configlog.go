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

const readBatch = 500 // records per read

// logFlags name the log service.
type logFlags struct {
	url     string
	timeout time.Duration
}

func (f *logFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.url, "log", "", "URL of the log service")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 15*time.Second, "time after which the command gives up")
	_ = cmd.MarkFlagRequired("log")
}

// configLog reads and extends the configuration stream.
type configLog struct {
	client *logclient.Client
	reader configstream.Reader
	next   int64
	sets   map[int64]*object.Set // by version, as far as the stream still has them
}

func openConfigLog(ctx context.Context, f logFlags) (*configLog, error) {
	l := &configLog{client: logclient.New(f.url), sets: map[int64]*object.Set{}}
	reply, err := l.client.Read(ctx, wire.StreamConfig, 1, 1, 0)
	if err != nil {
		return nil, err
	}
	l.next = max(1, reply.First)
	l.reader = configstream.NewReader(l.next)
	return l, l.readToEnd(ctx)
}

func (l *configLog) readToEnd(ctx context.Context) error {
	for {
		reply, err := l.client.Read(ctx, wire.StreamConfig, l.next, readBatch, 0)
		if err != nil {
			return err
		}
		for _, record := range reply.Records {
			l.reader.Apply(record)
			l.sets[l.reader.Version()] = l.reader.Set()
			l.next = record.Offset + 1
		}
		if len(reply.Records) == 0 {
			return nil
		}
	}
}

// publish appends a publication and returns its verdict. The verdict is read from
// the stream, so that a lost answer is not guessed at.
func (l *configLog) publish(ctx context.Context, p config.Publication) (config.Verdict, error) {
	progress := config.NewProgress()
	if err := progress.Step(config.Checked); err != nil {
		return config.Verdict{}, err
	}
	data, err := l.encode(p)
	if err != nil {
		return config.Verdict{}, err
	}
	if err := progress.Step(config.AppendSent); err != nil {
		return config.Verdict{}, err
	}
	_, err = l.client.Append(ctx, wire.StreamConfig, data, func(found []byte) bool {
		id, ok := config.IDOf(found)
		return ok && id == p.ID
	})
	if err := progress.Appended(err); err != nil {
		return config.Verdict{}, err
	}
	if err != nil {
		return config.Verdict{}, err
	}
	for {
		if err := l.readToEnd(ctx); err != nil {
			return config.Verdict{}, fault.Wrap(err, fault.Unknown, "run history to see whether version was accepted", "the publication is in the log but its verdict can't be read")
		}
		if verdict, known := l.reader.Verdict(p.ID); known {
			return verdict, progress.Judged(verdict)
		}
		select {
		case <-ctx.Done():
			return config.Verdict{}, fault.New(fault.Unknown, "run history to see whether the version was accepted", "the verdict on the publication was not read in time")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// encode writes the change only, where the base is the version that was read.
func (l *configLog) encode(p config.Publication) ([]byte, error) {
	base, known := l.sets[p.Base]
	if p.Base == 0 || !known {
		return config.EncodePublication(p)
	}
	return config.EncodeDelta(p, base)
}

func newPublicationID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

func defaultAuthor() string {
	host, _ := os.Hostname()
	if current, err := user.Current(); err == nil {
		return fmt.Sprintf("%s@%s", current.Username, host)
	}
	return host
}
