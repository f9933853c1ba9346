/* SPDX-License-Identifier: BSD-3-Clause */
/* The state machine of one caller's request: matches it with a route, places it, dispatches it and answers
 * the caller. The library's retry_state.c decides whether it may be dispatched again, the planner behind
 * schedulers.c which engines run it; each dispatch and its answer are in dispatch.c. */
#include "call_internal.h"

#include <string.h>
#include "bayhoist/ask_timeout.h"
#include "bayhoist/hash.h"
#include "bayhoist/last_endpoints.h"
#include "clock.h"
#include "crashes.h"
#include "links.h"
#include "log.h"

/* A permit for a rate-limited endpoint is valid for this time, so that a request counted in one second isn't
 * sent in another. */
#define PERMIT_VALID_MS 500
/* Share of the time left to the first-token target for which a request may wait for a permit; the rest is for
 * the answer. */
#define PERMIT_WAIT_SHARE 0.5
#define UNUSED_GRANTS_MAX 5 /* a request that has had more unusable grants than this is refused */
/* Time allowed for evaluating a crash before the request is sent again: the liveness probe of the endpoint
 * and the reports of other nodes take 60 ms and a few hops. A request that had met three crashes and was sent
 * again at once met a fourth one 30 ms later. */
#define EVALUATION_MAX_MS 120
/* Retry-after while a service has endpoints only in halls that drain: as long as that has lasted, within
 * these bounds. */
#define RETRY_DRAIN_MIN_MS 1000
#define RETRY_DRAIN_MAX_MS 10000

static const char *const StateString_[] = {"starting", "asking",    "reserving",
										   "permit",   "suspected", "sending"};

static void begin_(Call *c);
static bool admit_(Call *c);
static uint64_t retry_no_endpoint_ms_(const Call *c);
static void find_endpoint_(Call *c);
static void abandon_no_endpoint_(Call *c);
static void ask_permit_(Call *c, const BH__RegisteredEndpoint *e);
static void use_permit_(Call *c);
static bool is_stale_(uint64_t counted_us);
static void dispatch_(Call *c, uint64_t endpoint_id);
static void use_grant_(Call *c);
static void return_grant_(Call *c, uint64_t unusable_endpoint);
static void on_memory_(void *ctx, bool held);
static void retry_(Call *c);
static void relay_failure_(Call *c);
static void finish_(Call *c, CallOutcome outcome, const char *reason);
static uint64_t starting_until_us_(const Call *c);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static void check_time_(Call *c, uint64_t now_us);

/* Creates the call of a caller's request and begins it, or lets it wait for the startup state. Returns the
 * call, or NULL if the request has been answered already and the call is freed. */
Call *call_start(Gate *g, Inbound *in)
{
	Call *c = g_new0(Call, 1);

	c->gate = g;
	c->in = in;
	c->request = inbound_get_request(in);
	c->body = evbuffer_new();
	answer_buffer_count(g, c->body);
	c->timer = evtimer_new(g->base, on_timer_, c);
	c->head.headers = g_string_new(NULL);
	g_hash_table_add(g->calls, c);
	g->counters.requests++;
	if (bh__startup_state_get_progress(&g->startup_state, clock_now_us()) == BH__STARTUP_STATE_PENDING)
		call_set_timer(c, clock_now_us());
	else
		begin_(c);
	/* begin_() may have ended and freed the call */
	return g_hash_table_contains(g->calls, c) ? c : NULL;
}

/* Admits and places a request after the wait for the startup state. May free the call. */
static void begin_(Call *c)
{
	c->state = CALL_ASKING;
	if (!admit_(c))
		return;
	bh__service_retry_budget_note_request(gate_get_budget(c->gate, c->service->name));
	find_endpoint_(c);
}

/* Processes a change of the startup state: the configuration, the endpoints or the duties have been read, or
 * a read has failed. Begins the calls in CALL_STARTING unless a part of that state is still being read. */
void calls_process_startup_state(Gate *g)
{
	BH__StartupProgress state;
	GList *all;

	if (gate_has_endpoints(g))
		cluster_process_deferred(g->cluster);
	state = bh__startup_state_get_progress(&g->startup_state, clock_now_us());
	if (state == BH__STARTUP_STATE_PENDING || g->startup_complete)
		return;
	g->startup_complete = state == BH__STARTUP_STATE_COMPLETE;
	all = g_hash_table_get_keys(g->calls);
	for (GList *it = all; it; it = it->next) {
		Call *c = it->data;
		if (g_hash_table_contains(g->calls, c) && c->state == CALL_STARTING)
			begin_(c);
	}
	g_list_free(all);
}

