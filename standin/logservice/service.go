package logservice

import (
	"errors"
	"io"
	"math"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"time"

	"briarproxy/core/wire"
	"briarproxy/standin/internal/httpjson"
)

// Defaults and limits of the service.
const (
	DefaultAppendsPerSecond = 400
	MaxRecordBytes          = 1 << 20
	maxReplyBytes           = 4 << 20
	defaultReadMax          = 1000
	maxWait                 = 60 * time.Second
	burst                   = 100 * time.Millisecond // appends of this time may come at once
	retryAfterSeconds       = 1
)

// Options configure a Service. Zero values mean the defaults.
type Options struct {
	AppendsPerSecond float64          // over all streams; 0: DefaultAppendsPerSecond, negative: no cap
	RetainFor        time.Duration    // 0: for good
	RetainCount      int              // records of a stream; 0: all
	Now              func() time.Time // 0: time.Now
}

// Stats answers GET /control/stats. Counts are since the start.
type Stats struct {
	Appends        int64                  `json:"appends"` // that took effect
	AppendsLimited int64                  `json:"appends_limited"`
	AppendsFailed  int64                  `json:"appends_failed"` // met an outage
	AnswersLost    int64                  `json:"answers_lost"`
	AppendedBytes  int64                  `json:"appended_bytes"`
	Reads          int64                  `json:"reads"`
	ReadsFailed    int64                  `json:"reads_failed"`
	ReadRecords    int64                  `json:"read_records"`
	ReadBytes      int64                  `json:"read_bytes"`
	Streams        map[string]StreamStats `json:"streams"`
}

// StreamStats describes one stream.
type StreamStats struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
	Bytes int64 `json:"bytes"`
}

// Service is the log service. It is an http.Handler.
type Service struct {
	mux     *http.ServeMux
	options Options

	mu       sync.Mutex
	streams  map[string]*stream
	faults   faults
	interval time.Duration // between appends at the cap; 0: no cap
	nextSlot time.Time     // when the next append is due at the cap
	stats    Stats
}

// New returns an empty log service.
func New(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.AppendsPerSecond == 0 {
		options.AppendsPerSecond = DefaultAppendsPerSecond
	}
	s := &Service{mux: http.NewServeMux(), options: options, streams: map[string]*stream{}}
	s.faults.changed = make(chan struct{})
	s.faults.random = rand.New(rand.NewSource(1))
	s.setLimits(Limits{AppendsPerSecond: options.AppendsPerSecond})
	s.mux.HandleFunc("POST /v1/streams/{name}/records", s.handleAppend)
	s.mux.HandleFunc("GET /v1/streams/{name}/records", s.handleRead)
	s.mux.HandleFunc("POST /control/outage", httpjson.ControlHandler(s.SetOutage))
	s.mux.HandleFunc("POST /control/delay", httpjson.ControlHandler(s.SetDelay))
	s.mux.HandleFunc("POST /control/lose", httpjson.ControlHandler(s.SetLose))
	s.mux.HandleFunc("POST /control/limits", httpjson.ControlHandler(s.SetLimits))
	s.mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Stats())
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetOutage starts or ends an outage. Reads that wait meet it at once.
func (s *Service) SetOutage(o Outage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.setOutage(o, s.options.Now())
}

// SetDelay sets the added delays.
func (s *Service) SetDelay(d Delay) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
	return nil
}

// SetLose sets which appends lose their answer.
func (s *Service) SetLose(l Lose) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.setLose(l)
}

// SetLimits changes the cap on appends.
func (s *Service) SetLimits(l Limits) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLimits(l)
	return nil
}

func (s *Service) setLimits(l Limits) {
	s.interval = 0
	if l.AppendsPerSecond > 0 {
		s.interval = time.Duration(float64(time.Second) / l.AppendsPerSecond)
	}
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Streams = make(map[string]StreamStats, len(s.streams))
	for name, st := range s.streams {
		st.expire(s.options.Now(), s.options.RetainFor, s.options.RetainCount)
		stats.Streams[name] = StreamStats{First: st.first, Next: st.next(), Bytes: st.bytes}
	}
	return stats
}

// allow takes one append from the cap.
func (s *Service) allow(now time.Time) bool {
	if s.interval == 0 {
		return true
	}
	if s.nextSlot.Before(now.Add(-burst)) {
		s.nextSlot = now.Add(-burst)
	}
	if s.nextSlot.After(now) {
		return false
	}
	s.nextSlot = s.nextSlot.Add(s.interval)
	return true
}

