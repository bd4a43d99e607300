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

// Guards against a log outage that blocks doorstep requests, lets a certificate request
// run without a log record, refuses one without a retry time, or leaves jobs unfinished.
func TestLogOutage(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: []string{"survey=3000", "certificate=300", "doorstep=100"}})
	records := c.warmUp()
	client := demo.NewClient(c.callerURLs(), seed)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()

	before := c.startLoad(c.callerURLs(), time.Second, surveyLoad(8))
	time.Sleep(1500 * time.Millisecond)
	c.postControl(c.logURL, "/control/outage", logservice.Outage{MS: 8000})
	during := c.startLoad(c.callerURLs(), 7*time.Second, doorstepLoad(20))
	time.Sleep(500 * time.Millisecond)
	refused := c.sendRefusedCertificates(ctx, client)
	records = append(records, refused...)
	records = append(records, during.wait()...)
	records = append(records, before.wait()...)

	after := c.startLoad(c.callerURLs(), time.Second, certificateLoad(5), surveyLoad(3)).wait()
	c.requireOutcome(after, "certificate", demo.OutcomeAnswered)
	records = append(records, after...)
	c.requireOutcome(records, "doorstep", demo.OutcomeAnswered)
	c.requireOutcome(records, "survey", demo.OutcomeAnswered, demo.OutcomeAccepted)
	c.verifyAgainstJournal(records)
}

// sendRefusedCertificates sends certificate requests without retries during an outage
// and checks that each is refused as not run, with a retry time.
func (c *cluster) sendRefusedCertificates(ctx context.Context, client *demo.Client) []*demo.Record {
	c.Helper()
	var recorder demo.Recorder
	var group sync.WaitGroup
	for n := range 20 {
		request := demo.Certificate("outage", n)
		request.Deadline = 5 * time.Second
		url := c.daemons[n%len(c.daemons)].callerURL
		group.Go(func() { recorder.Add(client.SendOnce(ctx, url, request)) })
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	for _, r := range recorder.Records() {
		assert.Truef(c, r.RefusedWithRetryAfter(), "a certificate request during the outage was not refused with a retry time: %s, %s", r.FinalOutcome, lastDetail(r))
	}
	return recorder.Records()
}

// Guards against treating a lost append reply as a failed append. The consequences are a
// record that is written twice, a certificate request that runs twice, or accepted work
// that is lost.
func TestLogRepliesLost(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warmUp()
	c.postControl(c.logURL, "/control/lose", logservice.Lose{Probability: 0.3, Seed: seed})
	records = append(records, c.startLoad(c.callerURLs(), 8*time.Second, doorstepLoad(10), certificateLoad(8), surveyLoad(4)).wait()...)
	c.postControl(c.logURL, "/control/lose", logservice.Lose{})
	c.requireOutcome(records, "doorstep", demo.OutcomeAnswered)
	c.requireOutcome(records, "certificate", demo.OutcomeAnswered)
	c.requireOutcome(records, "survey", demo.OutcomeAnswered, demo.OutcomeAccepted)
	c.verifyAgainstJournal(records)
}

// Guards against concurrent publications from the same base version that both succeed or
// overwrite each other, and against daemons that revert to an older version.
func TestConcurrentPublications(t *testing.T) {
	c := startCluster(t, options{daemons: 3, workers: 8, operations: fastOperations})
	records := c.warmUp()
	codes := make(chan int, 2)
	for _, author := range []string{"akiko", "benoit"} {
		go func() { codes <- c.publish(author, 1, inspectors.configFolder) }()
	}
	first, second := <-codes, <-codes
	assert.True(t, (first == 0) != (second == 0), "exit codes %d and %d: exactly one must succeed", first, second)
	records = append(records, c.startLoad(c.callerURLs(), 3*time.Second, doorstepLoad(20)).wait()...)
	rolloutDeadline := time.Now().Add(-time.Second)
	versions := map[string]int64{}
	for _, r := range records {
		for _, a := range r.Attempts {
			require.LessOrEqual(t, a.ConfigVersion, int64(2))
			versions[a.Daemon] = max(versions[a.Daemon], a.ConfigVersion)
			if r.SentAt.After(rolloutDeadline) {
				assert.Equal(t, int64(2), a.ConfigVersion, "%s still has an older version 2 s after the publication", a.Daemon)
			}
		}
	}
	for _, url := range c.callerURLs() {
		assert.Equal(t, int64(2), versions[url])
	}
	c.verifyAgainstJournal(records)
}
