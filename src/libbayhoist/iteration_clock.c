/* SPDX-License-Identifier: BSD-3-Clause */
/* Estimates the progress of an engine's prefill work. */
#include "iteration_clock.h"

#include <glib.h>
#include <string.h>

/* Time from the dispatch of a call to its start on an idle engine. */
#define IDLE_START_DELAY_US_ (2 * BH__MS_US)
#define SLOWDOWN_WEIGHT_ 0.25 /* weight of one observation in the moving average */
#define SLOWDOWN_MIN_ 1.0
#define SLOWDOWN_MAX_ 12.0
/* Time constant with which the slowdown factor returns to 1 without new observations. */
#define SLOWDOWN_DECAY_US_ (4 * BH__SECOND_US)
#define NETWORK_MS_ 8.0          /* network share of an observed time */
#define OBSERVATION_MIN_MS_ 20.0 /* shorter times depend more on the network than on the engine */
#define RATIO_MAX_ 20.0
#define ITERATIONS_PER_ADVANCE_MAX_ 10000 /* bounds the work of one call */
#define PREFILL_DONE_MS_ 0.01             /* a part with less time left counts as prefilled */
/* A new part overtakes the older ones. It may do so if it is shorter than this share of what is left of each
 * of them. Shares from 0.1 to 0.8 were compared with bench_placement. */
#define OVERTAKE_SHARE_ 0.2
#define OVERTAKE_IGNORED_MS_ 0.7 /* an older part with no more time left does not limit a new one */
/* Time until a granted part reaches its engine: the grant goes to a node, which connects to an engine, which
 * notifies its helpers. */
#define DELIVERY_US_ (8 * BH__MS_US)
#define PREFILLED_RETENTION_US_ (2 * BH__SECOND_US) /* an observed iteration is no longer than this */
/* An observed iteration that exceeds the longest one possible by this factor and time was delayed outside the
 * engine. */
#define ITERATION_FACTOR_MAX_ 1.3
#define ITERATION_EXTRA_MS_ 50.0

static void prefill_steps_(BH__IterationClock *c, double ms);
static void begin_iteration_(BH__IterationClock *c, const BH__EngineModel *m, bool observed, uint64_t now_us);
static void end_iteration_(BH__IterationClock *c);
static void mark_prefilled_(BH__IterationClock *c, unsigned count);
static void remove_prefilled_(BH__IterationClock *c, uint64_t grant_id);
static double max_iteration_ms_(const BH__IterationClock *c, const BH__EngineModel *m);
static double iteration_headroom_ms_(const BH__IterationClock *c, const BH__EngineModel *m, uint64_t now_us);
static double first_iteration_ms_(const BH__IterationClock *c, const BH__EngineModel *m);
static double slack_ms_(const BH__PrefillPart *p, double end_ms, uint64_t now_us);
static double target_slack_ms_(const BH__PrefillPart *p, double end_ms, uint64_t now_us);
static int find_part_(const BH__IterationClock *c, uint64_t grant_id);
static int next_part_(const BH__IterationClock *c, int before);
static void remove_helper_parts_(BH__IterationClock *c, uint64_t before_us);

void bh__iteration_clock_init(BH__IterationClock *c)
{
	memset(c, 0, sizeof *c);
	c->parts = g_array_new(FALSE, FALSE, sizeof(BH__PrefillPart));
	c->prefilled = g_array_new(FALSE, FALSE, sizeof(BH__PrefillPart));
	c->slowdown = 1;
}

void bh__iteration_clock_clear(BH__IterationClock *c)
{
	g_array_unref(c->parts);
	g_array_unref(c->prefilled);
}

static BH__PrefillPart *part_(const BH__IterationClock *c, int index)
{
	return &g_array_index(c->parts, BH__PrefillPart, index);
}

/* Advances the estimate to `now_us`: the slowdown factor decays towards 1, and prefill steps or iterations
 * that end by then complete. Does nothing if `now_us` is not later than the last call. */
void bh__iteration_clock_advance(BH__IterationClock *c, const BH__EngineModel *m, uint64_t now_us)
{
	uint64_t last_us = c->advanced_us;

	if (now_us <= last_us)
		return;
	if (c->slowdown > 1)
		c->slowdown -= (c->slowdown - 1) * MIN((double)(now_us - last_us) / (double)SLOWDOWN_DECAY_US_, 1);
	c->advanced_us = now_us;
	if (!c->streams) {
		prefill_steps_(c, (double)(now_us - last_us) / 1000 / c->slowdown);
		return;
	}
	for (unsigned i = 0; c->iteration_end_us <= now_us && i < ITERATIONS_PER_ADVANCE_MAX_; i++) {
		end_iteration_(c);
		begin_iteration_(c, m, false, c->iteration_end_us);
	}
}

