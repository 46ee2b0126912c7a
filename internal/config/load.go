package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"

	"swiftledge/internal/exactjson"
)

// Load reads and validates the platform's file and the operators' files, of which there may be none.
func Load(settingsFile string, tuningFiles ...string) (*Config, error) {
	cfg := &Config{}
	if err := cfg.Settings.load(settingsFile); err != nil {
		return nil, err
	}
	var err error
	if cfg.Tuning, err = loadTuning(tuningFiles); err != nil {
		return nil, err
	}
	return cfg, cfg.checkGrantTime()
}

func (s *Settings) load(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := exactjson.Unmarshal(raw, s); err != nil {
		return fmt.Errorf("settings %s: %w", file, withStandardText(err, raw))
	}
	if err := validateStruct(*s, "json"); err != nil {
		return fmt.Errorf("settings %s: %w", file, err)
	}
	return nil
}

// withStandardText returns the error of encoding/json, whose text operators know, for settings that cannot be decoded.
// It replaces a named string type with string, as operators know the text from versions that had no such types.
func withStandardText(err error, raw []byte) error {
	//nolint:forbidigo // only the text of the error is used
	standardErr := json.Unmarshal(raw, &Settings{})
	if standardErr == nil {
		return err
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(standardErr, &typeError) && typeError.Type.Kind() == reflect.String {
		typeError.Type = reflect.TypeFor[string]()
	}
	return standardErr
}

// loadTuning applies the operators' files to the defaults, in order. It validates the result after each file, so
// that the error for a bad value names the file that contains it.
func loadTuning(files []string) (Tuning, error) {
	tuning := DefaultTuning()
	for _, file := range files {
		if err := tuning.applyFile(file); err != nil {
			return tuning, fmt.Errorf("operators' settings %s: %w", file, err)
		}
	}
	return tuning, nil
}

// applyFile decodes a file into t. Settings that the file does not name keep their values.
func (t *Tuning) applyFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Unwrap(err) // the caller adds the file name
	}
	defer func() { _ = file.Close() }() // the file is only read, so an error loses no data
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	if err := decoder.Decode(t); err != nil && !errors.Is(err, io.EOF) {
		return errors.New(strings.Join(strings.Fields(err.Error()), " "))
	}
	return validateStruct(*t, "yaml")
}

// validateStruct returns a one-line error that lists every missing or invalid field by its path in the file. The
// path consists of the names in the given struct tag. Like the validator, it accepts any struct.
func validateStruct(settings any, tag string) error {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		return strings.Split(field.Tag.Get(tag), ",")[0]
	})
	err := validate.Struct(settings)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return err
	}
	problems := make([]string, len(invalid))
	for i, field := range invalid {
		problems[i] = describeFieldError(field)
	}
	return errors.New(strings.Join(problems, "; "))
}

// describeFieldError returns the field's path in the file and the rule that its value violates.
func describeFieldError(field validator.FieldError) string {
	path := field.Namespace()
	if _, withoutType, ok := strings.Cut(path, "."); ok {
		path = withoutType
	}
	rule := field.Tag()
	if field.Param() != "" {
		rule += "=" + field.Param()
	}
	return fmt.Sprintf("%s is missing or invalid (%s)", path, rule)
}
