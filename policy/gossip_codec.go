package policy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// The wire form of gossip. A message is the number of rates (tenants and the total), the rates, then rows,
// freshest first, as far as they fit. A row is a header (wire ID, flags, age), then the fields that its
// flags name, a byte each. Gateways of other versions read it: it does not change.
const (
	maxGossipBytes = 256 // limit of the wire for a message to a peer
	rowHeaderBytes = 4

	rateScale       = 256 // steps of one request a second
	ageScale        = 32  // steps of a second
	shareScale      = 100 // steps of a share of one
	inflationScale  = 40  // steps of a log inflation of one
	inflationOffset = 3   // added to it on the wire
	threadScale     = 4   // steps of one thread
	grantScale      = 255 // steps of an endpoint's whole memory
)

// The flags of a row: which fields follow its wire ID, flags and age.
const (
	hasUtilization = 1 << iota
	hasInFlight
	hasMemory
	hasInflation
	hasOwnAttempts
	hasLockedGroup
	isFault
)

// gossipRow is one endpoint's entry in a message: the freshest report that the sender knows, its own
// attempts there, and one table group that a load locks.
type gossipRow struct {
	wireID       uint32
	age          Micros  // of the report and the last response, whichever is newer
	utilization  float64 // reported; negative: not reported, as with the next two
	inFlight     float64 // queries
	memory       float64 // share granted
	inflation    float64 // log latency inflation of the last answer
	fault        bool    // the last result was a fault
	threads      float64 // of the sender's own attempts
	grantedShare float64 // share of the memory granted to them
	lockedGroup  byte    // code of a table group that a load locks; 0: none
}

// wireID is the two-byte name of an endpoint in gossip.
func wireID(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32() >> 16
}

// toByte is x in steps of 1/scale, rounded and clamped to a byte.
func toByte(x, scale float64) byte { return byte(max(0, min(255, math.Round(x*scale)))) }

// encodeGossip writes a message of the rows that fit.
func encodeGossip(rates []float64, rows []gossipRow) []byte {
	data := []byte{byte(len(rates))}
	for _, r := range rates {
		data = binary.BigEndian.AppendUint16(data, uint16(min(max(r, 0)*rateScale, math.MaxUint16)))
	}
	for _, r := range rows {
		var flags byte
		var rest []byte
		put := func(flag byte, has bool, bytes ...byte) {
			if has {
				flags, rest = flags|flag, append(rest, bytes...)
			}
		}
		put(hasUtilization, r.utilization >= 0, toByte(r.utilization, shareScale))
		put(hasInFlight, r.inFlight >= 0, toByte(r.inFlight, 1))
		put(hasMemory, r.memory >= 0, toByte(r.memory, shareScale))
		put(hasInflation, r.inflation != 0 && !r.fault, toByte(r.inflation+inflationOffset, inflationScale))
		put(hasOwnAttempts, r.threads > 0, toByte(r.threads, threadScale), toByte(r.grantedShare, grantScale))
		put(hasLockedGroup, r.lockedGroup > 0, r.lockedGroup)
		put(isFault, r.fault)
		if len(data)+rowHeaderBytes+len(rest) > maxGossipBytes {
			break
		}
		data = append(data, byte(r.wireID>>8), byte(r.wireID), flags, toByte(seconds(r.age), ageScale))
		data = append(data, rest...)
	}
	return data
}

// decodeGossip reads a message of n rates; ok is false where it does not parse.
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

// decodeRow reads the first row of data; ok is false where it is cut short.
func decodeRow(data []byte) (r gossipRow, rest []byte, ok bool) {
	if len(data) < rowHeaderBytes {
		return gossipRow{}, nil, false
	}
	flags := data[2]
	r = gossipRow{wireID: uint32(data[0])<<8 | uint32(data[1]), utilization: -1, inFlight: -1, memory: -1,
		age: Micros(data[3]) * microsPerSecond / ageScale, fault: flags&isFault != 0}
	data = data[rowHeaderBytes:]
	cut := false
	get := func(flag byte, scale, zero float64, to *float64) {
		if flags&flag == 0 {
			return
		}
		if cut = cut || len(data) == 0; !cut {
			*to, data = float64(data[0])/scale+zero, data[1:]
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
	return r, data, !cut
}
