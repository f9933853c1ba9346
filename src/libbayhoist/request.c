/* SPDX-License-Identifier: BSD-3-Clause */
/* Callers' requests on their entry node: asks for grants, timers and the verdict. Every request ends through
 * exactly one call of bh__request_finish(), at its deadline at the latest. Admission is in admission.c,
 * attempts are in attempt.c. */
#include "node_internal.h"

#include <string.h>

#define RESEND_ASK_US_ (2 * BH__SECOND_US)
/* Before an ask is resent because the pool has another scheduler now. */
#define SCHEDULER_MOVED_PAUSE_US_ (10 * BH__MS_US)

const char *const BH__RequestStateString[] = {"quota", "asking", "segments", "answer", "paused"};

static void send_ask_(BH__Node *n, BH__RequestEntry *e);
static void wake_(BH__Node *n, BH__RequestEntry *e);

/* Frees a request entry; the destroy function of the table of requests. */
void bh__requests_free(gpointer entry)
{
	BH__RequestEntry *e = entry;
	if (e->answer)
		g_string_free(e->answer, TRUE);
	g_free((char *)e->model);
	g_free(e);
}

/* Chooses the pool or pools for the request and asks for the first grant. Returns false if no pool is left to
 * ask. */
bool bh__request_ask(BH__Node *n, BH__RequestEntry *e)
{
	const BH__Policy *policy = bh__catalog_get_policy(bh__config_get_catalog(n->config));
	BH__Route *route;

	e->granted_count = 0;
	e->part_count = bh__parts_plan(n->routes, e->model_id, e->kv_bytes, e->prompt_tokens, e->part);
	if (!e->part_count) {
		e->ask.kv_bytes = e->kv_bytes;
		e->ask.prompt_tokens = e->prompt_tokens;
		route = bh__routes_choose(n->routes, e->model_id, &e->ask, policy, n->options.self.hall,
								  e->tried_pool, e->tried_count, n->now_us);
		if (!route)
			return false;
		e->part_count = 1;
		e->part[0] =
			(BH__RequestPart){.pool_id = route->pool_id, .first_token = 0, .token_count = e->prompt_tokens};
	}
	bh__request_ask_part(n, e);
	return true;
}

/* Asks for a grant for the next part. Parts are asked for one at a time, in the order of their pools' ids, so
 * that two requests that need the same pools cannot deadlock by each holding what the other waits for. */
void bh__request_ask_part(BH__Node *n, BH__RequestEntry *e)
{
	const BH__RequestPart *part = &e->part[e->granted_count];
	BH__Route *route = bh__routes_find(n->routes, part->pool_id);

	e->ask.prompt_tokens = part->token_count;
	e->ask.kv_bytes = (uint64_t)((double)e->kv_bytes * (double)part->token_count / (double)e->prompt_tokens);
	e->ask.pool_id = part->pool_id;
	e->ask.ask_id = bh__node_new_id(n);
	e->state = BH__REQUEST_ASKING;
	bh__routes_note_sent(n->routes, route, &e->ask);
	g_hash_table_insert(n->requests_by_ask, &e->ask.ask_id, e);
	send_ask_(n, e);
}

/* Sends the outstanding ask to the pool's current scheduler and schedules its resending. */
static void send_ask_(BH__Node *n, BH__RequestEntry *e)
{
	BH__Route *route = bh__routes_find(n->routes, e->ask.pool_id);
	BH__Message m = {.type = BH__MESSAGE_ASK};

	e->scheduler = bh__route_get_scheduler(route, n->members);
	e->wake_us = n->now_us + RESEND_ASK_US_;
	e->ask.deadline_us = e->deadline_us > n->now_us ? e->deadline_us - n->now_us : 0;
	m.as.ask = e->ask;
	bh__node_send(n, e->scheduler, &m);
}

/* Drops the outstanding ask, if any. With `withdraw`, also cancels it at the scheduler. */
void bh__request_drop_ask(BH__Node *n, BH__RequestEntry *e, bool withdraw)
{
	BH__Message m = {.type = BH__MESSAGE_WITHDRAW};

	if (!e->ask.ask_id)
		return;
	m.as.release.pool_id = e->ask.pool_id;
	m.as.release.grant_id = e->ask.ask_id;
	g_hash_table_remove(n->requests_by_ask, &e->ask.ask_id);
	e->ask.ask_id = 0;
	if (withdraw)
		bh__node_send(n, e->scheduler, &m);
}

