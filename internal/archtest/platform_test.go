package archtest_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// platformImport is the import path of the platform adapter, which only main packages
// may import.
const platformImport = `"slateway.example/slateway/platform`

// platformNames are calls, headers and fields of the users' platform. Each is
// concatenated from two parts, so that this file does not contain it.
var platformNames = []string{
	"Slateway-" + "Token-Usage", "Slateway-" + "Prompt-Prefix", "Slateway-" + "Model-Name", "Slateway-" + "Server-Load",
	"Slateway-" + "Not-Executed", "Slateway-" + "Expected-Instance", "Slateway-" + "Response-Signature",
	"Slateway-" + "Deadline-Ms", "Slateway-" + "Poll-Wait", "Kv-" + "From", "Kv-" + "Fetch", "heartbeat_" + "address",
	"/lo" + "ts/", "/inst" + "ances/", "/configuration/" + "re", "/ret" + "ire/", "dead_" + "letter", "path_" + "prefix",
	"traffic_" + "split", "completion_" + "target_ms", "max_queued_" + "tokens", "SLATEWAY_" + "NODE_FILE",
}

// Guards against platform names outside the adapter, so that a new version of the
// platform changes only the platform folder. No file outside it may contain a call,
// header or field of the platform, and only main packages may import the adapter.
func TestOnlyTheAdapterKnowsThePlatform(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		inner, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if inner == "platform" || inner == ".git" || inner == "target" || inner == "bin" {
				return filepath.SkipDir
			}
			return nil
		}
		if strings.HasSuffix(inner, ".go") {
			checkPlatform(t, path, inner)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func checkPlatform(t *testing.T, path, inner string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range platformNames {
		if strings.Contains(string(text), name) {
			t.Errorf("%s contains the platform name %q: move its handling to platform/", inner, name)
		}
	}
	wiring := strings.HasPrefix(inner, "cmd"+string(filepath.Separator))
	if !wiring && strings.Contains(string(text), platformImport) && !strings.HasSuffix(inner, "archtest/platform_test.go") {
		t.Errorf("%s imports the platform adapter: only main packages may import it", inner)
	}
}
