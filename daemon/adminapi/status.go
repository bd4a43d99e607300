package adminapi

import (
	"sort"

	"briarproxy/daemon/view"
)

// Status describes the cell as this daemon sees it.
type Status struct {
	Name          string         `json:"name"`
	Incarnation   int64          `json:"incarnation"`
	Region        string         `json:"region"`
	DataCentre    string         `json:"data_centre"`
	Draining      bool           `json:"draining"`
	ConfigVersion int64          `json:"config_version"`
	LogHealthy    bool           `json:"log_healthy"`
	Daemons       []DaemonStatus `json:"daemons"`
	Units         []UnitStatus   `json:"units"`
	Workers       int            `json:"workers"`
	Leaving       []string       `json:"leaving,omitempty"` // names of leaving VMs
}

// DaemonStatus is one daemon.
type DaemonStatus struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	DataCentre    string `json:"data_centre"`
	Live          bool   `json:"live"`
	Draining      bool   `json:"draining"`
	ConfigVersion int64  `json:"config_version"`
}

// UnitStatus is one ownership unit; Owner is "" when it is free.
type UnitStatus struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
}

// StatusOf reads a snapshot; lists are sorted by name.
func StatusOf(s *view.Snapshot) Status {
	status := Status{
		Name:          s.Self.Name,
		Incarnation:   s.Self.Incarnation,
		Region:        s.Self.Region,
		DataCentre:    s.Self.DataCentre,
		Draining:      s.Self.Draining,
		ConfigVersion: s.ConfigVersion,
		LogHealthy:    s.LogHealthy,
		Workers:       len(s.VMs),
	}
	for _, d := range s.Daemons {
		status.Daemons = append(status.Daemons, DaemonStatus{d.Name, d.Region, d.DataCentre, d.Live, d.Draining, d.ConfigVersion})
	}
	for _, u := range s.Units {
		status.Units = append(status.Units, UnitStatus{u.Name, u.Owner, u.Epoch})
	}
	for _, vm := range s.VMs {
		if vm.Leaving {
			status.Leaving = append(status.Leaving, vm.Name)
		}
	}
	sort.Slice(status.Daemons, func(i, j int) bool { return status.Daemons[i].Name < status.Daemons[j].Name })
	sort.Slice(status.Units, func(i, j int) bool { return status.Units[i].Name < status.Units[j].Name })
	sort.Strings(status.Leaving)
	return status
}
