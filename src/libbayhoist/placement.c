/* SPDX-License-Identifier: BSD-3-Clause */
/* The choice of engines. A prompt may be read in even parts by up to 17 engines at once. Each number of parts
 * is tried: more parts come to an end sooner, but lengthen a pass on more engines, and a pass that is longer
 * than a stream may pause spoils that stream. So the cost of a placement is the value of the streams that it
 * makes late, that of the request itself if its first event comes late, and small charges that keep prompts
 * of unlike lengths apart: streams that must not pause gather on few engines, and long prompts are read on
 * the others. */
#include "placement.h"

#include <math.h>
#include <stdlib.h>

#define TOKENS_PER_VALUE_                                                                                    \
	12000.0             /* a prompt of so many tokens more is worth one more; a fit to the users' sheets */
#define LATE_LOSS_ 0.75 /* share of a value that is lost when an answer is late; the sheets' */
#define GAP_MARGIN_MS_ 25.0             /* of a pause, for the network and for what the reckoning misses */
#define FIRST_MARGIN_MS_ 40.0           /* the same of a first event */
#define PART_MIN_TOKENS_ 1500           /* smaller parts are not worth a helper */
#define KV_FILL_ 0.94                   /* of an engine's memory that is given out */
#define TIGHT_GAP_US_ (300 * BH__MS_US) /* streams that may pause no longer are kept from long reads */
#define OVERLAP_CHARGE_ 0.006           /* for each tight stream on an engine that reads a long part */
#define LONG_PART_MS_ 45.0
#define SLOW_CHARGE_PER_S_ 0.6 /* of a value, for each second to the first event */
#define WORK_CHARGE_ 0.004     /* for each helper: its pass, its connection */
#define GATHER_CHARGE_ 0.05    /* for a tight stream on an engine that has none */

static const unsigned PartCounts_[] = {1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17};

typedef struct {
	BH__PassEngine *engine;
	double cost;
	uint64_t read_end_us;
	uint64_t kv_free_tokens;
	bool may_answer; /* has a free slot */
} Candidate_;

static bool is_avoided_(const BH__Ask *ask, uint64_t endpoint_id);
static unsigned list_(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask, bool avoid,
					  uint64_t now_us, Candidate_ *out);
static double damage_(const BH__EngineModel *m, const BH__PassEngine *e, const BH__Ask *ask, double part_ms);
static double gap_limit_ms_(uint64_t event_gap_us);
static int compare_(const void *a, const void *b);
static bool try_parts_(const BH__EngineModel *m, Candidate_ *c, unsigned count, const BH__Ask *ask,
					   unsigned parts, uint64_t now_us, BH__Placement *out);
static bool choose_home_(Candidate_ *c, unsigned count, unsigned parts, uint64_t need_tokens);
static bool share_memory_(const Candidate_ *c, unsigned parts, uint64_t need_tokens, BH__Placement *out);
static double own_cost_(const BH__Ask *ask, uint64_t read_end_us, uint64_t now_us);

/* Returns what an answer to a prompt is worth, in a unit of our own. */
double bh__placement_value(uint64_t prompt_tokens)
{
	return 1.0 + (double)prompt_tokens / TOKENS_PER_VALUE_;
}

bool bh__pass_engine_is_usable(const BH__PassEngine *e, uint64_t now_us)
{
	return !e->leaving && now_us >= e->set_aside_until_us;
}

static bool is_avoided_(const BH__Ask *ask, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < ask->avoid_count; i++)
		if (ask->avoid[i] == endpoint_id)
			return true;
	return false;
}

/* Finds the placement of least cost. Returns false if no engine can take the request now. */
bool bh__placement_find(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask, uint64_t now_us,
						BH__Placement *out)
{
	Candidate_ *c = g_new(Candidate_, engines->len + 1);
	unsigned count = list_(m, engines, ask, true, now_us, c);
	bool found = false;

	if (!count)
		count = list_(m, engines, ask, false, now_us, c);
	for (unsigned i = 0; i < G_N_ELEMENTS(PartCounts_); i++) {
		BH__Placement p;
		unsigned parts = PartCounts_[i];
		if (parts > count || (parts > 1 && ask->prompt_tokens / parts < PART_MIN_TOKENS_))
			break;
		if (try_parts_(m, c, count, ask, parts, now_us, &p) && (!found || p.cost < out->cost)) {
			*out = p;
			found = true;
		}
	}
	g_free(c);
	return found;
}

/* Lists the engines that may be used; without those that the ask avoids if `avoid`. */
static unsigned list_(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask, bool avoid,
					  uint64_t now_us, Candidate_ *out)
{
	uint64_t capacity = (uint64_t)((double)m->kv_tokens * KV_FILL_);
	unsigned count = 0;

	for (guint i = 0; i < engines->len; i++) {
		BH__PassEngine *e = g_ptr_array_index(engines, i);
		if (!bh__pass_engine_is_usable(e, now_us) || (avoid && is_avoided_(ask, e->endpoint_id)))
			continue;
		bh__pass_clock_advance(&e->clock, m, now_us);
		out[count++] =
			(Candidate_){.engine = e,
						 .may_answer = e->homes->len<m->slots, .kv_free_tokens = capacity> e->kv_used_tokens
										   ? capacity - e->kv_used_tokens
										   : 0};
	}
	return count;
}