/* Prefills for `ms` milliseconds at slowdown factor 1, in the engine's order, and removes the parts that are
 * complete. */
static void prefill_steps_(BH__IterationClock *c, double ms)
{
	int i;

	while (ms > 0 && (i = next_part_(c, -1)) >= 0) {
		BH__PrefillPart *p = part_(c, i);
		double spent_ms = MIN(p->left_ms, ms);
		ms -= spent_ms;
		p->left_ms -= spent_ms;
		if (p->left_ms < PREFILL_DONE_MS_)
			g_array_remove_index(c->parts, (guint)i);
	}
}

/* Returns the index of the part that the engine prefills after the part `before`, or of the first one if
 * `before` is -1. Returns -1 if there is none. */
static int next_part_(const BH__IterationClock *c, int before)
{
	int n = (int)c->parts->len;
	bool in_helper_parts = before < 0 || part_(c, before)->for_helper;

	for (int i = before < 0 ? n - 1 : before - 1; in_helper_parts && i >= 0; i--)
		if (part_(c, i)->for_helper)
			return i;
	for (int i = in_helper_parts ? 0 : before + 1; i < n; i++)
		if (!part_(c, i)->for_helper)
			return i;
	return -1;
}

/* Begins an iteration at `now_us`, a time that was `observed` or predicted, that prefills all parts that have
 * reached the engine by then. */
static void begin_iteration_(BH__IterationClock *c, const BH__EngineModel *m, bool observed, uint64_t now_us)
{
	double ms = bh__engine_model_iteration_ms(m, c->streams, c->context_tokens);

	for (c->iteration_part_count = 0; c->iteration_part_count < c->parts->len; c->iteration_part_count++) {
		const BH__PrefillPart *p = part_(c, (int)c->iteration_part_count);
		if (p->added_us + DELIVERY_US_ > now_us)
			break;
		ms += p->left_ms;
	}
	c->iteration_start_us = now_us;
	c->start_observed = observed;
	c->iteration_end_us = now_us + (uint64_t)(c->slowdown * 1000 * ms) + 1;
}

/* Ends the current iteration: its parts count as prefilled. */
static void end_iteration_(BH__IterationClock *c)
{
	mark_prefilled_(c, c->iteration_part_count);
	c->iteration_part_count = 0;
}

/* Moves the first `count` parts to `prefilled`. A later observation may return them to `parts`; those older
 * than PREFILLED_RETENTION_US_ are removed for good. */
static void mark_prefilled_(BH__IterationClock *c, unsigned count)
{
	if (!count)
		return;
	g_array_append_vals(c->prefilled, c->parts->data, count);
	g_array_remove_range(c->parts, 0, count);
	while (c->prefilled->len &&
		   g_array_index(c->prefilled, BH__PrefillPart, 0).added_us + PREFILLED_RETENTION_US_ <
			   c->advanced_us)
		g_array_remove_index(c->prefilled, 0);
}

/* Removes a part from `prefilled`, once the end of its prefill is certain or no longer matters. */
static void remove_prefilled_(BH__IterationClock *c, uint64_t grant_id)
{
	for (guint i = c->prefilled->len; i-- > 0;)
		if (g_array_index(c->prefilled, BH__PrefillPart, i).grant_id == grant_id)
			g_array_remove_index(c->prefilled, i);
}

/* Records the observation of a stream that an iteration of `duration_us` ended at `now_us`. Parts that had
 * not reached the engine at its start belong to the next iteration, including those already counted as
 * prefilled. Without this correction, parts granted for two iterations end up in one, which accounted for two
 * thirds of the long pauses of streams (64 of 99 in a simulated day of 60 engines). An iteration longer than
 * the granted work explains is ignored. */
void bh__iteration_clock_note_iteration(BH__IterationClock *c, const BH__EngineModel *m, uint64_t duration_us,
										uint64_t now_us)
{
	uint64_t start_us = now_us - MIN(now_us, duration_us);
	unsigned prefilled_count = 0;

	if (!c->streams ||
		(double)duration_us / 1000 > max_iteration_ms_(c, m) * ITERATION_FACTOR_MAX_ + ITERATION_EXTRA_MS_)
		return;
	while (c->prefilled->len) {
		BH__PrefillPart last = g_array_index(c->prefilled, BH__PrefillPart, c->prefilled->len - 1);
		if (last.added_us + DELIVERY_US_ <= start_us)
			break;
		g_array_prepend_val(c->parts, last);
		g_array_set_size(c->prefilled, c->prefilled->len - 1);
	}
	while (prefilled_count < c->parts->len &&
		   part_(c, (int)prefilled_count)->added_us + DELIVERY_US_ <= start_us)
		prefilled_count++;
	mark_prefilled_(c, prefilled_count);
	begin_iteration_(c, m, true, now_us);
}

