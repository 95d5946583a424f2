package configuration

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/records"
)

// Guards against an error in a file that is not reported, is reported with the
// wrong line, or prevents others from being reported.
func TestFindings(t *testing.T) {
	datadriven.RunTest(t, "testdata/findings", func(t *testing.T, d *datadriven.TestData) string {
		_, err := Decode("site.toml", []byte(d.Input))
		if err == nil {
			return "no findings"
		}
		return err.Error()
	})
}

// Guards against a state that a snapshot does not preserve, and against a
// snapshot that exceeds an entry of the log (512 KiB).
func TestSnapshotKeepsStateAndFits(t *testing.T) {
	f := configuration.NewFold()
	text := "# " + strings.Repeat(`"`, MaxTextBytes-3) + "\n"
	long := strings.Repeat("é", 4000)
	for i := range 400 {
		p := configuration.Publication{
			ID: strings.Repeat("i", 120) + string(rune('a'+i%26)) + string(rune('a'+i/26)), Operator: strings.Repeat("o", 64),
			Replaces: f.State.Version, Text: text, Value: mustDecode(t, text),
		}
		switch i % 4 {
		case 1:
			p.Replaces++
		case 2:
			p.Value = nil
			for range 50 {
				p.Findings.Add(findings.Finding{File: long, Key: long, Problem: long, Expected: long, Line: i})
			}
		}
		f, _ = f.Publish(p, configuration.Position{Offset: fleet.Offset(i), Index: i % 3})
	}
	data, err := EncodeSnapshot(f.State)
	if err != nil || len(data) > 512<<10 {
		t.Fatalf("snapshot has %d bytes, error %v; want at most %d bytes and no error", len(data), err, 512<<10)
	}
	entry, err := DecodeEntry(data)
	if err != nil || !reflect.DeepEqual(*entry.Snapshot, f.State) {
		t.Fatalf("decoded snapshot differs from the encoded one, error %v", err)
	}
}

func mustDecode(t *testing.T, text string) *configuration.Configuration {
	t.Helper()
	c, err := Decode("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against malformed entries of the stream that decode.
func TestDecodeEntryRejects(t *testing.T) {
	for _, data := range []string{
		``, `[]`, `{}`, `{"publication":{"id":"","operator":"a"}}`, `{"publication":{"id":"a"}}`,
		`{"publication":{"id":"a","operator":"b"},"snapshot":{}}`,
		`{"snapshot":{"version":3}}`, `{"snapshot":{"version":3,"in_force":{"id":"a","toml":"x = 1"}}}`,
	} {
		if entry, err := DecodeEntry([]byte(data)); err == nil {
			t.Errorf("%s decoded as %+v, want an error", data, entry)
		}
	}
	entry, err := DecodeEntry([]byte(`{"publication":{"id":"a","operator":"b","replaces":2,"toml":"x = 1"}}`))
	if err != nil || entry.Publication.Value != nil || len(entry.Publication.Findings) != 1 {
		t.Errorf("invalid text: %+v, %v; want a publication with one finding", entry.Publication, err)
	}
}

// Guards against a text that makes Decode panic, and against a configuration
// that changes when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add("[limits]\nlong_share = 0.5\n[[team]]\nname = 'a'\nshare = 1\n")
	f.Add("[[service]]\nname = 'a'\noperation = [{name = 'b', class = 'urgent', deadline = '1s', expected_run_time = '1ms'}]\n")
	f.Add("[[region]]\nname = 'a'\ndata_centres = ['b']\n[[kind]]\nname = 'k'\nexpected_run_time = '2h'\n")
	f.Add("limits = [1]\n[[service]]\nregions = {a.b = 1}\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Decode("fuzz.toml", []byte(text))
		if err != nil {
			return
		}
		encoded, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode("printed.toml", encoded)
		if err != nil || !reflect.DeepEqual(normalized(again), normalized(c)) {
			t.Fatalf("encoded and decoded again: got %+v, error %v; want %+v", again, err, c)
		}
	})
}

// normalized replaces empty lists of regions by nil, for a comparison.
func normalized(c *configuration.Configuration) configuration.Configuration {
	n := *c
	n.Services = append([]configuration.Service(nil), c.Services...)
	for i := range n.Services {
		n.Services[i].Regions = append([]fleet.Region(nil), n.Services[i].Regions...)
	}
	return n
}

// BenchmarkDecode decodes a configuration of about the target size (180 teams,
// 60 services with 4 operations each, 12 data centres and 40 kinds). It has 5
// regions with one data centre each.
func BenchmarkDecode(b *testing.B) {
	c := &configuration.Configuration{Limits: configuration.DefaultLimits}
	for i := range 5 {
		c.AllRegions = append(c.AllRegions, configuration.Region{
			Name: fleet.Region(fmt.Sprint("region-", i)), DataCentres: []fleet.DataCentre{fleet.DataCentre(fmt.Sprint("dc-", i))},
		})
	}
	for i := range 60 {
		s := configuration.Service{Name: fleet.Service(fmt.Sprint("service-", i))}
		for j := range 4 {
			s.Operations = append(s.Operations, configuration.Operation{
				Name: fleet.Operation(fmt.Sprint("operation-", j)), Deadline: time.Second, ExpectedRunTime: time.Millisecond,
			})
		}
		c.Services = append(c.Services, s)
	}
	for i := range 180 {
		c.Teams = append(c.Teams, configuration.Team{Name: fleet.Team(fmt.Sprint("team-", i)), Share: 1.0 / 180, MaxJobs: 100})
	}
	for i := range 40 {
		c.Kinds = append(c.Kinds, configuration.BatchKind{
			Name: fmt.Sprint("kind-", i), ExpectedRunTime: time.Hour, Resources: fleet.Resources{Slots: 1},
		})
	}
	text, err := Encode(c)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode("bench.toml", text); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(text)), "bytes")
	data, err := EncodePublication(configuration.Publication{ID: "publication-1", Replaces: 2999, Operator: "operator-1", Text: string(text)})
	if err != nil {
		b.Fatal(err)
	}
	record, err := records.Encode([]records.Entry{{ID: "publication-1", Data: data}})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(record)), "record-bytes")
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	_, _ = z.Write(text)
	_ = z.Close()
	b.ReportMetric(float64(packed.Len()), "gzip-bytes")
}