/* Matches the request with a route, an account and a service, and computes its deadline. Returns false if the
 * request was refused; the call is freed then. */
static bool admit_(Call *c)
{
	const InboundRequest *r = c->request;
	uint64_t now_us = clock_now_us();
	uint64_t time_us;

	if (call_refuse_unrouted(c))
		return false;
	c->service = bh__routing_find_service(
		c->routing, bh__route_rule_pick_service(c->rule, bh__hash_name(r->meta.request_id)));
	time_us = c->rule->timeout_ms * BH__MS_US;
	if (r->meta.time_left_us && (!time_us || r->meta.time_left_us < time_us))
		time_us = r->meta.time_left_us;
	bh__retry_state_init(&c->retry, c->rule, r->arrived_us + time_us);
	bh__answer_assembly_init(&c->answer, c->rule->streams && strcmp(r->method, "HEAD") != 0);
	if (r->meta.time_left_us)
		c->waited_before_us = call_record_caller_time(c);
	call_set_subjects(c);
	call_log_admitted(c, now_us, time_us);
	g_strlcpy(c->admission.service, c->service->name, sizeof c->admission.service);
	return true;
}

/* Returns the retry-after in milliseconds for a service without a usable endpoint: until an endpoint takes
 * requests again if that time is known, otherwise by how long its halls have drained. */
static uint64_t retry_no_endpoint_ms_(const Call *c)
{
	uint64_t now_us = clock_now_us();
	uint64_t since_us = bh__registry_get_drained_since_us(c->gate->registry, c->service->name, now_us);
	uint64_t taking_us = bh__registry_get_available_us(c->gate->registry, c->service->name, now_us);

	if (taking_us > now_us)
		return (taking_us - now_us) / BH__MS_US + 1;
	if (!since_us)
		return RETRY_SOON_MS;
	return CLAMP((now_us - since_us) / BH__MS_US, RETRY_DRAIN_MIN_MS, RETRY_DRAIN_MAX_MS);
}

/* Refuses a request that has not run with an answer of the gateway's own, and frees the call.
 * `retry_after_ms` 0: no retry is suggested. */
void call_refuse(Call *c, int status, uint64_t retry_after_ms, const char *code, const char *message)
{
	if (c->in)
		inbound_send_error(c->in, status, retry_after_ms, code, message);
	c->in = NULL;
	finish_(c, CALL_REFUSED, code);
}

/* Finds an endpoint for the next dispatch: asks the scheduler for engines, or picks one of the registered
 * endpoints of another service. May free the call. */
static void find_endpoint_(Call *c)
{
	Gate *g = c->gate;
	uint64_t now_us = clock_now_us();
	BH__RegisteredEndpoint *e;

	if (now_us >= c->retry.deadline_us) {
		call_act(c, bh__retry_state_process_deadline(&c->retry));
		return;
	}
	if (call_abandon_unsendable(c))
		return;
	if (c->service->is_engine) {
		if (cluster_use_next(c))
			use_grant_(c);
		else if (bh__registry_get_available_us(g->registry, c->service->name, now_us))
			abandon_no_endpoint_(c);
		else
			call_ask(c);
		return;
	}
	e = silences_pick_endpoint(c, now_us);
	if (e && bh__endpoint_rate_is_limited(&e->rate, now_us))
		ask_permit_(c, e);
	else if (e)
		dispatch_(c, e->endpoint_id);
	else
		abandon_no_endpoint_(c);
}

/* Ends a request whose service has no endpoint that can take it now. */
static void abandon_no_endpoint_(Call *c)
{
	call_abandon(c, retry_no_endpoint_ms_(c), "no-endpoint",
				 "no endpoint of the service can take the request");
}

/* Asks the home node of a rate-limited endpoint for a permit. Accepts a wait only if the service has no
 * unlimited endpoint. */
