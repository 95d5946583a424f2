package tomlfile

import (
	"bytes"
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxPathBytes bounds the paths that are indexed. Without a bound, 128 KiB of
// nested brackets take several GiB, because every level repeats the path of its
// parents.
const maxPathBytes = 512

// lineIndexer assigns a line number to each key of a valid document.
type lineIndexer struct {
	parser       unstable.Parser
	starts       []int // offset of the first byte of each line
	lines        map[string]int
	arrayLengths map[string]int // tables seen so far of each array of tables
}

// lineNumbers maps paths such as "service[1].operation[0].class" to line
// numbers from 1. The document has to be valid.
func lineNumbers(data []byte) map[string]int {
	x := &lineIndexer{starts: lineStarts(data), lines: map[string]int{}, arrayLengths: map[string]int{}}
	x.parser.Reset(data)
	table := ""
	for x.parser.NextExpression() {
		e := x.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			table = x.keys("", e.Key(), false)
		case unstable.ArrayTable:
			table = x.keys("", e.Key(), true)
		case unstable.KeyValue:
			x.keyValue(table, e)
		}
	}
	return x.lines
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for at := 0; ; {
		next := bytes.IndexByte(data[at:], '\n')
		if next < 0 {
			return starts
		}
		at += next + 1
		starts = append(starts, at)
	}
}

// lineAt returns the line number of an offset. The parser's own lookup scans
// from the first line each time, which takes seconds for a file with ten
// thousand keys.
func (x *lineIndexer) lineAt(offset int) int {
	return sort.SearchInts(x.starts, offset+1)
}

// keys resolves a dotted key relative to a table's path and returns its path. A
// part that names an array of tables refers to its last table; with
// appendTable, the last part appends a table to its array first.
func (x *lineIndexer) keys(path string, keys unstable.Iterator, appendTable bool) string {
	for keys.Next() && len(path) <= maxPathBytes {
		key := keys.Node()
		if path != "" {
			path += "."
		}
		path += string(key.Data)
		line := x.lineAt(int(key.Raw.Offset))
		if _, seen := x.lines[path]; !seen {
			x.lines[path] = line
		}
		if appendTable && keys.IsLast() {
			x.arrayLengths[path]++
		}
		if n := x.arrayLengths[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
			if _, seen := x.lines[path]; !seen {
				x.lines[path] = line
			}
		}
	}
	return path
}

func (x *lineIndexer) keyValue(table string, node *unstable.Node) {
	path := x.keys(table, node.Key(), false)
	x.value(path, node.Value())
}

func (x *lineIndexer) value(path string, value *unstable.Node) {
	if len(path) > maxPathBytes {
		return
	}
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.keyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			item := fmt.Sprintf("%s[%d]", path, i)
			x.lines[item] = x.lines[path]
			x.value(item, children.Node())
		}
	}
}
