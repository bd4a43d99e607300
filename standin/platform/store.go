package platform

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of one response.
const (
	defaultReadKB = 1024 // defaultReadKB limits reads that set no limit of their own.
	maxListItems  = 500
	maxListBytes  = 1 << 20
)

// Store simulates the platform's log store.
type Store struct {
	mu                  sync.Mutex
	partitions          map[string]*partition
	producers           map[string]*producer
	changed             chan struct{}
	unavailable         bool
	appendRepliesToLose int           // appendRepliesToLose is the number of coming appends that get no response.
	retention           time.Duration // retention is how long records are kept; 0 keeps them until Expire.
	clock               time.Duration // clock is the store's time; see RetainFor.
	holdsAppends        bool
	heldAppends         []heldAppend
	calls               int
}

// heldAppend is an append that got no response and is carried out later.
type heldAppend struct {
	partition string
	body      []byte
}

// partition is one partition of a topic.
type partition struct {
	records  [][]byte
	storedAt []time.Duration // storedAt holds the store's time of each record.
	first    int             // first is the oldest retained offset.
	newest   map[string]int  // newest maps the keys of a keyed topic to the offsets of their newest records.
}

// expireBefore expires the records that were stored before a time of the store.
func (p *partition) expireBefore(limit time.Duration) {
	for p.first < len(p.records) && p.storedAt[p.first] < limit {
		p.first++
	}
}

// producer is the state of a fenced writer in one partition.
type producer struct {
	epoch        int64
	nextSequence int64
	offsets      map[int64]int64 // offsets maps the sequence numbers of answered appends to their offsets.
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{partitions: map[string]*partition{}, producers: map[string]*producer{}, changed: make(chan struct{})}
}

// SetUnavailable makes the store reject every call with status 503, or accept calls again.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// LoseAppendReplies makes the next n appends take effect without a response.
func (s *Store) LoseAppendReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRepliesToLose = n
}

// clockTick is the step of the store's clock.
const clockTick = 20 * time.Millisecond

// RetainFor makes all records expire when they are older than the given time, until the context ends. The store's clock
// goes on by a tick at a time and so stands still while this process does: no record expires that the store could not serve.
func (s *Store) RetainFor(ctx context.Context, retention time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = retention
	go func() {
		ticker := time.NewTicker(clockTick)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				s.mu.Lock()
				s.clock += clockTick
				s.mu.Unlock()
			}
		}
	}()
}

// HoldAppends makes the store hold back all appends without a producer and leave them unanswered, until
// AnswerAppends.
func (s *Store) HoldAppends() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdsAppends = true
}

// AnswerAppends makes the store answer coming appends again. Those held back stay so.
func (s *Store) AnswerAppends() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdsAppends = false
}

// CarryOutHeldAppends carries out the appends that were held back, and returns their number.
func (s *Store) CarryOutHeldAppends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.heldAppends
	s.heldAppends = nil
	for _, a := range held {
		s.appendRecords(a.partition, a.body)
	}
	return len(held)
}

// Expire expires all but the given number of newest records of a topic's partition 0.
func (s *Store) Expire(topic string, keep int) { s.ExpirePartition(topic, 0, keep) }

// ExpirePartition is like Expire, for any partition.
func (s *Store) ExpirePartition(topic string, number, keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic + "/" + strconv.Itoa(number))
	p.first = max(p.first, len(p.records)-keep)
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put sets the value of a key in partition 0 of a keyed topic. An empty value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecord(topic+"/0", append(record, value...))
}

// appendRecord appends a record to a partition. The caller must hold the lock.
func (s *Store) appendRecord(name string, record []byte) {
	p := s.partition(name)
	if strings.HasPrefix(name, "keyed.") {
		p.newest[string(record[1:1+int(record[0])])] = len(p.records)
	}
	p.records = append(p.records, record)
	p.storedAt = append(p.storedAt, s.clock)
	close(s.changed)
	s.changed = make(chan struct{})
}

