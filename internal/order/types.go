// Package order decides which orders the model engines of a place get: which
// models, versions and adapters to load, and which role to take. It is a
// deterministic aggregate; its shell reads engines back and sends the orders.
//
// One orderer works in a place at a time, by a lease with a fencing number from
// the replicated state. Orders go out one at a time to each engine, within the
// weight store's rate, and never take a wanted model's last ready replica.
package order

import "time"

// Kind is the kind of an order.
type Kind string

// Kinds of orders, as engines take them.
const (
	LoadModel   Kind = "load_model"
	UnloadModel Kind = "unload_model"
	LoadAdapter Kind = "load_adapter"
	SetRole     Kind = "set_role"
	ExportKV    Kind = "export_kv" // to engines that offer it, before they lose a model or role
)

// Model is one version of a model.
type Model struct {
	Name    string
	Version string
}

// Order is one change that an engine is told to make.
type Order struct {
	Kind    Kind
	Model   Model
	Adapter string
	Role    string
}

// Want is what the teams' parameters ask for of one model in one role.
type Want struct {
	Model    Model
	Role     string // any role if empty
	Adapters []string
	Min      int     // replicas
	Max      int     // replicas
	Demand   float64 // slots in use and waiting, of late
	Bytes    int     // size of its weights
}

// key separates wants. Teams may want several versions of a model.
type key struct {
	model Model
	role  string
}

func (w *Want) key() key { return key{w.Model, w.Role} }

// Engine is what an engine announces of itself.
type Engine struct {
	Name          string
	Incarnation   uint64
	Ready         bool
	Leaving       bool
	Slots         int
	Running       int
	ChecksFencing bool // refuses orders with an old fencing number
	KVExport      bool
	MaxModels     int // models that fit beside each other; 0 counts as 1
}

// State is what an engine answers when it is asked what it has.
type State struct {
	Fence    uint64 // highest number that it has seen
	Models   []Model
	Adapters []string
	Role     string
}

// Tenure is the right to order, as the holder sees it on its own clock.
type Tenure struct {
	Fence uint64
	Since time.Time // when the grant was received
	Until time.Time // when the lease ends, counted from before it was asked for
}

// Action is what the shell is to do for one engine.
type Action struct {
	Engine string
	Read   bool // ask for its State, else send Order
	Order  Order
	Fence  uint64
	// NotAfter is when the call must have ended. The shell drops an action
	// that it cannot send before.
	NotAfter time.Time
}

// Config bounds the orderer.
type Config struct {
	// LongestOrder is the longest time from sending an order until it has
	// taken effect or never will, the network's delays included.
	LongestOrder time.Duration
	// SendMargin is kept free before the end of the lease.
	SendMargin time.Duration
	ReadEvery  time.Duration // pace of reading each engine back
	DownAfter  time.Duration // low demand until the target falls
	FillTo     float64       // share of slots that the target plans to use
	// StoreBytesPerSecond is the weight store's limit for this place.
	StoreBytesPerSecond int
}

// Defaults of Config.
const (
	DefaultLongestOrder        = 30 * time.Second
	DefaultSendMargin          = 2 * time.Second
	DefaultReadEvery           = 5 * time.Second
	DefaultDownAfter           = 5 * time.Minute
	DefaultFillTo              = 0.7
	DefaultStoreBytesPerSecond = 200 << 20
)

func (c Config) withDefaults() Config {
	c.LongestOrder = orDefault(c.LongestOrder, DefaultLongestOrder)
	c.SendMargin = orDefault(c.SendMargin, DefaultSendMargin)
	c.ReadEvery = orDefault(c.ReadEvery, DefaultReadEvery)
	c.DownAfter = orDefault(c.DownAfter, DefaultDownAfter)
	c.FillTo = orDefault(c.FillTo, DefaultFillTo)
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
