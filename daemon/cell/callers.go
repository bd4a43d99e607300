package cell

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Times and limits of the callers' HTTP API.
const (
	callerTimeoutShare    = 0.85                    // of a caller's time limit; the rest is for the answer to reach the caller
	defaultAnswerTimeout  = 2500 * time.Millisecond // for a request that names no time limit
	defaultRetryAfter     = time.Second             // for rejections whose cause gives no better estimate
	logOutageRetryAfter   = 2 * time.Second         // outages of the log last some seconds, and callers have few retries
	logOutageThreshold    = 1500 * time.Millisecond // without an answer from the store; twice the duration of a read in an idle cell
	maxBodyBytes          = 256 << 10
	maxJobIDBytes         = 128 // every daemon keeps the ids of ended jobs, and those of cancelled jobs that it does not know
	maxHeaderBytes        = 16 << 10
	readHeaderTimeout     = 3 * time.Second
	idleConnectionTimeout = 60 * time.Second
	engineWait            = time.Second
)

// callerAPI is the HTTP handler of the callers' API.
type callerAPI struct {
	engine *engine
	ctx    context.Context
}

// lookupResult is what the engine knows about the queue and the job that a request names.
type lookupResult struct {
	queue   *cluster.Queue
	version int64
	view
	logUnreachable bool          // the store is unresponsive or has not answered for logOutageThreshold
	maxBodyBytes   int           // of the request
	bodyTime       time.Duration // in which the body must arrive
	keyCheck       keyCheck
	rate           float64 // jobs a second that the workspace may submit; 0 is no limit
	cancellation   recordedCancellation
}

// recordedCancellation is what this daemon has read of cancellations of a job that was not submitted before them.
type recordedCancellation struct {
	withdrawn bool // a submission of the job does not run any more
	lately    bool // another cancellation by the caller's workspace need not be recorded
	refused   bool // the workspace, or all together, have cancelled too many jobs that were not submitted
}

