package config

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"
)

const schemaFile = "../../deploy/settings.schema.json"

// compileSchema compiles the schema that is committed in deploy.
func compileSchema(t *testing.T) *jsonschema.Schema {
	t.Helper()
	raw, err := os.ReadFile(schemaFile)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("settings", doc); err != nil {
		t.Fatal(err)
	}
	schema, err := compiler.Compile("settings")
	if err != nil {
		t.Fatal(err)
	}
	return schema
}

// schemaAccepts reports whether a YAML text is valid under the schema.
func schemaAccepts(t interface{ Fatal(...any) }, schema *jsonschema.Schema, text []byte) bool {
	var settings any
	if err := yaml.Unmarshal(text, &settings); err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	return schema.Validate(doc) == nil
}

// The committed schema is the one that Schema generates from the types. To update it, run
// `swiftledge schema > deploy/settings.schema.json`.
func TestCommittedSchemaIsCurrent(t *testing.T) {
	want, err := Schema()
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(schemaFile)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Error("deploy/settings.schema.json differs from the output of `swiftledge schema`")
	}
}

// The schema accepts every YAML file in deploy, from which operators start.
func TestDeployedFilesMatchSchema(t *testing.T) {
	schema := compileSchema(t)
	files, err := filepath.Glob("../../deploy/*.yaml")
	if err != nil || len(files) < 2 {
		t.Fatalf("found %d files in deploy, error %v, want at least 2 files", len(files), err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !schemaAccepts(t, schema, raw) {
			t.Errorf("the schema rejected %s", file)
		}
	}
}

// The schema accepts a file with a single value if and only if loadTuning does. The cases cover known and unknown
// keys of every section, values in and out of range, and values of the right and of a wrong type.
func TestSchemaAgreesWithLoadTuning(t *testing.T) {
	schema := compileSchema(t)
	var sections map[string]map[string]any
	raw, err := yaml.Marshal(DefaultTuning())
	if err != nil {
		t.Fatal(err)
	}
	if err := yaml.Unmarshal(raw, &sections); err != nil {
		t.Fatal(err)
	}
	var keys [][2]string
	for section, values := range sections {
		for key := range values {
			keys = append(keys, [2]string{section, key})
		}
		keys = append(keys, [2]string{section, "unknown"})
	}
	keys = append(keys, [2]string{"unknown", "k"})
	dir := t.TempDir()
	values := []string{"0", "-1", "0.04", "0.05", "0.25", "0.5", "1", "1.0", "1.05", "2", "4.5", "10", "20", "64", "65", "120", "121", "3600", "3601", "86401",
		"true", "false", "many", "[1]"}
	acceptedCount := 0
	rapid.Check(t, func(t *rapid.T) {
		sectionAndKey := rapid.SampledFrom(keys).Draw(t, "key")
		value := rapid.SampledFrom(values).Draw(t, "value")
		if sectionAndKey[1] == "file" {
			value = strconv.Quote(value) // the YAML decoder accepts a bare number as a file name, the schema does not
		}
		text := sectionAndKey[0] + ": {" + sectionAndKey[1] + ": " + value + "}\n"
		file := filepath.Join(dir, "t.yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := loadTuning([]string{file})
		if err != nil && (strings.Contains(err.Error(), "gtfield") || strings.Contains(err.Error(), "MoveAbove")) {
			t.Skip("the schema cannot express a rule that compares two values")
		}
		if err == nil {
			acceptedCount++
		}
		if got := schemaAccepts(t, schema, []byte(text)); got != (err == nil) {
			t.Errorf("%q: accepted by the schema: %t, error of loadTuning: %v; want both to accept or both to reject it", text, got, err)
		}
	})
	if acceptedCount == 0 {
		t.Error("loadTuning accepted none of the drawn files")
	}
}
