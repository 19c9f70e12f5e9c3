package config

import (
	"fmt"
	"strings"
)

// Violation is one thing wrong with a file.
type Violation struct {
	Line, Column int // from 1; 0 where the whole file is meant
	Field        string
	Found        string
	Allowed      string
}

// String reads as "LINE:COLUMN: FIELD: found X, allowed: Y".
func (m Violation) String() string {
	where := ""
	if m.Line > 0 {
		where = fmt.Sprintf("%d:%d: ", m.Line, m.Column)
	}
	if m.Field != "" {
		where += m.Field + ": "
	}
	if m.Found != "" {
		where += "found " + m.Found + ", "
	}
	return where + "allowed: " + m.Allowed
}

// Violations is the error of a file with at least one.
type Violations struct {
	File string
	All  []Violation
}

// Error has one line for each violation, led by the name of the file.
func (m *Violations) Error() string {
	lines := make([]string, len(m.All))
	for i, one := range m.All {
		lines[i] = m.File + ":" + one.String()
	}
	return strings.Join(lines, "\n")
}
