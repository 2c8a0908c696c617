package baobablanding_test

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

const module = "github.com/baobablanding/baobablanding/"

// forbiddenDecisionImports lists what no decision may depend on: transports, codecs,
// logs and clocks of other processes.
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

// goList runs go list and returns its words.
func goList(t *testing.T, args ...string) []string {
	t.Helper()
	return strings.Fields(string(goListRaw(t, args...)))
}

func goListRaw(t *testing.T, args ...string) []byte {
	t.Helper()
	out, err := exec.Command("go", append([]string{"list"}, args...)...).Output()
	if err != nil {
		t.Fatalf("go list %v: %v", args, err)
	}
	return out
}

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

func TestProgramsDoNotDependOnDevfleet(t *testing.T) {
	for _, program := range []string{"baobab-gateway", "baobab-agent"} {
		for _, dep := range goList(t, "-deps", "./cmd/"+program) {
			if strings.HasPrefix(dep, module) && dep == module+"devfleet" {
				t.Errorf("%s depends on devfleet, which starts processes", program)
			}
		}
	}
}

// TestOnlyDaemonAndStandinImportPlatform checks that the names of the operators'
// platform stay in package platform.
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

// platformNames are names of the operators' platform that no other package's
// code may hold.
var platformNames = []string{
	"Expect-Instance", "Server-Stamp", "Not-Run", "Deadline-Ms", "apiKeys", "pathPrefix", "trafficSplit", "expectedRevision",
	"rows-tx", "rows-get", "rows-feed", "blob-put", "dead_letter", "coldLeftMs", "stickySessions", "/v1/lots", "BAOBABLANDING_BOOT",
}

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
			continue // removed and not committed yet
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range platformNames {
			if strings.Contains(string(data), name) {
				t.Errorf("%s holds the platform's name %q", file, name)
			}
		}
	}
}

func TestControllersImportNoDaemonPlatformOrHTTP(t *testing.T) {
	for _, pkg := range goList(t, "./controller/...") {
		for _, dep := range goList(t, "-f", "{{join .Imports \"\\n\"}}", pkg) {
			if dep == module+"platform" || dep == module+"daemon" || dep == "net/http" && pkg != module+"controller/dispatch" {
				t.Errorf("controller %s imports %s", pkg, dep)
			}
		}
	}
}
