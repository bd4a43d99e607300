package node

import (
	"runtime/debug"

	"github.com/phuslu/log"

	"briarproxy/daemon/settings"
)

// Reload puts new settings in force, as far as they may change while the daemon
// runs. With an error, or a change that needs a restart, the old ones stay.
func (n *Node) Reload(s *settings.Settings, err error) {
	if err == nil {
		err = settings.CheckReload(n.settings, s)
	}
	if err != nil {
		n.events.Emit(eventReloadNo, "error", err.Error())
		return
	}
	debug.SetMemoryLimit(s.MemoryLimitBytes)
	n.cellRate.Store(int64(s.LogAppendsPerSecond))
	n.events.SetLevel(log.ParseLevel(s.LogLevel))
	n.drainDelay.Store(int64(s.DrainDelay))
	n.events.Emit(eventReload, "log_level", s.LogLevel, "log_appends_per_second", s.LogAppendsPerSecond)
}
