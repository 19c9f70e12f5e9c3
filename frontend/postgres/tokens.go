package postgres

import "strings"

// token is a part of a statement: an identifier, keyword or number, or one character of punctuation.
type token struct {
	text   string // of a quoted identifier: without the quotes
	name   bool   // an identifier, keyword or number
	quoted bool   // an identifier in double quotes
}

// keyword returns the token in lower case if it may be a keyword, otherwise "".
func (t token) keyword() string {
	if !t.name || t.quoted {
		return ""
	}
	return strings.ToLower(t.text)
}

// isPunctuation reports whether the token is the punctuation character c.
func (t token) isPunctuation(c string) bool { return !t.name && t.text == c }

// tokens calls yield for the tokens of a statement, without its strings and comments, until yield returns false.
func tokens(s string, yield func(token) bool) {
	for i := 0; i < len(s); {
		if end := skipIgnored(s, i); end > i {
			i = end
			continue
		}
		t, end := readToken(s, i)
		if !yield(t) {
			return
		}
		i = end
	}
}

// skipIgnored returns the end of the white space, comment or string that starts at i, or i if none does.
func skipIgnored(s string, i int) int {
	switch c := s[i]; {
	case isSpace(c):
		return i + 1
	case c == '-' && strings.HasPrefix(s[i:], "--"):
		return skipLine(s, i)
	case c == '/' && strings.HasPrefix(s[i:], "/*"):
		return skipComment(s, i)
	case c == '\'':
		return skipString(s, i, isEscapeString(s, i))
	case c == '$':
		return skipDollarQuoted(s, i)
	}
	return i
}

// readToken returns the token that starts at i, and its end.
func readToken(s string, i int) (t token, end int) {
	switch c := s[i]; {
	case c == '"':
		text, end := readQuoted(s, i)
		return token{text: text, name: true, quoted: true}, end
	case isNameByte(c):
		end = i
		for end < len(s) && (isNameByte(s[end]) || s[end] == '$') {
			end++
		}
		return token{text: s[i:end], name: true}, end
	}
	return token{text: s[i : i+1]}, i + 1
}

// readQuoted returns the identifier in double quotes that starts at i, and its end. A quote within it is written twice.
func readQuoted(s string, i int) (name string, end int) {
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

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c >= 0x80
}

// skipLine returns the end of the line comment that starts at i.
func skipLine(s string, i int) int {
	if end := strings.IndexByte(s[i:], '\n'); end >= 0 {
		return i + end + 1
	}
	return len(s)
}

// skipComment returns the end of the block comment that starts at i. Block comments nest.
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

// isEscapeString reports whether the quote at i starts a string with backslash escapes: an E precedes it that is not the end of a name.
func isEscapeString(s string, i int) bool {
	return i > 0 && (s[i-1] == 'e' || s[i-1] == 'E') && (i == 1 || !isNameByte(s[i-2]))
}

// skipString returns the end of the string that starts at i. A quote within it is written twice, or after a backslash if escapes is set.
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

// skipDollarQuoted returns the end of the dollar-quoted string that starts at i, or of the single dollar if there is no such string.
func skipDollarQuoted(s string, i int) int {
	end := i + 1
	for end < len(s) && isNameByte(s[end]) {
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
