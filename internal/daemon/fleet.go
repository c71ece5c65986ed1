package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/gen/members"
	"slateway.example/slateway/internal/api"
	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/directory"
	"slateway.example/slateway/internal/fleet"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/replica"
	"slateway.example/slateway/internal/settings"
)

// fleetView answers the APIs' questions about the VMs.
type fleetView struct {
	settings *settings.Settings
	fleet    *fleet.Fleet
	host     *replica.Host // nil unless a keeper
	serving  func() bool   // whether this gate may be named to callers; nil unless a gate

	mu        sync.Mutex
	directory *directory.Directory
}

// newFleet opens this VM's membership.
func newFleet(d *Daemon) (*fleet.Fleet, error) {
	s := &d.settings
	vm := member.VM{
		Name: s.VM.Name, Place: s.VM.Place, Region: s.VM.Region,
		Peers: s.Advertise.Peers, Operators: s.Advertise.Operators,
		Keeper: s.Is(settings.RoleKeeper),
	}
	if s.Is(settings.RoleGate) {
		vm.Callers = s.Advertise.Callers
	}
	return fleet.New(fleet.Options{
		Member: member.Config{
			Heartbeat:    s.Member.Heartbeat,
			SuspectAfter: s.Member.SuspectAfter,
			LostAfter:    s.Member.LostAfter,
			Seeds:        s.Member.Seeds,
		},
		VM:      vm,
		Listen:  s.Listen.Peers,
		Client:  d.calls,
		Metrics: d.metrics,
		Log:     d.log,
	})
}

func newFleetView(s *settings.Settings, members *fleet.Fleet, host *replica.Host) *fleetView {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &fleetView{
		settings:  s,
		fleet:     members,
		host:      host,
		directory: directory.New(uint64(time.Now().UnixMilli()), random),
	}
}

// Entries tells a caller which gates to use.
func (f *fleetView) Entries(place string) (directory.Answer, error) {
	input := directory.Input{
		Serving:     f.serving != nil && f.serving() && !f.fleet.Isolated(),
		CallerPlace: place,
		Members:     f.fleet.Members(),
		Areas:       f.fleet.Areas(),
		Load:        fleet.KindGateLoad,
		Lifetime:    f.settings.Directory.AnswerLifetime,
		Limit:       f.settings.Directory.MaxEntries,
	}
	if place == "" {
		input.CallerPlace = f.settings.VM.Place
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Decide(input)
}

// Members lists the VMs of the own place, and those of other places that are
// known by name.
func (f *fleetView) Members(ctx context.Context) []*members.Member {
	var list []*members.Member
	for _, m := range f.fleet.Members() {
		result := memberResult(&m)
		if m.Self && f.host != nil {
			result.Groups = groupResults(f.host.LeaderStatus(ctx))
		}
		list = append(list, result)
	}
	for _, area := range f.fleet.Areas() {
		if area.Place != f.settings.VM.Place {
			list = append(list, contactResults(&area)...)
		}
	}
	return list
}

func memberResult(m *member.Member) *members.Member {
	result := &members.Member{
		VM: m.VM.Name, Place: m.VM.Place, Region: m.VM.Region, Peers: m.VM.Peers,
		State: m.State.String(), Incarnation: m.Epoch, Roles: []string{},
	}
	if m.Draining {
		result.State = "draining"
	}
	if m.VM.Gate() {
		result.Roles = append(result.Roles, string(settings.RoleGate))
		result.Callers = &m.VM.Callers
	}
	if m.VM.Keeper {
		result.Roles = append(result.Roles, string(settings.RoleKeeper))
	}
	return result
}

// contactResults lists the VMs of another place that this one knows by name.
func contactResults(area *member.PlaceArea) []*members.Member {
	state := member.Alive.String()
	if area.Stale {
		state = "unreachable"
	}
	var list []*members.Member
	for _, contact := range area.Contacts {
		list = append(list, &members.Member{
			VM: contact.VM, Place: area.Place, Region: area.Region, Peers: contact.Peers,
			State: state, Roles: []string{},
		})
	}
	return list
}

func groupResults(statuses []replica.GroupStatus) []*members.GroupStatus {
	results := make([]*members.GroupStatus, len(statuses))
	for i := range statuses {
		results[i] = groupResult(&statuses[i])
	}
	return results
}

func groupResult(status *replica.GroupStatus) *members.GroupStatus {
	result := &members.GroupStatus{
		Group: status.Group, Commit: status.Commit, Tolerance: status.Tolerance,
		Voters: []string{}, Learners: []string{},
	}
	for _, member := range status.Members {
		if member.Learner {
			result.Learners = append(result.Learners, member.VM)
			continue
		}
		result.Voters = append(result.Voters, member.VM)
		if member.ID == status.Leader {
			result.Leader = member.VM
		}
	}
	return result
}

// reasonNotKeeper is the reason of operators' calls to a VM without the role.
const reasonNotKeeper apierr.Reason = "not_a_keeper"

// Replace puts the blank disk of vm in the place of the one it lost.
func (f *fleetView) Replace(ctx context.Context, vm string) error {
	if f.host == nil {
		return apierr.New(apierr.Invalid, reasonNotKeeper, "ask the operators' address of a keeper", "this VM is not a keeper")
	}
	return f.host.ReplaceMember(ctx, vm, vm)
}

var _ api.Fleet = (*fleetView)(nil)

const (
	// gateLoadInterval is how often the gate's own load is looked at.
	gateLoadInterval = time.Second
	// gateLoadStep is the change of the load, as a share of the capacity, that
	// the place is told of; less does not change where callers go.
	gateLoadStep = 0.05
)

// publishGateLoad tells the place how busy this gate is until ctx ends.
func publishGateLoad(ctx context.Context, members *fleet.Fleet, inFlight func() int, capacity int, log *zap.Logger) {
	ticker := time.NewTicker(gateLoadInterval)
	defer ticker.Stop()
	told := -capacity
	for {
		now := inFlight()
		if diff := now - told; float64(max(diff, -diff)) >= gateLoadStep*float64(capacity) {
			told = now
			load := directory.GateLoad{InProgress: now, Capacity: capacity}
			if err := members.SetDigest(fleet.KindGateLoad, load.Encode()); err != nil {
				log.Warn("load of the gate not spread", zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