static void ask_permit_(Call *c, const BH__RegisteredEndpoint *e)
{
	uint64_t now_us = clock_now_us();
	uint64_t target_us = c->request->arrived_us + c->rule->target_ms * BH__MS_US;
	uint64_t left_us =
		target_us > now_us + c->waited_before_us ? target_us - now_us - c->waited_before_us : 0;

	if (bh__registry_has_unlimited(c->gate->registry, c->service->name, now_us))
		left_us = 0;
	c->state = CALL_PERMIT;
	c->permit_endpoint = e->endpoint_id;
	c->send_at_us = 0;
	c->asked_us = now_us;
	call_set_timer(c, now_us);
	cluster_ask_permit(c->gate->cluster, c, e, (uint64_t)((double)left_us * PERMIT_WAIT_SHARE));
}

/* Processes the home node's answer to a permit request. If `granted`, the request may be dispatched after
 * `wait_us`; otherwise the endpoint is full for `wait_us`, and another one is tried. */
void call_on_permit(Call *c, bool granted, uint64_t wait_us)
{
	uint64_t now_us = clock_now_us();
	BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, c->permit_endpoint);

	if (c->state != CALL_PERMIT)
		return;
	if (granted) {
		c->send_at_us = now_us + wait_us;
		if (wait_us)
			call_set_timer(c, now_us);
		else
			use_permit_(c);
		return;
	}
	if (e)
		e->no_grant_until_us = now_us + MAX(wait_us, BH__MS_US);
	find_endpoint_(c);
}

/* Dispatches with a permit, or places the request anew if the endpoint takes no work any more or the permit
 * has expired. */
static void use_permit_(Call *c)
{
	if (call_endpoint_is_usable(c, c->permit_endpoint) && !is_stale_(c->send_at_us))
		dispatch_(c, c->permit_endpoint);
	else
		find_endpoint_(c);
}

/* Returns true if a request that was counted against a rate limit at `counted_us` may not be sent any more,
 * because this node was suspended or the request waited for memory for too long. */
static bool is_stale_(uint64_t counted_us)
{
	return clock_now_us() > counted_us + PERMIT_VALID_MS * BH__MS_US;
}

/* Dispatches the request to an endpoint. Checks the deadline, the quarantine and the node's own stop again,
 * since the node may have been suspended, or the request quarantined, after the endpoint was granted. */
static void dispatch_(Call *c, uint64_t endpoint_id)
{
	if (clock_now_us() >= c->retry.deadline_us)
		call_act(c, bh__retry_state_process_deadline(&c->retry));
	else if (!call_abandon_unsendable(c))
		dispatch_start(c, endpoint_id);
}

/* Ends the calls with a subject that has just been quarantined, except those whose answer has begun. Closing
 * a connection spares an endpoint that has not begun to run the request a crash, since endpoints drop a
 * request whose connection is closed. */
void calls_process_quarantined(Gate *g, const BH__Fingerprint *f)
{
	GList *all = g_hash_table_get_keys(g->calls);

	for (GList *it = all; it; it = it->next) {
		Call *c = it->data;
		if (!g_hash_table_contains(g->calls, c) || c->state == CALL_STARTING ||
			!bh__crash_subjects_contain(&c->subjects, f) || !crashes_is_quarantined(g->crashes, &c->subjects))
			continue;
		if (c->state != CALL_DISPATCHED)
			call_abandon_unsendable(c);
		else if (!c->retry.answer_begun && !evbuffer_get_length(c->body))
			dispatch_end(c, BH__DISPATCH_STOPPED);
	}
	g_list_free(all);
}

/* Ends a request that can't be placed: refuses it with `code` and `message` if it has not run, and otherwise
 * takes the action that the retry state names. */
void call_abandon(Call *c, uint64_t retry_after_ms, const char *code, const char *message)
{
	BH__NextAction next = bh__retry_state_process_no_endpoint(&c->retry);

	if (next == BH__NEXT_ACTION_REFUSE)
		call_refuse(c, 503, retry_after_ms, code, message);
	else
		call_act(c, next);
}

/* Returns the call's admission state, which schedulers.c and limits.c change. */
CallAdmission *call_get_admission(Call *c)
{
	return &c->admission;
}

/* Processes the scheduler's notice that the ask is queued: restarts the timer and logs the first notice. */
void call_on_queued(Call *c)
{
	if (!c->queued_logged)
		log_event("queued", "request=%s scheduler=%s", c->request->meta.request_id, call_scheduler_name(c));
	c->queued_logged = true;
	c->queued = true;
	c->asked_us = clock_now_us();
	call_set_timer(c, c->asked_us);
}

