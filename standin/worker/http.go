package worker

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"briarproxy/core/wire"
	"briarproxy/standin/internal/httpjson"
)

// HeaderIncarnation is the header that holds the worker's incarnation in every
// response of the protocol, because StopReply and StartReply have no field for it.
const HeaderIncarnation = "Briar-Worker-Incarnation"

// Pause is the body of POST /control/pause.
type Pause struct {
	MS int64 `json:"ms"`
}

// Drain is the body of POST /control/drain.
type Drain struct {
	Draining bool `json:"draining"`
}

func (w *Worker) registerRoutes() {
	handlePost(w, wire.PathFence, func(f wire.Fence) any { return w.Fence(f) })
	handlePost(w, wire.PathRenew, func(r wire.Renew) any { return w.Renew(r) })
	handlePost(w, wire.PathStop, func(s wire.Stop) any { return w.Stop(s) })
	handlePost(w, wire.PathThrottle, func(t wire.Throttle) any { return w.Throttle(t) })
	handlePost(w, wire.PathCheckpoint, func(c wire.Checkpoint) any { return w.Checkpoint(c) })
	handlePost(w, wire.PathAck, func(a wire.Ack) any { w.Ack(a); return httpjson.Empty{} })
	w.mux.HandleFunc("POST "+wire.PathStart, w.handleStart)
	w.mux.HandleFunc("GET "+wire.PathReport, func(rw http.ResponseWriter, r *http.Request) {
		w.respond(rw, r, http.StatusOK, w.Report())
	})
	w.mux.HandleFunc("POST /control/misbehaviour", httpjson.ControlHandler(w.SetMisbehaviour))
	w.mux.HandleFunc("POST /control/drain", httpjson.ControlHandler(func(d Drain) error { w.SetDraining(d.Draining); return nil }))
	w.mux.HandleFunc("POST /control/pause", httpjson.ControlHandler(func(p Pause) error { w.Pause(milliseconds(p.MS)); return nil }))
	w.mux.HandleFunc("POST /control/restart", httpjson.ControlHandler(func(httpjson.Empty) error { w.Restart(); return nil }))
	w.mux.HandleFunc("GET /control/journal", func(rw http.ResponseWriter, _ *http.Request) {
		httpjson.Write(rw, http.StatusOK, w.options.Journal.Entries())
	})
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// handlePost registers the handler of a POST whose body is a T. It responds with
// status 400 if the body cannot be decoded.
func handlePost[T any](w *Worker, path string, apply func(T) any) {
	w.mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
		var body T
		if err := httpjson.Decode(r, &body); err != nil {
			httpjson.WriteError(rw, http.StatusBadRequest, "%v", err)
			return
		}
		w.respond(rw, r, http.StatusOK, apply(body))
	})
}

func (w *Worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	var start wire.Start
	if err := httpjson.Decode(r, &start); err != nil {
		httpjson.Write(rw, http.StatusBadRequest, wire.StartReply{Refused: wire.RefusedMalformed})
		return
	}
	refusal, a := w.accept(start)
	switch {
	case refusal != "":
		w.respond(rw, r, http.StatusOK, wire.StartReply{Refused: refusal})
	case start.Kind == wire.KindTask:
		w.respond(rw, r, http.StatusAccepted, wire.StartReply{})
	default:
		w.respondWithResult(rw, r, a)
	}
}

// respondWithResult waits for a request to end and sends its result. If the client
// disconnects, the request continues and its result is retained.
func (w *Worker) respondWithResult(rw http.ResponseWriter, r *http.Request, a *attempt) {
	select {
	case <-a.done:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	result := a.result
	w.mu.Unlock()
	if result == nil { // The worker was restarted before the request ended.
		panic(http.ErrAbortHandler)
	}
	w.respond(rw, r, http.StatusOK, wire.StartReply{Result: result})
}

// respond sends a response and applies the injected faults to it.
func (w *Worker) respond(rw http.ResponseWriter, r *http.Request, status int, body any) {
	w.mu.Lock()
	misbehaviour := w.misbehaviour
	faulty := misbehaviour.affectsResponse(r.URL.Path, w.random)
	incarnation := w.incarnation
	w.mu.Unlock()
	rw.Header().Set(HeaderIncarnation, strconv.FormatInt(incarnation, 10))
	if !faulty {
		httpjson.Write(rw, status, body)
		return
	}
	if misbehaviour.ResponseDelayMS > 0 {
		time.Sleep(milliseconds(misbehaviour.ResponseDelayMS))
	}
	if misbehaviour.HangResponses {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	body = misbehaviour.corruptResponse(body)
	if misbehaviour.TruncateResponses {
		writeTruncated(rw, status, body)
	}
	httpjson.Write(rw, status, body)
}

// corruptResponse returns the body of a response after applying the faults of results.
func (m Misbehaviour) corruptResponse(body any) any {
	switch b := body.(type) {
	case wire.StartReply:
		b.Result = m.corruptResult(b.Result)
		return b
	case wire.StopReply:
		b.Result = m.corruptResult(b.Result)
		return b
	}
	return body
}

func (m Misbehaviour) corruptResult(result *wire.Result) *wire.Result {
	if result == nil {
		return nil
	}
	corrupted := *result
	if m.TruncateResults {
		corrupted.Body = corrupted.Body[:len(corrupted.Body)/2]
	}
	if m.MismatchResultIDs {
		corrupted.ID += "-foreign"
	}
	return &corrupted
}

// writeTruncated declares the full length of a response, sends half of it and closes
// the connection.
func writeTruncated(rw http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err == nil {
		rw.Header().Set("Content-Type", "application/json")
		rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
		rw.WriteHeader(status)
		_, _ = rw.Write(data[:len(data)/2])
		_ = http.NewResponseController(rw).Flush()
	}
	panic(http.ErrAbortHandler)
}