// query runs a function on the engine's goroutine and waits for its result. It returns false if
// the context ends first.
func query[T any](ctx context.Context, e *engine, run func(e *engine, reply chan<- T)) (T, bool) {
	reply := make(chan T, 1)
	e.do(ctx, func(e *engine) { run(e, reply) })
	select {
	case result := <-reply:
		return result, true
	case <-ctx.Done():
		var zero T
		return zero, false
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
	path, key := r.URL.Path, a.engine.platform.CallerKey(r)
	lookup, ok := query(ctx, a.engine, func(e *engine, reply chan<- lookupResult) { reply <- e.lookup(host, path, key) })
	switch {
	case !ok:
		return reject(w, http.StatusServiceUnavailable)
	case lookup.version == 0:
		return reject(w, http.StatusServiceUnavailable)
	case lookup.queue == nil:
		return answer(w, http.StatusNotFound, nil)
	case lookup.keyCheck.refusal != "":
		return a.refuseKey(w, lookup.keyCheck.refusal)
	case lookup.Found && !lookup.openTo(lookup.keyCheck):
		return a.refuseKey(w, foreignJob)
	}
	if limit := time.Duration(callerTimeoutShare * float64(lookup.queue.Timeout)); limit > 0 {
		queueCtx, cancelQueueCtx := context.WithTimeout(ctx, limit)
		defer cancelQueueCtx()
		ctx = queueCtx
	}
	id := path[len(lookup.queue.PathPrefix):]
	if len(id) > maxJobIDBytes {
		return a.refuseID(w, r)
	}
	switch {
	case r.Method == http.MethodGet && id == "":
		return a.answerCount(ctx, w, lookup)
	case r.Method == http.MethodGet:
		return a.answerState(ctx, w, id, lookup)
	case r.Method == http.MethodPost && id != "":
		status := a.submit(ctx, w, r, id, lookup)
		if workspace := lookup.keyCheck.workspace; workspace != "" {
			a.engine.metrics.countSubmission(workspace, status)
		}
		return status
	case r.Method == http.MethodDelete && id != "":
		return a.cancel(ctx, w, id, lookup)
	default:
		return answer(w, http.StatusMethodNotAllowed, nil)
	}
}

// refuseID answers a request whose job id is longer than that of any accepted job.
func (a *callerAPI) refuseID(w http.ResponseWriter, r *http.Request) int {
	if r.Method == http.MethodPost {
		a.engine.metrics.rejections.WithLabelValues("invalid").Inc()
		return answer(w, http.StatusBadRequest, nil)
	}
	return answer(w, http.StatusGone, nil)
}

// timeLimit returns how long the daemon may take to answer a request.
func (a *callerAPI) timeLimit(r *http.Request) time.Duration {
	limit := a.engine.platform.CallerTimeout(r)
	if limit == 0 {
		return defaultAnswerTimeout
	}
	return time.Duration(callerTimeoutShare * float64(limit))
}

// lastStoreAnswer returns when the store last stored a record of this daemon or answered one of its
// calls. It shows that jobs can be stored, but not that this daemon has read the log to its end.
func (e *engine) lastStoreAnswer() time.Duration {
	return max(e.readToEndAt, time.Duration(e.writer.storedAt.Load()), time.Duration(e.store.confirmedAt.Load()))
}

// readState returns how far this daemon has read the log.
func (e *engine) readState() readState { return readState{e.state.NextOffset, e.readToEndAt} }

// lookup finds the queue that a path belongs to, the workspace of the key, and what is known about the
// job that the path names.
func (e *engine) lookup(host, path, key string) lookupResult {
	if e.config == nil {
		return lookupResult{}
	}
	result := lookupResult{
		version: e.config.Version, queue: e.config.Match(host, path), view: view{readState: e.readState()},
		logUnreachable: e.store.unresponsive() || bootclock.Now()-e.lastStoreAnswer() > logOutageThreshold, maxBodyBytes: maxBodyBytes, bodyTime: maxRequestTime,
	}
	if result.queue == nil {
		return result
	}
	result.keyCheck = e.checkKey(key, result.queue.Public, bootclock.Now())
	result.rate = e.keyring.Weight(result.keyCheck.workspace)
	result.cancellation = e.recordedCancellation(path[len(result.queue.PathPrefix):], result.keyCheck.workspace)
	if limit := e.config.Limits.Body; limit > 0 {
		result.maxBodyBytes = min(limit, maxBodyBytes)
	}
	if limit := e.config.Limits.IdleTimeout; limit > 0 {
		result.bodyTime = min(max(limit, leastBodyTime), maxRequestTime)
	}
	result.view = e.view(result.queue.Name, path[len(result.queue.PathPrefix):])
	return result
}

func (e *engine) recordedCancellation(id, workspace string) recordedCancellation {
	return recordedCancellation{
		withdrawn: e.state.Withdrawn(id, workspace),
		lately:    e.state.WithdrawnLately(id, workspace, bootclock.Now()),
		refused:   !e.state.AcceptsTombstone(workspace),
	}
}

// answerCount answers how many jobs of a queue are pending.
func (a *callerAPI) answerCount(ctx context.Context, w http.ResponseWriter, lookup lookupResult) int {
	src := sourceOfCount(lookup.readState, bootclock.Now())
	v := lookup.view
	if src == fromPeer {
		var err error
		if v, err = a.engine.consultClient.consult(ctx, lookup.queue.Name, "", false, maxConsultTries); err != nil {
			return a.rejectQuery(w, lookup, "", err)
		}
	}
	age, _ := v.readState.age(bootclock.Now())
	a.engine.log.Emit(evCountAnswered, "queue", lookup.queue.Name, "pending", v.Pending, "source", src.String(), "offset", v.readState.offset, "age_ms", age.Milliseconds())
	return answer(w, http.StatusOK, a.engine.platform.EncodePending(v.Pending))
}

// rejectQuery rejects a query whose correct answer this daemon could not determine.
func (a *callerAPI) rejectQuery(w http.ResponseWriter, lookup lookupResult, id string, err error) int {
	_, everRead := lookup.readState.age(bootclock.Now())
	a.engine.log.Emit(evQueryRejected, "queue", lookup.queue.Name, "job", id, "reason", err.Error(), "offset", lookup.readState.offset, "ever_read", everRead)
	a.engine.metrics.rejections.WithLabelValues("log not read").Inc()
	return reject(w, http.StatusServiceUnavailable)
}

// currentView returns what is known about a job, from the state of this daemon, after reading the
// log to its end, or from another daemon.
func (a *callerAPI) currentView(ctx context.Context, id string, lookup lookupResult) (view, error) {
	switch sourceOfState(lookup.readState, lookup.view, bootclock.Now()) {
	case fromPeer:
		if !lookup.Found {
			return a.engine.consultClient.consult(ctx, lookup.queue.Name, id, lookup.keyCheck.required, maxConsultTries)
		}
		if v, err := a.engine.consultClient.consult(ctx, lookup.queue.Name, id, lookup.keyCheck.required, 1); err == nil && v.Found {
			return v, nil
		}
		return lookup.view, nil // outdated, but correct as of the last read
	case fromLog:
		return a.refreshedView(ctx, id, lookup.queue.Name)
	default:
		return lookup.view, nil
	}
}

// refreshedView reads the log to its end first, so that a job is reported as unknown only if the
// log does not contain it.
func (a *callerAPI) refreshedView(ctx context.Context, id, queue string) (view, error) {
	type outcome struct {
		view
		ok bool
	}
	result, ok := query(ctx, a.engine, func(e *engine, reply chan<- outcome) {
		e.refresh(a.ctx, func(e *engine, ok bool) { reply <- outcome{e.view(queue, id), ok} })
	})
	if !ok || !result.ok && !result.Found {
		return view{}, fault.New(fault.Unavailable, "retry in a second", "the log was not read to its end in time")
	}
	return result.view, nil
}

func (a *callerAPI) answerState(ctx context.Context, w http.ResponseWriter, id string, lookup lookupResult) int {
	v, err := a.currentView(ctx, id, lookup)
	switch {
	case err != nil:
		return a.rejectQuery(w, lookup, id, err)
	case !v.Found && v.JobsLost:
		return a.rejectQuery(w, lookup, id, fault.New(fault.Unavailable, "submit the job again if it does not show up", "records of jobs were lost, which may have been those of this one"))
	case !v.Found:
		return answer(w, http.StatusGone, nil)
	case !v.openTo(lookup.keyCheck):
		return a.refuseKey(w, foreignJob)
	}
	return answer(w, http.StatusOK, a.engine.platform.EncodeState(v.Phase))
}

// decode decodes a body. Few bodies are decoded at a time, as what is made of one takes many times its size.
func (a *callerAPI) decode(body []byte) (flow.Submit, error) {
	a.engine.decoding <- struct{}{}
	defer func() { <-a.engine.decoding }()
	return a.engine.platform.DecodeJob(body)
}

func (a *callerAPI) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, lookup lookupResult) int {
	if lookup.Found {
		return answer(w, http.StatusOK, a.engine.platform.EncodeState(lookup.Phase))
	}
	body, status := a.readBody(ctx, w, r, &lookup)
	if status != 0 {
		return status
	}
	job, err := a.decode(body)
	if err != nil {
		a.engine.log.Emit(evJobRejected, "job", id, "queue", lookup.queue.Name, "reason", err.Error())
		a.engine.metrics.rejections.WithLabelValues("invalid").Inc()
		return answer(w, http.StatusBadRequest, nil)
	}
	if lookup.logUnreachable {
		a.engine.log.Emit(evJobRejected, "job", id, "queue", lookup.queue.Name, "reason", "the log does not answer", "version", lookup.version)
		a.engine.metrics.rejections.WithLabelValues("log away").Inc()
		return rejectWithRetryAfter(w, http.StatusServiceUnavailable, logOutageRetryAfter)
	}
	job.ID, job.Queue, job.Pool, job.Workspace, job.Config = id, lookup.queue.Name, lookup.queue.Pool, lookup.keyCheck.workspace, lookup.version
	job.MaxAttempts, job.AtMS, job.Rate = lookup.queue.MaxAttempts, time.Now().UnixMilli(), lookup.rate
	isForeign := a.consultOwner(ctx, id, lookup)
	appendStart := bootclock.Now()
	err = a.engine.writer.append(ctx, &flow.Record{Submit: &job}, remaining(ctx))
	appendTime := bootclock.Now() - appendStart
	switch {
	case err == nil && isForeign():
		return a.refuseKey(w, foreignJob) // the earlier submission of the id counts
	case err == nil && lookup.cancellation.withdrawn:
		a.engine.log.Emit(evJobCancelled, "job", id, "queue", lookup.queue.Name, "version", lookup.version, "before_submission", true)
		return answer(w, http.StatusOK, a.engine.platform.EncodeState(flow.Cancelled))
	case err == nil:
		a.engine.log.Emit(evJobAccepted, "job", id, "queue", lookup.queue.Name, "version", lookup.version, "append_ms", appendTime.Milliseconds())
		return answer(w, http.StatusOK, a.engine.platform.EncodeState(flow.Queued))
	case fault.Is(err, fault.Refused):
		a.engine.metrics.rejections.WithLabelValues("not stored").Inc()
		a.engine.log.Emit(evJobRejected, "job", id, "queue", lookup.queue.Name, "reason", err.Error(), "append_ms", appendTime.Milliseconds())
		return reject(w, http.StatusServiceUnavailable)
	default:
		a.engine.metrics.rejections.WithLabelValues("outcome unknown").Inc()
		a.engine.log.Emit(evJobOutcomeUnknown, "job", id, "queue", lookup.queue.Name, "reason", err.Error(), "append_ms", appendTime.Milliseconds())
		return answer(w, http.StatusGatewayTimeout, nil)
	}
}

