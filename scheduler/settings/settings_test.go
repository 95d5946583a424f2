package settings

import (
	"maps"
	"os"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/findings/tomlfile"
	"lacewingfork.example/lacewingfork/fleet"
)

const complete = `[instance]
id = "entry-1"
region = "accra"
data_centre = "accra-1"
processor = 0.16
memory_mib = 284
[listen]
callers = "127.0.0.1:8161"
peers = "127.0.0.1:7720"
operations = "127.0.0.1:8167"
[store]
address = "127.0.0.1:8169"
[bounds]
lease_max = "10000ms"
`

// Guards against settings filled in by the platform's template that are parsed
// as other values.
func TestParseCompleteFile(t *testing.T) {
	s, err := Parse("boot.toml", []byte(complete))
	if err != nil {
		t.Fatal(err)
	}
	if s.Instance.Processor != 0.16 || s.Instance.MemoryMiB != 284 || s.Bounds.LeaseMax.Seconds() != 10 || s.Process.LogLevel != "info" {
		t.Errorf("got %+v, want processor 0.16, 284 MiB, lease_max 10 s, log level info", s)
	}
}

// Guards against findings that are reported one at a time or without file and
// line.
func TestParseReportsAllFindings(t *testing.T) {
	text := strings.ReplaceAll(complete, `"127.0.0.1:7720"`, `"here"`)
	text = strings.ReplaceAll(text, "processor = 0.16", `processor = "much"`) + "colour = 1\n"
	_, err := Parse("boot.toml", []byte(text))
	var found *findings.Error
	if !errors.As(err, &found) || len(found.Findings) != 3 {
		t.Fatalf("got %v, want 3 findings", err)
	}
	for _, f := range found.Findings {
		if f.Line == 0 || f.File != "boot.toml" {
			t.Errorf("got finding %+v, want one with file boot.toml and a line", f)
		}
	}
}

// Guards against a documentation page that differs from the settings.
// UPDATE_DOCS=1 rewrites it.
func TestSettingsPage(t *testing.T) {
	var want strings.Builder
	for _, s := range Sections() {
		want.WriteString("\n#### [" + s.Name + "]\n\n" + tomlfile.Markdown("", s.Keys))
	}
	const page = "../../docs/OPERATIONS.md"
	const begin, end = "<!-- scheduler settings: begin -->\n", "<!-- scheduler settings: end -->"
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(data), begin)
	got, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		t.Fatalf("%s lacks the markers of the scheduler settings", page)
	}
	if got == want.String() {
		return
	}
	if os.Getenv("UPDATE_DOCS") == "" {
		t.Fatalf("%s differs from the settings; rewrite it with UPDATE_DOCS=1", page)
	}
	if err := os.WriteFile(page, []byte(before+begin+want.String()+end+after), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against an odd part of the setting that hides the regions of other data centres.
func TestRegions(t *testing.T) {
	for zones, want := range map[string]map[fleet.DataCentre]fleet.Region{
		"":                                     {},
		"accra-cutroom=accra":                  {"accra-cutroom": "accra"},
		"accra-cutroom=accra,lome-dye=lome":    {"accra-cutroom": "accra", "lome-dye": "lome"},
		" accra-cutroom = accra , ,lome-dye= ": {"accra-cutroom": "accra"},
		"=,==,a,b=north=west":                  {"b": "north=west"},
	} {
		s := Settings{Platform: Platform{Zones: zones}}
		if got := s.Regions(); !maps.Equal(got, want) {
			t.Errorf("%q: got %v, want %v", zones, got, want)
		}
	}
}
