/* SPDX-License-Identifier: BSD-3-Clause */
/* When a waiting ask may start: on engines where it delays nobody, or, after a wait, where its utility is
 * higher than what it costs others. */
#include "start_rules.h"

#include <math.h>
#include "bayhoist/planner.h"

/* A request first waits for a placement that makes no running stream late. After this share of its
 * first-event target it may make streams late whose utility is lower than its own. */
#define DELAY_WAIT_SHARE_TIGHT_ 0.05
#define DELAY_WAIT_SHARE_ 0.6
#define DELAY_LEAD_MS_ 400 /* time for the running iterations to end and for the longer ones that follow */
/* Callers abandon a request whose stream has not started after the longest of: the floor, these multiples of
 * the first-event target and of the event gap. A request that can no longer be in time waits behind all
 * others for MAX_WAIT_SHARE_ of that time, but no longer than MAX_WAIT_DEADLINE_SHARE_ of its deadline. */
#define MAX_WAIT_FLOOR_US_ (2 * BH__SECOND_US)
#define MAX_WAIT_TARGETS_ 4
#define MAX_WAIT_GAPS_ 8
#define MAX_WAIT_SHARE_ 0.75
#define MAX_WAIT_DEADLINE_SHARE_ 0.45
#define DEFAULT_FIRST_EVENT_US_ BH__SECOND_US
/* A late long prompt may occupy engines that generate no answer for LATE_PREFILL_SHARE_ of the time that its
 * caller still waits; the rest is for the answer. This applies only while recent long prompts that could be
 * in time, averaged over LONG_WORK_DECAY_US_, used less than LONG_WORK_MAX_SHARE_ of the engines. Otherwise
 * late prompts would make others late. */
#define LONG_WORK_DECAY_US_ (3.0 * BH__SECOND_US)
#define LONG_WORK_MAX_SHARE_ 0.3
#define LATE_PREFILL_SHARE_ 0.33

static double recent_work_ms_(const BH__LongWork *l, uint64_t now_us);
static double idle_prefill_ms_(const BH__LongWork *l, unsigned engines, const BH__Ask *remaining,
							   uint64_t now_us);
static bool may_delay_others_(const BH__EngineModel *m, const BH__Ask *ask, uint64_t waited_us);
static bool find_delaying_(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *remaining,
						   uint64_t now_us, BH__Placement *placement);
static bool may_delay_others_late_(const BH__Ask *ask, uint64_t waited_us);
static bool find_delaying_late_(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *remaining,
								uint64_t now_us, BH__Placement *placement);

/* Returns the time in microseconds from the arrival of an ask after which its first event is late. */
uint64_t bh__start_rules_first_event_target_us(const BH__Ask *ask)
{
	return ask->first_event_us ? ask->first_event_us : DEFAULT_FIRST_EVENT_US_;
}

/* Returns the maximum wait of a late request for a placement, in microseconds. */
uint64_t bh__start_rules_max_wait_us(const BH__Ask *ask)
{
	uint64_t us = MAX(MAX_WAIT_FLOOR_US_, MAX(bh__start_rules_first_event_target_us(ask) * MAX_WAIT_TARGETS_,
											  ask->event_gap_us * MAX_WAIT_GAPS_));

	return MIN((uint64_t)((double)us * MAX_WAIT_SHARE_),
			   (uint64_t)((double)ask->deadline_us * MAX_WAIT_DEADLINE_SHARE_));
}

/* Returns true if the first event can no longer be in time, even if the prompt is split over the maximum
 * number of engines. */
bool bh__start_rules_is_late(const BH__EngineModel *m, const BH__Ask *ask, uint64_t waited_us)
{
	double min_ms = bh__engine_model_prefill_ms(m, ask->prompt_tokens, BH__GRANT_MEMBERS_MAX);

	return waited_us + (uint64_t)(min_ms * 1000) >= bh__start_rules_first_event_target_us(ask);
}

/* Returns true if a prompt is long: one engine would take longer for it than the longest iteration, so that
 * its start depends on several engines at a time. */
bool bh__start_rules_is_long(const BH__EngineModel *m, uint64_t prompt_tokens, uint64_t event_gap_us)
{
	return !bh__placement_is_tight(event_gap_us) &&
		   bh__engine_model_prefill_ms(m, prompt_tokens, 1) > BH__MAX_ITERATION_MS;
}

/* Returns the milliseconds of one engine that an ask uses at most: the prefill of its prompt, and one slot
 * for its longest answer. */
double bh__start_rules_work_ms(const BH__EngineModel *m, const BH__Ask *ask)
{
	double answer_ms =
		(double)ask->max_tokens * bh__engine_model_step_ms(m, m->slots, ask->prompt_tokens + ask->max_tokens);

	return bh__engine_model_prefill_ms(m, ask->prompt_tokens, 1) + answer_ms / m->slots;
}

/* Returns true if the engines have room: under half of the slots or memory of the usable ones is taken, and
 * none of them has prompts waiting. */