/* Asks again when the node that was asked is gone or no longer schedules the service. */
void call_on_scheduler_lost(Call *c)
{
	if (call_awaits_grant(c))
		call_ask(c);
}

/* Processes the scheduler's refusal: ends the request, or asks again if the scheduler refused because it is
 * leaving. */
void call_on_refuse(Call *c, BH__Reason reason, uint64_t retry_after_ms)
{
	if (!call_awaits_grant(c))
		return;
	if (reason == BH__REASON_NO_ENDPOINT)
		retry_after_ms = MAX(retry_after_ms, retry_no_endpoint_ms_(c));
	log_event("refuse", "request=%s cause=%s scheduler=%s retry_after_ms=%" G_GUINT64_FORMAT,
			  c->request->meta.request_id, BH__ReasonString[reason], call_scheduler_name(c), retry_after_ms);
	if (reason == BH__REASON_NODE_LEAVING)
		call_ask(c);
	else if (c->is_replacing)
		call_stop_replacing(c);
	else
		call_abandon(c, retry_after_ms, BH__ReasonString[reason], "no engine can take the request in time");
}

/* Processes the grant in the call's admission state. Returns it if the call no longer waits for it. */
void call_on_grant(Call *c)
{
	bh__histogram_add(&c->gate->counters.grant_wait, clock_now_us() - c->asked_us);
	if (c->is_replacing)
		call_use_replacement(c);
	else if (c->state == CALL_ASKING)
		use_grant_(c);
	else
		cluster_release(c->gate->cluster, c, BH__RELEASE_UNUSED, BH__NO_ENDPOINT);
}

/* Returns true if the endpoint is registered and takes work now. */
bool call_endpoint_is_usable(const Call *c, uint64_t endpoint_id)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, endpoint_id);

	return e && bh__registry_may_send(c->gate->registry, e, clock_now_us());
}

/* Dispatches to the granted engines, or first reserves memory on the helpers that need it. Returns the grant
 * if a needed engine takes no work any more. */
static void use_grant_(Call *c)
{
	const BH__Grant *g = &c->admission.grant;
	uint64_t unusable = call_find_unusable(c, g);
	bool needs_memory = false;

	if (unusable) {
		return_grant_(c, unusable);
		return;
	}
	for (unsigned i = 1; i < g->member_count; i++)
		needs_memory |= g->member[i].kv_bytes > 0;
	if (!needs_memory) {
		dispatch_(c, g->member[0].endpoint_id);
		return;
	}
	c->state = CALL_RESERVING;
	c->memory = memory_hold_new(c->gate, g, on_memory_, c);
	call_set_timer(c, clock_now_us());
}

/* Returns the id of an engine of the grant that is needed and takes no work or is gone, or BH__NO_ENDPOINT. A
 * helper without reserved memory is not needed. */
uint64_t call_find_unusable(const Call *c, const BH__Grant *g)
{
	for (unsigned i = 0; i < g->member_count; i++) {
		bool needed = i == 0 || g->member[i].kv_bytes > 0;
		if (needed && !call_endpoint_is_usable(c, g->member[i].endpoint_id))
			return g->member[i].endpoint_id;
	}
	return BH__NO_ENDPOINT;
}

/* Returns a grant unused and asks for another; refuses the request after UNUSED_GRANTS_MAX such grants.
 * `unusable_endpoint`: the engine that is the cause and is avoided from now on, or BH__NO_ENDPOINT if the
 * grant is too old. */
static void return_grant_(Call *c, uint64_t unusable_endpoint)
{
	cluster_release(c->gate->cluster, c, BH__RELEASE_UNUSED, BH__NO_ENDPOINT);
	if (unusable_endpoint != BH__NO_ENDPOINT)
		bh__retry_state_note_tried(&c->retry, unusable_endpoint);
	if (++c->unused_grants > UNUSED_GRANTS_MAX)
		call_abandon(c, RETRY_SOON_MS, "not-run", "no endpoint ran the request");
	else
		call_ask(c);
}

/* Dispatches once the memory on the helpers is held; returns the grant if it can't be had. Checks the engines
 * again, since one may have gone in the meantime, and its address with it. */
