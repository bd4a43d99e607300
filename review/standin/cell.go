package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"
)

// cell is a small deployment: the platform's store, the advice service and workers in this process,
// and the entry processes of the system as processes of their own.
type cell struct {
	*deployment
	store         *store
	fleet         *fleet
	storeAddress  string
	adviceAddress string
	servers       []*http.Server
}

const (
	host          = "cell.example"
	requestLimit  = 3 * time.Second // a requester's time limit, as X-Deadline-Ms
	maxRetries    = 4
	entryMachines = 7                // as on the site grenaille-sched
	storeHistory  = 20 * time.Second // "20 s of history" (SYSTEM.md); it is keep_s in the settings
)

func serveOn(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

func newCell(rec *recorder) (*cell, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	st := newStore(storeHistory)
	c := &cell{store: st, fleet: newFleet(st, rec)}
	c.deployment = &deployment{rec: rec, folder: folder, program: "target/briarproxyd", cell: c}
	for _, s := range []struct {
		handler http.Handler
		address *string
	}{{st, &c.storeAddress}, {http.HandlerFunc(c.fleet.adviser), &c.adviceAddress}} {
		server, address, err := serveOn(s.handler)
		if err != nil {
			return nil, err
		}
		*s.address = address
		c.servers = append(c.servers, server)
	}
	present.Store(c)
	return c, nil
}

// stop ends all processes that were started.
func (c *cell) stop() {
	c.killAll()
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.fleet.mu.Lock()
	lives := make([]*workerLife, 0, len(c.fleet.workers))
	for _, w := range c.fleet.workers {
		lives = append(lives, w)
	}
	c.fleet.mu.Unlock()
	for _, w := range lives {
		w.cancel()
		_ = w.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("logs are kept in", c.folder)
	}
}

// startEntries starts the entry processes and waits until they are ready. A process whose ports were taken in the
// meantime is started again with others.
func (c *cell) startEntries() error {
	for i := range entryMachines {
		if err := c.add(fmt.Sprintf("frontend-%d", i+1)); err != nil {
			return err
		}
	}
	for range 5 {
		time.Sleep(300 * time.Millisecond)
		for _, p := range c.daemons {
			if !p.hasExited() {
				continue
			}
			if err := c.configure(p); err != nil {
				return err
			}
			if err := c.start(p); err != nil {
				return err
			}
		}
	}
	return c.waitReady(15 * time.Second)
}

// route returns a route of the manifest.
func route(name, service string, advised bool) map[string]any {
	r := map[string]any{
		"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "Type": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 1000,
		"Priority": 1, "Service": service, "MaxAttempts": 4, "SlackFactor": 2.0,
	}
	if advised {
		r["Advice"] = map[string]any{"DecideMs": float64(adviceDecide) / 1e6, "EachMs": float64(adviceEach) / 1e6, "ValidMs": adviceValid.Milliseconds()}
	}
	return r
}

// publish writes a manifest as the operator does.
func (c *cell) publish(version int, services []string, routes ...map[string]any) error {
	list := []any{}
	for _, s := range services {
		list = append(list, map[string]any{"Name": s, "EnforcesCapacity": false})
	}
	data, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	c.store.put("keyed.op", "config", data)
	c.rec.line("operator: manifest %d is acknowledged: %s", version, data)
	return nil
}

// step describes a step of a job: its row in Steps and what its tasks do.
type step struct {
	row  map[string]any
	plan taskPlan
}

func newStep(count int, plan taskPlan, extra map[string]any) step {
	row := map[string]any{"Count": count, "Cpu": plan.Size.Cpu, "MemMb": plan.Size.MemMb}
	if plan.MS > 0 {
		row["EstimateMs"] = plan.MS
	}
	for key, value := range extra {
		row[key] = value
	}
	return step{row, plan}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one request at a process. The status is 0 if there was no whole answer.
func (c *cell) call(p *daemonProcess, method, path string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+p.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(requestLimit.Milliseconds()))
	client := &http.Client{Timeout: requestLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close() //nolint:errcheck // the body is read to its end
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

// submit hands a job in as a requester does: after no answer, 502, 503 or 504 it asks again with the
// same id at another process. It reports whether the job was accepted.
func (c *cell) submit(queue, id string, extra map[string]any, steps ...step) bool {
	rows, plans := []map[string]any{}, []taskPlan{}
	for _, s := range steps {
		rows, plans = append(rows, s.row), append(plans, s.plan)
	}
	spec, err := json.Marshal(plans)
	if err != nil {
		return false
	}
	job := map[string]any{"Spec": string(spec), "Steps": rows}
	for key, value := range extra {
		job[key] = value
	}
	body, err := json.Marshal(job)
	if err != nil {
		return false
	}
	at := rand.IntN(len(c.daemons))
	for try := range 1 + maxRetries {
		p := c.daemons[(at+try)%len(c.daemons)]
		status, text := c.call(p, http.MethodPost, "/"+queue+"/"+id, body)
		c.rec.line("requester: POST /%s/%s at %s -> %d %s", queue, id, p.name, status, text)
		if status >= 200 && status < 300 {
			return true
		}
		if status == http.StatusBadRequest || status == http.StatusNotFound {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state, at other processes too while there is no answer or a 503.
func (c *cell) state(queue, id string) (status int, state string) {
	at := rand.IntN(len(c.daemons))
	for try := range 1 + maxRetries {
		p := c.daemons[(at+try)%len(c.daemons)]
		code, text := c.call(p, http.MethodGet, "/"+queue+"/"+id, nil)
		c.rec.line("requester: GET /%s/%s at %s -> %d %s", queue, id, p.name, code, text)
		status = code
		var body struct{ State string }
		if code == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
			return code, body.State
		}
		if code == http.StatusGone || code == http.StatusNotFound {
			return code, ""
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status, ""
}

// activeTasks returns how many of the tasks named PREFIX.0 to PREFIX.n-1 have an active run.
func (f *fleet) activeTasks(prefix string, n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	active := 0
	for i := range n {
		if _, runs := f.active[fmt.Sprintf("%s.%d", prefix, i)]; runs {
			active++
		}
	}
	return active
}

// use returns the capacity in use and the whole capacity of the workers of a service that are up.
func (f *fleet) use(service string) (used, room size) {
	f.mu.Lock()
	lives := make([]*workerLife, 0, len(f.workers))
	for _, w := range f.workers {
		lives = append(lives, w)
	}
	f.mu.Unlock()
	for _, w := range lives {
		w.mu.Lock()
		if !w.gone && w.service == service {
			room = room.add(w.room)
			for _, r := range w.running {
				used = used.add(r.plan.Size)
			}
		}
		w.mu.Unlock()
	}
	return used, room
}

// freeWorkers returns the ids of the workers that are up and accepted by the filter, on which a task of
// the size fits beside what runs there.
func (f *fleet) freeWorkers(needed size, accepts func(w *workerLife) bool) []string {
	f.mu.Lock()
	lives := make([]*workerLife, 0, len(f.workers))
	for _, w := range f.workers {
		lives = append(lives, w)
	}
	f.mu.Unlock()
	var ids []string
	for _, w := range lives {
		w.mu.Lock()
		used := needed
		for _, r := range w.running {
			counted := r.plan.Size
			if r.plan.Fills {
				counted.Cpu = 0
			}
			used = used.add(counted)
		}
		if !w.gone && used.fits(w.room) && accepts(w) {
			ids = append(ids, w.id)
		}
		w.mu.Unlock()
	}
	return ids
}
