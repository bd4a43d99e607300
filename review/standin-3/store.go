package main

import (
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

// Times and limits of the store, as the settings of a small site give them.
const (
	storeAnswerTime = 4 * time.Millisecond
	appendTime      = 3 * time.Millisecond
	recordBytes     = 262144
	callBytes       = 2097152
	maxItems        = 500
	maxItemBytes    = 1 << 20
)

// store is the platform's log store, as the pages describe it. It loses nothing that it has acknowledged.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	producers  map[string]*producer
	changed    chan struct{}
	appends    int           // calls so far
	retention  time.Duration // age at which records expire; 0 keeps all
	// late returns by how much an append of callers' or daemons' records is late: it is carried out then, and not
	// answered. 0 is not late. It is called with mu held; nil means that none is.
	late func() time.Duration
}

type partition struct {
	records    [][]byte
	appendedAt []time.Time
	first      int            // oldest retained offset
	newest     map[string]int // of a keyed topic: offset of each key's newest record
	appending  sync.Mutex     // one append at a time
}

type producer struct {
	epoch, next int64
	offsets     map[int64]int64 // of the last appends, by sequence
}

func newStore() *store {
	return &store{partitions: map[string]*partition{}, producers: map[string]*producer{}, changed: make(chan struct{})}
}

func (s *store) partition(name string) *partition {
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]int{}}
		s.partitions[name] = p
	}
	return p
}

// put writes a record of the operator or of a worker. A nil value removes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addRecord(topic+"/0", append(append([]byte{byte(len(key))}, key...), value...))
}

// addRecord is called with mu held.
func (s *store) addRecord(name string, record []byte) {
	p := s.partition(name)
	if strings.HasPrefix(name, "keyed.") {
		p.newest[string(record[1:1+int(record[0])])] = len(p.records)
	}
	p.records, p.appendedAt = append(p.records, record), append(p.appendedAt, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire drops records older than the retention time. It is called with mu held.
func (s *store) expire(p *partition) {
	if s.retention <= 0 {
		return
	}
	for p.first < len(p.records) && time.Since(p.appendedAt[p.first]) > s.retention {
		p.first++
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	name := r.URL.Query().Get("Topic") + "/" + r.URL.Query().Get("part")
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, name)
	case "/log-read":
		s.serveRead(w, r, name)
	case "/log-newest":
		s.serveNewest(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// splitRecords returns the records of an append's body, and false if it is malformed or too large.
func splitRecords(body []byte) ([][]byte, bool) {
	if len(body) > callBytes {
		return nil, false
	}
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || n > len(body)-4 {
			return nil, false
		}
		records, body = append(records, slices.Clone(body[4:4+n])), body[4+n:]
	}
	return records, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if name == "keyed.op/0" || name == "keyed.servers/0" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, ok := splitRecords(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	appending := &s.partition(name).appending
	s.appends++
	if s.late != nil && r.URL.Query().Get("Producer") == "" {
		if delay := s.late(); delay > 0 {
			s.mu.Unlock()
			time.AfterFunc(delay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				for _, record := range records {
					s.addRecord(name, record)
				}
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	s.mu.Unlock()
	appending.Lock()
	defer appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("Sequence"), 10, 64)
	var p *producer
	if id := q.Get("Producer"); id != "" {
		p = s.producers[name+" "+id]
		switch {
		case p == nil:
			p = &producer{epoch: epoch, next: sequence, offsets: map[int64]int64{}}
			s.producers[name+" "+id] = p
		case epoch < p.epoch:
			answerJSON(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
			return
		case epoch > p.epoch:
			*p = producer{epoch: epoch, next: sequence, offsets: map[int64]int64{}}
		}
		if offset, repeated := p.offsets[sequence]; repeated {
			answerJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(s.partition(name).records)})
			return
		}
		if sequence != p.next {
			answerJSON(w, http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": p.next})
			return
		}
	}
	offset := int64(len(s.partition(name).records))
	for _, record := range records {
		s.addRecord(name, record)
	}
	if p != nil && len(records) > 0 {
		p.offsets[sequence], p.next = offset, sequence+1
		delete(p.offsets, sequence-5)
	}
	answerJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(s.partition(name).records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	waitMS, _ := strconv.Atoi(q.Get("WaitMs"))
	maxKB, err := strconv.Atoi(q.Get("MaxKb"))
	if err != nil {
		maxKB = 1024
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for waited := false; ; {
		s.mu.Lock()
		p := s.partition(name)
		s.expire(p)
		records, first, changed := p.records, p.first, s.changed
		s.mu.Unlock()
		if from < first {
			answerJSON(w, http.StatusGone, map[string]any{"First": first})
			return
		}
		if len(records) > from || waited {
			writePage(w, records, from, first, maxKB<<10)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func writePage(w http.ResponseWriter, records [][]byte, from, first, maxBytes int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for i, record := range records[min(from, len(records)):] {
		if i > 0 && len(out)+4+len(record) > maxBytes {
			break
		}
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
	}
	_, _ = w.Write(out) // The client may have gone.
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
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
		if more = len(items) == maxItems || len(items) > 0 && size+len(value) > maxItemBytes; more {
			break
		}
		size += len(value)
		items = append(items, map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString(value), "Offset": offset})
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": len(p.records)})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // The client may have gone.
}
