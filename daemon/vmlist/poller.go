package vmlist

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/phuslu/log"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
	"briarproxy/daemon/event"
)

const (
	defaultInterval = 2 * time.Second
	defaultTimeout  = time.Second
)

var eventPollFailed = event.Define(1110, "vm_list_poll_failed", log.WarnLevel,
	"The VM list could not be read; the last list stays in use. Check the platform if it repeats.")

// Options configure a Poller. Zero values give the defaults.
type Options struct {
	BaseURL  string // http://IP:port of the VM list
	Interval time.Duration
	Timeout  time.Duration // of each call
	Logger   *event.Logger
}

// Poller reads the VM list at intervals.
type Poller struct {
	options   Options
	transport *http.Transport
	http      *resty.Client
}

// New returns a poller.
func New(options Options) *Poller {
	if options.Interval <= 0 {
		options.Interval = defaultInterval
	}
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	if options.Logger == nil {
		options.Logger = event.Discard()
	}
	transport := &http.Transport{IdleConnTimeout: time.Minute}
	return &Poller{
		options:   options,
		transport: transport,
		http:      resty.New().SetTransport(transport).SetBaseURL(options.BaseURL).SetTimeout(options.Timeout),
	}
}

// Fetch reads the list once. Errors are fault.Unavailable.
func (p *Poller) Fetch(ctx context.Context) (wire.VMList, error) {
	var list wire.VMList
	response, err := p.http.R().SetContext(ctx).SetResult(&list).ForceContentType("application/json").Get("/v1/vms")
	if err != nil {
		p.transport.CloseIdleConnections()
		return wire.VMList{}, fault.Wrap(err, fault.Unavailable, "try again later", "VM list can't be read")
	}
	if response.StatusCode() != http.StatusOK {
		return wire.VMList{}, fault.New(fault.Unavailable, "try again later", "VM list answered %s", response.Status())
	}
	return list, nil
}

// Run calls handle with every list it reads until ctx ends. Intervals vary by a
// quarter so that daemons do not poll in step.
func (p *Poller) Run(ctx context.Context, handle func(wire.VMList)) {
	defer p.transport.CloseIdleConnections()
	for {
		list, err := p.Fetch(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			p.options.Logger.Emit(eventPollFailed, "error", err.Error())
		default:
			handle(list)
		}
		timer := time.NewTimer(p.options.Interval*7/8 + rand.N(p.options.Interval/4))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}
