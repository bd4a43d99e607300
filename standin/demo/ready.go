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
	readyPoll  = 50 * time.Millisecond
	readyCall  = time.Second
	maxWarming = 16
	warmWait   = 20 * time.Second // a daemon owns nothing for the first lease
)

// WaitReady waits until each daemon says that it is ready; urls are base URLs of
// metrics listeners. Its error names the first daemon that is not.
func WaitReady(ctx context.Context, urls []string) error {
	client := resty.New().SetTimeout(readyCall)
	for _, url := range urls {
		for !Ready(ctx, client, url) {
			if !sleep(ctx, readyPoll) {
				return fault.New(fault.Unavailable, "read the daemon's log", "%s is not ready", url)
			}
		}
	}
	return nil
}

// Ready reports whether a daemon says that it is ready.
func Ready(ctx context.Context, client *resty.Client, url string) bool {
	response, err := client.R().SetContext(ctx).Get(url + "/readyz")
	return err == nil && response.StatusCode() == http.StatusOK
}

// Warm waits until each daemon of the cells answers requests of the user that need
// a slot and ones that need a key shard. Its error is that of one daemon.
func Warm(ctx context.Context, cells []Cell) error {
	name := fmt.Sprintf("warm-%d", time.Now().UnixMilli())
	pool := pond.NewPool(maxWarming)
	defer pool.StopAndWait()
	group := pool.NewGroup()
	for _, cell := range cells {
		kinds, err := Kinds(cell.User, name, 1)
		if err != nil {
			return err
		}
		for i, url := range cell.Daemons {
			group.SubmitErr(func() error { return warm(ctx, url, kinds, i) })
		}
	}
	return group.Wait()
}

func warm(ctx context.Context, url string, kinds []Kind, number int) error {
	client := NewClient([]string{url}, 1)
	defer client.Close()
	for _, kind := range kinds {
		if kind.Make == nil {
			continue
		}
		request := kind.Make(number)
		request.Deadline = warmWait
		record := client.Do(ctx, request)
		if record.Final != ToldAnswered && record.Final != ToldAccepted {
			return fault.New(fault.Unavailable, "read the daemons' logs", "%s through %s: %s, %s", kind.Name, url, record.Final, record.last().Detail)
		}
	}
	return nil
}
