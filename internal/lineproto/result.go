package lineproto

import (
	"bytes"
	"strconv"
	"unicode/utf8"
)

// columnCount is the number of columns of every row.
const columnCount = 3

// Result collects and checks the pages of one result. The zero value waits for page 0.
type Result struct {
	total     int      // pages of the complete result; 0: page 0 was not received
	received  int      // pages
	sizeBytes int      // of the received pages
	pages     [][]byte // by index; nil: not received
}

// Add adds the page in an answer of the kind Data or Page; done reports whether the result is complete. A page that was received before is
// skipped: nodes are known to send duplicates.
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
		return false, malformed("result larger than %d bytes", maxResultBytes)
	}
	r.pages[index] = append(make([]byte, 0, len(a.Body)), a.Body...)
	r.received++
	return r.received == r.total, nil
}

// pageIndex returns the index of an answer's page, and whether that page was received before. Page 0 sets the number of pages.
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

// Started reports whether page 0 was received.
func (r *Result) Started() bool { return r.total > 0 }

// TotalPages returns the number of pages of the complete result; 0 before page 0 was received.
func (r *Result) TotalPages() int { return r.total }

// ReceivedPages returns the number of pages received so far.
func (r *Result) ReceivedPages() int { return r.received }

// Size returns the size of the received pages in bytes.
func (r *Result) Size() int { return r.sizeBytes }

// Rows calls row for every row of a complete result, in order. The columns are valid only during the call.
func (r *Result) Rows(row func(columns [][]byte)) {
	var columns [columnCount][]byte
	for _, page := range r.pages {
		for len(page) > 0 {
			end := bytes.IndexByte(page, '\n')
			line := page[:end]
			for i := range columns {
				columns[i], line, _ = bytes.Cut(line, []byte{'\t'})
			}
			row(columns[:])
			page = page[end+1:]
		}
	}
}

// maxPages bounds the number of pages of a result. A node may put little on each page and need many, but the list of pages is allocated as
// soon as page 0 announces their number.
const maxPages = 1000

// parsePageNumber parses the number of pages or the index of a page. Leading zeros and signs are not allowed.
func parsePageNumber(s string, minimum int) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < minimum || n > maxPages || s != strconv.Itoa(n) {
		return 0, malformed("page number %.20q", s)
	}
	return n, nil
}

// checkRows checks that a page consists of complete rows of UTF-8 text without control characters, each of columnCount columns.
func checkRows(page []byte) error {
	if len(page) > 0 && page[len(page)-1] != '\n' {
		return malformed("page ends within a row")
	}
	if !utf8.Valid(page) {
		return malformed("page is not valid UTF-8")
	}
	tabs := 0
	for _, c := range page {
		switch {
		case c == '\t':
			tabs++
		case c == '\n':
			if tabs != columnCount-1 {
				return malformed("row of %d columns; allowed: %d", tabs+1, columnCount)
			}
			tabs = 0
		case c < ' ':
			return malformed("byte %#x in a row", c)
		}
	}
	return nil
}
