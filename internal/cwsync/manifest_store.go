// Package cwsync keeps an instance in sync with the platform and with peers: it follows the
// configuration and the lists of instances and endpoints, and pulls published state from
// peers.
package cwsync

import (
	"sync"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// ManifestStore keeps the latest manifests, byte for byte as published, so that peers
// can fetch them and verify their hash.
type ManifestStore struct {
	mu     sync.Mutex
	byHash map[string][]byte
	// hashes are those of the manifests in byHash, the oldest first.
	hashes []string
}

// maxManifests is the maximum number of manifests kept. It is above 1 because a manifest is
// put before its configuration takes effect, while peers may still fetch earlier ones.
const maxManifests = 4

// NewManifestStore returns an empty store.
func NewManifestStore() *ManifestStore {
	return &ManifestStore{byHash: make(map[string][]byte)}
}

// Put adds a manifest. It removes the oldest one if there are more than maxManifests.
func (m *ManifestStore) Put(manifest []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	hash := cwconfig.HashOf(manifest)
	if m.byHash[hash] != nil {
		return
	}
	m.byHash[hash] = manifest
	m.hashes = append(m.hashes, hash)
	if len(m.hashes) > maxManifests {
		delete(m.byHash, m.hashes[0])
		m.hashes = m.hashes[1:]
	}
}

// ManifestBytes returns the manifest of the state, or nil if it is not kept.
func (m *ManifestStore) ManifestBytes(state *cwconfig.State) []byte {
	if state == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byHash[state.Version.Hash]
}
