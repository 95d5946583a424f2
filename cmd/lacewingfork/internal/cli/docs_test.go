package cli

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"lacewingfork.example/lacewingfork/findings/tomlfile"
	configuration "lacewingfork.example/lacewingfork/records/configuration"
	"lacewingfork.example/lacewingfork/settings"
)

const operationsPage = "../../../../docs/OPERATIONS.md"

var update = flag.Bool("update", false, "write the generated tables of docs/OPERATIONS.md")

// generated returns the generated parts of the operations page by name.
func generated() map[string]string {
	var entry, site strings.Builder
	for _, s := range settings.Sections() {
		entry.WriteString("\n### [" + s.Name + "]\n\n" + tomlfile.Markdown("", s.Keys))
	}
	for _, s := range configuration.Sections() {
		site.WriteString("\n### " + s.Heading + "\n\n" + s.Markdown)
	}
	return map[string]string{
		"settings": entry.String(), "configuration": site.String(), "commands": "\n" + Reference(),
	}
}

// Guards against a page whose units, defaults, ranges or exit codes differ from
// those in the code.
func TestOperationsPageIsCurrent(t *testing.T) {
	data, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for name, text := range generated() {
		marker := "<!-- generated: " + name + " -->\n"
		before, rest, found := strings.Cut(page, marker)
		old, after, ended := strings.Cut(rest, "<!-- end -->")
		if !found || !ended {
			t.Fatalf("the page has no start or end marker of the generated part %q", name)
		}
		if want := text + "\n"; old != want {
			page = before + marker + want + "<!-- end -->" + after
			if !*update {
				t.Errorf("the generated part %q differs from the code; run this test with -update", name)
			}
		}
	}
	if *update {
		if err := os.WriteFile(operationsPage, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a reason that is returned to callers but missing from the
// operations page.
func TestEveryReasonIsExplained(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../../../../decision/outcome/outcome.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if !ok {
			return true
		}
		word, err := strconv.Unquote(literal.Value)
		if err != nil || word == "" {
			return true
		}
		count++
		if !strings.Contains(string(page), "| `"+word+"` |") {
			t.Errorf("reason %q is missing from docs/OPERATIONS.md", word)
		}
		return true
	})
	if count < 20 {
		t.Errorf("got %d reasons, want at least 20", count)
	}
}
