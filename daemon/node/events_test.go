package node

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

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
	require.Equal(t, string(event.Page()), string(page),
		"docs/events.md differs from the code; run: go test ./daemon/node -run Events -update")
}

// Guards against events that tell an operator nothing.
func TestEventsHaveAMeaning(t *testing.T) {
	for _, e := range event.Catalogue() {
		require.NotEmpty(t, e.Name, e.Number)
		require.Greater(t, len(e.Meaning), 20, "event %d %q", e.Number, e.Name)
	}
}
