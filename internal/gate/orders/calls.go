package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/order"
)

// pathOrders accepts orders by POST and returns the engine's state by GET.
const pathOrders = "/v1/orders"

// maxStateBytes bounds an engine's response body.
const maxStateBytes = 1 << 20

// orderBody is the request body of an order.
type orderBody struct {
	Fence uint64    `json:"fence"`
	Order orderJSON `json:"order"`
}

type orderJSON struct {
	Kind    order.Kind `json:"kind"`
	Model   string     `json:"model,omitempty"`
	Version string     `json:"version,omitempty"`
	Adapter string     `json:"adapter,omitempty"`
	Role    string     `json:"role,omitempty"`
}

// stateJSON is the state of an engine.
type stateJSON struct {
	Fence    uint64      `json:"fence"`
	Models   []modelJSON `json:"models"`
	Adapters []string    `json:"adapters"`
	Role     string      `json:"role"`
}

type modelJSON struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

func (s *stateJSON) state() order.State {
	state := order.State{Fence: s.Fence, Adapters: s.Adapters, Role: s.Role}
	for _, model := range s.Models {
		state.Models = append(state.Models, order.Model{Name: model.Name, Version: model.Version})
	}
	return state
}

// execute performs one action and passes the result to the orderer. An action that cannot
// be sent before NotAfter is dropped: after the lease, another gate may send orders.
func (s *Reconciler) execute(ctx context.Context, action *order.Action) {
	address, known := s.addressOf(action.Engine)
	if !known || !time.Now().Before(action.NotAfter) {
		return
	}
	// The timeout covers the longest order. Only the sending must happen within the lease;
	// the response may arrive after it.
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout(action))
	defer cancel()
	state, refused, err := s.call(ctx, address, action)
	if err != nil {
		s.handleFailure(action, refused, err)
		return
	}
	if action.Read {
		s.withOrderer(action.Engine, func(o *order.Orderer) { o.RecordState(action.Engine, state) })
		return
	}
	s.options.Metrics.Count(countSent)
	s.options.Log.Info("engine answered order", zap.String("engine", action.Engine), zap.String("kind", string(action.Order.Kind)),
		zap.String("model", action.Order.Model.Name), zap.String("version", action.Order.Model.Version), zap.Uint64("fence", action.Fence))
	s.withOrderer(action.Engine, func(o *order.Orderer) { o.ConfirmOrder(action.Engine, state) })
}

func (s *Reconciler) callTimeout(action *order.Action) time.Duration {
	if action.Read || s.options.Order.MaxOrderDuration == 0 {
		return max(time.Until(action.NotAfter), s.options.Step)
	}
	return s.options.Order.MaxOrderDuration
}

func (s *Reconciler) handleFailure(action *order.Action, refused bool, err error) {
	name := countFailed
	if refused {
		name = countRefused
	}
	s.options.Metrics.Count(name)
	s.options.Log.Warn("cannot send an order to the engine or read its state", zap.String("engine", action.Engine), zap.String("kind", string(action.Order.Kind)),
		zap.Bool("refused", refused), zap.Error(err))
	s.withOrderer(action.Engine, func(o *order.Orderer) { o.RecordFailure(action.Engine, refused) })
}

// call sends the action. refused is true if the engine answered that it did not carry out
// the order.
func (s *Reconciler) call(ctx context.Context, address string, action *order.Action) (state order.State, refused bool, err error) {
	request, err := newRequest(ctx, address, action)
	if err != nil {
		return order.State{}, false, err
	}
	response, err := s.options.Client.Do(request)
	if err != nil {
		return order.State{}, false, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return order.State{}, false, err
	}
	if response.StatusCode != http.StatusOK {
		refused = response.StatusCode < http.StatusInternalServerError
		return order.State{}, refused, fmt.Errorf("engine answered with status %s: %s", response.Status, data)
	}
	var parsed stateJSON
	err = json.Unmarshal(data, &parsed)
	return parsed.state(), false, err
}

func newRequest(ctx context.Context, address string, action *order.Action) (*http.Request, error) {
	url := "http://" + address + pathOrders
	if action.Read {
		return http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	}
	body, err := json.Marshal(orderBody{Fence: action.Fence, Order: orderJSON{
		Kind:    action.Order.Kind,
		Model:   action.Order.Model.Name,
		Version: action.Order.Model.Version,
		Adapter: action.Order.Adapter,
		Role:    action.Order.Role,
	}})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err == nil {
		request.Header.Set("Content-Type", "application/json")
		request.GetBody = nil // prevents the transport from sending an order twice
	}
	return request, err
}
