package postgres

import (
	"strconv"
	"strings"
)

// token is a piece of a statement: an identifier or keyword, or one character of punctuation.
type token struct {
	text   string
	name   bool
	quoted bool
}

// tokens yields the pieces of a statement that are neither strings nor comments.
func tokens(s string, yield func(token) bool) {
	for i := 0; i < len(s); {
		c := s[i]
		switch {
		case c == '-' && strings.HasPrefix(s[i:], "--"):
			if end := strings.IndexByte(s[i:], '\n'); end >= 0 {
				i += end + 1
			} else {
				return
			}
		case c == '/' && strings.HasPrefix(s[i:], "/*"):
			i = skipComment(s, i)
		case c == '\'':
			i = skipString(s, i, i > 0 && (s[i-1] == 'e' || s[i-1] == 'E') && (i == 1 || !isName(s[i-2])))
		case c == '$':
			i = skipDollar(s, i)
		case c == '"':
			name, end := quoted(s, i)
			if i = end; !yield(token{name, true, true}) {
				return
			}
		case isName(c):
			end := i
			for end < len(s) && (isName(s[end]) || s[end] == '$') {
				end++
			}
			if !yield(token{s[i:end], true, false}) {
				return
			}
			i = end
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			i++
		default:
			if !yield(token{s[i : i+1], false, false}) {
				return
			}
			i++
		}
	}
}

func isName(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c >= 0x80
}

// skipComment passes a block comment; these nest.
func skipComment(s string, i int) int {
	depth := 0
	for i < len(s) {
		switch {
		case strings.HasPrefix(s[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(s[i:], "*/"):
			i += 2
			if depth--; depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return i
}

// skipString passes a string; a quote in it stands twice, and after a backslash where escapes count.
func skipString(s string, i int, escapes bool) int {
	for i++; i < len(s); i++ {
		switch {
		case s[i] == '\\' && escapes:
			i++
		case s[i] == '\'' && i+1 < len(s) && s[i+1] == '\'':
			i++
		case s[i] == '\'':
			return i + 1
		}
	}
	return len(s)
}

// skipDollar passes a string between dollar tags, or a lone dollar.
func skipDollar(s string, i int) int {
	end := i + 1
	for end < len(s) && isName(s[end]) {
		end++
	}
	if end >= len(s) || s[end] != '$' || end > i+1 && s[i+1] >= '0' && s[i+1] <= '9' {
		return i + 1
	}
	tag := s[i : end+1]
	if at := strings.Index(s[end+1:], tag); at >= 0 {
		return end + 1 + at + len(tag)
	}
	return len(s)
}

func quoted(s string, i int) (string, int) {
	var b strings.Builder
	for i++; i < len(s); i++ {
		if s[i] == '"' {
			if i+1 >= len(s) || s[i+1] != '"' {
				return b.String(), i + 1
			}
			i++
		}
		b.WriteByte(s[i])
	}
	return b.String(), len(s)
}

// stagingSchema is where loads read from; its tables belong to no group.
const stagingSchema = "staging"

// tableKeywords are the keywords that a table's name follows.
var tableKeywords = map[string]bool{"from": true, "join": true, "into": true, "update": true, "table": true, "using": true}

// clauseKeywords end a list of tables, in which a comma stands before the next one.
var clauseKeywords = map[string]bool{"select": true, "where": true, "group": true, "order": true, "having": true, "on": true, "set": true,
	"limit": true, "union": true, "values": true, "returning": true}

// tableGroup is the group of tables that a statement reads or writes: the number after the underscore in its schema's name; 0
// where none has one. A name where a table must stand goes before any other, which may be an alias.
func tableGroup(statement string) int64 {
	var before, schema token
	list, table, first, any := false, false, int64(0), int64(0)
	state := 0 // 1: after a name, 2: after its dot
	tokens(statement, func(w token) bool {
		switch {
		case state == 2 && w.name:
			if n := schemaNumber(schema.text); n > 0 && table && first == 0 {
				first = n
			} else if n > 0 && any == 0 {
				any = n
			}
			state = 0
		case state == 1 && w.text == "." && !w.name:
			state = 2
		case w.name:
			if before.name && !before.quoted {
				key := strings.ToLower(before.text)
				list = tableKeywords[key] || list && !clauseKeywords[key]
				table = tableKeywords[key]
			} else {
				table = list && before.text == ","
			}
			schema, state = w, 1
		default:
			if state = 0; before.name && !before.quoted && clauseKeywords[strings.ToLower(before.text)] {
				list = false
			}
		}
		before = w
		return first == 0
	})
	if first > 0 {
		return first
	}
	return any
}

// schemaNumber is the one after the last underscore of a schema's name; 0 where there is none.
func schemaNumber(schema string) int64 {
	at := strings.LastIndexByte(schema, '_')
	if at < 0 || schema == stagingSchema {
		return 0
	}
	digits := schema[at+1:]
	n, err := strconv.ParseInt(digits, 10, 53)
	if err != nil || n < 0 || strings.Trim(digits, "0123456789") != "" {
		return 0
	}
	return n
}
