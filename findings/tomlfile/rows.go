package tomlfile

import (
	"bytes"
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxPathBytes bounds the paths that get a row. Without a bound, 128 KiB of
// nested brackets take several GiB, because every level repeats its parents.
const maxPathBytes = 512

// rowWalk assigns a row to each key of a valid document.
type rowWalk struct {
	parser unstable.Parser
	starts []int // offset of each row
	rows   map[string]int
	counts map[string]int // tables seen so far of each array of tables
}

// rowsOf maps paths such as "service[1].operation[0].class" to rows from 1.
// The document has to be valid.
func rowsOf(data []byte) map[string]int {
	w := &rowWalk{starts: rowStarts(data), rows: map[string]int{}, counts: map[string]int{}}
	w.parser.Reset(data)
	table := ""
	for w.parser.NextExpression() {
		e := w.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			table = w.keys("", e.Key(), false)
		case unstable.ArrayTable:
			table = w.keys("", e.Key(), true)
		case unstable.KeyValue:
			w.keyValue(table, e)
		}
	}
	return w.rows
}

func rowStarts(data []byte) []int {
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

// row is the row of an offset. The parser's own search begins at the first row
// each time, which takes seconds for a file with ten thousand keys.
func (w *rowWalk) row(offset int) int {
	return sort.SearchInts(w.starts, offset+1)
}

// keys follows a dotted key from a table on and returns the path it names. A
// part that names an array of tables stands for the newest of them; next adds
// another one for the last part.
func (w *rowWalk) keys(path string, keys unstable.Iterator, next bool) string {
	for keys.Next() && len(path) <= maxPathBytes {
		key := keys.Node()
		if path != "" {
			path += "."
		}
		path += string(key.Data)
		row := w.row(int(key.Raw.Offset))
		if _, seen := w.rows[path]; !seen {
			w.rows[path] = row
		}
		if next && keys.IsLast() {
			w.counts[path]++
		}
		if n := w.counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
			if _, seen := w.rows[path]; !seen {
				w.rows[path] = row
			}
		}
	}
	return path
}

func (w *rowWalk) keyValue(table string, node *unstable.Node) {
	path := w.keys(table, node.Key(), false)
	w.value(path, node.Value())
}

func (w *rowWalk) value(path string, value *unstable.Node) {
	if len(path) > maxPathBytes {
		return
	}
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			w.keyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			item := fmt.Sprintf("%s[%d]", path, i)
			w.rows[item] = w.rows[path]
			w.value(item, children.Node())
		}
	}
}
