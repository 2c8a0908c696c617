package entrytest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// oddEngineRows returns rows of engines, by key, that name no engine to use. Those that have
// an address have that of the engine.
func oddEngineRows(e *engine) map[string]string {
	sound := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"dc-1","slots":8,"state":"ready","coldLeftMs":0,"sequence":1,"born":1000`, e.address)
	nested := strings.Repeat("[", 1<<15) + strings.Repeat("]", 1<<15)
	return map[string]string{
		"nested":          nested,
		"nested-field":    sound + `,"more":` + nested + "}",
		"huge-slots":      sound + `,"slots":9000000000000000000}`,
		"large-slots":     sound + `,"slots":1e400}`,
		"negative-slots":  sound + `,"slots":-1}`,
		"large-cold":      sound + `,"coldLeftMs":1e300}`,
		"large-born":      sound + `,"born":1e400}`,
		"no-port":         sound + `,"address":"127.0.0.1"}`,
		"port-range":      sound + `,"address":"127.0.0.1:70000"}`,
		"type":            sound + `,"zone":{}}`,
		"state":           sound + `,"state":"odd"}`,
		"utf-8":           sound + ",\"zone\":\"\xff\"}",
		"64-KiB":          sound + `,"state":"` + strings.Repeat("a", 64<<10) + `"}`,
		"no-bytes":        "",
		"key\nof lines\r": sound + "}",
		"schlüssel":       sound + "}",
	}
}

// TestOddEngineRowsDoNoHarm guards against daemons that end, or stop following the engines,
// because of a row that another writer left among those of the engines.
func TestOddEngineRowsDoNoHarm(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", stream)
	odd := oddEngineRows(e)
	for key, value := range odd {
		f.store.PutRow("servers", "", key, []byte(value))
	}
	early := f.start("entry-1") // finds the rows in its first read
	serves := func(d *entry, engine string, send int) {
		t.Helper()
		for range send {
			if got := d.send(t.Context(), t, request{path: "/once/a", key: key}); got.status != http.StatusOK {
				t.Errorf("status %d", got.status)
			}
		}
		for n := range e.count() {
			if id := e.request(n).Header.Get("Expect-Instance"); id != engine {
				t.Fatalf("request was sent to engine %q, want %q", id, engine)
			}
		}
	}
	serves(early, "i-1", 20)
	for key, value := range odd {
		f.store.PutRow("servers", "", key, []byte(value+" "))
		f.store.PutRow("servers", "part", key, []byte(value))
	}
	time.Sleep(rowReadTime)
	serves(early, "i-1", 20)
	for name, value := range odd { // in place of a sound row
		f.store.PutRow("servers", "", "i-1", []byte(value))
		if value == odd["schlüssel"] {
			continue // only its key is odd
		}
		eventually(t, name+": the engine is not used", func() bool {
			return early.send(t.Context(), t, request{path: "/once/a", key: key}).status == http.StatusServiceUnavailable
		})
		f.register(e, "ready", 0)
		eventually(t, name+": the engine is used again", func() bool {
			return early.send(t.Context(), t, request{path: "/once/a", key: key}).status == http.StatusOK
		})
	}
	serves(early, "i-1", 5)
}
