package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"briarproxy/core/fault"
	"briarproxy/standin/platform"
)

// Times of callers on the users' platform.
const (
	platformTries = 12
	platformRetry = 400 * time.Millisecond
	platformCall  = 3 * time.Second
	platformPoll  = 200 * time.Millisecond
	platformEnd   = 40 * time.Second // a killed placer's leases, and the backlog
)

// PlatformOptions configure RunPlatform.
type PlatformOptions struct {
	Daemons  []string // addresses of the callers' API
	Duration time.Duration
	Seed     uint64
	Out      io.Writer
}

// platformKind is a stream of jobs like those of the example users.
type platformKind struct {
	name      string
	perSecond float64
	tasks     int
	step      platform.SpecStep
	gang      bool
	then      bool // a second step follows
}

var platformKinds = []platformKind{
	{"survey", 1, 4, platform.SpecStep{MS: 2000, Cpu: 18000, MemMb: 37000}, true, false},
	{"certificate", 3, 6, platform.SpecStep{MS: 900, Cpu: 3900, MemMb: 14000}, false, true},
	{"doorstep", 15, 2, platform.SpecStep{MS: 250, Cpu: 5600, MemMb: 21000}, false, false},
}

// job is one job with its times.
type job struct {
	kind     string
	sent     time.Time
	accepted time.Time
	ended    time.Time
	state    string
}

// RunPlatform sends jobs to daemons on the users' platform and prints what became of them.
// Its error tells that an accepted job did not end.
func RunPlatform(ctx context.Context, o PlatformOptions) error {
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	client := &http.Client{Timeout: platformCall}
	var mu sync.Mutex
	var jobs []*job
	var group sync.WaitGroup
	for i, k := range platformKinds {
		gap := time.Duration(float64(time.Second) / k.perSecond)
		seed := rng.Uint64()
		group.Go(func() {
			local := rand.New(rand.NewPCG(seed, 3))
			end := time.Now().Add(o.Duration)
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				j := &job{kind: k.name, sent: time.Now()}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				id := fmt.Sprintf("%02x%06x%08x", i, n, uint32(o.Seed))
				first := local.IntN(len(o.Daemons))
				group.Go(func() { j.follow(ctx, client, o.Daemons, first, id, k) })
				sleep(ctx, gap)
			}
		})
	}
	group.Wait()
	return report(o.Out, jobs)
}

// body is the job as a caller posts it.
func (k *platformKind) body() ([]byte, error) {
	steps := []platform.SpecStep{k.step}
	list := []map[string]any{k.step.Body(k.tasks, k.gang, nil)}
	if k.then {
		last := platform.SpecStep{MS: k.step.MS / 4, Cpu: k.step.Cpu, MemMb: k.step.MemMb}
		steps = append(steps, last)
		list = append(list, last.Body(1, false, []int{0}))
	}
	spec, err := json.Marshal(steps)
	if err != nil {
		return nil, err
	}
	return json.Marshal(map[string]any{"Spec": string(spec), "Steps": list})
}

// follow hands a job in, through the next daemon after each failure, and asks for its
// state until that is final.
func (j *job) follow(ctx context.Context, client *http.Client, daemons []string, first int, id string, k platformKind) {
	body, err := k.body()
	if err != nil {
		return
	}
	for try := range platformTries {
		status, text := call(ctx, client, http.MethodPost, daemons[(first+try)%len(daemons)], id, body)
		if status == http.StatusOK {
			j.accepted = time.Now()
			j.state = text
			break
		}
		sleep(ctx, platformRetry)
	}
	limit := time.Now().Add(platformEnd)
	for try := 0; !j.accepted.IsZero() && time.Now().Before(limit) && ctx.Err() == nil; try++ {
		if status, text := call(ctx, client, http.MethodGet, daemons[(first+try)%len(daemons)], id, nil); status == http.StatusOK {
			if j.state = text; strings.Contains(text, "completed") || strings.Contains(text, "failed") {
				j.ended = time.Now()
				return
			}
		}
		sleep(ctx, platformPoll)
	}
}

// call makes one call of a caller; status 0 is no answer.
func call(ctx context.Context, client *http.Client, method, address, id string, body []byte) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+platform.DemoPath+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = platform.DemoHost
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(platformCall.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close() //nolint:errcheck // it is read whole
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

func report(out io.Writer, jobs []*job) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nusers' platform\nKIND\tJOBS\tACCEPTED\tCOMPLETED\tP50 MS\tP99 MS")
	unended := 0
	for _, k := range platformKinds {
		var took []int64
		sent, accepted := 0, 0
		for _, j := range jobs {
			if j.kind != k.name {
				continue
			}
			sent++
			if j.accepted.IsZero() {
				continue
			}
			accepted++
			if strings.Contains(j.state, "completed") {
				took = append(took, j.ended.Sub(j.sent).Milliseconds())
			} else {
				unended++
			}
		}
		slices.Sort(took)
		p50, p99 := int64(0), int64(0)
		if n := len(took); n > 0 {
			p50, p99 = took[n/2], took[n*99/100]
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\n", k.name, sent, accepted, len(took), p50, p99)
	}
	if err := table.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "free the output", "the table can't be written")
	}
	if unended > 0 {
		return fault.New(fault.Internal, "read the daemons' logs", "%d accepted jobs were not completed", unended)
	}
	return nil
}
