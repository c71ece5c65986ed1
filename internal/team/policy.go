package team

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// BatchMode is the trade-off between batch throughput and online tail latency.
type BatchMode string

// Batch modes.
const (
	BatchThroughput BatchMode = "throughput" // fill idle capacity first
	BatchTail       BatchMode = "tail"       // keep online tail latency low first
)

// Policy is a template resolved with a team's values. Gates enforce it.
type Policy struct {
	Team     string
	Template string
	Models   []Model
	Services []string // plain services that the team may call
	Online   OnlineLimits
	Batch    BatchPolicy
}

// Model is a model that a team may use.
type Model struct {
	Name    string // the name that callers send
	Service string // upstream service that runs it
	Version string // empty: any version
}

// OnlineLimits limits a team's online requests at each gate.
type OnlineLimits struct {
	RequestsPerSecond float64
	Burst             int // requests that may exceed the rate at once
	Concurrent        int // maximum number of requests in progress
	Queue             int // maximum number of requests waiting for a slot
	Priority          int // higher values are served first
	Deadline          time.Duration
	MaxDeadline       time.Duration
	ShareWeight       float64 // share of scarce capacity, relative to other teams
}

// BatchPolicy limits a team's batch work.
type BatchPolicy struct {
	Mode        BatchMode
	Headroom    float64       // share of a replica's slots that batch leaves free, 0 to 1
	MaxShare    float64       // largest share of a replica's slots for batch, 0 to 1
	MaxAttempts int           // attempts at an item before it ends as failed
	Deadline    time.Duration // default deadline of jobs, from their creation
	Retention   time.Duration // time for which results are kept after the job's end
}

// Defaults of settings that a template does not set.
const (
	defaultRequestsPerSecond = 50
	defaultBurst             = 100
	defaultConcurrent        = 256
	defaultQueue             = 256
	defaultDeadline          = 30 * time.Second
	defaultMaxDeadline       = 10 * time.Minute
	defaultShareWeight       = 1
	defaultHeadroom          = 0.1
	defaultMaxShare          = 1.0
	defaultMaxAttempts       = 3
	defaultBatchDeadline     = 12 * time.Hour
	defaultRetention         = 72 * time.Hour
)

// Upper bounds of settings. Higher values are most likely typing errors and would
// exhaust a gate or keeper.
const (
	maxRequestsPerSecond = 1e6
	maxCount             = 1_000_000
	maxAttempts          = 100
	maxDuration          = 90 * 24 * time.Hour
	// maxShareWeight bounds how much longer a team of weight 1 waits than one of more weight.
	maxShareWeight = 100
)

// Model returns the model with the name that the team's callers send.
func (p *Policy) Model(name string) (Model, bool) {
	for _, model := range p.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// Service reports whether the team may call the plain service.
func (p *Policy) Service(name string) bool { return slices.Contains(p.Services, name) }

// Resolve returns the policy of a team created from the template. It returns an
// error if a value is missing, unknown or out of bounds.
func Resolve(template *Template, team *Team) (Policy, error) {
	if err := template.checkValues(team.Values); err != nil {
		return Policy{}, err
	}
	policy, err := template.resolve(team.Values)
	policy.Team = team.Name
	return policy, err
}

func (t *Template) checkValues(values []Value) error {
	given := make(map[string]string, len(values))
	for _, value := range values {
		if _, found := given[value.Name]; found {
			return fmt.Errorf("parameter %q is given twice", value.Name)
		}
		given[value.Name] = value.Value
	}
	for i := range t.Parameters {
		parameter := &t.Parameters[i]
		value, found := given[parameter.Name]
		delete(given, parameter.Name)
		if !found && parameter.Default == "" {
			return fmt.Errorf("parameter %q has no default and is not given", parameter.Name)
		}
		if !found {
			continue
		}
		if err := parameter.check(value); err != nil {
			return err
		}
	}
	for _, value := range values {
		if _, found := given[value.Name]; found {
			return fmt.Errorf("template %q has no parameter %q", t.Name, value.Name)
		}
	}
	return nil
}

func (t *Template) resolve(values []Value) (Policy, error) {
	r := resolver{template: t, values: values}
	policy := Policy{
		Template: t.Name,
		Online:   r.online(&t.Online),
		Batch:    r.batch(&t.Batch),
	}
	for _, rule := range t.Models {
		policy.Models = append(policy.Models, r.model(rule))
	}
	for _, service := range t.Services {
		policy.Services = append(policy.Services, r.text("services", service, ""))
	}
	return policy, r.err
}

// resolver evaluates settings and records the first error.
type resolver struct {
	template *Template
	values   []Value
	err      error
}

func (r *resolver) fail(key, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("setting %q: "+format, append([]any{key}, args...)...)
	}
}

