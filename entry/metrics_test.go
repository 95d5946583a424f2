package entry

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"lacewingfork.example/lacewingfork/settings"
)

const (
	operationsPage = "../docs/OPERATIONS.md"
	testSettings   = `
[instance]
id = "e1"
region = "accra"
data_centre = "accra-1"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operations = "127.0.0.1:0"
[platform]
log = "http://127.0.0.1:1"
list = "http://127.0.0.1:1"
workers = "http://127.0.0.1:1"
`
)

// registeredMetrics returns the metrics of an entry instance, sorted, each as
// "name {labels}".
func registeredMetrics(t *testing.T) []string {
	t.Helper()
	s, err := settings.Parse("test.toml", []byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	listeners, err := OpenListeners(s.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer listeners.Close()
	var registry *prometheus.Registry
	app := fx.New(options(s, listeners, log.New(io.Discard)), fx.Populate(&registry))
	if err := app.Err(); err != nil {
		t.Fatal(err)
	}
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	form := regexp.MustCompile(`fqName: "(lacewingfork_[a-z_]+)".*constLabels: {(.*)}, variableLabels: {([a-z_,]*)}`)
	var found []string
	for d := range descriptions {
		if m := form.FindStringSubmatch(d.String()); m != nil {
			if m[2] != "" {
				t.Errorf("%s has constant labels %s, want none", m[1], m[2])
			}
			found = append(found, fmt.Sprintf("%s {%s}", m[1], m[3]))
		}
	}
	slices.Sort(found)
	return found
}

// Guards against a metric that is missing on the operations page, and against
// metrics or labels on the page that no instance has.
func TestMetricsMatchOperationsPage(t *testing.T) {
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	var listed []string
	row := regexp.MustCompile("(?m)^\\| `(lacewingfork_[a-z_]+)` \\|[^|]*\\|[^|]*\\| ([^|]*) \\|")
	label := regexp.MustCompile("`([a-z_]+)`")
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		var labels []string
		for _, l := range label.FindAllStringSubmatch(m[2], -1) {
			labels = append(labels, l[1])
		}
		listed = append(listed, fmt.Sprintf("%s {%s}", m[1], strings.Join(labels, ",")))
	}
	slices.Sort(listed)
	found := registeredMetrics(t)
	if len(found) < 20 {
		t.Fatalf("found %d metrics, want at least 20", len(found))
	}
	for _, m := range found {
		if !slices.Contains(listed, m) {
			t.Errorf("%s does not list metric %s", operationsPage, m)
		}
	}
	for _, m := range listed {
		if !slices.Contains(found, m) {
			t.Errorf("%s lists metric %s, which no instance has", operationsPage, m)
		}
	}
	if len(listed) != len(slices.Compact(listed)) {
		t.Errorf("%s lists a metric twice", operationsPage)
	}
}

// Guards against a log line whose event is missing on the operations page.
func TestLogEventsAreOnOperationsPage(t *testing.T) {
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	events := regexp.MustCompile(`(?:"event", |Event: |EventKind = )"([a-z_]+)"`)
	found := 0
	for _, pattern := range []string{"*.go", "../cmd/lacewingfork-entry/*.go", "../supervise/tree.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			code, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range events.FindAllStringSubmatch(string(code), -1) {
				found++
				if !strings.Contains(string(page), "| `"+m[1]+"` |") {
					t.Errorf("%s: %s does not list event %q", file, operationsPage, m[1])
				}
			}
		}
	}
	if found < 12 {
		t.Errorf("found %d events, want at least 12", found)
	}
}