/* Returns the verdict of a request that ends without a complete answer. */
BH__Verdict bh__request_get_failure_verdict(const BH__RequestEntry *e)
{
	return e->may_have_run ? BH__VERDICT_MAY_HAVE_RUN : BH__VERDICT_NOT_RUN;
}

/* Processes a scheduler's refusal of an ask: asks another pool, or ends the request if none is left. A
 * request with several parts ends at once. */
void bh__requests_process_refuse(BH__Node *n, uint64_t ask_id, BH__Reason reason, uint64_t retry_after_ms)
{
	BH__RequestEntry *e = g_hash_table_lookup(n->requests_by_ask, &ask_id);

	if (!e)
		return;
	if (reason == BH__REASON_NODE_LEAVING) { /* no longer the pool's scheduler: resend the ask shortly */
		e->wake_us = n->now_us + SCHEDULER_MOVED_PAUSE_US_;
		return;
	}
	if (e->tried_count < BH__TRIED_POOLS_MAX)
		e->tried_pool[e->tried_count++] = e->ask.pool_id;
	bh__request_drop_ask(n, e, false);
	bh__attempt_release(n, e, BH__RELEASE_UNUSED, BH__NO_ENDPOINT);
	if (e->part_count == 1 && e->tried_count < BH__TRIED_POOLS_MAX && bh__request_ask(n, e))
		return;
	bh__request_finish(n, e, bh__request_get_failure_verdict(e), reason, retry_after_ms,
					   "no pool can run the request in time");
}

/* Applies a change of membership: moves asks to the current scheduler of their pool and notifies schedulers
 * of the grants that this node holds. */
void bh__requests_process_scheduler_change(BH__Node *n)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->requests);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		BH__RequestEntry *e = value;
		BH__Route *route = bh__routes_find(n->routes, e->ask.pool_id);
		BH__Message m = {.type = BH__MESSAGE_WITHDRAW};
		if (e->state != BH__REQUEST_ASKING || !route ||
			bh__route_get_scheduler(route, n->members) == e->scheduler)
			continue;
		m.as.release.pool_id = e->ask.pool_id;
		m.as.release.grant_id = e->ask.ask_id;
		bh__node_send(n, e->scheduler, &m);
		send_ask_(n, e);
	}
	bh__requests_send_holds(n);
}

/* Notifies each pool's scheduler of the grants that this node holds: in full to a scheduler, or boot of it,
 * that has not been notified before, otherwise by id only. */
void bh__requests_send_holds(BH__Node *n)
{
	for (unsigned i = 0; i < bh__routes_get_count(n->routes); i++) {
		BH__Route *route = bh__routes_get(n->routes, i);
		uint64_t scheduler = bh__route_get_scheduler(route, n->members);
		const BH__MemberInfo *info = bh__members_find(n->members, scheduler);
		BH__Message m = {.type = BH__MESSAGE_HOLD};
		GArray *held = g_array_new(FALSE, FALSE, sizeof(BH__Grant));
		GHashTableIter it;
		gpointer key;
		gpointer value;

		g_hash_table_iter_init(&it, n->requests_by_attempt);
		while (g_hash_table_iter_next(&it, &key, &value)) {
			const BH__RequestEntry *e = value;
			for (unsigned p = 0; p < e->granted_count; p++)
				if (e->part[p].grant.grant_id == *(const uint64_t *)key &&
					e->part[p].pool_id == route->pool_id)
					g_array_append_val(held, e->part[p].grant);
		}
		m.as.hold.pool_id = route->pool_id;
		m.as.hold.full = info && info->boot_id != route->grants_notified_boot;
		m.as.hold.count = held->len;
		m.as.hold.grant = (BH__Grant *)(void *)held->data;
		route->grants_notified_boot = info ? info->boot_id : 0;
		if (scheduler == n->options.self.node_id) {
			BH__Duty *d = bh__duties_find(n, route->pool_id);
			if (d)
				bh__pool_process_hold(d->pool, scheduler, bh__members_get_self(n->members)->boot_id,
									  m.as.hold.full, m.as.hold.grant, m.as.hold.count, n->now_us);
		}
		else if (info && info->state == BH__MEMBER_ALIVE && (held->len || route->grants_notified_count)) {
			bh__node_send(n, scheduler, &m);
		}
		route->grants_notified_count = held->len;
		g_array_unref(held);
	}
}

