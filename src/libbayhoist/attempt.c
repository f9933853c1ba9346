/* SPDX-License-Identifier: BSD-3-Clause */
/* Attempts at a request: grants taken up part by part, calls to engines, pieces of the answer, resumes and
 * retries. */
#include "engines.h"
#include "node_internal.h"

#include <string.h>

#define RESUMES_MAX_ 3
#define ATTEMPTS_MAX_ 8
#define DRAIN_PAUSE_US_ (200 * BH__MS_US) /* before a gang's next engine is asked again */
#define DRAIN_WAITS_MAX_ 150
#define PAUSE_FIRST_US_ (10 * BH__MS_US)
#define PAUSE_MAX_US_ (1 * BH__SECOND_US)
#define ANSWER_KEPT_MAX_ (256 * 1024)

static void accept_part_(BH__Node *n, BH__RequestEntry *e, const BH__Grant *g);
static const BH__RequestPart *find_member_(const BH__RequestEntry *e, unsigned index,
										   const BH__GrantMember **member);
static unsigned count_members_(const BH__RequestEntry *e);
static uint64_t attempt_id_(const BH__RequestEntry *e);
static void start_attempt_(BH__Node *n, BH__RequestEntry *e);
static void tell_progress_(BH__Node *n, const BH__RequestEntry *e);
static void on_first_piece_(BH__Node *n, const BH__RequestEntry *e, uint64_t attempt_id);
static void send_to_scheduler_(BH__Node *n, uint64_t pool_id, BH__Message *m);
static void on_segment_done_(BH__Node *n, BH__RequestEntry *e);
static void on_broken_(BH__Node *n, BH__RequestEntry *e);
static void give_up_attempt_(BH__Node *n, BH__RequestEntry *e, BH__ReleaseKind kind, bool may_have_run);
static void retry_(BH__Node *n, BH__RequestEntry *e, BH__Reason reason);

/* A scheduler granted an ask. A grant that nobody waits for is given back. */
void bh__requests_process_grant(BH__Node *n, const BH__Grant *g, uint64_t from_node)
{
	BH__RequestEntry *e = g_hash_table_lookup(n->by_ask, &g->ask_id);

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

/* Takes a grant as the next part, and counts its tokens from the start of the prompt. */
static void accept_part_(BH__Node *n, BH__RequestEntry *e, const BH__Grant *g)
{
	BH__RequestPart *part = &e->part[e->granted_count++];

	part->grant = *g;
	for (unsigned i = 0; i < part->grant.member_count; i++)
		part->grant.member[i].first_token += part->first_token;
	g_hash_table_insert(n->by_attempt, &part->grant.grant_id, e);
	bh__node_event(n, BH__EVENT_GRANT, e->request_id, g->grant_id,
				   bh__node_name_endpoint(n, g->member[0].endpoint_id), "granted", g->member_count);
}

/* Returns the part and the member in it that is number `index` over all parts; there must be one. */
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

static unsigned count_members_(const BH__RequestEntry *e)
{
	unsigned count = 0;
	for (unsigned p = 0; p < e->granted_count; p++)
		count += e->part[p].grant.member_count;
	return count;
}

/* Returns the id of the attempt under way, that of the engine at work; 0 if there is none. */
static uint64_t attempt_id_(const BH__RequestEntry *e)
{
	const BH__GrantMember *member;
	return e->granted_count ? find_member_(e, e->segment, &member)->grant.grant_id : 0;
}

static void start_attempt_(BH__Node *n, BH__RequestEntry *e)
{
	e->attempts++;
	e->resumes = 0;
	e->drain_waits = 0;
	e->segment = 0;
	n->counters.attempts++;
	if (e->attempts == 1)
		bh__retry_note_first(&n->retry,
							 bh__catalog_get_policy(bh__config_get_catalog(n->config))->retry_share);
	if (e->is_service)
		bh__attempt_call(n, e, BH__CALL_SERVICE);
	else if (count_members_(e) > 1)
		bh__attempt_call(n, e, BH__CALL_SEGMENT);
	else
		bh__attempt_call(n, e, BH__CALL_ANSWER);
}

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
							.piece_offset = e->pieces,
							.member_count = (uint8_t)index};

	for (unsigned i = 0; i < index; i++) {
		const BH__GrantMember *earlier;
		call.member_attempt[i] = find_member_(e, i, &earlier)->grant.grant_id;
		call.member[i] = earlier->endpoint_id;
	}
	e->segment = index;
	e->state = kind == BH__CALL_SEGMENT ? BH__REQUEST_SEGMENTS : BH__REQUEST_ANSWER;
	bh__node_event(n, BH__EVENT_ATTEMPT, e->request_id, call.attempt_id,
				   bh__node_name_endpoint(n, call.endpoint_id), BH__CallKindString[kind], e->pieces);
	n->ports->attempt_start(n->ports, &call);
}

