package classify

import "strings"

// tokenKind says what a token of a statement is.
type tokenKind int

const (
	tokenEnd     tokenKind = iota
	tokenInvalid           // a quoted string or comment that does not end, or whose end depends on the dialect
	tokenWord
	tokenQuoted
	tokenOther // a single character
)

// scanner splits a statement into words, quoted strings and single characters. It skips white space and comments.
type scanner struct {
	text   string
	offset int
	hint   string // the content of the first block comment
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

func isWordByte(c byte) bool {
	return c == '_' || c == '$' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// peek returns the next character that is not white space, without consuming it; 0 at the end.
func (s *scanner) peek() byte {
	for i := s.offset; i < len(s.text); i++ {
		if c := s.text[i]; !isSpace(c) {
			return c
		}
	}
	return 0
}

// next returns the next token and its text.
func (s *scanner) next() (tokenKind, string) {
	for s.offset < len(s.text) {
		rest := s.text[s.offset:]
		switch c := rest[0]; {
		case isSpace(c) || c == '\f' || c == '\v':
			s.offset++
		case strings.HasPrefix(rest, "--") || c == '#':
			s.skipLine(rest)
		case strings.HasPrefix(rest, "/*"):
			if !s.skipBlockComment(rest) {
				return s.invalid()
			}
		case c == '\'' || c == '"' || c == '`':
			return s.quoted(c)
		case isWordByte(c):
			return tokenWord, s.word(rest)
		default:
			s.offset++
			return tokenOther, rest[:1]
		}
	}
	return tokenEnd, ""
}

// invalid returns an invalid token and ends the scan: later calls of next return tokenEnd.
func (s *scanner) invalid() (tokenKind, string) {
	s.offset = len(s.text)
	return tokenInvalid, ""
}

// word scans a word; rest is the text from the offset on, as in the skip methods.
func (s *scanner) word(rest string) string {
	n := 1
	for n < len(rest) && isWordByte(rest[n]) {
		n++
	}
	s.offset += n
	return rest[:n]
}

// skipLine skips a line comment.
func (s *scanner) skipLine(rest string) {
	end := strings.IndexByte(rest, '\n')
	if end < 0 {
		s.offset = len(s.text)
	} else {
		s.offset += end + 1
	}
}

// skipBlockComment skips a block comment and keeps the content of the first one as the hint. It returns false for a comment
// that does not end, for a nested comment, whose end depends on the dialect, and for /*! ... */, whose content some servers
// execute.
func (s *scanner) skipBlockComment(rest string) bool {
	end := strings.Index(rest[2:], "*/")
	if end < 0 {
		return false
	}
	body := rest[2 : 2+end]
	if strings.HasPrefix(body, "!") || strings.Contains(body, "/*") {
		return false
	}
	if s.hint == "" {
		s.hint = body
	}
	s.offset += end + 4
	return true
}

// quoted scans a quoted string, in which a doubled quote stands for a single one. If a backslash precedes a quote, the end
// of the string depends on the dialect: the token is invalid, and the statement counts as an update.
func (s *scanner) quoted(quote byte) (tokenKind, string) {
	begin := s.offset
	for i := s.offset + 1; i < len(s.text); i++ {
		escaped := i+1 < len(s.text) && s.text[i+1] == quote
		switch s.text[i] {
		case '\\':
			if escaped {
				return s.invalid()
			}
		case quote:
			if escaped {
				i++
				continue
			}
			s.offset = i + 1
			return tokenQuoted, s.text[begin:s.offset]
		}
	}
	return s.invalid()
}

// keyword returns the text of the next token, with words in upper case; "" at the end and for an invalid token.
func (s *scanner) keyword() string {
	kind, text := s.next()
	switch kind {
	case tokenWord:
		return strings.ToUpper(text)
	case tokenEnd, tokenInvalid:
		return ""
	}
	return text
}

// unquoteName strips double quotes and backquotes, which enclose identifiers.
func unquoteName(s string) string { return strings.Trim(s, "\"`") }
