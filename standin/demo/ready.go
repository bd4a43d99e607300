package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"

	"briarproxy/core/fault"
)

const (
	readyPollInterval   = 50 * time.Millisecond
	readyCallTimeout    = time.Second
	maxConcurrentChecks = 16
	servingTimeout      = 20 * time.Second // a daemon owns no shards for the time of its first lease
)

// WaitReady waits until each daemon reports that it is ready; urls are base URLs of metrics
// listeners. The error names the first daemon that is not ready.
func WaitReady(ctx context.Context, urls []string) error {
	client := resty.New().SetTimeout(readyCallTimeout)
	for _, url := range urls {
		for !IsReady(ctx, client, url) {
			if !sleep(ctx, readyPollInterval) {
				return fault.New(fault.Unavailable, "read the daemon's log", "%s is not ready", url)
			}
		}
	}
	return nil
}

// IsReady reports whether the daemon with a metrics listener at url is ready.
func IsReady(ctx context.Context, client *resty.Client, url string) bool {
	response, err := client.R().SetContext(ctx).Get(url + "/readyz")
	return err == nil && response.StatusCode() == http.StatusOK
}

// WaitServing waits until each daemon of the cells answers requests of its cell's user, both
// those that need a slot and those that need a key shard. On failure it returns the error
// of one daemon.
func WaitServing(ctx context.Context, cells []Cell) error {
	name := fmt.Sprintf("warm-%d", time.Now().UnixMilli())
	pool := pond.NewPool(maxConcurrentChecks)
	defer pool.StopAndWait()
	group := pool.NewGroup()
	for _, cell := range cells {
		streams, err := UserStreams(cell.User, name, 1)
		if err != nil {
			return err
		}
		for i, url := range cell.Daemons {
			group.SubmitErr(func() error { return waitDaemonServing(ctx, url, streams, i) })
		}
	}
	return group.Wait()
}

func waitDaemonServing(ctx context.Context, url string, streams []Stream, number int) error {
	client := NewClient([]string{url}, 1)
	defer client.Close()
	for _, stream := range streams {
		if stream.NewRequest == nil {
			continue
		}
		request := stream.NewRequest(number)
		request.Deadline = servingTimeout
		record := client.Do(ctx, request)
		if record.FinalOutcome != OutcomeAnswered && record.FinalOutcome != OutcomeAccepted {
			return fault.New(fault.Unavailable, "read the daemons' logs", "%s through %s: %s, %s", stream.Name, url, record.FinalOutcome, record.lastAttempt().Detail)
		}
	}
	return nil
}
