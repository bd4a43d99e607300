package estimate

import (
	"cmp"
	"slices"
	"time"

	"briarproxy/core/resource"
)

// Options bound the estimates.
type Options struct {
	Quantile     float64       // share of past tasks that the size must suffice for, 0 to 1
	RunQuantile  float64       // the same for run times
	Safety       float64       // factor on the quantile
	DeclaredTop  float64       // bound: declared size times this, unless reports prove more
	MinSamples   int           // ended tasks needed before the declared size is replaced
	Lag          time.Duration // lag of reports; the use of shorter tasks is not known
	Window       time.Duration // reports of this period count as present
	MaxTemplates int           // templates kept; the one unused for longest is dropped
}

// runUnit is the resolution of run times. The histogram then covers 116 hours.
const runUnit = 100 * time.Millisecond

// Defaults returns the options that the daemon uses.
func Defaults() Options {
	return Options{
		Quantile: 0.95, RunQuantile: 0.9, Safety: 1.15, DeclaredTop: 2, MinSamples: 8,
		Lag: 10 * time.Second, Window: 5 * time.Minute, MaxTemplates: 4096,
	}
}

// Estimator holds what is known about each template. It is not safe for
// concurrent use.
type Estimator struct {
	options   Options
	templates map[string]*template
}

// template is what is known about one job template.
type template struct {
	cores, memory histogram
	runTime       histogram       // in units of runUnit
	most          resource.Vector // most use ever reported
	windows       [2]window       // present and previous period
	used          time.Duration
}

// window is the most use reported in one period.
type window struct {
	number int64
	most   resource.Vector
}

// New returns an estimator that knows nothing.
func New(o Options) *Estimator {
	return &Estimator{options: o, templates: map[string]*template{}}
}

// Reported takes the use that a report shows for one running attempt.
func (e *Estimator) Reported(name string, use resource.Vector, now time.Duration) {
	e.get(name, now).seen(use, e.windowOf(now))
}

// Ended takes the peak use and the run time of an attempt that finished. Use that
// the lagged reports could not have measured is not learned from.
func (e *Estimator) Ended(name string, peak resource.Vector, ran, now time.Duration) {
	t := e.get(name, now)
	t.runTime.add(int64(ran / runUnit))
	if ran < e.options.Lag {
		return
	}
	t.seen(peak, e.windowOf(now))
	if peak.MilliCores > 0 {
		t.cores.add(peak.MilliCores)
	}
	if peak.MemoryMiB > 0 {
		t.memory.add(peak.MemoryMiB)
	}
}

// Size returns the estimate for a new task of the template. Accelerators and slots
// are as declared.
func (e *Estimator) Size(name string, declared resource.Vector, now time.Duration) resource.Vector {
	t, ok := e.templates[name]
	if !ok {
		return declared
	}
	t.used = now
	present := t.present(e.windowOf(now))
	size := declared
	size.MilliCores = e.amount(&t.cores, declared.MilliCores, t.most.MilliCores, present.MilliCores)
	size.MemoryMiB = e.amount(&t.memory, declared.MemoryMiB, t.most.MemoryMiB, present.MemoryMiB)
	return size
}

// amount estimates one kind of resource.
func (e *Estimator) amount(h *histogram, declared, most, present int64) int64 {
	if h.total < e.options.MinSamples {
		return max(declared, present)
	}
	learned := int64(float64(h.quantile(e.options.Quantile)) * e.options.Safety)
	top := max(int64(float64(declared)*e.options.DeclaredTop), most)
	return max(min(learned, top), present)
}

// RunTime returns the estimated run time of a new task of the template.
func (e *Estimator) RunTime(name string, declared time.Duration) time.Duration {
	t, ok := e.templates[name]
	if !ok || t.runTime.total < e.options.MinSamples {
		return declared
	}
	return time.Duration(t.runTime.quantile(e.options.RunQuantile)+1) * runUnit
}

// Committed returns what a worker must count for one attempt.
func Committed(estimated, reported resource.Vector) resource.Vector {
	return estimated.Max(reported)
}

func (e *Estimator) windowOf(now time.Duration) int64 { return int64(now / e.options.Window) }

func (e *Estimator) get(name string, now time.Duration) *template {
	t, ok := e.templates[name]
	if !ok {
		e.makeRoom()
		t = &template{}
		e.templates[name] = t
	}
	t.used = now
	return t
}

// makeRoom drops the quarter of the templates that was unused for longest, so
// that the scan is rare.
func (e *Estimator) makeRoom() {
	if len(e.templates) < e.options.MaxTemplates {
		return
	}
	names := make([]string, 0, len(e.templates))
	for name := range e.templates {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.templates[a].used, e.templates[b].used), cmp.Compare(a, b))
	})
	for _, name := range names[:len(names)/4+1] {
		delete(e.templates, name)
	}
}

// seen raises the maximum of the present period.
func (t *template) seen(use resource.Vector, number int64) {
	t.most = t.most.Max(use)
	if number != t.windows[0].number {
		t.windows[1] = t.windows[0]
		t.windows[0] = window{number: number}
	}
	t.windows[0].most = t.windows[0].most.Max(use)
}

// present returns the most use reported in this period and the one before.
func (t *template) present(number int64) resource.Vector {
	var most resource.Vector
	for _, w := range t.windows {
		if number-w.number <= 1 {
			most = most.Max(w.most)
		}
	}
	return most
}
