package postgres

import (
	"strconv"
	"strings"
)

// stagingSchema is the schema that loads read from; its tables are in no group.
const stagingSchema = "staging"

// tableKeywords are the keywords that a table's name follows.
var tableKeywords = map[string]bool{"from": true, "join": true, "into": true, "update": true, "table": true, "using": true}

// clauseKeywords end a list of tables, in which each comma is followed by a table.
var clauseKeywords = map[string]bool{"select": true, "where": true, "group": true, "order": true, "having": true, "on": true, "set": true,
	"limit": true, "union": true, "values": true, "returning": true}

// tableGroup is the group of the tables that a statement reads or writes: the number after the last underscore of their schema's name; 0
// where none has one. A schema where a table must stand takes precedence over any other qualified name, which may be an alias.
func tableGroup(statement string) int64 {
	var f groupFinder
	tokens(statement, func(t token) bool {
		f.next(t)
		return f.ofTable == 0
	})
	if f.ofTable > 0 {
		return f.ofTable
	}
	return f.ofAnyName
}

// groupFinder looks for qualified names (schema.name) in a sequence of tokens.
type groupFinder struct {
	previous  token
	position  namePosition
	qualifier token // the first part of a name that may be a qualified one
	isTable   bool  // a table must stand where the qualifier stands
	inList    bool  // within a list of tables

	ofTable   int64 // group of the first qualified table; 0: none yet
	ofAnyName int64 // group of the first other qualified name; 0: none yet
}

// namePosition is where a token stands in a qualified name.
type namePosition uint8

const (
	outsideName    namePosition = iota
	afterQualifier              // a dot may follow
	afterDot                    // the second part must follow
)

// next takes the next token.
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

// startName takes a name that may be the first part of a qualified one.
func (f *groupFinder) startName(t token) {
	if keyword := f.previous.keyword(); keyword != "" {
		f.isTable = tableKeywords[keyword]
		f.inList = f.isTable || f.inList && !clauseKeywords[keyword]
	} else {
		f.isTable = f.inList && f.previous.text == ","
	}
	f.qualifier, f.position = t, afterQualifier
}

// recordGroup records the group of a qualified name; 0 is none.
func (f *groupFinder) recordGroup(group int64) {
	if group == 0 {
		return
	}
	if f.isTable && f.ofTable == 0 {
		f.ofTable = group
	} else if f.ofAnyName == 0 {
		f.ofAnyName = group
	}
}

// schemaNumber is the number after the last underscore of a schema's name; 0 where there is none.
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
