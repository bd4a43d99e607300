package cell

import (
	"context"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/core/keylease"
	"briarproxy/daemon/bootclock"
)

// Times of reading the configuration where the key lease is limited.
const (
	configWaitShare      = 0.25                   // of the key lease's term; a reading that waits for longer would use up the lease
	lateReadingDelay     = 300 * time.Millisecond // beyond the wait and the tolerated latency of the store, before a reading is sent again
	rereadInterval       = 500 * time.Millisecond
	rereadTimeout        = relayTimeout
	lateConfirmationWait = 2 // times the usual wait without a confirmation, after which readings do not wait for a newer version
)

// configReading is an answer to a reading of the operator's topic.
type configReading struct {
	config *cluster.Configuration // nil: nothing newer was published
	next   int64                  // position for the next reading
	sentAt time.Duration          // when this daemon sent the call that was answered
}

// configDirect reads the operator's topic from a position on.
func (c *storeClient) configDirect(ctx context.Context, from int64, wait time.Duration) (configReading, error) {
	sentAt := bootclock.Now()
	config, next, err := c.direct.Configuration(ctx, from, wait)
	return configReading{config, next, sentAt}, err
}

// configThroughPeer reads the operator's topic through another daemon, which calls the store anew.
func (p *peerClients) configThroughPeer(ctx context.Context, address string, from int64, wait time.Duration) (configReading, error) {
	r := configReading{next: from, sentAt: bootclock.Now()}
	reply := &ConfigurationReply{}
	err := p.call(ctx, address, configurationMethod, &ReadArgs{From: from, Wait: min(wait, maxRelayReadWait), Within: remoteTimeout(ctx, directTimeout+maxRelayReadWait)}, reply)
	err = remoteError(err, reply.Failure, fault.Unavailable)
	if err == nil && reply.Some && !reply.Complete {
		return r, fault.New(fault.Unavailable, "update that daemon", "the daemon at %s leaves out the workspaces of the configuration", address)
	}
	if err == nil || fault.Is(err, fault.Invalid) {
		r.next = reply.Next
	}
	if err == nil && reply.Some {
		r.config = &reply.Config
	}
	return r, err
}

// readConfig reads the operator's topic, directly or through other daemons.
func (c *storeClient) readConfig(ctx context.Context, from int64, wait time.Duration) (configReading, error) {
	reading := configReading{next: from}
	err := c.callStore(ctx, wait, func(ctx context.Context) (err error) {
		reading, err = c.configDirect(ctx, from, wait)
		return err
	}, func(ctx context.Context, address string) (err error) {
		reading, err = c.peers.configThroughPeer(ctx, address, from, wait)
		return err
	})
	return reading, err
}

// readConfigHedged is like readConfig, but repeats a reading that is late, both directly and through
// another daemon, until one of them is answered: the connection of the first may be silent, and the
// key lease runs out meanwhile.
func (c *storeClient) readConfigHedged(ctx context.Context, from int64, wait time.Duration) (configReading, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		configReading
		err error
	}
	outcomes := make(chan outcome)
	pending := 0
	send := func(read func() (configReading, error)) {
		pending++
		go func() {
			r, err := read()
			select {
			case outcomes <- outcome{r, err}:
			case <-ctx.Done():
			}
		}()
	}
	// Not cancelled once another reading is answered: that would close a connection that appends share.
	firstCtx, cancelFirst := context.WithTimeout(context.WithoutCancel(ctx), wait+storeTimeout)
	send(func() (configReading, error) {
		defer cancelFirst()
		return c.readConfig(firstCtx, from, wait)
	})
	hedge := time.NewTimer(wait + lateReadingDelay + time.Duration(toleratedLatencies*c.latency.Load()))
	defer hedge.Stop()
	for {
		select {
		case o := <-outcomes:
			if pending--; pending == 0 || !shouldRelay(o.err) {
				return o.configReading, o.err
			}
		case <-hedge.C:
			hedge.Reset(rereadInterval)
			send(func() (configReading, error) {
				callCtx, cancelCall := context.WithTimeout(ctx, rereadTimeout)
				defer cancelCall()
				return c.configDirect(callCtx, from, 0)
			})
			if addresses := *c.memberAddresses.Load(); len(addresses) > 0 {
				send(func() (configReading, error) {
					callCtx, cancelCall := context.WithTimeout(ctx, rereadTimeout)
					defer cancelCall()
					return c.rereadPeers.configThroughPeer(callCtx, chooseRelay(addresses, maxRelayTries), from, 0)
				})
			}
		case <-ctx.Done():
			return configReading{next: from}, fault.Wrap(ctx.Err(), fault.Unavailable, "retry", "the configuration was not read in time")
		}
	}
}

