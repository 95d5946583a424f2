package tomlfile

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// rowWalk assigns a row to each key of a valid document.
type rowWalk struct {
	parser unstable.Parser
	rows   map[string]int
	counts map[string]int // tables seen so far of each array of tables
}

// rowsOf maps paths such as "service[1].operation[0].class" to rows from 1.
// The document has to be valid.
func rowsOf(data []byte) map[string]int {
	w := &rowWalk{rows: map[string]int{}, counts: map[string]int{}}
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

// keys follows a dotted key from a table on and returns the path it names. A
// part that names an array of tables stands for the newest of them; next adds
// another one for the last part.
func (w *rowWalk) keys(path string, keys unstable.Iterator, next bool) string {
	for keys.Next() {
		key := keys.Node()
		if path != "" {
			path += "."
		}
		path += string(key.Data)
		row := w.parser.Shape(key.Raw).Start.Line
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