/* Tells the scheduler that the engine at work on a long prompt has done its prefill. */
static void tell_progress_(BH__Node *n, const BH__RequestEntry *e)
{
	const BH__GrantMember *member;
	const BH__Grant *g = &find_member_(e, e->segment, &member)->grant;
	BH__Message m = {.type = BH__MESSAGE_PROGRESS};

	m.as.release.pool_id = g->pool_id;
	m.as.release.grant_id = g->grant_id;
	if (g->reports_progress)
		send_to_scheduler_(n, g->pool_id, &m);
}

static void send_to_scheduler_(BH__Node *n, uint64_t pool_id, BH__Message *m)
{
	BH__Route *route = bh__routes_find(n->routes, pool_id);
	if (route)
		bh__node_send(n, bh__route_get_scheduler(route, n->members), m);
}

static void on_first_piece_(BH__Node *n, const BH__RequestEntry *e, uint64_t attempt_id)
{
	uint64_t time_us = n->now_us - e->arrived_us;

	tell_progress_(n, e);
	bh__histogram_add(&n->counters.first_token[bh__size_class(e->prompt_tokens)], time_us);
	bh__node_event(n, BH__EVENT_ATTEMPT, e->request_id, attempt_id, NULL, "first-token", time_us / BH__MS_US);
}

/* Takes one piece of an answer. Pieces of another attempt, or seen before, are dropped. */
void bh__node_process_piece(BH__Node *n, uint64_t attempt_id, uint64_t offset, const char *data, size_t len,
							uint64_t now_us)
{
	BH__RequestEntry *e = g_hash_table_lookup(n->by_attempt, &attempt_id);

	n->now_us = now_us;
	if (!e || e->state != BH__REQUEST_ANSWER || attempt_id != attempt_id_(e) || offset < e->pieces) {
		n->counters.crossed++;
		return;
	}
	if (offset > e->pieces) { /* pieces are missing: ask for them again */
		n->ports->attempt_cancel(n->ports, attempt_id, BH__NO_ENDPOINT);
		on_broken_(n, e);
		bh__node_drain_inbox(n);
		return;
	}
	if (e->pieces == 0)
		on_first_piece_(n, e, attempt_id);
	e->pieces++;
	n->counters.pieces++;
	if (e->answer && e->answer->len + len < ANSWER_KEPT_MAX_) {
		g_string_append_len(e->answer, data, (gssize)len);
		if (!e->is_service)
			g_string_append_c(e->answer, '\n');
	}
	else if (e->answer) {
		g_string_free(e->answer, TRUE);
		e->answer = NULL;
	}
	n->ports->answer_piece(n->ports, e->request_id, data, len);
	bh__node_drain_inbox(n);
}

/* A call to an endpoint ended. `segment` is that of the call; `message` may be NULL. */
void bh__node_process_attempt_end(BH__Node *n, uint64_t attempt_id, uint32_t segment, BH__AttemptEnd end,
								  const char *message, uint64_t now_us)
{
	BH__RequestEntry *e = g_hash_table_lookup(n->by_attempt, &attempt_id);
	bool answering;
	const BH__GrantMember *member;

	n->now_us = now_us;
	if (!e || e->segment != segment || attempt_id != attempt_id_(e) ||
		(e->state != BH__REQUEST_SEGMENTS && e->state != BH__REQUEST_ANSWER))
		return;
	answering = e->state == BH__REQUEST_ANSWER;
	find_member_(e, segment, &member);
	if (end != BH__ATTEMPT_DONE)
		bh__node_event(n, BH__EVENT_ATTEMPT, e->request_id, attempt_id,
					   bh__node_name_endpoint(n, member->endpoint_id), BH__AttemptEndString[end], e->pieces);
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
			e->pause_end = BH__PAUSE_REPEAT;
			e->wake_us = n->now_us + DRAIN_PAUSE_US_;
			break;
		}
		give_up_attempt_(n, e, BH__RELEASE_REFUSED, false);
		break;
	case BH__ATTEMPT_UNREACHABLE:
		give_up_attempt_(n, e, BH__RELEASE_FAILED, answering && e->resumes > 0);
		break;
	case BH__ATTEMPT_BROKEN:
		bh__crashes_note_broken(n, e, member->endpoint_id);
		on_broken_(n, e);
		break;
	case BH__ATTEMPT_UNKNOWN:
		give_up_attempt_(n, e, BH__RELEASE_FAILED, true);
		break;
	case BH__ATTEMPT_REJECTED:
		bh__request_finish(n, e, BH__VERDICT_MAY_HAVE_RUN, BH__REASON_ENDPOINT_FAILED, 0, message);
		break;
	}
	bh__node_drain_inbox(n);
}

