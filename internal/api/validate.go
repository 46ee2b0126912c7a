package api

import (
	"encoding/json"
	"errors"
	"net/http"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"swiftledge/wire"
)

// jobRefPattern is the form of all references to jobs.
const jobRefPattern = `^j-[0-9]{6,18}$`

// submissionValidator decodes submissions and checks the form of their fields.
type submissionValidator struct {
	fields *validator.Validate
	refs   *regexp.Regexp
}

func newSubmissionValidator() submissionValidator {
	fields := validator.New(validator.WithRequiredStructEnabled())
	fields.RegisterTagNameFunc(func(field reflect.StructField) string {
		return strings.Split(field.Tag.Get("json"), ",")[0]
	})
	refs := regexp.MustCompile(jobRefPattern)
	hasValidRef := func(field validator.FieldLevel) bool { return refs.MatchString(field.Field().String()) }
	if err := fields.RegisterValidation("jobref", hasValidRef); err != nil {
		panic(err) // the tag name is a constant
	}
	return submissionValidator{fields, refs}
}

// isJobRef reports whether a string has the form of a reference to a job.
func (v submissionValidator) isJobRef(ref string) bool { return v.refs.MatchString(ref) }

// decode returns the job of a well-formed submission.
func (v submissionValidator) decode(body []byte) (wire.Job, *rejection) {
	var submission wire.JobSubmission
	if err := json.Unmarshal(body, &submission); err != nil {
		return wire.Job{}, &rejection{refOf(body), http.StatusBadRequest, "not a job: " + decodeErrorText(err)}
	}
	if reason := v.invalidField(&submission); reason != "" {
		var ref string
		if submission.Ref != nil {
			ref = *submission.Ref
		}
		return wire.Job{}, &rejection{ref, http.StatusBadRequest, reason}
	}
	return submission.Job(), nil
}

// refOf returns the reference in a body of which little else can be read.
func refOf(body []byte) string {
	var submission struct {
		Ref string `json:"ref"`
	}
	// What was read before an error counts: an empty reference is no job's.
	_ = json.Unmarshal(body, &submission)
	return submission.Ref
}

// invalidField tells the first field that is missing or invalid; it is empty if there is none.
func (v submissionValidator) invalidField(submission *wire.JobSubmission) string {
	var invalid validator.ValidationErrors
	if errors.As(v.fields.Struct(submission), &invalid) {
		return invalid[0].Field() + " is missing or invalid (" + invalid[0].Tag() + ")"
	}
	return ""
}
