package exchange

import (
	"context"
	"fmt"
	"net/http"

	"golang.org/x/sync/errgroup"

	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/member"
	"slateway.example/slateway/internal/rpc"
	"slateway.example/slateway/internal/upstream"
)

// maxCallBytes bounds the size of a call between gates.
const maxCallBytes = 1 << 20

// LoadReportsRequest carries load reports to the gate To, which owns their replicas.
type LoadReportsRequest struct {
	To      string             `cbor:"1,keyasint"`
	Reports []proxy.LoadReport `cbor:"2,keyasint"`
}

// LoadReportsResponse acknowledges load reports with the load of each replica.
type LoadReportsResponse struct {
	Batch []upstream.OwnerLoad `cbor:"1,keyasint"`
}

// CrashReportsRequest spreads crash reports. Relay asks the receiver to pass them on to
// the other gates of its place.
type CrashReportsRequest struct {
	Service string                 `cbor:"1,keyasint"`
	Reports []upstream.CrashRecord `cbor:"2,keyasint"`
	Relay   bool                   `cbor:"3,keyasint"`
}

// CrashReportsResponse acknowledges that the crash reports were applied.
type CrashReportsResponse struct{}

const (
	loadReportsProcedure  rpc.Procedure[LoadReportsRequest, LoadReportsResponse]   = "/slateway.gate/Usage"
	crashReportsProcedure rpc.Procedure[CrashReportsRequest, CrashReportsResponse] = "/slateway.gate/Strikes"
)

// Mount registers the procedures that other gates call on mux.
func (e *Exchange) Mount(mux *http.ServeMux) {
	rpc.Handle(mux, loadReportsProcedure, maxCallBytes, e.serveLoadReports)
	rpc.Handle(mux, crashReportsProcedure, maxCallBytes, e.serveCrashReports)
}

// SendLoadReports sends load reports to the gate that owns the replicas and returns its
// acknowledgements.
func (e *Exchange) SendLoadReports(ctx context.Context, gate string, reports []proxy.LoadReport) ([]upstream.OwnerLoad, error) {
	address, known := e.addressOf(gate)
	if !known {
		return nil, fmt.Errorf("no peers address known for gate %s; it is neither a member of this place nor a contact of another", gate)
	}
	response, err := rpc.Call(ctx, e.options.Client, address, loadReportsProcedure, &LoadReportsRequest{To: gate, Reports: reports})
	if err != nil {
		return nil, err
	}
	return response.Batch, nil
}

func (e *Exchange) serveLoadReports(_ context.Context, request *LoadReportsRequest) (*LoadReportsResponse, error) {
	return &LoadReportsResponse{Batch: e.router.ApplyLoadReports(request.Reports)}, nil
}

// SpreadCrashReports sends crash reports to the gates of the own place and to one gate of
// every other place, which relays them there. It returns when all have answered or ctx has
// ended.
func (e *Exchange) SpreadCrashReports(ctx context.Context, service string, reports []upstream.CrashRecord) {
	request := CrashReportsRequest{Service: service, Reports: reports}
	var calls errgroup.Group
	for _, address := range e.placeAddresses() {
		calls.Go(func() error { return e.sendCrashReports(ctx, address, request) })
	}
	relayed := request
	relayed.Relay = true
	for _, contacts := range e.otherPlaces() {
		calls.Go(func() error { return e.relayCrashReports(ctx, contacts, relayed) })
	}
	_ = calls.Wait() // gates that were not reached receive them by digest
}

// relayCrashReports sends to the contacts of a place in turn until one answers.
func (e *Exchange) relayCrashReports(ctx context.Context, contacts []string, request CrashReportsRequest) error {
	var err error
	for _, address := range contacts {
		if err = e.sendCrashReports(ctx, address, request); err == nil {
			return nil
		}
	}
	return err
}

func (e *Exchange) sendCrashReports(ctx context.Context, address string, request CrashReportsRequest) error {
	_, err := rpc.Call(ctx, e.options.Client, address, crashReportsProcedure, &request)
	return err
}

func (e *Exchange) serveCrashReports(ctx context.Context, request *CrashReportsRequest) (*CrashReportsResponse, error) {
	e.router.RecordCrashes(request.Service, request.Reports)
	if !request.Relay {
		return &CrashReportsResponse{}, nil
	}
	onward := CrashReportsRequest{Service: request.Service, Reports: request.Reports}
	var calls errgroup.Group
	for _, address := range e.placeAddresses() {
		calls.Go(func() error { return e.sendCrashReports(ctx, address, onward) })
	}
	_ = calls.Wait()
	return &CrashReportsResponse{}, nil
}

// placeAddresses returns the peers addresses of the other gates of the place.
func (e *Exchange) placeAddresses() []string {
	var addresses []string
	for _, m := range e.options.Fleet.Members() {
		if !m.Self && m.VM.Gate() && reachable(&m) {
			addresses = append(addresses, m.VM.Peers)
		}
	}
	return addresses
}

// otherPlaces returns the peers addresses of the contacts of each other place.
func (e *Exchange) otherPlaces() [][]string {
	var places [][]string
	for _, area := range e.options.Fleet.Areas() {
		if area.Stale || area.Place == e.options.Place || len(area.Contacts) == 0 {
			continue
		}
		contacts := make([]string, len(area.Contacts))
		for i, contact := range area.Contacts {
			contacts[i] = contact.Peers
		}
		places = append(places, contacts)
	}
	return places
}

func (e *Exchange) addressOf(gate string) (string, bool) {
	for _, m := range e.options.Fleet.Members() {
		if m.VM.Name == gate {
			return m.VM.Peers, true
		}
	}
	for _, area := range e.options.Fleet.Areas() {
		for _, contact := range area.Contacts {
			if contact.VM == gate {
				return contact.Peers, true
			}
		}
	}
	return "", false
}

// reachable reports whether a call to the VM may succeed. A suspect VM may only be slow
// and needs crash reports too.
func reachable(m *member.Member) bool { return m.State == member.Alive || m.State == member.Suspect }
