/* SPDX-License-Identifier: BSD-3-Clause */
/* Attempts at a request: grants for each part, calls to engines, answer chunks, resumes and retries. */
#include "engines.h"
#include "node_internal.h"

#include <string.h>

#define RESUMES_MAX_ 3                    /* per attempt */
#define ATTEMPTS_MAX_ 8                   /* per request */
#define DRAIN_PAUSE_US_ (200 * BH__MS_US) /* before a gang's engine that refused a call is called again */
#define DRAIN_WAITS_MAX_ 150              /* such pauses per attempt */
#define PAUSE_FIRST_US_ (10 * BH__MS_US)
#define PAUSE_MAX_US_ (1 * BH__SECOND_US)
#define REPLAY_ANSWER_MAX_BYTES_ (256 * 1024) /* longer answers are not kept for a replay */

static void accept_part_(BH__Node *n, BH__RequestEntry *e, const BH__Grant *g);
static const BH__RequestPart *find_member_(const BH__RequestEntry *e, unsigned index,
										   const BH__GrantMember **member);
static unsigned count_members_(const BH__RequestEntry *e);
static uint64_t get_current_attempt_id_(const BH__RequestEntry *e);
static void start_attempt_(BH__Node *n, BH__RequestEntry *e);
static void notify_progress_(BH__Node *n, const BH__RequestEntry *e);
static void on_first_chunk_(BH__Node *n, const BH__RequestEntry *e, uint64_t attempt_id);
static void send_to_scheduler_(BH__Node *n, uint64_t pool_id, BH__Message *m);
static void on_segment_done_(BH__Node *n, BH__RequestEntry *e);
static void on_connection_broken_(BH__Node *n, BH__RequestEntry *e);
static void abandon_attempt_(BH__Node *n, BH__RequestEntry *e, BH__ReleaseKind kind, bool may_have_run);
static void retry_(BH__Node *n, BH__RequestEntry *e, BH__Reason reason);

/* Processes a grant: asks for the next part or starts the attempt. Releases a grant that no request waits
 * for. */
void bh__requests_process_grant(BH__Node *n, const BH__Grant *g, uint64_t from_node)
{
	BH__RequestEntry *e = g_hash_table_lookup(n->requests_by_ask, &g->ask_id);

	if (!e || e->state != BH__REQUEST_ASKING) {
		BH__Message m = {.type = BH__MESSAGE_RELEASE};
		m.as.release.pool_id = g->pool_id;
		m.as.release.grant_id = g->grant_id;
		m.as.release.kind = BH__RELEASE_UNUSED;
		bh__node_send(n, from_node, &m);
		return;
	}
	bh__request_drop_ask(n, e, false);
	accept_part_(n, e, g);
	if (bh__crashes_end_held(n, e))
		return;
	if (e->granted_count < e->part_count)
		bh__request_ask_part(n, e);
	else
		start_attempt_(n, e);
}

/* Stores a grant for the next part and makes its token indexes relative to the start of the whole prompt. */
static void accept_part_(BH__Node *n, BH__RequestEntry *e, const BH__Grant *g)
{
	BH__RequestPart *part = &e->part[e->granted_count++];

	part->grant = *g;
	for (unsigned i = 0; i < part->grant.member_count; i++)
		part->grant.member[i].first_token += part->first_token;
	g_hash_table_insert(n->requests_by_attempt, &part->grant.grant_id, e);
	bh__node_event(n, BH__EVENT_GRANT, e->request_id, g->grant_id,
				   bh__node_get_endpoint_name(n, g->member[0].endpoint_id), "granted", g->member_count);
}

/* Returns the part that holds the engine with this index over all parts, and sets `member` to that engine.
 * The index must be in range. */
static const BH__RequestPart *find_member_(const BH__RequestEntry *e, unsigned index,
										   const BH__GrantMember **member)
{
	for (unsigned p = 0; p < e->granted_count; p++) {
		if (index < e->part[p].grant.member_count) {
			*member = &e->part[p].grant.member[index];
			return &e->part[p];
		}
		index -= e->part[p].grant.member_count;
	}
	g_assert_not_reached();
}

/* Returns the number of engines that all grants of the request name. */
static unsigned count_members_(const BH__RequestEntry *e)
{
	unsigned count = 0;
	for (unsigned p = 0; p < e->granted_count; p++)
		count += e->part[p].grant.member_count;
	return count;
}

/* Returns the attempt id for the engine that is at work, or 0 if the request holds no grant. */
static uint64_t get_current_attempt_id_(const BH__RequestEntry *e)
{
	const BH__GrantMember *member;
	return e->granted_count ? find_member_(e, e->segment, &member)->grant.grant_id : 0;
}

