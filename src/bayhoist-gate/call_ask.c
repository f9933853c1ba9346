/* SPDX-License-Identifier: BSD-3-Clause */
/* The ask of a call for engines: when it is sent, when it is repeated while its scheduler has not answered,
 * and when this node places the prompt by itself. A dispatch whose endpoint is silent is left only once there
 * is another endpoint for the request: its answer may still come, and the other one may not be had. */
#include "call_internal.h"

#include "bayhoist/ask_timeout.h"
#include "clock.h"
#include "log.h"

#define BYTES_PER_TOKEN 4 /* estimate for a prompt whose token count the caller doesn't give */
#define QUEUED_REPEAT_US (200 * BH__MS_US) /* interval at which a queued request repeats its ask */

static void fill_ask_(Call *c);
static void fill_backoffs_(Call *c);
static bool may_replace_(const Call *c, uint64_t now_us);
static void repeat_ask_(Call *c, uint64_t now_us);
static void ask_locally_(Call *c, uint64_t now_us);

/* Returns the name of the node that was asked, or "unknown" if it is no member any more. */
const char *call_scheduler_name(const Call *c)
{
	const BH__MemberInfo *info = bh__members_find(c->gate->members, c->admission.asked_node);

	return info ? info->name : "unknown";
}

/* Returns true if the call's ask has not been answered with a grant. */
bool call_awaits_grant(const Call *c)
{
	return c->state == CALL_ASKING || c->is_replacing;
}

/* Asks the scheduler for engines, anew if an ask is pending. A dispatch that is to be replaced goes on
 * meanwhile. */
void call_ask(Call *c)
{
	cluster_drop_ask(c->gate->cluster, c);
	fill_ask_(c);
	if (!c->is_replacing)
		c->state = CALL_ASKING;
	c->queued = false;
	c->asked_us = clock_now_us();
	c->unanswered_since_us = c->asked_us;
	call_set_timer(c, c->asked_us);
	cluster_ask(c->gate->cluster, c);
}

/* Fills in the call's ask. Its times are relative, in microseconds; the time that the caller waited in
 * earlier tries counts against the first-token target. */
static void fill_ask_(Call *c)
{
	const RequestMeta *m = &c->request->meta;
	uint64_t now_us = clock_now_us();
	uint64_t target_us = c->request->arrived_us + c->rule->target_ms * BH__MS_US;
	uint64_t before_us = MIN(c->waited_before_us, target_us);
	BH__Ask *a = &c->admission.ask;

	memset(a, 0, sizeof *a);
	a->prompt_tokens = m->prompt_tokens ? m->prompt_tokens : c->request->body->len / BYTES_PER_TOKEN + 1;
	a->max_tokens = call_get_answer_tokens(c);
	a->deadline_us = c->retry.deadline_us - now_us;
	a->first_event_us = target_us - before_us > now_us ? target_us - before_us - now_us : 1;
	a->event_gap_us = c->rule->event_gap_ms * BH__MS_US;
	a->priority_level = c->owner && c->owner->has_priority ? c->owner->priority : c->rule->priority;
	if (c->is_replacing)
		a->avoid[a->avoid_count++] = c->endpoint_id;
	for (unsigned i = 0; i < c->retry.tried_count && a->avoid_count < BH__AVOID_MAX; i++)
		a->avoid[a->avoid_count++] = c->retry.tried[i];
	fill_backoffs_(c);
}

/* Lists in the ask the engines from which this node backs off. Called whenever the ask is sent. */
static void fill_backoffs_(Call *c)
{
	BH__Ask *a = &c->admission.ask;

	a->backoff_count = (uint8_t)bh__registry_list_backoffs(c->gate->registry, c->service->name,
														   clock_now_us(), a->backoff, BH__BACKOFF_MAX);
}

/* Returns when the ask is repeated, or decided by this node. */
uint64_t call_get_ask_due_us(const Call *c)
{
	return c->asked_us + (c->queued ? QUEUED_REPEAT_US : BH__ASK_REPEAT_US);
}

