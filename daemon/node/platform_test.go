package node

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"briarproxy/core/resource"
	"briarproxy/core/wire"
)

// platform is a log service, a VM list and one worker, with what the node needs of
// their protocols.
type platform struct {
	address string
	began   time.Time
	entered chan struct{} // a request has started on the worker
	release chan struct{} // lets it end
	endOnce sync.Once
	mu      sync.Mutex
	streams map[string][]wire.LogRecord
	epoch   int64
}

func newPlatform() *platform {
	return &platform{began: time.Now(), entered: make(chan struct{}, 1), release: make(chan struct{}), streams: map[string][]wire.LogRecord{}}
}

// end lets requests on the worker end.
func (p *platform) end() { p.endOnce.Do(func() { close(p.release) }) }

func (p *platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{name}/records", p.append)
	mux.HandleFunc("GET /v1/streams/{name}/records", p.read)
	mux.HandleFunc("GET /v1/vms", p.vms)
	mux.HandleFunc("POST /v1/fence", p.fence)
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { answer(w, p.report()) })
	mux.HandleFunc("POST /v1/start", p.start)
	mux.HandleFunc("POST /v1/stop", func(w http.ResponseWriter, _ *http.Request) { answer(w, wire.StopReply{State: wire.RunRunning}) })
	mux.HandleFunc("POST /v1/ack", func(http.ResponseWriter, *http.Request) {})
	return mux
}

func answer(w http.ResponseWriter, reply any) { _ = json.NewEncoder(w).Encode(reply) }

func (p *platform) publish(stream string, data []byte) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	offset := int64(len(p.streams[stream]) + 1)
	p.streams[stream] = append(p.streams[stream], wire.LogRecord{Offset: offset, Data: data})
	return offset
}

func (p *platform) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer(w, wire.AppendReply{Offset: p.publish(r.PathValue("name"), data)})
}

func (p *platform) records(stream string, from int) []wire.LogRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streams[stream][min(from-1, len(p.streams[stream])):]
}

func (p *platform) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	limit, _ := strconv.Atoi(r.URL.Query().Get("max"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	records := p.records(r.PathValue("name"), from)
	for len(records) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		time.Sleep(5 * time.Millisecond)
		records = p.records(r.PathValue("name"), from)
	}
	next := int64(len(p.records(r.PathValue("name"), 1)) + 1)
	answer(w, wire.ReadReply{First: 1, Next: next, Records: records[:min(limit, len(records))]})
}

func (p *platform) vms(w http.ResponseWriter, _ *http.Request) {
	answer(w, wire.VMList{VMs: []wire.VM{{
		Name: "vm", Address: p.address, Role: wire.RoleWorker, State: wire.VMLive,
		Region: "r", DataCentre: "d", Rack: "k", Capacity: resource.Vector{Slots: 2},
	}}})
}

func (p *platform) fence(w http.ResponseWriter, r *http.Request) {
	var msg wire.Fence
	_ = json.NewDecoder(r.Body).Decode(&msg)
	p.mu.Lock()
	p.epoch = max(p.epoch, msg.Epoch)
	p.mu.Unlock()
	answer(w, p.report())
}

func (p *platform) report() wire.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return wire.Report{
		VM: "vm", Incarnation: 1, Epoch: p.epoch, ClockMS: time.Since(p.began).Milliseconds(), Capacity: resource.Vector{Slots: 2},
	}
}

func (p *platform) start(w http.ResponseWriter, r *http.Request) {
	var msg wire.Start
	_ = json.NewDecoder(r.Body).Decode(&msg)
	p.entered <- struct{}{}
	<-p.release
	body := []byte("the whole answer")
	digest := sha256.Sum256(body)
	answer(w, wire.StartReply{Result: &wire.Result{
		ID: msg.ID, Generation: msg.Generation, State: wire.RunFinished, Length: int64(len(body)),
		Digest: hex.EncodeToString(digest[:]), Body: body,
	}})
}
