/* SPDX-License-Identifier: BSD-3-Clause */
/* The reckoning of what an engine has read. */
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
#define PASSES_AT_ONCE_ 10000 /* that one call moves on */
#define READ_MS_ 0.01         /* a part with less left has been read */
/* A new part overtakes the older ones. That is worth it where it is shorter than this share of what is left
 * of each of them. Shares from 0.1 to 0.8 were compared in the model of bench_placement. */
#define OVERTAKE_SHARE_ 0.2
#define DONE_SOON_MS_ 0.7 /* a part with no more left does not hold up a new one */
/* A part given so late has not reached the engine yet: the grant goes to a node, which connects to an engine,
 * which tells its helpers. */
#define UNDER_WAY_US_ (8 * BH__MS_US)
#define DONE_KEPT_US_ (2 * BH__SECOND_US) /* a pass that is told of began no longer ago */
/* A pass that took this much longer than all that was given for it is not the engine's doing. */
#define PASS_FACTOR_ 1.3
#define PASS_EXTRA_MS_ 50.0

static void read_on_(BH__PassClock *c, double ms);
static void begin_pass_(BH__PassClock *c, const BH__EngineModel *m, uint64_t now_us);
static void end_pass_(BH__PassClock *c);
static void take_as_done_(BH__PassClock *c, unsigned count);
static void forget_done_(BH__PassClock *c, uint64_t grant_id);
static double longest_pass_ms_(const BH__PassClock *c, const BH__EngineModel *m);
static double pass_room_ms_(const BH__PassClock *c, const BH__EngineModel *m, uint64_t now_us);
static double first_pass_ms_(const BH__PassClock *c, const BH__EngineModel *m);
static double slack_ms_(const BH__PassPart *p, double end_ms, uint64_t now_us);
static double aim_slack_ms_(const BH__PassPart *p, double end_ms, uint64_t now_us);
static int find_part_(const BH__PassClock *c, uint64_t grant_id);
static int next_part_(const BH__PassClock *c, int before);
static void drop_helps_(BH__PassClock *c, uint64_t before_us);

void bh__pass_clock_init(BH__PassClock *c)
{
	memset(c, 0, sizeof *c);
	c->parts = g_array_new(FALSE, FALSE, sizeof(BH__PassPart));
	c->done = g_array_new(FALSE, FALSE, sizeof(BH__PassPart));
	c->slowdown = 1;
}

void bh__pass_clock_clear(BH__PassClock *c)
{
	g_array_unref(c->parts);
	g_array_unref(c->done);
}

static BH__PassPart *part_(const BH__PassClock *c, int index)
{
	return &g_array_index(c->parts, BH__PassPart, index);
}

/* Moves on to `now_us`. */
void bh__pass_clock_advance(BH__PassClock *c, const BH__EngineModel *m, uint64_t now_us)
{
	uint64_t was_us = c->seen_us;

	if (now_us <= was_us)
		return;
	if (c->slowdown > 1)
		c->slowdown -= (c->slowdown - 1) * MIN((double)(now_us - was_us) / (double)PACE_FORGET_US_, 1);
	c->seen_us = now_us;
	if (!c->streams) {
		read_on_(c, (double)(now_us - was_us) / 1000 / c->slowdown);
		return;
	}
	for (unsigned i = 0; c->pass_end_us <= now_us && i < PASSES_AT_ONCE_; i++) {
		end_pass_(c);
		begin_pass_(c, m, c->pass_end_us);
	}
}

/* Reads for `ms` milliseconds at pace 1, in the engine's order. */
static void read_on_(BH__PassClock *c, double ms)
{
	int i;

	while (ms > 0 && (i = next_part_(c, -1)) >= 0) {
		BH__PassPart *p = part_(c, i);
		double take_ms = MIN(p->left_ms, ms);
		ms -= take_ms;
		p->left_ms -= take_ms;
		if (p->left_ms < READ_MS_)
			g_array_remove_index(c->parts, (guint)i);
	}
}

/* Returns the part that is read after the one of this index, or first of all for -1; -1: there is none. */
static int next_part_(const BH__PassClock *c, int before)
{
	int n = (int)c->parts->len;
	bool in_helps = before < 0 || part_(c, before)->helps;

	for (int i = before < 0 ? n - 1 : before - 1; in_helps && i >= 0; i--)
		if (part_(c, i)->helps)
			return i;
	for (int i = in_helps ? 0 : before + 1; i < n; i++)
		if (!part_(c, i)->helps)
			return i;
	return -1;
}

