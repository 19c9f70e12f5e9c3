// Package tracev1 has the records of a trace; trace.pb.go is generated.
package tracev1

//go:generate protoc --go_out=. --go_opt=paths=source_relative trace.proto
