// Package configv1 has the messages of streamed settings; config.pb.go is generated.
package configv1

//go:generate protoc --go_out=. --go_opt=paths=source_relative config.proto
