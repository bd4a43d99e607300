package callerapi

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"briarproxy/core/wire"
)

// newRequestID returns a random id. It is never taken from the caller, because a
// worker identifies an attempt by it.
func newRequestID() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

func requestID(r *http.Request) string {
	id, _ := r.Context().Value(requestIDKey{}).(string)
	return id
}

// writeBody writes an answer with its length and digest, so that the caller can
// tell a truncated one.
func (s *Server) writeBody(w http.ResponseWriter, r *http.Request, status int, contentType string, body []byte) {
	digest := sha256.Sum256(body)
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(wire.HeaderResultDigest, hex.EncodeToString(digest[:]))
	if h.Get(wire.HeaderConfigVersion) == "" {
		h.Set(wire.HeaderConfigVersion, strconv.FormatInt(s.options.View.Current().ConfigVersion, 10))
	}
	// Recorders in tests have no deadline; a real connection always has one.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.options.Log.Emit(eventWrite, "request", requestID(r), "reason", err.Error())
	}
}

func (s *Server) writeJSON(w http.ResponseWriter, r *http.Request, status int, contentType string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("answer can't be encoded: " + err.Error())
	}
	s.writeBody(w, r, status, contentType, body)
}

// writeProblem writes an error.
func (s *Server) writeProblem(w http.ResponseWriter, r *http.Request, p *wire.Problem) {
	copied := *p
	copied.RequestID = w.Header().Get(wire.HeaderRequestID)
	if copied.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(copied.RetryAfter, 10))
	}
	s.writeJSON(w, r, copied.Status, "application/problem+json", copied)
}

// refuse writes the error for a request that was not routed.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, p *wire.Problem) {
	s.options.Log.Emit(eventRefused, "request", requestID(r), "reason", p.Detail)
	s.writeProblem(w, r, p)
}
