package postgres

import (
	"strconv"
	"strings"
)

// stagingSchema is the schema that loads read from; its tables have no group.
const stagingSchema = "staging"

// tableKeywords are the keywords after which the name of a table follows.
var tableKeywords = map[string]bool{"from": true, "join": true, "into": true, "update": true, "table": true, "using": true}

// clauseKeywords are the keywords that end a list of tables. Within such a list a table follows each comma.
var clauseKeywords = map[string]bool{"select": true, "where": true, "group": true, "order": true, "having": true, "on": true, "set": true,
	"limit": true, "union": true, "values": true, "returning": true}

// tableGroup returns the group of the tables that a statement reads or writes: the number after the last underscore in the name of their
// schema, or 0 if no schema has such a number. A name in the position of a table takes precedence over other qualified names, whose first
// part may be an alias.
func tableGroup(statement string) int64 {
	var f groupFinder
	tokens(statement, func(t token) bool {
		f.next(t)
		return f.tableGroup == 0
	})
	if f.tableGroup > 0 {
		return f.tableGroup
	}
	return f.otherGroup
}

// groupFinder finds the groups of qualified names (schema.name) in a sequence of tokens.
type groupFinder struct {
	previous  token
	position  namePosition
	qualifier token // the first part of a name that may be qualified
	isTable   bool  // the qualifier is in the position of a table
	inList    bool  // within a list of tables

	tableGroup int64 // group of the first qualified table; 0: none yet
	otherGroup int64 // group of the first other qualified name, or of a further table; 0: none yet
}

// namePosition is the position of the next token relative to a qualified name.
type namePosition uint8

const (
	outsideName    namePosition = iota
	afterQualifier              // a dot makes the name a qualified one
	afterDot                    // an identifier completes the qualified name
)

// next processes the next token of the statement.
func (f *groupFinder) next(t token) {
	switch {
	case f.position == afterDot && t.name:
		f.recordGroup(schemaNumber(f.qualifier.text))
		f.position = outsideName
	case f.position == afterQualifier && t.isPunctuation("."):
		f.position = afterDot
	case t.name:
		f.startName(t)
	default:
		f.position = outsideName
		if clauseKeywords[f.previous.keyword()] {
			f.inList = false
		}
	}
	f.previous = t
}

// startName processes an identifier or keyword that may be the first part of a qualified name.
func (f *groupFinder) startName(t token) {
	if keyword := f.previous.keyword(); keyword != "" {
		f.isTable = tableKeywords[keyword]
		f.inList = f.isTable || f.inList && !clauseKeywords[keyword]
	} else {
		f.isTable = f.inList && f.previous.text == ","
	}
	f.qualifier, f.position = t, afterQualifier
}

// recordGroup records the group of a qualified name; a group of 0 is ignored.
func (f *groupFinder) recordGroup(group int64) {
	if group == 0 {
		return
	}
	if f.isTable && f.tableGroup == 0 {
		f.tableGroup = group
	} else if f.otherGroup == 0 {
		f.otherGroup = group
	}
}

// schemaNumber returns the number after the last underscore of a schema's name. It returns 0 if there is none, if the number needs more
// than 53 bits with its sign, and for stagingSchema.
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
