package logger

// Values of the log field event.
const (
	EventStarted           = "started"
	EventClosing           = "closing"
	EventClosed            = "closed"
	EventReload            = "reload"
	EventLeaving           = "leaving"
	EventGraceExpired      = "cut"
	EventListenerFailed    = "listener_failed"
	EventAcceptFailed      = "accept_failed"
	EventAcceptsAgain      = "accepts_again"
	EventLinesLeftOut      = "lines_left_out"
	EventReadiness         = "readiness"
	EventQueued            = "queued"
	EventDequeued          = "dequeued"
	EventSent              = "sent"
	EventSentToPeer        = "sent_to_peer"
	EventPeerFailed        = "peer_failed"
	EventForPeerRefused    = "for_peer_refused"
	EventForPeerFailed     = "for_peer_failed"
	EventServed            = "served"
	EventRefused           = "refused"
	EventBroken            = "broken"
	EventUnanswered        = "unanswered"
	EventCallerLeft        = "caller_left"
	EventSendFailed        = "send_failed"
	EventRetry             = "repeat"
	EventResumed           = "resumed"
	EventAnswerLost        = "answer_lost"
	EventAttemptKept       = "attempt_kept"
	EventResumeDelayed     = "resume_delayed"
	EventEscalated         = "escalated"
	EventEscalationSkipped = "kept"
	EventLinkLost          = "link_lost"
	EventLinkRegained      = "link_regained"
	EventEndpointReached   = "endpoint_reached"
	EventEndpointLeaving   = "endpoint_leaving"
	EventPaused            = "paused"
	EventPauseIgnored      = "pause_ignored"
	EventPauseOver         = "pause_over"
	EventBrittle           = "brittle"
	EventBrittleIgnored    = "brittle_ignored"
	EventBrittleOver       = "brittle_over"
	EventLoadIgnored       = "load_ignored"
	EventLimited           = "limited"
	EventLimitIgnored      = "limit_ignored"
	EventLimitOver         = "limit_over"
	EventProbeFailed       = "probe_failed"
	EventMisdirected       = "misdirected"
	EventSuspicionOver     = "suspicion_over"
	EventEndpointCrashed   = "endpoint_crashed"
	EventCrashUnconfirmed  = "crash_unconfirmed"
	EventCrashUndecided    = "crash_undecided"
	EventSpared            = "spared"
	EventIsolated          = "isolated"
	EventIsolationOver     = "isolation_over"
	EventTable             = "table"
	EventTableIgnored      = "table_ignored"
	EventHosts             = "hosts"
	EventRollout           = "rollout"
	EventCentreClosed      = "centre_closed"
	EventCentreOpened      = "centre_opened"
	EventMembers           = "members"
	EventEntryIgnored      = "entry_ignored"
	EventHistoryGone       = "history_gone"
	EventSourceLost        = "source_lost"
	EventSourceRegained    = "source_regained"
	EventEra               = "era"
	EventEraListed         = "era_listed"
	EventOpened            = "opened"
	EventEraIgnored        = "era_ignored"
	EventOutageOver        = "outage_over"
	EventFollowing         = "following"
	EventFollowFailed      = "follow_failed"
	EventJoined            = "joined"
	EventJoinFailed        = "join_failed"
	EventLeft              = "left"
	EventShareFailed       = "share_failed"
	EventReleaseBad        = "release_bad"
	EventReleaseUnproven   = "release_unproven"
	EventReleaseProven     = "release_proven"
	EventConcluded         = "concluded"
)

// Event describes the log lines with one value of the field event.
type Event struct {
	Name string
	// Fields names the event's own fields, in order. Each line has the fields time,
	// level, daemon and service besides.
	Fields string
	// Text describes the event for operators.
	Text string
}

