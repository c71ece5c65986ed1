package exchange

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/crash"
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
	Parts   []crash.Record         `cbor:"4,keyasint,omitempty"` // of prompts
}

// CrashReportsResponse acknowledges that the crash reports were applied. Cleared are records
// that clear parts, of which the sender does not know.
type CrashReportsResponse struct {
	Cleared []crash.Record `cbor:"1,keyasint,omitempty"`
}

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

// SpreadCrashReports sends crash reports and records of parts of prompts to the gates of the own
// place and to one gate of every other place, which relays them there. It returns when all have
// answered or ctx has ended, with the records of parts that they have answered.
func (e *Exchange) SpreadCrashReports(ctx context.Context, service string, reports []upstream.CrashRecord, parts []crash.Record) []crash.Record {
	request := CrashReportsRequest{Service: service, Reports: reports, Parts: parts}
	answers := e.sendToPlace(ctx, request)
	relayed := request
	relayed.Relay = true
	for _, contacts := range e.otherPlaces() {
		answers.calls.Go(func() error { return e.relayCrashReports(ctx, contacts, relayed, answers) })
	}
	return answers.wait() // gates that were not reached receive crash reports by digest
}

// crashAnswers collects the answers to crash reports.
type crashAnswers struct {
	calls errgroup.Group

	mu      sync.Mutex
	cleared []crash.Record
}

func (a *crashAnswers) add(cleared []crash.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cleared = append(a.cleared, cleared...)
}

// wait waits for all calls.
func (a *crashAnswers) wait() []crash.Record {
	_ = a.calls.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cleared
}

// sendToPlace begins to send crash reports to the other gates of the place.
func (e *Exchange) sendToPlace(ctx context.Context, request CrashReportsRequest) *crashAnswers {
	answers := &crashAnswers{}
	for _, address := range e.placeAddresses() {
		answers.calls.Go(func() error { return e.sendCrashReports(ctx, address, request, answers) })
	}
	return answers
}

// relayCrashReports sends to the contacts of a place in turn until one answers.
func (e *Exchange) relayCrashReports(ctx context.Context, contacts []string, request CrashReportsRequest, answers *crashAnswers) error {
	var err error
	for _, address := range contacts {
		if err = e.sendCrashReports(ctx, address, request, answers); err == nil {
			return nil
		}
	}
	return err
}

func (e *Exchange) sendCrashReports(ctx context.Context, address string, request CrashReportsRequest, answers *crashAnswers) error {
	response, err := rpc.Call(ctx, e.options.Client, address, crashReportsProcedure, &request)
	if err == nil {
		answers.add(response.Cleared)
	}
	return err
}

func (e *Exchange) serveCrashReports(ctx context.Context, request *CrashReportsRequest) (*CrashReportsResponse, error) {
	if len(request.Reports) > 0 {
		e.router.RecordCrashes(request.Service, request.Reports)
	}
	response := &CrashReportsResponse{Cleared: e.router.MergeParts(request.Service, request.Parts)}
	if request.Relay {
		onward := *request
		onward.Relay = false
		response.Cleared = append(response.Cleared, e.sendToPlace(ctx, onward).wait()...)
	}
	return response, nil
}

// ReportParts sends records of parts to the control VMs, which keep them for gates that start.
// It does not wait for them.
func (e *Exchange) ReportParts(service string, records []crash.Record) {
	if e.options.Controls == nil {
		return
	}
	request := &controlapi.PartsRequest{Service: service, Records: records}
	for _, address := range e.options.Controls() {
		go e.sendParts(address, request)
	}
}

const (
	// sendPartsTimeout bounds one call, and maxPartsSends the calls to one control VM. A control
	// VM that was not reached gets the records from another one.
	sendPartsTimeout = 500 * time.Millisecond
	maxPartsSends    = 2
)

func (e *Exchange) sendParts(address string, request *controlapi.PartsRequest) {
	var err error
	for range maxPartsSends {
		ctx, cancel := context.WithTimeout(context.Background(), sendPartsTimeout)
		_, err = rpc.Call(ctx, e.options.Client, address, controlapi.ReportParts, request)
		cancel()
		if err == nil {
			return
		}
	}
	e.options.Log.Info("records of parts not sent", zap.String("control", address), zap.Int("records", len(request.Records)), zap.Error(err))
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
