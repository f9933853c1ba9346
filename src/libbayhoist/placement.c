/* SPDX-License-Identifier: BSD-3-Clause */
/* The choice of engines. What an engine reads lengthens its next pass, and a pass longer than a stream may
 * pause makes that stream late. So each engine has a limit on its next pass, set by the streams that it
 * writes, and a prompt is cut into even parts over so many engines that every part keeps its engine within
 * the limit.
 *
 * Streams that may pause only briefly ("tight" ones) are packed on as few engines as can write them, always
 * the same first; other prompts are read on the rest, where passes may be long. So the two are kept apart
 * without a fixed share for either: the border moves with the load. */
#include "placement.h"

#include <stdlib.h>
#include "bayhoist/planner.h"

/* A prompt of so many tokens more is worth one more; from what the users' kinds of request are worth. */
#define TOKENS_PER_VALUE_ 12000.0
#define GAP_MARGIN_MS_ 25.0   /* of a pause, for the network and for what the reckoning misses */
#define FIRST_MARGIN_MS_ 35.0 /* the same of a first event */
/* Of a pass on an engine without streams: one may begin there at any time. */
#define LOOSE_LIMIT_MS_ ((double)BH__LONGEST_PASS_MS)
#define TIGHT_GAP_US_ (300 * BH__MS_US) /* streams that may pause no longer are tight */
#define TIGHT_LIMIT_MS_ 180.0           /* of a pass on an engine that is kept for tight streams */
#define TIGHT_ROOM_MS_ 40.0             /* of a tight engine's pass that is kept for tight prompts */
#define TIGHT_STREAMS_ 14               /* that one engine is filled with, more or less */
#define TIGHT_SPARE_ 3                  /* tight streams for which room is kept beyond those that are there */
#define TIGHT_PARTS_MAX_ 4              /* of a tight prompt */
#define PART_MIN_TOKENS_ 1000           /* smaller parts are not worth a helper */
#define SLOTS_KEPT_ 1      /* of an engine, while others have room: for resumed streams and wrong reckoning */
#define LATE_SLOTS_ 3      /* of an engine, that requests which are late already leave to others besides */
#define SOONER_SHARE_ 0.85 /* of the time to read with more parts, at which fewer parts are better */
/* An answer that has not begun so long after it was foretold to shows that its engine stands still, or is in
 * a longer pass than was reckoned; half of what the users' tightest streams bear between events. */
#define OVERDUE_US_ (100 * BH__MS_US)
#define KV_FILL_ 0.94 /* of an engine's memory that is given out */

typedef struct {
	BH__PassEngine *engine;
	unsigned order;    /* place in the table of engines */
	unsigned tight;    /* tight streams that it writes or will write */
	bool limited;      /* in the requests that it may get */
	bool kept;         /* for tight streams, of which it may have none yet */
	double limit_ms;   /* of its next pass */
	double next_ms;    /* its next pass as it stands, or the first that a stream would make */
	double room_ms;    /* of what waits there, for a part that overtakes it */
	double pending_ms; /* what is left of its pass, and the next one */
	double loss;       /* value of streams that a longer pass would make late */
	unsigned slots_free;
	unsigned helps_free; /* prompts of others that it may read parts of beside those it does */
	uint64_t kv_free_tokens;
} Candidate_;

static bool is_in_(const uint64_t *list, unsigned count, uint64_t endpoint_id);
static bool is_overdue_(const BH__PassEngine *e, uint64_t now_us);
static unsigned list_(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask, uint64_t now_us,
					  Candidate_ *out);
static void describe_(const BH__EngineModel *m, BH__PassEngine *e, uint64_t now_us, Candidate_ *c);
static void keep_for_tight_(Candidate_ *c, unsigned count);
static double joins_later_ms_(const Candidate_ *c, const BH__PlacedRequest *r, uint64_t now_us);
static double gap_limit_ms_(uint64_t event_gap_us);
static double room_ms_(const Candidate_ *c);
static int compare_for_tight_(const void *a, const void *b);
static int compare_for_long_(const void *a, const void *b);
static int compare_for_force_(const void *a, const void *b);
static bool find_tight_(const BH__EngineModel *m, Candidate_ *c, unsigned count, const BH__Ask *ask,
						uint64_t now_us, BH__Placement *out);
