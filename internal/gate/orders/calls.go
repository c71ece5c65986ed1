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

// pathOrders takes orders by POST and gives the engine's state by GET.
const pathOrders = "/v1/orders"

// maxStateBytes bounds an engine's answer.
const maxStateBytes = 1 << 20

// orderBody is the body of an order.
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

// stateJSON is an engine's state.
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

// carryOut does one action and tells the decision how it ended. An order that
// cannot be sent in time is dropped: after the lease another gate orders.
func (s *Shell) carryOut(ctx context.Context, action *order.Action) {
	address, known := s.addressOf(action.Engine)
	if !known || !time.Now().Before(action.NotAfter) {
		return
	}
	// An order is waited for as long as it may take; its answer may come after
	// the lease, which only the sending must not.
	ctx, cancel := context.WithTimeout(ctx, s.timeout(action))
	defer cancel()
	state, refused, err := s.call(ctx, address, action)
	if err != nil {
		s.failed(action, refused, err)
		return
	}
	if action.Read {
		s.with(action.Engine, func(o *order.Orderer) { o.ReadBack(action.Engine, state) })
		return
	}
	s.options.Metrics.Count(countSent)
	s.options.Log.Info("engine ordered", zap.String("engine", action.Engine), zap.String("kind", string(action.Order.Kind)),
		zap.String("model", action.Order.Model.Name), zap.String("version", action.Order.Model.Version), zap.Uint64("fence", action.Fence))
	s.with(action.Engine, func(o *order.Orderer) { o.Answered(action.Engine, state) })
}

func (s *Shell) timeout(action *order.Action) time.Duration {
	if action.Read || s.options.Order.LongestOrder == 0 {
		return max(time.Until(action.NotAfter), s.options.Step)
	}
	return s.options.Order.LongestOrder
}

func (s *Shell) failed(action *order.Action, refused bool, err error) {
	name := countFailed
	if refused {
		name = countRefused
	}
	s.options.Metrics.Count(name)
	s.options.Log.Warn("engine not ordered or read", zap.String("engine", action.Engine), zap.String("kind", string(action.Order.Kind)),
		zap.Bool("refused", refused), zap.Error(err))
	s.with(action.Engine, func(o *order.Orderer) { o.Failed(action.Engine, refused) })
}

// call sends the action. Refused means that the engine answered that it did not
// carry the order out.
func (s *Shell) call(ctx context.Context, address string, action *order.Action) (state order.State, refused bool, err error) {
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
		return order.State{}, refused, fmt.Errorf("engine answered %s: %s", response.Status, data)
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
		request.GetBody = nil // an order is never sent twice by the transport
	}
	return request, err
}
