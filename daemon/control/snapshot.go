package control

import (
	"time"

	"briarproxy/core/ownership"
	"briarproxy/daemon/view"
)

// publishIfChanged publishes a snapshot if something has changed since the last.
func (c *Control) publishIfChanged() {
	healthy := c.logHealthy(c.options.Clock())
	if c.dirty || healthy != c.holder.Current().LogHealthy {
		c.publish()
	}
}

func (c *Control) logHealthy(now time.Duration) bool {
	return now-c.lastLog <= healthyBeats*c.options.HeartbeatEvery
}

func (c *Control) publish() {
	c.dirty = false
	now := c.options.Clock()
	s := &view.Snapshot{
		Self:       c.options.Self,
		Units:      map[string]view.Unit{},
		Daemons:    map[string]view.Daemon{},
		VMs:        c.vms.current(now),
		LogHealthy: c.logHealthy(now),
	}
	_, s.Set = c.options.Config.Current()
	s.ConfigVersion = c.version
	s.Self.ConfigVersion = c.version
	s.Self.Draining = c.draining
	s.Self.Live = true
	self := ownership.Identity{Name: s.Self.Name, Incarnation: s.Self.Incarnation}
	for _, unit := range c.units {
		s.Units[unit.Name] = view.Unit{Name: unit.Name}
	}
	c.state.Units(func(name string, h ownership.Holding) {
		u := view.Unit{Name: name, Owner: h.Owner.Name, Epoch: h.Epoch}
		if h.Owner == self {
			u.LeaseUntil = c.state.LeaseUntil(name)
			u.Mine = u.LeaseUntil > 0
		}
		s.Units[name] = u
	})
	live := c.daemons(s, now)
	if c.options.Share != nil {
		c.options.Share.SetShare(c.options.CellRate, live)
	}
	c.holder.Publish(s)
}

// daemons fills in the known daemons and returns the number of live ones. During a
// log outage no heartbeat can be read, so the last known liveness is kept.
func (c *Control) daemons(s *view.Snapshot, now time.Duration) (live int) {
	last := c.holder.Current().Daemons
	c.state.Members(func(m ownership.Member, isLive bool) {
		h := m.Heartbeat
		if !s.LogHealthy {
			isLive = isLive || last[m.Name].Live
		}
		if isLive {
			live++
		}
		s.Daemons[m.Name] = view.Daemon{
			Name:          m.Name,
			Incarnation:   m.Incarnation,
			PeerAddress:   h.PeerAddress,
			CallerAddress: h.CallerAddress,
			AdminAddress:  h.AdminAddress,
			Region:        h.Region,
			DataCentre:    h.DataCentre,
			ConfigVersion: h.ConfigVersion,
			Draining:      h.Draining,
			Live:          isLive,
		}
	}, now)
	return live
}
