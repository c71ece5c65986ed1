package engine

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"slateway.example/slateway/standin/announce"
)

// Kinds of orders.
const (
	OrderLoadModel   = "load_model"   // load a version of a model in addition to those loaded
	OrderUnloadModel = "unload_model" // unload a version of a model
	OrderLoadAdapter = "load_adapter"
	OrderSetRole     = "set_role"
)

// Order is a change to the engine's models, adapters or role.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderRequest is the body of POST /v1/orders.
type OrderRequest struct {
	Fence uint64 `json:"fence"`
	Order Order  `json:"order"`
}

// OrderReport is the response body of GET /v1/orders: the engine's state and the
// orders that led to it, in the sequence in which they were applied.
type OrderReport struct {
	Fence         uint64           `json:"fence"` // highest fencing number received
	ChecksFencing bool             `json:"checks_fencing"`
	Models        []announce.Model `json:"models"`
	Adapters      []string         `json:"adapters"`
	Role          string           `json:"role"`
	Applied       []OrderRequest   `json:"applied"`
}

type orderState struct {
	fence    uint64
	models   []announce.Model
	adapters []string
	role     string
	applied  []OrderRequest
}

func newOrderState(options Options) orderState {
	return orderState{models: slices.Clone(options.Models), role: options.Role}
}

// isStale reports whether the engine checks fencing numbers and must refuse an order
// with this one. The caller holds e.mu.
func (e *Engine) isStale(fence uint64) bool {
	return e.options.ChecksFencing && fence < e.orders.fence
}

// Execute applies an order after OrderTime. An engine that checks fencing numbers
// refuses an outdated one both on arrival and before applying it, because a newer
// order may have arrived in the meantime.
func (e *Engine) Execute(order OrderRequest) error {
	e.mu.Lock()
	if e.isStale(order.Fence) {
		defer e.mu.Unlock()
		return fmt.Errorf("fencing number %d is outdated: it is older than %d", order.Fence, e.orders.fence)
	}
	e.orders.fence = max(e.orders.fence, order.Fence)
	e.mu.Unlock()

	time.Sleep(e.options.OrderTime)

	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isStale(order.Fence) {
		return fmt.Errorf("fencing number %d is outdated: an order with %d arrived before it was applied", order.Fence, e.orders.fence)
	}
	if err := e.orders.apply(order.Order); err != nil {
		return err
	}
	e.orders.applied = append(e.orders.applied, order)
	return nil
}

func (s *orderState) apply(order Order) error {
	model := announce.Model{Name: order.Model, Version: order.Version}
	switch order.Kind {
	case OrderLoadModel:
		if !slices.Contains(s.models, model) {
			s.models = append(s.models, model)
		}
	case OrderUnloadModel:
		s.models = slices.DeleteFunc(s.models, func(loaded announce.Model) bool { return loaded == model })
	case OrderLoadAdapter:
		if !slices.Contains(s.adapters, order.Adapter) {
			s.adapters = append(s.adapters, order.Adapter)
		}
	case OrderSetRole:
		s.role = order.Role
	default:
		return fmt.Errorf("unknown order kind %q", order.Kind)
	}
	return nil
}

// OrderReport returns the engine's state and the applied orders.
func (e *Engine) OrderReport() OrderReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return OrderReport{
		Fence:         e.orders.fence,
		ChecksFencing: e.options.ChecksFencing,
		Models:        slices.Clone(e.orders.models),
		Adapters:      slices.Clone(e.orders.adapters),
		Role:          e.orders.role,
		Applied:       slices.Clone(e.orders.applied),
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order OrderRequest
	if !decodeJSON(w, r, &order) {
		return
	}
	if err := e.Execute(order); err != nil {
		writeError(w, http.StatusConflict, "order_refused", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, e.OrderReport())
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.OrderReport())
}
