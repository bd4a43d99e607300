package integration

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
	"briarproxy/standin/demo"
)

const (
	seed = 20261204
	// startExpiryWait exceeds the 2 s for which a start order is valid, so that a run that
	// was wrongly reported as not run has begun by then.
	startExpiryWait = 2500 * time.Millisecond
	warmUpTimeout   = 15 * time.Second
	loadTimeout     = 40 * time.Second
	retryTimeout    = 3 * time.Second // After this time, a caller abandons a call and retries through another daemon.
)

// warmUp waits until every daemon has answered a doorstep and a certificate request, so
// that a test begins in a steady state.
func (c *cluster) warmUp() []*demo.Record {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), warmUpTimeout)
	defer cancel()
	var records []*demo.Record
	for i, url := range c.callerURLs() {
		client := demo.NewClient([]string{url}, seed)
		defer client.Close()
		for _, request := range []demo.Request{demo.Doorstep("warm", i), demo.Certificate("warm", i)} {
			request.Kind, request.Deadline = "warm-up", warmUpTimeout
			record := client.Do(ctx, request)
			require.Equal(c, demo.OutcomeAnswered, record.FinalOutcome, "%s through %s: %s", record.Kind, url, lastDetail(record))
			records = append(records, record)
		}
	}
	return records
}

func lastDetail(r *demo.Record) string {
	if len(r.Attempts) == 0 {
		return "no call"
	}
	return r.Attempts[len(r.Attempts)-1].Detail
}

// backgroundLoad is load that runs while a test injects failures.
type backgroundLoad struct {
	done    chan struct{}
	records []*demo.Record
}

// startLoad starts sending requests to the given daemons for the given duration.
func (c *cluster) startLoad(urls []string, duration time.Duration, kinds ...demo.Stream) *backgroundLoad {
	b := &backgroundLoad{done: make(chan struct{})}
	go func() {
		defer close(b.done)
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		client := demo.NewClient(urls, seed)
		defer client.Close()
		b.records = demo.SendStreams(ctx, client, kinds, duration, seed)
	}()
	return b
}

// wait waits until all requests of the load have an outcome and returns their records.
func (b *backgroundLoad) wait() []*demo.Record {
	<-b.done
	return b.records
}

// verifyAgainstJournal checks the responses to the callers against the runs in the
// workers' journals.
func (c *cluster) verifyAgainstJournal(records []*demo.Record) {
	c.Helper()
	time.Sleep(startExpiryWait)
	entries := c.journalEntries()
	var table strings.Builder
	demo.PrintSummary(&table, demo.Summarise(records, entries))
	c.Logf("\n%s", table.String())
	for _, v := range demo.CheckRecords(records, entries) {
		assert.Fail(c, "a consistency rule is violated", "%s", v)
	}
}

// requireOutcome checks that every record of a kind has one of the allowed final outcomes.
func (c *cluster) requireOutcome(records []*demo.Record, kind string, allowed ...demo.AttemptOutcome) {
	c.Helper()
	count := 0
	for _, r := range records {
		if r.Kind != kind {
			continue
		}
		count++
		if !slices.Contains(allowed, r.FinalOutcome) {
			assert.Fail(c, kind+" ended as "+string(r.FinalOutcome), "body %.8s after %d calls: %+v", r.BodyDigest, len(r.Attempts), r.Attempts)
		}
	}
	assert.NotZero(c, count, "no %s was sent", kind)
}

// The following functions define the kinds of load of the inspectors deployment.

func doorstepLoad(perSecond float64) demo.Stream {
	return demo.Stream{Name: "doorstep", RequestsPerSecond: perSecond, NewRequest: func(n int) demo.Request { return demo.Doorstep("load", n) }}
}

// certificateLoad returns requests that are retried through another daemon after
// retryTimeout.
func certificateLoad(perSecond float64) demo.Stream {
	return demo.Stream{Name: "certificate", RequestsPerSecond: perSecond, NewRequest: func(n int) demo.Request {
		r := demo.Certificate("load", n)
		r.Deadline, r.AttemptTimeout = 20*time.Second, retryTimeout
		return r
	}}
}

func surveyLoad(perSecond float64) demo.Stream {
	return demo.Stream{Name: "survey", RequestsPerSecond: perSecond, NewRequest: func(n int) demo.Request { return demo.Survey("load", n) }}
}

// riskMapLoad returns batch jobs with the given number of tasks each.
func riskMapLoad(perSecond float64, tasks int) demo.Stream {
	return demo.Stream{Name: "risk-map", RequestsPerSecond: perSecond, IndependentTasks: true, NewJob: func(n int) wire.JobSpec {
		return wire.JobSpec{ID: fmt.Sprintf("map-%d", n), Template: "risk-map", Tasks: tasks, Body: []byte(fmt.Sprintf("map %d", n))}
	}}
}

// callUntilUnready sends requests to one daemon until its readiness check fails, as a
// load balancer does. It does not retry requests.
func (c *cluster) callUntilUnready(d *daemon, perSecond int) *backgroundLoad {
	b := &backgroundLoad{done: make(chan struct{})}
	go func() {
		defer close(b.done)
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		client := demo.NewClient([]string{d.callerURL}, seed)
		defer client.Close()
		var recorder demo.Recorder
		var group sync.WaitGroup
		for n := 1; d.isReady() && ctx.Err() == nil; n++ {
			request := demo.Doorstep("stop", n)
			if n%4 == 0 {
				request = demo.Certificate("stop", n)
			}
			group.Go(func() { recorder.Add(client.SendOnce(ctx, d.callerURL, request)) })
			time.Sleep(time.Second / time.Duration(perSecond))
		}
		group.Wait()
		b.records = recorder.Records()
	}()
	return b
}