static bool find_long_(const BH__EngineModel *m, Candidate_ *c, unsigned count, const BH__Ask *ask,
					   double idle_read_ms, uint64_t now_us, BH__Placement *out);
static unsigned choose_parts_(const BH__EngineModel *m, const Candidate_ *c, unsigned count,
							  const BH__Ask *ask, uint64_t now_us);
static unsigned most_parts_(const BH__Ask *ask, unsigned count);
static bool fill_(const BH__EngineModel *m, Candidate_ *c, unsigned count, unsigned parts, const BH__Ask *ask,
				  uint64_t now_us, BH__Placement *out);
static bool choose_home_(Candidate_ *c, unsigned count, const BH__Ask *ask, double part_ms);
static bool may_help_(const Candidate_ *c, unsigned parts);
static bool share_memory_(const Candidate_ *c, unsigned parts, uint64_t need_tokens, BH__Placement *out);
static bool is_in_time_(const BH__Ask *ask, const BH__Placement *p, uint64_t now_us);

/* Returns what an answer to a prompt is worth, in a unit of our own. */
double bh__placement_value(uint64_t prompt_tokens)
{
	return 1.0 + (double)prompt_tokens / TOKENS_PER_VALUE_;
}

bool bh__placement_is_tight(uint64_t event_gap_us)
{
	return event_gap_us && event_gap_us <= TIGHT_GAP_US_;
}

bool bh__pass_engine_is_usable(const BH__PassEngine *e, uint64_t now_us)
{
	return !e->leaving && now_us >= e->set_aside_until_us && bh__endpoint_rate_admits(&e->rate, now_us);
}

static bool is_in_(const uint64_t *list, unsigned count, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < count; i++)
		if (list[i] == endpoint_id)
			return true;
	return false;
}

/* Returns true if an engine wants nothing of the asking node. */
bool bh__ask_backs_off_from(const BH__Ask *ask, uint64_t endpoint_id)
{
	return is_in_(ask->backoff, ask->backoff_count, endpoint_id);
}

/* Returns true if an answer from this engine should have begun, and none has begun there since. A prompt that
 * helpers read too doesn't count: any of them may be the cause. */
static bool is_overdue_(const BH__PassEngine *e, uint64_t now_us)
{
	for (guint i = 0; i < e->homes->len; i++) {
		const BH__PlacedRequest *r = g_ptr_array_index(e->homes, i);
		uint64_t due_us = r->granted_us + r->grant.expected_us;
		if (!r->grant.writes && r->grant.member_count == 1 && now_us > due_us + OVERDUE_US_ &&
			e->last_begun_us < due_us)
			return true;
	}
	return false;
}

/* Lists the engines that may be used, not those that want nothing of the asking node; those that the ask
 * avoids, or where answers are overdue, only if there is no other. */
static unsigned list_(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask, uint64_t now_us,
					  Candidate_ *out)
{
	unsigned count = 0;

	for (int avoid = 1; avoid >= 0 && !count; avoid--) {
		for (guint i = 0; i < engines->len; i++) {
			BH__PassEngine *e = g_ptr_array_index(engines, i);
			if (!bh__pass_engine_is_usable(e, now_us) || bh__ask_backs_off_from(ask, e->endpoint_id) ||
				(avoid && (is_in_(ask->avoid, ask->avoid_count, e->endpoint_id) || is_overdue_(e, now_us))))
				continue;
			bh__pass_clock_advance(&e->clock, m, now_us);
			out[count].order = i;
			describe_(m, e, now_us, &out[count++]);
		}
	}
	keep_for_tight_(out, count);
	return count;
}

