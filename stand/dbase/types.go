package dbase

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// Format codes of values in the protocol.
const (
	textFormat   int16 = 0
	binaryFormat int16 = 1
)

// typeNames maps the first word of a declared type to its OID.
var typeNames = map[string]uint32{
	"bool":        pgtype.BoolOID,
	"boolean":     pgtype.BoolOID,
	"smallint":    pgtype.Int2OID,
	"int2":        pgtype.Int2OID,
	"int":         pgtype.Int4OID,
	"integer":     pgtype.Int4OID,
	"int4":        pgtype.Int4OID,
	"bigint":      pgtype.Int8OID,
	"int8":        pgtype.Int8OID,
	"real":        pgtype.Float4OID,
	"float4":      pgtype.Float4OID,
	"float8":      pgtype.Float8OID,
	"float":       pgtype.Float8OID,
	"double":      pgtype.Float8OID,
	"numeric":     pgtype.NumericOID,
	"decimal":     pgtype.NumericOID,
	"text":        pgtype.TextOID,
	"varchar":     pgtype.VarcharOID,
	"character":   pgtype.VarcharOID,
	"char":        pgtype.BPCharOID,
	"bytea":       pgtype.ByteaOID,
	"blob":        pgtype.ByteaOID,
	"timestamptz": pgtype.TimestamptzOID,
	"timestamp":   pgtype.TimestampOID,
	"date":        pgtype.DateOID,
	"uuid":        pgtype.UUIDOID,
	"json":        pgtype.JSONOID,
	"jsonb":       pgtype.JSONBOID,
}

// typeOf returns the OID of a declared type, or 0.
func typeOf(declared string) uint32 {
	name := strings.ToLower(strings.TrimSpace(declared))
	if strings.HasPrefix(name, "timestamp with time") {
		return pgtype.TimestamptzOID
	}
	if i := strings.IndexAny(name, " ("); i >= 0 {
		name = name[:i]
	}
	return typeNames[name]
}

// typeOfValue returns the OID for a value of the engine.
func typeOfValue(v any) uint32 {
	switch v.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case []byte:
		return pgtype.ByteaOID
	}
	return pgtype.TextOID
}

func sizeOf(oid uint32) int16 {
	switch oid {
	case pgtype.BoolOID:
		return 1
	case pgtype.Int2OID:
		return 2
	case pgtype.Int4OID, pgtype.Float4OID, pgtype.DateOID:
		return 4
	case pgtype.Int8OID, pgtype.Float8OID, pgtype.TimestampOID, pgtype.TimestamptzOID:
		return 8
	case pgtype.UUIDOID:
		return 16
	}
	return -1
}

// column describes one column of a result.
type column struct {
	name string
	oid  uint32
}

func fields(columns []column, formats []int16) []pgproto3.FieldDescription {
	out := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		out[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: sizeOf(c.oid),
			TypeModifier: -1,
			Format:       formatAt(formats, i),
		}
	}
	return out
}

// formatAt returns the format of value i, by the rules of the Bind message.
func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return textFormat
}

// decode converts a parameter to a value of the engine.
func decode(m *pgtype.Map, oid uint32, format int16, src []byte) (any, error) {
	if src == nil {
		return nil, nil
	}
	if format == binaryFormat {
		return decodeBinary(m, oid, src)
	}
	return decodeText(oid, string(src))
}

func decodeText(oid uint32, s string) (any, error) {
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		n, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64)
		return n, invalidText(err, "integer", s)
	case pgtype.Float4OID, pgtype.Float8OID:
		f, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		return f, invalidText(err, "double precision", s)
	case pgtype.BoolOID:
		b, ok := parseBool(s)
		if !ok {
			return nil, sqlErrorf(codeInvalidText, "invalid input syntax for type boolean: %q", s)
		}
		return b, nil
	case pgtype.ByteaOID:
		if !strings.HasPrefix(s, `\x`) {
			return []byte(s), nil
		}
		b, err := hex.DecodeString(s[2:])
		return b, invalidText(err, "bytea", s)
	}
	return s, nil
}

func invalidText(err error, name, s string) error {
	if err == nil {
		return nil
	}
	return sqlErrorf(codeInvalidText, "invalid input syntax for type %s: %q", name, s)
}

func parseBool(s string) (value int64, ok bool) {
	switch strings.ToLower(strings.TrimSpace(s)) {
	case "t", "true", "1", "on", "yes", "y":
		return 1, true
	case "f", "false", "0", "off", "no", "n":
		return 0, true
	}
	return 0, false
}

