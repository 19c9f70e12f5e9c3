package classify

import "strings"

type tokenKind int

const (
	tokenEnd     tokenKind = iota
	tokenInvalid           // a quote or comment that does not end, or whose end is in doubt
	tokenWord
	tokenQuoted
	tokenOther // a single character
)

// scanner splits a statement into words, quoted strings and single characters, and skips comments.
type scanner struct {
	text   string
	offset int
	hint   string // the content of the first block comment
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

func isWordByte(c byte) bool {
	return c == '_' || c == '$' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// peek is the next character that is no space; 0 at the end.
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

// invalid ends the scan.
func (s *scanner) invalid() (tokenKind, string) {
	s.offset = len(s.text)
	return tokenInvalid, ""
}

func (s *scanner) word(rest string) string {
	n := 1
	for n < len(rest) && isWordByte(rest[n]) {
		n++
	}
	s.offset += n
	return rest[:n]
}

func (s *scanner) skipLine(rest string) {
	end := strings.IndexByte(rest, '\n')
	if end < 0 {
		s.offset = len(s.text)
	} else {
		s.offset += end + 1
	}
}

// skipBlockComment skips a block comment, and keeps the first one as the hint. It is false for one that does not end, for
// a nested one, whose end depends on the dialect, and for /*! ... */, whose content some servers run.
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

// quoted scans a quoted string; a doubled quote stands for itself. A backslash before a quote makes the end doubtful, for
// dialects differ: the token is invalid, and the statement counts as an update.
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

// keyword is the next token as text, a word in upper case; "" at the end.
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

// unquoteName strips the quotes of identifiers.
func unquoteName(s string) string { return strings.Trim(s, "\"`") }
