package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/record"
)

// targetCell returns the state of one of so many daemons that own so many units,
// the units themselves and one heartbeat of each daemon.
func targetCell(daemons, units int) (*State, []Unit, []record.Record) {
	s := New(Identity{Name: "d-000", Incarnation: 1}, DefaultTiming())
	s.StartAt(0)
	names := make([]string, daemons)
	var all []Unit
	for i := range daemons {
		names[i] = fmt.Sprintf("d-%03d", i)
	}
	held := make([][]record.HeldUnit, daemons)
	offset := int64(1)
	for i := range units {
		unit := Unit{Name: fmt.Sprintf("rack:dc-%02d/rack-%03d", i%30, i), Region: "r", DataCentre: "d"}
		all = append(all, unit)
		owner := i % daemons
		s.Apply(offset, claim(names[owner], offset, unit.Name, record.NoRecord), 0)
		held[owner] = append(held[owner], record.HeldUnit{Name: unit.Name, Epoch: offset})
		offset++
	}
	beats := make([]record.Record, daemons)
	for i, name := range names {
		beats[i] = beat(name, 1, held[i]...)
		beats[i].Heartbeat.PeerAddress, beats[i].Heartbeat.CallerAddress = "10.100.100.100:8081", "10.100.100.100:8080"
		beats[i].Heartbeat.Region, beats[i].Heartbeat.DataCentre = "region-01", "dc-01"
	}
	return s, all, beats
}

var benchSizes = []struct{ daemons, units int }{{3, 66}, {30, 514}, {150, 2314}}

// BenchmarkHeartbeat measures what a reader pays for one heartbeat, in time and
// bytes, and BenchmarkDecide one decision, for cells of several sizes.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d/units=%d", size.daemons, size.units), func(b *testing.B) {
			s, _, beats := targetCell(size.daemons, size.units)
			line, err := record.Encode(beats[0])
			require.NoError(b, err)
			offset := int64(size.units) + 1
			for i := 0; b.Loop(); i++ {
				decoded, _ := record.Decode(line)
				require.Len(b, decoded, 1)
				s.Apply(offset, beats[i%len(beats)], time.Second)
				offset++
			}
			b.ReportMetric(float64(len(line)), "record-bytes")
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d/units=%d", size.daemons, size.units), func(b *testing.B) {
			s, units, beats := targetCell(size.daemons, size.units)
			for i, beat := range beats {
				s.Apply(int64(size.units+1+i), beat, time.Second)
			}
			s.ReadSucceeded(time.Second)
			for b.Loop() {
				s.Decide(time.Second, units, false)
			}
		})
	}
}