/* Returns the longest duration in ms that a recent iteration can have had with the work granted for it. */
static double max_iteration_ms_(const BH__IterationClock *c, const BH__EngineModel *m)
{
	double ms = bh__engine_model_iteration_ms(m, c->streams, c->context_tokens);

	for (guint i = 0; i < c->parts->len; i++)
		ms += part_(c, (int)i)->left_ms;
	for (guint i = 0; i < c->prefilled->len; i++)
		ms += g_array_index(c->prefilled, BH__PrefillPart, i).left_ms;
	return ms * c->slowdown;
}

/* Returns the prefill time in ms, at slowdown factor 1, of the parts outside the current iteration. */
double bh__iteration_clock_get_backlog_ms(const BH__IterationClock *c)
{
	double ms = 0;

	for (guint i = c->iteration_part_count; i < c->parts->len; i++)
		ms += part_(c, (int)i)->left_ms;
	return ms;
}

/* Returns the prefill time in ms, at slowdown factor 1, of those parts of the current iteration that may in
 * truth share the next one with what is added now: the engine may have begun the iteration earlier than
 * estimated, before they reached it, or it may begin it later, when the new part has reached it as well.
 * Without counting them, parts planned for two iterations meet in one, which then exceeds its limit. */
double bh__iteration_clock_get_uncertain_ms(const BH__IterationClock *c, uint64_t now_us)
{
	uint64_t predicted_us = c->iteration_end_us - MIN(c->iteration_end_us, c->iteration_start_us);
	uint64_t error_us = c->start_observed ? DELIVERY_US_ : predicted_us / 2;
	bool may_begin_later = now_us < c->iteration_start_us + error_us;
	double ms = 0;

	for (guint i = 0; i < c->iteration_part_count; i++) {
		const BH__PrefillPart *p = part_(c, (int)i);
		if (may_begin_later || p->added_us + DELIVERY_US_ + error_us > c->iteration_start_us)
			ms += p->left_ms;
	}
	return ms;
}

/* Returns the time in ms until the predicted end of the current iteration; 0 also if there is none. */
double bh__iteration_clock_get_iteration_left_ms(const BH__IterationClock *c, uint64_t now_us)
{
	return c->iteration_end_us > now_us ? (double)(c->iteration_end_us - now_us) / 1000 : 0;
}

/* Returns the predicted duration in ms of the next iteration with `extra_ms` of prefill added to its work.
 * Without streams this is the iteration that begins with the first stream. */
double bh__iteration_clock_predict_next_iteration_ms(const BH__IterationClock *c, const BH__EngineModel *m,
													 double extra_ms)
{
	return c->slowdown * (bh__engine_model_iteration_ms(m, c->streams, c->context_tokens) +
						  bh__iteration_clock_get_backlog_ms(c) + extra_ms);
}

/* Returns the predicted time at which the prefill of a part would end that is granted now and takes
 * `prefill_ms` at slowdown factor 1. */
uint64_t bh__iteration_clock_predict_prefill_end(const BH__IterationClock *c, const BH__EngineModel *m,
												 double prefill_ms, bool for_helper, uint64_t now_us)
{
	uint64_t start_us = MAX(c->iteration_end_us, now_us + IDLE_START_DELAY_US_);
	double ms;

	if (c->streams && c->iteration_end_us < now_us + DELIVERY_US_) /* the part misses the next iteration */
		ms = bh__iteration_clock_predict_next_iteration_ms(c, m, 0) +
			 c->slowdown * (bh__engine_model_iteration_ms(m, c->streams, c->context_tokens) + prefill_ms);
	else if (c->streams)
		ms = bh__iteration_clock_predict_next_iteration_ms(c, m, prefill_ms);
	else if (for_helper)
		ms = c->slowdown * (m->step_ms + prefill_ms);
	else
		ms = c->slowdown * (m->step_ms + bh__iteration_clock_get_backlog_ms(c) + prefill_ms) +
			 first_iteration_ms_(c, m);
	return start_us + (uint64_t)(ms * 1000);
}

