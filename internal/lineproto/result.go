package lineproto

import (
	"bytes"
	"strconv"
	"unicode/utf8"
)

// columns is how many columns a row has.
const columns = 3

// Result gathers the pages of one result and checks them. The zero value waits for page 0.
type Result struct {
	total int // pages in all; 0: page 0 has not come
	have  int
	size  int
	pages [][]byte
}

// Add takes an answer of the words Data or Page; done tells that the result is whole. A page that is there already is
// skipped: nodes are known to send a second copy.
func (r *Result) Add(a *Answer) (done bool, err error) {
	index := 0
	if a.Word == Data {
		if r.total > 0 {
			return r.have == r.total, nil
		}
		total, err := count(a.Field("total"), 1)
		if err != nil {
			return false, err
		}
		r.total, r.pages = total, make([][]byte, total)
	} else {
		if index, err = count(a.Field("index"), 0); err != nil {
			return false, err
		}
		if r.total == 0 || index == 0 || index >= r.total {
			return false, malformed("page %d of %d", index, r.total)
		}
		if r.pages[index] != nil {
			return r.have == r.total, nil
		}
	}
	if err := checkRows(a.Body); err != nil {
		return false, err
	}
	if r.size += len(a.Body); r.size > ResultMost {
		return false, malformed("result of over %d bytes", ResultMost)
	}
	r.pages[index] = append(make([]byte, 0, len(a.Body)), a.Body...)
	r.have++
	return r.have == r.total, nil
}

// Begun tells that page 0 is there.
func (r *Result) Begun() bool { return r.total > 0 }

// Pages is how many pages the result has in all; 0 before the first has come.
func (r *Result) Pages() int { return r.total }

// Have is how many of them are there.
func (r *Result) Have() int { return r.have }

// Size is how many bytes are held.
func (r *Result) Size() int { return r.size }

// Rows calls row for every row of a whole result, in order; the columns are valid during the call.
func (r *Result) Rows(row func(columns [][]byte)) {
	var cells [columns][]byte
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

// pagesMost bounds the pages of a result: a node may fill them badly, but room is made for them at once.
const pagesMost = 1000

// count reads a number of pages or of one page.
func count(s string, least int) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < least || n > pagesMost || s != strconv.Itoa(n) {
		return 0, malformed("page number %.20q", s)
	}
	return n, nil
}

// checkRows wants whole rows of text, each of so many columns.
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
			if tabs != columns-1 {
				return malformed("row of %d columns, allowed are %d", tabs+1, columns)
			}
			tabs = 0
		case c < ' ':
			return malformed("byte %#x in a row", c)
		}
	}
	return nil
}
