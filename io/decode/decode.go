// Package decode decodes protobuf messages that come from other processes.
//
// An empty element of a repeated field takes two bytes on the wire and a hundred when it is
// decoded. The elements are therefore counted first: otherwise a body of a few megabytes, which
// may be held, becomes one of some hundred megabytes.
package decode

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// MaxElements is the greatest number of messages within a message: more than the largest
	// store has keys.
	MaxElements = 1 << 15
	// maxDepth is how deep messages are nested at most.
	maxDepth = 8
)

// ErrTooMany is returned for a message with more than MaxElements messages in it.
var ErrTooMany = errors.New("message with too many elements")

// Message decodes b into m.
func Message(b []byte, m proto.Message) error {
	n, err := elements(b, m.ProtoReflect().Descriptor(), 0)
	if err != nil {
		return err
	}
	if n > MaxElements {
		return errors.WithStack(ErrTooMany)
	}
	return proto.Unmarshal(b, m)
}

// elements returns the number of messages within a message. It stops at MaxElements.
func elements(b []byte, d protoreflect.MessageDescriptor, depth int) (int, error) {
	if depth > maxDepth {
		return 0, errors.New("message nested too deeply")
	}
	n := 0
	for len(b) > 0 && n <= MaxElements {
		number, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return 0, protowire.ParseError(size)
		}
		b = b[size:]
		size = protowire.ConsumeFieldValue(number, kind, b)
		if size < 0 {
			return 0, protowire.ParseError(size)
		}
		field := d.Fields().ByNumber(number)
		if field != nil && field.Message() != nil && kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(b[:size])
			within, err := elements(value, field.Message(), depth+1)
			if err != nil {
				return 0, err
			}
			n += 1 + within
		}
		b = b[size:]
	}
	return n, nil
}
