package native

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"math/big"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Values are the columns of a block as text, for people to read.
type Values struct {
	Names []string
	Cells [][]string // by column
}

// Rows is the number of rows.
func (v *Values) Rows() int {
	if len(v.Cells) == 0 {
		return 0
	}
	return len(v.Cells[0])
}

// ReadValues reads a block without compression.
func ReadValues(block []byte, revision int) (*Values, error) {
	r := NewReader(bytes.NewReader(block), len(block)+1)
	r.packet = "Data"
	v, rows := &Values{}, 0
	err := r.walk(revision, func(n int) { rows = n }, func(name string, c column, raw []byte) error {
		d := decoder{raw}
		if rows > 0 {
			d.prefix(c)
		}
		cells := []string{}
		if rows > 0 {
			cells = d.values(c, rows)
		}
		v.Names, v.Cells = append(v.Names, name), append(v.Cells, cells)
		return nil
	})
	return v, err
}

// decoder reads values whose bounds the walk has checked.
type decoder struct{ raw []byte }

func (d *decoder) take(n int) []byte {
	b := d.raw[:n]
	d.raw = d.raw[n:]
	return b
}

func (d *decoder) prefix(c column) {
	if c.kind == lowCardinality {
		d.take(8)
		return
	}
	for _, o := range c.of {
		d.prefix(o)
	}
}

func (d *decoder) values(c column, rows int) []string {
	out := make([]string, rows)
	switch c.kind {
	case fixed:
		for i := range out {
			out[i] = scalar(c.name, d.take(int(c.width)))
		}
	case text:
		for i := range out {
			n, k := binary.Uvarint(d.raw)
			d.take(k)
			out[i] = string(d.take(int(n)))
		}
	case nullable:
		marks := d.take(rows)
		out = d.values(c.of[0], rows)
		for i := range out {
			if marks[i] != 0 {
				out[i] = "NULL"
			}
		}
	case array:
		ends := d.take(8 * rows)
		if rows == 0 {
			return out
		}
		inner := d.values(c.of[0], int(binary.LittleEndian.Uint64(ends[len(ends)-8:])))
		from := 0
		for i := range out {
			to := int(binary.LittleEndian.Uint64(ends[8*i:]))
			if from > to || to > len(inner) {
				out[i], to = "?", from
			} else {
				out[i] = "[" + strings.Join(inner[from:to], ",") + "]"
			}
			from = to
		}
	case tuple:
		var parts [][]string
		for _, o := range c.of {
			parts = append(parts, d.values(o, rows))
		}
		for i := range out {
			one := make([]string, len(parts))
			for j := range parts {
				one[j] = parts[j][i]
			}
			out[i] = "(" + strings.Join(one, ",") + ")"
		}
	case lowCardinality:
		if rows == 0 {
			return out
		}
		width := 1 << (binary.LittleEndian.Uint64(d.take(8)) & 0xff)
		known := d.values(c.of[0], int(binary.LittleEndian.Uint64(d.take(8))))
		d.take(8)
		for i := range out {
			key := make([]byte, 8)
			copy(key, d.take(width))
			if k := binary.LittleEndian.Uint64(key); k < uint64(len(known)) {
				if out[i] = known[k]; k == 0 && strings.HasPrefix(c.name, "LowCardinality(Nullable") {
					out[i] = "NULL"
				}
			}
		}
	}
	return out
}

// scalar is one value of a fixed width.
func scalar(name string, b []byte) string {
	base, args, _ := splitType(name)
	whole := func() *big.Int { // little endian, two's complement where the type has a sign
		be := slices.Clone(b)
		slices.Reverse(be)
		v := new(big.Int).SetBytes(be)
		if !strings.HasPrefix(base, "UInt") && len(be) > 0 && be[0] >= 0x80 {
			v.Sub(v, new(big.Int).Lsh(big.NewInt(1), uint(8*len(be))))
		}
		return v
	}
	switch base {
	case "Bool":
		return strconv.FormatBool(b[0] != 0)
	case "Float32":
		return strconv.FormatFloat(float64(math.Float32frombits(binary.LittleEndian.Uint32(b))), 'g', -1, 32)
	case "Float64":
		return strconv.FormatFloat(math.Float64frombits(binary.LittleEndian.Uint64(b)), 'g', -1, 64)
	case "FixedString":
		return strings.TrimRight(string(b), "\x00")
	case "Date":
		return time.Unix(86400*int64(binary.LittleEndian.Uint16(b)), 0).UTC().Format(time.DateOnly)
	case "Date32":
		return time.Unix(86400*int64(int32(binary.LittleEndian.Uint32(b))), 0).UTC().Format(time.DateOnly)
	case "DateTime":
		return time.Unix(int64(binary.LittleEndian.Uint32(b)), 0).UTC().Format(time.DateTime)
	case "DateTime64":
		digits := 3
		if len(args) > 0 {
			digits, _ = strconv.Atoi(args[0])
		}
		ticks, second := whole().Int64(), int64(math.Pow10(digits))
		return time.Unix(ticks/second, ticks%second*(1e9/max(second, 1))).UTC().Format("2006-01-02 15:04:05.999999999")
	case "UUID": // two halves, each little endian
		half := func(h []byte) []byte { h = slices.Clone(h); slices.Reverse(h); return h }
		u := append(half(b[:8]), half(b[8:])...)
		return fmt.Sprintf("%x-%x-%x-%x-%x", u[:4], u[4:6], u[6:8], u[8:10], u[10:])
	case "IPv4":
		return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}).String()
	case "IPv6":
		return netip.AddrFrom16([16]byte(b)).String()
	case "Enum8", "Enum16":
		v := whole().String()
		for _, a := range args {
			if label, number, ok := strings.Cut(a, "="); ok && strings.TrimSpace(number) == v {
				return strings.Trim(strings.TrimSpace(label), "'")
			}
		}
		return v
	case "Decimal", "Decimal32", "Decimal64", "Decimal128", "Decimal256":
		scale := 0
		if len(args) > 0 {
			scale, _ = strconv.Atoi(args[len(args)-1])
		}
		return decimal(whole(), scale)
	case "Nothing":
		return ""
	}
	return whole().String()
}

// decimal writes a number with so many digits behind its point.
func decimal(v *big.Int, scale int) string {
	if scale <= 0 {
		return v.String()
	}
	digits := new(big.Int).Abs(v).String()
	digits = strings.Repeat("0", max(0, scale+1-len(digits))) + digits
	sign := ""
	if v.Sign() < 0 {
		sign = "-"
	}
	return sign + digits[:len(digits)-scale] + "." + digits[len(digits)-scale:]
}
