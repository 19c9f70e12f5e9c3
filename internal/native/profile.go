package native

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// Profile is the cost of a query as one ProfileEvents packet reports it.
type Profile struct {
	CPUMicros       int64 // processor time of all threads since the previous packet
	PeakMemoryBytes int64 // peak memory in bytes; 0: not reported
}

// Names of the events that ReadProfile evaluates, as in ProfileEvents.cpp and MemoryTracker of ClickHouse.
const (
	eventCPUTime    = "OSCPUVirtualTimeMicroseconds"
	eventPeakMemory = "MemoryTrackerPeakUsage"
)

// eventIncrement is the type of an event whose value is the increase since the previous packet.
const eventIncrement = 1

// maxProfileBytes is the limit of the block of a ProfileEvents packet.
const maxProfileBytes = 1 << 20

// ReadProfile returns the sum of the processor times and the highest memory peak in the block of a ProfileEvents packet.
func (r *Reader) ReadProfile(block []byte, revision int) (p Profile, err error) {
	if r.profileReader == nil {
		r.profileReader = NewReader(nil, maxProfileBytes)
	}
	in := r.profileReader
	in.r.Reset(bytes.NewReader(block))
	in.begin("ProfileEvents")
	var names, values, kinds []byte
	rows := 0
	err = in.walkBlock(revision, func(n int) { rows = n }, func(name string, c columnType, raw []byte) error {
		switch {
		case name == "name" && c.kind == lengthPrefixed:
			names = bytes.Clone(raw)
		case name == "value" && c.kind == fixedWidth && c.width == 8:
			values = bytes.Clone(raw)
		case name == "type" && c.kind == fixedWidth && c.width == 1:
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
		case string(name) == eventCPUTime && kinds[i] == eventIncrement && v > 0:
			p.CPUMicros += v
		case string(name) == eventPeakMemory:
			p.PeakMemoryBytes = max(p.PeakMemoryBytes, v)
		}
	}
	return p, nil
}
