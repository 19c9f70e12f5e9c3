package config

import (
	"fmt"
	"strings"
)

// Violation describes one invalid value or syntax error in a file.
type Violation struct {
	Line, Column int    // from 1; 0 for the file as a whole
	Field        string // path, such as classes[0].aim; empty for the file as a whole
	Found        string
	Allowed      string
}

// String returns "LINE:COLUMN: FIELD: found X, allowed: Y".
func (v Violation) String() string {
	where := ""
	if v.Line > 0 {
		where = fmt.Sprintf("%d:%d: ", v.Line, v.Column)
	}
	if v.Field != "" {
		where += v.Field + ": "
	}
	if v.Found != "" {
		where += "found " + v.Found + ", "
	}
	return where + "allowed: " + v.Allowed
}

// Violations is the error of a file that has at least one Violation.
type Violations struct {
	File string
	All  []Violation
}

// Error returns one line per violation, each prefixed with the name of the file.
func (v *Violations) Error() string {
	lines := make([]string, len(v.All))
	for i, violation := range v.All {
		lines[i] = v.File + ":" + violation.String()
	}
	return strings.Join(lines, "\n")
}
