package harness

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"slateway.example/slateway/internal/ctl"
)

// Ctl runs slatectl in this process against all of the fleet's listeners. It returns
// the standard output and the exit code.
func (f *Fleet) Ctl(ctx context.Context, args ...string) (string, int, error) {
	all := []string{"slatectl"}
	for _, address := range append(f.Operators(), f.Callers()...) {
		all = append(all, "--server", address)
	}
	var out, errOut bytes.Buffer
	code := ctl.Main(ctx, append(all, args...), ctl.Streams{In: strings.NewReader(""), Out: &out, Err: &errOut})
	if code != ctl.ExitOK {
		return out.String(), code, fmt.Errorf("slatectl %s: exit code %d: %s", strings.Join(args, " "), code, errOut.String())
	}
	return out.String(), code, nil
}

// Configure applies a template and creates a team with one token from it. It returns
// once both are in force at every gate.
func (f *Fleet) Configure(ctx context.Context, template, source, team, token string, parameters ...string) error {
	file := filepath.Join(f.Folder, template+".template.toml")
	if err := os.WriteFile(file, []byte(source), 0o644); err != nil {
		return err
	}
	if _, _, err := f.Ctl(ctx, "template", "apply", template, file); err != nil {
		return err
	}
	args := []string{"team", "create", "--template", template, "--team-token", token, "--wait"}
	for _, parameter := range parameters {
		args = append(args, "--param", parameter)
	}
	_, _, err := f.Ctl(ctx, append(args, team)...)
	return err
}