/* Begins a pass that reads all that has reached the engine. */
static void begin_pass_(BH__PassClock *c, const BH__EngineModel *m, uint64_t now_us)
{
	double ms = bh__engine_model_pass_ms(m, c->streams, c->context_tokens);

	for (c->in_pass = 0; c->in_pass < c->parts->len; c->in_pass++) {
		const BH__PassPart *p = part_(c, (int)c->in_pass);
		if (p->added_us + UNDER_WAY_US_ > now_us)
			break;
		ms += p->left_ms;
	}
	c->pass_begun_us = now_us;
	c->pass_end_us = now_us + (uint64_t)(c->slowdown * 1000 * ms) + 1;
}

/* What the pass under way reads has been read. */
static void end_pass_(BH__PassClock *c)
{
	take_as_done_(c, c->in_pass);
	c->in_pass = 0;
}

/* Takes the first `count` parts as read, which may turn out to be wrong. */
static void take_as_done_(BH__PassClock *c, unsigned count)
{
	if (!count)
		return;
	g_array_append_vals(c->done, c->parts->data, count);
	g_array_remove_range(c->parts, 0, count);
	while (c->done->len && g_array_index(c->done, BH__PassPart, 0).added_us + DONE_KEPT_US_ < c->seen_us)
		g_array_remove_index(c->done, 0);
}

/* Forgets that a part was taken as read: now that is certain, or does not matter. */
static void forget_done_(BH__PassClock *c, uint64_t grant_id)
{
	for (guint i = c->done->len; i-- > 0;)
		if (g_array_index(c->done, BH__PassPart, i).grant_id == grant_id)
			g_array_remove_index(c->done, i);
}

/* A stream tells that a pass has just ended, which took `took_us`. What had not reached the engine when it
 * began is read in the next one: for want of this, parts that were given in two passes were read in one, and
 * two in three long pauses of streams came of that (64 of 99, a day of 60 engines). */
void bh__pass_clock_note_pass(BH__PassClock *c, const BH__EngineModel *m, uint64_t took_us, uint64_t now_us)
{
	uint64_t began_us = now_us - MIN(now_us, took_us);
	unsigned was_read = 0;

	if (!c->streams || (double)took_us / 1000 > longest_pass_ms_(c, m) * PASS_FACTOR_ + PASS_EXTRA_MS_)
		return;
	while (c->done->len) {
		BH__PassPart last = g_array_index(c->done, BH__PassPart, c->done->len - 1);
		if (last.added_us + UNDER_WAY_US_ <= began_us)
			break;
		g_array_prepend_val(c->parts, last);
		g_array_set_size(c->done, c->done->len - 1);
	}
	while (was_read < c->parts->len && part_(c, (int)was_read)->added_us + UNDER_WAY_US_ <= began_us)
		was_read++;
	take_as_done_(c, was_read);
	begin_pass_(c, m, now_us);
}

/* Returns how long a pass of late could have been, by what was given for it. */
static double longest_pass_ms_(const BH__PassClock *c, const BH__EngineModel *m)
{
	double ms = bh__engine_model_pass_ms(m, c->streams, c->context_tokens);

	for (guint i = 0; i < c->parts->len; i++)
		ms += part_(c, (int)i)->left_ms;
	for (guint i = 0; i < c->done->len; i++)
		ms += g_array_index(c->done, BH__PassPart, i).left_ms;
	return ms * c->slowdown;
}

/* Returns how much the engine has to read that no pass has taken up, in ms at pace 1. */
double bh__pass_clock_get_backlog_ms(const BH__PassClock *c)
{
	double ms = 0;

	for (guint i = c->in_pass; i < c->parts->len; i++)
		ms += part_(c, (int)i)->left_ms;
	return ms;
}

/* Returns how long the pass under way still takes. */
double bh__pass_clock_get_pass_left_ms(const BH__PassClock *c, uint64_t now_us)
{
	return c->pass_end_us > now_us ? (double)(c->pass_end_us - now_us) / 1000 : 0;
}

/* Returns the length of the next pass, or of the first that a stream makes, if `more_ms` of reading is added.
 */
double bh__pass_clock_next_pass_ms(const BH__PassClock *c, const BH__EngineModel *m, double more_ms)
{
	return c->slowdown * (bh__engine_model_pass_ms(m, c->streams, c->context_tokens) +
						  bh__pass_clock_get_backlog_ms(c) + more_ms);
}

