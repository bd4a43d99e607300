// Package vmlist is an in-memory stand-in for the platform's VM list, which lags
// behind the real state.
package vmlist

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
	"briarproxy/standin/internal/httpjson"
)

// Options configure a List.
type Options struct {
	VMs []wire.VM
	Lag time.Duration    // after which a change is seen
	Now func() time.Time // 0: time.Now
}

// Change is the body of POST /control/vms. Replace, if it is not null, is the
// whole new list. Remove and Patch then apply to the list. A patch names a VM and
// overwrites the fields that it has; a patch of an unknown name adds a VM.
type Change struct {
	Replace []wire.VM         `json:"replace"`
	Remove  []string          `json:"remove,omitempty"`
	Patch   []json.RawMessage `json:"patch,omitempty"`
}

// Outage is the body of POST /control/outage: reads are refused with 503 for MS.
type Outage struct {
	MS int64 `json:"ms"`
}

// List is the VM list. It is an http.Handler.
type List struct {
	mux     *http.ServeMux
	options Options

	mu        sync.Mutex
	newest    []wire.VM
	versions  []version // in order of time; the first is the one that is seen
	downUntil time.Time
}

// version is a state of the list and the time from which it is seen.
type version struct {
	from time.Time
	vms  []wire.VM
}

// LoadFile reads a wire.VMList from a JSON file. Errors are of kind fault.Invalid.
func LoadFile(path string) ([]wire.VM, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a readable VM list file", "VM list")
	}
	var list wire.VMList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "correct the JSON", "VM list %s", path)
	}
	return list.VMs, nil
}

// New returns a list that shows the VMs of the options at once.
func New(options Options) *List {
	if options.Now == nil {
		options.Now = time.Now
	}
	l := &List{mux: http.NewServeMux(), options: options, newest: slices.Clone(options.VMs)}
	l.versions = []version{{from: options.Now(), vms: l.newest}}
	l.mux.HandleFunc("GET /v1/vms", l.handleList)
	l.mux.HandleFunc("POST /control/vms", httpjson.Control(l.Change))
	l.mux.HandleFunc("POST /control/outage", httpjson.Control(l.SetOutage))
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetOutage starts or ends an outage.
func (l *List) SetOutage(o Outage) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downUntil = l.options.Now().Add(time.Duration(o.MS) * time.Millisecond)
	return nil
}

// Change applies a change, which is seen after the lag.
func (l *List) Change(c Change) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := slices.Clone(l.newest)
	if c.Replace != nil {
		vms = slices.Clone(c.Replace)
	}
	vms = slices.DeleteFunc(vms, func(vm wire.VM) bool { return slices.Contains(c.Remove, vm.Name) })
	for _, raw := range c.Patch {
		var err error
		if vms, err = patch(vms, raw); err != nil {
			return err
		}
	}
	l.newest = vms
	l.versions = append(l.versions, version{from: l.options.Now().Add(l.options.Lag), vms: vms})
	return nil
}

// patch overwrites the fields that raw has in the entry of its name.
func patch(vms []wire.VM, raw json.RawMessage) ([]wire.VM, error) {
	var named wire.VM
	if err := json.Unmarshal(raw, &named); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "send objects with the fields of a VM", "patch")
	}
	if named.Name == "" {
		return nil, fault.New(fault.Invalid, "give the name of the VM", "patch has no name")
	}
	at := slices.IndexFunc(vms, func(vm wire.VM) bool { return vm.Name == named.Name })
	if at < 0 {
		return append(vms, named), nil
	}
	return vms, json.Unmarshal(raw, &vms[at])
}

// Seen returns the list that clients see now.
func (l *List) Seen() wire.VMList {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for len(l.versions) > 1 && !now.Before(l.versions[1].from) {
		l.versions = l.versions[1:]
	}
	vms := l.versions[0].vms
	if vms == nil {
		vms = []wire.VM{}
	}
	return wire.VMList{VMs: vms}
}

// handleList answers 304 to a client that names the entity tag of the list.
func (l *List) handleList(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	down := l.options.Now().Before(l.downUntil)
	l.mu.Unlock()
	if down {
		httpjson.Fail(w, http.StatusServiceUnavailable, "the VM list is down")
		return
	}
	data, err := json.Marshal(l.Seen())
	if err != nil {
		httpjson.Fail(w, http.StatusInternalServerError, "%v", err)
		return
	}
	digest := sha256.Sum256(data)
	etag := strconv.Quote(hex.EncodeToString(digest[:16]))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