/* Returns the time in ms of the decode steps in the first iteration, if an answer begins before the engine
 * has prefilled all waiting parts: with its first event the engine switches from steps to iterations. Returns
 * 0 if no prompt of the engine itself waits. */
static double first_iteration_ms_(const BH__IterationClock *c, const BH__EngineModel *m)
{
	for (guint i = 0; i < c->parts->len; i++)
		if (!part_(c, (int)i)->for_helper)
			return c->slowdown * bh__engine_model_iteration_ms(m, 1, 0);
	return 0;
}

/* Returns the headroom: the longest prefill in ms, at slowdown factor 1, that a new part may take without
 * making a waiting prompt late and without overtaking one that is not much longer. Returns G_MAXDOUBLE if
 * nothing limits it. */
double bh__iteration_clock_get_headroom_ms(const BH__IterationClock *c, const BH__EngineModel *m,
										   uint64_t now_us)
{
	double headroom_ms = G_MAXDOUBLE;
	double end_ms = 0;

	if (c->streams)
		return iteration_headroom_ms_(c, m, now_us);
	for (int i = next_part_(c, -1); i >= 0; i = next_part_(c, i)) {
		const BH__PrefillPart *p = part_(c, i);
		double slack_ms;
		end_ms += p->left_ms * c->slowdown;
		if (p->left_ms <= OVERTAKE_IGNORED_MS_)
			continue;
		slack_ms = slack_ms_(p, end_ms, now_us);
		headroom_ms = MIN(headroom_ms, p->left_ms * OVERTAKE_SHARE_);
		if (slack_ms > 0)
			headroom_ms = MIN(headroom_ms, slack_ms / c->slowdown);
	}
	return headroom_ms;
}

/* Returns the slack in ms of a part whose prefill ends `end_ms` from now: up to `due_us` if it ends before
 * that time, otherwise up to `target_us`. A negative result means that the request is late. */
static double slack_ms_(const BH__PrefillPart *p, double end_ms, uint64_t now_us)
{
	double due_ms = ((double)p->due_us - (double)now_us) / 1000 - end_ms;

	return due_ms > 0 ? due_ms : target_slack_ms_(p, end_ms, now_us);
}

/* Returns the time in ms from the end of a part's prefill, `end_ms` from now, to `target_us`. */
static double target_slack_ms_(const BH__PrefillPart *p, double end_ms, uint64_t now_us)
{
	return ((double)p->target_us - (double)now_us) / 1000 - end_ms;
}

/* Returns the headroom in ms of an engine with streams. Such an engine prefills all waiting parts in its next
 * iteration. */
static double iteration_headroom_ms_(const BH__IterationClock *c, const BH__EngineModel *m, uint64_t now_us)
{
	double end_ms = bh__iteration_clock_get_iteration_left_ms(c, now_us) +
					bh__iteration_clock_predict_next_iteration_ms(c, m, 0);
	double headroom_ms = G_MAXDOUBLE;

	for (guint i = c->iteration_part_count; i < c->parts->len; i++) {
		double slack_ms = slack_ms_(part_(c, (int)i), end_ms, now_us);
		if (slack_ms > 0)
			headroom_ms = MIN(headroom_ms, slack_ms / c->slowdown);
	}
	return headroom_ms;
}

/* Returns the delay cost of a new part of `prefill_ms` at slowdown factor 1: the utility of the waiting
 * prompts that it would make late by overtaking their parts. */
double bh__iteration_clock_get_delay_cost(const BH__IterationClock *c, double prefill_ms, uint64_t now_us)
{
	double end_ms = 0;
	double delay_cost = 0;

	for (int i = next_part_(c, -1); i >= 0; i = next_part_(c, i)) {
		const BH__PrefillPart *p = part_(c, i);
		double slack_ms;
		end_ms += p->left_ms * c->slowdown;
		slack_ms = target_slack_ms_(p, end_ms, now_us);
		if (slack_ms > 0 && slack_ms < prefill_ms * c->slowdown)
			delay_cost += p->utility;
	}
	return delay_cost;
}

/* Adds a part that is sent to the engine at `now_us`. The caller must have advanced the clock before. */
void bh__iteration_clock_add_part(BH__IterationClock *c, const BH__PrefillPart *part, uint64_t now_us)
{
	BH__PrefillPart p = *part;

	p.added_us = now_us;
	c->advanced_us = MAX(c->advanced_us, now_us);
	g_array_append_val(c->parts, p);
}

