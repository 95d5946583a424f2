package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// table is the output of a command without --json.
type table struct {
	head []string
	rows [][]string
}

// add appends a row.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print writes value as JSON if --json is set, and otherwise the table.
func (a *app) print(value any, t table) error {
	if a.options.JSON {
		return a.printJSON(value)
	}
	w := tabwriter.NewWriter(a.env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.head, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.env.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}

// progress replaces the progress line on standard error; an empty text removes
// it. Nothing is written unless standard error is a terminal.
func (a *app) progress(format string, values ...any) {
	if a.env.Terminal {
		fmt.Fprintf(a.env.Stderr, "\r\033[K"+format, values...)
	}
}
