package policy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// The wire format of gossip. A message holds the number of rates (one byte), the rates (two bytes each, for
// each tenant and in total) and the rows that fit, freshest first. A row is a header (wire ID, flags, age)
// and the fields that its flags announce, a byte each. The format must not change: gateways of other
// versions read it.
const (
	maxGossipBytes = 256 // the transport's limit on a message to a peer
	rowHeaderBytes = 4   // wire ID (two bytes), flags, age

	rateScale       = 256 // steps per request per second
	ageScale        = 32  // steps per second
	shareScale      = 100 // steps in a share of 1
	inflationScale  = 40  // steps per unit of log inflation
	inflationOffset = 3   // added to a log inflation on the wire, which holds no negative values
	threadScale     = 4   // steps per thread
	grantScale      = 255 // steps in an endpoint's whole memory
)

// The flags of a row. Each announces one field, except that hasOwnAttempts announces two, threads and granted
// share, and isFault none.
const (
	hasUtilization = 1 << iota
	hasInFlight
	hasMemory
	hasInflation
	hasOwnAttempts
	hasLockedGroup
	isFault
)

// gossipRow is the row of one endpoint in a message: the freshest report that the sender knows, the sender's
// own attempts there, and one table group that a load locks.
type gossipRow struct {
	wireID       uint32
	age          Micros  // of the last report or the last response, whichever is newer
	utilization  float64 // negative: not reported, as with the next two
	inFlight     float64 // queries
	memory       float64 // share of the memory granted
	inflation    float64 // log latency inflation of the last answer
	fault        bool    // the last result was a fault
	threads      float64 // of the sender's own attempts
	grantedShare float64 // share of the memory granted to them
	lockedGroup  byte    // code of a table group that a load locks; 0: none
}

// wireID returns the name of an endpoint in gossip, a two-byte hash of its ID.
func wireID(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32() >> 16
}

// toByte returns x in steps of 1/scale, rounded and clamped to a byte.
func toByte(x, scale float64) byte { return byte(max(0, min(255, math.Round(x*scale)))) }

// encodeGossip returns a message with the rates and the leading rows that fit.
func encodeGossip(rates []float64, rows []gossipRow) []byte {
	data := []byte{byte(len(rates))}
	for _, r := range rates {
		data = binary.BigEndian.AppendUint16(data, uint16(min(max(r, 0)*rateScale, math.MaxUint16)))
	}
	for _, r := range rows {
		var flags byte
		var fields []byte
		put := func(flag byte, present bool, bytes ...byte) {
			if present {
				flags, fields = flags|flag, append(fields, bytes...)
			}
		}
		put(hasUtilization, r.utilization >= 0, toByte(r.utilization, shareScale))
		put(hasInFlight, r.inFlight >= 0, toByte(r.inFlight, 1))
		put(hasMemory, r.memory >= 0, toByte(r.memory, shareScale))
		put(hasInflation, r.inflation != 0 && !r.fault, toByte(r.inflation+inflationOffset, inflationScale))
		put(hasOwnAttempts, r.threads > 0, toByte(r.threads, threadScale), toByte(r.grantedShare, grantScale))
		put(hasLockedGroup, r.lockedGroup > 0, r.lockedGroup)
		put(isFault, r.fault)
		if len(data)+rowHeaderBytes+len(fields) > maxGossipBytes {
			break
		}
		data = append(data, byte(r.wireID>>8), byte(r.wireID), flags, toByte(seconds(r.age), ageScale))
		data = append(data, fields...)
	}
	return data
}

// decodeGossip parses a message that has to have n rates; ok is false if it does not parse.
func decodeGossip(data []byte, n int) (rates []float64, rows []gossipRow, ok bool) {
	if len(data) < 1+2*n || int(data[0]) != n {
		return nil, nil, false
	}
	for data = data[1:]; len(rates) < n; data = data[2:] {
		rates = append(rates, float64(binary.BigEndian.Uint16(data))/rateScale)
	}
	for len(data) > 0 {
		r, rest, ok := decodeRow(data)
		if !ok {
			return nil, nil, false
		}
		rows, data = append(rows, r), rest
	}
	return rates, rows, true
}

// decodeRow parses the first row of data and returns the bytes after it; ok is false if the row is cut short.
func decodeRow(data []byte) (r gossipRow, rest []byte, ok bool) {
	if len(data) < rowHeaderBytes {
		return gossipRow{}, nil, false
	}
	flags := data[2]
	r = gossipRow{wireID: uint32(data[0])<<8 | uint32(data[1]), utilization: -1, inFlight: -1, memory: -1,
		age: Micros(data[3]) * microsPerSecond / ageScale, fault: flags&isFault != 0}
	data = data[rowHeaderBytes:]
	truncated := false
	get := func(flag byte, scale, offset float64, to *float64) {
		if flags&flag == 0 {
			return
		}
		if truncated = truncated || len(data) == 0; !truncated {
			*to, data = float64(data[0])/scale+offset, data[1:]
		}
	}
	var group float64
	get(hasUtilization, shareScale, 0, &r.utilization)
	get(hasInFlight, 1, 0, &r.inFlight)
	get(hasMemory, shareScale, 0, &r.memory)
	get(hasInflation, inflationScale, -inflationOffset, &r.inflation)
	get(hasOwnAttempts, threadScale, 0, &r.threads)
	get(hasOwnAttempts, grantScale, 0, &r.grantedShare)
	get(hasLockedGroup, 1, 0, &group)
	r.lockedGroup = byte(group)
	return r, data, !truncated
}
