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

// fleetView implements the queries of the APIs about the fleet's VMs.
type fleetView struct {
	settings *settings.Settings
	fleet    *fleet.Fleet
	host     *replica.Host // nil unless a keeper
	serving  func() bool   // whether the directory may list this gate; nil unless a gate

	mu        sync.Mutex
	directory *directory.Directory
}

// newFleet creates this VM's membership in the fleet.
func newFleet(d *Daemon) (*fleet.Fleet, error) {
	s := &d.settings
	vm := member.VM{
		Name: s.VM.Name, Place: s.VM.Place, Region: s.VM.Region,
		Peers: s.Advertise.Peers, Operators: s.Advertise.Operators,
		Keeper: s.HasRole(settings.RoleKeeper),
	}
	if s.HasRole(settings.RoleGate) {
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

// Entries returns the gates that a caller in the place should use.
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

// Members returns the VMs of this VM's place, and the contacts known in other
// places.
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

// contactResults returns the known contacts in another place.
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

// reasonNotKeeper is the reason for refusing an operator's call that only a
// keeper can serve.
const reasonNotKeeper apierr.Reason = "not_a_keeper"

// Replace replaces the group member on vm, whose disk was lost, by a new member
// on that VM's blank disk.
func (f *fleetView) Replace(ctx context.Context, vm string) error {
	if f.host == nil {
		return apierr.New(apierr.Invalid, reasonNotKeeper, "send the call to the operators address of a keeper", "this VM is not a keeper")
	}
	return f.host.ReplaceMember(ctx, vm, vm)
}

var _ api.Fleet = (*fleetView)(nil)

const (
	// gateLoadInterval is how often the gate's own load is sampled.
	gateLoadInterval = time.Second
	// minGateLoadChange is the smallest change of the load that is published, as a share
	// of the capacity. Smaller changes do not affect where callers go.
	minGateLoadChange = 0.05
)

// publishGateLoad publishes this gate's load to its place until ctx ends.
func publishGateLoad(ctx context.Context, members *fleet.Fleet, inFlight func() int, capacity int, log *zap.Logger) {
	ticker := time.NewTicker(gateLoadInterval)
	defer ticker.Stop()
	published := -capacity
	for {
		now := inFlight()
		if diff := now - published; float64(max(diff, -diff)) >= minGateLoadChange*float64(capacity) {
			published = now
			load := directory.GateLoad{InProgress: now, Capacity: capacity}
			if err := members.SetDigest(fleet.KindGateLoad, load.Encode()); err != nil {
				log.Warn("the gate's load could not be published", zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
