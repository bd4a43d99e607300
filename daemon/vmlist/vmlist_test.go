package vmlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an old list that stays in force after a change, and against a
// whole list on every poll.
func TestGetAsksOnlyForChanges(t *testing.T) {
	tag, body := `"1"`, `{"vms":[{"name":"vm-1"}]}`
	var sent []int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			sent = append(sent, http.StatusNotModified)
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent = append(sent, http.StatusOK)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	client := New(server.URL)
	get := func() []string {
		vms, err := client.Get(context.Background())
		require.NoError(t, err)
		var names []string
		for _, vm := range vms {
			names = append(names, vm.Name)
		}
		return names
	}
	assert.Equal(t, []string{"vm-1"}, get())
	assert.Equal(t, []string{"vm-1"}, get())
	tag, body = `"2"`, `{"vms":[{"name":"vm-1"},{"name":"vm-2"}]}`
	assert.Equal(t, []string{"vm-1", "vm-2"}, get())
	assert.Equal(t, []int{http.StatusOK, http.StatusNotModified, http.StatusOK}, sent)
}
