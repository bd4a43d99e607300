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
	lostAfter      = 1500 * time.Millisecond // without an answer of the store: twice what a read takes in an idle cell
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
	facts
	lost bool // the log has not answered for a while
	body int  // most bytes of a body
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
	case r.Method == http.MethodGet && id == "":
		return c.count(ctx, w, got)
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

// lastContact is when the store last took a record of this daemon or answered it. It says that
// jobs can be stored, and nothing of what the log holds.
func (e *engine) lastContact() time.Duration {
	return max(e.readLast, time.Duration(e.writer.storedAt.Load()), time.Duration(e.store.carried.Load()))
}

// knowledge is what the daemon knows of the log.
func (e *engine) knowledge() knowledge { return knowledge{e.state.Next, e.readLast} }

// look finds the queue of a path and what is known of the job it names.
func (e *engine) look(host, path string) found {
	if e.config == nil {
		return found{}
	}
	f := found{
		version: e.config.Version, queue: e.config.Match(host, path), facts: facts{as: e.knowledge()},
		lost: e.store.silent() || bootclock.Now()-e.lastContact() > lostAfter, body: bodyLimit,
	}
	if f.queue == nil {
		return f
	}
	if limit := e.config.Limits.Body; limit > 0 {
		f.body = min(limit, bodyLimit)
	}
	f.facts = e.facts(f.queue.Name, path[len(f.queue.PathPrefix):])
	return f
}

// count tells how many jobs of a queue wait.
func (c *callers) count(ctx context.Context, w http.ResponseWriter, got found) int {
	from := sourceOfCount(got.as, bootclock.Now())
	f := got.facts
	if from == fromOther {
		var err error
		if f, err = c.engine.consultant.ask(ctx, got.queue.Name, "", consultTries); err != nil {
			return c.unknown(w, got, "", err)
		}
	}
	age, _ := f.as.age(bootclock.Now())
	c.engine.log.Emit(evCounted, "queue", got.queue.Name, "pending", f.Pending, "source", from.String(), "offset", f.as.offset, "age_ms", age.Milliseconds())
	return answer(w, http.StatusOK, c.engine.platform.EncodePending(f.Pending))
}

// unknown rejects a question that this daemon can't answer truly.
func (c *callers) unknown(w http.ResponseWriter, got found, id string, err error) int {
	_, read := got.as.age(bootclock.Now())
	c.engine.log.Emit(evUnknown, "queue", got.queue.Name, "job", id, "reason", err.Error(), "offset", got.as.offset, "ever_read", read)
	c.engine.counts.rejections.WithLabelValues("log not read").Inc()
	return reject(w, http.StatusServiceUnavailable)
}

// learn returns what is known of a job, from this daemon, from the log or from another daemon.
func (c *callers) learn(ctx context.Context, id string, got found) (facts, error) {
	switch sourceOfState(got.as, got.facts, bootclock.Now()) {
	case fromOther:
		if !got.Found {
			return c.engine.consultant.ask(ctx, got.queue.Name, id, consultTries)
		}
		if f, err := c.engine.consultant.ask(ctx, got.queue.Name, id, 1); err == nil && f.Found {
			return f, nil
		}
		return got.facts, nil // it was true when it was read
	case fromLog:
		return c.refresh(ctx, id, got.queue.Name)
	default:
		return got.facts, nil
	}
}

// refresh reads the log before it says that a job is not known.
func (c *callers) refresh(ctx context.Context, id, queue string) (facts, error) {
	type outcome struct {
		facts
		ok bool
	}
	got, ok := ask(ctx, c.engine, func(e *engine, reply chan<- outcome) {
		e.fresh(c.ctx, func(e *engine, ok bool) { reply <- outcome{e.facts(queue, id), ok} })
	})
	if !ok || !got.ok && !got.Found {
		return facts{}, fault.New(fault.Unavailable, "ask again in a second", "the log was not read to its end in time")
	}
	return got.facts, nil
}

func (c *callers) state(ctx context.Context, w http.ResponseWriter, id string, got found) int {
	f, err := c.learn(ctx, id, got)
	switch {
	case err != nil:
		return c.unknown(w, got, id, err)
	case !f.Found:
		return answer(w, http.StatusGone, nil)
	}
	return answer(w, http.StatusOK, c.engine.platform.EncodeState(f.Phase))
}

func (c *callers) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, got found) int {
	if got.Found {
		return answer(w, http.StatusOK, c.engine.platform.EncodeState(got.Phase))
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
	f := got.facts
	if !f.Found {
		var err error
		if f, err = c.learn(ctx, id, got); err != nil {
			return c.unknown(w, got, id, err)
		}
	}
	switch {
	case !f.Found:
		return answer(w, http.StatusGone, nil)
	case f.Phase.Final():
		return answer(w, http.StatusOK, c.engine.platform.EncodeState(f.Phase))
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