static void on_memory_(void *ctx, bool held)
{
	Call *c = ctx;
	const BH__Grant *g = &c->admission.grant;
	uint64_t unusable = held ? call_find_unusable(c, g) : g->member[g->member_count - 1].endpoint_id;
	const BH__RegisteredEndpoint *home = bh__registry_find(c->gate->registry, g->member[0].endpoint_id);
	bool is_old = home && bh__endpoint_rate_is_limited(&home->rate, clock_now_us()) &&
				  is_stale_(c->admission.granted_us);

	if (!unusable && !is_old) {
		dispatch_(c, g->member[0].endpoint_id);
		return;
	}
	memory_hold_delete(c->memory);
	c->memory = NULL;
	return_grant_(c, unusable);
}

/* Takes the next action after a dispatch has ended or the call has run out of time. May free the call. */
void call_act(Call *c, BH__NextAction next)
{
	Gate *g = c->gate;

	switch (next) {
	case BH__NEXT_ACTION_DONE:
		dispatch_complete_answer(c);
		finish_(c, CALL_SERVED, "served");
		break;
	case BH__NEXT_ACTION_PASS_THROUGH:
		relay_failure_(c);
		break;
	case BH__NEXT_ACTION_SEND:
	case BH__NEXT_ACTION_RESUME:
		g->counters.repeats++;
		g->counters.resumes += next == BH__NEXT_ACTION_RESUME;
		retry_(c);
		break;
	case BH__NEXT_ACTION_REFUSE:
		call_refuse(c, 503, retry_no_endpoint_ms_(c), "not-run", "no endpoint ran the request");
		break;
	case BH__NEXT_ACTION_FAIL:
		inbound_send_error(c->in, 502, 0, "endpoint-failed", "the endpoint failed; the request may have run");
		finish_(c, CALL_FAILED, "endpoint-failed");
		break;
	case BH__NEXT_ACTION_TIME_OUT:
		inbound_send_error(c->in, 504, 0, "deadline", "the request's time is up; it may have run");
		finish_(c, CALL_FAILED, "deadline");
		break;
	case BH__NEXT_ACTION_BREAK_OFF:
		inbound_abort(c->in);
		finish_(c, CALL_FAILED, "broken-off");
		break;
	}
}

/* Places the request again, at once or, if it is suspected of a crash, after that has been evaluated. */
static void retry_(Call *c)
{
	if (!c->awaits_evaluation) {
		find_endpoint_(c);
		return;
	}
	c->state = CALL_SUSPECTED;
	c->suspected_us = clock_now_us();
	call_set_timer(c, c->suspected_us);
}

/* Relays an endpoint's failure response unchanged. A 408, 429 or 503 tells the caller that the request did
 * not run; one without proof that the endpoint gave it is replaced by the gateway's own failure. */
static void relay_failure_(Call *c)
{
	bool promises = c->head.status == 503 || c->head.status == 429 || c->head.status == 408;

	if (promises && !c->head.meta.has_mac) {
		call_act(c, BH__NEXT_ACTION_FAIL);
		return;
	}
	inbound_answer_complete(c->in, c->head.status, c->head.reason, c->head.headers, c->body);
	finish_(c, CALL_FAILED, "endpoint-answered-failure");
}

/* Ends the call of a caller that has closed its connection. Closing the connection to the endpoint notifies
 * the endpoint. */
void call_on_caller_gone(Call *c)
{
	c->in = NULL;
	finish_(c, CALL_CALLER_GONE, "caller-gone");
}

/* Ends and frees a call whose caller has been answered or is gone: cancels its dispatch, releases what it
 * holds and records its outcome. `reason` is for the log. */
static void finish_(Call *c, CallOutcome outcome, const char *reason)
{
	Gate *g = c->gate;
	uint64_t now_us = clock_now_us();

	if (c->out) {
		outbound_cancel(c->out);
		bh__registry_note_end(g->registry, c->endpoint_id, c->endpoint_incarnation,
							  BH__ENDPOINT_OUTCOME_ABANDONED, now_us);
	}
	call_stop_replacing(c);
	cluster_drop_ask(g->cluster, c);
	cluster_release_next(g->cluster, c);
	cluster_release(g->cluster, c, BH__RELEASE_DONE, BH__NO_ENDPOINT);
	memory_hold_delete(c->memory);
	g->counters.outcomes[outcome]++;
	if (outcome == CALL_SERVED) {
		bh__histogram_add(&g->counters.whole, now_us - c->request->arrived_us);
		call_record_answer_time(c, now_us - c->sent_us);
	}
	log_event("end",
			  "request=%s route=%s outcome=%s status=%d state=%s sendings=%u may_have_run=%s "
			  "pause_ms=%" G_GUINT64_FORMAT " took_ms=%" G_GUINT64_FORMAT " configuration=%" G_GUINT64_FORMAT,
			  c->request->meta.request_id, c->rule ? c->rule->name : "", reason, c->head.status,
			  StateString_[c->state], c->retry.dispatches, c->retry.may_have_run ? "yes" : "no",
			  c->longest_pause_us / BH__MS_US, (now_us - c->request->arrived_us) / BH__MS_US,
			  c->routing ? bh__routing_get_version(c->routing) : 0);
	g_hash_table_remove(g->calls, c);
	event_free(c->timer);
	answer_buffer_stop_counting(g, c->body);
	evbuffer_free(c->body);
	g_string_free(c->head.headers, TRUE);
	bh__routing_unref(c->routing);
	g_free(c);
}

