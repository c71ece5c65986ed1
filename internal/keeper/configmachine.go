package keeper

import (
	"sync"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/team"
)

// ConfigMachine is the state machine of the configuration group.
type ConfigMachine struct {
	mu       sync.RWMutex
	registry *team.Registry
	changed  notifier
}

// NewConfigMachine makes an empty machine; it keeps no files.
func NewConfigMachine() *ConfigMachine {
	return &ConfigMachine{registry: team.NewRegistry()}
}

var _ replica.Machine = (*ConfigMachine)(nil)

// Apply executes a change and returns its encoded team.Outcome.
func (m *ConfigMachine) Apply(entry replica.Entry) []byte {
	var cmd configCommand
	if err := codec.Unmarshal(entry.Data, &cmd); err != nil || cmd.Change == nil {
		return codec.MustMarshal(team.Outcome{Refusal: unreadableCommand(entry.Index)})
	}
	m.mu.Lock()
	outcome := m.registry.Apply(*cmd.Change)
	m.mu.Unlock()
	if outcome.Refusal == nil {
		m.changed.notify()
	}
	return codec.MustMarshal(outcome)
}

// unreadableCommand answers an entry that a newer version wrote. All replicas
// of this version pass over it alike.
func unreadableCommand(index uint64) *apierr.Error {
	return apierr.New(apierr.Internal, "unreadable_command", "run the same version on all keepers", "log entry %d cannot be read", index)
}

// Snapshot encodes the registry.
func (m *ConfigMachine) Snapshot() (replica.Snapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	state, err := m.registry.Snapshot()
	return replica.Snapshot{State: state}, err
}

// Restore replaces the registry.
func (m *ConfigMachine) Restore(s replica.Snapshot) error {
	registry := team.NewRegistry()
	if len(s.State) > 0 {
		restored, err := team.RestoreRegistry(s.State)
		if err != nil {
			return err
		}
		registry = restored
	}
	m.mu.Lock()
	m.registry = registry
	m.mu.Unlock()
	m.changed.notify()
	return nil
}

// since gives the update after a revision.
func (m *ConfigMachine) since(revision uint64) team.Update {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.registry.Since(revision)
}

func (m *ConfigMachine) revision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.registry.Revision()
}

// fullCopy gives the whole configuration.
func (m *ConfigMachine) fullCopy() team.Update {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.registry.Full()
}