func decodeBinary(m *pgtype.Map, oid uint32, src []byte) (any, error) {
	if n := sizeOf(oid); n >= 0 && int(n) != len(src) {
		return nil, sqlErrorf("22P03", "incorrect binary data format in bind parameter")
	}
	switch oid {
	case pgtype.BoolOID:
		return int64(src[0]), nil
	case pgtype.Int2OID:
		return int64(int16(binary.BigEndian.Uint16(src))), nil
	case pgtype.Int4OID:
		return int64(int32(binary.BigEndian.Uint32(src))), nil
	case pgtype.Int8OID:
		return int64(binary.BigEndian.Uint64(src)), nil
	case pgtype.Float4OID:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(src))), nil
	case pgtype.Float8OID:
		return math.Float64frombits(binary.BigEndian.Uint64(src)), nil
	case pgtype.ByteaOID:
		return append([]byte{}, src...), nil
	case pgtype.TextOID, pgtype.VarcharOID, pgtype.BPCharOID, pgtype.JSONOID, 0:
		return string(src), nil
	}
	return binaryToText(m, oid, src)
}

// binaryToText converts a binary value of any other type to its text, with the
// codecs of m.
func binaryToText(m *pgtype.Map, oid uint32, src []byte) (any, error) {
	var v any
	t, ok := m.TypeForOID(oid)
	if !ok {
		return nil, sqlErrorf(codeNotSupported, "no binary parameters of type %d", oid)
	}
	v, err := t.Codec.DecodeValue(m, oid, binaryFormat, src)
	if err != nil {
		return nil, sqlErrorf("22P03", "incorrect binary data format in bind parameter")
	}
	text, err := m.Encode(oid, textFormat, v, nil)
	if err != nil {
		return nil, sqlErrorf("22P03", "incorrect binary data format in bind parameter")
	}
	return string(text), nil
}

// encode converts a value of the engine to the format of the protocol.
func encode(m *pgtype.Map, oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if format == binaryFormat {
		return encodeBinary(m, oid, v)
	}
	return encodeText(oid, v), nil
}

func encodeText(oid uint32, v any) []byte {
	switch x := v.(type) {
	case int64:
		if oid == pgtype.BoolOID {
			return boolText(x)
		}
		return strconv.AppendInt(nil, x, 10)
	case float64:
		return strconv.AppendFloat(nil, x, 'g', -1, 64)
	case string:
		return []byte(x)
	case []byte:
		if oid != pgtype.ByteaOID {
			return x
		}
		return append([]byte(`\x`), hex.EncodeToString(x)...)
	}
	return nil
}

func boolText(n int64) []byte {
	if n != 0 {
		return []byte("t")
	}
	return []byte("f")
}

func encodeBinary(m *pgtype.Map, oid uint32, v any) ([]byte, error) {
	switch oid {
	case pgtype.TextOID, pgtype.VarcharOID, pgtype.BPCharOID, pgtype.JSONOID:
		return encodeText(oid, v), nil
	case pgtype.ByteaOID:
		if b, ok := v.([]byte); ok {
			return b, nil
		}
		return encodeText(oid, v), nil
	}
	if n, ok := v.(int64); ok {
		if out := encodeInt(oid, n); out != nil {
			return out, nil
		}
	}
	if f, ok := v.(float64); ok && oid == pgtype.Float8OID {
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), nil
	}
	return textToBinary(m, oid, v)
}

func encodeInt(oid uint32, n int64) []byte {
	switch oid {
	case pgtype.BoolOID:
		if n != 0 {
			return []byte{1}
		}
		return []byte{0}
	case pgtype.Int2OID:
		return binary.BigEndian.AppendUint16(nil, uint16(n))
	case pgtype.Int4OID:
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	case pgtype.Int8OID:
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	}
	return nil
}

// textToBinary parses the text of a value as its type and encodes it in binary.
func textToBinary(m *pgtype.Map, oid uint32, v any) ([]byte, error) {
	t, ok := m.TypeForOID(oid)
	if !ok {
		return nil, sqlErrorf(codeNotSupported, "no binary results of type %d", oid)
	}
	text := encodeText(oid, v)
	parsed, err := t.Codec.DecodeValue(m, oid, textFormat, text)
	if err != nil {
		return nil, sqlErrorf(codeInvalidText, "invalid input syntax for type %s: %q", t.Name, text)
	}
	out, err := m.Encode(oid, binaryFormat, parsed, nil)
	if err != nil {
		return nil, sqlErrorf(codeInvalidText, "no binary form for type %s: %q", t.Name, text)
	}
	return out, nil
}