/* Returns until when a request waits for the startup state: as long as a read of it is in progress and the
 * caller waits. */
static uint64_t starting_until_us_(const Call *c)
{
	uint64_t until_us = bh__startup_state_get_wait_until_us(&c->gate->startup_state);
	uint64_t left_us = c->request->meta.time_left_us;

	return left_us ? MIN(until_us, c->request->arrived_us + left_us) : until_us;
}

/* Sets the call's timer to the next time at which check_time_() has something to do. */
void call_set_timer(Call *c, uint64_t now_us)
{
	uint64_t due_us = MIN(c->retry.deadline_us, silent_dispatch_get_due_us(c));
	struct timeval tv;

	if (c->state == CALL_STARTING)
		due_us = starting_until_us_(c);
	if (c->state == CALL_SUSPECTED)
		due_us = MIN(due_us, c->suspected_us + EVALUATION_MAX_MS * BH__MS_US);
	if (c->state == CALL_PERMIT)
		due_us = MIN(due_us, c->send_at_us ? c->send_at_us : c->asked_us + BH__ASK_REPEAT_US);
	if (call_awaits_grant(c))
		due_us = MIN(due_us, call_get_ask_due_us(c));
	due_us = due_us > now_us ? due_us - now_us : 0;
	tv.tv_sec = (time_t)(due_us / BH__SECOND_US);
	tv.tv_usec = (suseconds_t)(due_us % BH__SECOND_US);
	evtimer_add(c->timer, &tv);
}

/* Timer callback of a call. */
static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	check_time_(arg, clock_now_us());
}

/* Takes the action that is due in the call's state, if any, and sets the timer again. May free the call. */
static void check_time_(Call *c, uint64_t now_us)
{
	if (c->state == CALL_STARTING && now_us < starting_until_us_(c)) {
		call_set_timer(c, now_us);
	}
	else if (c->state == CALL_STARTING) {
		begin_(c);
	}
	else if (now_us >= c->retry.deadline_us) {
		c->retry.may_have_run |= c->state == CALL_DISPATCHED && c->out && outbound_is_connected(c->out);
		call_act(c, bh__retry_state_process_deadline(&c->retry));
	}
	else if (c->state == CALL_SUSPECTED && now_us >= c->suspected_us + EVALUATION_MAX_MS * BH__MS_US) {
		find_endpoint_(c);
	}
	else if (c->state == CALL_PERMIT && c->send_at_us && now_us >= c->send_at_us) {
		use_permit_(c);
	}
	else if (c->state == CALL_PERMIT && !c->send_at_us && now_us >= c->asked_us + BH__ASK_REPEAT_US) {
		log_event("limit", "what=unanswered request=%s home=%s", c->request->meta.request_id,
				  call_scheduler_name(c));
		cluster_drop_ask(c->gate->cluster, c);
		call_on_permit(c, false, RETRY_SOON_MS * BH__MS_US);
	}
	else if (now_us >= silent_dispatch_get_due_us(c)) {
		call_process_silence(c, now_us);
	}
	else if (call_awaits_grant(c) && now_us >= call_get_ask_due_us(c)) {
		call_process_ask_due(c, now_us);
	}
	else {
		call_set_timer(c, now_us);
	}
}

/* Frees all calls without an answer to their callers, at the end of the process. */
void calls_free(Gate *g)
{
	GList *all = g_hash_table_get_keys(g->calls);

	for (GList *it = all; it; it = it->next) {
		Call *c = it->data;
		c->in = NULL;
		finish_(c, CALL_FAILED, "node-stopped");
	}
	g_list_free(all);
}
