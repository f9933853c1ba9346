/* SPDX-License-Identifier: BSD-3-Clause */
/* How long callers wait and answers take on a call's route, and what follows from that for the call. */
#include "call_internal.h"

#include "clock.h"

#define DEFAULT_ANSWER_TOKENS 1000 /* longest answer assumed if the caller gives no maximum */
/* A token takes up to this many decode steps while the engine prefills other prompts. */
#define GENERATE_FACTOR 2
#define ESTIMATE_FACTOR 2         /* an answer is up to this many times as long as the caller estimates */
#define ESTIMATE_EXTRA_TOKENS 200 /* and up to this many tokens longer in addition */

static RouteTimes *route_times_(const Call *c);
static BH__AnswerTime *answer_time_(const Call *c);
static BH__SilenceHistory *silence_history_(const Call *c);
static uint64_t expected_answer_us_(const Call *c);
static double generate_ms_(const Call *c);

/* Records the time for which the caller still waits. Returns the estimate, in microseconds, of its wait in
 * earlier tries. */
uint64_t call_record_caller_time(const Call *c)
{
	return bh__caller_time_record(&route_times_(c)->caller, c->request->meta.time_left_us);
}

/* Returns the observed times of the request's route; creates the record for a new route. */
static RouteTimes *route_times_(const Call *c)
{
	GHashTable *all = c->gate->route_times;
	RouteTimes *t = g_hash_table_lookup(all, c->rule->name);

	if (t)
		return t;
	t = g_new0(RouteTimes, 1);
	bh__caller_time_init(&t->caller, c->rule->timeout_ms * BH__MS_US);
	g_hash_table_insert(all, g_strdup(c->rule->name), t);
	return t;
}

/* Records that a request was served, `took_us` after its dispatch. Silences of the endpoint are not part of
 * the answer's time. */
void call_record_answer_time(const Call *c, uint64_t took_us)
{
	bh__answer_time_record(answer_time_(c), took_us - MIN(c->silence_us, took_us), expected_answer_us_(c));
}

/* Notes that the endpoint has gone on after `gap_us` without a part of its answer. A late beginning is put
 * down to a silence only if all endpoints were silent: an engine that has much to do begins late, too. */
void call_note_gap(Call *c, uint64_t gap_us)
{
	bool has_begun = c->progress_notified && c->answer.body == BH__ANSWER_BODY_EVENTS;
	uint64_t max_wait_us = bh__response_max_wait_us(c->rule, c->service->is_engine, has_begun);
	uint64_t excess_us = bh__silence_get_excess_us(gap_us, max_wait_us);

	if (!excess_us || (!has_begun && !c->silence.all_silent_us))
		return;
	c->silence_us += excess_us;
	bh__silence_history_record(silence_history_(c), gap_us, clock_now_us());
}

/* Returns the longest recent silence of the request's service, in microseconds; 0: none. */
uint64_t call_longest_silence_us(const Call *c)
{
	return bh__silence_history_get_longest_us(silence_history_(c), clock_now_us());
}

/* Returns the observed silences of the request's service; creates the record for a new service. */
static BH__SilenceHistory *silence_history_(const Call *c)
{
	GHashTable *all = c->gate->silence_histories;
	BH__SilenceHistory *h = g_hash_table_lookup(all, c->service->name);

	if (h)
		return h;
	h = g_new0(BH__SilenceHistory, 1);
	g_hash_table_insert(all, g_strdup(c->service->name), h);
	return h;
}

/* Returns the observed times from dispatch to end of answers, for the request's route and size of prompt. */
static BH__AnswerTime *answer_time_(const Call *c)
{
	return &route_times_(c)->answer[bh__size_class(c->request->meta.prompt_tokens)];
}

/* Returns the expected time from dispatch to the end of the answer, in microseconds: the time to the
 * first-token target plus the time to generate the answer. At least 1. */
static uint64_t expected_answer_us_(const Call *c)
{
	return (uint64_t)MAX(((double)c->rule->target_ms + generate_ms_(c)) * BH__MS_US, 1);
}

/* Returns how long an idle engine takes to generate an answer of call_get_answer_tokens() tokens, in
 * milliseconds; 0 for other endpoints. */
static double generate_ms_(const Call *c)
{
	return c->service->is_engine ? (double)call_get_answer_tokens(c) * c->service->engine.step_ms : 0;
}

/* Returns an upper bound of the answer's length in tokens, by the caller's maximum and estimate. */
uint64_t call_get_answer_tokens(const Call *c)
{
	const RequestMeta *m = &c->request->meta;
	uint64_t max_tokens = m->max_tokens ? m->max_tokens : DEFAULT_ANSWER_TOKENS;

	return m->likely_tokens ? MIN(max_tokens, m->likely_tokens * ESTIMATE_FACTOR + ESTIMATE_EXTRA_TOKENS)
							: max_tokens;
}

/* Returns true if this node has observed answers of the request's kind. */
bool call_has_observed_answers(const Call *c)
{
	return answer_time_(c)->mean > 0;
}

/* Returns a time from dispatch to end, in microseconds, that the answer rarely exceeds: by the answers that
 * this node has observed, or, if there are none, by the time after which an endpoint counts as unresponsive
 * plus the time that its engine takes for as many tokens as the caller allows. */
uint64_t call_longest_answer_us(const Call *c)
{
	uint64_t seen_us = bh__answer_time_get_upper_bound_us(answer_time_(c), expected_answer_us_(c));

	if (seen_us)
		return seen_us;
	return bh__response_max_wait_us(c->rule, c->service->is_engine, false) +
		   (uint64_t)(generate_ms_(c) * GENERATE_FACTOR) * BH__MS_US;
}
