// Package tomlfile reads hand-written TOML files and collects every fault in one,
// with file, line and key. The command line and the start of a process call it;
// it holds no state, and faults in a file are returned as findings.
package tomlfile

import (
	"fmt"
	"sort"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"lacewingfork.example/lacewingfork/findings"
)

// Document is one parsed file. Only one goroutine may use it.
type Document struct {
	file      string
	lines     map[string]int
	tables    []*Table
	findings  findings.List
	reported  map[string]bool // by key
	malformed bool
	root      *Table
}

// Parse parses the content of a file; file is its name in the findings. A syntax
// error becomes a finding, and the document is then empty and Malformed.
func Parse(file string, data []byte) *Document {
	d := &Document{file: file, lines: map[string]int{}, reported: map[string]bool{}}
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		d.malformed = true
		d.addSyntax(err)
		values = map[string]any{}
	} else {
		d.lines = lineNumbers(data)
	}
	d.root = d.table("", values)
	return d
}

func (d *Document) addSyntax(err error) {
	f := findings.Finding{File: d.file, Problem: err.Error(), Expected: "valid TOML"}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		f.Line, _ = decode.Position()
		f.Key = strings.Join(decode.Key(), ".")
	}
	d.findings.Add(f)
}

// Malformed reports whether the file is not valid TOML.
func (d *Document) Malformed() bool { return d.malformed }

// Root returns the document's top-level table.
func (d *Document) Root() *Table { return d.root }

// Line returns the line of a key such as "service[0].name", or that of the
// nearest enclosing table. It returns 0 when neither is in the file.
func (d *Document) Line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = parentOf(path)
	}
	return 0
}

// parentOf returns the path of the table or array that contains path, or "".
func parentOf(path string) string {
	if strings.HasSuffix(path, "]") {
		return path[:strings.LastIndexByte(path, '[')]
	}
	return path[:max(0, strings.LastIndexByte(path, '.'))]
}

// Report adds a finding about the key at path.
func (d *Document) Report(path, problem, expected string) {
	d.reported[path] = true
	d.findings.Add(findings.Finding{
		File: d.file, Line: d.Line(path), Key: path, Problem: problem, Expected: expected,
	})
}

// Reported reports whether there is a finding about exactly this key.
func (d *Document) Reported(path string) bool {
	return d.reported[path]
}

// Err reports the keys that were not read as unknown and returns all findings as
// a *findings.Error, or nil. It must be called once, after all keys were read.
func (d *Document) Err() error {
	for _, t := range d.tables {
		for _, key := range t.unread() {
			d.Report(t.pathOf(key), "is unknown", "one of "+strings.Join(t.expected(), ", "))
		}
	}
	return d.findings.Err()
}

// Table is one table of a document. It records which keys were read.
type Table struct {
	doc    *Document
	path   string // empty for the root
	values map[string]any
	read   map[string]bool // keys that the caller accepts, present or not
}

func (d *Document) table(path string, values map[string]any) *Table {
	t := &Table{doc: d, path: path, values: values, read: map[string]bool{}}
	d.tables = append(d.tables, t)
	return t
}

// Path returns the path of the table, such as "service[0]"; empty for the root.
func (t *Table) Path() string { return t.path }

func (t *Table) pathOf(key string) string {
	if t.path == "" {
		return key
	}
	return t.path + "." + key
}

// unread returns the sorted keys of the file that were not read.
func (t *Table) unread() []string {
	var keys []string
	for key := range t.values {
		if !t.read[key] {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// expected returns the sorted keys that were read, present or not.
func (t *Table) expected() []string {
	keys := make([]string, 0, len(t.read))
	for key := range t.read {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// take returns the value of a key and marks the key as read.
func (t *Table) take(key string) (any, bool) {
	t.read[key] = true
	value, ok := t.values[key]
	return value, ok
}

// Table returns the table under a key. It is empty when the key is missing or of
// another type, which is reported.
func (t *Table) Table(key string) *Table {
	value, ok := t.take(key)
	values, isTable := value.(map[string]any)
	if ok && !isTable {
		t.doc.Report(t.pathOf(key), "is "+typeName(value), "a table ["+t.pathOf(key)+"]")
	}
	return t.doc.table(t.pathOf(key), values)
}

// Tables returns the tables of an array of tables such as [[service]]. Items of
// another type are reported and left out.
func (t *Table) Tables(key string) []*Table {
	value, ok := t.take(key)
	if !ok {
		return nil
	}
	items, isArray := value.([]any)
	if !isArray {
		t.doc.Report(t.pathOf(key), "is "+typeName(value), "tables [["+t.pathOf(key)+"]]")
		return nil
	}
	tables := make([]*Table, 0, len(items))
	for i, item := range items {
		path := fmt.Sprintf("%s[%d]", t.pathOf(key), i)
		values, isTable := item.(map[string]any)
		if !isTable {
			t.doc.Report(path, "is "+typeName(item), "a table")
			continue
		}
		tables = append(tables, t.doc.table(path, values))
	}
	return tables
}
