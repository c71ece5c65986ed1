package keeper

import (
	"slices"
	"sync"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/routes"
	"slateway.example/slateway/internal/team"
	"slateway.example/slateway/internal/tenure"
)

// ConfigMachine is the state machine of the configuration group.
type ConfigMachine struct {
	mu       sync.RWMutex
	registry *team.Registry
	tenures  *tenure.Table
	routes   *routes.Registry
	matcher  *routes.Matcher // of the routes in force
	retired  []string        // VMs that are to hold nothing any more
	changed  notifier
}

// NewConfigMachine makes an empty machine; it keeps no files.
func NewConfigMachine() *ConfigMachine {
	m := &ConfigMachine{registry: team.NewRegistry(), tenures: &tenure.Table{}, routes: &routes.Registry{}}
	m.setMatcher()
	return m
}

var _ replica.Machine = (*ConfigMachine)(nil)

// Apply executes a change and returns its encoded team.Outcome, a grant or its
// end and returns the encoded tenure.Grant, or a replacement of the routes and
// returns the encoded routes.Outcome.
func (m *ConfigMachine) Apply(entry replica.Entry) []byte {
	var cmd configCommand
	err := codec.Unmarshal(entry.Data, &cmd)
	switch {
	case err == nil && cmd.Change != nil:
		return m.applyChange(cmd.Change)
	case err == nil && (cmd.Acquire != nil || cmd.End != nil):
		return m.applyTenure(&cmd)
	case err == nil && cmd.Routes != nil:
		return m.applyRoutes(cmd.Routes)
	case err == nil && len(cmd.Packed) > 0:
		return m.applyPacked(entry.Index, cmd.Packed)
	case err == nil && cmd.Retire != "":
		return m.applyRetire(cmd.Retire)
	default:
		return codec.MustMarshal(team.Outcome{Refusal: unreadableCommand(entry.Index)})
	}
}

func (m *ConfigMachine) applyRetire(vm string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Contains(m.retired, vm) {
		m.retired = append(m.retired, vm)
	}
	return codec.MustMarshal(m.retired)
}

// Retired lists the VMs that are to hold nothing any more, as this VM has applied
// the orders.
func (m *ConfigMachine) Retired() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Clone(m.retired)
}

func (m *ConfigMachine) applyPacked(index uint64, packed routes.Packed) []byte {
	document, err := packed.Unpack()
	if err != nil {
		return codec.MustMarshal(routes.Outcome{Refusal: unreadableCommand(index)})
	}
	return m.applyRoutes(document)
}

func (m *ConfigMachine) applyRoutes(document *routes.Document) []byte {
	m.mu.Lock()
	outcome := m.routes.Replace(document)
	if outcome.Applied {
		m.setMatcher()
	}
	m.mu.Unlock()
	if outcome.Applied {
		m.changed.notify()
	}
	return codec.MustMarshal(outcome)
}

// setMatcher indexes a copy of the routes in force, since readers keep it over
// the next change. The mutex is held.
func (m *ConfigMachine) setMatcher() {
	held := *m.routes.Current()
	m.matcher = routes.NewMatcher(&held)
}

// Routes gives the routes in force as this VM has applied them.
func (m *ConfigMachine) Routes() *routes.Matcher {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.matcher
}

// Changed gives a channel that closes at the next change of the configuration.
func (m *ConfigMachine) Changed() <-chan struct{} { return m.changed.wait() }

func (m *ConfigMachine) applyTenure(cmd *configCommand) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cmd.Acquire != nil {
		return codec.MustMarshal(m.tenures.Acquire(cmd.Acquire.Name, cmd.Acquire.Holder))
	}
	m.tenures.End(cmd.End.Name, cmd.End.Fence)
	return codec.MustMarshal(m.tenures.Get(cmd.End.Name))
}

func (m *ConfigMachine) applyChange(change *team.Change) []byte {
	m.mu.Lock()
	outcome := m.registry.Apply(*change)
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

// configState is the encoded state of the machine.
type configState struct {
	Registry []byte `cbor:"1,keyasint"`
	Tenures  []byte `cbor:"2,keyasint"`
	Routes   []byte `cbor:"3,keyasint,omitempty"`

	Retired []string `cbor:"4,keyasint,omitempty"`
}

// Snapshot encodes the registry and the grants.
func (m *ConfigMachine) Snapshot() (replica.Snapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	registry, err := m.registry.Snapshot()
	if err != nil {
		return replica.Snapshot{}, err
	}
	state := configState{Registry: registry, Tenures: m.tenures.Snapshot(), Routes: m.routes.Snapshot(), Retired: m.retired}
	return replica.Snapshot{State: codec.MustMarshal(state)}, nil
}

// Restore replaces the registry and the grants.
func (m *ConfigMachine) Restore(s replica.Snapshot) error {
	restored := NewConfigMachine()
	if len(s.State) > 0 {
		if err := restored.decode(s.State); err != nil {
			return err
		}
	}
	m.mu.Lock()
	m.registry, m.tenures, m.routes, m.matcher = restored.registry, restored.tenures, restored.routes, restored.matcher
	m.retired = restored.retired
	m.mu.Unlock()
	m.changed.notify()
	return nil
}

func (m *ConfigMachine) decode(data []byte) error {
	var state configState
	err := codec.Unmarshal(data, &state)
	if err != nil {
		return err
	}
	if m.registry, err = team.RestoreRegistry(state.Registry); err != nil {
		return err
	}
	if m.tenures, err = tenure.Restore(state.Tenures); err != nil {
		return err
	}
	if m.routes, err = routes.Restore(state.Routes); err != nil {
		return err
	}
	m.setMatcher()
	m.retired = state.Retired
	return nil
}

// tenure gives a grant as it is now.
func (m *ConfigMachine) tenure(name string) tenure.Grant {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tenures.Get(name)
}

func (m *ConfigMachine) heldTenures() []tenure.Grant {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tenures.Held()
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
	return m.registry.FullUpdate()
}
