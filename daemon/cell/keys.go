package cell

import (
	"context"
	"net/http"
	"time"

	"briarproxy/daemon/bootclock"
)

// maxOwnerWait is for how long an answer to a submission waits for another daemon's word on the owner
// of the id, beyond the append.
const maxOwnerWait = 200 * time.Millisecond

// keyRefusal is the reason for refusing a call because of its key. It is a label of metrics.
type keyRefusal string

// Reasons for refusing a call because of its key.
const (
	keyMissing     keyRefusal = "no key"
	keyUnknown     keyRefusal = "unknown key"
	keyUnconfirmed keyRefusal = "key lease lapsed" // the key may have been taken away meanwhile
	foreignJob     keyRefusal = "job of another workspace"
)

// keyCheck is the outcome of checking the key of a call.
type keyCheck struct {
	required  bool       // callers of this deployment have keys
	workspace string     // of the key; "" if the call carries none and needs none
	refusal   keyRefusal // "" if the call is admitted
}

// checkKey checks the key of a call to a queue, which may be public. It takes one hash lookup. In a
// deployment with a bound on revoked keys, a configuration without workspaces admits no key.
func (e *engine) checkKey(key string, public bool, now time.Duration) keyCheck {
	if len(e.config.Workspaces) == 0 && !e.keyLease.Limited() {
		return keyCheck{}
	}
	check := keyCheck{required: true}
	switch {
	case key == "" && public:
	case key == "":
		check.refusal = keyMissing
	case !e.keyLease.Holds(now):
		check.refusal = keyUnconfirmed
	default:
		known := false
		if check.workspace, known = e.keyring.Workspace(key); !known {
			check.refusal = keyUnknown
		}
	}
	return check
}

// openTo reports whether a call may ask about the job, cancel it or repeat its submission. A job
// without a workspace is open to every call that is admitted.
func (v *view) openTo(check keyCheck) bool {
	return !check.required || v.Workspace == "" || v.Workspace == check.workspace
}

// consultOwner asks another daemon whether the id of a submission belongs to a job of another workspace,
// if this daemon has not read the log lately. The function that it returns waits for the answer,
// for at most maxOwnerWait, and reports whether it does.
func (a *callerAPI) consultOwner(ctx context.Context, id string, lookup lookupResult) func() bool {
	if !lookup.keyCheck.required || lookup.readState.noOlderThan(maxStateAge, bootclock.Now()) {
		return func() bool { return false }
	}
	foreign := make(chan bool, 1)
	go func() {
		v, err := a.engine.consultClient.consult(ctx, lookup.queue.Name, id, true, maxConsultTries)
		foreign <- err == nil && v.Found && !v.openTo(lookup.keyCheck)
	}()
	return func() bool {
		select {
		case isForeign := <-foreign:
			return isForeign
		case <-time.After(maxOwnerWait):
			return false
		}
	}
}

// refuseKey answers a call that is refused because of its key. Nothing of it was executed.
func (a *callerAPI) refuseKey(w http.ResponseWriter, reason keyRefusal) int {
	a.engine.metrics.keyRefusals.WithLabelValues(string(reason)).Inc()
	switch reason {
	case keyUnconfirmed:
		return reject(w, http.StatusServiceUnavailable)
	case foreignJob:
		return answer(w, http.StatusForbidden, nil)
	default:
		return answer(w, http.StatusUnauthorized, nil)
	}
}
