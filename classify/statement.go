package classify

import "strings"

// reads are the words that a statement which only reads may start with.
var reads = map[string]bool{"SELECT": true, "WITH": true, "SHOW": true, "DESCRIBE": true, "DESC": true,
	"EXPLAIN": true, "VALUES": true, "TABLE": true}

// writes are the words that make a statement an update wherever they stand unquoted: a WITH may lead to an INSERT, a
// SELECT may write INTO, an EXPLAIN ANALYZE may run what it explains, and a second statement may follow the first.
var writes = map[string]bool{"INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true, "INTO": true,
	"CREATE": true, "DROP": true, "ALTER": true, "TRUNCATE": true, "REPLACE": true, "UPSERT": true, "GRANT": true,
	"REVOKE": true, "CALL": true, "COPY": true, "LOAD": true, "SET": true, "BEGIN": true, "COMMIT": true,
	"ROLLBACK": true, "LOCK": true, "VACUUM": true, "ATTACH": true, "DETACH": true, "OPTIMIZE": true, "EXEC": true,
	"EXECUTE": true, "DO": true, "RENAME": true, "KILL": true, "SYSTEM": true, "USE": true}

// IsRead tells that a statement surely only reads. Whatever is in doubt counts as an update: a read taken for an
// update costs a repeat, an update taken for a read may run twice. Functions with side effects cannot be known.
func IsRead(statement string) bool {
	s := scanner{text: statement}
	first := true
	for {
		kind, word := s.next()
		switch kind {
		case tokenEnd:
			return !first
		case tokenBroken:
			return false
		case tokenWord:
			word = strings.ToUpper(word)
			if first && !reads[word] {
				return false
			}
			// REPLACE( is a function of strings in most dialects; SET after a dot or a parenthesis never starts one.
			if !first && writes[word] && !(word == "REPLACE" && s.peek() == '(') {
				return false
			}
			first = false
		case tokenOther:
			if first && word != "(" && word != ";" {
				return false
			}
		}
	}
}

type tokenKind int

const (
	tokenEnd    tokenKind = iota
	tokenBroken           // a quote or comment that does not end
	tokenWord
	tokenQuoted
	tokenOther
)

// scanner splits a statement into words, quoted parts and single characters, and passes over comments.
type scanner struct {
	text string
	at   int
	hint string // the content of the first block comment
}

// peek is the next character that is no space; 0 at the end.
func (s *scanner) peek() byte {
	for i := s.at; i < len(s.text); i++ {
		if c := s.text[i]; c != ' ' && c != '\t' && c != '\n' && c != '\r' {
			return c
		}
	}
	return 0
}

func isWord(c byte) bool {
	return c == '_' || c == '$' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func (s *scanner) next() (tokenKind, string) {
	for s.at < len(s.text) {
		rest := s.text[s.at:]
		switch c := rest[0]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			s.at++
		case strings.HasPrefix(rest, "--") || c == '#':
			end := strings.IndexByte(rest, '\n')
			if end < 0 {
				s.at = len(s.text)
			} else {
				s.at += end + 1
			}
		case strings.HasPrefix(rest, "/*"):
			end := strings.Index(rest[2:], "*/")
			if end < 0 {
				s.at = len(s.text)
				return tokenBroken, ""
			}
			body := rest[2 : 2+end]
			// Some servers run what stands in /*! ... */; it is not taken for a comment.
			if strings.HasPrefix(body, "!") || strings.Contains(body, "/*") {
				s.at = len(s.text)
				return tokenBroken, ""
			}
			if s.hint == "" {
				s.hint = body
			}
			s.at += end + 4
		case c == '\'' || c == '"' || c == '`':
			return s.quoted(c)
		case isWord(c):
			n := 1
			for n < len(rest) && isWord(rest[n]) {
				n++
			}
			s.at += n
			return tokenWord, rest[:n]
		default:
			s.at++
			return tokenOther, rest[:1]
		}
	}
	return tokenEnd, ""
}

