package cell

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Times and limits of the callers' API.
const (
	answerShare    = 0.85 // of a caller's time limit: the answer must still arrive
	defaultAnswer  = 2500 * time.Millisecond
	retryAfter     = time.Second             // without more knowledge
	retryLost      = 2 * time.Second         // outages of the log last some seconds; callers have few retries
	lostAfter      = 1500 * time.Millisecond // without an answer of the log: twice what a read takes in an idle cell
	bodyLimit      = 256 << 10
	headerLimit    = 16 << 10
	requestHeaders = 3 * time.Second
	idleConnection = 60 * time.Second
	engineWait     = time.Second
)

// callers serves the callers' API.
type callers struct {
	engine *engine
	ctx    context.Context
}

// found is what the engine knows of a request's queue and job.
type found struct {
	queue   *cluster.Queue
	version int64
	known   bool
	phase   flow.Phase
	pending int
	offset  int64         // up to which the log is known
	age     time.Duration // since the log was read to its end
	lost    bool          // the log has not answered for a while
	body    int           // most bytes of a body
}

// ask runs a query on the engine and waits for its result.
func ask[T any](ctx context.Context, e *engine, query func(e *engine, reply chan<- T)) (T, bool) {
	reply := make(chan T, 1)
	e.do(ctx, func(e *engine) { query(e, reply) })
	select {
	case got := <-reply:
		return got, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

func (c *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.engine.inFlight.Add(1)
	defer c.engine.inFlight.Add(-1)
	began := time.Now()
	status := c.serve(w, r)
	c.engine.counts.requests.WithLabelValues(r.Method, strconv.Itoa(status)).Inc()
	c.engine.counts.seconds.WithLabelValues(r.Method).Observe(time.Since(began).Seconds())
}

func (c *callers) serve(w http.ResponseWriter, r *http.Request) int {
	ctx, cancel := context.WithTimeout(r.Context(), c.within(r))
	defer cancel()
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path := r.URL.Path
	got, ok := ask(ctx, c.engine, func(e *engine, reply chan<- found) { reply <- e.look(host, path) })
	switch {
	case !ok:
		return reject(w, http.StatusServiceUnavailable)
	case got.version == 0:
		return reject(w, http.StatusServiceUnavailable)
	case got.queue == nil:
		return answer(w, http.StatusNotFound, nil)
	}
	if limit := time.Duration(answerShare * float64(got.queue.Timeout)); limit > 0 {
		bounded, end := context.WithTimeout(ctx, limit)
		defer end()
		ctx = bounded
	}
	id := path[len(got.queue.PathPrefix):]
	switch {
	case r.Method == http.MethodGet && id == "" && got.lost:
		return reject(w, http.StatusServiceUnavailable) // the count is older than callers may take it for
	case r.Method == http.MethodGet && id == "":
		c.engine.log.Emit(evCounted, "queue", got.queue.Name, "pending", got.pending, "offset", got.offset, "age_ms", got.age.Milliseconds())
		return answer(w, http.StatusOK, c.engine.platform.EncodePending(got.pending))
	case r.Method == http.MethodGet:
		return c.state(ctx, w, id, got)
	case r.Method == http.MethodPost && id != "":
		return c.submit(ctx, w, r, id, got)
	case r.Method == http.MethodDelete && id != "":
		return c.cancel(ctx, w, id, got)
	default:
		return answer(w, http.StatusMethodNotAllowed, nil)
	}
}

// within is how long the daemon may take to answer.
func (c *callers) within(r *http.Request) time.Duration {
	limit := c.engine.platform.CallerDeadline(r)
	if limit == 0 {
		return defaultAnswer
	}
	return time.Duration(answerShare * float64(limit))
}

// lastContact is when the log last was read to its end or took a record of this daemon. A
// slow log takes records long before all daemons have read them.
func (e *engine) lastContact() time.Duration {
	return max(e.readLast, time.Duration(e.writer.storedAt.Load()))
}

// look finds the queue of a path and what is known of the job it names.
func (e *engine) look(host, path string) found {
	if e.config == nil {
		return found{}
	}
	f := found{version: e.config.Version, offset: e.state.Next, age: bootclock.Now() - e.readLast, queue: e.config.Match(host, path), lost: e.store.silent() || bootclock.Now()-e.lastContact() > lostAfter}
	if f.queue == nil {
		return f
	}
	f.pending, f.body = e.state.Pending[f.queue.Name], bodyLimit
	if limit := e.config.Limits.Body; limit > 0 {
		f.body = min(limit, bodyLimit)
	}
	if j := e.state.Jobs[path[len(f.queue.PathPrefix):]]; j != nil {
		f.known, f.phase = true, j.Phase
	}
	return f
}

// refresh reads the log before it says that a job is not known.
func (c *callers) refresh(ctx context.Context, id string, got found) (found, bool) {
	if got.known {
		return got, true
	}
	type outcome struct {
		found
		ok bool
	}
	fresh, ok := ask(ctx, c.engine, func(e *engine, reply chan<- outcome) {
		e.fresh(c.ctx, func(e *engine, ok bool) {
			f := got
			if j := e.state.Jobs[id]; j != nil {
				f.known, f.phase = true, j.Phase
			}
			reply <- outcome{f, ok}
		})
	})
	return fresh.found, ok && fresh.ok
}

func (c *callers) state(ctx context.Context, w http.ResponseWriter, id string, got found) int {
	got, ok := c.refresh(ctx, id, got)
	switch {
	case !ok && !got.known:
		return reject(w, http.StatusServiceUnavailable)
	case !got.known:
		return answer(w, http.StatusGone, nil)
	}
	return answer(w, http.StatusOK, c.engine.platform.EncodeState(got.phase))
}

func (c *callers) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, got found) int {
	if got.known {
		return answer(w, http.StatusOK, c.engine.platform.EncodeState(got.phase))
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(got.body)+1))
	switch {
	case err != nil:
		return answer(w, http.StatusBadRequest, nil)
	case len(body) > got.body:
		return answer(w, http.StatusRequestEntityTooLarge, nil)
	}
	job, err := c.engine.platform.DecodeJob(body)
	if err != nil {
		c.engine.log.Emit(evRejected, "job", id, "queue", got.queue.Name, "reason", err.Error())
		c.engine.counts.rejections.WithLabelValues("invalid").Inc()
		return answer(w, http.StatusBadRequest, nil)
	}
	if got.lost {
		c.engine.log.Emit(evRejected, "job", id, "queue", got.queue.Name, "reason", "the log does not answer", "version", got.version)
		c.engine.counts.rejections.WithLabelValues("log away").Inc()
		return rejectFor(w, http.StatusServiceUnavailable, retryLost)
	}
	job.ID, job.Queue, job.Pool, job.Config = id, got.queue.Name, got.queue.Pool, got.version
	job.MaxAttempts, job.AtMS = got.queue.MaxAttempts, time.Now().UnixMilli()
	began := bootclock.Now()
	err = c.engine.writer.append(ctx, &flow.Record{Submit: &job}, remaining(ctx))
	took := bootclock.Now() - began
	switch {
	case err == nil:
		c.engine.log.Emit(evAccepted, "job", id, "queue", got.queue.Name, "version", got.version, "append_ms", took.Milliseconds())
		return answer(w, http.StatusOK, c.engine.platform.EncodeState(flow.Queued))
	case fault.Is(err, fault.Refused):
		c.engine.counts.rejections.WithLabelValues("not stored").Inc()
		c.engine.log.Emit(evRejected, "job", id, "queue", got.queue.Name, "reason", err.Error(), "append_ms", took.Milliseconds())
		return reject(w, http.StatusServiceUnavailable)
	default:
		c.engine.counts.rejections.WithLabelValues("outcome unknown").Inc()
		c.engine.log.Emit(evUnsure, "job", id, "queue", got.queue.Name, "reason", err.Error(), "append_ms", took.Milliseconds())
		return answer(w, http.StatusGatewayTimeout, nil)
	}
}

