package control

import (
	"briarproxy/core/object"
	"briarproxy/core/ownership"
	"briarproxy/daemon/view"
)

// publish makes a snapshot of everything and hands it to the rest of the daemon.
func (c *Control) publish() {
	c.dirty, c.stale = false, false
	c.publishedAt = c.Now()
	snapshot := &view.Snapshot{
		Self: c.Self, Set: &object.Set{}, LogHealthy: c.logHealthy,
		Units: map[string]view.Unit{}, Daemons: map[string]view.Daemon{}, VMs: c.vms.current(c.Now()),
	}
	if c.configKnown {
		snapshot.ConfigVersion = c.config.Version()
		snapshot.Set = c.config.Set()
	}
	snapshot.Self.ConfigVersion = snapshot.ConfigVersion
	snapshot.Self.Live = true
	live := c.addDaemons(snapshot)
	c.addUnits(snapshot)
	c.Budget.SetShare(c.CellRate(), live)
	c.View.Publish(snapshot)
}

func (c *Control) addDaemons(snapshot *view.Snapshot) (live int) {
	c.units.Members(func(m ownership.Member, alive bool) {
		if alive {
			live++
		}
		snapshot.Daemons[m.Name] = view.Daemon{
			Name: m.Name, Incarnation: m.Incarnation, PeerAddress: m.Heartbeat.PeerAddress,
			CallerAddress: m.Heartbeat.CallerAddress, AdminAddress: m.Heartbeat.AdminAddress,
			Region: m.Heartbeat.Region, DataCentre: m.Heartbeat.DataCentre,
			ConfigVersion: m.Heartbeat.ConfigVersion, Draining: m.Heartbeat.Draining, Live: alive,
		}
	}, c.Now())
	snapshot.Daemons[c.Self.Name] = snapshot.Self
	return live
}

func (c *Control) addUnits(snapshot *view.Snapshot) {
	self := ownership.Identity{Name: c.Self.Name, Incarnation: c.Self.Incarnation}
	mine := map[string]int64{}
	c.units.Units(func(name string, h ownership.Holding) {
		u := view.Unit{Name: name, Owner: h.Owner.Name, Epoch: h.Epoch, AfterRelease: h.AfterRelease}
		if h.Owner == self {
			u.LeaseUntil = c.units.LeaseUntil(name)
			u.Mine = u.LeaseUntil > 0
		}
		if u.Mine {
			mine[name] = h.Epoch
		}
		snapshot.Units[name] = u
	})
	c.logUnits(mine)
	c.mine = mine
}

func (c *Control) logUnits(mine map[string]int64) {
	gained, lost := 0, 0
	for name, epoch := range mine {
		if old, had := c.mine[name]; !had || old != epoch {
			gained++
		}
	}
	for name := range c.mine {
		if _, still := mine[name]; !still {
			lost++
		}
	}
	if gained > 0 {
		c.Events.Emit(eventOwns, "gained", gained, "owned", len(mine))
	}
	if lost > 0 {
		c.Events.Emit(eventLoses, "lost", lost, "owned", len(mine))
	}
}