/* Returns when a part that arrives now and takes `read_ms` to read would have been read. */
uint64_t bh__pass_clock_predict_read(const BH__PassClock *c, const BH__EngineModel *m, double read_ms,
									 bool helps, uint64_t now_us)
{
	uint64_t start_us = MAX(c->pass_end_us, now_us + IDLE_START_US_);
	double ms;

	if (c->streams && c->pass_end_us < now_us + UNDER_WAY_US_) /* it misses the next pass */
		ms = bh__pass_clock_next_pass_ms(c, m, 0) +
			 c->slowdown * (bh__engine_model_pass_ms(m, c->streams, c->context_tokens) + read_ms);
	else if (c->streams)
		ms = bh__pass_clock_next_pass_ms(c, m, read_ms);
	else if (helps)
		ms = c->slowdown * (m->step_ms + read_ms);
	else
		ms = c->slowdown * (m->step_ms + bh__pass_clock_get_backlog_ms(c) + read_ms) + first_pass_ms_(c, m);
	return start_us + (uint64_t)(ms * 1000);
}

/* Returns what the steps of the first pass take, where an answer begins before all that waits has been read:
 * with its first event the engine goes over from steps to passes. 0: no own prompt waits. */
static double first_pass_ms_(const BH__PassClock *c, const BH__EngineModel *m)
{
	for (guint i = 0; i < c->parts->len; i++)
		if (!part_(c, (int)i)->helps)
			return c->slowdown * bh__engine_model_pass_ms(m, 1, 0);
	return 0;
}

/* Returns how long a part may be, in ms at pace 1, so that none of the prompts that wait becomes late by it,
 * and none is overtaken that is not much longer. */
double bh__pass_clock_get_room_ms(const BH__PassClock *c, const BH__EngineModel *m, uint64_t now_us)
{
	double room_ms = G_MAXDOUBLE;
	double end_ms = 0;

	if (c->streams)
		return pass_room_ms_(c, m, now_us);
	for (int i = next_part_(c, -1); i >= 0; i = next_part_(c, i)) {
		const BH__PassPart *p = part_(c, i);
		double slack_ms;
		end_ms += p->left_ms * c->slowdown;
		if (p->left_ms <= DONE_SOON_MS_)
			continue;
		slack_ms = slack_ms_(p, end_ms, now_us);
		room_ms = MIN(room_ms, p->left_ms * OVERTAKE_SHARE_);
		if (slack_ms > 0)
			room_ms = MIN(room_ms, slack_ms / c->slowdown);
	}
	return room_ms;
}

/* Returns how much later than `end_ms` from now a part may be read: with time to spare while there is some,
 * and without when there is none; below 0: its request is late. */
static double slack_ms_(const BH__PassPart *p, double end_ms, uint64_t now_us)
{
	double due_ms = ((double)p->due_us - (double)now_us) / 1000 - end_ms;

	return due_ms > 0 ? due_ms : aim_slack_ms_(p, end_ms, now_us);
}

/* The same without time to spare. */
static double aim_slack_ms_(const BH__PassPart *p, double end_ms, uint64_t now_us)
{
	return ((double)p->aim_us - (double)now_us) / 1000 - end_ms;
}

/* Returns the room of an engine with streams: all that waits is read in its next pass. */
static double pass_room_ms_(const BH__PassClock *c, const BH__EngineModel *m, uint64_t now_us)
{
	double end_ms = bh__pass_clock_get_pass_left_ms(c, now_us) + bh__pass_clock_next_pass_ms(c, m, 0);
	double room_ms = G_MAXDOUBLE;

	for (guint i = c->in_pass; i < c->parts->len; i++) {
		double slack_ms = slack_ms_(part_(c, (int)i), end_ms, now_us);
		if (slack_ms > 0)
			room_ms = MIN(room_ms, slack_ms / c->slowdown);
	}
	return room_ms;
}

/* Returns the value of the prompts that a part of this length would make late by overtaking theirs. */
double bh__pass_clock_get_damage(const BH__PassClock *c, double read_ms, uint64_t now_us)
{
	double end_ms = 0;
	double damage = 0;

	for (int i = next_part_(c, -1); i >= 0; i = next_part_(c, i)) {
		const BH__PassPart *p = part_(c, i);
		double slack_ms;
		end_ms += p->left_ms * c->slowdown;
		slack_ms = aim_slack_ms_(p, end_ms, now_us);
		if (slack_ms > 0 && slack_ms < read_ms * c->slowdown)
			damage += p->value;
	}
	return damage;
}

