package classify

import "strings"

// readKeywords are the first keywords of statements that may be reads.
var readKeywords = map[string]bool{"SELECT": true, "WITH": true, "SHOW": true, "DESCRIBE": true, "DESC": true,
	"EXPLAIN": true, "VALUES": true, "TABLE": true}

// writeKeywords make a statement an update wherever they occur unquoted: an INSERT may follow a WITH, a SELECT may write
// INTO a table, an EXPLAIN ANALYZE may execute the statement that it explains, and a second statement may follow the first.
var writeKeywords = map[string]bool{"INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true, "INTO": true,
	"CREATE": true, "DROP": true, "ALTER": true, "TRUNCATE": true, "REPLACE": true, "UPSERT": true, "GRANT": true,
	"REVOKE": true, "CALL": true, "COPY": true, "LOAD": true, "SET": true, "BEGIN": true, "COMMIT": true,
	"ROLLBACK": true, "LOCK": true, "VACUUM": true, "ATTACH": true, "DETACH": true, "OPTIMIZE": true, "EXEC": true,
	"EXECUTE": true, "DO": true, "RENAME": true, "KILL": true, "SYSTEM": true, "USE": true}

// IsRead reports whether a statement certainly only reads. In doubt it counts as an update: a read taken for an update
// loses a retry at worst, while an update taken for a read may run twice. Functions with side effects are not recognized.
func IsRead(statement string) bool {
	s := scanner{text: statement}
	first := true
	for {
		kind, text := s.next()
		switch kind {
		case tokenEnd:
			return !first
		case tokenInvalid:
			return false
		case tokenWord:
			keyword := strings.ToUpper(text)
			if first && !readKeywords[keyword] {
				return false
			}
			replaceFunction := keyword == "REPLACE" && s.peek() == '(' // a string function in most dialects
			if !first && writeKeywords[keyword] && !replaceFunction {
				return false
			}
			first = false
		case tokenOther:
			if first && text != "(" && text != ";" {
				return false
			}
		}
	}
}

// IsInsert reports whether a statement certainly is a single INSERT, so that a deduplication token covers its whole effect.
func IsInsert(statement string) bool {
	s := scanner{text: statement}
	for first, ended := true, false; ; {
		kind, text := s.next()
		switch {
		case kind == tokenEnd:
			return !first
		case kind == tokenInvalid, ended, first && (kind != tokenWord || !strings.EqualFold(text, "INSERT")):
			return false
		case kind == tokenOther && text == ";":
			ended = true
		}
		first = false
	}
}

// InsertsClientData reports whether a statement is an INSERT whose rows the client sends after it. Such a statement either
// ends with VALUES or has none of VALUES, SELECT and WITH; the latter covers INSERT INTO t FORMAT name.
func InsertsClientData(statement string) bool {
	s := scanner{text: statement}
	first, hasSource, last := "", false, ""
	for {
		kind, text := s.next()
		if kind == tokenEnd || kind == tokenInvalid {
			break
		}
		if last = text; kind == tokenWord {
			last = strings.ToUpper(text)
			if first == "" {
				first = last
			}
			hasSource = hasSource || last == "VALUES" || last == "SELECT" || last == "WITH"
		}
	}
	return first == "INSERT" && (!hasSource || last == "VALUES")
}

// StripComments returns a statement without its comments and with one space between tokens. An invalid statement is returned
// unchanged.
func StripComments(statement string) string {
	s := scanner{text: statement}
	var b strings.Builder
	for {
		kind, text := s.next()
		switch kind {
		case tokenEnd:
			return b.String()
		case tokenInvalid:
			return statement
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(text)
	}
}

// firstTable returns the first table name that follows FROM, INTO, UPDATE or JOIN, in lower case and without quotes; "" if
// there is none.
func firstTable(statement string) string {
	s := scanner{text: statement}
	for {
		kind, text := s.next()
		if kind == tokenEnd || kind == tokenInvalid {
			return ""
		}
		if kind != tokenWord {
			continue
		}
		switch strings.ToUpper(text) {
		case "FROM", "INTO", "UPDATE", "JOIN":
			if name := s.tableName(); name != "" {
				return name
			}
		}
	}
}

// tableName scans a name with its qualifiers. It returns the name in lower case and without quotes, "" if no name follows.
func (s *scanner) tableName() string {
	name := ""
	for {
		kind, text := s.next()
		isDot := kind == tokenOther && text == "." && name != ""
		if kind != tokenWord && kind != tokenQuoted && !isDot {
			return name
		}
		name += unquoteName(strings.ToLower(text))
		if s.peek() != '.' && text != "." {
			return name
		}
	}
}
