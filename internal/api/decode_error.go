package api

import "strings"

// decodeErrorText returns the text of a decoding error for the sender of the body. The decoder's text has names of Go
// types and fields. decodeErrorText replaces them with the names that clients know from the first version.
func decodeErrorText(err error) string {
	return strings.NewReplacer(
		"field JobSubmission.", "field JobForm.",
		"type wire.JobSubmission", "type wire.JobForm",
		"field Heartbeat.", "field Report.",
		"type wire.Heartbeat", "type wire.Report",
		"type wire.TaskStatus", "type wire.TaskReport",
		"type []wire.TaskStatus", "type []wire.TaskReport",
		"type wire.FencingToken", "type uint64",
		"type wire.AgentEpoch", "type uint64",
		"type wire.AttemptID", "type uint64",
		"type wire.TaskState", "type string",
		"type wire.ExitCause", "type string",
	).Replace(err.Error())
}
