package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/object"
	"briarproxy/core/resource"
)

// largeSet returns a set with 620 teams, which is the scale that the system is designed
// for, 400 batch jobs and 100 services. The quota of one team is a parameter.
func largeSet(quota int64) *object.Set {
	s := setWithTeam("x")
	for i := range int64(620) {
		name := fmt.Sprintf("team-%03d", i)
		s.Teams[name] = &object.Team{
			Name: name, Weight: float64(i%7 + 1),
			Quota: resource.Vector{MilliCores: i * 1000, MemoryMiB: i * 4096, Accelerators: i % 9},
		}
	}
	for i := range 400 {
		name := fmt.Sprintf("job-%03d", i)
		s.BatchJobs[name] = &object.BatchJob{JobTemplate: object.JobTemplate{
			Name: name, Pool: fmt.Sprintf("pool-%d", i%11), Policy: "p", Team: fmt.Sprintf("team-%03d", i), Operation: "op",
			Tasks: i, Resources: resource.Vector{MilliCores: int64(i * 10), MemoryMiB: int64(i * 64)},
			RunTime: time.Duration(i) * time.Second, MaxAttempts: 3,
		}}
	}
	for i := range 100 {
		name := fmt.Sprintf("svc-%03d", i)
		operation := &object.Operation{Policy: "p", RunTime: time.Second, MaxRunTime: time.Minute}
		s.Services[name] = &object.Service{
			Name: name, Pool: "p", Team: "t", MaxBodyBytes: 1 << 20,
			Operations: map[string]*object.Operation{"a": operation, "b": operation},
		}
	}
	s.Teams["team-500"].Quota.MilliCores = quota
	return s
}

// BenchmarkApply measures the time and the record size for a reader to apply one
// changed team, as a whole set and as a delta.
func BenchmarkApply(b *testing.B) {
	first, second := largeSet(1), largeSet(2)
	p := Publication{ID: "10", Base: 10, Author: "operator", Message: "raise the quota", Set: second}
	wholeSet, err := EncodePublication(p)
	require.NoError(b, err)
	delta, err := EncodeDelta(p, first)
	require.NoError(b, err)
	for name, data := range map[string][]byte{"whole": wholeSet, "delta": delta} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s := NewState(0)
				s.version, s.set = p.Base, first
				require.Equal(b, EffectAccepted, s.Apply(0, data))
			}
			b.ReportMetric(float64(len(data)), "record-bytes")
		})
	}
}
