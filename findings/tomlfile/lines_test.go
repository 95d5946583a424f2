package tomlfile

import (
	"strings"
	"testing"
)

const nestedDocument = `title = "x"
[[service]]
name = "a"
  [[service.operation]]
  name = "b"
  [service.operation.more]
  deep = [{ a = 1 }, { a = 2,
    "quoted.key" = 3 }]
[[service]]
name = "c"
operation = [
  { name = "d" },
  { name = "e" },
]
dotted.key.path = 1
`

// Guards against a finding that points to the wrong line of the file.
func TestLineNumbers(t *testing.T) {
	d := Parse("x.toml", []byte(nestedDocument))
	if d.Malformed() {
		t.Fatal(d.Err())
	}
	for path, want := range map[string]int{
		"title": 1, "service": 2, "service[0]": 2, "service[0].name": 3,
		"service[0].operation[0]": 4, "service[0].operation[0].name": 5,
		"service[0].operation[0].more": 6, "service[0].operation[0].more.deep[1].a": 7,
		"service[0].operation[0].more.deep[1].quoted.key": 8,
		"service[1]": 9, "service[1].operation[0].name": 12, "service[1].operation[1].name": 13,
		"service[1].dotted.key": 15, "service[1].dotted.key.path": 15,
		// A missing key has the line of the nearest table around it.
		"service[0].operation[0].class": 4, "service[1].regions": 9, "team[0].name": 0, "limits": 0,
	} {
		if got := d.Line(path); got != want {
			t.Errorf("line of %s is %d, want %d", path, got, want)
		}
	}
}

// Guards against a published configuration that exhausts the memory of every
// instance: the total length of the paths of nested keys grows with the square
// of their depth.
func TestPathBytesOfDeepNestingAreBounded(t *testing.T) {
	for _, text := range []string{
		strings.Repeat("a.", 10_000) + "a = 1",
		"x = " + strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000),
		"x = " + strings.Repeat("{a = ", 10_000) + "1" + strings.Repeat("}", 10_000),
	} {
		size := 0
		for path := range lineNumbers([]byte(text)) {
			size += len(path)
		}
		if size > maxPathBytes*maxPathBytes {
			t.Errorf("%.20s...: the paths take %d bytes, want at most %d", text, size, maxPathBytes*maxPathBytes)
		}
	}
}
