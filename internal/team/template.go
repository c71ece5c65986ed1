package team

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/BurntSushi/toml"

	"slateway.example/slateway/internal/apierr"
)

// Reasons for refusing templates, teams and changes.
const (
	ReasonInvalidTemplate apierr.Reason = "invalid_template"
	ReasonInvalidTeam     apierr.Reason = "invalid_team"
	ReasonInvalidChange   apierr.Reason = "invalid_change"
	ReasonTemplateInUse   apierr.Reason = "template_in_use"
	ReasonUnknownTemplate apierr.Reason = "unknown_template"
	ReasonUnknownTeam     apierr.Reason = "unknown_team"
	ReasonTokenTaken      apierr.Reason = "token_taken"
	ReasonConflict        apierr.Reason = "change_conflict"
	ReasonChangeIDReused  apierr.Reason = "change_id_reused"
)

// Setting is one value of a template: a literal, or "${name}" for the value of a
// parameter. An empty Setting means the field's default.
type Setting string

// UnmarshalTOML accepts a TOML string, integer, float or boolean.
func (s *Setting) UnmarshalTOML(value any) error {
	switch value := value.(type) {
	case string:
		*s = Setting(value)
	case int64:
		*s = Setting(strconv.FormatInt(value, 10))
	case float64:
		*s = Setting(strconv.FormatFloat(value, 'g', -1, 64))
	case bool:
		*s = Setting(strconv.FormatBool(value))
	default:
		return fmt.Errorf("a setting is a string, a number or a boolean, not %T", value)
	}
	return nil
}

// Template defines the policy of the teams created from it. Its settings may refer
// to its parameters, for which each team provides values.
type Template struct {
	Name        string      `toml:"name"`
	Description string      `toml:"description"`
	Parameters  []Parameter `toml:"parameters"`
	Models      []ModelRule `toml:"models"`
	Services    []Setting   `toml:"services"` // plain services that the team may call
	Online      OnlineRule  `toml:"online"`
	Batch       BatchRule   `toml:"batch"`
	// Source is the text that the template was parsed from.
	Source string `toml:"-"`
}

// ModelRule allows a team to use one model.
type ModelRule struct {
	Name    Setting `toml:"name"`    // "model" field of callers' requests
	Service Setting `toml:"service"` // upstream service that runs it; empty: same as the name
	Version Setting `toml:"version"` // empty: any version
}

// OnlineRule holds the settings of OnlineLimits.
type OnlineRule struct {
	RequestsPerSecond Setting `toml:"requests_per_second"`
	Burst             Setting `toml:"burst"`
	Concurrent        Setting `toml:"concurrent"`
	Queue             Setting `toml:"queue"`
	Priority          Setting `toml:"priority"`
	Deadline          Setting `toml:"deadline"`
	MaxDeadline       Setting `toml:"max_deadline"`
	// ShareWeight is left out of the stored form if it is not set, so that keepers of an
	// older build store the same bytes.
	ShareWeight Setting `toml:"share_weight" cbor:",omitempty"`
}

// BatchRule holds the settings of BatchPolicy.
type BatchRule struct {
	Policy      Setting `toml:"policy"`
	Headroom    Setting `toml:"headroom"`
	MaxShare    Setting `toml:"max_share"`
	MaxAttempts Setting `toml:"max_attempts"`
	Deadline    Setting `toml:"deadline"`
	Retention   Setting `toml:"retention"`
}

// ParseTemplate parses a template from TOML. An unknown key is an error, so that a
// misspelt setting does not silently keep its default.
func ParseTemplate(name string, text []byte) (Template, error) {
	var template Template
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(&template)
	if err != nil {
		return Template{}, invalidTemplate("correct the TOML text", "cannot parse the template: %v", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Template{}, invalidTemplate("remove or correct the key", "the template has the unknown key %q", unknown[0].String())
	}
	if template.Name == "" {
		template.Name = name
	}
	if name != "" && template.Name != name {
		return Template{}, invalidTemplate("apply it under the name in the text", "the text names the template %q, not %q", template.Name, name)
	}
	template.Source = string(text)
	if err := template.Validate(); err != nil {
		return Template{}, err
	}
	return template, nil
}

// Validate checks the template without its teams: its parameters and references
// and, if all parameters have defaults, that it resolves with these defaults.
func (t *Template) Validate() error {
	if !validName(t.Name) {
		return invalidTemplate(nameRemedy, "template name %q is not valid", t.Name)
	}
	seen := make(map[string]bool, len(t.Parameters))
	complete := true
	for i := range t.Parameters {
		parameter := &t.Parameters[i]
		if seen[parameter.Name] {
			return invalidTemplate("rename one of them", "template %q has two parameters %q", t.Name, parameter.Name)
		}
		seen[parameter.Name] = true
		if err := parameter.validate(); err != nil {
			return invalidTemplate("correct the parameter", "template %q: %v", t.Name, err)
		}
		complete = complete && parameter.Default != ""
	}
	if err := t.checkReferences(seen); err != nil {
		return err
	}
	if !complete {
		return nil
	}
	if _, err := t.resolve(nil); err != nil {
		return invalidTemplate("correct the setting or the default", "template %q with its defaults: %v", t.Name, err)
	}
	return nil
}

func (t *Template) checkReferences(known map[string]bool) error {
	for _, setting := range t.settings() {
		name, isReference := setting.reference()
		if isReference && !known[name] {
			return invalidTemplate("declare the parameter", "template %q refers to the parameter %q, which it does not have", t.Name, name)
		}
	}
	return nil
}

func (t *Template) settings() []Setting {
	all := append([]Setting(nil), t.Services...)
	for _, model := range t.Models {
		all = append(all, model.Name, model.Service, model.Version)
	}
	o, b := &t.Online, &t.Batch
	all = append(all, o.RequestsPerSecond, o.Burst, o.Concurrent, o.Queue, o.Priority, o.Deadline, o.MaxDeadline, o.ShareWeight)
	return append(all, b.Policy, b.Headroom, b.MaxShare, b.MaxAttempts, b.Deadline, b.Retention)
}

// nameRemedy describes the names that validName accepts.
const nameRemedy = "use 1 to 64 letters, digits, '-', '_' or '.'"

const maxNameLength = 64

// validName reports whether a name is valid. Valid names need no quoting in URLs,
// logs and file names.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, c := range name {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func invalidTemplate(remedy, format string, args ...any) *apierr.Error {
	return apierr.New(apierr.Invalid, ReasonInvalidTemplate, remedy, format, args...)
}
