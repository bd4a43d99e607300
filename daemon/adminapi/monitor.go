package adminapi

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Readiness says whether the load balancer may send requests here.
type Readiness interface {
	// Ready returns false with a reason, for instance before the configuration was
	// read or from the begin of a planned stop on.
	Ready() (ready bool, reason string)
}

// maxScrapes bounds the metric scrapes in flight.
const maxScrapes = 4

// Monitor returns the handler of the third listener: /healthz answers while the
// process can answer at all, /readyz by the readiness, /metrics in the Prometheus
// text format.
func Monitor(readiness Readiness, gatherer prometheus.Gatherer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := readiness.Ready()
		if !ready {
			writeText(w, http.StatusServiceUnavailable, reason)
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	return mux
}

// MonitorServer returns an HTTP server with the limits of the admin listener for
// the handler of Monitor.
func MonitorServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        handler,
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // a broken connection is the caller's to notice
}
