package classify

import "strings"

// readKeywords may start a statement that only reads.
var readKeywords = map[string]bool{"SELECT": true, "WITH": true, "SHOW": true, "DESCRIBE": true, "DESC": true,
	"EXPLAIN": true, "VALUES": true, "TABLE": true}

// writeKeywords make a statement an update wherever they are unquoted: a WITH may lead to an INSERT, a SELECT may write
// INTO, an EXPLAIN ANALYZE may run what it explains, and a second statement may follow the first.
var writeKeywords = map[string]bool{"INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true, "INTO": true,
	"CREATE": true, "DROP": true, "ALTER": true, "TRUNCATE": true, "REPLACE": true, "UPSERT": true, "GRANT": true,
	"REVOKE": true, "CALL": true, "COPY": true, "LOAD": true, "SET": true, "BEGIN": true, "COMMIT": true,
	"ROLLBACK": true, "LOCK": true, "VACUUM": true, "ATTACH": true, "DETACH": true, "OPTIMIZE": true, "EXEC": true,
	"EXECUTE": true, "DO": true, "RENAME": true, "KILL": true, "SYSTEM": true, "USE": true}

// IsRead tells whether a statement certainly only reads. A doubtful one counts as an update: a read taken for an update
// costs a retry, an update taken for a read may run twice. Functions with side effects cannot be recognized.
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

// IsInsert tells whether a statement certainly is one INSERT and nothing else, so that a deduplication token covers all of
// its effect.
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

// InsertsClientData tells whether a statement is an INSERT whose rows follow from the client: it ends with VALUES or
// FORMAT and a name, or has neither VALUES nor SELECT.
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

// StripComments is a statement without its comments and with single spaces; an invalid one is unchanged.
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

// firstTable is the name after the first FROM, INTO, UPDATE or JOIN, without quotes; "" if there is none.
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

// tableName scans a name with its qualifiers, in lower case and without quotes; "" if none follows.
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
