package cell

import (
	"net/http"
	"time"
)

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
