package native

import (
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

const secondsPerDay = 24 * 60 * 60

// scalar returns a value of a type with a fixed width as text.
func scalar(name string, b []byte) string {
	base, args, _ := splitType(name) // cannot fail: parseType has accepted the name
	switch base {
	case "Bool":
		return strconv.FormatBool(b[0] != 0)
	case "Float32":
		return strconv.FormatFloat(float64(math.Float32frombits(binary.LittleEndian.Uint32(b))), 'g', -1, 32)
	case "Float64":
		return strconv.FormatFloat(math.Float64frombits(binary.LittleEndian.Uint64(b)), 'g', -1, 64)
	case "FixedString":
		return strings.TrimRight(string(b), "\x00")
	case "Date", "Date32", "DateTime", "DateTime64":
		return timestamp(base, args, b)
	case "UUID":
		return uuidText(b)
	case "IPv4":
		return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}).String()
	case "IPv6":
		return netip.AddrFrom16([16]byte(b)).String()
	case "Enum8", "Enum16":
		return enumName(integer(base, b).String(), args)
	case "Decimal", "Decimal32", "Decimal64", "Decimal128", "Decimal256":
		return decimal(integer(base, b), lastNumber(args))
	case "Nothing":
		return ""
	}
	return integer(base, b).String()
}

// integer decodes an integer: little endian, and in two's complement unless the type is unsigned.
func integer(base string, b []byte) *big.Int {
	bigEndian := slices.Clone(b)
	slices.Reverse(bigEndian)
	v := new(big.Int).SetBytes(bigEndian)
	if !strings.HasPrefix(base, "UInt") && len(bigEndian) > 0 && bigEndian[0] >= 0x80 {
		v.Sub(v, new(big.Int).Lsh(big.NewInt(1), uint(8*len(bigEndian))))
	}
	return v
}

// timestamp returns a date or a time as text, in UTC.
func timestamp(base string, args []string, b []byte) string {
	switch base {
	case "Date":
		return time.Unix(secondsPerDay*int64(binary.LittleEndian.Uint16(b)), 0).UTC().Format(time.DateOnly)
	case "Date32":
		return time.Unix(secondsPerDay*int64(int32(binary.LittleEndian.Uint32(b))), 0).UTC().Format(time.DateOnly)
	case "DateTime":
		return time.Unix(int64(binary.LittleEndian.Uint32(b)), 0).UTC().Format(time.DateTime)
	}
	digits := 3
	if len(args) > 0 {
		digits, _ = strconv.Atoi(args[0]) // 0 for an argument that is not a number
	}
	ticks, second := integer(base, b).Int64(), int64(math.Pow10(digits))
	return time.Unix(ticks/second, ticks%second*(1e9/max(second, 1))).UTC().Format("2006-01-02 15:04:05.999999999")
}

// uuidText returns a UUID as text. Its bytes are two halves, each little endian.
func uuidText(b []byte) string {
	u := slices.Clone(b)
	slices.Reverse(u[:8])
	slices.Reverse(u[8:16])
	return fmt.Sprintf("%x-%x-%x-%x-%x", u[:4], u[4:6], u[6:8], u[8:10], u[10:])
}

// enumName returns the name of a value of an Enum, or the value itself if it has no name.
func enumName(value string, args []string) string {
	for _, arg := range args {
		if name, number, ok := strings.Cut(arg, "="); ok && strings.TrimSpace(number) == value {
			return strings.Trim(strings.TrimSpace(name), "'")
		}
	}
	return value
}

// lastNumber returns the last argument of a type, or 0 if that is missing or not a number.
func lastNumber(args []string) int {
	if len(args) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(args[len(args)-1])
	return n
}

// decimal returns v / 10^scale as text.
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
