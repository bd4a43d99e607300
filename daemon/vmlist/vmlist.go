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

// Client reads one VM list.
type Client struct {
	http      *resty.Client
	transport *http.Transport
}

// New returns a client of the list at the base URL.
func New(baseURL string) *Client {
	transport := &http.Transport{IdleConnTimeout: idleConnTimeout}
	return &Client{http: resty.New().SetBaseURL(baseURL).SetTransport(transport), transport: transport}
}

// Get reads the list. An empty list is an error: a cell without any VM is far less
// likely than a list service that has lost its state.
func (c *Client) Get(ctx context.Context) ([]wire.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list wire.VMList
	response, err := c.http.R().SetContext(ctx).SetResult(&list).ForceContentType("application/json").Get("/v1/vms")
	if err != nil {
		c.transport.CloseIdleConnections() // they may have gone silent
		return nil, fault.Wrap(err, fault.Unavailable, "retry with a backoff", "the VM list can't be read")
	}
	if response.IsError() || len(list.VMs) == 0 {
		return nil, fault.New(fault.Unavailable, "check the VM list service", "the VM list answered %s with %d VMs", response.Status(), len(list.VMs))
	}
	return list.VMs, nil
}
