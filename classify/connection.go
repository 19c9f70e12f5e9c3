package classify

import "strings"

// Lasting is what a statement leaves on the connection that it runs on.
type Lasting int

// The kinds. What is Unserved would leave something that can be neither replayed nor given up by itself.
const (
	LeavesNothing  Lasting = iota
	LeavesOptions          // SET name = value, ...
	LeavesDatabase         // USE name
	LeavesTable            // CREATE TEMPORARY TABLE name
	DropsTable             // DROP TABLE name: temporary or not
	LeavesUnserved         // SET ROLE, transactions, temporary views and so on
)

// Option is one name and value of a SET, as text.
type Option struct{ Name, Value string }

// OnConnection tells what a statement of the ClickHouse dialect leaves on its connection, and under which name.
func OnConnection(statement string) (kind Lasting, name string, options []Option) {
	s := scanner{text: statement}
	word := func() string { // the next token, words in upper case
		k, w := s.next()
		switch k {
		case tokenWord:
			return strings.ToUpper(w)
		case tokenEnd, tokenBroken:
			return ""
		}
		return w
	}
	ident := func(first string) string { // a name, which may have parts and quotes
		out := strings.Trim(strings.ToLower(first), "\"`")
		for s.peek() == '.' {
			s.next()
			_, w := s.next()
			out += "." + strings.Trim(strings.ToLower(w), "\"`")
		}
		return out
	}
	switch word() {
	case "SET":
		return s.options()
	case "USE":
		if k, w := s.next(); k == tokenWord || k == tokenQuoted {
			return LeavesDatabase, strings.Trim(w, "\"`"), nil
		}
	case "BEGIN", "COMMIT", "ROLLBACK", "START":
		return LeavesUnserved, "", nil
	case "CREATE":
		w := word()
		if w == "OR" { // REPLACE
			word()
			w = word()
		}
		if w != "TEMPORARY" {
			return LeavesNothing, "", nil
		}
		if word() != "TABLE" {
			return LeavesUnserved, "", nil
		}
		if w = word(); w == "IF" { // NOT EXISTS
			word()
			word()
			w = word()
		}
		return LeavesTable, ident(w), nil
	case "DROP":
		w := word()
		if w == "TEMPORARY" {
			w = word()
		}
		if w != "TABLE" {
			return LeavesNothing, "", nil
		}
		if w = word(); w == "IF" { // EXISTS
			word()
			w = word()
		}
		return DropsTable, ident(w), nil
	}
	return LeavesNothing, "", nil
}

// options reads what follows SET.
func (s *scanner) options() (Lasting, string, []Option) {
	var out []Option
	for {
		k, name := s.next()
		if k != tokenWord {
			return LeavesUnserved, "", nil
		}
		if k, w := s.next(); k != tokenOther || w != "=" { // SET ROLE, SET DEFAULT ROLE, SET TRANSACTION
			return LeavesUnserved, "", nil
		}
		value, more := "", false
		for {
			k, w := s.next()
			if k == tokenBroken {
				return LeavesUnserved, "", nil
			}
			if k == tokenEnd || k == tokenOther && (w == "," || w == ";") {
				more = w == ","
				break
			}
			if k == tokenQuoted {
				w = strings.ReplaceAll(strings.Trim(w, "'"), "''", "'")
			}
			value += w
		}
		if value == "" {
			return LeavesUnserved, "", nil
		}
		if out = append(out, Option{name, value}); !more {
			return LeavesOptions, "", out
		}
	}
}
