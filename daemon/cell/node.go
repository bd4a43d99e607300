package cell

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"briarproxy/core/fault"
	"briarproxy/core/intake"
	"briarproxy/daemon/event"
)

const (
	// Values of GOGC. A daemon that only answers callers has unused CPU time, and the placer has unused
	// memory.
	followerGCPercent = 100
	placerGCPercent   = 200
	heapLimitShare    = 0.6 // share of the process's memory limit; the rest is for stacks, buffers and unread bytes

	maxProbeHeaderBytes = 4 << 10
)

// Run runs a daemon until the context is cancelled, then performs a planned stop.
func Run(ctx context.Context, settings *Settings, platform Platform, log *event.Logger) error {
	debug.SetGCPercent(followerGCPercent)
	debug.SetMemoryLimit(int64(heapLimitShare * settings.Limits.MemoryMiB * (1 << 20)))
	listeners, err := openListeners(settings)
	if err != nil {
		return err
	}
	e := newEngine(settings, platform, log)
	platform.Observe(e.metrics.countPlatformCall)
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	yield := func(epoch int64) {
		_, _ = query(runCtx, e, func(e *engine, reply chan<- bool) { e.yield(epoch); reply <- true })
	}
	succeed := func(epoch int64) bool {
		callCtx, cancel := context.WithTimeout(runCtx, handOverTimeout)
		defer cancel()
		stored, ok := query(callCtx, e, func(e *engine, reply chan<- bool) { e.succeed(runCtx, epoch, reply) })
		return stored && ok
	}
	doors := openDoors(settings, &e.metrics)
	e.doors = []*door{doors.callers, doors.peers, doors.ready, doors.metrics}
	if err := servePeers(doors.peers.listen(listeners.peers), &peerService{adviser: platform, store: platform, yield: yield, submit: e.writer.appendForPeer, succeed: succeed, consultView: e.consultView, starter: platform, specOf: e.specOf}); err != nil {
		return err
	}
	reader := &logReader{log: e.store, snapshots: platform, reads: e.store.reads, pages: e.pages, wake: e.wakeRead, timing: e.readTiming, appliedOffset: e.appliedOffset.Load, incomplete: e.isIncomplete.Load}
	go reader.run(runCtx)
	go e.store.monitor(runCtx)
	e.writer.onAppended = func(first int64, records [][]byte) {
		if e.isPlacer.Load() {
			e.do(runCtx, func(e *engine) { e.applyOwnAppends(runCtx, first, records) })
		}
	}
	go e.writer.run(runCtx)
	go e.watchConfig(runCtx)
	go e.run(runCtx)
	server := e.newCallerServer(&callerAPI{engine: e, ctx: runCtx}, doors.callers.listen(listeners.callers))
	go serve(server.server, server.trackingListener())
	go serve(newProbeServer(http.HandlerFunc(e.serveReady)), doors.ready.listen(listeners.ready))
	if listeners.metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("/metrics", promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
		go serve(newProbeServer(mux), doors.metrics.listen(listeners.metrics))
	}
	log.Emit(evStarted, "callers", settings.Listen.Callers, "ready", settings.Listen.Ready, "peers", settings.Listen.Peers, "metrics", settings.Listen.Metrics, "data_centre", settings.DataCentre, "region", settings.Region, "defaults", settings.defaultedFields)
	<-ctx.Done()
	return e.plannedStop(runCtx, server)
}

// serve serves until the server is shut down. It ignores the error of Serve, which then only
// reports the shutdown.
func serve(s *http.Server, l net.Listener) { _ = s.Serve(l) }

// doors are the doors of a daemon's ports.
type doors struct{ callers, peers, ready, metrics *door }

func openDoors(settings *Settings, m *metrics) doors {
	ports := settings.Limits.ports()
	return doors{newDoor("callers", ports.Callers, m), newDoor("peers", ports.Peers, m), newDoor("ready", ports.Ready, m), newDoor("metrics", ports.Metrics, m)}
}

// newProbeServer returns the HTTP server of a port for health checks or metrics, whose requests have no bodies.
func newProbeServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readHeaderTimeout, IdleTimeout: idleConnectionTimeout,
		MaxHeaderBytes: maxProbeHeaderBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*doorConn).enter(intake.Idle)
			}
		},
	}
}

type listeners struct{ callers, ready, peers, metrics net.Listener }

// openListeners listens on the addresses of the settings and replaces them by the actual ones.
func openListeners(settings *Settings) (listeners, error) {
	var l listeners
	for _, f := range []struct {
		path        string
		setting     *string
		target      *net.Listener
		bufferBytes int
	}{
		{"listen.callers", &settings.Listen.Callers, &l.callers, callerBufferBytes}, {"listen.ready", &settings.Listen.Ready, &l.ready, callerBufferBytes},
		{"listen.peers", &settings.Listen.Peers, &l.peers, peerBufferBytes}, {"listen.metrics", &settings.Listen.Metrics, &l.metrics, callerBufferBytes},
	} {
		if *f.setting == "" {
			continue
		}
		config := net.ListenConfig{Control: smallBuffers(f.bufferBytes)}
		listener, err := config.Listen(context.Background(), "tcp", *f.setting)
		if err != nil {
			return l, fault.Wrap(err, fault.Unavailable, "free the address or change the setting", "%s: can't listen on %s", f.path, *f.setting)
		}
		*f.target = listener
		*f.setting = listener.Addr().String() // contains the port chosen by the system if the setting has port 0
	}
	return l, nil
}

// readTiming returns the pause between two reads of the log and how long a read waits for a
// new record. The placer's reads do not wait, because its own next append would end the wait.
func (e *engine) readTiming() (delay, wait time.Duration) {
	if e.isPlacer.Load() {
		return placerReadInterval, 0
	}
	return followerReadInterval, readWait
}

// serveReady answers the load balancer's health check: 200 if this daemon can serve callers,
// otherwise 503.
func (e *engine) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.isReady.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// publish updates the metrics and the copies of the engine's state that other goroutines read.
func (e *engine) publish(now time.Duration) {
	if now-e.metricsPublishedAt >= summaryInterval {
		e.metricsPublishedAt = now
		e.publishMetrics(now)
	}
	if isPlacer := e.placer != nil; e.isPlacer.Swap(isPlacer) != isPlacer {
		debug.SetGCPercent(map[bool]int{true: placerGCPercent, false: followerGCPercent}[isPlacer])
	}
	e.appliedOffset.Store(e.state.NextOffset)
	e.isIncomplete.Store(e.gap != nil)
	e.isReady.Store(!e.draining && e.config != nil && e.keyLease.Holds(now) && e.readToEndAt > 0 && now-e.lastStoreAnswer() < readyReadAge+readWait)
}
