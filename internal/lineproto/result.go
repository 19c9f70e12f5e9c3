package lineproto

import (
	"bytes"
	"strconv"
	"unicode/utf8"
)

// columnCount is how many columns a row has.
const columnCount = 3

// Result collects the pages of one result and checks them. The zero value waits for page 0.
type Result struct {
	total     int // pages in all; 0: page 0 was not received
	received  int
	sizeBytes int
	pages     [][]byte
}

// Add adds an answer of the kind Data or Page; done reports that the result is complete. A page that is there already is skipped: nodes
// are known to send duplicates.
func (r *Result) Add(a *Answer) (done bool, err error) {
	index, duplicate, err := r.pageIndex(a)
	if err != nil {
		return false, err
	}
	if duplicate {
		return r.received == r.total, nil
	}
	if err := checkRows(a.Body); err != nil {
		return false, err
	}
	if r.sizeBytes += len(a.Body); r.sizeBytes > maxResultBytes {
		return false, malformed("result of over %d bytes", maxResultBytes)
	}
	r.pages[index] = append(make([]byte, 0, len(a.Body)), a.Body...)
	r.received++
	return r.received == r.total, nil
}

// pageIndex is the page that an answer has; the first page sets how many there are.
func (r *Result) pageIndex(a *Answer) (index int, duplicate bool, err error) {
	if a.Kind == Data {
		if r.total > 0 {
			return 0, true, nil
		}
		total, err := parsePageNumber(a.Field("total"), 1)
		if err != nil {
			return 0, false, err
		}
		r.total, r.pages = total, make([][]byte, total)
		return 0, false, nil
	}
	if index, err = parsePageNumber(a.Field("index"), 0); err != nil {
		return 0, false, err
	}
	if r.total == 0 || index == 0 || index >= r.total {
		return 0, false, malformed("page %d of %d", index, r.total)
	}
	return index, r.pages[index] != nil, nil
}

// Started reports that page 0 is there.
func (r *Result) Started() bool { return r.total > 0 }

// TotalPages is how many pages the result has in all; 0 before the first was received.
func (r *Result) TotalPages() int { return r.total }

// ReceivedPages is how many of them are there.
func (r *Result) ReceivedPages() int { return r.received }

// Size is how many bytes the received pages have.
func (r *Result) Size() int { return r.sizeBytes }

// Rows calls row for every row of a complete result, in order; the columns are valid during the call.
func (r *Result) Rows(row func(columns [][]byte)) {
	var cells [columnCount][]byte
	for _, page := range r.pages {
		for len(page) > 0 {
			end := bytes.IndexByte(page, '\n')
			line := page[:end]
			for i := range cells {
				cells[i], line, _ = bytes.Cut(line, []byte{'\t'})
			}
			row(cells[:])
			page = page[end+1:]
		}
	}
}

// maxPages bounds the pages of a result: a node may fill them badly, but memory is allocated for all of them at once.
const maxPages = 1000

// parsePageNumber reads a number of pages, or of one page, in its shortest form.
func parsePageNumber(s string, minimum int) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < minimum || n > maxPages || s != strconv.Itoa(n) {
		return 0, malformed("page number %.20q", s)
	}
	return n, nil
}

// checkRows checks that a page is complete rows of text, each of columnCount columns.
func checkRows(page []byte) error {
	if len(page) > 0 && page[len(page)-1] != '\n' {
		return malformed("page that ends within a row")
	}
	if !utf8.Valid(page) {
		return malformed("page that is no text")
	}
	tabs := 0
	for _, c := range page {
		switch {
		case c == '\t':
			tabs++
		case c == '\n':
			if tabs != columnCount-1 {
				return malformed("row of %d columns, allowed are %d", tabs+1, columnCount)
			}
			tabs = 0
		case c < ' ':
			return malformed("byte %#x in a row", c)
		}
	}
	return nil
}
