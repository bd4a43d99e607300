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
	// settle is longer than a start is valid (2 s): what was wrongly reported as
	// not run has begun by then.
	settle     = 2500 * time.Millisecond
	warmWait   = 15 * time.Second
	loadWait   = 40 * time.Second
	repeatWait = 3 * time.Second // after which a caller gives up a call and asks another daemon
)

// warm waits until requests to every daemon and jobs are answered, so that a test
// starts from a system that has settled.
func (c *cluster) warm() []*demo.Record {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), warmWait)
	defer cancel()
	var records []*demo.Record
	for i, url := range c.urls() {
		client := demo.NewClient([]string{url}, seed)
		defer client.Close()
		for _, request := range []demo.Request{demo.Doorstep("warm", i), demo.Certificate("warm", i)} {
			request.Kind, request.Deadline = "warm-up", warmWait
			record := client.Do(ctx, request)
			require.Equal(c, demo.ToldAnswered, record.Final, "%s through %s: %s", record.Kind, url, lastDetail(record))
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

// background is load that runs while a test injects failures.
type background struct {
	done    chan struct{}
	records []*demo.Record
}

// load sends requests to daemons for a time.
func (c *cluster) load(urls []string, duration time.Duration, kinds ...demo.Kind) *background {
	b := &background{done: make(chan struct{})}
	go func() {
		defer close(b.done)
		ctx, cancel := context.WithTimeout(context.Background(), loadWait)
		defer cancel()
		client := demo.NewClient(urls, seed)
		defer client.Close()
		b.records = demo.Send(ctx, client, kinds, duration, seed)
	}()
	return b
}

// wait returns the records of a load when all its requests are decided.
func (b *background) wait() []*demo.Record {
	<-b.done
	return b.records
}

// verify compares what callers were told with what ran.
func (c *cluster) verify(records []*demo.Record) {
	c.Helper()
	time.Sleep(settle)
	entries := c.entries()
	var table strings.Builder
	demo.Print(&table, demo.Summarise(records, entries))
	c.Logf("\n%s", table.String())
	for _, v := range demo.Compare(records, entries) {
		assert.Fail(c, "a rule is broken", "%s", v)
	}
}

// requireFinal checks that every record of a kind ended in one of the given ways.
func (c *cluster) requireFinal(records []*demo.Record, kind string, allowed ...demo.Told) {
	c.Helper()
	count := 0
	for _, r := range records {
		if r.Kind != kind {
			continue
		}
		count++
		if !slices.Contains(allowed, r.Final) {
			assert.Fail(c, kind+" ended as "+string(r.Final), "body %.8s after %d calls: %+v", r.Digest, len(r.Attempts), r.Attempts)
		}
	}
	assert.NotZero(c, count, "no %s was sent", kind)
}

// Streams of the inspectors' requests.

func doorsteps(perSecond float64) demo.Kind {
	return demo.Kind{Name: "doorstep", PerSecond: perSecond, Make: func(n int) demo.Request { return demo.Doorstep("load", n) }}
}

// certificates are repeated through another daemon after repeatWait.
func certificates(perSecond float64) demo.Kind {
	return demo.Kind{Name: "certificate", PerSecond: perSecond, Make: func(n int) demo.Request {
		r := demo.Certificate("load", n)
		r.Deadline, r.CallWait = 20*time.Second, repeatWait
		return r
	}}
}

func surveys(perSecond float64) demo.Kind {
	return demo.Kind{Name: "survey", PerSecond: perSecond, Make: func(n int) demo.Request { return demo.Survey("load", n) }}
}

// riskMaps are batch jobs with a number of tasks each.
func riskMaps(perSecond float64, tasks int) demo.Kind {
	return demo.Kind{Name: "risk-map", PerSecond: perSecond, Batch: true, Job: func(n int) wire.JobSpec {
		return wire.JobSpec{ID: fmt.Sprintf("map-%d", n), Template: "risk-map", Tasks: tasks, Body: []byte(fmt.Sprintf("map %d", n))}
	}}
}

// callUntilUnready sends requests to one daemon until it says that it is not
// ready, as a load balancer does. No call is repeated.
func (c *cluster) callUntilUnready(d *daemon, perSecond int) *background {
	b := &background{done: make(chan struct{})}
	go func() {
		defer close(b.done)
		ctx, cancel := context.WithTimeout(context.Background(), loadWait)
		defer cancel()
		client := demo.NewClient([]string{d.caller}, seed)
		defer client.Close()
		var ledger demo.Ledger
		var group sync.WaitGroup
		for n := 1; d.ready() && ctx.Err() == nil; n++ {
			request := demo.Doorstep("stop", n)
			if n%4 == 0 {
				request = demo.Certificate("stop", n)
			}
			group.Go(func() { ledger.Add(client.Once(ctx, d.caller, request)) })
			time.Sleep(time.Second / time.Duration(perSecond))
		}
		group.Wait()
		b.records = ledger.Records()
	}()
	return b
}
