package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"

	"briarproxy/core/fault"
)

const (
	readyPoll = 50 * time.Millisecond
	readyCall = time.Second
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
