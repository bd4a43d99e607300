package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Workspace is a workspace of the published configuration.
type Workspace struct {
	Name    string
	Keys    []string
	Weight  float64
	Maximum Size // an amount of 0 is no limit
}

// Operator publishes the versions of a configuration. It knows when each key was taken away. It is safe
// for concurrent use.
type Operator struct {
	mu         sync.Mutex
	store      *Store
	manifest   map[string]any
	version    int
	workspaces map[string]Workspace
	revokedAt  map[string]time.Time // by key; from the acknowledgement on
	keysIssued int
}

// NewOperator returns an operator that has published a manifest with the workspaces.
func NewOperator(store *Store, manifest map[string]any, workspaces ...Workspace) *Operator {
	o := &Operator{store: store, manifest: maps.Clone(manifest), workspaces: map[string]Workspace{}, revokedAt: map[string]time.Time{}}
	for _, w := range workspaces {
		o.workspaces[w.Name] = w
	}
	o.publish()
	return o
}

// publish publishes the next version. The caller must hold the lock, once other goroutines know the
// operator.
func (o *Operator) publish() {
	o.version++
	o.manifest["Version"] = o.version
	var tenants []map[string]any
	for _, name := range slices.Sorted(maps.Keys(o.workspaces)) {
		w := o.workspaces[name]
		tenants = append(tenants, map[string]any{"Name": w.Name, "ApiKeys": w.Keys, "Weight": w.Weight, "Maximum": w.Maximum})
	}
	o.manifest["Tenants"] = tenants
	data, err := json.Marshal(o.manifest)
	if err != nil {
		panic(err)
	}
	o.store.Put("keyed.op", "config", data)
}

// Revoke takes the oldest key of a workspace away and gives it a new one, if it has no other. It
// returns the key that was taken away.
func (o *Operator) Revoke(workspace string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.workspaces[workspace]
	revoked := w.Keys[0]
	w.Keys = slices.Clone(w.Keys[1:])
	if len(w.Keys) == 0 {
		o.keysIssued++
		w.Keys = append(w.Keys, fmt.Sprintf("%s-key-%d", workspace, o.keysIssued))
	}
	o.workspaces[workspace] = w
	o.publish()
	o.revokedAt[revoked] = time.Now()
	return revoked
}

// SetMaximum changes the maximum of a workspace.
func (o *Operator) SetMaximum(workspace string, maximum Size) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.workspaces[workspace]
	w.Maximum = maximum
	o.workspaces[workspace] = w
	o.publish()
}

// Key returns a key of a workspace that is in force.
func (o *Operator) Key(workspace string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.workspaces[workspace].Keys[0]
}

// RevokedAt returns when a key was taken away, and false if it is in force.
func (o *Operator) RevokedAt(key string) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, revoked := o.revokedAt[key]
	return at, revoked
}

// ServeHTTP takes the oldest key of the workspace in the query away, and answers when the new version is
// acknowledged.
func (o *Operator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	workspace := r.URL.Query().Get("revoke")
	o.mu.Lock()
	_, known := o.workspaces[workspace]
	o.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"Key": o.Revoke(workspace)})
}