/* Starts an attempt once all parts are granted: calls the service or the first engine. */
static void start_attempt_(BH__Node *n, BH__RequestEntry *e)
{
	e->attempts++;
	e->resumes = 0;
	e->drain_waits = 0;
	e->segment = 0;
	n->counters.attempts++;
	if (e->attempts == 1)
		bh__retry_record_first_attempt(
			&n->retry, bh__catalog_get_policy(bh__config_get_catalog(n->config))->retry_share);
	if (e->is_service)
		bh__attempt_call(n, e, BH__CALL_SERVICE);
	else if (count_members_(e) > 1)
		bh__attempt_call(n, e, BH__CALL_SEGMENT);
	else
		bh__attempt_call(n, e, BH__CALL_ANSWER);
}

/* Calls an endpoint of the current attempt: for BH__CALL_SEGMENT the engine of the current segment, otherwise
 * the last one. */
void bh__attempt_call(BH__Node *n, BH__RequestEntry *e, BH__CallKind kind)
{
	unsigned index = kind == BH__CALL_SEGMENT ? e->segment : count_members_(e) - 1;
	const BH__GrantMember *member;
	const BH__RequestPart *part = find_member_(e, index, &member);
	BH__AttemptCall call = {.kind = kind,
							.request_id = e->request_id,
							.attempt_id = part->grant.grant_id,
							.endpoint_id = member->endpoint_id,
							.segment = index,
							.first_token = member->first_token,
							.token_count = member->token_count,
							.priority_level = part->grant.priority_level,
							.answer_chunk_offset = e->answer_chunks,
							.member_count = (uint8_t)index};

	for (unsigned i = 0; i < index; i++) {
		const BH__GrantMember *earlier;
		call.member_attempt[i] = find_member_(e, i, &earlier)->grant.grant_id;
		call.member[i] = earlier->endpoint_id;
	}
	e->segment = index;
	e->state = kind == BH__CALL_SEGMENT ? BH__REQUEST_SEGMENTS : BH__REQUEST_ANSWER;
	bh__node_event(n, BH__EVENT_ATTEMPT, e->request_id, call.attempt_id,
				   bh__node_get_endpoint_name(n, call.endpoint_id), BH__CallKindString[kind],
				   e->answer_chunks);
	n->ports->attempt_start(n->ports, &call);
}

/* Notifies the scheduler that the current engine has completed its prefill, if the grant asks for this. */
static void notify_progress_(BH__Node *n, const BH__RequestEntry *e)
{
	const BH__GrantMember *member;
	const BH__Grant *g = &find_member_(e, e->segment, &member)->grant;
	BH__Message m = {.type = BH__MESSAGE_PROGRESS};

	m.as.release.pool_id = g->pool_id;
	m.as.release.grant_id = g->grant_id;
	if (g->reports_progress)
		send_to_scheduler_(n, g->pool_id, &m);
}

/* Sends a message to a pool's current scheduler; drops it if the pool is unknown. */
static void send_to_scheduler_(BH__Node *n, uint64_t pool_id, BH__Message *m)
{
	BH__Route *route = bh__routes_find(n->routes, pool_id);
	if (route)
		bh__node_send(n, bh__route_get_scheduler(route, n->members), m);
}

/* Records the time to first token and notifies the scheduler that the prefill is done. */
static void on_first_chunk_(BH__Node *n, const BH__RequestEntry *e, uint64_t attempt_id)
{
	uint64_t time_us = n->now_us - e->arrived_us;

	notify_progress_(n, e);
	bh__histogram_add(&n->counters.first_token[bh__size_class(e->prompt_tokens)], time_us);
	bh__node_event(n, BH__EVENT_ATTEMPT, e->request_id, attempt_id, NULL, "first-token", time_us / BH__MS_US);
}

/* Processes one answer chunk. `offset` is its index in the answer. Drops chunks of an attempt that is not
 * current and duplicates; resumes the stream if chunks are missing before this one. */
