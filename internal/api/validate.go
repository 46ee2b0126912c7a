package api

import (
	"errors"
	"net/http"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"swiftledge/internal/exactjson"
	"swiftledge/wire"
)

// jobRefPattern is the pattern of all job references.
const jobRefPattern = `^j-[0-9]{6,18}$`

// submissionValidator decodes submissions and validates their fields.
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

// isJobRef reports whether a string is a well-formed job reference.
func (v submissionValidator) isJobRef(ref string) bool { return v.refs.MatchString(ref) }

// decode returns the job of a valid submission, or else the rejection.
func (v submissionValidator) decode(body []byte) (wire.Job, *rejection) {
	var submission wire.JobSubmission
	if err := exactjson.Unmarshal(body, &submission); err != nil {
		return wire.Job{}, &rejection{extractRef(body), http.StatusBadRequest, "not a job: " + decodeErrorText(err)}
	}
	if reason := v.invalidFieldReason(&submission); reason != "" {
		var ref string
		if submission.Ref != nil {
			ref = *submission.Ref
		}
		return wire.Job{}, &rejection{ref, http.StatusBadRequest, reason}
	}
	if submission.Zone != nil && *submission.Zone == "" {
		// A job without a zone may run in any. No machine is in a zone without a name.
		return wire.Job{}, &rejection{*submission.Ref, http.StatusUnprocessableEntity, fitsNowhere}
	}
	return submission.Job(), nil
}

// extractRef returns the job reference in a body that cannot be decoded as a whole.
func extractRef(body []byte) string {
	var submission struct {
		Ref string `json:"ref"`
	}
	// The decoder sets the fields that it reads before an error. An empty reference names no job.
	_ = exactjson.Unmarshal(body, &submission)
	return submission.Ref
}

// invalidFieldReason names the first field that is missing or invalid. It returns "" if all fields are valid.
func (v submissionValidator) invalidFieldReason(submission *wire.JobSubmission) string {
	var invalid validator.ValidationErrors
	if errors.As(v.fields.Struct(submission), &invalid) {
		return invalid[0].Field() + " is missing or invalid (" + invalid[0].Tag() + ")"
	}
	return ""
}
