package api

import "strings"

// decodeErrorText is the text of a decoding error for the sender of a body. The decoder names Go types; what it says
// of them keeps the names that clients have known since the first version.
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
