package worker

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"briarproxy/core/wire"
	"briarproxy/standin/internal/httpjson"
)

// HeaderIncarnation carries the worker's incarnation on every answer of the
// protocol, because StopReply and StartReply have no field for it.
const HeaderIncarnation = "Briar-Worker-Incarnation"

// Pause is the body of POST /control/pause.
type Pause struct {
	MS int64 `json:"ms"`
}

// Drain is the body of POST /control/drain.
type Drain struct {
	Draining bool `json:"draining"`
}

func (w *Worker) routes() {
	handle(w, wire.PathFence, func(f wire.Fence) any { return w.Fence(f) })
	handle(w, wire.PathRenew, func(r wire.Renew) any { return w.Renew(r) })
	handle(w, wire.PathStop, func(s wire.Stop) any { return w.Stop(s) })
	handle(w, wire.PathThrottle, func(t wire.Throttle) any { return w.Throttle(t) })
	handle(w, wire.PathCheckpoint, func(c wire.Checkpoint) any { return w.Checkpoint(c) })
	handle(w, wire.PathAck, func(a wire.Ack) any { w.Ack(a); return httpjson.Empty{} })
	w.mux.HandleFunc("POST "+wire.PathStart, w.handleStart)
	w.mux.HandleFunc("GET "+wire.PathReport, func(rw http.ResponseWriter, r *http.Request) {
		w.answer(rw, r, http.StatusOK, w.Report())
	})
	w.mux.HandleFunc("POST /control/misbehaviour", httpjson.Control(w.SetMisbehaviour))
	w.mux.HandleFunc("POST /control/drain", httpjson.Control(func(d Drain) error { w.SetDraining(d.Draining); return nil }))
	w.mux.HandleFunc("POST /control/pause", httpjson.Control(func(p Pause) error { w.Pause(ms(p.MS)); return nil }))
	w.mux.HandleFunc("POST /control/restart", httpjson.Control(func(httpjson.Empty) error { w.Restart(); return nil }))
	w.mux.HandleFunc("GET /control/journal", func(rw http.ResponseWriter, _ *http.Request) {
		httpjson.Write(rw, http.StatusOK, w.options.Journal.Entries())
	})
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// handle routes a POST whose body is a T. A body that is not a T is answered with
// 400.
func handle[T any](w *Worker, path string, apply func(T) any) {
	w.mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
		var body T
		if err := httpjson.Decode(r, &body); err != nil {
			httpjson.Fail(rw, http.StatusBadRequest, "%v", err)
			return
		}
		w.answer(rw, r, http.StatusOK, apply(body))
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
		w.answer(rw, r, http.StatusOK, wire.StartReply{Refused: refusal})
	case start.Kind == wire.KindTask:
		w.answer(rw, r, http.StatusAccepted, wire.StartReply{})
	default:
		w.answerResult(rw, r, a)
	}
}

// answerResult waits for a request to end. The request goes on if its client goes
// away; the result is then kept.
func (w *Worker) answerResult(rw http.ResponseWriter, r *http.Request, a *attempt) {
	select {
	case <-a.done:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	result := a.result
	w.mu.Unlock()
	if result == nil { // the worker crashed
		panic(http.ErrAbortHandler)
	}
	w.answer(rw, r, http.StatusOK, wire.StartReply{Result: result})
}

// answer sends an answer with the faults that are switched on.
func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, status int, body any) {
	w.mu.Lock()
	bad := w.bad
	strikes := bad.strikes(r.URL.Path, w.random)
	incarnation := w.incarnation
	w.mu.Unlock()
	rw.Header().Set(HeaderIncarnation, strconv.FormatInt(incarnation, 10))
	if !strikes {
		httpjson.Write(rw, status, body)
		return
	}
	if bad.LateAnswersMS > 0 {
		time.Sleep(ms(bad.LateAnswersMS))
	}
	if bad.HangAnswers {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	body = bad.spoil(body)
	if bad.TruncateAnswers {
		truncate(rw, status, body)
	}
	httpjson.Write(rw, status, body)
}

// spoil returns the body with a result that is shortened or foreign.
func (m Misbehaviour) spoil(body any) any {
	switch b := body.(type) {
	case wire.StartReply:
		b.Result = m.spoilResult(b.Result)
		return b
	case wire.StopReply:
		b.Result = m.spoilResult(b.Result)
		return b
	}
	return body
}

func (m Misbehaviour) spoilResult(result *wire.Result) *wire.Result {
	if result == nil {
		return nil
	}
	r := *result
	if m.ShortenResults {
		r.Body = r.Body[:len(r.Body)/2]
	}
	if m.ForeignResults {
		r.ID += "-foreign"
	}
	return &r
}

// truncate announces the whole answer, sends half of it and closes the connection.
func truncate(rw http.ResponseWriter, status int, body any) {
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
