package cwsoak_test

import (
	"math/rand/v2"
	"time"
)

// registerWorkers writes the entries of all workers as ready.
func (s *soakRun) registerWorkers() {
	for n := range s.observers {
		s.registerWorker(n, "ready")
	}
}

func (s *soakRun) registerWorker(n int, state string) {
	service := "app"
	if n >= len(s.workers) {
		service = "aux"
	}
	s.store.PutJSON("servers/"+s.observers[n].worker.ID, map[string]any{
		"service": service, "address": loopbackIP(22, n+1) + ":" + workerPort, "zone": s.observers[n].domain,
		"version": workerVersion(n), "slots": 32, "state": state, "cold-remaining-ms": 0, "sequence": s.configVersion.Load(), "born": s.observers[n].startedAt(),
	})
}

// publishConfig publishes the next configuration version.
func (s *soakRun) publishConfig() {
	s.configVersion.Add(1)
	s.writeConfig()
}

// writeConfig writes the current configuration version to the store.
func (s *soakRun) writeConfig() {
	s.mu.Lock()
	variant, accounts := s.variant, s.buildAccounts()
	s.mu.Unlock()
	s.store.PutJSON("op/config", variant.build(s.configVersion.Load(), accounts))
}

// changeConfig publishes a configuration with a random change.
func (s *soakRun) changeConfig(rng *rand.Rand) {
	s.mu.Lock()
	s.variant.change(rng)
	s.mu.Unlock()
	s.publishConfig()
}

// resetConfig publishes the usual configuration.
func (s *soakRun) resetConfig() {
	s.mu.Lock()
	s.variant = configVariant{}
	s.mu.Unlock()
	s.publishConfig()
}

// restoreStore takes the store away and brings it back from a copy of before the latest
// configuration. The operator and the workers then write again what it has lost.
func (s *soakRun) restoreStore(rng *rand.Rand) {
	copied := s.store.Copy()
	for range 1 + rng.IntN(3) {
		s.publishConfig()
		<-time.After(time.Duration(rng.IntN(400)) * time.Millisecond)
	}
	s.setStoreMode(modeReset)
	<-time.After(time.Duration(rng.IntN(400)) * time.Millisecond)
	s.store.Restore(copied)
	s.setStoreMode(modePass)
	<-time.After(time.Duration(rng.IntN(1000)) * time.Millisecond)
	s.registerWorkers()
	s.writeConfig()
}
