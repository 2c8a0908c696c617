package baobablanding_test

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

const module = "github.com/baobablanding/baobablanding/"

// forbiddenDecisionImports are packages that decision packages must not import directly:
// transports, codecs, the operating system, logs, and the project's packages around them.
var forbiddenDecisionImports = []string{
	"net", "net/http", "encoding/json", "encoding/gob", "os",
	"go.yaml.in/yaml/v3",
	"github.com/sourcegraph/jsonrpc2",
	"github.com/zeromicro/go-zero/rest",
	"github.com/phuslu/log",
	module + "peer",
	module + "platform",
	module + "config",
}

// goList runs go list and returns the words of its output.
func goList(t *testing.T, args ...string) []string {
	t.Helper()
	return strings.Fields(string(goListRaw(t, args...)))
}

// goListRaw runs go list and returns its output.
func goListRaw(t *testing.T, args ...string) []byte {
	t.Helper()
	out, err := exec.Command("go", append([]string{"list"}, args...)...).Output()
	if err != nil {
		t.Fatalf("go list %v: %v", args, err)
	}
	return out
}

// TestNoControllerImportsAnother guards against controllers that call each other instead of
// communicating through the blackboard.
func TestNoControllerImportsAnother(t *testing.T) {
	prefix := module + "controller/"
	for _, pkg := range goList(t, "./controller/...") {
		for _, dep := range goList(t, "-deps", pkg) {
			if dep != pkg && strings.HasPrefix(dep, prefix) {
				t.Errorf("controller %s imports controller %s", pkg, dep)
			}
		}
	}
}

// TestDecisionsImportNoTransportOrCodec guards against decision code that depends on how
// messages are sent and encoded, which another front end could not use.
func TestDecisionsImportNoTransportOrCodec(t *testing.T) {
	forbidden := make(map[string]bool)
	for _, name := range forbiddenDecisionImports {
		forbidden[name] = true
	}
	for _, pkg := range goList(t, "./policy/...", "./fleet", "./blackboard", "./catalog", "./store") {
		for _, dep := range goList(t, "-f", "{{join .Imports \"\\n\"}}", pkg) {
			if forbidden[dep] {
				t.Errorf("decision package %s imports %s", pkg, dep)
			}
		}
	}
}

// TestProgramsDoNotDependOnDevfleet guards against a gateway or agent that contains the
// code of package devfleet, which starts processes for development and tests.
func TestProgramsDoNotDependOnDevfleet(t *testing.T) {
	for _, program := range []string{"baobab-gateway", "baobab-agent"} {
		for _, dep := range goList(t, "-deps", "./cmd/"+program) {
			if strings.HasPrefix(dep, module) && dep == module+"devfleet" {
				t.Errorf("%s depends on devfleet, which starts processes", program)
			}
		}
	}
}

// TestOnlyDaemonAndStandinImportPlatform guards against other packages that depend on the
// formats of the operators' platform. Package daemon assembles the programs, and package
// standin stands in for the platform in tests. Imports by tests are not checked.
func TestOnlyDaemonAndStandinImportPlatform(t *testing.T) {
	allowed := map[string]bool{module + "daemon": true, module + "standin": true, module + "platform": true}
	for _, line := range strings.Split(strings.TrimSpace(string(goListRaw(t, "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "./..."))), "\n") {
		fields := strings.Fields(line)
		for _, dep := range fields[1:] {
			if dep == module+"platform" && !allowed[fields[0]] {
				t.Errorf("%s imports package platform", fields[0])
			}
		}
	}
}

// platformNames are names from the interfaces of the operators' platform. Only packages
// platform and standin, and tests, may contain them.
var platformNames = []string{
	"Expect-Instance", "Server-Stamp", "Not-Run", "Deadline-Ms", "Prompt-Prefix", "apiKeys", "pathPrefix", "trafficSplit", "expectedRevision",
	"rows-tx", "rows-get", "rows-feed", "blob-put", "dead_letter", "coldLeftMs", "stickySessions", "/v1/lots", "BAOBABLANDING_BOOT",
}

// TestPlatformNamesStayInPackagePlatform guards against code outside package platform that
// reads or writes the platform's formats by itself.
func TestPlatformNamesStayInPackagePlatform(t *testing.T) {
	out, err := exec.Command("git", "ls-files", "--cached", "--others", "--exclude-standard", "*.go").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range strings.Fields(string(out)) {
		if strings.HasSuffix(file, "_test.go") || strings.HasPrefix(file, "platform/") || strings.HasPrefix(file, "standin/") {
			continue
		}
		data, err := os.ReadFile(file)
		if errors.Is(err, os.ErrNotExist) {
			continue // removed but not yet committed
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range platformNames {
			if strings.Contains(string(data), name) {
				t.Errorf("%s contains the platform's name %q", file, name)
			}
		}
	}
}

// TestControllersImportNoDaemonPlatformOrHTTP guards against controllers that depend on the
// assembly of a daemon, on the operators' platform or on HTTP instead of the blackboard.
// Controller dispatch may import net/http, because it sends requests to upstreams.
func TestControllersImportNoDaemonPlatformOrHTTP(t *testing.T) {
	for _, pkg := range goList(t, "./controller/...") {
		for _, dep := range goList(t, "-f", "{{join .Imports \"\\n\"}}", pkg) {
			if dep == module+"platform" || dep == module+"daemon" || dep == "net/http" && pkg != module+"controller/dispatch" {
				t.Errorf("controller %s imports %s", pkg, dep)
			}
		}
	}
}