static void on_segment_done_(BH__Node *n, BH__RequestEntry *e)
{
	tell_progress_(n, e);
	e->segment++;
	bh__attempt_call_member(n, e);
}

/* Calls the engine whose turn it is. */
void bh__attempt_call_member(BH__Node *n, BH__RequestEntry *e)
{
	bh__attempt_call(n, e, e->segment + 1u < count_members_(e) ? BH__CALL_SEGMENT : BH__CALL_ANSWER);
}

/* A connection broke. An answer is resumed on the same engine first: that is the only way which is right for
 * a request that must not be repeated, and the cheapest for any. */
static void on_broken_(BH__Node *n, BH__RequestEntry *e)
{
	if (e->state == BH__REQUEST_SEGMENTS) {
		give_up_attempt_(n, e, BH__RELEASE_FAILED, false);
		return;
	}
	e->may_have_run = true;
	if (e->is_service || e->resumes >= RESUMES_MAX_) {
		give_up_attempt_(n, e, BH__RELEASE_FAILED, true);
		return;
	}
	e->state = BH__REQUEST_PAUSED;
	e->pause_end = BH__PAUSE_RESUME;
	e->wake_us = n->now_us + bh__attempt_get_pause_us(e->resumes);
	e->resumes++;
	n->counters.resumes++;
}

/* Ends an attempt that failed and tries another endpoint, or ends the request. */
static void give_up_attempt_(BH__Node *n, BH__RequestEntry *e, BH__ReleaseKind kind, bool may_have_run)
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

/* Tells engines to drop what they hold for the attempt: the gang's earlier members, and the last as well if
 * `with_last`. */
void bh__attempt_cancel(BH__Node *n, const BH__RequestEntry *e, bool with_last)
{
	for (unsigned i = 0; i + !with_last < count_members_(e); i++) {
		const BH__GrantMember *member;
		const BH__RequestPart *part = find_member_(e, i, &member);
		n->ports->attempt_cancel(n->ports, part->grant.grant_id, member->endpoint_id);
	}
}

/* Gives back all grants that the request holds. */
void bh__attempt_release(BH__Node *n, BH__RequestEntry *e, BH__ReleaseKind kind, uint64_t failed_endpoint)
{
	for (unsigned p = 0; p < e->granted_count; p++) {
		BH__Grant *g = &e->part[p].grant;
		BH__Message m = {.type = BH__MESSAGE_RELEASE};
		m.as.release.pool_id = g->pool_id;
		m.as.release.grant_id = g->grant_id;
		m.as.release.kind = kind;
		m.as.release.failed_endpoint = kind == BH__RELEASE_FAILED ? failed_endpoint : BH__NO_ENDPOINT;
		g_hash_table_remove(n->by_attempt, &g->grant_id);
		send_to_scheduler_(n, g->pool_id, &m);
	}
	e->granted_count = 0;
}

/* Plans another attempt, if the request may be tried again, the budget allows it and time is left. */
static void retry_(BH__Node *n, BH__RequestEntry *e, BH__Reason reason)
{
	bool allowed = (e->repeatable || !e->may_have_run) && !(e->is_service && e->pieces > 0);
	uint64_t wake_us = n->now_us + bh__attempt_get_pause_us(e->attempts);

	if (allowed && e->attempts < ATTEMPTS_MAX_ && wake_us < e->deadline_us && bh__retry_take(&n->retry)) {
		e->state = BH__REQUEST_PAUSED;
		e->pause_end = BH__PAUSE_ASK;
		e->wake_us = wake_us;
		e->tried_count = 0;
		n->counters.retries++;
		bh__node_event(n, BH__EVENT_RETRY, e->request_id, 0, NULL, BH__ReasonString[reason], e->attempts);
		return;
	}
	n->counters.retries_denied += allowed;
	bh__request_finish(n, e, bh__request_get_failure_verdict(e), reason, 1000,
					   "the endpoints tried have failed");
}

uint64_t bh__attempt_get_pause_us(uint32_t attempts)
{
	return MIN(PAUSE_FIRST_US_ << MIN(attempts, 10u), PAUSE_MAX_US_);
}

bool bh__requests_hold_attempt(const BH__Node *n, uint64_t attempt_id)
{
	return g_hash_table_contains(n->by_attempt, &attempt_id);
}
