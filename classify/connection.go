package classify

import "strings"

// ConnectionEffect says what a statement changes in the state of its connection.
type ConnectionEffect int

// The effects. The change by an Unsupported statement cannot be repeated on another connection, nor undone separately.
const (
	NoConnectionEffect ConnectionEffect = iota
	SetsOptions                         // SET name = value, ...
	SetsDatabase                        // USE name
	CreatesTable                        // CREATE TEMPORARY TABLE name
	DropsTable                          // DROP TABLE name: temporary or not
	Unsupported                         // SET ROLE, transactions, temporary objects other than tables
)

// Option holds one assignment of a SET statement. Quotes around the value are removed.
type Option struct{ Name, Value string }

// ConnectionEffectOf returns the effect of a statement in the ClickHouse dialect on its connection, the name of the database or
// table that is set, created or dropped, and the options of a SET. They are copies: a caller that keeps one does not keep the statement.
func ConnectionEffectOf(statement string) (effect ConnectionEffect, name string, options []Option) {
	s := scanner{text: statement}
	switch s.keyword() {
	case "SET":
		effect, options = s.setOptions()
		return effect, "", options
	case "USE":
		if kind, text := s.next(); kind == tokenWord || kind == tokenQuoted {
			return SetsDatabase, strings.Clone(unquoteName(text)), nil
		}
	case "BEGIN", "COMMIT", "ROLLBACK", "START":
		return Unsupported, "", nil
	case "CREATE":
		effect, name = s.create()
		return effect, name, nil
	case "DROP":
		effect, name = s.drop()
		return effect, name, nil
	}
	return NoConnectionEffect, "", nil
}

// create scans the rest of a statement after CREATE.
func (s *scanner) create() (ConnectionEffect, string) {
	keyword := s.keyword()
	if keyword == "OR" { // REPLACE
		s.keyword()
		keyword = s.keyword()
	}
	if keyword != "TEMPORARY" {
		return NoConnectionEffect, ""
	}
	if s.keyword() != "TABLE" {
		return Unsupported, ""
	}
	name := s.keyword()
	if name == "IF" { // NOT EXISTS
		s.keyword()
		s.keyword()
		name = s.keyword()
	}
	return CreatesTable, s.qualifiedName(name)
}

// drop scans the rest of a statement after DROP.
func (s *scanner) drop() (ConnectionEffect, string) {
	keyword := s.keyword()
	if keyword == "TEMPORARY" {
		keyword = s.keyword()
	}
	if keyword != "TABLE" {
		return NoConnectionEffect, ""
	}
	name := s.keyword()
	if name == "IF" { // EXISTS
		s.keyword()
		name = s.keyword()
	}
	return DropsTable, s.qualifiedName(name)
}

// qualifiedName scans the qualifiers that follow first, the first part of a name. It returns the whole name in lower case
// and without quotes.
func (s *scanner) qualifiedName(first string) string {
	name := unquoteName(strings.ToLower(first))
	for s.peek() == '.' {
		s.next()
		_, text := s.next()
		name += "." + unquoteName(strings.ToLower(text))
	}
	return strings.Clone(name)
}

// setOptions scans the rest of a statement after SET.
func (s *scanner) setOptions() (ConnectionEffect, []Option) {
	var options []Option
	for {
		kind, name := s.next()
		if kind != tokenWord {
			return Unsupported, nil
		}
		if kind, text := s.next(); kind != tokenOther || text != "=" { // SET ROLE, SET DEFAULT ROLE, SET TRANSACTION
			return Unsupported, nil
		}
		value, more, ok := s.optionValue()
		if !ok || value == "" {
			return Unsupported, nil
		}
		if options = append(options, Option{strings.Clone(name), strings.Clone(value)}); !more {
			return SetsOptions, options
		}
	}
}

// optionValue scans a value up to a comma, a semicolon or the end. It sets more if the value ends with a comma, and ok to
// false if the scanner finds an invalid token.
func (s *scanner) optionValue() (value string, more, ok bool) {
	for {
		kind, text := s.next()
		switch {
		case kind == tokenInvalid:
			return "", false, false
		case kind == tokenEnd || kind == tokenOther && (text == "," || text == ";"):
			return value, text == ",", true
		case kind == tokenQuoted:
			text = strings.ReplaceAll(strings.Trim(text, "'"), "''", "'")
		}
		value += text
	}
}
