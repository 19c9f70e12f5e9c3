package native

import (
	"encoding/binary"
	"fmt"
)

// Exception is a server's error with the errors nested in it.
type Exception struct {
	Code           int32
	Name           string
	Message, Stack string
	Nested         *Exception
}

// Error returns the code, the name and the message of the outermost error.
func (e *Exception) Error() string { return fmt.Sprintf("code %d, %s: %s", e.Code, e.Name, e.Message) }

// Encode returns the packet's bytes.
func (e *Exception) Encode() []byte {
	b := AppendUvarint(nil, ServerException)
	for ; e != nil; e = e.Nested {
		b = binary.LittleEndian.AppendUint32(b, uint32(e.Code))
		b = AppendString(AppendString(AppendString(b, e.Name), e.Message), e.Stack)
		nested := byte(0)
		if e.Nested != nil {
			nested = 1
		}
		b = append(b, nested)
	}
	return b
}

// maxNestedExceptions is the limit of the errors nested in an Exception.
const maxNestedExceptions = 64

// exception reads the rest of an Exception packet after its code.
func (r *Reader) exception() (*Exception, error) {
	var first, last *Exception
	for depth := 0; ; depth++ {
		if depth > maxNestedExceptions {
			return nil, r.formatError("nested exception", fmt.Sprintf("more than %d", maxNestedExceptions),
				fmt.Sprintf("%d at most", maxNestedExceptions))
		}
		e := &Exception{}
		var err error
		if e.Code, err = r.int32("code"); err != nil {
			return nil, err
		}
		for _, p := range []*string{&e.Name, &e.Message, &e.Stack} {
			if *p, err = r.text("exception", maxTextBytes); err != nil {
				return nil, err
			}
		}
		if first == nil {
			first = e
		} else {
			last.Nested = e
		}
		last = e
		nested, err := r.byte("nested")
		if err != nil {
			return nil, err
		}
		if nested == 0 {
			return first, nil
		}
	}
}
