package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's metadata store, as in the settings that DEPLOY.md shows.
const (
	recordBytes   = 262_144 // longest record
	callBytes     = 2_097_152
	appendTime    = 3 * time.Millisecond // a partition takes one append at a time
	maxListItems  = 500
	maxListBytes  = 1 << 20
	maxReadWaitMS = 30_000
)

// store is a stand-in for the platform's metadata store in its log form (PROTOCOL.md, "The
// platform's metadata store"). It loses nothing that it has acknowledged; records expire after
// keep, but the newest record of each key of a keyed topic stays.
type store struct {
	keep time.Duration

	mu         sync.Mutex
	partitions map[string]*storePartition
}

type storeRecord struct {
	data     []byte
	storedAt time.Time
}

type storePartition struct {
	mu        sync.Mutex // held during an append, which takes appendTime
	records   []storeRecord
	first     int // oldest offset that is retained
	newest    map[string]int
	producers map[string]*storeProducer
	changed   chan struct{} // closed at each append
}

type storeProducer struct {
	epoch, next int64
	answered    map[int64]int64 // offsets by sequence number; the last five are kept
}

func newStore(keep time.Duration) *store {
	return &store{keep: keep, partitions: map[string]*storePartition{}}
}

func (s *store) partition(topic, part string) *storePartition {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &storePartition{newest: map[string]int{}, producers: map[string]*storeProducer{}, changed: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

// put writes a value as the operator or a worker does. An empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	p := s.partition(topic, "0")
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.add(true, append(record, value...))
}

// add appends a record. The caller holds the store's lock.
func (p *storePartition) add(keyed bool, record []byte) {
	if keyed {
		p.newest[string(record[1:1+int(record[0])])] = len(p.records)
	}
	p.records = append(p.records, storeRecord{record, time.Now()})
	close(p.changed)
	p.changed = make(chan struct{})
}

// expire drops records older than keep. The caller holds the store's lock.
func (p *storePartition) expire(keep time.Duration) {
	for p.first < len(p.records) && time.Since(p.records[p.first].storedAt) > keep {
		p.first++
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic, part := q.Get("Topic"), q.Get("part")
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, topic, part)
	case "/log-read":
		s.read(w, r, topic, part)
	case "/log-newest":
		s.listNewest(w, q.Get("StartAfter"), topic, part)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func splitRecords(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || n > len(body)-4 {
			return nil, false
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic, part string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 4*callBytes))
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, ok := splitRecords(body)
	if !ok || len(body) > callBytes {
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]any{"Reason": "size"})
		return
	}
	q := r.URL.Query()
	p := s.partition(topic, part)
	p.mu.Lock()
	defer p.mu.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var producer *storeProducer
	sequence, _ := strconv.ParseInt(q.Get("Sequence"), 10, 64)
	if name := q.Get("Producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		producer = p.producers[name]
		if producer == nil || epoch > producer.epoch {
			producer = &storeProducer{epoch: epoch, next: sequence, answered: map[int64]int64{}}
			p.producers[name] = producer
		}
		if epoch < producer.epoch {
			writeJSON(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
			return
		}
		if offset, repeated := producer.answered[sequence]; repeated {
			writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(p.records)})
			return
		}
		if sequence != producer.next {
			writeJSON(w, http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": producer.next})
			return
		}
	}
	offset := int64(len(p.records))
	for _, record := range records {
		p.add(strings.HasPrefix(topic, "keyed."), slices.Clone(record))
	}
	if producer != nil && len(records) > 0 {
		producer.answered[sequence], producer.next = offset, sequence+1
		delete(producer.answered, sequence-5)
	}
	writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(p.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic, part string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	waitMS, _ := strconv.Atoi(q.Get("WaitMs"))
	maxKB, err := strconv.Atoi(q.Get("MaxKb"))
	if err != nil {
		maxKB = 1024
	}
	timer := time.NewTimer(time.Duration(min(waitMS, maxReadWaitMS)) * time.Millisecond)
	defer timer.Stop()
	p := s.partition(topic, part)
	for waiting := true; ; {
		s.mu.Lock()
		p.expire(s.keep)
		first, end, changed := p.first, len(p.records), p.changed
		var page []storeRecord
		if from >= first && from < end {
			page = p.records[from:end]
		}
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]any{"First": first})
			return
		}
		if len(page) > 0 || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for i, record := range page {
				if i > 0 && len(out)+4+len(record.data) > maxKB<<10 {
					break
				}
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(record.data))), record.data...)
			}
			_, _ = w.Write(out) // the client may have left
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) listNewest(w http.ResponseWriter, after, topic, part string) {
	p := s.partition(topic, part)
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		value := p.records[p.newest[key]].data[1+len(key):]
		if len(value) == 0 || key <= after {
			continue
		}
		text := base64.StdEncoding.EncodeToString(value)
		if len(items) == maxListItems || len(items) > 0 && size+len(text) > maxListBytes {
			more = true
			break
		}
		size += len(text)
		items = append(items, map[string]any{"Key": key, "Value": text, "Offset": p.newest[key]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": len(p.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client may have left
}
