package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// table prints aligned columns. flush returns the first write error.
type table struct {
	writer *tabwriter.Writer
	err    error
}

func newTable(out io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
}

// header prints the column names.
func (t *table) header(names []string) { t.print("%s\t", names) }

// row prints one row; cells are truncated to 40 characters.
func (t *table) row(cells []string) { t.print("%.40s\t", cells) }

func (t *table) print(format string, cells []string) {
	for _, cell := range cells {
		t.printf(format, cell)
	}
	t.printf("\n")
}

func (t *table) printf(format string, arguments ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.writer, format, arguments...)
	}
}

// flush writes the buffered rows and returns the first error.
func (t *table) flush() error { return errors.Join(t.err, t.writer.Flush()) }
