package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/invopop/jsonschema"
)

// Schema returns the JSON Schema of the operators' settings. It is generated from the types and ranges that also
// validate the files when they are loaded. The schema cannot express one rule, which only a description states:
// spread.move_above must be greater than spread.bound.
func Schema() ([]byte, error) {
	reflector := jsonschema.Reflector{
		FieldNameTag:               "yaml",
		RequiredFromJSONSchemaTags: true,
		DoNotReference:             true,
		ExpandedStruct:             true,
		Anonymous:                  true,
	}
	schema := reflector.Reflect(Tuning{})
	schema.Title = "swiftledge: the operators' settings"
	if err := addRanges(schema, reflect.ValueOf(DefaultTuning())); err != nil {
		return nil, err
	}
	raw, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	return append(raw, '\n'), nil
}

// addRanges adds the ranges and defaults of a struct's fields to its schema, including nested structs.
func addRanges(schema *jsonschema.Schema, defaults reflect.Value) error {
	for field, value := range defaults.Fields() {
		property, ok := schema.Properties.Get(field.Tag.Get("yaml"))
		if !ok {
			return fmt.Errorf("schema: %s has no property", field.Name)
		}
		if field.Type.Kind() == reflect.Struct {
			if err := addRanges(property, value); err != nil {
				return err
			}
			continue
		}
		property.Default = value.Interface()
		for rule := range strings.SplitSeq(field.Tag.Get("validate"), ",") {
			if err := addRange(property, rule); err != nil {
				return fmt.Errorf("schema: %s: %w", field.Name, err)
			}
		}
	}
	return nil
}

// addRange adds to the schema of a property the limit that one rule of its validate tag sets, such as gte=0. The rule
// gtfield is skipped, because a schema cannot compare two properties.
func addRange(property *jsonschema.Schema, rule string) error {
	name, bound, _ := strings.Cut(rule, "=")
	switch name {
	case "gte":
		property.Minimum = json.Number(bound)
	case "gt":
		property.ExclusiveMinimum = json.Number(bound)
	case "lte":
		property.Maximum = json.Number(bound)
	case "lt":
		property.ExclusiveMaximum = json.Number(bound)
	case "", "gtfield":
	default:
		return fmt.Errorf("rule %q has no form in the schema", rule)
	}
	return nil
}
