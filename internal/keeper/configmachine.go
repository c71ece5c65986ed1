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
	retired  []string        // retired VMs
	changed  notifier
}

// NewConfigMachine creates an empty machine. It uses no files.
func NewConfigMachine() *ConfigMachine {
	m := &ConfigMachine{registry: team.NewRegistry(), tenures: &tenure.Table{}, routes: &routes.Registry{}}
	m.setMatcher()
	return m
}

var _ replica.StateMachine = (*ConfigMachine)(nil)

// Apply executes one operation and returns its encoded result: a team.Outcome for
// a change, a tenure.Grant for the grant or end of a tenure, a routes.Outcome for
// new routes, and the list of retired VMs for a retirement.
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
	case err == nil && len(cmd.PackedRoutes) > 0:
		return m.applyPackedRoutes(entry.Index, cmd.PackedRoutes)
	case err == nil && cmd.RetireVM != "":
		return m.applyRetire(cmd.RetireVM)
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

// Retired returns the retired VMs, according to the entries that this VM has
// applied.
func (m *ConfigMachine) Retired() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Clone(m.retired)
}

func (m *ConfigMachine) applyPackedRoutes(index uint64, packed routes.Packed) []byte {
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

// setMatcher indexes a copy of the routes in force, because readers may keep the
// matcher beyond the next change. The caller holds the mutex.
func (m *ConfigMachine) setMatcher() {
	document := *m.routes.Current()
	m.matcher = routes.NewMatcher(&document)
}

// Routes returns the routes in force, according to the entries that this VM has
// applied.
func (m *ConfigMachine) Routes() *routes.Matcher {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.matcher
}

// Changed returns a channel that the next change of the configuration closes.
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

// unreadableCommand returns the error for an entry that a newer version wrote. All
// replicas of this version skip it alike.
func unreadableCommand(index uint64) *apierr.Error {
	return apierr.New(apierr.Internal, "unreadable_command", "run the same version on all keepers", "log entry %d cannot be decoded", index)
}

// configState is the encoded form of a ConfigMachine.
type configState struct {
	Registry []byte `cbor:"1,keyasint"`
	Tenures  []byte `cbor:"2,keyasint"`
	Routes   []byte `cbor:"3,keyasint,omitempty"`

	Retired []string `cbor:"4,keyasint,omitempty"`
}

// Snapshot encodes the whole state.
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

// Restore replaces the state by that of a snapshot.
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

// tenure returns the current grant of a tenure.
func (m *ConfigMachine) tenure(name string) tenure.Grant {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tenures.Get(name)
}

// heldTenures returns the grants that have a holder.
func (m *ConfigMachine) heldTenures() []tenure.Grant {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tenures.Held()
}

// since returns the update that leads from a revision to the current one.
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

// fullCopy returns the whole configuration.
func (m *ConfigMachine) fullCopy() team.Update {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.registry.FullUpdate()
}
