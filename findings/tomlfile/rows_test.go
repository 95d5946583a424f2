package tomlfile

import (
	"strings"
	"testing"
)

const nested = `title = "x"
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

// Guards against a finding that points to another row of the file.
func TestRows(t *testing.T) {
	d := Parse("x.toml", []byte(nested))
	if d.Broken() {
		t.Fatal(d.Err())
	}
	for path, row := range map[string]int{
		"title": 1, "service": 2, "service[0]": 2, "service[0].name": 3,
		"service[0].operation[0]": 4, "service[0].operation[0].name": 5,
		"service[0].operation[0].more": 6, "service[0].operation[0].more.deep[1].a": 7,
		"service[0].operation[0].more.deep[1].quoted.key": 8,
		"service[1]": 9, "service[1].operation[0].name": 12, "service[1].operation[1].name": 13,
		"service[1].dotted.key": 15, "service[1].dotted.key.path": 15,
		// A key that is missing has the row of what is around it.
		"service[0].operation[0].class": 4, "service[1].regions": 9, "team[0].name": 0, "limits": 0,
	} {
		if got := d.Row(path); got != row {
			t.Errorf("row of %s is %d, want %d", path, got, row)
		}
	}
}

// Guards against a published text that takes every instance's memory: paths of
// nested keys grow with the square of their depth.
func TestNestingIsBounded(t *testing.T) {
	for _, text := range []string{
		strings.Repeat("a.", 10_000) + "a = 1",
		"x = " + strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000),
		"x = " + strings.Repeat("{a = ", 10_000) + "1" + strings.Repeat("}", 10_000),
	} {
		size := 0
		for path := range rowsOf([]byte(text)) {
			size += len(path)
		}
		if size > maxPathBytes*maxPathBytes {
			t.Errorf("%.20s...: the paths take %d bytes", text, size)
		}
	}
}