/* Adds a part that is sent to the engine now. The clock must have been moved on. */
void bh__pass_clock_add_part(BH__PassClock *c, const BH__PassPart *part, uint64_t now_us)
{
	BH__PassPart p = *part;

	p.added_us = now_us;
	c->seen_us = MAX(c->seen_us, now_us);
	g_array_append_val(c->parts, p);
}

static int find_part_(const BH__PassClock *c, uint64_t grant_id)
{
	for (guint i = 0; i < c->parts->len; i++)
		if (part_(c, (int)i)->grant_id == grant_id)
			return (int)i;
	return -1;
}

/* A part is not read, or not to its end: its request is given up. */
void bh__pass_clock_drop_part(BH__PassClock *c, uint64_t grant_id, uint64_t now_us)
{
	int i = find_part_(c, grant_id);
	uint64_t left_us;

	forget_done_(c, grant_id);
	if (i < 0)
		return;
	left_us = (uint64_t)(part_(c, i)->left_ms * c->slowdown * 1000);
	if ((unsigned)i < c->in_pass) {
		c->in_pass--;
		c->pass_end_us = c->pass_end_us > now_us + left_us ? c->pass_end_us - left_us : now_us + 1;
	}
	g_array_remove_index(c->parts, (guint)i);
}

/* Drops the parts for other engines that were given before a time: they have been read. */
static void drop_helps_(BH__PassClock *c, uint64_t before_us)
{
	for (guint i = c->parts->len; i-- > 0;)
		if (part_(c, (int)i)->helps && part_(c, (int)i)->added_us < before_us)
			g_array_remove_index(c->parts, i);
}

/* The request of a part has begun to be answered, so that the part has been read by now. With `alone` no
 * other engine read for it: its pass has ended just now, or without passes, all parts for other engines were
 * read before it. Otherwise the answer began when the last of its engines was done, and that says nothing of
 * the passes of the others, nor of those of the engine that answers. */
void bh__pass_clock_note_read(BH__PassClock *c, const BH__EngineModel *m, uint64_t grant_id, bool alone,
							  uint64_t now_us)
{
	int i = find_part_(c, grant_id);
	bool was_taken = i >= 0 && (unsigned)i < c->in_pass;

	forget_done_(c, grant_id);
	if (i >= 0 && (!was_taken || !alone)) {
		g_array_remove_index(c->parts, (guint)i);
		c->in_pass -= was_taken;
	}
	if (!c->streams && alone)
		drop_helps_(c, now_us - MIN(now_us, UNDER_WAY_US_));
	if (!c->streams || !alone)
		return;
	if (i >= 0)
		end_pass_(c); /* the engine is further than reckoned */
	begin_pass_(c, m, now_us);
}

/* An answer begins: from now on it is one of the engine's streams. */
void bh__pass_clock_begin_stream(BH__PassClock *c, const BH__EngineModel *m, uint64_t context_tokens,
								 uint64_t now_us)
{
	c->streams++;
	c->context_tokens += context_tokens;
	if (c->streams == 1)
		begin_pass_(c, m, now_us);
}

void bh__pass_clock_end_stream(BH__PassClock *c, uint64_t context_tokens)
{
	c->streams -= c->streams > 0;
	c->context_tokens -= MIN(c->context_tokens, context_tokens);
	if (c->streams)
		return;
	end_pass_(c); /* its last event came with the end of a pass */
	c->pass_end_us = 0;
}

/* Learns the engine's pace from a time that was foretold at pace 1 and the one that it took. */
void bh__pass_clock_observe(BH__PassClock *c, double expected_ms, double observed_ms)
{
	double ratio;

	if (expected_ms < OBSERVABLE_MS_)
		return;
	ratio = CLAMP((observed_ms - NETWORK_MS_) / expected_ms, 0, RATIO_MAX_);
	c->slowdown = CLAMP(c->slowdown + PACE_WEIGHT_ * (ratio - c->slowdown), PACE_MIN_, PACE_MAX_);
}

/* Takes the pace that an engine tells of itself. */
void bh__pass_clock_set_pace(BH__PassClock *c, double slowdown, uint64_t now_us)
{
	c->slowdown = CLAMP(slowdown, PACE_MIN_, PACE_MAX_);
	c->seen_us = MAX(c->seen_us, now_us);
}
