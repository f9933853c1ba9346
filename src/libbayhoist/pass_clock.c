/* SPDX-License-Identifier: BSD-3-Clause */
/* The reckoning of an engine's passes. */
#include "pass_clock.h"

#include <glib.h>
#include <string.h>

#define IDLE_START_US_ (2 * BH__MS_US) /* until a call reaches an idle engine and it begins */
#define PACE_WEIGHT_ 0.25              /* of one observation */
#define PACE_MIN_ 1.0
#define PACE_MAX_ 12.0
/* A pace that is not seen again is forgotten in about this time. */
#define PACE_FORGET_US_ (4 * BH__SECOND_US)
#define NETWORK_MS_ 8.0     /* of an observed time that is not the engine's */
#define OBSERVABLE_MS_ 20.0 /* shorter times say more of the network than of the engine */
#define RATIO_MAX_ 20.0
#define PASSES_AT_ONCE_ 10000 /* that one call moves on; an engine that idles longer is set idle */

static void move_end_(BH__PassClock *c, uint64_t end_us);

void bh__pass_clock_init(BH__PassClock *c)
{
	memset(c, 0, sizeof *c);
	c->pace = 1;
}

/* Moves on to `now_us`: passes that are over by then are followed by the next, with what waits. */
void bh__pass_clock_advance(BH__PassClock *c, const BH__EngineModel *m, uint64_t now_us)
{
	if (c->pace > 1 && now_us > c->seen_us) {
		double share = (double)(now_us - c->seen_us) / (double)PACE_FORGET_US_;
		c->pace -= (c->pace - 1) * MIN(share, 1);
	}
	c->seen_us = now_us;
	for (unsigned i = 0; c->pass_end_us && c->pass_end_us <= now_us; i++) {
		c->pass++;
		c->reading_ms = c->waiting_ms;
		if ((!c->streams && c->waiting_ms <= 0) || i >= PASSES_AT_ONCE_) {
			c->pass_end_us = 0;
			c->waiting_ms = 0;
			return;
		}
		c->pass_end_us += (uint64_t)(bh__pass_clock_next_pass_ms(c, m, 0) * 1000);
		c->waiting_ms = 0;
	}
}

/* Returns the length of the next pass if `more_ms` of reading is added to it. */
double bh__pass_clock_next_pass_ms(const BH__PassClock *c, const BH__EngineModel *m, double more_ms)
{
	return c->pace * (bh__engine_model_pass_ms(m, c->streams, c->context_tokens) + c->waiting_ms + more_ms);
}

/* Returns when a prompt that arrives now and takes `read_ms` to read would have been read. */
uint64_t bh__pass_clock_predict_read(const BH__PassClock *c, const BH__EngineModel *m, double read_ms,
									 uint64_t now_us)
{
	uint64_t start_us = MAX(c->pass_end_us, now_us + IDLE_START_US_);

	return start_us + (uint64_t)(bh__pass_clock_next_pass_ms(c, m, read_ms) * 1000);
}

/* Adds a prompt to what the next pass reads. */
void bh__pass_clock_add_read(BH__PassClock *c, const BH__EngineModel *m, double read_ms, uint64_t now_us,
							 BH__PassRead *out)
{
	out->end_us = bh__pass_clock_predict_read(c, m, read_ms, now_us);
	out->read_ms = read_ms;
	out->moved_us = c->moved_us;
	out->pass = c->pass + 1;
	if (!c->pass_end_us)
		c->pass_end_us = now_us + IDLE_START_US_;
	c->waiting_ms += read_ms;
}

/* A prompt that was to be read is not read, or not to its end. */
void bh__pass_clock_drop_read(BH__PassClock *c, const BH__PassRead *read, uint64_t now_us)
{
	uint64_t read_us = (uint64_t)(read->read_ms * c->pace * 1000);

	if (read->pass == c->pass + 1) {
		c->waiting_ms = MAX(c->waiting_ms - read->read_ms, 0);
	}
	else if (read->pass == c->pass && c->pass_end_us > now_us) {
		move_end_(c, c->pass_end_us > now_us + read_us ? c->pass_end_us - read_us : now_us + 1);
		c->reading_ms = MAX(c->reading_ms - read->read_ms, 0);
	}
}

/* A prompt has been read by now. If that was foretold for later, the engine is at least so much further. */
void bh__pass_clock_note_read(BH__PassClock *c, const BH__PassRead *read, uint64_t now_us)
{
	int64_t ahead_us = (int64_t)read->end_us - (c->moved_us - read->moved_us) - (int64_t)now_us;

	if (read->pass < c->pass || c->pass_end_us <= now_us || ahead_us <= 0)
		return;
	move_end_(c, c->pass_end_us > now_us + (uint64_t)ahead_us ? c->pass_end_us - (uint64_t)ahead_us
															  : now_us + 1);
}

/* Moves the end of the pass under way. */
static void move_end_(BH__PassClock *c, uint64_t end_us)
{
	c->moved_us += (int64_t)c->pass_end_us - (int64_t)end_us;
	c->pass_end_us = end_us;
}

/* The pass in which the engine read a prompt, alone, has ended just now: its next one begins. */
void bh__pass_clock_sync(BH__PassClock *c, const BH__EngineModel *m, const BH__PassRead *read,
						 uint64_t now_us)
{
	double ms = c->pace * (bh__engine_model_pass_ms(m, c->streams, c->context_tokens) + c->reading_ms);

	if (read->pass >= c->pass) { /* foretold to end later */
		while (c->pass_end_us && c->pass <= read->pass) {
			move_end_(c, now_us);
			bh__pass_clock_advance(c, m, now_us);
		}
	}
	else if (c->pass_end_us) { /* foretold to have ended before */
		move_end_(c, now_us + (uint64_t)(ms * 1000));
	}
}

/* Learns the engine's pace from a time that was foretold at pace 1 and the one that it took. */
void bh__pass_clock_observe(BH__PassClock *c, double expected_ms, double observed_ms)
{
	double ratio;

	if (expected_ms < OBSERVABLE_MS_)
		return;
	ratio = CLAMP((observed_ms - NETWORK_MS_) / expected_ms, 0, RATIO_MAX_);
	c->pace = CLAMP(c->pace + PACE_WEIGHT_ * (ratio - c->pace), PACE_MIN_, PACE_MAX_);
}

/* Takes the pace that an engine tells of itself. */
void bh__pass_clock_set_pace(BH__PassClock *c, double pace, uint64_t now_us)
{
	c->pace = CLAMP(pace, PACE_MIN_, PACE_MAX_);
	c->seen_us = now_us;
}
