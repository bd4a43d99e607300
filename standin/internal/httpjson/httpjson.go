// Package httpjson contains the HTTP code that the simulated services share: JSON
// bodies, integer query parameters, and serving on a listener until a context ends.
package httpjson

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"briarproxy/core/fault"
)

// MaxBodyBytes is the length of the longest body that Decode reads.
const MaxBodyBytes = 16 << 20

// Empty is the response body of calls that return nothing.
type Empty struct{}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Write sends a response with a status and a JSON body.
func Write(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// WriteError sends a response with a status and an ErrorResponse.
func WriteError(w http.ResponseWriter, status int, format string, args ...any) {
	Write(w, status, ErrorResponse{Error: fmt.Sprintf(format, args...)})
}

// Decode reads a JSON body into target. Errors are of kind fault.Invalid.
func Decode(r *http.Request, target any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, MaxBodyBytes))
	if err := decoder.Decode(target); err != nil {
		return fault.Wrap(err, fault.Invalid, "send the JSON object that the path expects", "cannot decode body of %s", r.URL.Path)
	}
	// The server detects a disconnected client only after the body was read to its end.
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

// ControlHandler returns a handler that decodes a T, applies it and responds with an
// empty object, or with status 400 if the body cannot be decoded or apply returns an
// error. A missing body is decoded as the zero T.
func ControlHandler[T any](apply func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		var err error
		if r.ContentLength != 0 {
			err = Decode(r, &body)
		}
		if err == nil {
			err = apply(body)
		}
		if err != nil {
			WriteError(w, http.StatusBadRequest, "%v", err)
			return
		}
		Write(w, http.StatusOK, Empty{})
	}
}

// QueryInt returns a non-negative integer from the query, or fallback if the parameter
// is absent. Errors are of kind fault.Invalid.
func QueryInt(r *http.Request, key string, fallback int64) (int64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, fault.New(fault.Invalid, "give a whole number of at least 0", "query parameter %q is %q", key, text)
	}
	return value, nil
}

// Serve listens on address, writes "listening ADDRESS" and the label, if any, to out,
// and serves until ctx ends. It then closes all connections, because requests that hang
// as an injected fault would block a graceful shutdown.
func Serve(ctx context.Context, address, label string, handler http.Handler, out io.Writer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "choose a free address, or port 0", "cannot listen on %s", address)
	}
	Announce(out, listener.Addr().String(), label)
	return ServeOn(ctx, listener, handler)
}

// Announce writes the line from which a parent process reads the address.
func Announce(out io.Writer, address, label string) {
	if label == "" {
		_, _ = fmt.Fprintf(out, "listening %s\n", address)
		return
	}
	_, _ = fmt.Fprintf(out, "listening %s %s\n", address, label)
}

// ServeOn serves on a listener until ctx ends.
func ServeOn(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
