package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// applyHellos applies the Hello records and returns the published addresses, and how often they were
// published.
func applyHellos(api *callerAPI, hellos ...flow.Hello) (addresses []string, published int) {
	api.onEngine(func(e *engine) {
		for i := range hellos {
			before := e.membersPublishedAt
			e.applyRecord(api.ctx, &decodedRecord{record: flow.Record{Hello: &hellos[i]}}, bootclock.Now())
			e.publishMembersIfDue(bootclock.Now())
			if e.membersPublishedAt != before {
				published++
			}
		}
		addresses = *e.store.memberAddresses.Load()
	})
	return addresses, published
}

// Guards against a cost of each Hello that grows with the number of daemons. With 304 daemons that start
// at the same time, sorting all of them for each Hello took 1.5 s of a small daemon's processor, in which
// it took the silence for that of the store.
func TestAnnouncementsOfManyDaemonsArePublishedTogether(t *testing.T) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	hellos := make([]flow.Hello, 300)
	for i := range hellos {
		hellos[i] = flow.Hello{Daemon: fmt.Sprintf("d%03d", i), Address: fmt.Sprintf("10.0.0.1:%d", i), CapacityFactor: float64(i % 7)}
	}
	api.onEngine(func(e *engine) { e.membersPublishedAt = bootclock.Now() })
	_, published := applyHellos(api, hellos...)
	require.LessOrEqual(t, published, 3)
	require.Eventually(t, func() bool {
		addresses, _ := applyHellos(api, hellos[0])
		return len(addresses) == len(hellos)
	}, 5*time.Second, 10*time.Millisecond)

	time.Sleep(2 * membersPublishDelay)
	_, published = applyHellos(api, hellos...)
	require.Zero(t, published, "nothing has changed")
}

// Guards against calls that are relayed through a daemon at an address that it has left.
func TestChangedAddressesArePublished(t *testing.T) {
	api := newTestCallerAPI(t, &fakeStore{}, 0)
	h := flow.Hello{Daemon: "b", Address: "10.0.0.1:1", StartedMS: 1}
	published := func(h flow.Hello) func() bool {
		return func() bool {
			addresses, _ := applyHellos(api, h)
			return len(addresses) == 1 && addresses[0] == h.Address
		}
	}
	require.Eventually(t, published(h), 5*time.Second, 10*time.Millisecond)
	h.Address, h.StartedMS = "10.0.0.2:1", 2
	require.Eventually(t, published(h), 5*time.Second, 10*time.Millisecond)
	h.Leaving = true
	require.Eventually(t, func() bool { addresses, _ := applyHellos(api, h); return len(addresses) == 0 }, 5*time.Second, 10*time.Millisecond)
}
