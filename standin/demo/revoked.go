package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"briarproxy/core/fault"
	"briarproxy/standin/platform"
)

const (
	revokedCallInterval = 50 * time.Millisecond
	revokeAfter         = 5 * time.Second // daemons start and one of them is killed before
)

// demoKey returns the key of a workspace that stays in force.
func demoKey(workspace string) string {
	for _, w := range platform.DemoWorkspaces() {
		if w.Name == workspace {
			return w.Keys[len(w.Keys)-1]
		}
	}
	return ""
}

// revokedKey plays a caller whose key is taken away: it asks all daemons in turn, before and after.
type revokedKey struct {
	options   *PlatformOptions
	client    *http.Client
	key       string
	revokedAt time.Time // when the operator got the acknowledgement
	before    int       // calls that ran before
	after     int       // calls that ran later than that
	lastRan   time.Duration
	refused   int
	err       error
}

func (r *revokedKey) play(ctx context.Context) {
	r.key = platform.DemoWorkspaces()[0].Keys[0]
	end := time.Now().Add(r.options.Duration)
	revokeAt := time.Now().Add(min(revokeAfter, r.options.Duration/2))
	for n := 0; time.Now().Before(end) && ctx.Err() == nil && r.err == nil; n++ {
		if r.revokedAt.IsZero() && time.Now().After(revokeAt) {
			r.err = r.revoke(ctx)
		}
		sentAt := time.Now()
		status, _ := callPlatform(ctx, r.client, http.MethodGet, r.options.Daemons[n%len(r.options.Daemons)], "", r.key, nil)
		switch {
		case status == http.StatusUnauthorized:
			r.refused++
		case status == http.StatusOK && r.revokedAt.IsZero():
			r.before++
		case status == http.StatusOK:
			r.after++
			r.lastRan = sentAt.Sub(r.revokedAt)
		}
		sleep(ctx, revokedCallInterval)
	}
}

// revoke makes the operator take the key away.
func (r *revokedKey) revoke(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.options.Operator+"/?revoke="+platform.DemoWorkspace, nil)
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "check --operator", "the operator does not answer")
	}
	defer response.Body.Close() //nolint:errcheck // the body is read to its end
	r.revokedAt = time.Now()
	var answer struct{ Key string }
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || answer.Key != r.key {
		return fault.New(fault.Internal, "update the stand-in", "the operator did not take the caller's key away")
	}
	return nil
}

// report prints when the key ended to work. It returns an error if it worked for too long, or not before.
func (r *revokedKey) report(out io.Writer) error {
	if r.err != nil {
		return r.err
	}
	_, _ = fmt.Fprintf(out, "a key was taken away: %d calls ran before, %d in the %d ms after it (%d ms allowed), %d were refused\n",
		r.before, r.after, r.lastRan.Milliseconds(), r.options.RevokeBound.Milliseconds(), r.refused)
	if r.lastRan > r.options.RevokeBound || r.before == 0 || r.refused == 0 {
		return fault.New(fault.Internal, "read events 920 to 923 of the daemons", "a key that was taken away worked for %s, and was refused %d times", r.lastRan, r.refused)
	}
	return nil
}
