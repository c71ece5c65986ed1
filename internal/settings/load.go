package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/BurntSushi/toml"
)

// Problem describes one error in a settings file.
type Problem struct {
	Key    string // dotted path, such as listen.peers
	Value  string // as written in the file; empty if the key is missing
	Cause  string
	Remedy string
}

// String formats the problem in one line.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s; %s", p.Key, p.Cause, p.Remedy)
	}
	return fmt.Sprintf("%s = %s: %s; %s", p.Key, p.Value, p.Cause, p.Remedy)
}

// Problems is the error returned for a settings file that cannot be used.
type Problems []Problem

// Error formats the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads, completes and checks the file at path and the data folder that
// it names. The error is of type Problems.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		cause := errors.Unwrap(err)
		return Settings{}, Problems{{Key: "settings file", Value: quote(path), Cause: fmt.Sprint(cause), Remedy: "specify a readable TOML file"}}
	}
	parsed, err := Parse(string(text))
	var problems Problems
	errors.As(err, &problems)
	problems = append(problems, checkDataFolder(parsed.VM)...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return parsed, nil
}

// Parse completes and checks the text of a settings file without touching the
// disk. The error is of type Problems.
func Parse(text string) (Settings, error) {
	parsed := defaults()
	metadata, err := toml.Decode(text, &parsed)
	if err != nil {
		return Settings{}, Problems{syntaxProblem(err)}
	}
	problems := unknownKeys(metadata)
	problems = append(problems, durationsWithoutUnit(metadata)...)
	parsed.applyDerived()
	problems = append(problems, parsed.check()...)
	if len(problems) > 0 {
		return parsed, problems
	}
	return parsed, nil
}

func syntaxProblem(err error) Problem {
	remedy := "write strings in quotes, numbers without, durations like \"500ms\""
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return Problem{Key: "settings file", Cause: strings.TrimPrefix(oneLine(err.Error()), "toml: "), Remedy: remedy}
	}
	key := parse.LastKey
	if key == "" {
		key = "settings file"
	}
	return Problem{Key: key, Cause: fmt.Sprintf("line %d: %s", parse.Position.Line, oneLine(parse.Message)), Remedy: remedy}
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

func unknownKeys(metadata toml.MetaData) Problems {
	var problems Problems
	for _, key := range metadata.Undecoded() {
		problems = append(problems, Problem{Key: key.String(), Cause: "unknown key", Remedy: "remove it or correct its spelling"})
	}
	return problems
}

// durationsWithoutUnit finds durations without a unit. The decoder would read them as
// nanoseconds, so that a heartbeat of 500 would be half a microsecond.
func durationsWithoutUnit(metadata toml.MetaData) Problems {
	var problems Problems
	for _, key := range durationKeys {
		if metadata.Type(strings.Split(key, ".")...) == "Integer" {
			problems = append(problems, Problem{Key: key, Cause: "a duration without a unit", Remedy: "write it with its unit, such as \"500ms\" or \"10s\""})
		}
	}
	return problems
}

// checkDataFolder checks that the data folder exists and is writable. A full disk
// is not reported as a problem.
func checkDataFolder(vm VM) Problems {
	if !filepath.IsAbs(vm.DataFolder) {
		return nil // Parse has reported it if a folder is needed
	}
	problem := Problem{Key: "vm.data_folder", Value: quote(vm.DataFolder)}
	info, err := os.Stat(vm.DataFolder)
	switch {
	case err != nil:
		problem.Cause = "the folder cannot be opened (" + fmt.Sprint(errors.Unwrap(err)) + ")"
		problem.Remedy = "create it, owned by the daemon's user, on the disk that keeps the state"
		return Problems{problem}
	case !info.IsDir():
		problem.Cause = "is not a folder"
		problem.Remedy = "set it to the path of a folder"
		return Problems{problem}
	}
	if err := CheckWritable(vm.DataFolder); err != nil && !errors.Is(err, syscall.ENOSPC) {
		problem.Cause = "the folder is not writable (" + oneLine(err.Error()) + ")"
		problem.Remedy = "make it writable for the daemon's user and check that its disk is mounted read-write"
		return Problems{problem}
	}
	return nil
}

// CheckWritable writes, syncs and removes a small file in the folder, and returns
// the first error.
func CheckWritable(folder string) error {
	probe, err := os.CreateTemp(folder, ".write-check-*")
	if err != nil {
		return err
	}
	_, err = probe.Write(make([]byte, writeCheckBytes))
	return errors.Join(err, probe.Sync(), probe.Close(), os.Remove(probe.Name()))
}

// writeCheckBytes is the size of the file that CheckWritable writes: one block of common
// file systems.
const writeCheckBytes = 4096