func (r *resolver) text(key string, setting Setting, fallback string) string {
	name, isReference := setting.reference()
	if !isReference {
		if setting == "" {
			return fallback
		}
		return string(setting)
	}
	for _, value := range r.values {
		if value.Name == name {
			return value.Value
		}
	}
	for i := range r.template.Parameters {
		if r.template.Parameters[i].Name == name {
			return string(r.template.Parameters[i].Default)
		}
	}
	r.fail(key, "no parameter %q", name)
	return fallback
}

func (r *resolver) number(key string, setting Setting, fallback, low, high float64) float64 {
	text := r.text(key, setting, "")
	if text == "" {
		return fallback
	}
	value, err := parseNumber(text)
	if err != nil {
		r.fail(key, "%w", err)
	}
	if value < low || value > high {
		r.fail(key, "%s is not in the range %g to %g", text, low, high)
	}
	return value
}

func (r *resolver) count(key string, setting Setting, fallback, low, high int) int {
	text := r.text(key, setting, "")
	if text == "" {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		r.fail(key, "%q is not an integer", text)
	}
	if value < low || value > high {
		r.fail(key, "%s is not in the range %d to %d", text, low, high)
	}
	return value
}

func (r *resolver) duration(key string, setting Setting, fallback time.Duration) time.Duration {
	text := r.text(key, setting, "")
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		r.fail(key, "%q is not a duration such as 1m30s", text)
	}
	if value <= 0 || value > maxDuration {
		r.fail(key, "%s is not above zero and at most %s", text, maxDuration)
	}
	return value
}

func (r *resolver) model(rule ModelRule) Model {
	name := r.text("models.name", rule.Name, "")
	if name == "" {
		r.fail("models.name", "it is empty")
	}
	return Model{
		Name:    name,
		Service: r.text("models.service", rule.Service, name),
		Version: r.text("models.version", rule.Version, ""),
	}
}

func (r *resolver) online(rule *OnlineRule) OnlineLimits {
	limits := OnlineLimits{
		RequestsPerSecond: r.number("online.requests_per_second", rule.RequestsPerSecond, defaultRequestsPerSecond, 0, maxRequestsPerSecond),
		Burst:             r.count("online.burst", rule.Burst, defaultBurst, 1, maxCount),
		Concurrent:        r.count("online.concurrent", rule.Concurrent, defaultConcurrent, 1, maxCount),
		Queue:             r.count("online.queue", rule.Queue, defaultQueue, 0, maxCount),
		Priority:          r.count("online.priority", rule.Priority, 0, -maxCount, maxCount),
		Deadline:          r.duration("online.deadline", rule.Deadline, defaultDeadline),
		MaxDeadline:       r.duration("online.max_deadline", rule.MaxDeadline, defaultMaxDeadline),
		ShareWeight:       r.shareWeight(rule.ShareWeight),
	}
	if limits.Deadline > limits.MaxDeadline {
		r.fail("online.deadline", "%s is above online.max_deadline %s", limits.Deadline, limits.MaxDeadline)
	}
	return limits
}

func (r *resolver) shareWeight(setting Setting) float64 {
	const key = "online.share_weight"
	text := r.text(key, setting, "")
	if text == "" {
		return defaultShareWeight
	}
	value, err := parseNumber(text)
	if err != nil {
		r.fail(key, "%w; set a number above 0 and at most %d, or leave it out for %d", err, maxShareWeight, defaultShareWeight)
	} else if !(value > 0) || value > maxShareWeight {
		r.fail(key, "%s is not above 0 and at most %d; set such a number, or leave it out for %d", text, maxShareWeight, defaultShareWeight)
	}
	return value
}

func (r *resolver) batch(rule *BatchRule) BatchPolicy {
	mode := BatchMode(r.text("batch.policy", rule.Policy, string(BatchThroughput)))
	if mode != BatchThroughput && mode != BatchTail {
		r.fail("batch.policy", "%q is not %q or %q", mode, BatchThroughput, BatchTail)
	}
	return BatchPolicy{
		Mode:        mode,
		Headroom:    r.number("batch.headroom", rule.Headroom, defaultHeadroom, 0, 1),
		MaxShare:    r.number("batch.max_share", rule.MaxShare, defaultMaxShare, 0, 1),
		MaxAttempts: r.count("batch.max_attempts", rule.MaxAttempts, defaultMaxAttempts, 1, maxAttempts),
		Deadline:    r.duration("batch.deadline", rule.Deadline, defaultBatchDeadline),
		Retention:   r.duration("batch.retention", rule.Retention, defaultRetention),
	}
}