// watchConfig waits for new configurations, puts each in force, and renews the key lease.
func (e *engine) watchConfig(ctx context.Context) {
	position, confirmedAt := int64(-1), bootclock.Now()
	usualWait, read := configWait, e.store.readConfig
	if e.keyLease.Limited() {
		usualWait, read = min(configWait, time.Duration(configWaitShare*float64(e.keyLease.Term()))), e.store.readConfigHedged
	}
	for ctx.Err() == nil {
		wait := usualWait
		if e.keyLease.Limited() && bootclock.Now()-confirmedAt > lateConfirmationWait*usualWait+lateReadingDelay {
			wait = 0
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
		reading, err := read(callCtx, position, wait)
		cancel()
		position = reading.next
		switch {
		case err == nil && (reading.config != nil || position >= 0):
			confirmedAt = reading.sentAt
			e.do(ctx, func(e *engine) { e.applyConfigReading(reading) })
			continue
		case fault.Is(err, fault.Invalid):
			e.log.Emit(evConfigUnreadable, "reason", err.Error(), "position", position)
			e.do(ctx, func(e *engine) {
				e.keyLease.Apply(keylease.Reading{SentAt: reading.sentAt, Outcome: keylease.Unreadable, Next: reading.next}, bootclock.Now())
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(readRetryDelay):
		}
	}
}

// applyConfigReading puts the configuration of a reading in force and renews the key lease.
func (e *engine) applyConfigReading(r configReading) {
	reading := keylease.Reading{SentAt: r.sentAt, Outcome: keylease.NothingNewer, Next: r.next}
	if r.config != nil {
		reading.Outcome, reading.Version = keylease.VersionRead, r.config.Version
		e.setConfig(r.config)
	}
	e.keyLease.Apply(reading, bootclock.Now())
}

// setConfig puts a configuration in force unless the present one is as new or newer.
func (e *engine) setConfig(c *cluster.Configuration) {
	if e.config != nil && c.Version <= e.config.Version {
		return
	}
	if e.config == nil {
		e.firstConfigAt = bootclock.Now()
	} else {
		e.metrics.forgetWorkspaces(e.config, c)
	}
	e.config, e.keyring = c, cluster.NewKeyring(c)
	e.log.Emit(evConfigInForce, "version", c.Version, "queues", len(c.Queues), "pools", len(c.Pools), "workspaces", len(c.Workspaces))
	if e.placer != nil {
		e.placer.SetConfig(c)
	}
}

// logKeyLease logs when the key lease has begun or ceased to hold.
func (e *engine) logKeyLease(now time.Duration) {
	held := e.keyLease.Holds(now)
	if !e.keyLease.Limited() || held == e.keyLeaseHeld {
		return
	}
	e.keyLeaseHeld = held
	age, everConfirmed := e.keyLease.Age(now)
	if held {
		e.log.Emit(evKeyLeaseHeld, "age_ms", age.Milliseconds(), "term_ms", e.keyLease.Term().Milliseconds())
		return
	}
	e.log.Emit(evKeyLeaseLapsed, "state", e.keyLease.State(), "ever_confirmed", everConfirmed, "age_ms", age.Milliseconds(), "term_ms", e.keyLease.Term().Milliseconds())
}
