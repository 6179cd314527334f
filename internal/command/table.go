package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// tablePadding is the number of spaces between columns.
const tablePadding = 2

// table writes rows of aligned columns. Call flush after the last row.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, columns ...string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)}
	fmt.Fprintln(t.w, strings.Join(columns, "\t"))
	return t
}

func (t *table) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		texts = append(texts, fmt.Sprint(c))
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t *table) flush() {
	_ = t.w.Flush()
}
