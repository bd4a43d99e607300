package estimate

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/resource"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20130402", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func cores(n int64) resource.Vector { return resource.Vector{MilliCores: n, MemoryMiB: n} }

// Guards against a bucket whose upper bound is below one of its amounts, which would
// make the estimate lower than the use.
func TestHistogramBucketsCoverTheirAmounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Int64Range(0, 1<<22-1).Draw(t, "amount")
		top := bucketUpperBound(bucketIndex(amount))
		assert.GreaterOrEqual(t, top, amount)
		assert.LessOrEqual(t, top, amount+amount/bucketsPerDoubling)
	})
}

// Guards against estimates below the latest reports, estimates above the limit that no
// report justifies, and different estimates from the same reports.
func TestEstimateStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Defaults()
		a, b := New(o), New(o)
		declared := cores(rapid.Int64Range(1, 10_000).Draw(t, "declared"))
		peak, last, now := int64(0), int64(0), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pass s")) * time.Second
			last = rapid.Int64Range(0, 50_000).Draw(t, "use")
			peak = max(peak, last)
			running := rapid.Bool().Draw(t, "running")
			for _, e := range []*Estimator{a, b} {
				if running {
					e.ObserveUse("job", cores(last), now)
				} else {
					e.ObserveEnd("job", cores(last), o.ReportLag, now)
				}
			}
		}
		size := a.Size("job", declared, now)
		assert.Equal(t, size, b.Size("job", declared, now))
		assert.GreaterOrEqual(t, size.MilliCores, last)
		assert.LessOrEqual(t, size.MemoryMiB, max(peak, 2*declared.MemoryMiB))
		assert.True(t, cores(last).Fits(Committed(size, cores(last))))
	})
}

// Guards against keeping a declared size although reports show far less or far more
// use, and against one outlier that determines the size permanently.
func TestEstimateFollowsReports(t *testing.T) {
	cases := map[string]struct {
		use      func(i int) int64
		min, max int64
	}{
		"declared far too large": {func(int) int64 { return 400 }, 400, 560},
		"declared too small":     {func(int) int64 { return 7000 }, 7000, 9100},
		"one outlier":            {func(i int) int64 { return map[bool]int64{true: 30_000, false: 400}[i == 5] }, 400, 560},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := New(Defaults())
			now := time.Duration(0)
			for i := range 200 {
				now += 10 * time.Second
				e.ObserveEnd("job", cores(tc.use(i)), time.Minute, now)
			}
			size := e.Size("job", cores(4000), now)
			assert.GreaterOrEqual(t, size.MilliCores, tc.min)
			assert.LessOrEqual(t, size.MilliCores, tc.max)
		})
	}
}

// Guards against using the reported use of attempts that ended before reports could
// measure it, and against estimates from too few attempts.
func TestShortOrFewAttemptsDoNotReplaceTheDeclaration(t *testing.T) {
	e := New(Defaults())
	for range 100 {
		e.ObserveEnd("short", cores(1), time.Second, 0)
	}
	assert.Equal(t, cores(4000), e.Size("short", cores(4000), 0))
	assert.InDelta(t, 1000, e.RunTime("short", time.Hour).Milliseconds(), 200)
	e.ObserveEnd("few", cores(1), time.Minute, 0)
	assert.Equal(t, cores(4000), e.Size("few", cores(4000), 0))
	assert.Equal(t, time.Hour, e.RunTime("few", time.Hour))
}

// Guards against unbounded memory use as the number of templates grows.
func TestTemplatesAreBounded(t *testing.T) {
	o := Defaults()
	o.MaxTemplates = 16
	e := New(o)
	for i := range 100 {
		e.ObserveEnd(fmt.Sprint("job", i), cores(1), time.Minute, time.Duration(i))
		require.LessOrEqual(t, len(e.templates), 16)
	}
	assert.Contains(t, e.templates, "job99")
	assert.NotContains(t, e.templates, "job0")
}