// Events lists the events of the forwarding daemon.
var Events = []Event{
	{EventStarted, "listen, store", "the process has started and serves requests"},
	{EventClosing, "", "the process received a signal to shut down"},
	{EventClosed, "error; or centre, source_version", "the process ended"},
	{EventReload, "problem", "the settings file was read again; what is wrong with it, if anything"},
	{EventLeaving, "active", "the shutdown began and readiness checks fail from now on; requests in flight"},
	{EventGraceExpired, "active, error", "the shutdown grace time ended with requests in flight"},
	{EventListenerFailed, "error", "a listener failed; if it is that of callers, the daemon is not ready any more"},
	{EventAcceptFailed, "error", "no connection of a caller could be taken, for want of descriptors or memory, or as too many are open and none of them is idle or stalled; further failures in a row are counted (`forwarder_accept_failure`). The daemon is not ready until 3 s after the last one"},
	{EventAcceptsAgain, "", "connections of callers are taken again"},
	{EventLinesLeftOut, "lines", "log lines were dropped: the rate limit was reached, the queue was full or a write failed"},
	{EventReadiness, "ready, leaving, fresh, age", "the result of the readiness check changed; time since the source last confirmed the routing table"},
	{EventQueued, "id, queue, rank, team, waiting, running, bound", "no endpoint has capacity, so a request waits at the daemon; the requests that waited before, this daemon's requests at the endpoints, and the longest wait"},
	{EventDequeued, "id, queue, rank, team, outcome, waited, running, endpoint", "a request no longer waits: sent to the endpoint, waited if the longest wait passed, so that it is sent as without a queue, no_endpoint if none is left, left if its caller left or its deadline passed, full or late if it was refused at once, stopped at the shutdown, or the reason of another refusal"},
	{EventSent, "id, route, endpoint, centre, release, model, for_peer, attempt, running, delay, pace, cold, left, table, age", "a request is sent to an endpoint, for a peer that reaches none if for_peer is true; the values behind the choice"},
	{EventSentToPeer, "id, route, peer, centre, attempt, left", "no endpoint can be dialled, so a peer is asked for the attempt"},
	{EventPeerFailed, "id, peer, reason, run, unreachable, error", "a peer that was asked for an attempt refused it, or was lost; whether an endpoint may have run the request, and whether the peer reaches none either"},
	{EventForPeerRefused, "id, route, reason, run, sends, error", "an attempt that a peer asked for was refused or failed"},
	{EventForPeerFailed, "id, endpoint, last, error", "the answer to an attempt that a peer asked for broke off; the peer goes on elsewhere"},
	{EventServed, "id, session, route, endpoint, by_peer, status, sends, attempts, step, confidence, first, late, took", "a request was answered, by way of a peer if by_peer is true; time to the start of the answer, and whether that exceeded the route's objective"},
	{EventRefused, "id, route, reason, run, sends, took, table, age, retry, endpoints, unreachable, link_lost, error", "a request was refused or failed; if no endpoint is left, the endpoints that it may go to, those of them that cannot be dialled, and whether none at all can"},
	{EventBroken, "id, route, last, sends, took, error", "an answer was aborted after a part of it had been passed on; the last event passed on"},
	{EventUnanswered, "id, handler, error", "the handler of a request ended without an answer, which must not happen, so its connection was closed; its last error"},
	{EventCallerLeft, "id, route, sends, took", "the caller disconnected before the end of the answer"},
	{EventSendFailed, "id, endpoint, kind, quiet, error", "an endpoint did not run a request or failed it; how long it had sent nothing to this daemon"},
	{EventRetry, "id, endpoint, status, error", "a request is retried"},
	{EventResumed, "id, endpoint, last, sends, took, error", "a stream broke and is resumed at another endpoint"},
	{EventAnswerLost, "id, route, endpoint, stage, request, parts, error", "an endpoint did not complete an answer: sent before its head, head before its first event, events after that, dropped if a larger model was asked instead; a hash of the request's target, team and body, and the prompt's parts but the last"},
	{EventAttemptKept, "id, endpoint, quiet", "an attempt makes no progress but goes on, since no endpoint can be reached; how long all were silent"},
	{EventResumeDelayed, "id, last, sends, left, error", "no endpoint takes up a stream that broke; the daemon waits for one"},
	{EventEscalated, "id, route, confidence, from, to", "the confidence of an answer was too low, so a larger model is tried"},
	{EventEscalationSkipped, "id, route, reason, confidence, step, left, need", "an answer of low confidence is passed on: no_budget if the remaining retries are reserved for failures, no_time if a larger model needs more time than is left, no_endpoint if no endpoint takes a request"},
	{EventLinkLost, "quiet", "no endpoint can be dialled: this daemon is partitioned from them, or all are lost; how long all were silent"},
	{EventLinkRegained, "endpoint, away", "an endpoint can be dialled again after that"},
	{EventEndpointReached, "endpoint, centre", "an endpoint that was unreachable can be reached again"},
	{EventEndpointLeaving, "endpoint, started, heard", "an endpoint announced in an answer, here or, if heard, to another daemon, that it leaves; when its instance started"},
	{EventPaused, "endpoint, centre, asked, length, end, bounded", "an endpoint turned a request away and asked for no others for a time; the time until this daemon tries it again, with its jitter, and whether the time asked for exceeded the bound"},
	{EventPauseIgnored, "endpoint, value", "an endpoint asked for a pause by a value that is no time in seconds"},
	{EventPauseOver, "endpoint, centre", "an endpoint ran a request after its pause, so all requests may go there again"},
	{EventBrittle, "endpoint, centre, rejections, before", "an endpoint said that it ends if it has to turn away more than some requests a second; what held before, negative if nothing"},
	{EventBrittleIgnored, "endpoint, value", "an endpoint said that it is brittle by a value that is no number"},
	{EventBrittleOver, "endpoint, centre", "an endpoint no longer says that it is brittle"},
	{EventLoadIgnored, "endpoint, value", "an endpoint reported its load by a value that is not three or four figures; the last valid ones stay in use"},
	{EventLimited, "endpoint, centre, rate, before, heard", "an endpoint named, here or, if heard, to another daemon, the rate in requests per second that it takes from all daemons together; the one that held before, 0 for none"},
	{EventLimitIgnored, "endpoint, value", "an endpoint named a limit by a value that is no rate"},
	{EventLimitOver, "endpoint, centre, heard", "an endpoint no longer names a limit, here or, if heard, to another daemon"},
	{EventProbeFailed, "endpoint, peer, error", "a peer did not answer whether an endpoint accepts connections"},
	{EventMisdirected, "id, endpoint, pool, centre, length, confirmed", "another instance answered in place of the endpoint, which is gone, or the endpoint rejected the request so; for how long the endpoints of its pool and data centre that do not answer are suspect, so that others are preferred, and whether this answer confirmed an earlier one of another endpoint"},
	{EventSuspicionOver, "endpoint, pool, centre", "two suspect endpoints of a pool and data centre answered, so the others are no longer suspect; the last one of them"},
	{EventEndpointCrashed, "endpoint, begun, lost, keys", "an endpoint crashed, as peers confirm, while it may have been running a request; whether the head of the answer had come, and whether the endpoint broke it off; the keys that may be the cause: a hash of the request, and the parts of its prompt"},
	{EventCrashUndecided, "endpoint, begun, lost, keys", "an endpoint may have crashed, but no daemon can tell that from a cut of the network yet; a line `endpoint_crashed` follows once one can"},
	{EventCrashUnconfirmed, "endpoint, refused, near, far", "an endpoint did not complete an answer or refused a connection, but is not known to have crashed: whether it refused a connection of this daemon, and what peers of its data centre and others saw (alive, ended, unknown; unanswered, also if there are none; none if it refused no connection)"},
	{EventSpared, "key, crashes, counted, succeeded", "endpoints crashed often enough with a part of prompts in flight, but it is not isolated: the crashes, those that no success takes back, and the time since the last success, negative if there is none"},
	{EventIsolated, "key, left", "endpoints crash by a request or a part of prompts, as the crashes seen here and by other daemons show: requests with the key are refused; for how long"},
	{EventIsolationOver, "key", "requests with a key that was isolated are sent again"},
	{EventTable, "version, routes, era, source_version", "a routing table came into force"},
	{EventTableIgnored, "version, in_force", "a routing table older than the one in force was ignored"},
	{EventHosts, "hosts, leaving, lapsed, era, source_version", "the list of endpoints changed"},
	{EventRollout, "pool, release, state, unwritten, era, source_version", "a roll-out was ordered or changed; whether the source lost its state"},
	{EventCentreClosed, "centre, era, source_version", "a data centre is out of service"},
	{EventCentreOpened, "centre", "a data centre is back in service; its endpoints count as warming up for a short time"},
	{EventMembers, "members", "the list of daemons changed"},
	{EventEntryIgnored, "topic, entry, error", "an entry can't be decoded and is ignored"},
	{EventHistoryGone, "topic, era, version", "the source no longer has all changes since the version; the topic is listed again"},
	{EventSourceLost, "topic, error, age", "this daemon's calls to the source fail; time since the topic was last confirmed"},
	{EventSourceRegained, "topic, age", "this daemon's calls to the source succeed again; time since the topic was last confirmed"},
	{EventEra, "era, before, peer", "the source came back from an older copy, as its answer or a peer tells: topics are listed anew"},
	{EventEraListed, "topic, era, before, entries, kept", "a topic was read for the first time in a new era; entries that stay in force although the source lost or contradicts them"},
	{EventOpened, "heard, took", "a started daemon serves by the table; whether another daemon that serves has told what it keeps from older eras"},
	{EventEraIgnored, "call, era, error", "an answer of the source was not used because of its era; its connection is closed"},
	{EventOutageOver, "topic, away", "the source answers again after an outage; time for which the topic was not confirmed"},
	{EventFollowing, "peer", "this daemon follows another one, or watches the source itself if no peer is named"},
	{EventFollowFailed, "peer, error", "a followed daemon did not answer, or its confirmations are too old"},
	{EventJoined, "again", "the member entry of this daemon was written; whether the source had lost it"},
	{EventJoinFailed, "error", "the member entry of this daemon could not be written; it is retried"},
	{EventLeft, "error", "the member entry of this daemon was removed"},
	{EventShareFailed, "peer, error", "a peer did not answer with its load report"},
	{EventReleaseBad, "pool, release, heard, route, score, route_base, route_canary, base, canary, base_time, canary_time, base_pace, canary_pace, passed", "a release was found faulty by the answers counted here or, if heard, by another daemon; the route that speaks most against it, with its score and answers; the answers, those that are judged by their time, and the streams that are judged by their pace, of the other releases and of this one"},
	{EventReleaseUnproven, "pool, release, sent, bound, passed", "a release that is not proven counts as faulty, as it has had most of the requests that it may get, or its answers speak against it at the end; the requests sent to it"},
	{EventReleaseProven, "pool, release, answers, paced, passed", "the answers counted here show that a release is good, so that all sessions may migrate to it; the answers and the streams whose pace is known"},
	{EventConcluded, "pool, release, state, again, era, version, basis, error", "the state of a roll-out was written, and what the daemon knew then: the elapsed and the session share, when the release was proven, its requests, answers and failures, all requests, whether so few come that all may go to it, and how many of the listed daemons have counted them for how many seconds; whether it is written again after a new era began"},
}