/* Repeats an ask that was queued or not answered, or lets this node place the prompt if the scheduler has
 * been silent for too long. */
void call_process_ask_due(Call *c, uint64_t now_us)
{
	if (c->queued || cluster_awaits(c->gate->cluster, c->admission.asked_node) ||
		now_us < c->unanswered_since_us + bh__ask_get_timeout_us(&c->admission.ask))
		repeat_ask_(c, now_us);
	else
		ask_locally_(c, now_us);
}

/* Sends the current ask again, with the current list of backoffs. */
static void repeat_ask_(Call *c, uint64_t now_us)
{
	if (c->queued)
		c->unanswered_since_us = now_us;
	c->queued = false;
	c->asked_us = now_us;
	call_set_timer(c, now_us);
	fill_backoffs_(c);
	cluster_resend_ask(c->gate->cluster, c);
}

/* Lets this node's own planner answer the ask. */
static void ask_locally_(Call *c, uint64_t now_us)
{
	c->gate->counters.local_grants++;
	log_event("alone", "request=%s scheduler=%s waited_ms=%" G_GUINT64_FORMAT, c->request->meta.request_id,
			  call_scheduler_name(c), (now_us - c->unanswered_since_us) / BH__MS_US);
	c->asked_us = now_us;
	call_set_timer(c, now_us);
	fill_backoffs_(c);
	cluster_ask_locally(c->gate->cluster, c);
}

/* Probes or looks at a dispatch whose endpoint is silent. If another one is to be looked for, asks the
 * scheduler for engines and keeps the dispatch meanwhile, or leaves it at once for another plain endpoint.
 * The retry is taken from the budget beforehand, so that no more engines are asked for than may be used. May
 * free the call. */
void call_process_silence(Call *c, uint64_t now_us)
{
	BH__ServiceRetryBudget *budget = gate_get_budget(c->gate, c->service->name);

	if (!silent_dispatch_look(c, budget, now_us) || !call_is_sendable(c) ||
		(!c->service->is_engine && !silences_has_other(c, now_us))) {
		call_set_timer(c, now_us);
	}
	else if (!c->service->is_engine) {
		dispatch_end(c, BH__DISPATCH_UNRESPONSIVE);
	}
	else {
		bh__service_retry_budget_take(budget);
		c->is_replacing = true;
		call_ask(c);
	}
}

/* Processes the grant for the dispatch that is to follow a silent one: ends that one, after which the grant
 * and the retry that was taken are used. Keeps it, and returns the grant, if the request can't go on there.
 * May free the call. */
void call_use_replacement(Call *c)
{
	if (may_replace_(c, clock_now_us())) {
		c->is_replacing = false;
		c->retry.has_retry = true;
		dispatch_end(c, BH__DISPATCH_UNRESPONSIVE);
	}
	else {
		call_stop_replacing(c);
		cluster_release_next(c->gate->cluster, c);
	}
}

/* Returns true if the grant for the next dispatch can be used. Memory that must be reserved first may be
 * refused, but an engine that does not come back is not waited for. */
static bool may_replace_(const Call *c, uint64_t now_us)
{
	return call_is_sendable(c) && call_find_unusable(c, &c->admission.next) == BH__NO_ENDPOINT &&
		   bh__retry_state_may_dispatch_again(&c->retry, now_us);
}

/* Ends the search for engines in place of that of a silent dispatch, if there is one: the dispatch has ended
 * or goes on, or none can be had for now. */
void call_stop_replacing(Call *c)
{
	if (!c->is_replacing)
		return;
	c->is_replacing = false;
	bh__service_retry_budget_return(gate_get_budget(c->gate, c->service->name));
	cluster_drop_ask(c->gate->cluster, c);
	c->silence.looked_us = clock_now_us();
	call_set_timer(c, c->silence.looked_us);
}