/* Ends requests whose deadline has passed, resumes those whose pause is over and resends unanswered asks. */
void bh__requests_process_tick(BH__Node *n)
{
	GList *all = g_hash_table_get_values(n->requests);

	for (GList *it = all; it; it = it->next) {
		BH__RequestEntry *e = it->data;
		if (n->now_us >= e->deadline_us)
			bh__request_finish(n, e, bh__request_get_failure_verdict(e), BH__REASON_DEADLINE, 1000,
							   "request deadline exceeded");
		else if ((e->state == BH__REQUEST_PAUSED || e->state == BH__REQUEST_ASKING) &&
				 n->now_us >= e->wake_us)
			wake_(n, e);
	}
	g_list_free(all);
}

/* Resends a request's ask or does what its pause was for. A request that is quarantined by now ends. */
static void wake_(BH__Node *n, BH__RequestEntry *e)
{
	if (bh__crashes_end_held(n, e))
		return;
	if (e->state == BH__REQUEST_ASKING)
		send_ask_(n, e);
	else if (e->pause_action == BH__PAUSE_RESUME)
		bh__attempt_call(n, e, BH__CALL_RESUME);
	else if (e->pause_action == BH__PAUSE_CALL_AGAIN)
		bh__attempt_call_current_member(n, e);
	else if (!bh__request_ask(n, e))
		bh__request_finish(n, e, bh__request_get_failure_verdict(e), BH__REASON_NO_ENDPOINT, 1000,
						   "no endpoint currently serves the model");
}

/* Processes a caller's disconnection: ends its request, as nobody waits for the answer. */
void bh__node_process_caller_gone(BH__Node *n, uint64_t request_id, uint64_t now_us)
{
	BH__RequestEntry *e = g_hash_table_lookup(n->requests, &request_id);

	n->now_us = now_us;
	if (!e)
		return;
	/* a running request with an idempotency key continues, so that a caller retry gets its outcome */
	if (e->idempotency_entry && (e->state == BH__REQUEST_SEGMENTS || e->state == BH__REQUEST_ANSWER ||
								 (e->state == BH__REQUEST_PAUSED && e->pause_action != BH__PAUSE_ASK)))
		return;
	bh__request_finish(n, e, bh__request_get_failure_verdict(e), BH__REASON_CALLER_GONE, 0, NULL);
	bh__node_drain_inbox(n);
}

/* Ends a request: releases its grants, records its outcome under its idempotency key and reports it to the
 * caller. Frees `e`. `retry_after_ms` 0 suggests no caller retry; `message` may be NULL. The reported verdict
 * is MAY_HAVE_RUN rather than NOT_RUN if an answer is being generated. */
void bh__request_finish(BH__Node *n, BH__RequestEntry *e, BH__Verdict verdict, BH__Reason reason,
						uint64_t retry_after_ms, const char *message)
{
	BH__Outcome outcome = {.verdict = verdict,
						   .reason = reason,
						   .retry_after_ms = retry_after_ms,
						   .attempts = e->attempts,
						   .message = message};
	uint64_t id = e->request_id;

	bh__request_drop_ask(n, e, true);
	if (e->granted_count) {
		if (verdict != BH__VERDICT_RAN && e->state == BH__REQUEST_ANSWER)
			outcome.verdict = BH__VERDICT_MAY_HAVE_RUN; /* the attempt is in progress */
		bh__attempt_cancel(n, e, verdict != BH__VERDICT_RAN);
		bh__attempt_release(n, e, BH__RELEASE_DONE, BH__NO_ENDPOINT);
	}
	if (e->idempotency_entry) {
		BH__IdempotencyOutcome kept = {.verdict = outcome.verdict, .reason = reason};
		if (verdict == BH__VERDICT_RAN && e->answer) {
			kept.answer = e->answer->str;
			kept.answer_len = e->answer->len;
		}
		bh__idempotency_finish(n->idempotency_table, e->idempotency_entry, &kept);
	}
	n->counters.finished[outcome.verdict]++;
	if (outcome.verdict == BH__VERDICT_RAN)
		bh__histogram_add(&n->counters.total_us, n->now_us - e->arrived_us);
	n->counters.live--;
	bh__node_event(n, BH__EVENT_FINISH, id, 0, BH__ReasonString[reason], BH__VerdictString[outcome.verdict],
				   (n->now_us - e->arrived_us) / BH__MS_US);
	g_hash_table_steal(n->requests, &id);
	n->ports->answer_end(n->ports, id, &outcome);
	bh__requests_free(e);
}

/* Ends every request, because the node is shutting down. */
void bh__requests_finish_all(BH__Node *n)
{
	GList *all = g_hash_table_get_values(n->requests);

	for (GList *it = all; it; it = it->next)
		bh__request_finish(n, it->data, bh__request_get_failure_verdict(it->data), BH__REASON_NODE_LEAVING,
						   1000, "the node is shutting down");
	g_list_free(all);
}