void bh__node_process_answer_chunk(BH__Node *n, uint64_t attempt_id, uint64_t offset, const char *data,
								   size_t len, uint64_t now_us)
{
	BH__RequestEntry *e = g_hash_table_lookup(n->requests_by_attempt, &attempt_id);

	n->now_us = now_us;
	if (!e || e->state != BH__REQUEST_ANSWER || attempt_id != get_current_attempt_id_(e) ||
		offset < e->answer_chunks) {
		n->counters.dropped_answer_chunks++;
		return;
	}
	if (offset > e->answer_chunks) { /* chunks are missing: resume to get them again */
		n->ports->attempt_cancel(n->ports, attempt_id, BH__NO_ENDPOINT);
		on_connection_broken_(n, e);
		bh__node_drain_inbox(n);
		return;
	}
	if (e->answer_chunks == 0)
		on_first_chunk_(n, e, attempt_id);
	e->answer_chunks++;
	n->counters.answer_chunks++;
	if (e->answer && e->answer->len + len < REPLAY_ANSWER_MAX_BYTES_) {
		g_string_append_len(e->answer, data, (gssize)len);
		if (!e->is_service)
			g_string_append_c(e->answer, '\n');
	}
	else if (e->answer) {
		g_string_free(e->answer, TRUE);
		e->answer = NULL;
	}
	n->ports->answer_chunk(n->ports, e->request_id, data, len);
	bh__node_drain_inbox(n);
}

/* Processes the end of a call to an endpoint. `segment` is the call's; `message` is the endpoint's error text
 * for BH__ATTEMPT_REJECTED and may be NULL. Ignores calls that are not the current one. */
void bh__node_process_attempt_end(BH__Node *n, uint64_t attempt_id, uint32_t segment, BH__AttemptEnd end,
								  const char *message, uint64_t now_us)
{
	BH__RequestEntry *e = g_hash_table_lookup(n->requests_by_attempt, &attempt_id);
	bool answering;
	const BH__GrantMember *member;

	n->now_us = now_us;
	if (!e || e->segment != segment || attempt_id != get_current_attempt_id_(e) ||
		(e->state != BH__REQUEST_SEGMENTS && e->state != BH__REQUEST_ANSWER))
		return;
	answering = e->state == BH__REQUEST_ANSWER;
	find_member_(e, segment, &member);
	if (end != BH__ATTEMPT_DONE)
		bh__node_event(n, BH__EVENT_ATTEMPT, e->request_id, attempt_id,
					   bh__node_get_endpoint_name(n, member->endpoint_id), BH__AttemptEndString[end],
					   e->answer_chunks);
	switch (end) {
	case BH__ATTEMPT_DONE:
		if (answering)
			bh__crashes_note_served(n, e);
		if (answering)
			bh__request_finish(n, e, BH__VERDICT_RAN, BH__REASON_NONE, 0, NULL);
		else
			on_segment_done_(n, e);
		break;
	case BH__ATTEMPT_REFUSED:
		if (segment > 0 && e->drain_waits < DRAIN_WAITS_MAX_) {
			e->drain_waits++;
			e->state = BH__REQUEST_PAUSED;
			e->pause_action = BH__PAUSE_CALL_AGAIN;
			e->wake_us = n->now_us + DRAIN_PAUSE_US_;
			break;
		}
		abandon_attempt_(n, e, BH__RELEASE_REFUSED, false);
		break;
	case BH__ATTEMPT_UNREACHABLE:
		abandon_attempt_(n, e, BH__RELEASE_FAILED, answering && e->resumes > 0);
		break;
	case BH__ATTEMPT_BROKEN:
		bh__crashes_note_aborted(n, e, member->endpoint_id);
		on_connection_broken_(n, e);
		break;
	case BH__ATTEMPT_UNKNOWN:
		abandon_attempt_(n, e, BH__RELEASE_FAILED, true);
		break;
	case BH__ATTEMPT_REJECTED:
		bh__request_finish(n, e, BH__VERDICT_MAY_HAVE_RUN, BH__REASON_ENDPOINT_FAILED, 0, message);
		break;
	}
	bh__node_drain_inbox(n);
}

/* Goes on with the next engine after one has prefilled its segment. */
static void on_segment_done_(BH__Node *n, BH__RequestEntry *e)
{
	notify_progress_(n, e);
	e->segment++;
	bh__attempt_call_current_member(n, e);
}

/* Calls the engine of the current segment; the last engine also generates the answer. */
void bh__attempt_call_current_member(BH__Node *n, BH__RequestEntry *e)
{
	bh__attempt_call(n, e, e->segment + 1u < count_members_(e) ? BH__CALL_SEGMENT : BH__CALL_ANSWER);
}

/* Processes a broken connection. An answer is first resumed on the same engine: this is the only correct way
 * for a request that is not repeatable, and the cheapest for any other. */
