package native

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// Profile is what a node tells of a query's cost in ProfileEvents, as increments and peaks.
type Profile struct {
	WorkUs int64 // processor time of all threads
	Peak   int64 // most memory in bytes; 0: not told
}

// The events that are read (ProfileEvents.cpp and MemoryTracker of ClickHouse).
const (
	eventWork = "OSCPUVirtualTimeMicroseconds"
	eventPeak = "MemoryTrackerPeakUsage"
)

// ReadProfile reads the block of a ProfileEvents packet.
func ReadProfile(block []byte, revision int) (p Profile, err error) {
	r := NewReader(bytes.NewReader(block), len(block)+1)
	r.packet = "ProfileEvents"
	var names []string
	var values, kinds []byte
	rows := 0
	err = r.walk(revision, func(n int) { rows = n }, func(name string, c column, raw []byte) error {
		switch {
		case name == "name" && c.kind == text:
			for len(raw) > 0 {
				n, k := binary.Uvarint(raw)
				names = append(names, string(raw[k:k+int(n)]))
				raw = raw[k+int(n):]
			}
		case name == "value" && c.kind == fixed && c.width == 8:
			values = raw
		case name == "type" && c.kind == fixed && c.width == 1:
			kinds = raw
		}
		return nil
	})
	if err != nil {
		return p, err
	}
	if len(names) != rows || len(values) != 8*rows || len(kinds) != rows {
		return p, r.wrong("columns", fmt.Sprintf("%d names, %d values, %d types", len(names), len(values)/8, len(kinds)),
			fmt.Sprintf("%d of each: name String, value Int64, type Enum8", rows))
	}
	for i, name := range names {
		v := int64(binary.LittleEndian.Uint64(values[8*i:]))
		switch {
		case name == eventWork && kinds[i] == 1 && v > 0: // an increment
			p.WorkUs += v
		case name == eventPeak:
			p.Peak = max(p.Peak, v)
		}
	}
	return p, nil
}