func (c *callers) cancel(ctx context.Context, w http.ResponseWriter, id string, got found) int {
	got, ok := c.refresh(ctx, id, got)
	switch {
	case !ok && !got.known:
		return reject(w, http.StatusServiceUnavailable)
	case !got.known:
		return answer(w, http.StatusGone, nil)
	case got.phase.Final():
		return answer(w, http.StatusOK, c.engine.platform.EncodeState(got.phase))
	}
	if got.lost {
		c.engine.log.Emit(evCancelRefused, "job", id, "queue", got.queue.Name, "reason", "the log does not answer", "version", got.version)
		c.engine.counts.rejections.WithLabelValues("log away").Inc()
		return rejectFor(w, http.StatusServiceUnavailable, retryLost)
	}
	err := c.engine.writer.append(ctx, &flow.Record{Cancel: &flow.Cancel{ID: id, AtMS: time.Now().UnixMilli()}}, remaining(ctx))
	switch {
	case fault.Is(err, fault.Refused):
		c.engine.counts.rejections.WithLabelValues("not stored").Inc()
		c.engine.log.Emit(evCancelRefused, "job", id, "queue", got.queue.Name, "reason", err.Error(), "version", got.version)
		return reject(w, http.StatusServiceUnavailable)
	case err != nil:
		c.engine.counts.rejections.WithLabelValues("outcome unknown").Inc()
		c.engine.log.Emit(evCancelUnsure, "job", id, "queue", got.queue.Name, "reason", err.Error(), "version", got.version)
		return answer(w, http.StatusGatewayTimeout, nil)
	}
	c.engine.log.Emit(evCancelled, "job", id, "queue", got.queue.Name, "version", got.version)
	return answer(w, http.StatusOK, c.engine.platform.EncodeState(flow.Cancelled))
}

// remaining is the time for the log, a bit less than the request has left.
func remaining(ctx context.Context) time.Duration {
	deadline, set := ctx.Deadline()
	if !set {
		return defaultAnswer
	}
	return time.Until(deadline) - 50*time.Millisecond
}

// reject answers a request that was not carried out, with when to come back.
func reject(w http.ResponseWriter, status int) int { return rejectFor(w, status, retryAfter) }

func rejectFor(w http.ResponseWriter, status int, after time.Duration) int {
	w.Header().Set("Retry-After", strconv.Itoa(int(after.Seconds())))
	return answer(w, status, nil)
}

func answer(w http.ResponseWriter, status int, body []byte) int {
	if body != nil {
		w.Header()["Content-Type"] = []string{"application/json"}
	}
	w.WriteHeader(status)
	if body != nil {
		_, _ = w.Write(body) // the caller may have left
	}
	return status
}