static void on_connection_broken_(BH__Node *n, BH__RequestEntry *e)
{
	if (e->state == BH__REQUEST_SEGMENTS) {
		abandon_attempt_(n, e, BH__RELEASE_FAILED, false);
		return;
	}
	e->may_have_run = true;
	if (e->is_service || e->resumes >= RESUMES_MAX_) {
		abandon_attempt_(n, e, BH__RELEASE_FAILED, true);
		return;
	}
	e->state = BH__REQUEST_PAUSED;
	e->pause_action = BH__PAUSE_RESUME;
	e->wake_us = n->now_us + bh__attempt_get_pause_us(e->resumes);
	e->resumes++;
	n->counters.resumes++;
}

/* Ends a failed attempt and plans a retry on another endpoint, or ends the request. `kind` is reported to the
 * scheduler; `may_have_run` is true if the endpoint may have run the request. */
static void abandon_attempt_(BH__Node *n, BH__RequestEntry *e, BH__ReleaseKind kind, bool may_have_run)
{
	const BH__GrantMember *member;
	uint64_t failed;

	find_member_(e, e->segment, &member);
	failed = member->endpoint_id;
	e->may_have_run |= may_have_run;
	if (e->ask.avoid_count < BH__AVOID_MAX)
		e->ask.avoid[e->ask.avoid_count++] = failed;
	else
		e->ask.avoid[e->attempts % BH__AVOID_MAX] = failed;
	bh__attempt_cancel(n, e, true);
	bh__attempt_release(n, e, kind, failed);
	retry_(n, e, BH__REASON_ENDPOINT_FAILED);
}

/* Cancels the attempt at all its engines but the last, and at the last too if `with_last`, so that they free
 * what they hold for it. */
void bh__attempt_cancel(BH__Node *n, const BH__RequestEntry *e, bool with_last)
{
	for (unsigned i = 0; i + !with_last < count_members_(e); i++) {
		const BH__GrantMember *member;
		const BH__RequestPart *part = find_member_(e, i, &member);
		n->ports->attempt_cancel(n->ports, part->grant.grant_id, member->endpoint_id);
	}
}

/* Releases all grants that the request holds. `failed_endpoint` is used for BH__RELEASE_FAILED only. */
void bh__attempt_release(BH__Node *n, BH__RequestEntry *e, BH__ReleaseKind kind, uint64_t failed_endpoint)
{
	for (unsigned p = 0; p < e->granted_count; p++) {
		BH__Grant *g = &e->part[p].grant;
		BH__Message m = {.type = BH__MESSAGE_RELEASE};
		m.as.release.pool_id = g->pool_id;
		m.as.release.grant_id = g->grant_id;
		m.as.release.kind = kind;
		m.as.release.failed_endpoint = kind == BH__RELEASE_FAILED ? failed_endpoint : BH__NO_ENDPOINT;
		g_hash_table_remove(n->requests_by_attempt, &g->grant_id);
		send_to_scheduler_(n, g->pool_id, &m);
	}
	e->granted_count = 0;
}

/* Plans another attempt if the request may be retried, the attempt limit and the retry budget allow it and
 * time is left. Otherwise ends the request with `reason`. */
static void retry_(BH__Node *n, BH__RequestEntry *e, BH__Reason reason)
{
	bool allowed = (e->repeatable || !e->may_have_run) && !(e->is_service && e->answer_chunks > 0);
	uint64_t wake_us = n->now_us + bh__attempt_get_pause_us(e->attempts);

	if (allowed && e->attempts < ATTEMPTS_MAX_ && wake_us < e->deadline_us && bh__retry_take(&n->retry)) {
		e->state = BH__REQUEST_PAUSED;
		e->pause_action = BH__PAUSE_ASK;
		e->wake_us = wake_us;
		e->tried_count = 0;
		n->counters.retries++;
		bh__node_event(n, BH__EVENT_RETRY, e->request_id, 0, NULL, BH__ReasonString[reason], e->attempts);
		return;
	}
	n->counters.retries_denied += allowed;
	bh__request_finish(n, e, bh__request_get_failure_verdict(e), reason, 1000,
					   "all endpoints that were tried have failed");
}

/* Returns the pause before a retry or resume: 10 ms, doubled `attempts` times, but at most 1 s. */
uint64_t bh__attempt_get_pause_us(uint32_t attempts)
{
	return MIN(PAUSE_FIRST_US_ << MIN(attempts, 10u), PAUSE_MAX_US_);
}

/* Returns true if a live request holds the grant with this attempt id. */
bool bh__requests_has_attempt(const BH__Node *n, uint64_t attempt_id)
{
	return g_hash_table_contains(n->requests_by_attempt, &attempt_id);
}