// appendRecords appends the records of a request's body. The caller must hold the lock.
func (s *Store) appendRecords(name string, body []byte) {
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.appendRecord(name, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
}

// partition returns the partition with the given name, TOPIC/NUMBER, and creates it if it does
// not exist. The caller must hold the lock.
func (s *Store) partition(name string) *partition {
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]int{}}
		s.partitions[name] = p
	}
	return p
}

// Records returns all records of a topic's partition 0, expired ones included.
func (s *Store) Records(topic string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]byte(nil), s.partition(topic+"/0").records...)
}

// ServeHTTP serves the protocol of the log store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	unavailable := s.unavailable
	s.mu.Unlock()
	if unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := r.URL.Query().Get("Topic") + "/" + r.URL.Query().Get("part")
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, name)
	case "/log-read":
		s.read(w, r, name)
	case "/log-newest":
		s.listNewest(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// append serves an append. It rejects an older epoch of a producer and a gap in its sequence
// numbers, and answers a repeated sequence number with the offset of the first append.
func (s *Store) append(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	if name == "keyed.op/0" || name == "keyed.servers/0" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var p *producer
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("Sequence"), 10, 64)
	if id := q.Get("Producer"); id != "" {
		p = s.producers[name+id]
		if p == nil {
			p = &producer{epoch: epoch, nextSequence: sequence, offsets: map[int64]int64{}}
			s.producers[name+id] = p
		}
		switch {
		case epoch < p.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
			return
		case epoch > p.epoch:
			*p = producer{epoch: epoch, nextSequence: sequence, offsets: map[int64]int64{}}
		}
		if offset, repeated := p.offsets[sequence]; repeated {
			writeJSON(w, http.StatusOK, map[string]any{"Offset": offset})
			return
		}
		if sequence != p.nextSequence {
			writeJSON(w, http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": p.nextSequence})
			return
		}
	}
	if s.holdsAppends && p == nil {
		s.heldAppends = append(s.heldAppends, heldAppend{name, body})
		panic(http.ErrAbortHandler)
	}
	offset := int64(len(s.partition(name).records))
	s.appendRecords(name, body)
	if p != nil {
		p.offsets[sequence], p.nextSequence = offset, sequence+1
	}
	if s.appendRepliesToLose > 0 {
		s.appendRepliesToLose--
		panic(http.ErrAbortHandler) // The append took effect, but its response is lost.
	}
	writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(s.partition(name).records)})
}

// read serves a read. If there are no records, it waits for one up to the requested time.
func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("From"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	maxKB, err := strconv.Atoi(r.URL.Query().Get("MaxKb"))
	if err != nil {
		maxKB = defaultReadKB
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.retention > 0 {
			s.partition(name).expireBefore(s.clock - s.retention)
		}
		records, first, changed := s.partition(name).records, s.partition(name).first, s.changed
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]any{"First": first})
			return
		}
		if len(records) > from {
			writePage(w, records, from, first, maxKB<<10)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writePage(w, records, from, first, maxKB<<10)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writePage writes as many whole records as fit into a number of bytes, but at least one if there
// is one.
func writePage(w http.ResponseWriter, records [][]byte, from, first, maxBytes int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for i, record := range records[min(from, len(records)):] {
		if i > 0 && len(out)+4+len(record) > maxBytes {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	_, _ = w.Write(out) // The client may have disconnected.
}

// listNewest serves a page of keys with their newest values, sorted by key.
func (s *Store) listNewest(w http.ResponseWriter, r *http.Request, name string) {
	after := r.URL.Query().Get("StartAfter")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(name)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		offset := p.newest[key]
		value := p.records[offset][1+len(key):]
		if len(value) == 0 || key <= after {
			continue
		}
		encoded := base64.StdEncoding.EncodeToString(value)
		if more = len(items) == maxListItems || len(items) > 0 && size+len(encoded) > maxListBytes; more {
			break
		}
		size += len(encoded)
		items = append(items, map[string]any{"Key": key, "Value": encoded, "Offset": offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": len(p.records)})
}

// writeJSON sends a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // The client may have disconnected.
}
