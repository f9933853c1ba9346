/* SPDX-License-Identifier: BSD-3-Clause */
/* Where an engine stands in its passes, reckoned from what it was given. A prompt that arrives is read in the
 * next pass, beside the prompts that wait with it, and every stream pauses until that pass is over. */
#ifndef BAYHOIST_PRIVATE_PASS_CLOCK_H
#define BAYHOIST_PRIVATE_PASS_CLOCK_H

#include "bayhoist/engine_model.h"

typedef struct {
	uint64_t pass_end_us; /* of the pass under way; 0: the engine is idle */
	uint64_t pass;        /* number of the pass under way */
	int64_t moved_us; /* by how much ends were moved back since the beginning, because the engine was ahead */
	double reading_ms; /* of the pass under way that is reading, at pace 1 */
	double waiting_ms; /* of reading that the next pass takes up */
	unsigned streams;
	uint64_t context_tokens; /* of the streams together */
	uint64_t seen_us;        /* when it was last moved on */
	double pace;             /* how much slower than its model the engine was seen to be; 1: as fast */
} BH__PassClock;

void bh__pass_clock_init(BH__PassClock *c);
void bh__pass_clock_advance(BH__PassClock *c, const BH__EngineModel *m, uint64_t now_us);
double bh__pass_clock_next_pass_ms(const BH__PassClock *c, const BH__EngineModel *m, double more_ms);
uint64_t bh__pass_clock_predict_read(const BH__PassClock *c, const BH__EngineModel *m, double read_ms,
									 uint64_t now_us);
/* A prompt, or a part of one, that an engine reads. */
typedef struct {
	uint64_t pass;    /* in which it is read */
	uint64_t end_us;  /* when it is foretold to be read */
	int64_t moved_us; /* the clock's, when that was foretold */
	double read_ms;   /* at pace 1 */
} BH__PassRead;

void bh__pass_clock_add_read(BH__PassClock *c, const BH__EngineModel *m, double read_ms, uint64_t now_us,
							 BH__PassRead *out);
void bh__pass_clock_drop_read(BH__PassClock *c, const BH__PassRead *read, uint64_t now_us);
void bh__pass_clock_note_read(BH__PassClock *c, const BH__PassRead *read, uint64_t now_us);
void bh__pass_clock_sync(BH__PassClock *c, const BH__EngineModel *m, const BH__PassRead *read,
						 uint64_t now_us);
void bh__pass_clock_set_pace(BH__PassClock *c, double pace, uint64_t now_us);
void bh__pass_clock_observe(BH__PassClock *c, double expected_ms, double observed_ms);

#endif
