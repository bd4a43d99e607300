package cluster

import (
	"crypto/sha256"
	"math"

	"briarproxy/core/fault"
	"briarproxy/core/resource"
)

// Workspace is a group of callers that shares keys, a maximum and a share of the workers.
type Workspace struct {
	Name     string
	Keys     []KeyDigest
	Priority int             // 0 is the highest priority
	Weight   float64         // share of the workers while demand exceeds capacity, relative to other workspaces; also the jobs a second that it may submit
	Maximum  resource.Vector // most that its tasks may hold on all workers together; an amount of 0 is no limit
}

// KeyDigest is the digest of a key. Configurations hold no keys, as daemons pass them to each other over
// a port that anyone can connect to.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key, which is a secret.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// DigestKeys returns the digests of keys.
func DigestKeys(keys ...string) []KeyDigest {
	digests := make([]KeyDigest, 0, len(keys))
	for _, key := range keys {
		digests = append(digests, DigestKey(key))
	}
	return digests
}

// Workspace returns the workspace with the given name, or nil.
func (c *Configuration) Workspace(name string) *Workspace {
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == name {
			return &c.Workspaces[i]
		}
	}
	return nil
}

// CheckWorkspaces returns an error of kind fault.Invalid that names the first invalid field. It
// names a key by its position only.
func (c *Configuration) CheckWorkspaces() error {
	names := make(map[string]bool, len(c.Workspaces))
	holders, empty := map[KeyDigest]string{}, DigestKey("")
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		switch {
		case w.Name == "":
			return fault.New(fault.Invalid, "name the workspace", "workspaces[%d].name is missing", i)
		case names[w.Name]:
			return fault.New(fault.Invalid, "use each name once", "workspaces[%d].name repeats %q", i, w.Name)
		case w.Weight < 0 || math.IsNaN(w.Weight) || math.IsInf(w.Weight, 0):
			return fault.New(fault.Invalid, "set a finite weight of 0 or more", "workspaces[%d].weight is %v", i, w.Weight)
		case w.Maximum.MilliCores < 0 || w.Maximum.MemoryMiB < 0 || w.Maximum.Accelerators < 0:
			return fault.New(fault.Invalid, "set amounts of 0 or more; 0 is no limit", "workspaces[%d].maximum has a negative amount: %v", i, w.Maximum)
		}
		names[w.Name] = true
		for k, key := range w.Keys {
			if key == empty {
				return fault.New(fault.Invalid, "remove the key or set it", "workspaces[%d].keys[%d] is empty", i, k)
			}
			if holder, held := holders[key]; held {
				return fault.New(fault.Invalid, "use each key once", "workspaces[%d].keys[%d] repeats a key of workspace %q", i, k, holder)
			}
			holders[key] = w.Name
		}
	}
	return nil
}

// Keyring finds the workspace that a key belongs to. It holds digests, so a lookup takes the same
// time whatever part of a guessed key is right.
type Keyring struct {
	workspaces map[KeyDigest]string
	weights    map[string]float64 // by workspace
}

// NewKeyring returns the keyring of a configuration.
func NewKeyring(c *Configuration) *Keyring {
	k := &Keyring{workspaces: map[KeyDigest]string{}, weights: make(map[string]float64, len(c.Workspaces))}
	for i := range c.Workspaces {
		k.weights[c.Workspaces[i].Name] = c.Workspaces[i].Weight
		for _, key := range c.Workspaces[i].Keys {
			k.workspaces[key] = c.Workspaces[i].Name
		}
	}
	return k
}

// Workspace returns the name of the workspace that holds the key, and false if none does.
func (k *Keyring) Workspace(key string) (name string, known bool) {
	if k == nil || key == "" {
		return "", false
	}
	name, known = k.workspaces[DigestKey(key)]
	return name, known
}

// Weight returns the weight of a workspace, or 0 if it is not in the configuration.
func (k *Keyring) Weight(workspace string) float64 {
	if k == nil {
		return 0
	}
	return k.weights[workspace]
}