func (a *callerAPI) cancel(ctx context.Context, w http.ResponseWriter, id string, lookup lookupResult) int {
	v := lookup.view
	if !v.Found {
		if lookup.cancellation.lately {
			return answer(w, http.StatusGone, nil)
		}
		var err error
		if v, err = a.currentView(ctx, id, lookup); err != nil {
			return a.rejectQuery(w, lookup, id, err)
		}
	}
	switch {
	case !v.Found:
		return a.cancelUnknown(ctx, w, id, lookup, v)
	case !v.openTo(lookup.keyCheck):
		return a.refuseKey(w, foreignJob)
	case v.Phase.Final():
		return answer(w, http.StatusOK, a.engine.platform.EncodeState(v.Phase))
	}
	if status := a.appendCancel(ctx, w, flow.Cancel{ID: id}, lookup); status != 0 {
		return status
	}
	a.engine.log.Emit(evJobCancelled, "job", id, "queue", lookup.queue.Name, "version", lookup.version, "before_submission", false)
	return answer(w, http.StatusOK, a.engine.platform.EncodeState(flow.Cancelled))
}

// cancelUnknown cancels a job that the log does not contain. Its submission may still be under way, so the caller is
// told that no such job exists only once the log has a cancellation for a late submission to meet.
func (a *callerAPI) cancelUnknown(ctx context.Context, w http.ResponseWriter, id string, lookup lookupResult, v view) int {
	if lookup.cancellation.refused {
		a.engine.log.Emit(evCancelRejected, "job", id, "queue", lookup.queue.Name, "reason", "too many jobs were cancelled that the log does not contain", "version", lookup.version)
		a.engine.metrics.rejections.WithLabelValues("too many cancellations").Inc()
		return reject(w, http.StatusServiceUnavailable)
	}
	if status := a.appendCancel(ctx, w, flow.Cancel{ID: id, Absent: true, Workspace: lookup.keyCheck.workspace}, lookup); status != 0 {
		return status
	}
	a.engine.log.Emit(evCancelUnknown, "job", id, "queue", lookup.queue.Name, "offset", v.readState.offset)
	return answer(w, http.StatusGone, nil)
}