bool bh__start_rules_has_room(const BH__EngineModel *m, const GPtrArray *engines, uint64_t now_us)
{
	double taken = 0;
	unsigned usable = 0;

	for (guint i = 0; i < engines->len; i++) {
		const BH__IterationEngine *e = g_ptr_array_index(engines, i);
		if (!bh__iteration_engine_is_usable(e, now_us))
			continue;
		if (bh__iteration_clock_get_backlog_ms(&e->clock) > 0)
			return false;
		usable++;
		taken += MAX((double)e->primaries->len / m->slots, (double)e->kv_used_tokens / (double)m->kv_tokens);
	}
	return taken * 2 < usable;
}

/* Returns the recent work of long prompts as it counts now. */
static double recent_work_ms_(const BH__LongWork *l, uint64_t now_us)
{
	return l->work_ms * exp(-(double)(now_us - l->updated_us) / LONG_WORK_DECAY_US_);
}

/* Adds a new ask to the recent work of long prompts, which need many engines. Prompts of tight streams are
 * not added. */
void bh__long_work_note(BH__LongWork *l, const BH__EngineModel *m, const BH__Ask *ask, uint64_t now_us)
{
	l->work_ms = recent_work_ms_(l, now_us);
	l->updated_us = now_us;
	if (!bh__placement_is_tight(ask->event_gap_us))
		l->work_ms += bh__engine_model_prefill_ms(m, ask->prompt_tokens, 1);
}

/* Returns how many milliseconds the prompt of a late request may be prefilled on an engine that generates no
 * other answer; 0 while long prompts that can be in time need the engines. */
static double idle_prefill_ms_(const BH__LongWork *l, unsigned engines, const BH__Ask *remaining,
							   uint64_t now_us)
{
	double engines_ms = LONG_WORK_DECAY_US_ / 1000 * engines;

	return recent_work_ms_(l, now_us) < engines_ms * LONG_WORK_MAX_SHARE_
			   ? (double)remaining->deadline_us / 1000 * LATE_PREFILL_SHARE_
			   : 0;
}

/* Finds a placement for an ask that has waited for `waited_us`. `late` says that the first event can no
 * longer be in time. Returns false if the ask has to wait. */
bool bh__start_rules_find(const BH__EngineModel *m, GPtrArray *engines, const BH__LongWork *long_work,
						  const BH__Ask *ask, bool late, uint64_t waited_us, uint64_t now_us,
						  BH__Placement *placement)
{
	BH__Ask remaining = *ask; /* the ask with the times that remain at `now_us` */
	uint64_t target_us = bh__start_rules_first_event_target_us(ask);
	double idle_ms;

	remaining.deadline_us = ask->deadline_us - waited_us;
	remaining.first_event_us = late || waited_us >= target_us ? 0 : target_us - waited_us;
	idle_ms = late ? idle_prefill_ms_(long_work, engines->len, &remaining, now_us) : 0;
	if (bh__placement_find(m, engines, &remaining, idle_ms, now_us, placement))
		return true;
	if (late)
		return may_delay_others_late_(ask, waited_us) &&
			   find_delaying_late_(m, engines, &remaining, now_us, placement);
	return may_delay_others_(m, ask, waited_us) && find_delaying_(m, engines, &remaining, now_us, placement);
}

/* Returns true if a request has waited long enough that its placement may make running streams late. The
 * longer the prefill of the prompt takes, the sooner this is the case. */
static bool may_delay_others_(const BH__EngineModel *m, const BH__Ask *ask, uint64_t waited_us)
{
	bool tight = bh__placement_is_tight(ask->event_gap_us);
	double prefill_ms = bh__engine_model_prefill_ms(m, ask->prompt_tokens, BH__GRANT_MEMBERS_MAX);
	double target_us = (double)bh__start_rules_first_event_target_us(ask);
	double latest_us = tight ? target_us : target_us - (prefill_ms + DELAY_LEAD_MS_) * 1000;

	return (double)waited_us >=
		   MIN(latest_us, target_us * (tight ? DELAY_WAIT_SHARE_TIGHT_ : DELAY_WAIT_SHARE_));
}

/* Finds a placement with which the request is in time and the delay cost is lower than the utility gained by
 * being in time. */
static bool find_delaying_(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *remaining,
						   uint64_t now_us, BH__Placement *placement)
{
	double gain = bh__placement_utility(remaining->prompt_tokens) * BH__LATE_UTILITY_LOSS;

	return bh__placement_find_min_cost(m, engines, remaining, now_us, placement) &&
		   placement->prefill_end_us <= now_us + remaining->first_event_us && placement->delay_cost < gain;
}

/* Returns true if the placement of a late request may make running streams late: if its stream is tight and
 * it has waited for half of its maximum wait. Other late requests may not delay streams, because engine time
 * has more utility for requests that are in time. */
static bool may_delay_others_late_(const BH__Ask *ask, uint64_t waited_us)
{
	return bh__placement_is_tight(ask->event_gap_us) && waited_us * 2 >= bh__start_rules_max_wait_us(ask);
}

/* Finds a placement for a late request whose delay cost is lower than the utility that a late answer still
 * has. */
static bool find_delaying_late_(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *remaining,
								uint64_t now_us, BH__Placement *placement)
{
	double gain = bh__placement_utility(remaining->prompt_tokens) * (1 - BH__LATE_UTILITY_LOSS);

	return bh__placement_find_min_cost(m, engines, remaining, now_us, placement) &&
		   placement->delay_cost < gain;
}
