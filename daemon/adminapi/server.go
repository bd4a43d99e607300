package adminapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/phuslu/log"

	"golang.org/x/net/netutil"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
	"briarproxy/daemon/event"
	"briarproxy/daemon/router"
	"briarproxy/daemon/view"
)

// Events of the admin API.
var (
	eventDenied = event.Define(1450, "admin call denied", log.WarnLevel, "A call to the admin API had no valid token. Check who calls it, and rotate the token if it may be known.")
	eventCalled = event.Define(1451, "admin call", log.InfoLevel, "A call to the admin API was answered.")
)

// Pools gives the state of the queues and slots.
type Pools interface {
	Stats() []router.PoolStats
}

// Summaries gives the free capacity of the rack units that this daemon owns.
type Summaries interface {
	Summaries() []wire.PoolSummary
}

// Explainer says why something was decided; ok is false when it does not know the
// id.
type Explainer interface {
	Explain(ctx context.Context, id string) (explanation wire.Explanation, ok bool)
}

// ExplainFunc makes an Explainer of a function.
type ExplainFunc func(ctx context.Context, id string) (wire.Explanation, bool)

// Explain implements Explainer.
func (f ExplainFunc) Explain(ctx context.Context, id string) (wire.Explanation, bool) {
	return f(ctx, id)
}

// Options configures a Server.
type Options struct {
	Token      string // "" turns the API off
	CertFile   string // PEM; "" serves without TLS
	KeyFile    string // PEM
	View       view.Source
	Pools      Pools
	Summaries  Summaries   // may be nil
	Explainers []Explainer // asked in order
	Log        *event.Logger
}

// Limits of the admin listener.
const (
	minTokenLength = 16 // bytes
	maxConnections = 32
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 8 << 10
	maxIDLength    = 256 // bytes
)

// Server serves the admin API.
type Server struct {
	options Options
	token   [sha256.Size]byte
	http    *http.Server
}

// New returns a server that does not listen yet. Its error is of kind
// fault.Invalid and names the setting to change.
func New(options Options) (*Server, error) {
	if options.Token != "" && len(options.Token) < minTokenLength {
		return nil, fault.New(fault.Invalid, "set a longer random token, or none to turn the admin API off", "admin token has %d bytes, at least %d are needed", len(options.Token), minTokenLength)
	}
	if (options.CertFile == "") != (options.KeyFile == "") {
		return nil, fault.New(fault.Invalid, "set both files or neither", "admin TLS needs a certificate file and a key file")
	}
	s := &Server{options: options, token: sha256.Sum256([]byte(options.Token))}
	s.http = &http.Server{
		Handler:        s.Handler(),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		TLSConfig:      &tls.Config{MinVersion: tls.VersionTLS12},
	}
	return s, nil
}

// Enabled reports whether a token is set.
func (s *Server) Enabled() bool { return s.options.Token != "" }

// Serve answers on the listener until Shutdown; it returns http.ErrServerClosed
// then. Without a token it closes the listener and returns an error.
func (s *Server) Serve(listener net.Listener) error {
	if !s.Enabled() {
		_ = listener.Close()
		return fault.New(fault.Invalid, "set an admin token", "the admin API is off")
	}
	limited := netutil.LimitListener(listener, maxConnections)
	if s.options.CertFile != "" {
		return s.http.ServeTLS(limited, s.options.CertFile, s.options.KeyFile)
	}
	return s.http.Serve(limited)
}

// Shutdown closes the listener and waits for calls in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Handler returns the routes, each behind the token check.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/top", s.top)
	mux.HandleFunc("GET /v1/explain/{id}", s.explain)
	return s.authorized(mux)
}

// authorized lets a call pass when it has the token. Digests are compared, so the
// time taken depends neither on the token's content nor on its length.
func (s *Server) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(given))
		equal := subtle.ConstantTimeCompare(digest[:], s.token[:]) == 1
		if !s.Enabled() || !found || !equal {
			s.options.Log.Emit(eventDenied, "remote", r.RemoteAddr)
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, http.StatusUnauthorized, "unauthorized", "send the admin token as a bearer token", "the call has no valid token")
			return
		}
		s.options.Log.Emit(eventCalled, "remote", r.RemoteAddr, "path", r.URL.Path)
		next.ServeHTTP(w, r)
	})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, "application/json", StatusOf(s.options.View.Current()))
}

// Top shows where capacity and waiting are.
type Top struct {
	Queues []router.PoolStats `json:"queues"`
	Pools  []wire.PoolSummary `json:"pools"`
}

func (s *Server) top(w http.ResponseWriter, _ *http.Request) {
	top := Top{Queues: s.options.Pools.Stats()}
	if s.options.Summaries != nil {
		top.Pools = s.options.Summaries.Summaries()
	}
	writeJSON(w, http.StatusOK, "application/json", top)
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if len(id) > maxIDLength {
		writeProblem(w, http.StatusBadRequest, "malformed-request", "check the id", "the id is too long")
		return
	}
	for _, explainer := range s.options.Explainers {
		if explanation, ok := explainer.Explain(r.Context(), id); ok {
			writeJSON(w, http.StatusOK, "application/json", explanation)
			return
		}
	}
	writeProblem(w, http.StatusNotFound, "unknown-id", "ask the daemon that took the request; only recent decisions are kept", "no decision about this id is known here")
}

func writeProblem(w http.ResponseWriter, status int, kind, remedy, detail string) {
	writeJSON(w, status, "application/problem+json", wire.Problem{
		Type: "briar:" + kind, Title: http.StatusText(status), Status: status, Detail: detail, Outcome: wire.OutcomeNotRun, Remedy: remedy,
	})
}

func writeJSON(w http.ResponseWriter, status int, contentType string, value any) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // a broken connection is the caller's to notice
}
