// Package order plans the orders for the model engines of a place: which models,
// versions and adapters each engine loads or unloads, and which role it takes. It is
// deterministic and does no I/O: the caller queries the engines' state and sends the
// orders.
//
// One orderer is active in a place at a time; it holds a lease with a fencing number
// from the replicated state. Each engine gets one order at a time. Loads stay within
// the rate of the weight store, and no order removes the last ready replica of a
// wanted model.
package order

import "time"

// Kind is the operation that an order requests.
type Kind string

// Operations that engines accept.
const (
	LoadModel   Kind = "load_model"
	UnloadModel Kind = "unload_model"
	LoadAdapter Kind = "load_adapter"
	SetRole     Kind = "set_role"
	ExportKV    Kind = "export_kv" // to engines that support it, before they lose a model or role
)

// Model identifies a version of a model.
type Model struct {
	Name    string
	Version string
}

// Order is a change that an engine is instructed to make.
type Order struct {
	Kind    Kind
	Model   Model
	Adapter string
	Role    string
}

// Want is the desired state of a model in a role, from the teams' parameters.
type Want struct {
	Model    Model
	Role     string // any role if empty
	Adapters []string
	Min      int     // replicas
	Max      int     // replicas
	Demand   float64 // recent number of slots in use plus requests waiting for one
	Bytes    int     // size of the model's weights
}

// key identifies a want. Teams may want several versions of a model.
type key struct {
	model Model
	role  string
}

func (w *Want) key() key { return key{w.Model, w.Role} }

// Engine is an engine's announcement: its readiness, load and capabilities.
type Engine struct {
	Name          string
	Incarnation   uint64
	Ready         bool
	Leaving       bool
	Slots         int
	Running       int
	ChecksFencing bool // rejects orders with an old fencing number
	KVExport      bool // supports ExportKV
	MaxModels     int  // models that fit at the same time; 0 counts as 1
}

// State is an engine's answer to a state query.
type State struct {
	Fence    uint64 // highest fencing number that it has received
	Models   []Model
	Adapters []string
	Role     string
}

// Lease is the exclusive right to send orders in a place, with times of the holder's
// own clock.
type Lease struct {
	Fence uint64
	Since time.Time // when the grant was received
	Until time.Time // end of the lease, counted from before it was requested
}

// Action is a call that the caller makes to an engine.
type Action struct {
	Engine string
	Read   bool // query its State instead of sending Order
	Order  Order
	Fence  uint64
	// NotAfter is the time by which the call must have ended. The caller drops an
	// action that it cannot send before.
	NotAfter time.Time
}

// Config holds the settings of an Orderer. Zero values take the defaults.
type Config struct {
	// MaxOrderDuration is the longest time from sending an order until it has either
	// taken effect or never will, including network delays.
	MaxOrderDuration time.Duration
	// SendMargin is the time before the end of the lease in which no order is sent.
	SendMargin        time.Duration
	QueryInterval     time.Duration // interval of state queries to each engine
	ScaleDownDelay    time.Duration // duration of low demand after which a target is lowered
	TargetUtilization float64       // share of the slots that a target plans to use
	// StoreBytesPerSecond is the weight store's rate limit for this place.
	StoreBytesPerSecond int
}

// Defaults of Config.
const (
	DefaultMaxOrderDuration    = 30 * time.Second
	DefaultSendMargin          = 2 * time.Second
	DefaultQueryInterval       = 5 * time.Second
	DefaultScaleDownDelay      = 5 * time.Minute
	DefaultTargetUtilization   = 0.7
	DefaultStoreBytesPerSecond = 200 << 20
)

func (c Config) withDefaults() Config {
	c.MaxOrderDuration = orDefault(c.MaxOrderDuration, DefaultMaxOrderDuration)
	c.SendMargin = orDefault(c.SendMargin, DefaultSendMargin)
	c.QueryInterval = orDefault(c.QueryInterval, DefaultQueryInterval)
	c.ScaleDownDelay = orDefault(c.ScaleDownDelay, DefaultScaleDownDelay)
	c.TargetUtilization = orDefault(c.TargetUtilization, DefaultTargetUtilization)
	c.StoreBytesPerSecond = orDefault(c.StoreBytesPerSecond, DefaultStoreBytesPerSecond)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
