package team

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ParameterType is the type of a parameter's values.
type ParameterType string

// Types of parameters. A duration has the form "1m30s".
const (
	TypeString   ParameterType = "string"
	TypeInteger  ParameterType = "integer"
	TypeNumber   ParameterType = "number"
	TypeBoolean  ParameterType = "boolean"
	TypeDuration ParameterType = "duration"
)

// Parameter is a parameter of a template. Every team must set a value for a
// parameter without a default.
type Parameter struct {
	Name        string        `toml:"name"`
	Type        ParameterType `toml:"type"`
	Description string        `toml:"description"`
	Default     Setting       `toml:"default"`
	Min         Setting       `toml:"min"` // lowest value of an integer, number or duration
	Max         Setting       `toml:"max"` // highest value of an integer, number or duration
	Choices     []Setting     `toml:"choices"`
}

func (p *Parameter) validate() error {
	if !validName(p.Name) {
		return fmt.Errorf("parameter name %q is not valid: %s", p.Name, nameRemedy)
	}
	if (p.Min != "" || p.Max != "") && !p.Type.isOrdered() {
		return fmt.Errorf("parameter %q of type %q cannot have min or max", p.Name, p.Type)
	}
	for _, value := range append([]Setting{p.Min, p.Max}, p.Choices...) {
		if value == "" {
			continue
		}
		if _, err := p.Type.magnitude(string(value)); err != nil {
			return fmt.Errorf("parameter %q: %w", p.Name, err)
		}
	}
	if p.Default != "" {
		return p.check(string(p.Default))
	}
	return nil
}

// check verifies that value has the parameter's type and satisfies its bounds and
// choices.
func (p *Parameter) check(value string) error {
	size, err := p.Type.magnitude(value)
	if err != nil {
		return fmt.Errorf("parameter %q: %w", p.Name, err)
	}
	if p.Min != "" {
		if low, _ := p.Type.magnitude(string(p.Min)); size < low {
			return fmt.Errorf("parameter %q is %s, below its minimum %s", p.Name, value, p.Min)
		}
	}
	if p.Max != "" {
		if high, _ := p.Type.magnitude(string(p.Max)); size > high {
			return fmt.Errorf("parameter %q is %s, above its maximum %s", p.Name, value, p.Max)
		}
	}
	if len(p.Choices) > 0 && !slices.Contains(p.Choices, Setting(value)) {
		return fmt.Errorf("parameter %q is %q, not one of its choices %q", p.Name, value, p.Choices)
	}
	return nil
}

func (t ParameterType) isOrdered() bool {
	return t == TypeInteger || t == TypeNumber || t == TypeDuration
}

// magnitude checks the type of value and returns its magnitude for comparison with
// the bounds; it returns 0 for strings and booleans.
func (t ParameterType) magnitude(value string) (float64, error) {
	switch t {
	case TypeString:
		return 0, nil
	case TypeInteger:
		parsed, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%q is not an integer", value)
		}
		return float64(parsed), nil
	case TypeNumber:
		return parseNumber(value)
	case TypeBoolean:
		if _, err := strconv.ParseBool(value); err != nil {
			return 0, fmt.Errorf("%q is not true or false", value)
		}
		return 0, nil
	case TypeDuration:
		parsed, err := time.ParseDuration(value)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration such as 1m30s", value)
		}
		return float64(parsed), nil
	default:
		return 0, fmt.Errorf("type %q is not string, integer, number, boolean or duration", t)
	}
}

func parseNumber(value string) (float64, error) {
	parsed, err := strconv.ParseFloat(value, 64)
	// Comparisons with NaN are false, so NaN would pass every bound.
	if err != nil || parsed != parsed {
		return 0, fmt.Errorf("%q is not a number", value)
	}
	return parsed, nil
}

// reference returns the name of the reference that a setting of the form "${name}"
// refers to.
func (s Setting) reference() (string, bool) {
	inner, opened := strings.CutPrefix(string(s), "${")
	name, closed := strings.CutSuffix(inner, "}")
	return name, opened && closed
}
