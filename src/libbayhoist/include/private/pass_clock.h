/* SPDX-License-Identifier: BSD-3-Clause */
/* Where an engine stands in what it reads, reckoned from what it was given and from the answers that begin.
 *
 * An engine reads parts for other engines' prompts before its own, and of those the one that came last; its
 * own prompts in the order in which they came. While it writes no stream it reads in steps of a few
 * milliseconds, so a new part overtakes the older ones at once. While it writes one, it works in passes: a
 * pass reads all that has come before it began, and every stream pauses until it is over. When a pass begins
 * is told by answers that begin, and by streams that have paused for a long one; between these the clock runs
 * free, and is off by half a pass or so. */
#ifndef BAYHOIST_PRIVATE_PASS_CLOCK_H
#define BAYHOIST_PRIVATE_PASS_CLOCK_H

#include <glib.h>
#include "bayhoist/engine_model.h"

/* A prompt, or a part of one, that an engine has still to read. */
typedef struct {
	uint64_t grant_id;
	uint64_t added_us;
	uint64_t due_us; /* by when it is to be read, with some time to spare */
	uint64_t aim_us; /* when its request's first event is late */
	double value;    /* of an answer in time */
	double left_ms;  /* at pace 1 */
	bool helps;      /* it is read for another engine */
} BH__PassPart;

typedef struct {
	GArray *parts;    /* BH__PassPart, in the order in which they came */
	GArray *done;     /* the same, reckoned to have been read in passes of the last seconds */
	unsigned in_pass; /* of those, the first so many are read in the pass under way */
	uint64_t pass_begun_us;
	uint64_t pass_end_us; /* of the pass under way; 0: there are no passes, since no stream is written */
	unsigned streams;
	uint64_t context_tokens; /* of the streams together */
	uint64_t seen_us;        /* when it was last moved on */
	double slowdown;         /* how much slower than its model the engine was seen to be; 1: as fast */
} BH__PassClock;

void bh__pass_clock_init(BH__PassClock *c);
void bh__pass_clock_clear(BH__PassClock *c);
void bh__pass_clock_advance(BH__PassClock *c, const BH__EngineModel *m, uint64_t now_us);
double bh__pass_clock_get_backlog_ms(const BH__PassClock *c);
double bh__pass_clock_get_pass_left_ms(const BH__PassClock *c, uint64_t now_us);
double bh__pass_clock_next_pass_ms(const BH__PassClock *c, const BH__EngineModel *m, double more_ms);
uint64_t bh__pass_clock_predict_read(const BH__PassClock *c, const BH__EngineModel *m, double read_ms,
									 bool helps, uint64_t now_us);
double bh__pass_clock_get_room_ms(const BH__PassClock *c, const BH__EngineModel *m, uint64_t now_us);
double bh__pass_clock_get_damage(const BH__PassClock *c, double read_ms, uint64_t now_us);
void bh__pass_clock_add_part(BH__PassClock *c, const BH__PassPart *part, uint64_t now_us);
void bh__pass_clock_drop_part(BH__PassClock *c, uint64_t grant_id, uint64_t now_us);
void bh__pass_clock_note_read(BH__PassClock *c, const BH__EngineModel *m, uint64_t grant_id, bool alone,
							  uint64_t now_us);
void bh__pass_clock_note_pass(BH__PassClock *c, const BH__EngineModel *m, uint64_t took_us, uint64_t now_us);
void bh__pass_clock_begin_stream(BH__PassClock *c, const BH__EngineModel *m, uint64_t context_tokens,
								 uint64_t now_us);
void bh__pass_clock_end_stream(BH__PassClock *c, uint64_t context_tokens);
void bh__pass_clock_set_pace(BH__PassClock *c, double slowdown, uint64_t now_us);
void bh__pass_clock_observe(BH__PassClock *c, double expected_ms, double observed_ms);

#endif
