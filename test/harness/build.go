package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Programs are the paths of the built programs.
type Programs struct {
	Slatewayd string
	Slatectl  string
	Engine    string
	Service   string
}

// Build builds all programs into folder, with the race detector if race is set.
func Build(folder string, race bool) (Programs, error) {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return Programs{}, fmt.Errorf("find the module with go list: %w", err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Programs{}, err
	}
	args := []string{"build", "-o", folder}
	if race {
		args = append(args, "-race")
	}
	command := exec.Command("go", append(args, "./cmd/...")...)
	command.Dir = strings.TrimSpace(string(root))
	if output, err := command.CombinedOutput(); err != nil {
		return Programs{}, fmt.Errorf("build the programs: %w\n%s", err, output)
	}
	return ProgramsIn(folder), nil
}

// ProgramsIn returns the paths of the programs that were built into folder.
func ProgramsIn(folder string) Programs {
	return Programs{
		Slatewayd: filepath.Join(folder, "slatewayd"),
		Slatectl:  filepath.Join(folder, "slatectl"),
		Engine:    filepath.Join(folder, "standin-engine"),
		Service:   filepath.Join(folder, "standin-service"),
	}
}