// appendCancel stores a cancellation. Unless it is stored, it answers the caller and returns the status.
func (a *callerAPI) appendCancel(ctx context.Context, w http.ResponseWriter, cancel flow.Cancel, lookup lookupResult) int {
	if lookup.logUnreachable {
		a.engine.log.Emit(evCancelRejected, "job", cancel.ID, "queue", lookup.queue.Name, "reason", "the log does not answer", "version", lookup.version)
		a.engine.metrics.rejections.WithLabelValues("log away").Inc()
		return rejectWithRetryAfter(w, http.StatusServiceUnavailable, logOutageRetryAfter)
	}
	cancel.AtMS = time.Now().UnixMilli()
	err := a.engine.writer.append(ctx, &flow.Record{Cancel: &cancel}, remaining(ctx))
	switch {
	case fault.Is(err, fault.Refused):
		a.engine.metrics.rejections.WithLabelValues("not stored").Inc()
		a.engine.log.Emit(evCancelRejected, "job", cancel.ID, "queue", lookup.queue.Name, "reason", err.Error(), "version", lookup.version)
		return reject(w, http.StatusServiceUnavailable)
	case err != nil:
		a.engine.metrics.rejections.WithLabelValues("outcome unknown").Inc()
		a.engine.log.Emit(evCancelOutcomeUnknown, "job", cancel.ID, "queue", lookup.queue.Name, "reason", err.Error(), "version", lookup.version)
		return answer(w, http.StatusGatewayTimeout, nil)
	}
	return 0
}

// remaining returns the time limit of an append: 50 ms less than the request has left. The 50 ms
// are for writing the answer.
func remaining(ctx context.Context) time.Duration {
	deadline, set := ctx.Deadline()
	if !set {
		return defaultAnswerTimeout
	}
	return time.Until(deadline) - 50*time.Millisecond
}

// reject answers a request that was not executed. The Retry-After header states when the caller may
// retry.
func reject(w http.ResponseWriter, status int) int {
	return rejectWithRetryAfter(w, status, defaultRetryAfter)
}

func rejectWithRetryAfter(w http.ResponseWriter, status int, retryAfter time.Duration) int {
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	return answer(w, status, nil)
}

func answer(w http.ResponseWriter, status int, body []byte) int {
	if body != nil {
		w.Header()["Content-Type"] = []string{"application/json"}
	}
	w.WriteHeader(status)
	if body != nil {
		_, _ = w.Write(body) // fails if the caller has closed the connection
	}
	return status
}
