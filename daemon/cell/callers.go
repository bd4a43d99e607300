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
	callerTimeoutShare    = 0.85 // of a caller's time limit: the answer must still arrive
	defaultAnswerTimeout  = 2500 * time.Millisecond
	defaultRetryAfter     = time.Second             // without more knowledge
	logOutageRetryAfter   = 2 * time.Second         // outages of the log last some seconds; callers have few retries
	logOutageAfter        = 1500 * time.Millisecond // without an answer of the store: twice what a read takes in an idle cell
	maxBodyBytes          = 256 << 10
	maxHeaderBytes        = 16 << 10
	readHeaderTimeout     = 3 * time.Second
	idleConnectionTimeout = 60 * time.Second
	engineWait            = time.Second
)

// callerAPI serves the callers' API.
type callerAPI struct {
	engine *engine
	ctx    context.Context
}

// lookupResult is what the engine knows of a request's queue and job.
type lookupResult struct {
	queue   *cluster.Queue
	version int64
	view
	logUnreachable bool // the log has not answered for a while
	maxBodyBytes   int  // most bytes of a body
}

// query runs a query on the engine and waits for its result.
func query[T any](ctx context.Context, e *engine, run func(e *engine, reply chan<- T)) (T, bool) {
	reply := make(chan T, 1)
	e.do(ctx, func(e *engine) { run(e, reply) })
	select {
	case got := <-reply:
		return got, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

func (a *callerAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.engine.inFlight.Add(1)
	defer a.engine.inFlight.Add(-1)
	began := time.Now()
	status := a.serve(w, r)
	a.engine.metrics.requests.WithLabelValues(r.Method, strconv.Itoa(status)).Inc()
	a.engine.metrics.requestSeconds.WithLabelValues(r.Method).Observe(time.Since(began).Seconds())
}

func (a *callerAPI) serve(w http.ResponseWriter, r *http.Request) int {
	ctx, cancel := context.WithTimeout(r.Context(), a.timeLimit(r))
	defer cancel()
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path := r.URL.Path
	got, ok := query(ctx, a.engine, func(e *engine, reply chan<- lookupResult) { reply <- e.lookup(host, path) })
	switch {
	case !ok:
		return reject(w, http.StatusServiceUnavailable)
	case got.version == 0:
		return reject(w, http.StatusServiceUnavailable)
	case got.queue == nil:
		return answer(w, http.StatusNotFound, nil)
	}
	if limit := time.Duration(callerTimeoutShare * float64(got.queue.Timeout)); limit > 0 {
		bounded, end := context.WithTimeout(ctx, limit)
		defer end()
		ctx = bounded
	}
	id := path[len(got.queue.PathPrefix):]
	switch {
	case r.Method == http.MethodGet && id == "":
		return a.answerCount(ctx, w, got)
	case r.Method == http.MethodGet:
		return a.answerState(ctx, w, id, got)
	case r.Method == http.MethodPost && id != "":
		return a.submit(ctx, w, r, id, got)
	case r.Method == http.MethodDelete && id != "":
		return a.cancel(ctx, w, id, got)
	default:
		return answer(w, http.StatusMethodNotAllowed, nil)
	}
}

// timeLimit is how long the daemon may take to answer.
func (a *callerAPI) timeLimit(r *http.Request) time.Duration {
	limit := a.engine.platform.CallerDeadline(r)
	if limit == 0 {
		return defaultAnswerTimeout
	}
	return time.Duration(callerTimeoutShare * float64(limit))
}

// lastContact is when the store last took a record of this daemon or answered it. It says that
// jobs can be stored, and nothing of what the log holds.
func (e *engine) lastContact() time.Duration {
	return max(e.readToEndAt, time.Duration(e.writer.storedAt.Load()), time.Duration(e.store.confirmedAt.Load()))
}

// readState is what the daemon knows of the log.
func (e *engine) readState() readState { return readState{e.state.NextOffset, e.readToEndAt} }

// lookup finds the queue of a path and what is known of the job it names.
func (e *engine) lookup(host, path string) lookupResult {
	if e.config == nil {
		return lookupResult{}
	}
	f := lookupResult{
		version: e.config.Version, queue: e.config.Match(host, path), view: view{readState: e.readState()},
		logUnreachable: e.store.unresponsive() || bootclock.Now()-e.lastContact() > logOutageAfter, maxBodyBytes: maxBodyBytes,
	}
	if f.queue == nil {
		return f
	}
	if limit := e.config.Limits.Body; limit > 0 {
		f.maxBodyBytes = min(limit, maxBodyBytes)
	}
	f.view = e.view(f.queue.Name, path[len(f.queue.PathPrefix):])
	return f
}

// answerCount tells how many jobs of a queue wait.
func (a *callerAPI) answerCount(ctx context.Context, w http.ResponseWriter, got lookupResult) int {
	from := sourceOfCount(got.readState, bootclock.Now())
	f := got.view
	if from == fromPeer {
		var err error
		if f, err = a.engine.consultClient.ask(ctx, got.queue.Name, "", maxConsultTries); err != nil {
			return a.rejectQuestion(w, got, "", err)
		}
	}
	age, _ := f.readState.age(bootclock.Now())
	a.engine.log.Emit(evCountAnswered, "queue", got.queue.Name, "pending", f.Pending, "source", from.String(), "offset", f.readState.offset, "age_ms", age.Milliseconds())
	return answer(w, http.StatusOK, a.engine.platform.EncodePending(f.Pending))
}

// rejectQuestion rejects a question that this daemon can't answer truly.
func (a *callerAPI) rejectQuestion(w http.ResponseWriter, got lookupResult, id string, err error) int {
	_, read := got.readState.age(bootclock.Now())
	a.engine.log.Emit(evQuestionRejected, "queue", got.queue.Name, "job", id, "reason", err.Error(), "offset", got.readState.offset, "ever_read", read)
	a.engine.metrics.rejections.WithLabelValues("log not read").Inc()
	return reject(w, http.StatusServiceUnavailable)
}

// currentView returns what is known of a job, from this daemon, from the log or from another daemon.
func (a *callerAPI) currentView(ctx context.Context, id string, got lookupResult) (view, error) {
	switch sourceOfState(got.readState, got.view, bootclock.Now()) {
	case fromPeer:
		if !got.Found {
			return a.engine.consultClient.ask(ctx, got.queue.Name, id, maxConsultTries)
		}
		if f, err := a.engine.consultClient.ask(ctx, got.queue.Name, id, 1); err == nil && f.Found {
			return f, nil
		}
		return got.view, nil // it was true when it was read
	case fromLog:
		return a.refreshedView(ctx, id, got.queue.Name)
	default:
		return got.view, nil
	}
}

// refreshedView reads the log before it says that a job is not known.
func (a *callerAPI) refreshedView(ctx context.Context, id, queue string) (view, error) {
	type outcome struct {
		view
		ok bool
	}
	got, ok := query(ctx, a.engine, func(e *engine, reply chan<- outcome) {
		e.refresh(a.ctx, func(e *engine, ok bool) { reply <- outcome{e.view(queue, id), ok} })
	})
	if !ok || !got.ok && !got.Found {
		return view{}, fault.New(fault.Unavailable, "ask again in a second", "the log was not read to its end in time")
	}
	return got.view, nil
}

func (a *callerAPI) answerState(ctx context.Context, w http.ResponseWriter, id string, got lookupResult) int {
	f, err := a.currentView(ctx, id, got)
	switch {
	case err != nil:
		return a.rejectQuestion(w, got, id, err)
	case !f.Found:
		return answer(w, http.StatusGone, nil)
	}
	return answer(w, http.StatusOK, a.engine.platform.EncodeState(f.Phase))
}

func (a *callerAPI) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, got lookupResult) int {
	if got.Found {
		return answer(w, http.StatusOK, a.engine.platform.EncodeState(got.Phase))
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(got.maxBodyBytes)+1))
	switch {
	case err != nil:
		return answer(w, http.StatusBadRequest, nil)
	case len(body) > got.maxBodyBytes:
		return answer(w, http.StatusRequestEntityTooLarge, nil)
	}
	job, err := a.engine.platform.DecodeJob(body)
	if err != nil {
		a.engine.log.Emit(evJobRejected, "job", id, "queue", got.queue.Name, "reason", err.Error())
		a.engine.metrics.rejections.WithLabelValues("invalid").Inc()
		return answer(w, http.StatusBadRequest, nil)
	}
	if got.logUnreachable {
		a.engine.log.Emit(evJobRejected, "job", id, "queue", got.queue.Name, "reason", "the log does not answer", "version", got.version)
		a.engine.metrics.rejections.WithLabelValues("log away").Inc()
		return rejectFor(w, http.StatusServiceUnavailable, logOutageRetryAfter)
	}
	job.ID, job.Queue, job.Pool, job.Config = id, got.queue.Name, got.queue.Pool, got.version
	job.MaxAttempts, job.AtMS = got.queue.MaxAttempts, time.Now().UnixMilli()
	began := bootclock.Now()
	err = a.engine.writer.append(ctx, &flow.Record{Submit: &job}, remaining(ctx))
	took := bootclock.Now() - began
	switch {
	case err == nil:
		a.engine.log.Emit(evJobAccepted, "job", id, "queue", got.queue.Name, "version", got.version, "append_ms", took.Milliseconds())
		return answer(w, http.StatusOK, a.engine.platform.EncodeState(flow.Queued))
	case fault.Is(err, fault.Refused):
		a.engine.metrics.rejections.WithLabelValues("not stored").Inc()
		a.engine.log.Emit(evJobRejected, "job", id, "queue", got.queue.Name, "reason", err.Error(), "append_ms", took.Milliseconds())
		return reject(w, http.StatusServiceUnavailable)
	default:
		a.engine.metrics.rejections.WithLabelValues("outcome unknown").Inc()
		a.engine.log.Emit(evJobOutcomeUnknown, "job", id, "queue", got.queue.Name, "reason", err.Error(), "append_ms", took.Milliseconds())
		return answer(w, http.StatusGatewayTimeout, nil)
	}
}

