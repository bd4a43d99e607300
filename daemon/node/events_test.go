package node

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	_ "briarproxy/daemon/cell" // defines the events of daemons on the users' platform
	"briarproxy/daemon/event"
)

var update = flag.Bool("update", false, "write docs/events.md from the code")

const eventsPage = "../../docs/events.md"

// Guards against a page of log events that lacks an event of the code, keeps one
// that is gone, or gives an operator another text than the code.
func TestEventsPageMatchesTheCode(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(eventsPage, event.Page(), 0o644))
	}
	page, err := os.ReadFile(eventsPage)
	require.NoError(t, err)
	const remedy = "docs/events.md differs from the code; run: go test ./daemon/node -run Events -update"
	want, got := strings.Split(string(event.Page()), "\n"), strings.Split(string(page), "\n")
	for i := range min(len(want), len(got)) {
		require.Equal(t, want[i], got[i], remedy)
	}
	require.Len(t, got, len(want), remedy)
}

// Guards against events that tell an operator nothing.
func TestEventsHaveAMeaning(t *testing.T) {
	for _, e := range event.Catalogue() {
		require.NotEmpty(t, e.Name, e.Number)
		require.Greater(t, len(e.Meaning), 20, "event %d %q", e.Number, e.Name)
	}
}
