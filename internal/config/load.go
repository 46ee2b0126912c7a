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
)

// Load reads and checks the platform's file and the operators' own, of which there may be none.
func Load(settingsFile string, tuningFiles ...string) (*Config, error) {
	c := &Config{}
	if err := c.Settings.load(settingsFile); err != nil {
		return nil, err
	}
	var err error
	if c.Tuning, err = loadTuning(tuningFiles); err != nil {
		return nil, err
	}
	return c, c.checkGrantTime()
}

func (s *Settings) load(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := json.Unmarshal(raw, s); err != nil {
		return fmt.Errorf("settings %s: %w", file, withoutNamedStrings(err))
	}
	if err := check(*s, "json"); err != nil {
		return fmt.Errorf("settings %s: %w", file, err)
	}
	return nil
}

// withoutNamedStrings has a decoding error speak of a string where the Go type is a named string: operators
// know the text from the versions before there were such types.
func withoutNamedStrings(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Type.Kind() == reflect.String {
		typeError.Type = reflect.TypeFor[string]()
	}
	return err
}

// loadTuning reads the operators' files over the defaults, later ones over earlier ones. Each is checked
// with those before it, so that a bad value is told with the file that brought it.
func loadTuning(files []string) (Tuning, error) {
	tuning := DefaultTuning()
	for _, file := range files {
		if err := tuning.overlay(file); err != nil {
			return tuning, fmt.Errorf("operators' settings %s: %w", file, err)
		}
	}
	return tuning, nil
}

// overlay takes in one file: only what it names changes.
func (t *Tuning) overlay(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Unwrap(err) // the caller names the file
	}
	defer func() { _ = file.Close() }() // it was only read
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	if err := decoder.Decode(t); err != nil && !errors.Is(err, io.EOF) {
		return errors.New(strings.Join(strings.Fields(err.Error()), " "))
	}
	return check(*t, "yaml")
}

// check returns an error that names every missing or invalid field, in the words of the file, on one line.
// The names are those of a struct tag. It takes any struct, as the validator does.
func check(settings any, tag string) error {
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
		problems[i] = describe(field)
	}
	return errors.New(strings.Join(problems, "; "))
}

// describe tells a field, by its path in the file, and the rule that it breaks.
func describe(field validator.FieldError) string {
	path := field.Namespace()
	if _, below, ok := strings.Cut(path, "."); ok {
		path = below
	}
	rule := field.Tag()
	if field.Param() != "" {
		rule += "=" + field.Param()
	}
	return fmt.Sprintf("%s is missing or invalid (%s)", path, rule)
}
