package native

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// Profile is what a node tells of a query's cost in ProfileEvents, as increments and peaks.
type Profile struct {
	WorkMicros int64 // processor time of all threads
	Peak       int64 // most memory in bytes; 0: not told
}

// The events that are read (ProfileEvents.cpp and MemoryTracker of ClickHouse).
const (
	eventWork = "OSCPUVirtualTimeMicroseconds"
	eventPeak = "MemoryTrackerPeakUsage"
)

// ReadProfile reads the block of a ProfileEvents packet.
func (r *Reader) ReadProfile(block []byte, revision int) (p Profile, err error) {
	if r.sideReader == nil {
		r.sideReader = NewReader(nil, 1<<20)
	}
	in := r.sideReader
	in.r.Reset(bytes.NewReader(block))
	in.begin("ProfileEvents")
	var names, values, kinds []byte
	rows := 0
	err = in.walk(revision, func(n int) { rows = n }, func(name string, c column, raw []byte) error {
		switch {
		case name == "name" && c.kind == text:
			names = bytes.Clone(raw)
		case name == "value" && c.kind == fixed && c.width == 8:
			values = bytes.Clone(raw)
		case name == "type" && c.kind == fixed && c.width == 1:
			kinds = bytes.Clone(raw)
		}
		return nil
	})
	if err != nil {
		return p, err
	}
	if names == nil || len(values) != 8*rows || len(kinds) != rows {
		return p, in.formatError("columns", fmt.Sprintf("%d bytes of names, %d values, %d types", len(names), len(values)/8, len(kinds)),
			fmt.Sprintf("%d of each: name String, value Int64, type Enum8", rows))
	}
	for i := range rows {
		n, k := binary.Uvarint(names)
		name := names[k : k+int(n)]
		names = names[k+int(n):]
		v := int64(binary.LittleEndian.Uint64(values[8*i:]))
		switch {
		case string(name) == eventWork && kinds[i] == 1 && v > 0: // an increment
			p.WorkMicros += v
		case string(name) == eventPeak:
			p.Peak = max(p.Peak, v)
		}
	}
	return p, nil
}
