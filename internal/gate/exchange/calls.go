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

// maxCallBytes bounds a call between gates.
const maxCallBytes = 1 << 20

// UsageRequest tells the gate To what another gate has on replicas that To
// feeds with batch.
type UsageRequest struct {
	To     string        `cbor:"1,keyasint"`
	Usages []proxy.Usage `cbor:"2,keyasint"`
}

// UsageResponse gives the batch that is left on each replica.
type UsageResponse struct {
	Fed []upstream.Feeding `cbor:"1,keyasint"`
}

// StrikesRequest spreads strikes. Relay asks the receiver to spread them in its
// own place.
type StrikesRequest struct {
	Service string            `cbor:"1,keyasint"`
	Strikes []upstream.Strike `cbor:"2,keyasint"`
	Relay   bool              `cbor:"3,keyasint"`
}

// StrikesResponse confirms that the strikes are known.
type StrikesResponse struct{}

const (
	usageProcedure   rpc.Procedure[UsageRequest, UsageResponse]     = "/slateway.gate/Usage"
	strikesProcedure rpc.Procedure[StrikesRequest, StrikesResponse] = "/slateway.gate/Strikes"
)

// Mount adds the calls of other gates to mux.
func (e *Exchange) Mount(mux *http.ServeMux) {
	rpc.Handle(mux, usageProcedure, maxCallBytes, e.serveUsage)
	rpc.Handle(mux, strikesProcedure, maxCallBytes, e.serveStrikes)
}

// SendUsage carries usages to the gate that feeds the replicas.
func (e *Exchange) SendUsage(ctx context.Context, gate string, usages []proxy.Usage) ([]upstream.Feeding, error) {
	address, known := e.addressOf(gate)
	if !known {
		return nil, fmt.Errorf("no address of gate %s is known", gate)
	}
	response, err := rpc.Call(ctx, e.options.Client, address, usageProcedure, &UsageRequest{To: gate, Usages: usages})
	if err != nil {
		return nil, err
	}
	return response.Fed, nil
}

func (e *Exchange) serveUsage(_ context.Context, request *UsageRequest) (*UsageResponse, error) {
	return &UsageResponse{Fed: e.router.Yield(request.Usages)}, nil
}

// Spread tells the gates of the own place, and one gate of each other place
// that passes them on, of strikes; it returns when they know or ctx has ended.
func (e *Exchange) Spread(ctx context.Context, service string, strikes []upstream.Strike) {
	request := StrikesRequest{Service: service, Strikes: strikes}
	var calls errgroup.Group
	for _, address := range e.placeAddresses() {
		calls.Go(func() error { return e.sendStrikes(ctx, address, request) })
	}
	relayed := request
	relayed.Relay = true
	for _, contacts := range e.otherPlaces() {
		calls.Go(func() error { return e.relayStrikes(ctx, contacts, relayed) })
	}
	_ = calls.Wait() // a gate that was not reached learns of them by digest
}

// relayStrikes sends to the first contact of a place that answers.
func (e *Exchange) relayStrikes(ctx context.Context, contacts []string, request StrikesRequest) error {
	var err error
	for _, address := range contacts {
		if err = e.sendStrikes(ctx, address, request); err == nil {
			return nil
		}
	}
	return err
}

func (e *Exchange) sendStrikes(ctx context.Context, address string, request StrikesRequest) error {
	_, err := rpc.Call(ctx, e.options.Client, address, strikesProcedure, &request)
	return err
}

func (e *Exchange) serveStrikes(ctx context.Context, request *StrikesRequest) (*StrikesResponse, error) {
	e.router.Strike(request.Service, request.Strikes)
	if !request.Relay {
		return &StrikesResponse{}, nil
	}
	onward := StrikesRequest{Service: request.Service, Strikes: request.Strikes}
	var calls errgroup.Group
	for _, address := range e.placeAddresses() {
		calls.Go(func() error { return e.sendStrikes(ctx, address, onward) })
	}
	_ = calls.Wait()
	return &StrikesResponse{}, nil
}

// placeAddresses lists the peer addresses of the other gates of the place.
func (e *Exchange) placeAddresses() []string {
	var addresses []string
	for _, m := range e.options.Fleet.Members() {
		if !m.Self && m.VM.Gate() && reachable(&m) {
			addresses = append(addresses, m.VM.Peers)
		}
	}
	return addresses
}

// otherPlaces lists the contacts of each other place.
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

// reachable reports whether a call to the VM may be answered: a suspect one may
// only be slow, and must learn of strikes too.
func reachable(m *member.Member) bool { return m.State == member.Alive || m.State == member.Suspect }