// stream returns the stream of a name. Streams come into being with their first use.
func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// meetsOutage answers a request that meets an outage and reports whether it did.
func (s *Service) meetsOutage(w http.ResponseWriter, r *http.Request, scope Scope, count *int64) bool {
	s.mu.Lock()
	mode := s.faults.down(scope, s.options.Now())
	if mode != "" {
		*count++
	}
	s.mu.Unlock()
	switch mode {
	case OutageRefuse:
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
		httpjson.WriteError(w, http.StatusServiceUnavailable, "the log service is down")
		return true
	case OutageHang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return false
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRecordBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		httpjson.WriteError(w, http.StatusRequestEntityTooLarge, "a record has at most %d bytes", MaxRecordBytes)
		return
	case err != nil:
		httpjson.WriteError(w, http.StatusBadRequest, "read record: %v", err)
		return
	}
	if s.meetsOutage(w, r, ScopeAppends, &s.stats.AppendsFailed) {
		return
	}
	delay := s.currentDelay()
	gone := sleep(r, delay.AppendMS)
	if gone && !delay.LateEffect {
		panic(http.ErrAbortHandler)
	}
	offset, lost, ok := s.append(r.PathValue("name"), data)
	if !ok {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
		httpjson.WriteError(w, http.StatusTooManyRequests, "over the cap of appends a second")
		return
	}
	if sleep(r, delay.AnswerMS) || lost {
		panic(http.ErrAbortHandler)
	}
	httpjson.Write(w, http.StatusOK, wire.AppendReply{Offset: offset})
}

func (s *Service) append(name string, data []byte) (offset int64, lost, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if !s.allow(now) {
		s.stats.AppendsLimited++
		return 0, false, false
	}
	st := s.stream(name)
	offset = st.append(data, now)
	st.expire(now, s.options.RetainFor, s.options.RetainCount)
	s.stats.Appends++
	s.stats.AppendedBytes += int64(len(data))
	lost = s.faults.loses()
	if lost {
		s.stats.AnswersLost++
	}
	return offset, lost, true
}

// readQuery is a parsed read.
type readQuery struct {
	name  string
	from  int64
	limit int64
	wait  time.Duration
}

func parseRead(r *http.Request) (readQuery, error) {
	from, err := httpjson.QueryInt(r, "from", 1)
	if err != nil {
		return readQuery{}, err
	}
	limit, err := httpjson.QueryInt(r, "max", defaultReadMax)
	if err != nil {
		return readQuery{}, err
	}
	if limit == 0 {
		limit = defaultReadMax
	}
	waitMS, err := httpjson.QueryInt(r, "wait_ms", 0)
	if err != nil {
		return readQuery{}, err
	}
	wait := time.Duration(min(waitMS, maxWait.Milliseconds())) * time.Millisecond
	return readQuery{name: r.PathValue("name"), from: from, limit: limit, wait: wait}, nil
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	query, err := parseRead(r)
	if err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	timeout := time.NewTimer(query.wait)
	defer timeout.Stop()
	expired := query.wait == 0
	for {
		if s.meetsOutage(w, r, ScopeReads, &s.stats.ReadsFailed) {
			return
		}
		reply, grown, changed := s.read(query)
		if len(reply.Records) > 0 || expired {
			if sleep(r, s.currentDelay().ReadMS) {
				panic(http.ErrAbortHandler)
			}
			s.countRead(reply)
			httpjson.Write(w, http.StatusOK, reply)
			return
		}
		select {
		case <-grown:
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Service) read(query readQuery) (reply wire.ReadReply, grown, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(query.name)
	st.expire(s.options.Now(), s.options.RetainFor, s.options.RetainCount)
	return st.read(query.from, min(query.limit, math.MaxInt32), maxReplyBytes), st.grown, s.faults.changed
}

func (s *Service) countRead(reply wire.ReadReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	s.stats.ReadRecords += int64(len(reply.Records))
	for _, r := range reply.Records {
		s.stats.ReadBytes += int64(len(r.Data))
	}
}

func (s *Service) currentDelay() Delay {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.delay
}

// sleep waits and reports whether the client went away meanwhile. It waits the
// whole time in both cases, as a slow service does.
func sleep(r *http.Request, ms int64) (gone bool) {
	if ms > 0 {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	return r.Context().Err() != nil
}
