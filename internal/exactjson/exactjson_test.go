package exactjson

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"swiftledge/wire"
)

// variants returns spellings of a field name that a decoder without regard to case takes for the name. U+017F and U+212A
// are the long s and the Kelvin sign, which fold to s and k.
func variants(name string) (spellings []string) {
	candidates := []string{strings.ToUpper(name), strings.ToUpper(name[:1]) + name[1:], strings.ToLower(name),
		strings.ReplaceAll(name, "s", "\u017f"), strings.ReplaceAll(name, "k", "\u212a")}
	for _, candidate := range candidates {
		if candidate != name && strings.EqualFold(candidate, name) {
			spellings = append(spellings, candidate)
		}
	}
	return spellings
}

// TestUnmarshalIgnoresOtherSpellings guards against an unknown field being taken for a known one that differs from it in
// case alone, in each protocol.
func TestUnmarshalIgnoresOtherSpellings(t *testing.T) {
	forms := []any{wire.JobSubmission{}, wire.Job{}, wire.JobStatus{}, wire.ErrorResponse{}, wire.Heartbeat{}, wire.TaskStatus{},
		wire.HeartbeatResponse{}, wire.Redirect{}, wire.Catalog{}, wire.MachineType{}, wire.MachineNames{}, wire.MachineList{},
		wire.Machine{}, wire.Item{}, wire.ItemList{}, wire.TxnResponse{}, wire.LeaseResponse{}, wire.Event{}, wire.WatchResponse{}}
	for _, form := range forms {
		structType := reflect.TypeOf(form)
		for field := range structType.Fields() {
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if name == "-" {
				continue
			}
			for _, spelling := range variants(name) {
				target := reflect.New(structType)
				// The value is of no type that any field has, so that a decoder that takes the field for a known one fails.
				if err := Unmarshal([]byte(`{"`+spelling+`":{"x":[{}]}}`), target.Interface()); err != nil || !target.Elem().IsZero() {
					t.Errorf("field %q changed the %s, or failed with %v, want it ignored", spelling, structType.Name(), err)
				}
			}
		}
	}
}

// TestUnmarshalOtherwiseDecodesAsEncodingJSON checks that values and error texts are those of encoding/json.
func TestUnmarshalOtherwiseDecodesAsEncodingJSON(t *testing.T) {
	bodies := []string{
		`{"ref":"j-000412","lots":3,"cpus":1.5,"breeds":["a",null],"dueS":null,"together":true}`,
		`{"ref":"j-000412","ref":"j-000413"}`, // the last one counts
		`{"\u0072ef":"j-000412"}`,
		`{"ref":"a\ud800b` + "\xff" + `"}`,
		`{"x":{"ref":[1,{"lots":"many"}]},"lots":7}`,
		`{"lots":"many","ref":"j-000412"}`,
		`{"lots":1.5}`,
		`{"lots":99999999999999999999}`,
		`{"cpus":1e999}`,
		`{"x":1e999,"lots":7}`,
		`{"breeds":{}}`,
		`[]`, `null`, `7`, ``, `{`, `{"ref":"j-000412"`, `{"ref":"j-000412",}`, `{} {}`, `{"ref":"j-000412"} x`, `{'ref':1}`,
	}
	for _, body := range bodies {
		var got, want wire.JobSubmission
		gotErr, wantErr := Unmarshal([]byte(body), &got), json.Unmarshal([]byte(body), &want)
		if errorText(gotErr) != errorText(wantErr) || !reflect.DeepEqual(got, want) {
			t.Errorf("%s was decoded as %+v (error %v), want %+v (error %v)", body, got, gotErr, want, wantErr)
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
