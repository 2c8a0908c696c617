package baobablanding_test

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "github.com/baobablanding/baobablanding/"

// decisionImports lists what no decision may depend on: transports, codecs,
// logs and clocks of other processes.
var decisionImports = []string{
	"net", "net/http", "encoding/json", "encoding/gob", "os",
	"go.yaml.in/yaml/v3",
	"github.com/sourcegraph/jsonrpc2",
	"github.com/zeromicro/go-zero/rest",
	"github.com/phuslu/log",
	module + "peer",
	module + "platform",
	module + "config",
}

// goList runs go list and returns its lines.
func goList(t *testing.T, args ...string) []string {
	t.Helper()
	out, err := exec.Command("go", append([]string{"list"}, args...)...).Output()
	if err != nil {
		t.Fatalf("go list %v: %v", args, err)
	}
	return strings.Fields(string(out))
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
	for _, name := range decisionImports {
		forbidden[name] = true
	}
	for _, pkg := range goList(t, "./policy/...", "./fleet", "./blackboard") {
		for _, dep := range goList(t, "-f", "{{join .Imports \"\\n\"}}", pkg) {
			if forbidden[dep] {
				t.Errorf("decision package %s imports %s", pkg, dep)
			}
		}
	}
}

func TestLibraryDoesNotStartProcesses(t *testing.T) {
	for _, program := range []string{"baobab-gateway", "baobab-agent"} {
		for _, dep := range goList(t, "-deps", "./cmd/"+program) {
			if strings.HasPrefix(dep, module) && dep == module+"devfleet" {
				t.Errorf("%s depends on devfleet, which starts processes", program)
			}
		}
	}
}