/* Returns the longest pass that a stream with such a gap bears, in ms; 0: any. */
static double gap_limit_ms_(uint64_t event_gap_us)
{
	return event_gap_us ? (double)event_gap_us / 1000 - GAP_MARGIN_MS_ : 0;
}

/* Returns the value that `part_ms` of reading in an engine's next pass spoils there, and the charges for it.
 */
static double damage_(const BH__EngineModel *m, const BH__PassEngine *e, const BH__Ask *ask, double part_ms)
{
	double before_ms = bh__pass_clock_next_pass_ms(&e->clock, m, 0);
	double after_ms = bh__pass_clock_next_pass_ms(&e->clock, m, part_ms);
	bool tight = ask->event_gap_us && ask->event_gap_us <= TIGHT_GAP_US_;
	unsigned tight_streams = 0;
	double cost = 0;

	for (guint i = 0; i < e->homes->len; i++) {
		const BH__PlacedRequest *r = g_ptr_array_index(e->homes, i);
		double limit_ms = gap_limit_ms_(r->event_gap_us);
		if (limit_ms > 0 && after_ms > limit_ms && before_ms <= limit_ms)
			cost += r->value * LATE_LOSS_;
		tight_streams += limit_ms > 0 && r->event_gap_us <= TIGHT_GAP_US_;
	}
	if (part_ms > LONG_PART_MS_)
		cost += OVERLAP_CHARGE_ * tight_streams;
	if (tight && !tight_streams)
		cost += GATHER_CHARGE_;
	return cost;
}

/* Cheapest first, and of equal ones the soonest. */
static int compare_(const void *a, const void *b)
{
	const Candidate_ *x = a;
	const Candidate_ *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->read_end_us < y->read_end_us ? -1 : x->read_end_us > y->read_end_us;
}

/* Returns what the request itself loses by a first event at that time. */
static double own_cost_(const BH__Ask *ask, uint64_t read_end_us, uint64_t now_us)
{
	double value = bh__placement_value(ask->prompt_tokens);
	double wait_ms = (double)(read_end_us - now_us) / 1000;
	double aim_ms = (double)ask->first_event_us / 1000 - FIRST_MARGIN_MS_;
	double cost = value * SLOW_CHARGE_PER_S_ * wait_ms / 1000;

	if (ask->first_event_us && wait_ms > aim_ms)
		cost += value * LATE_LOSS_ + value * (wait_ms - aim_ms) / 10000;
	return cost;
}

static bool try_parts_(const BH__EngineModel *m, Candidate_ *c, unsigned count, const BH__Ask *ask,
					   unsigned parts, uint64_t now_us, BH__Placement *out)
{
	double part_ms = bh__engine_model_read_ms(m, ask->prompt_tokens, parts);
	double pass_ms;

	for (unsigned i = 0; i < count; i++) {
		c[i].read_end_us = bh__pass_clock_predict_read(&c[i].engine->clock, m, part_ms, now_us);
		c[i].cost = damage_(m, c[i].engine, ask, part_ms) + own_cost_(ask, c[i].read_end_us, now_us) / parts;
	}
	qsort(c, count, sizeof *c, compare_);
	if (!choose_home_(c, count, parts, ask->prompt_tokens + ask->max_tokens))
		return false;
	if (!share_memory_(c, parts, ask->prompt_tokens + ask->max_tokens, out))
		return false;
	out->count = parts;
	out->part_ms = part_ms;
	out->read_end_us = 0;
	out->cost = WORK_CHARGE_ * (parts - 1);
	for (unsigned i = 0; i < parts; i++) {
		out->engine[i] = c[i].engine;
		out->read_end_us = MAX(out->read_end_us, c[i].read_end_us);
		out->cost += damage_(m, c[i].engine, ask, part_ms);
	}
	out->cost += own_cost_(ask, out->read_end_us, now_us);
	pass_ms =
		bh__engine_model_pass_ms(m, out->engine[0]->clock.streams + 1, out->engine[0]->clock.context_tokens);
	out->expected_ms = (double)(out->read_end_us - now_us) / 1000 / out->engine[0]->clock.pace;
	if (gap_limit_ms_(ask->event_gap_us) > 0 && pass_ms > gap_limit_ms_(ask->event_gap_us))
		out->cost += bh__placement_value(ask->prompt_tokens) * LATE_LOSS_;
	return true;
}

/* Puts an engine that can answer first: the cheapest with a free slot and the memory for the whole, else the
 * one with a free slot and the most memory. Returns false if no engine has a free slot. */
static bool choose_home_(Candidate_ *c, unsigned count, unsigned parts, uint64_t need_tokens)
{
	unsigned best = count;
	Candidate_ home;

	for (unsigned i = 0; i < count; i++) {
		if (!c[i].may_answer)
			continue;
		if (c[i].kv_free_tokens >= need_tokens) {
			best = i;
			break;
		}
		if (best == count || c[i].kv_free_tokens > c[best].kv_free_tokens)
			best = i;
	}
	if (best == count)
		return false;
	home = c[best];
	/* those before it move up; if it was none of the first `parts`, the last of these falls out */
	for (unsigned i = MIN(best, parts - 1); i > 0; i--)
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
			if (!out->kv_tokens[i] && (!best || c[i].kv_free_tokens > c[best].kv_free_tokens))
				best = i;
		if (!best || !c[best].kv_free_tokens)
			return false;
		out->kv_tokens[best] = MIN(left, c[best].kv_free_tokens);
		left -= out->kv_tokens[best];
	}
	return true;
}
