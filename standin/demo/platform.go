package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

const (
	platformMaxAttempts  = 12
	platformRetryDelay   = 400 * time.Millisecond
	platformCallTimeout  = 3 * time.Second
	platformPollInterval = 200 * time.Millisecond
	platformEndTimeout   = 40 * time.Second // covers the leases of a killed placer and the backlog after it
)

// PlatformOptions configures RunPlatform.
type PlatformOptions struct {
	Daemons     []string // host:port of the callers' API
	Operator    string   // host:port of the stand-in's operator
	Duration    time.Duration
	RevokeBound time.Duration // within which a key must end to work
	Seed        uint64
	Out         io.Writer
}

// platformStream is a sequence of jobs of one kind, like those of the example users, at a
// constant rate.
type platformStream struct {
	name          string
	jobsPerSecond float64
	tasks         int
	step          platform.SpecStep
	gang          bool
	secondStep    bool // a shorter step of one task follows the first
	workspace     string
}

var platformStreams = []platformStream{
	{"survey", 1, 4, platform.SpecStep{MS: 2000, Cpu: 18000, MemMb: 37000}, true, false, platform.DemoWorkspace},
	{"certificate", 3, 6, platform.SpecStep{MS: 900, Cpu: 3900, MemMb: 14000}, false, true, platform.DemoWorkspace},
	{"doorstep", 15, 2, platform.SpecStep{MS: 250, Cpu: 5600, MemMb: 21000}, false, false, platform.DemoWorkspace},
	{"flood", 14, 4, platform.SpecStep{MS: 500, Cpu: 4000, MemMb: 8000}, false, false, platform.DemoGreedyWorkspace},
}

// platformJob is a submitted job with the times of its events.
type platformJob struct {
	kind       string
	sentAt     time.Time
	acceptedAt time.Time
	endedAt    time.Time
	state      string
}

// RunPlatform sends jobs to daemons on the users' platform and prints a summary of them. It
// returns an error if an accepted job was not completed.
func RunPlatform(ctx context.Context, o PlatformOptions) error {
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	client := &http.Client{Timeout: platformCallTimeout}
	var mu sync.Mutex
	var jobs []*platformJob
	var group sync.WaitGroup
	revoked := &revokedKey{options: &o, client: client}
	group.Go(func() { revoked.play(ctx) })
	for i, stream := range platformStreams {
		interval := time.Duration(float64(time.Second) / stream.jobsPerSecond)
		seed := rng.Uint64()
		group.Go(func() {
			streamRNG := rand.New(rand.NewPCG(seed, 3))
			end := time.Now().Add(o.Duration)
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				j := &platformJob{kind: stream.name, sentAt: time.Now()}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				id := fmt.Sprintf("%02x%06x%08x", i, n, uint32(o.Seed))
				first := streamRNG.IntN(len(o.Daemons))
				group.Go(func() { j.submitAndAwait(ctx, client, o.Daemons, first, id, stream) })
				sleep(ctx, interval)
			}
		})
	}
	group.Wait()
	return errors.Join(printPlatformReport(o.Out, jobs), revoked.report(o.Out))
}

// jobBody returns the body of a caller's request that submits a job.
func (s *platformStream) jobBody() ([]byte, error) {
	first := s.step
	first.Workspace = s.workspace
	steps := []platform.SpecStep{first}
	list := []map[string]any{s.step.Body(s.tasks, s.gang, nil)}
	if s.secondStep {
		second := platform.SpecStep{MS: s.step.MS / 4, Cpu: s.step.Cpu, MemMb: s.step.MemMb, Workspace: s.workspace}
		steps = append(steps, second)
		list = append(list, second.Body(1, false, []int{0}))
	}
	spec, err := json.Marshal(steps)
	if err != nil {
		return nil, err
	}
	return json.Marshal(map[string]any{"Spec": string(spec), "Steps": list})
}

// submitAndAwait submits a job, at the next daemon after each failure, and polls its state
// until that is final or platformEndTimeout has passed.
func (j *platformJob) submitAndAwait(ctx context.Context, client *http.Client, daemons []string, first int, id string, stream platformStream) {
	body, err := stream.jobBody()
	if err != nil {
		return
	}
	key := demoKey(stream.workspace)
	for attempt := range platformMaxAttempts {
		status, text := callPlatform(ctx, client, http.MethodPost, daemons[(first+attempt)%len(daemons)], id, key, body)
		if status == http.StatusOK {
			j.acceptedAt = time.Now()
			j.state = text
			break
		}
		sleep(ctx, platformRetryDelay)
	}
	limit := time.Now().Add(platformEndTimeout)
	for attempt := 0; !j.acceptedAt.IsZero() && time.Now().Before(limit) && ctx.Err() == nil; attempt++ {
		if status, text := callPlatform(ctx, client, http.MethodGet, daemons[(first+attempt)%len(daemons)], id, key, nil); status == http.StatusOK {
			if j.state = text; strings.Contains(text, "completed") || strings.Contains(text, "failed") {
				j.endedAt = time.Now()
				return
			}
		}
		sleep(ctx, platformPollInterval)
	}
}

// callPlatform sends one request and returns the status, 0 without an answer, and the body.
func callPlatform(ctx context.Context, client *http.Client, method, address, id, key string, body []byte) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+platform.DemoPath+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = platform.DemoHost
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(platformCallTimeout.Milliseconds()))
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

func printPlatformReport(out io.Writer, jobs []*platformJob) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nusers' platform\nWORKSPACE\tKIND\tJOBS\tACCEPTED\tCOMPLETED\tP50 MS\tP99 MS")
	incomplete := 0
	for _, stream := range platformStreams {
		var durationsMS []int64
		sent, accepted := 0, 0
		for _, j := range jobs {
			if j.kind != stream.name {
				continue
			}
			sent++
			if j.acceptedAt.IsZero() {
				continue
			}
			accepted++
			if strings.Contains(j.state, "completed") {
				durationsMS = append(durationsMS, j.endedAt.Sub(j.sentAt).Milliseconds())
			} else {
				incomplete++
			}
		}
		slices.Sort(durationsMS)
		p50, p99 := int64(0), int64(0)
		if n := len(durationsMS); n > 0 {
			p50, p99 = durationsMS[n/2], durationsMS[n*99/100]
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", stream.workspace, stream.name, sent, accepted, len(durationsMS), p50, p99)
	}
	if err := table.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "check that the output is writable", "cannot write the table")
	}
	if incomplete > 0 {
		return fault.New(fault.Internal, "read the daemons' logs", "%d accepted jobs were not completed", incomplete)
	}
	return nil
}
