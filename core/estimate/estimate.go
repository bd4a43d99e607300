package estimate

import (
	"cmp"
	"slices"
	"time"

	"briarproxy/core/resource"
)

// Options configures an Estimator.
type Options struct {
	SizeQuantile      float64       // fraction of past tasks whose use the estimated size must cover, 0 to 1
	RunTimeQuantile   float64       // fraction of past tasks whose run time the estimate must cover, 0 to 1
	SafetyFactor      float64       // multiplier of the size quantile
	MaxDeclaredFactor float64       // limit of the estimate as a multiple of the declared size, unless reported use exceeds it
	MinSamples        int           // number of ended tasks before estimates replace the declared values
	ReportLag         time.Duration // lag of usage reports; the use of tasks that run shorter is unknown
	PeakWindow        time.Duration // length of a period; an estimate is at least the peak use of the current and the previous one
	MaxTemplates      int           // most templates kept; the least recently used are evicted
}

// runTimeResolution is the unit of the run time histogram, which so covers 116 hours.
const runTimeResolution = 100 * time.Millisecond

// Defaults returns the options that the daemon uses.
func Defaults() Options {
	return Options{
		SizeQuantile: 0.95, RunTimeQuantile: 0.9, SafetyFactor: 1.15, MaxDeclaredFactor: 2, MinSamples: 8,
		ReportLag: 10 * time.Second, PeakWindow: 5 * time.Minute, MaxTemplates: 4096,
	}
}

// Estimator keeps usage statistics of each job template. It is not safe for concurrent
// use.
type Estimator struct {
	options   Options
	templates map[string]*template
}

// template holds the usage statistics of one job template.
type template struct {
	cores, memory histogram
	runTime       histogram       // in units of runTimeResolution
	peak          resource.Vector // highest use ever reported, by resource kind
	windows       [2]window       // the period of the last report and the one recorded before it
	lastUsed      time.Duration
}

// window holds the highest use reported in one period.
type window struct {
	index int64
	peak  resource.Vector
}

// New returns an estimator without data.
func New(o Options) *Estimator {
	return &Estimator{options: o, templates: map[string]*template{}}
}

// ObserveUse adds the reported use of one running attempt.
func (e *Estimator) ObserveUse(name string, use resource.Vector, now time.Duration) {
	e.getOrCreate(name, now).recordUse(use, e.windowIndex(now))
}

// ObserveEnd adds the peak use and the run time of a finished attempt. The use is
// ignored if the attempt was too short for the lagged reports to measure it.
func (e *Estimator) ObserveEnd(name string, peak resource.Vector, ran, now time.Duration) {
	t := e.getOrCreate(name, now)
	t.runTime.add(int64(ran / runTimeResolution))
	if ran < e.options.ReportLag {
		return
	}
	t.recordUse(peak, e.windowIndex(now))
	if peak.MilliCores > 0 {
		t.cores.add(peak.MilliCores)
	}
	if peak.MemoryMiB > 0 {
		t.memory.add(peak.MemoryMiB)
	}
}

// Size returns the estimated resource use of a new task of the template. Accelerators
// and slots are returned as declared.
func (e *Estimator) Size(name string, declared resource.Vector, now time.Duration) resource.Vector {
	t, ok := e.templates[name]
	if !ok {
		return declared
	}
	t.lastUsed = now
	recentPeak := t.recentPeak(e.windowIndex(now))
	size := declared
	size.MilliCores = e.estimateAmount(&t.cores, declared.MilliCores, t.peak.MilliCores, recentPeak.MilliCores)
	size.MemoryMiB = e.estimateAmount(&t.memory, declared.MemoryMiB, t.peak.MemoryMiB, recentPeak.MemoryMiB)
	return size
}

// estimateAmount estimates the use of one resource kind.
func (e *Estimator) estimateAmount(h *histogram, declared, peak, recentPeak int64) int64 {
	if h.total < e.options.MinSamples {
		return max(declared, recentPeak)
	}
	learned := int64(float64(h.quantile(e.options.SizeQuantile)) * e.options.SafetyFactor)
	upperBound := max(int64(float64(declared)*e.options.MaxDeclaredFactor), peak)
	return max(min(learned, upperBound), recentPeak)
}

// RunTime returns the estimated run time of a new task of the template.
func (e *Estimator) RunTime(name string, declared time.Duration) time.Duration {
	t, ok := e.templates[name]
	if !ok || t.runTime.total < e.options.MinSamples {
		return declared
	}
	return time.Duration(t.runTime.quantile(e.options.RunTimeQuantile)+1) * runTimeResolution
}

// Committed returns the amount to commit on a worker for one attempt.
func Committed(estimated, reported resource.Vector) resource.Vector {
	return estimated.Max(reported)
}

func (e *Estimator) windowIndex(now time.Duration) int64 { return int64(now / e.options.PeakWindow) }

func (e *Estimator) getOrCreate(name string, now time.Duration) *template {
	t, ok := e.templates[name]
	if !ok {
		e.evictIfFull()
		t = &template{}
		e.templates[name] = t
	}
	t.lastUsed = now
	return t
}

// evictIfFull evicts the least recently used quarter of the templates when the limit is
// reached. Evicting many at once keeps the scan of all templates rare.
func (e *Estimator) evictIfFull() {
	if len(e.templates) < e.options.MaxTemplates {
		return
	}
	names := make([]string, 0, len(e.templates))
	for name := range e.templates {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.templates[a].lastUsed, e.templates[b].lastUsed), cmp.Compare(a, b))
	})
	for _, name := range names[:len(names)/4+1] {
		delete(e.templates, name)
	}
}

// recordUse raises the overall peak and the peak of the given period.
func (t *template) recordUse(use resource.Vector, index int64) {
	t.peak = t.peak.Max(use)
	if index != t.windows[0].index {
		t.windows[1] = t.windows[0]
		t.windows[0] = window{index: index}
	}
	t.windows[0].peak = t.windows[0].peak.Max(use)
}

// recentPeak returns the highest use reported in the given period and the one before.
func (t *template) recentPeak(index int64) resource.Vector {
	var peak resource.Vector
	for _, w := range t.windows {
		if index-w.index <= 1 {
			peak = peak.Max(w.peak)
		}
	}
	return peak
}
