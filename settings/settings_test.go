package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/findings"
)

const completeSettings = `[instance]
id = "entry-1"
region = "accra"
data_centre = "accra-1"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operations = "127.0.0.1:0"
[platform]
log = "http://127.0.0.1:7001"
list = "http://127.0.0.1:7001"
workers = "http://127.0.0.1:7001"
`

// Guards against defaults that differ from those of the design page.
func TestDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(path, []byte(completeSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	want := Lease{TTL: 4 * time.Second, ListLag: 2 * time.Second, ListAge: 4 * time.Second, Margin: 200 * time.Millisecond}
	if s.Lease != want || s.Limits.BodyBytes != 1<<20 || s.Instance.Region != "accra" || s.Process.LogLevel != "info" {
		t.Errorf("got settings %+v, want lease %+v, 1 MiB of body, region accra and log level info", s, want)
	}
}

// Guards against a fault that is not reported, is reported with the wrong line or
// hides other faults.
func TestInvalidSettingsAreReported(t *testing.T) {
	datadriven.RunTest(t, "testdata/findings", func(t *testing.T, d *datadriven.TestData) string {
		input := d.Input
		if d.Cmd == "add" {
			input = completeSettings + d.Input
		}
		_, err := Parse("entry.toml", []byte(input))
		if err == nil {
			return "no findings"
		}
		var report *findings.Error
		if !errors.As(err, &report) {
			t.Fatalf("got error of type %T, want *findings.Error", err)
		}
		return report.Error()
	})
}

// Guards against an error about a missing file that does not name the file.
func TestMissingFile(t *testing.T) {
	_, err := Load("absent.toml")
	if err == nil || !strings.HasPrefix(err.Error(), "absent.toml: ") {
		t.Errorf("Load returned %v, want an error that starts with absent.toml", err)
	}
}
