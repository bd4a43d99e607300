package platform

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

// Limits of one answer.
const (
	usualKB   = 1024 // of a read that names no limit
	listItems = 500
	listBytes = 1 << 20
)

// Store is the log service.
type Store struct {
	mu       sync.Mutex
	parts    map[string]*part
	producer map[string]*producer
	changed  chan struct{}
	down     bool
	lose     int // answers of appends to lose
	calls    int
}

type part struct {
	records [][]byte
	first   int            // older records have expired
	newest  map[string]int // keyed topics: offset of the newest record of a key
}

type producer struct {
	epoch    int64
	next     int64
	answered map[int64]int64 // sequence -> offset
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{parts: map[string]*part{}, producer: map[string]*producer{}, changed: make(chan struct{})}
}

// SetDown makes the store refuse every call.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseAnswers makes the next n appends take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Expire drops the records of a topic's first partition but for the newest ones.
func (s *Store) Expire(topic string, keep int) { s.ExpirePart(topic, 0, keep) }

// ExpirePart is Expire for another partition.
func (s *Store) ExpirePart(topic string, number, keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic + "/" + strconv.Itoa(number))
	p.first = max(p.first, len(p.records)-keep)
}

// Calls returns the number of calls served.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key of a keyed topic; an empty value drops it.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic+"/0", append(record, value...))
}

// add appends a record. The caller holds the lock.
func (s *Store) add(name string, record []byte) {
	p := s.part(name)
	if strings.HasPrefix(name, "keyed.") {
		p.newest[string(record[1:1+int(record[0])])] = len(p.records)
	}
	p.records = append(p.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) part(name string) *part {
	p := s.parts[name]
	if p == nil {
		p = &part{newest: map[string]int{}}
		s.parts[name] = p
	}
	return p
}

// Records returns the records of a topic's first partition.
func (s *Store) Records(topic string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]byte(nil), s.part(topic+"/0").records...)
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down := s.down
	s.mu.Unlock()
	if down {
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
		s.list(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

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
		p = s.producer[name+id]
		if p == nil {
			p = &producer{epoch: epoch, next: sequence, answered: map[int64]int64{}}
			s.producer[name+id] = p
		}
		switch {
		case epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
			return
		case epoch > p.epoch:
			*p = producer{epoch: epoch, next: sequence, answered: map[int64]int64{}}
		}
		if offset, again := p.answered[sequence]; again {
			reply(w, http.StatusOK, map[string]any{"Offset": offset})
			return
		}
		if sequence != p.next {
			reply(w, http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": p.next})
			return
		}
	}
	offset := int64(len(s.part(name).records))
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.add(name, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	if p != nil {
		p.answered[sequence], p.next = offset, sequence+1
	}
	if s.lose > 0 {
		s.lose--
		panic(http.ErrAbortHandler) // the append took effect, its answer is lost
	}
	reply(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(s.part(name).records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("From"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	most, err := strconv.Atoi(r.URL.Query().Get("MaxKb"))
	if err != nil {
		most = usualKB
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		records, first, changed := s.part(name).records, s.part(name).first, s.changed
		s.mu.Unlock()
		if from < first {
			reply(w, http.StatusGone, map[string]any{"First": first})
			return
		}
		if len(records) > from {
			writePage(w, records, from, first, most<<10)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writePage(w, records, from, first, most<<10)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writePage writes whole records up to a number of bytes, one at least.
func writePage(w http.ResponseWriter, records [][]byte, from, first, most int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for i, record := range records[min(from, len(records)):] {
		if i > 0 && len(out)+4+len(record) > most {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	_, _ = w.Write(out) // the reader may have left
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, name string) {
	after := r.URL.Query().Get("StartAfter")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(name)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		offset := p.newest[key]
		value := p.records[offset][1+len(key):]
		if len(value) == 0 || key <= after {
			continue
		}
		encoded := base64.StdEncoding.EncodeToString(value)
		if more = len(items) == listItems || len(items) > 0 && size+len(encoded) > listBytes; more {
			break
		}
		size += len(encoded)
		items = append(items, map[string]any{"Key": key, "Value": encoded, "Offset": offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": len(p.records)})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have left
}