// quoted reads a quoted part; a doubled quote stands for itself. A backslash makes the part's end doubtful, for
// dialects read it in two ways: such a statement is broken, and so an update.
func (s *scanner) quoted(quote byte) (tokenKind, string) {
	begin := s.at
	for i := s.at + 1; i < len(s.text); i++ {
		switch s.text[i] {
		case '\\':
			if i+1 < len(s.text) && s.text[i+1] == quote {
				s.at = len(s.text)
				return tokenBroken, ""
			}
		case quote:
			if i+1 < len(s.text) && s.text[i+1] == quote {
				i++
				continue
			}
			s.at = i + 1
			return tokenQuoted, s.text[begin:s.at]
		}
	}
	s.at = len(s.text)
	return tokenBroken, ""
}

// Hint reads the hint comment of a statement: the first block comment, with words of the form name=value. Words that
// are not known are left for others.
func Hint(statement string) map[string]string {
	if !strings.Contains(statement, "/*") {
		return nil
	}
	s := scanner{text: statement}
	for s.hint == "" {
		if kind, _ := s.next(); kind == tokenEnd || kind == tokenBroken {
			break
		}
	}
	var out map[string]string
	for _, part := range strings.Fields(s.hint) {
		name, value, ok := strings.Cut(part, "=")
		for _, known := range hintWords {
			if ok && name == known {
				if out == nil {
					out = map[string]string{}
				}
				out[name] = value
			}
		}
	}
	return out
}

// firstTable is the name after the first FROM, INTO, UPDATE or JOIN, without quotes; "" if there is none.
func firstTable(statement string) string {
	s := scanner{text: statement}
	for {
		kind, word := s.next()
		if kind == tokenEnd || kind == tokenBroken {
			return ""
		}
		if kind != tokenWord {
			continue
		}
		switch strings.ToUpper(word) {
		case "FROM", "INTO", "UPDATE", "JOIN":
			name := ""
			for {
				kind, part := s.next()
				if kind != tokenWord && kind != tokenQuoted && !(kind == tokenOther && part == "." && name != "") {
					break
				}
				name += strings.Trim(strings.ToLower(part), "\"`")
				if s.peek() != '.' && part != "." {
					break
				}
			}
			if name != "" {
				return name
			}
		}
	}
}

// IsInsert tells a statement that is surely one INSERT and nothing else, so that a token covers all that it does.
func IsInsert(statement string) bool {
	s := scanner{text: statement}
	for first, ended := true, false; ; {
		kind, word := s.next()
		switch {
		case kind == tokenEnd:
			return !first
		case kind == tokenBroken, ended, first && (kind != tokenWord || !strings.EqualFold(word, "INSERT")):
			return false
		case kind == tokenOther && word == ";":
			ended = true
		}
		first = false
	}
}

// Bare is a statement without its comments and with single spaces; one that cannot be read is left as it is.
func Bare(statement string) string {
	s := scanner{text: statement}
	var b strings.Builder
	for {
		kind, word := s.next()
		switch kind {
		case tokenEnd:
			return b.String()
		case tokenBroken:
			return statement
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(word)
	}
}

// InsertsClientData tells an INSERT whose rows are to come from the client, behind the statement: it ends with VALUES or
// FORMAT and a name, or holds neither VALUES nor SELECT.
func InsertsClientData(statement string) bool {
	s := scanner{text: statement}
	first, holds, last := "", false, ""
	for {
		kind, word := s.next()
		if kind == tokenEnd || kind == tokenBroken {
			break
		}
		if last = word; kind == tokenWord {
			last = strings.ToUpper(word)
			if first == "" {
				first = last
			}
			holds = holds || last == "VALUES" || last == "SELECT" || last == "WITH"
		}
	}
	return first == "INSERT" && (!holds || last == "VALUES")
}
