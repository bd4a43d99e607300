package integration

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/standin/demo"
	"briarproxy/standin/logservice"
)

// Guards against a log outage that stops doorstep requests, lets a certificate run
// without its record, refuses one without a retry time, or leaves jobs behind.
func TestLogOutage(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: []string{"survey=3000", "certificate=300", "doorstep=100"}})
	records := c.warm()
	client := demo.NewClient(c.urls(), seed)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), loadWait)
	defer cancel()

	before := c.load(c.urls(), time.Second, surveys(8))
	time.Sleep(1500 * time.Millisecond)
	c.control(c.logURL, "/control/outage", logservice.Outage{MS: 8000})
	during := c.load(c.urls(), 7*time.Second, doorsteps(20))
	time.Sleep(500 * time.Millisecond)
	refused := c.refusedCertificates(ctx, client)
	records = append(records, refused...)
	records = append(records, during.wait()...)
	records = append(records, before.wait()...)

	after := c.load(c.urls(), time.Second, certificates(5), surveys(3)).wait()
	c.requireFinal(after, "certificate", demo.ToldAnswered)
	records = append(records, after...)
	c.requireFinal(records, "doorstep", demo.ToldAnswered)
	c.requireFinal(records, "survey", demo.ToldAnswered, demo.ToldAccepted)
	c.verify(records)
}

// refusedCertificates sends certificates once during an outage and checks that each
// is refused as not run with a retry time.
func (c *cluster) refusedCertificates(ctx context.Context, client *demo.Client) []*demo.Record {
	c.Helper()
	var ledger demo.Ledger
	var group sync.WaitGroup
	for n := range 20 {
		request := demo.Certificate("outage", n)
		request.Deadline = 5 * time.Second
		url := c.daemons[n%len(c.daemons)].caller
		group.Go(func() { ledger.Add(client.Once(ctx, url, request)) })
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	for _, r := range ledger.Records() {
		assert.Truef(c, r.RefusedWithTime(), "a certificate during the outage: %s, %s", r.Final, lastDetail(r))
	}
	return ledger.Records()
}

// Guards against lost answers of appends that are taken for failures: a record that
// is written twice, a certificate that runs twice, accepted work that is forgotten.
func TestLogAnswersLost(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warm()
	c.control(c.logURL, "/control/lose", logservice.Lose{Probability: 0.3, Seed: seed})
	records = append(records, c.load(c.urls(), 8*time.Second, doorsteps(10), certificates(8), surveys(4)).wait()...)
	c.control(c.logURL, "/control/lose", logservice.Lose{})
	c.requireFinal(records, "doorstep", demo.ToldAnswered)
	c.requireFinal(records, "certificate", demo.ToldAnswered)
	c.requireFinal(records, "survey", demo.ToldAnswered, demo.ToldAccepted)
	c.verify(records)
}

// Guards against two publications from one base that both count, against one that
// overwrites the other, and against daemons that go back to an older version.
func TestOperatorsPublishAtOnce(t *testing.T) {
	c := start(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warm()
	codes := make(chan int, 2)
	for _, author := range []string{"akiko", "benoit"} {
		go func() { codes <- c.publish(author, 1, inspectors.objects) }()
	}
	first, second := <-codes, <-codes
	assert.True(t, (first == 0) != (second == 0), "exit codes %d and %d: exactly one must win", first, second)
	records = append(records, c.load(c.urls(), 3*time.Second, doorsteps(20)).wait()...)
	inForce := time.Now().Add(-time.Second)
	versions := map[string]int64{}
	for _, r := range records {
		for _, a := range r.Attempts {
			require.LessOrEqual(t, a.ConfigVersion, int64(2))
			versions[a.Daemon] = max(versions[a.Daemon], a.ConfigVersion)
			if r.Sent.After(inForce) {
				assert.Equal(t, int64(2), a.ConfigVersion, "%s is behind 2 s after the publication", a.Daemon)
			}
		}
	}
	for _, url := range c.urls() {
		assert.Equal(t, int64(2), versions[url])
	}
	c.verify(records)
}
