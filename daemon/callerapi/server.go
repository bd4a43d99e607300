package callerapi

import (
	"context"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"briarproxy/core/wire"
	"briarproxy/daemon/event"
	"briarproxy/daemon/router"
	"briarproxy/daemon/view"
)

// Router answers requests and job calls.
type Router interface {
	Handle(ctx context.Context, request router.Request) (*router.Answer, *wire.Problem)
	Job(ctx context.Context, args *wire.JobArgs, deadline time.Duration) (*wire.JobReply, *wire.Problem)
	WaitJob(ctx context.Context, id string, deadline time.Duration) (*wire.JobStatus, *wire.Problem)
}

// Options configures a Server. Zero limits take the defaults.
type Options struct {
	Router Router
	View   view.Source
	Log    *event.Logger
	Now    func() time.Duration // boot clock

	MaxConnections int           // default 4096
	MaxBody        int64         // bytes, default 8 MiB
	HeaderTimeout  time.Duration // default 5 s
	BodyTimeout    time.Duration // default 30 s
	WriteTimeout   time.Duration // default 30 s
	IdleTimeout    time.Duration // default 90 s
}

// Default limits.
const (
	defaultMaxConnections = 4096
	defaultMaxBody        = 8 << 20 // bytes
	defaultHeaderTimeout  = 5 * time.Second
	defaultBodyTimeout    = 30 * time.Second
	defaultWriteTimeout   = 30 * time.Second
	defaultIdleTimeout    = 90 * time.Second
	maxHeaderBytes        = 16 << 10
)

func (o *Options) setDefaults() {
	setDefault(&o.MaxConnections, defaultMaxConnections)
	setDefault(&o.MaxBody, defaultMaxBody)
	setDefault(&o.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&o.BodyTimeout, defaultBodyTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Server serves the callers' API.
type Server struct {
	options  Options
	http     *http.Server
	draining atomic.Bool
}

// New returns a server that does not listen yet.
func New(options Options) *Server {
	options.setDefaults()
	s := &Server{options: options}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: options.HeaderTimeout,
		IdleTimeout:       options.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(errorLog{options.Log}, "", 0),
	}
	return s
}

// errorLog writes the messages of net/http as events.
type errorLog struct{ log *event.Logger }

// Write implements io.Writer.
func (e errorLog) Write(line []byte) (int, error) {
	e.log.Emit(eventHTTP, "reason", strings.TrimSpace(string(line)))
	return len(line), nil
}

// Serve accepts connections until Finish or Close; it returns http.ErrServerClosed
// then.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(netutil.LimitListener(listener, s.options.MaxConnections))
}

// Leave begins a planned stop: requests are still answered but each answer closes
// its connection. Idle connections stay open, because closing one could cut off a
// request that is on its way.
func (s *Server) Leave() { s.draining.Store(true) }

// Finish closes the listener and waits for the requests in flight, until ctx ends.
func (s *Server) Finish(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// Handler returns the routes of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/{service}/requests", s.request)
	mux.HandleFunc("POST /v1/jobs", s.submitJob)
	mux.HandleFunc("GET /v1/jobs/{id}", s.jobStatus)
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.cancelJob)
	mux.HandleFunc("GET /v1/jobs/{id}/results", s.jobResults)
	mux.HandleFunc("/", s.noRoute)
	return s.wrap(mux)
}

// requestIDKey is the context key of the request id.
type requestIDKey struct{}

// wrap gives each request an id and turns a panic into an answer.
func (s *Server) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := newRequestID()
		w.Header().Set(wire.HeaderRequestID, id)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		defer func() {
			if reason := recover(); reason != nil {
				s.options.Log.Emit(eventPanic, "request", id, "reason", reason, "stack", string(debug.Stack()))
				s.writeProblem(w, r, panicked())
			}
		}()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

func panicked() *wire.Problem {
	p := problem(http.StatusInternalServerError, "internal", "send the request again with the same idempotency key and tell the operator", "the handler failed")
	p.Outcome = wire.OutcomeUnknown
	return p
}

func (s *Server) noRoute(w http.ResponseWriter, r *http.Request) {
	s.writeProblem(w, r, problem(http.StatusNotFound, "no-route", "check the method and the path", r.Method+" on this path is not part of the API"))
}
