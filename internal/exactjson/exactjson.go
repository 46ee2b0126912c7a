// Package exactjson decodes JSON whose field names count exactly as they are written.
//
// The protocols require a receiver to ignore the fields that it does not know. encoding/json and goccy/go-json match
// names without regard to case, so that they take the unknown field "Ref" for "ref". All programs of this module
// decode JSON with this package alone. Apart from the names it decodes as encoding/json does. The package does not
// encode.
package exactjson

import (
	"reflect"

	"github.com/goccy/go-json"
	jsonv2 "github.com/goccy/go-json/v2"
)

// Unmarshal decodes data into the zero value that v points to. It ignores a field whose name differs from that of every
// struct field, be it only in case. An error has the text that goccy/go-json gives it, which is that of encoding/json
// except for the paths of nested fields.
func Unmarshal(data []byte, v any) error {
	names := jsonv2.MatchCaseInsensitiveNames(false)
	if jsonv2.Unmarshal(data, v, json.DefaultOptionsV1(), names, json.ReportErrorsWithLegacySemantics(false)) == nil {
		return nil
	}
	// Errors of encoding/json need a pass over the data before the one that decodes, which valid data is spared.
	reflect.ValueOf(v).Elem().SetZero()
	return jsonv2.Unmarshal(data, v, json.DefaultOptionsV1(), names)
}