/* Keeps as many engines for tight streams as those of now need, and some to spare, so that the next one finds
 * an engine that is not in the middle of a long pass: those that write some already, and then the first of
 * the table. */
static void keep_for_tight_(Candidate_ *c, unsigned count)
{
	unsigned streams = 0;
	unsigned wanted;

	for (unsigned i = 0; i < count; i++) {
		streams += c[i].tight;
		c[i].kept = c[i].tight > 0;
	}
	wanted = MIN((streams + TIGHT_SPARE_ + TIGHT_STREAMS_ - 1) / TIGHT_STREAMS_, count / 2);
	for (unsigned i = 0; i < count; i++)
		wanted -= c[i].kept && wanted > 0;
	for (unsigned i = 0; i < count && wanted > 0; i++) {
		if (c[i].kept)
			continue;
		c[i].kept = true;
		wanted--;
	}
	for (unsigned i = 0; i < count; i++)
		if (c[i].kept)
			c[i].limit_ms = MIN(c[i].limit_ms, (double)TIGHT_LIMIT_MS_);
}

/* Describes an engine. What one that writes no stream has to read may all
 * be left when its next stream begins, and come in one pass. */
static void describe_(const BH__EngineModel *m, BH__PassEngine *e, uint64_t now_us, Candidate_ *c)
{
	uint64_t capacity = (uint64_t)((double)m->kv_tokens * KV_FILL_);

	c->engine = e;
	c->tight = 0;
	c->kept = false;
	c->loss = 0;
	c->limit_ms = LOOSE_LIMIT_MS_;
	c->next_ms = bh__pass_clock_next_pass_ms(&e->clock, m, 0);
	c->pending_ms = c->next_ms + bh__pass_clock_get_pass_left_ms(&e->clock, now_us);
	c->room_ms = bh__pass_clock_get_room_ms(&e->clock, m, now_us);
	c->slots_free = e->homes->len < m->slots ? m->slots - e->homes->len : 0;
	c->helps_free = e->helps < m->slots ? m->slots - e->helps : 0;
	c->limited = bh__endpoint_rate_is_limited(&e->rate, now_us);
	c->kv_free_tokens = capacity > e->kv_used_tokens ? capacity - e->kv_used_tokens : 0;
	for (guint i = 0; i < e->homes->len; i++) {
		const BH__PlacedRequest *r = g_ptr_array_index(e->homes, i);
		double limit_ms = gap_limit_ms_(r->event_gap_us);
		if (limit_ms <= 0)
			continue;
		limit_ms -= joins_later_ms_(c, r, now_us);
		c->tight += bh__placement_is_tight(r->event_gap_us);
		c->limit_ms = MIN(c->limit_ms, limit_ms);
		if (c->next_ms <= limit_ms)
			c->loss += r->value * BH__LATE_LOSS;
	}
}

/* Returns how much of a stream's first pause is over before the engine's next pass begins, or not to be
 * reckoned with. The answer to a prompt that several engines read begins when the last of them is done, in
 * the middle of a pass of the engine that answers; it is written from the next pass on, so that its first
 * pause is the rest of the one and the whole of the other. */
static double joins_later_ms_(const Candidate_ *c, const BH__PlacedRequest *r, uint64_t now_us)
{
	const BH__PassClock *k = &c->engine->clock;
	double left_ms = bh__pass_clock_get_pass_left_ms(k, now_us);

	if (r->grant.member_count < 2 || !k->streams)
		return 0;
	if (!r->grant.writes)
		return left_ms;
	if (!r->begun_us || r->begun_us < k->pass_begun_us)
		return 0;
	return left_ms + (double)(now_us - r->begun_us) / 1000;
}

/* Returns the longest pass that a stream with such a gap bears, in ms; 0: any. */
static double gap_limit_ms_(uint64_t event_gap_us)
{
	return event_gap_us ? (double)event_gap_us / 1000 - GAP_MARGIN_MS_ : 0;
}

/* Returns how long a part an engine bears, in ms at pace 1: one that writes streams makes its next pass
 * longer, one that writes none delays what waits there. */
