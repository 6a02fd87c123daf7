package explain

// sentences holds the descriptions of the reasons of decisions and exclusions, by their names. A
// name that is not listed, as from a newer process, is printed as it is.
var sentences = map[string]string{
	"accept_primary":   "the placement policy leaves the flow here",
	"accept_free_slot": "a slot is free here",
	"accept_no_other":  "no slot is free here or at any server with a valid load report",
	"accept_in_time":   "no slot is free anywhere, but an answer is expected within the objective",
	"accept_less_busy": "the second candidate is at least as busy",
	"accept_known":     "the flow is open here already",

	"accept_shortest_delay": "no server that was drawn is expected to answer sooner by enough",

	"wait_late":   "the answer is expected after the objective, and the free slots are reserved for others",
	"wait_urgent": "an opening packet of higher priority waits",
	"wait_full":   "no slot is free anywhere and an answer within the objective is not expected",
	"wait_slot":   "the flow is accepted here and waits for a free slot",

	"handover_full":          "no slot is free here, or the other server is less busy",
	"handover_work":          "the other server is expected to answer sooner",
	"handover_cold":          "the server here is cold and takes no more new flows now",
	"handover_even":          "the server here is busier than the mean",
	"handover_remembered":    "this flow was handed over there before",
	"handover_draining":      "the agent is leaving",
	"handover_leaving":       "the server here is leaving",
	"handover_connections":   "the agent owns as many flows as it can",
	"handover_not_selected":  "the service does not select the server here",
	"handover_other_service": "the labels in the agent's settings do not match the service",
	"handover_server_silent": "the server here does not answer or fails requests; it gets trials only",

	"refuse_not_accepting": "the server here must not get the flow and no other accepts it",
	"refuse_connections":   "the agent owns as many flows as it can and no other accepts it",
	"refuse_cold":          "the server here is cold and no other accepts the flow",
	"refuse_wait":          "too many opening packets wait, or an answer before the timeout is not expected",
	"refuse_timeout":       "an answer before the timeout is not expected",

	"drop_table_full":      "the flow table is full",
	"drop_opening_pending": "an earlier copy is still being handled",
	"drop_data_centre_out": "the service has no selector for this data centre",

	"primary":         "it is the primary of the flow",
	"no_target":       "no target accepts new flows",
	"not_selected":    "not selected any more",
	"not_accepting":   "accepts no new flows",
	"suspected":       "suspected by peers",
	"unreachable":     "does not answer",
	"not_among_first": "others come first for this flow",
	"no_report":       "no load report",
	"old_report":      "load report too old",
	"full":            "no free slot",
	"ejected":         "gets trials only because of its failure rate",
}

// describeReason returns the sentence for a reason, followed by its name, which is also that of
// its counter if there is one. An empty reason stays empty.
func describeReason(reason string) string {
	if sentence, known := sentences[reason]; known {
		return sentence + " (" + reason + ")"
	}
	return reason
}
