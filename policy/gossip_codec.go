package policy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// maxGossipBytes is the wire's limit of a message to a peer, in bytes. A message is the number of rates
// (tenants and the total), the rates, then rows, freshest first.
const (
	maxGossipBytes = 256
	ageScale       = 32  // steps of an age of one second
	shareScale     = 100 // steps of a share of one
	inflationScale = 40  // steps of a log stretch of one
	rateScale      = 256 // steps of a rate of one a second
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
	wireID                        uint32
	age                           Micros
	utilization, inFlight, memory float64 // report; negative: none
	inflation                     float64 // log stretch of the last answer
	fault                         bool    // that one was a fault
	threads, grantedShare         float64 // the sender's own; grants as a share of memory
	lockedGroup                   byte    // low bits of a group that a load holds; 0: none
}

// wireID is the two-byte name of an endpoint in gossip.
func wireID(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32() >> 16 // two bytes
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
		put(hasInflation, r.inflation != 0 && !r.fault, toByte(r.inflation+3, inflationScale))
		put(hasOwnAttempts, r.threads > 0, toByte(r.threads, 4), toByte(r.grantedShare, 255))
		put(hasLockedGroup, r.lockedGroup > 0, r.lockedGroup)
		put(isFault, r.fault)
		if len(data)+4+len(rest) > maxGossipBytes {
			break
		}
		data = append(append(data, byte(r.wireID>>8), byte(r.wireID), flags, toByte(float64(r.age)/1e6, ageScale)), rest...)
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
		if len(data) < 4 {
			return nil, nil, false
		}
		r := gossipRow{wireID: uint32(data[0])<<8 | uint32(data[1]), utilization: -1, inFlight: -1, memory: -1,
			age: Micros(data[3]) * 1e6 / ageScale, fault: data[2]&isFault != 0}
		flags := data[2]
		data = data[4:]
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
		get(hasInflation, inflationScale, -3, &r.inflation)
		get(hasOwnAttempts, 4, 0, &r.threads)
		get(hasOwnAttempts, 255, 0, &r.grantedShare)
		get(hasLockedGroup, 1, 0, &group)
		if cut {
			return nil, nil, false
		}
		r.lockedGroup = byte(group)
		rows = append(rows, r)
	}
	return rates, rows, true
}
