package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against bounds that are exceeded, against a whole or young request that is abandoned, and
// against bytes that stay reserved after their connection is closed.
func TestBoundsHoldUnderAnyCrowd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: rapid.IntRange(minConnections, 40).Draw(t, "connections"), Bytes: rapid.Int64Range(1<<20, 4<<20).Draw(t, "bytes")}
		g := NewGate(limits)
		now := time.Duration(0)
		var open, closed []*Connection
		checkEvicted := func(evicted ...*Connection) {
			for _, c := range evicted {
				if c == nil {
					continue
				}
				require.True(t, c.Leaving())
				require.NotContains(t, []Stage{Serving, Waiting}, c.Stage())
				require.GreaterOrEqual(t, now-c.since, GracePeriod)
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			action := rapid.IntRange(0, 9).Draw(t, "action")
			if len(open) == 0 || action < 4 {
				c, evicted := g.Open(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "address")), now)
				checkEvicted(evicted)
				if c != nil {
					open = append(open, c)
				}
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "connection")
			c := open[i]
			switch {
			case action < 6:
				g.Enter(c, Stage(rapid.IntRange(0, int(Idle)).Draw(t, "stage")), now)
				g.Receive(c, rapid.IntRange(0, 1<<18).Draw(t, "received"))
			case action < 9:
				reserved, evicted := g.Reserve(c, rapid.Int64Range(1, 1<<20).Draw(t, "reserve"), now)
				checkEvicted(evicted...)
				require.False(t, reserved && len(evicted) > 0)
			default:
				g.Close(c)
				open, closed = append(open[:i], open[i+1:]...), append(closed, c)
			}
			for _, c := range closed { // a server may still use what was closed from elsewhere
				g.Enter(c, Idle, now)
				reserved, _ := g.Reserve(c, 1, now)
				require.False(t, reserved)
			}
			connections, bytes := g.Used()
			require.LessOrEqual(t, connections, limits.Connections)
			require.LessOrEqual(t, bytes, limits.Bytes)
			require.Equal(t, len(open), connections)
		}
		for _, c := range open {
			g.Close(c)
			g.Close(c) // closing twice changes nothing
		}
		connections, bytes := g.Used()
		require.Zero(t, connections)
		require.Zero(t, bytes)
		require.Zero(t, g.leavingBytes)
		require.Empty(t, g.addresses)
	})
}

// Guards against a full gate that abandons the wrong connection.
func TestLeastProgressGivesWayFirst(t *testing.T) {
	g := NewGate(Limits{Connections: 16, Bytes: 1 << 20})
	var open []*Connection
	for i := range 14 {
		c, evicted := g.Open("a", 0)
		require.Nil(t, evicted)
		g.Enter(c, Receiving, 0)
		g.Receive(c, 1000*(i+1))
		open = append(open, c)
	}
	g.Enter(open[0], Serving, 0)
	g.Enter(open[1], Idle, 0)
	g.Receive(open[3], -1000) // as slow as open[2], and newer
	newcomer, evicted := g.Open("a", GracePeriod-1)
	require.Nil(t, evicted, "nothing gives way within the grace period")
	for _, expected := range []*Connection{open[3], open[2], open[4]} {
		g.Close(newcomer)
		g.Enter(newOpen(t, g), Serving, 0)
		newcomer, evicted = g.Open("a", time.Second)
		require.Same(t, expected, evicted)
		g.Close(evicted)
	}
	g.Close(newcomer)
	for _, c := range open[5:] {
		g.Enter(c, Serving, time.Second)
	}
	for range 2 {
		g.Enter(newOpen(t, g), Serving, 0)
	}
	refused, evicted := g.Open("a", time.Second)
	require.Same(t, open[1], evicted, "the idle connection gives way once nothing unfinished is left")
	require.Nil(t, refused, "the evicted connection still has its descriptor")
}

func newOpen(t *testing.T, g *Gate) *Connection {
	c, _ := g.Open("a", 0)
	require.NotNil(t, c)
	return c
}

// Guards against one address that keeps others out.
func TestAnAddressCannotTakeAll(t *testing.T) {
	g := NewGate(Limits{Connections: 16, Bytes: 1 << 20})
	for range 16 {
		_, _ = g.Open("crowd", 0)
	}
	other, evicted := g.Open("other", time.Second)
	require.Nil(t, other)
	require.Equal(t, "crowd", evicted.address)
	g.Close(evicted)
	other, evicted = g.Open("other", time.Second)
	require.NotNil(t, other)
	require.Equal(t, "crowd", evicted.address)
	g.Close(evicted)
	g.Enter(other, Receiving, time.Second)
	for i := range 50 {
		c, evicted := g.Open("crowd", time.Second+time.Duration(i)*time.Millisecond)
		if evicted != nil {
			require.Equal(t, "crowd", evicted.address)
			g.Close(evicted)
		}
		_ = c
	}
	require.False(t, other.Leaving())
}

// Guards against large bodies that leave no bytes for small ones.
func TestSmallBodiesHaveAReserve(t *testing.T) {
	g := NewGate(Limits{Connections: 64, Bytes: 4 << 20})
	for range 32 {
		c, _ := g.Open("a", 0)
		g.Enter(c, Receiving, 0)
		_, _ = g.Reserve(c, 256<<10, 0)
	}
	c, _ := g.Open("a", 0)
	g.Enter(c, Receiving, 0)
	reserved, _ := g.Reserve(c, SmallReservation, 0)
	require.True(t, reserved)
}

// Guards against limits that leave no room for workers, and against ones that no request passes.
func TestLimitsFollowFromTheMachine(t *testing.T) {
	for _, machine := range []Machine{{32 << 20, 0}, {128 << 20, 512}, {144 << 20, 4100}, {536 << 20, 8192}} {
		ports := Divide(machine)
		require.GreaterOrEqual(t, ports.Callers.Bytes*7/8, int64(BodyPrice*256<<10))
		require.GreaterOrEqual(t, ports.Peers.Bytes, int64(LargestMessage))
		sum := ports.Callers.Connections + ports.Peers.Connections + ports.Ready.Connections + ports.Metrics.Connections
		if machine.Descriptors > 0 {
			require.Less(t, sum, machine.Descriptors*6/10)
		}
	}
	require.Equal(t, time.Second, ReadUntil(0, 1<<30, time.Second))
	require.Equal(t, StartTime+2*time.Second, ReadUntil(0, 2*MinRate, time.Minute))
}

// BenchmarkRequest measures what the gate costs a request on an open connection.
func BenchmarkRequest(b *testing.B) {
	g := NewGate(Limits{Connections: 1000, Bytes: 16 << 20})
	c, _ := g.Open("a", 0)
	for i := range b.N {
		now := time.Duration(i)
		g.Enter(c, Receiving, now)
		g.Receive(c, 500)
		_, _ = g.Reserve(c, 1500, now)
		g.Enter(c, Serving, now)
		g.Enter(c, Sending, now)
		g.Enter(c, Serving, now)
		g.Enter(c, Idle, now)
	}
}
