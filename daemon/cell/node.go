package cell

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"briarproxy/core/fault"
	"briarproxy/daemon/event"
)

const (
	// Heap growth between collections. Daemons that only answer callers have processor time
	// left, the placer has memory left.
	followerGCPercent = 100
	placerGCPercent   = 200
	heapLimitShare    = 0.6 // of the process's memory limit; the rest is for stacks, buffers and unread bytes
)

// Run runs a daemon until the context ends, then makes a planned stop.
func Run(ctx context.Context, s *Settings, p Platform, log *event.Logger) error {
	debug.SetGCPercent(followerGCPercent)
	debug.SetMemoryLimit(int64(heapLimitShare * s.Limits.MemoryMiB * (1 << 20)))
	listeners, err := openListeners(s)
	if err != nil {
		return err
	}
	e := newEngine(s, p, log)
	p.Observe(e.metrics.countPlatformCall)
	life, end := context.WithCancel(context.Background())
	defer end()
	yield := func(epoch int64) {
		_, _ = query(life, e, func(e *engine, reply chan<- bool) { e.yield(epoch); reply <- true })
	}
	succeed := func(epoch int64) bool {
		bounded, cancel := context.WithTimeout(life, handOverTimeout)
		defer cancel()
		stored, ok := query(bounded, e, func(e *engine, reply chan<- bool) { e.succeed(life, epoch, reply) })
		return stored && ok
	}
	if err := servePeers(listeners.peers, &peerService{adviser: p, store: p, yield: yield, submit: e.writer.appendForPeer, succeed: succeed, consultView: e.consultView, starter: p, spec: e.specOf}); err != nil {
		return err
	}
	t := &logReader{log: e.store, snapshots: p, reads: e.store.reads, pages: e.pages, wake: e.wakeRead, timing: e.readTiming, appliedOffset: e.appliedOffset.Load}
	go t.run(life)
	go e.store.monitor(life)
	e.writer.onAppended = func(first int64, records [][]byte) {
		if e.isPlacer.Load() {
			e.do(life, func(e *engine) { e.applyOwnAppends(life, first, records) })
		}
	}
	go e.writer.run(life)
	go e.watchConfig(life)
	go e.run(life)
	server := e.newCallerServer(&callerAPI{engine: e, ctx: life}, listeners.callers)
	go serve(server.server, server.accepter())
	ready := &http.Server{Handler: http.HandlerFunc(e.serveReady), ReadHeaderTimeout: readHeaderTimeout}
	go serve(ready, listeners.ready)
	if listeners.metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("/metrics", promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
		go serve(&http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}, listeners.metrics)
	}
	log.Emit(evStarted, "callers", s.Listen.Callers, "ready", s.Listen.Ready, "peers", s.Listen.Peers, "data_centre", s.DataCentre, "region", s.Region, "defaults", s.defaultedFields)
	<-ctx.Done()
	return e.plannedStop(life, server)
}

// serve serves until the server is shut down; its error says only that.
func serve(s *http.Server, l net.Listener) { _ = s.Serve(l) }

type listeners struct{ callers, ready, peers, metrics net.Listener }

func openListeners(s *Settings) (listeners, error) {
	var l listeners
	for _, f := range []struct {
		path    string
		setting *string
		into    *net.Listener
	}{
		{"listen.callers", &s.Listen.Callers, &l.callers}, {"listen.ready", &s.Listen.Ready, &l.ready},
		{"listen.peers", &s.Listen.Peers, &l.peers}, {"listen.metrics", &s.Listen.Metrics, &l.metrics},
	} {
		if *f.setting == "" {
			continue
		}
		opened, err := net.Listen("tcp", *f.setting)
		if err != nil {
			return l, fault.Wrap(err, fault.Unavailable, "free the address or change the setting", "%s: can't listen on %s", f.path, *f.setting)
		}
		*f.into = opened
		*f.setting = opened.Addr().String() // the port that a setting of 0 came to
	}
	return l, nil
}

// readTiming is the pause between two reads of the log and how long a read waits for a
// record. A read of the placer does not wait: its own next append would end the wait.
func (e *engine) readTiming() (gap, wait time.Duration) {
	if e.isPlacer.Load() {
		return placerReadInterval, 0
	}
	return followerReadInterval, readWait
}

// serveReady tells the balancer whether callers are served well here.
func (e *engine) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.isReady.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// publish tells the other goroutines what they may know of the engine's state.
func (e *engine) publish(now time.Duration) {
	if now-e.metricsAt >= summaryInterval {
		e.metricsAt = now
		e.publishMetrics(now)
	}
	if placing := e.placer != nil; e.isPlacer.Swap(placing) != placing {
		debug.SetGCPercent(map[bool]int{true: placerGCPercent, false: followerGCPercent}[placing])
	}
	e.appliedOffset.Store(e.state.NextOffset)
	e.isReady.Store(!e.draining && e.config != nil && e.readToEndAt > 0 && now-e.lastContact() < readyReadAge+readWait)
}