/* Returns the index of the part of a grant in `parts`; -1: there is none. */
static int find_part_(const BH__IterationClock *c, uint64_t grant_id)
{
	for (guint i = 0; i < c->parts->len; i++)
		if (part_(c, (int)i)->grant_id == grant_id)
			return (int)i;
	return -1;
}

/* Removes the part of a request that was abandoned before the end of its prefill. If the current iteration
 * includes the part, the iteration ends earlier by the time left for the part. */
void bh__iteration_clock_remove_part(BH__IterationClock *c, uint64_t grant_id, uint64_t now_us)
{
	int i = find_part_(c, grant_id);
	uint64_t left_us;

	remove_prefilled_(c, grant_id);
	if (i < 0)
		return;
	left_us = (uint64_t)(part_(c, i)->left_ms * c->slowdown * 1000);
	if ((unsigned)i < c->iteration_part_count) {
		c->iteration_part_count--;
		c->iteration_end_us =
			c->iteration_end_us > now_us + left_us ? c->iteration_end_us - left_us : now_us + 1;
	}
	g_array_remove_index(c->parts, (guint)i);
}

/* Removes the parts for other engines that were added before `before_us`: their prefill has ended. */
static void remove_helper_parts_(BH__IterationClock *c, uint64_t before_us)
{
	for (guint i = c->parts->len; i-- > 0;)
		if (part_(c, (int)i)->for_helper && part_(c, (int)i)->added_us < before_us)
			g_array_remove_index(c->parts, i);
}

/* Records at `now_us` that the answer to a request has begun, so the prefill of its part has ended. If
 * `without_helpers` is set, no other engine prefilled for the request: the iteration of the part has just
 * ended, or, without streams, all parts for other engines were prefilled before it. Otherwise the answer
 * began when the last of its engines finished, which shows nothing about the iterations of the other engines
 * or of the answering engine. */
void bh__iteration_clock_note_prefilled(BH__IterationClock *c, const BH__EngineModel *m, uint64_t grant_id,
										bool without_helpers, uint64_t now_us)
{
	int i = find_part_(c, grant_id);
	bool in_iteration = i >= 0 && (unsigned)i < c->iteration_part_count;

	remove_prefilled_(c, grant_id);
	if (i >= 0 && (!in_iteration || !without_helpers)) {
		g_array_remove_index(c->parts, (guint)i);
		c->iteration_part_count -= in_iteration;
	}
	if (!c->streams && without_helpers)
		remove_helper_parts_(c, now_us - MIN(now_us, DELIVERY_US_));
	if (!c->streams || !without_helpers)
		return;
	if (i >= 0)
		end_iteration_(c); /* the engine is ahead of the estimate */
	begin_iteration_(c, m, true, now_us);
}

/* Adds a stream, whose answer begins at `now_us`. The first stream starts the iterations. */
void bh__iteration_clock_begin_stream(BH__IterationClock *c, const BH__EngineModel *m,
									  uint64_t context_tokens, uint64_t now_us)
{
	c->streams++;
	c->context_tokens += context_tokens;
	if (c->streams == 1)
		begin_iteration_(c, m, true, now_us);
}

/* Removes a stream. Iterations end with the last one. */
void bh__iteration_clock_end_stream(BH__IterationClock *c, uint64_t context_tokens)
{
	c->streams -= c->streams > 0;
	c->context_tokens -= MIN(c->context_tokens, context_tokens);
	if (c->streams)
		return;
	end_iteration_(c); /* the last event of a stream marks the end of an iteration */
	c->iteration_end_us = 0;
}

/* Updates the slowdown factor from a duration predicted at slowdown factor 1 and the duration observed.
 * Ignores predictions shorter than OBSERVATION_MIN_MS_. */
void bh__iteration_clock_observe(BH__IterationClock *c, double expected_ms, double observed_ms)
{
	double ratio;

	if (expected_ms < OBSERVATION_MIN_MS_)
		return;
	ratio = CLAMP((observed_ms - NETWORK_MS_) / expected_ms, 0, RATIO_MAX_);
	c->slowdown = CLAMP(c->slowdown + SLOWDOWN_WEIGHT_ * (ratio - c->slowdown), SLOWDOWN_MIN_, SLOWDOWN_MAX_);
}

/* Sets the slowdown factor to the one that the engine reports about itself, within the bounds. */
void bh__iteration_clock_set_slowdown(BH__IterationClock *c, double factor, uint64_t now_us)
{
	c->slowdown = CLAMP(factor, SLOWDOWN_MIN_, SLOWDOWN_MAX_);
	c->advanced_us = MAX(c->advanced_us, now_us);
}
