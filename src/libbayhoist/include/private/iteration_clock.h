/* SPDX-License-Identifier: BSD-3-Clause */
/* An estimate of how far an engine has got with its prefill work, derived from the work that it was given and
 * from the times at which answers begin.
 *
 * An engine prefills parts for other engines before its own prompts. Of the parts for other engines it takes
 * the newest first; its own prompts it takes in the order of arrival. Without streams the engine prefills in
 * steps of a few milliseconds, so a new part overtakes older ones at once. With streams it works in
 * iterations: an iteration prefills all that arrived before its start, and every stream pauses until it ends.
 * The clock takes the start of an iteration from answers that begin and from streams that have paused for a
 * long iteration. Between such observations the clock runs free, with an error of about half an iteration. */
#ifndef BAYHOIST_PRIVATE_ITERATION_CLOCK_H
#define BAYHOIST_PRIVATE_ITERATION_CLOCK_H

#include <glib.h>
#include "bayhoist/engine_model.h"

/* A prompt, or a part of one, that an engine has still to prefill. */
typedef struct {
	uint64_t grant_id;
	uint64_t added_us;  /* time at which the part was sent to the engine */
	uint64_t due_us;    /* time by which the prefill should end; leaves slack before `target_us` */
	uint64_t target_us; /* time after which the first event of the request is late */
	double utility;     /* utility of an answer in time */
	double left_ms;     /* prefill time that is left, at slowdown factor 1 */
	bool for_helper;    /* whether the engine prefills the part as a helper of another engine */
} BH__PrefillPart;

typedef struct {
	GArray *parts;     /* BH__PrefillPart still to prefill, in the order of arrival */
	GArray *prefilled; /* BH__PrefillPart whose prefill is estimated to have ended in recent iterations */
	unsigned iteration_part_count; /* the first elements of `parts`, prefilled in the current iteration */
	uint64_t iteration_start_us;   /* start of the current iteration */
	bool start_observed;           /* that start was observed, not predicted */
	uint64_t iteration_end_us; /* predicted end of the current iteration; 0: no streams, so no iterations */
	unsigned streams;          /* running streams */
	uint64_t context_tokens;   /* context of all streams together */
	uint64_t advanced_us;      /* time up to which the estimate has been advanced */
	double slowdown;           /* observed slowdown factor against the model; 1: as fast as the model */
} BH__IterationClock;

void bh__iteration_clock_init(BH__IterationClock *c);
void bh__iteration_clock_clear(BH__IterationClock *c);
void bh__iteration_clock_advance(BH__IterationClock *c, const BH__EngineModel *m, uint64_t now_us);
double bh__iteration_clock_get_backlog_ms(const BH__IterationClock *c);
double bh__iteration_clock_get_uncertain_ms(const BH__IterationClock *c, uint64_t now_us);
double bh__iteration_clock_get_iteration_left_ms(const BH__IterationClock *c, uint64_t now_us);
double bh__iteration_clock_predict_next_iteration_ms(const BH__IterationClock *c, const BH__EngineModel *m,
													 double extra_ms);
uint64_t bh__iteration_clock_predict_prefill_end(const BH__IterationClock *c, const BH__EngineModel *m,
												 double prefill_ms, bool for_helper, uint64_t now_us);
double bh__iteration_clock_get_headroom_ms(const BH__IterationClock *c, const BH__EngineModel *m,
										   uint64_t now_us);
double bh__iteration_clock_get_delay_cost(const BH__IterationClock *c, double prefill_ms, uint64_t now_us);
void bh__iteration_clock_add_part(BH__IterationClock *c, const BH__PrefillPart *part, uint64_t now_us);
void bh__iteration_clock_remove_part(BH__IterationClock *c, uint64_t grant_id, uint64_t now_us);
void bh__iteration_clock_note_prefilled(BH__IterationClock *c, const BH__EngineModel *m, uint64_t grant_id,
										bool without_helpers, uint64_t now_us);
void bh__iteration_clock_note_iteration(BH__IterationClock *c, const BH__EngineModel *m, uint64_t duration_us,
										uint64_t now_us);
void bh__iteration_clock_begin_stream(BH__IterationClock *c, const BH__EngineModel *m,
									  uint64_t context_tokens, uint64_t now_us);
void bh__iteration_clock_end_stream(BH__IterationClock *c, uint64_t context_tokens);
void bh__iteration_clock_set_slowdown(BH__IterationClock *c, double factor, uint64_t now_us);
void bh__iteration_clock_observe(BH__IterationClock *c, double expected_ms, double observed_ms);

#endif
