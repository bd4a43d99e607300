// Package vmlist reads the platform's list of VMs.
package vmlist

import (
	"context"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
)

const (
	callTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
)

// Client reads one VM list. It is not safe for concurrent use.
type Client struct {
	http      *resty.Client
	transport *http.Transport
	etag      string    // of the newest list, "" if the service gave none
	newest    []wire.VM // the list that etag stands for
}

// New returns a client of the list at the base URL.
func New(baseURL string) *Client {
	transport := &http.Transport{IdleConnTimeout: idleConnTimeout}
	return &Client{http: resty.New().SetBaseURL(baseURL).SetTransport(transport), transport: transport}
}

// Get reads the list. An empty list is an error: a cell without any VM is far less
// likely than a list service that has lost its state. The request is conditional
// (RFC 9110, If-None-Match): an entry takes some 200 bytes, so polling a list of 200
// VMs every second took 42 KB/s. The caller must not change the result.
func (c *Client) Get(ctx context.Context) ([]wire.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list wire.VMList
	request := c.http.R().SetContext(ctx).SetResult(&list).ForceContentType("application/json")
	if c.etag != "" {
		request.SetHeader("If-None-Match", c.etag)
	}
	response, err := request.Get("/v1/vms")
	if err != nil {
		c.transport.CloseIdleConnections() // they may have gone silent
		return nil, fault.Wrap(err, fault.Unavailable, "retry with a backoff", "the VM list can't be read")
	}
	if c.etag != "" && response.StatusCode() == http.StatusNotModified {
		return c.newest, nil
	}
	if response.IsError() || len(list.VMs) == 0 {
		return nil, fault.New(fault.Unavailable, "check the VM list service", "the VM list answered %s with %d VMs", response.Status(), len(list.VMs))
	}
	c.etag, c.newest = response.Header().Get("ETag"), list.VMs
	return list.VMs, nil
}
