package place

// Distance returns 0 for a worker in the local data centre, 1 for one in the local
// region, else 2.
func (o *Options) Distance(w *WorkerState) int { return distance(w.Region, w.DataCentre, o) }

// InScope reports whether the options allow a worker at that distance.
func (o *Options) InScope(w *WorkerState) bool { return o.Distance(w) <= maxDistance(o.Scope) }

// distance returns 0 for the local data centre, 1 for the local region, else 2.
func distance(region, dataCentre string, o *Options) int {
	if dataCentre == o.DataCentre {
		return 0
	}
	if region == o.Region {
		return 1
	}
	return 2
}

// maxDistance returns the largest distance that the scope allows.
func maxDistance(scope Scope) int {
	switch scope {
	case ScopeDataCentre:
		return 0
	case ScopeRegion:
		return 1
	default:
		return 2
	}
}
