package cluster

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"briarproxy/core/resource"
)

func TestInvalidWorkspacesAreRefusedWithTheFieldAndWithoutTheKey(t *testing.T) {
	for field, workspaces := range map[string][]Workspace{
		"workspaces[0].name":    {{Keys: DigestKeys("secret")}},
		"workspaces[1].name":    {{Name: "a"}, {Name: "a"}},
		"workspaces[1].keys[0]": {{Name: "a", Keys: DigestKeys("secret")}, {Name: "b", Keys: DigestKeys("secret")}},
		"workspaces[0].keys[1]": {{Name: "a", Keys: DigestKeys("secret", "")}},
		"workspaces[0].maximum": {{Name: "a", Maximum: resource.Vector{MemoryMiB: -1}}},
		"workspaces[0].weight":  {{Name: "a", Weight: -1}},
	} {
		err := (&Configuration{Workspaces: workspaces}).CheckWorkspaces()
		require.ErrorContains(t, err, field)
		require.NotContains(t, err.Error(), "secret")
	}
	require.NoError(t, (&Configuration{Workspaces: []Workspace{{Name: "a", Keys: DigestKeys("k1", "k2")}, {Name: "b"}}}).CheckWorkspaces())
}

func TestKeyringKnowsOnlyKeysOfTheConfiguration(t *testing.T) {
	k := NewKeyring(&Configuration{Workspaces: []Workspace{{Name: "a", Keys: DigestKeys("k1", "k2")}, {Name: "b", Keys: DigestKeys("k3")}}})
	name, known := k.Workspace("k3")
	require.True(t, known)
	require.Equal(t, "b", name)
	for _, key := range []string{"", "k", "k4", "a"} {
		_, known := k.Workspace(key)
		require.False(t, known, "key %q", key)
	}
}

func BenchmarkKeyringOf10000Workspaces(b *testing.B) {
	c := &Configuration{}
	for i := range 10_000 {
		c.Workspaces = append(c.Workspaces, Workspace{Name: strconv.Itoa(i), Keys: DigestKeys("first-key-of-"+strconv.Itoa(i), "second-key-of-"+strconv.Itoa(i))})
	}
	k := NewKeyring(c)
	for b.Loop() {
		_, _ = k.Workspace("second-key-of-7777")
	}
}
