// Package vmlist simulates the platform's VM list in memory. Like the platform's, the
// list shows changes only after a lag.
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

// Options configures a List.
type Options struct {
	VMs []wire.VM
	Lag time.Duration    // A change becomes visible after this time.
	Now func() time.Time // The default is time.Now.
}

// Change is the body of POST /control/vms. Replace, unless null, replaces the whole
// list. Remove, a list of VM names, and Patch are then applied to the list. A patch
// contains the name of a VM and overwrites the fields that it contains; a patch with
// an unknown name adds a VM.
type Change struct {
	Replace []wire.VM         `json:"replace"`
	Remove  []string          `json:"remove,omitempty"`
	Patch   []json.RawMessage `json:"patch,omitempty"`
}

// Outage is the body of POST /control/outage: reads fail with status 503 for MS
// milliseconds.
type Outage struct {
	MS int64 `json:"ms"`
}

// List is a simulated VM list. It implements http.Handler.
type List struct {
	mux     *http.ServeMux
	options Options

	mu          sync.Mutex
	latest      []wire.VM
	versions    []version // Versions are in order of time; the first is the visible one.
	outageUntil time.Time
}

// version is a state of the list and the time from which it is visible.
type version struct {
	visibleFrom time.Time
	vms         []wire.VM
}

// LoadFile reads a wire.VMList from a JSON file. Errors are of kind fault.Invalid.
func LoadFile(path string) ([]wire.VM, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a readable VM list file", "cannot read VM list")
	}
	var list wire.VMList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "correct the JSON", "cannot decode VM list %s", path)
	}
	return list.VMs, nil
}

// New returns a list in which the VMs of the options are visible immediately.
func New(options Options) *List {
	if options.Now == nil {
		options.Now = time.Now
	}
	l := &List{mux: http.NewServeMux(), options: options, latest: slices.Clone(options.VMs)}
	l.versions = []version{{visibleFrom: options.Now(), vms: l.latest}}
	l.mux.HandleFunc("GET /v1/vms", l.handleList)
	l.mux.HandleFunc("POST /control/vms", httpjson.ControlHandler(l.Change))
	l.mux.HandleFunc("POST /control/outage", httpjson.ControlHandler(l.SetOutage))
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetOutage starts an outage, or ends it if the duration is 0.
func (l *List) SetOutage(o Outage) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outageUntil = l.options.Now().Add(time.Duration(o.MS) * time.Millisecond)
	return nil
}

// Change applies a change, which becomes visible after the lag.
func (l *List) Change(c Change) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := slices.Clone(l.latest)
	if c.Replace != nil {
		vms = slices.Clone(c.Replace)
	}
	vms = slices.DeleteFunc(vms, func(vm wire.VM) bool { return slices.Contains(c.Remove, vm.Name) })
	for _, raw := range c.Patch {
		var err error
		if vms, err = applyPatch(vms, raw); err != nil {
			return err
		}
	}
	l.latest = vms
	l.versions = append(l.versions, version{visibleFrom: l.options.Now().Add(l.options.Lag), vms: vms})
	return nil
}

// applyPatch overwrites the fields that raw contains in the VM that raw names, or adds
// that VM.
func applyPatch(vms []wire.VM, raw json.RawMessage) ([]wire.VM, error) {
	var parsed wire.VM
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "send objects with the fields of a VM", "patch")
	}
	if parsed.Name == "" {
		return nil, fault.New(fault.Invalid, "give the name of the VM", "VM patch has no name")
	}
	index := slices.IndexFunc(vms, func(vm wire.VM) bool { return vm.Name == parsed.Name })
	if index < 0 {
		return append(vms, parsed), nil
	}
	return vms, json.Unmarshal(raw, &vms[index])
}

// Visible returns the version of the list that clients currently read.
func (l *List) Visible() wire.VMList {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for len(l.versions) > 1 && !now.Before(l.versions[1].visibleFrom) {
		l.versions = l.versions[1:]
	}
	vms := l.versions[0].vms
	if vms == nil {
		vms = []wire.VM{}
	}
	return wire.VMList{VMs: vms}
}

// handleList serves the visible list, or status 304 if the request names the current
// entity tag.
func (l *List) handleList(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	unavailable := l.options.Now().Before(l.outageUntil)
	l.mu.Unlock()
	if unavailable {
		httpjson.WriteError(w, http.StatusServiceUnavailable, "the VM list is unavailable")
		return
	}
	data, err := json.Marshal(l.Visible())
	if err != nil {
		httpjson.WriteError(w, http.StatusInternalServerError, "%v", err)
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
