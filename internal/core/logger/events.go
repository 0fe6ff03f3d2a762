package logger

// Events are the values of the field event. Each line has time, level, daemon and
// service beside the fields named here.
const (
	EventStarted         = "started"
	EventClosing         = "closing"
	EventClosed          = "closed"
	EventReload          = "reload"
	EventLeaving         = "leaving"
	EventCut             = "cut"
	EventListenerFailed  = "listener_failed"
	EventLinesLeftOut    = "lines_left_out"
	EventReadiness       = "readiness"
	EventSent            = "sent"
	EventServed          = "served"
	EventRefused         = "refused"
	EventBroken          = "broken"
	EventCallerLeft      = "caller_left"
	EventSendFailed      = "send_failed"
	EventRepeat          = "repeat"
	EventResumed         = "resumed"
	EventEscalated       = "escalated"
	EventKept            = "kept"
	EventEndpointReached = "endpoint_reached"
	EventTable           = "table"
	EventTableIgnored    = "table_ignored"
	EventHosts           = "hosts"
	EventRollout         = "rollout"
	EventCentreClosed    = "centre_closed"
	EventCentreOpened    = "centre_opened"
	EventMembers         = "members"
	EventEntryIgnored    = "entry_ignored"
	EventHistoryGone     = "history_gone"
	EventSourceLost      = "source_lost"
	EventSourceRegained  = "source_regained"
	EventOutageOver      = "outage_over"
	EventFollowing       = "following"
	EventFollowFailed    = "follow_failed"
	EventJoined          = "joined"
	EventJoinFailed      = "join_failed"
	EventLeft            = "left"
	EventShareFailed     = "share_failed"
	EventReleaseBad      = "release_bad"
	EventConcluded       = "concluded"
)

// Event describes the lines of one event.
type Event struct {
	Name string
	// Fields are the names of its own fields, in order.
	Fields string
	// Text says what happened.
	Text string
}

// Events lists all events of the forwarding daemon.
var Events = []Event{
	{EventStarted, "listen, store", "the process serves"},
	{EventClosing, "", "the process was told to end"},
	{EventClosed, "error; or centre, source_version", "the process ended"},
	{EventReload, "problem", "the settings file was read again; what is wrong with it, if anything"},
	{EventLeaving, "active", "readiness checks fail from now on; requests under way"},
	{EventCut, "active, error", "the grace time ended with requests under way"},
	{EventListenerFailed, "error", "a listener broke"},
	{EventLinesLeftOut, "lines", "log lines that found no room"},
	{EventReadiness, "ready, leaving, fresh, age", "the answer to readiness checks changed; age of the table's proof"},
	{EventSent, "id, route, endpoint, centre, release, model, attempt, running, delay, cold, left, table, age", "a request goes to an endpoint; what spoke for it"},
	{EventServed, "id, session, route, endpoint, status, sends, attempts, step, confidence, first, late, took", "a request was answered; when the answer began, and whether after its objective"},
	{EventRefused, "id, route, reason, run, sends, took, table, age, retry, error", "a request was refused or failed"},
	{EventBroken, "id, route, last, sends, took, error", "a stream was broken off behind an event"},
	{EventCallerLeft, "id, route, sends, took", "a caller left before the end"},
	{EventSendFailed, "id, endpoint, kind, quiet, error", "an endpoint did not run a request or failed it; how long it had been silent to this daemon"},
	{EventRepeat, "id, endpoint, status, error", "a request is sent again"},
	{EventResumed, "id, endpoint, last, sends, took, error", "a stream goes on at another endpoint"},
	{EventEscalated, "id, route, confidence, from, to", "a larger model is asked"},
	{EventKept, "id, route, reason, confidence, step, left, need", "a poor answer is kept: no_budget, as the repeats left are for failures, or no_time, as a larger model needs more than is left"},
	{EventEndpointReached, "endpoint, centre", "an endpoint that could not be reached can be"},
	{EventTable, "version, routes, source_version", "a table of routes is in force"},
	{EventTableIgnored, "version, in_force", "an older table was ignored"},
	{EventHosts, "hosts, leaving, lapsed, source_version", "the endpoints changed"},
	{EventRollout, "pool, release, state, source_version", "a roll-out was ordered or changed"},
	{EventCentreClosed, "centre, source_version", "a data centre is out of use"},
	{EventCentreOpened, "centre", "a data centre is back in use; its endpoints count as cold for a moment"},
	{EventMembers, "members", "the daemons changed"},
	{EventEntryIgnored, "topic, entry, error", "an entry can't be understood"},
	{EventHistoryGone, "topic, version", "changes were lost; the topic is listed again"},
	{EventSourceLost, "topic, error, age", "this daemon's calls to the source fail; age of the newest proof"},
	{EventSourceRegained, "topic, age", "they work again"},
	{EventOutageOver, "topic, away", "the source was silent for so long"},
	{EventFollowing, "peer", "this daemon follows another, or watches by itself"},
	{EventFollowFailed, "peer, error", "a followed daemon fell silent or its proofs are old"},
	{EventJoined, "", "the entry of this daemon is written"},
	{EventJoinFailed, "error", "it was not; it is tried again"},
	{EventLeft, "error", "the entry of this daemon was removed"},
	{EventShareFailed, "peer, error", "a peer did not answer with its work"},
	{EventReleaseBad, "pool, release, heard, tallies, passed", "the answers speak against a release, here or at another daemon"},
	{EventConcluded, "pool, release, state, version, error", "the state of a roll-out was written"},
}