static double room_ms_(const Candidate_ *c)
{
	double pass_ms = c->engine->clock.streams || c->kept ? c->next_ms : 0;

	return MIN(c->room_ms, (c->limit_ms - pass_ms) / c->engine->clock.pace);
}

/* Finds engines that can take the request without making any stream late. One that answers nothing may read
 * for `idle_read_ms`, if that is longer than it may otherwise. Returns false if there are none now. */
bool bh__placement_find(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask, double idle_read_ms,
						uint64_t now_us, BH__Placement *out)
{
	Candidate_ *c = g_new(Candidate_, engines->len + 1);
	unsigned count = list_(m, engines, ask, now_us, c);
	bool found = bh__placement_is_tight(ask->event_gap_us)
					 ? find_tight_(m, c, count, ask, now_us, out)
					 : find_long_(m, c, count, ask, idle_read_ms, now_us, out);

	g_free(c);
	return found;
}

/* Engines that write tight streams already come first, and among them the first of the table, so that the
 * same ones fill up; then those that are least busy with long prompts. */
static int compare_for_tight_(const void *a, const void *b)
{
	const Candidate_ *x = a;
	const Candidate_ *y = b;

	if ((x->tight > 0) != (y->tight > 0))
		return x->tight > 0 ? -1 : 1;
	if (x->kept != y->kept)
		return x->kept ? -1 : 1;
	if (!x->tight && x->next_ms != y->next_ms)
		return x->next_ms < y->next_ms ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

/* A tight prompt goes to one engine if that stays within its limit, else to a few. */
static bool find_tight_(const BH__EngineModel *m, Candidate_ *c, unsigned count, const BH__Ask *ask,
						uint64_t now_us, BH__Placement *out)
{
	double own_limit_ms = gap_limit_ms_(ask->event_gap_us);

	qsort(c, count, sizeof *c, compare_for_tight_);
	for (unsigned parts = 1; parts <= MIN(most_parts_(ask, count), TIGHT_PARTS_MAX_); parts++) {
		double part_ms = bh__engine_model_read_ms(m, ask->prompt_tokens, parts);
		Candidate_ chosen[TIGHT_PARTS_MAX_];
		unsigned n = 0;
		for (unsigned i = 0; i < count && n < parts; i++) {
			double limit_ms = MIN(c[i].limit_ms, own_limit_ms);
			bool fits =
				c[i].next_ms + part_ms * c[i].engine->clock.pace <= limit_ms && part_ms <= c[i].room_ms;
			bool has_slot = n > 0 ? c[i].helps_free > 0
								  : c[i].slots_free > SLOTS_KEPT_ + (ask->first_event_us ? 0 : LATE_SLOTS_);
			if (fits && has_slot)
				chosen[n++] = c[i];
		}
		if (n == parts && fill_(m, chosen, n, parts, ask, now_us, out) && is_in_time_(ask, out, now_us))
			return true;
	}
	return false;
}

/* Engines that may help come first, of those the ones that are not kept for tight streams, and of those the
 * ones with the most room. */
static int compare_for_long_(const void *a, const void *b)
{
	const Candidate_ *x = a;
	const Candidate_ *y = b;
	double p = room_ms_(x);
	double q = room_ms_(y);

	if ((x->helps_free > 0) != (y->helps_free > 0))
		return x->helps_free > 0 ? -1 : 1;
	if (x->kept != y->kept)
		return x->kept ? 1 : -1;
	return p > q ? -1 : p < q ? 1 : 0;
}

static bool find_long_(const BH__EngineModel *m, Candidate_ *c, unsigned count, const BH__Ask *ask,
					   double idle_read_ms, uint64_t now_us, BH__Placement *out)
{
	unsigned loose = 0;
	unsigned parts;

	qsort(c, count, sizeof *c, compare_for_long_);
	while (loose < count && !c[loose].kept)
		loose++;
	if (idle_read_ms > 0)
		for (unsigned i = 0; i < loose; i++)
			if (!c[i].engine->homes->len)
				c[i].limit_ms = MAX(c[i].limit_ms, idle_read_ms);
	for (unsigned i = loose; i < count; i++)
		c[i].limit_ms -= TIGHT_ROOM_MS_;
	parts = choose_parts_(m, c, loose, ask, now_us);
	if (parts && fill_(m, c, loose, parts, ask, now_us, out))
		return true;
	qsort(c, count, sizeof *c, compare_for_long_);
	parts = choose_parts_(m, c, count, ask, now_us);
	return parts && fill_(m, c, count, parts, ask, now_us, out);
}

/* Returns the number of parts, each of which fits the room of its engine, with which the prompt is read
 * soonest; of those that differ little the largest, since it keeps passes short. 0: there is none. The
 * candidates are in the order of their room, in which slow engines come last. */
static unsigned choose_parts_(const BH__EngineModel *m, const Candidate_ *c, unsigned count,
							  const BH__Ask *ask, uint64_t now_us)
{
	unsigned best = 0;
	uint64_t best_us = 0;

	for (unsigned parts = most_parts_(ask, count); parts > 0; parts--) {
		double part_ms = bh__engine_model_read_ms(m, ask->prompt_tokens, parts);
		uint64_t end_us = 0;
		if (part_ms > room_ms_(&c[parts - 1]) || (parts > 1 && !c[parts - 1].helps_free))
			continue;
		for (unsigned i = 0; i < parts; i++)
			end_us = MAX(end_us, bh__pass_clock_predict_read(&c[i].engine->clock, m, part_ms, i > 0, now_us));
		if (!best || (double)(end_us - now_us) < (double)(best_us - now_us) * SOONER_SHARE_) {
			best = parts;
			best_us = end_us;
		}
	}
	return best;
}

static unsigned most_parts_(const BH__Ask *ask, unsigned count)
{
	uint64_t most = MAX(ask->prompt_tokens / PART_MIN_TOKENS_, 1);

	return (unsigned)MIN(MIN(most, count), BH__GRANT_MEMBERS_MAX);
}

/* Those whose streams are worth least come first, and of those the soonest. */
static int compare_for_force_(const void *a, const void *b)
{
	const Candidate_ *x = a;
	const Candidate_ *y = b;

	if ((x->helps_free > 0) != (y->helps_free > 0))
		return x->helps_free > 0 ? -1 : 1;
	if (x->loss != y->loss)
		return x->loss < y->loss ? -1 : 1;
	return x->next_ms < y->next_ms ? -1 : x->next_ms > y->next_ms;
}

/* Finds the engines where the request does the least damage. Returns false if none can take it at all. */
bool bh__placement_force(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask, uint64_t now_us,
						 BH__Placement *out)
{
	Candidate_ *c = g_new(Candidate_, engines->len + 1);
	unsigned count = list_(m, engines, ask, now_us, c);
	unsigned most = bh__placement_is_tight(ask->event_gap_us) ? 1 : most_parts_(ask, count);
	bool found = false;

	qsort(c, count, sizeof *c, compare_for_force_);
	for (unsigned parts = 1; parts <= most && count; parts++) {
		BH__Placement p;
		if (!fill_(m, c, count, parts, ask, now_us, &p))
			continue;
		if (!found || p.damage < out->damage ||
			(p.damage <= out->damage && p.read_end_us < out->read_end_us) ||
			(!is_in_time_(ask, out, now_us) && is_in_time_(ask, &p, now_us) &&
			 p.damage < bh__placement_value(ask->prompt_tokens) * BH__LATE_LOSS))
			*out = p;
		found = true;
	}
	g_free(c);
	return found;
}

static bool is_in_time_(const BH__Ask *ask, const BH__Placement *p, uint64_t now_us)
{
	return !ask->first_event_us ||
		   (double)(p->read_end_us - now_us) / 1000 + FIRST_MARGIN_MS_ <= (double)ask->first_event_us / 1000;
}

/* Fills in a placement on the first `parts` candidates; the one that answers may be any of them, or, if none
 * can, one further on. Returns false if no engine has a free slot, or the memory is not there. */
static bool fill_(const BH__EngineModel *m, Candidate_ *c, unsigned count, unsigned parts, const BH__Ask *ask,
				  uint64_t now_us, BH__Placement *out)
{
	uint64_t need_tokens = ask->prompt_tokens + ask->max_tokens;
	double part_ms = bh__engine_model_read_ms(m, ask->prompt_tokens, parts);

	if (!choose_home_(c, count, ask, part_ms) || !may_help_(c, parts) ||
		!share_memory_(c, parts, need_tokens, out))
		return false;
	out->count = parts;
	out->read_end_us = 0;
	out->damage = 0;
	for (unsigned i = 0; i < parts; i++) {
		uint64_t end_us = bh__pass_clock_predict_read(&c[i].engine->clock, m, part_ms, i > 0, now_us);
		out->engine[i] = c[i].engine;
		out->read_end_us = MAX(out->read_end_us, end_us);
		if (c[i].next_ms + part_ms * c[i].engine->clock.pace > c[i].limit_ms)
			out->damage += c[i].loss;
		out->damage += BH__LATE_LOSS * bh__pass_clock_get_damage(&c[i].engine->clock, part_ms, now_us);
	}
	return true;
}

/* Returns true if all but the first of `parts` engines may read for one more prompt of another: an engine
 * refuses to help more than it has slots. */
static bool may_help_(const Candidate_ *c, unsigned parts)
{
	for (unsigned i = 1; i < parts; i++)
		if (!c[i].helps_free)
			return false;
	return true;
}

/* Puts the engine that is to answer first. It must have a free slot. Best is one with the memory for the
 * whole, and with so little to read that the stream does not pause for it once it has begun; the earlier
 * candidate counts more. Returns false if no engine has a free slot. */
static bool choose_home_(Candidate_ *c, unsigned count, const BH__Ask *ask, double part_ms)
{
	uint64_t need_tokens = ask->prompt_tokens + ask->max_tokens;
	double limit_ms = gap_limit_ms_(ask->event_gap_us);
	unsigned best = count;
	unsigned best_score = 0;
	Candidate_ home;

	for (unsigned i = 0; i < count; i++) {
		bool holds = c[i].kv_free_tokens >= need_tokens;
		bool flows = limit_ms <= 0 || c[i].pending_ms + part_ms * c[i].engine->clock.pace <= limit_ms;
		unsigned score = (holds ? 2 : 0) + (flows ? 1 : 0);
		if (!c[i].slots_free)
			continue;
		if (best == count || score > best_score ||
			(!holds && score == best_score && c[i].kv_free_tokens > c[best].kv_free_tokens)) {
			best = i;
			best_score = score;
		}
	}
	if (best == count)
		return false;
	home = c[best];
	for (unsigned i = best; i > 0; i--) /* those before it move up, and may fall out of the first ones */
		c[i] = c[i - 1];
	c[0] = home;
	return true;
}

/* Spreads the memory: the first engine takes what it can, the helpers with the most room the rest. Returns
 * false if it does not fit. */
static bool share_memory_(const Candidate_ *c, unsigned parts, uint64_t need_tokens, BH__Placement *out)
{
	uint64_t left = need_tokens;

	for (unsigned i = 0; i < parts; i++)
		out->kv_tokens[i] = 0;
	out->kv_tokens[0] = MIN(left, c[0].kv_free_tokens);
	left -= out->kv_tokens[0];
	while (left) {
		unsigned best = 0;
		for (unsigned i = 1; i < parts; i++)
			if (!c[i].limited && !out->kv_tokens[i] &&
				(!best || c[i].kv_free_tokens > c[best].kv_free_tokens))
				best = i;
		if (!best || !c[best].kv_free_tokens)
			return false;
		out->kv_tokens[best] = MIN(left, c[best].kv_free_tokens);
		left -= out->kv_tokens[best];
	}
	return true;
}