func (a *callerAPI) cancel(ctx context.Context, w http.ResponseWriter, id string, got lookupResult) int {
	f := got.view
	if !f.Found {
		var err error
		if f, err = a.currentView(ctx, id, got); err != nil {
			return a.rejectQuestion(w, got, id, err)
		}
	}
	switch {
	case !f.Found:
		return answer(w, http.StatusGone, nil)
	case f.Phase.Final():
		return answer(w, http.StatusOK, a.engine.platform.EncodeState(f.Phase))
	}
	if got.logUnreachable {
		a.engine.log.Emit(evCancelRejected, "job", id, "queue", got.queue.Name, "reason", "the log does not answer", "version", got.version)
		a.engine.metrics.rejections.WithLabelValues("log away").Inc()
		return rejectFor(w, http.StatusServiceUnavailable, logOutageRetryAfter)
	}
	err := a.engine.writer.append(ctx, &flow.Record{Cancel: &flow.Cancel{ID: id, AtMS: time.Now().UnixMilli()}}, remaining(ctx))
	switch {
	case fault.Is(err, fault.Refused):
		a.engine.metrics.rejections.WithLabelValues("not stored").Inc()
		a.engine.log.Emit(evCancelRejected, "job", id, "queue", got.queue.Name, "reason", err.Error(), "version", got.version)
		return reject(w, http.StatusServiceUnavailable)
	case err != nil:
		a.engine.metrics.rejections.WithLabelValues("outcome unknown").Inc()
		a.engine.log.Emit(evCancelOutcomeUnknown, "job", id, "queue", got.queue.Name, "reason", err.Error(), "version", got.version)
		return answer(w, http.StatusGatewayTimeout, nil)
	}
	a.engine.log.Emit(evJobCancelled, "job", id, "queue", got.queue.Name, "version", got.version)
	return answer(w, http.StatusOK, a.engine.platform.EncodeState(flow.Cancelled))
}

// remaining is the time for the log, a bit less than the request has left.
func remaining(ctx context.Context) time.Duration {
	deadline, set := ctx.Deadline()
	if !set {
		return defaultAnswerTimeout
	}
	return time.Until(deadline) - 50*time.Millisecond
}

// reject answers a request that was not carried out, with when to come back.
func reject(w http.ResponseWriter, status int) int { return rejectFor(w, status, defaultRetryAfter) }

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
