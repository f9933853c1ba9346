/* SPDX-License-Identifier: BSD-3-Clause */
/* Choice of engines. Prefill work lengthens an engine's next iteration, and an iteration that is longer than
 * a stream may pause makes that stream late. The streams on an engine therefore set a limit on its next
 * iteration, and a prompt is split evenly over enough engines that each part keeps its engine within the
 * limit.
 *
 * Streams that may pause only briefly ("tight" streams) are packed on as few engines as can generate them,
 * always starting with the same engines. Other prompts are prefilled on the remaining engines, where
 * iterations may be long. This separates the two kinds without a fixed share for either: the boundary moves
 * with the load. */
#include "placement.h"

#include <stdlib.h>
#include "bayhoist/planner.h"

/* Prompt tokens that add 1 to the utility of an answer, derived from the utilities of the users' kinds of
 * request. */
#define TOKENS_PER_UTILITY_ 12000.0
/* Margins for the network and for prediction errors: of the event gap, and of the time to the first event. */
#define GAP_MARGIN_MS_ 25.0
#define FIRST_EVENT_MARGIN_MS_ 35.0
/* Share of the time to the first event that a tight prompt keeps as a margin if a reserved engine can start
 * it that early. */
#define SPARE_TARGET_SHARE_ 0.33
/* Limit on an iteration of an engine without streams, where a stream may start at any time. */
#define LOOSE_LIMIT_MS_ ((double)BH__MAX_ITERATION_MS)
#define TIGHT_GAP_US_ (300 * BH__MS_US) /* streams with an event gap up to this are tight */
#define TIGHT_LIMIT_MS_ 180.0           /* limit on an iteration of an engine reserved for tight streams */
#define TIGHT_HEADROOM_MS_ 40.0         /* part of such an iteration that is kept free for tight prompts */
#define TIGHT_PARTS_MAX_ 4              /* maximum number of parts of a tight prompt */
#define PART_MIN_TOKENS_ 1000           /* smaller parts do not justify a helper */
#define LATE_SPARE_SLOTS_ 3 /* slots beyond BH__SPARE_SLOTS that late requests leave to other requests */
/* Fewer parts are preferred if their prefill time is below this share of the time with more parts. */
#define FEWER_PARTS_TIME_RATIO_ 0.85
#define KV_FILL_ 0.94 /* share of an engine's memory that is granted */

typedef struct {
	BH__IterationEngine *engine;
	unsigned order;           /* position in the planner's list of engines */
	unsigned tight;           /* tight streams, running or granted */
	bool limited;             /* a rate limit is in force */
	bool reserved;            /* reserved for tight streams, of which it may have none yet */
	double limit_ms;          /* limit on the next iteration */
	double next_iteration_ms; /* next iteration without the new prompt; if idle, the first of a new stream */
	double overtake_headroom_ms; /* longest part that may overtake the waiting prompts, at slowdown 1 */
	double pending_ms;           /* rest of the running iteration plus the next one */
	double delay_cost;           /* utility lost if an iteration beyond `limit_ms` makes streams late */
	unsigned slots_free;
	unsigned helper_slots_free; /* parts for other engines that it may prefill in addition */
	uint64_t kv_free_tokens;
} Candidate_;

static bool contains_(const uint64_t *list, unsigned count, uint64_t endpoint_id);
static unsigned list_candidates_(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask,
								 uint64_t now_us, Candidate_ *out);
static void init_candidate_(const BH__EngineModel *m, BH__IterationEngine *e, uint64_t now_us, Candidate_ *c);
static double first_gap_used_ms_(const Candidate_ *c, const BH__PlacedRequest *r, uint64_t now_us);
static double gap_limit_ms_(uint64_t event_gap_us);
static double part_headroom_ms_(const Candidate_ *c);
static int compare_for_tight_(const void *a, const void *b);
static int compare_for_long_(const void *a, const void *b);
static int compare_for_loose_(const void *a, const void *b);
static int compare_for_cost_(const void *a, const void *b);
static bool find_tight_(const BH__EngineModel *m, Candidate_ *c, unsigned count, const BH__Ask *ask,
						uint64_t now_us, BH__Placement *out);
static bool find_tight_parts_(const BH__EngineModel *m, const Candidate_ *c, unsigned count, unsigned parts,
							  const BH__Ask *ask, double within_ms, uint64_t now_us, BH__Placement *out);
static double prefill_end_ms_(const BH__EngineModel *m, const Candidate_ *c, double part_ms, bool for_helper,
							  uint64_t now_us);
static bool find_long_(const BH__EngineModel *m, Candidate_ *c, unsigned count, const BH__Ask *ask,
					   double idle_prefill_ms, uint64_t now_us, BH__Placement *out);
static unsigned choose_parts_(const BH__EngineModel *m, const Candidate_ *c, unsigned count,
							  const BH__Ask *ask, uint64_t now_us);
static unsigned max_parts_(const BH__Ask *ask, unsigned count);
static bool build_placement_(const BH__EngineModel *m, Candidate_ *c, unsigned count, unsigned parts,
							 const BH__Ask *ask, uint64_t now_us, BH__Placement *out);
static bool choose_primary_(Candidate_ *c, unsigned count, const BH__Ask *ask, double part_ms);
static bool helpers_have_slots_(const Candidate_ *c, unsigned parts);
static bool split_memory_(const Candidate_ *c, unsigned parts, uint64_t need_tokens, BH__Placement *out);
static bool meets_target_(const BH__Ask *ask, const BH__Placement *p, uint64_t now_us);

/* Returns the length of a grant's prompt, all of its parts together. */
uint64_t bh__grant_get_prompt_tokens(const BH__Grant *g)
{
	uint64_t tokens = 0;

	for (unsigned i = 0; i < g->member_count; i++)
		tokens += g->member[i].token_count;
	return tokens;
}

/* Returns the utility of an answer in time to a prompt of `prompt_tokens` tokens. The unit is arbitrary; the
 * utility of an answer to an empty prompt is 1. */
double bh__placement_utility(uint64_t prompt_tokens)
{
	return 1.0 + (double)prompt_tokens / TOKENS_PER_UTILITY_;
}

/* Returns true if streams with this event gap are tight. A gap of 0 means that none was specified. */
bool bh__placement_is_tight(uint64_t event_gap_us)
{
	return event_gap_us && event_gap_us <= TIGHT_GAP_US_;
}

static bool contains_(const uint64_t *list, unsigned count, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < count; i++)
		if (list[i] == endpoint_id)
			return true;
	return false;
}

/* Returns true if an engine has requested a backoff from the asking node. */
bool bh__ask_backs_off_from(const BH__Ask *ask, uint64_t endpoint_id)
{
	return contains_(ask->backoff, ask->backoff_count, endpoint_id);
}

/* Fills `out` with the usable engines and returns their number. If all engines are ejected, those of them
 * that live are used. Engines that requested a backoff from the asking node are left out. Engines that the
 * ask avoids or where answers are overdue are listed only if there are no others. */
static unsigned list_candidates_(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask,
								 uint64_t now_us, Candidate_ *out)
{
	bool all_ejected = bh__iteration_engines_are_ejected(engines, now_us);
	unsigned count = 0;

	for (int avoid = 1; avoid >= 0 && !count; avoid--) {
		for (guint i = 0; i < engines->len; i++) {
			BH__IterationEngine *e = g_ptr_array_index(engines, i);
			bool usable = all_ejected ? bh__iteration_engine_is_last_resort(e, now_us)
									  : bh__iteration_engine_is_usable(e, now_us);
			if (!usable || bh__ask_backs_off_from(ask, e->endpoint_id) ||
				(avoid && (contains_(ask->avoid, ask->avoid_count, e->endpoint_id) ||
						   bh__iteration_engine_is_overdue(e, now_us))))
				continue;
			bh__iteration_clock_advance(&e->clock, m, now_us);
			out[count].order = i;
			init_candidate_(m, e, now_us, &out[count++]);
		}
	}
	return count;
}

/* Initializes a candidate from the state of an engine. For an engine without streams, all of the waiting
 * prefill counts towards its next iteration, because all of it may still be left when the next stream starts.
 */
static void init_candidate_(const BH__EngineModel *m, BH__IterationEngine *e, uint64_t now_us, Candidate_ *c)
{
	uint64_t capacity = (uint64_t)((double)m->kv_tokens * KV_FILL_);

	c->engine = e;
	c->tight = 0;
	c->delay_cost = 0;
	c->limit_ms = LOOSE_LIMIT_MS_;
	c->next_iteration_ms = bh__iteration_clock_predict_next_iteration_ms(&e->clock, m, 0);
	c->pending_ms = c->next_iteration_ms + bh__iteration_clock_get_iteration_left_ms(&e->clock, now_us);
	c->overtake_headroom_ms = bh__iteration_clock_get_headroom_ms(&e->clock, m, now_us);
	c->slots_free = e->primaries->len < m->slots ? m->slots - e->primaries->len : 0;
	c->helper_slots_free = e->helper_parts < m->slots ? m->slots - e->helper_parts : 0;
	c->limited = bh__endpoint_rate_is_limited(&e->rate, now_us);
	c->kv_free_tokens = capacity > e->kv_used_tokens ? capacity - e->kv_used_tokens : 0;
	for (guint i = 0; i < e->primaries->len; i++) {
		const BH__PlacedRequest *r = g_ptr_array_index(e->primaries, i);
		double limit_ms = gap_limit_ms_(r->event_gap_us);
		if (limit_ms <= 0)
			continue;
		limit_ms -= first_gap_used_ms_(c, r, now_us);
		c->tight += bh__placement_is_tight(r->event_gap_us);
		c->limit_ms = MIN(c->limit_ms, limit_ms);
		if (c->next_iteration_ms <= limit_ms)
			c->delay_cost += r->answer_utility * BH__LATE_UTILITY_LOSS;
	}
	c->reserved = e->reserved || c->tight > 0;
	if (c->tight) /* two iterations' parts in one would be a pause that is too long */
		c->limit_ms -= bh__iteration_clock_get_uncertain_ms(&e->clock, now_us) * e->clock.slowdown;
	if (c->reserved)
		c->limit_ms = MIN(c->limit_ms, (double)TIGHT_LIMIT_MS_);
}

/* Returns how much of a stream's first pause falls before the next iteration of its primary engine, in
 * milliseconds. The answer to a prompt that several engines prefill starts when the last of them is done, in
 * the middle of an iteration of the primary engine. The answer is generated from the next iteration on, so
 * its first pause is the rest of the running iteration plus the whole next one. Returns 0 for all other
 * streams. */
static double first_gap_used_ms_(const Candidate_ *c, const BH__PlacedRequest *r, uint64_t now_us)
{
	const BH__IterationClock *clock = &c->engine->clock;
	double left_ms = bh__iteration_clock_get_iteration_left_ms(clock, now_us);

	if (r->grant.member_count < 2 || !clock->streams)
		return 0;
	if (!r->grant.has_first_event)
		return left_ms;
	if (!r->stream_started_us || r->stream_started_us < clock->iteration_start_us)
		return 0;
	return left_ms + (double)(now_us - r->stream_started_us) / 1000;
}

/* Returns the longest iteration, in milliseconds, that does not make a stream with this event gap late; 0:
 * any. */
static double gap_limit_ms_(uint64_t event_gap_us)
{
	return event_gap_us ? (double)event_gap_us / 1000 - GAP_MARGIN_MS_ : 0;
}

/* Returns the longest part that fits on an engine, in milliseconds of prefill at slowdown 1. On an engine
 * with streams or reserved for them the part lengthens the next iteration; on other engines it delays the
 * prompts that wait there. */
static double part_headroom_ms_(const Candidate_ *c)
{
	double iteration_ms = c->engine->clock.streams || c->reserved ? c->next_iteration_ms : 0;

	return MIN(c->overtake_headroom_ms, (c->limit_ms - iteration_ms) / c->engine->clock.slowdown);
}

/* Finds a placement that makes no stream late. An engine that generates no answer may prefill for
 * `idle_prefill_ms` milliseconds if that is longer than its normal limit. Returns false if there is no such
 * placement now. */
bool bh__placement_find(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask,
						double idle_prefill_ms, uint64_t now_us, BH__Placement *out)
{
	Candidate_ *c = g_new(Candidate_, engines->len + 1);
	unsigned count = list_candidates_(m, engines, ask, now_us, c);
	bool found = bh__placement_is_tight(ask->event_gap_us)
					 ? find_tight_(m, c, count, ask, now_us, out)
					 : find_long_(m, c, count, ask, idle_prefill_ms, now_us, out);

	g_free(c);
	return found;
}

/* Orders engines with tight streams first, in the order of the list, so that the same engines fill up; then
 * reserved engines; then the others by the length of their next iteration. */
static int compare_for_tight_(const void *a, const void *b)
{
	const Candidate_ *x = a;
	const Candidate_ *y = b;

	if ((x->tight > 0) != (y->tight > 0))
		return x->tight > 0 ? -1 : 1;
	if (x->reserved != y->reserved)
		return x->reserved ? -1 : 1;
	if (!x->tight && x->next_iteration_ms != y->next_iteration_ms)
		return x->next_iteration_ms < y->next_iteration_ms ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

/* Places a tight prompt on at most TIGHT_PARTS_MAX_ engines that stay within their limits: on engines that
 * are reserved for tight streams if these start it with time to spare, otherwise on the first ones that start
 * it in time. Unreserved engines are not used for the margin alone; long prompts need them. */
static bool find_tight_(const BH__EngineModel *m, Candidate_ *c, unsigned count, const BH__Ask *ask,
						uint64_t now_us, BH__Placement *out)
{
	unsigned max_parts = MIN(max_parts_(ask, count), TIGHT_PARTS_MAX_);
	double target_ms = ask->first_event_us ? (double)ask->first_event_us / 1000 : G_MAXDOUBLE;
	unsigned reserved = 0;

	qsort(c, count, sizeof *c, compare_for_tight_);
	while (reserved < count && c[reserved].reserved)
		reserved++;
	for (unsigned parts = 1; parts <= max_parts; parts++)
		if (find_tight_parts_(m, c, reserved, parts, ask, target_ms * (1 - SPARE_TARGET_SHARE_), now_us, out))
			return true;
	for (unsigned parts = 1; parts <= max_parts; parts++)
		if (find_tight_parts_(m, c, count, parts, ask, target_ms - FIRST_EVENT_MARGIN_MS_, now_us, out))
			return true;
	return false;
}

/* Places a tight prompt on the first `parts` engines that stay within their limits and end the prefill within
 * `within_ms`. Returns false if there are fewer. */
static bool find_tight_parts_(const BH__EngineModel *m, const Candidate_ *c, unsigned count, unsigned parts,
							  const BH__Ask *ask, double within_ms, uint64_t now_us, BH__Placement *out)
{
	double part_ms = bh__engine_model_prefill_ms(m, ask->prompt_tokens, parts);
	unsigned spare_slots = BH__SPARE_SLOTS + (ask->first_event_us ? 0 : LATE_SPARE_SLOTS_);
	Candidate_ chosen[TIGHT_PARTS_MAX_];
	unsigned n = 0;

	for (unsigned i = 0; i < count && n < parts; i++) {
		double limit_ms = MIN(c[i].limit_ms, gap_limit_ms_(ask->event_gap_us));
		bool has_slot = n > 0 ? c[i].helper_slots_free > 0 : c[i].slots_free > spare_slots;
		if (!has_slot || part_ms > c[i].overtake_headroom_ms ||
			c[i].next_iteration_ms + part_ms * c[i].engine->clock.slowdown > limit_ms ||
			prefill_end_ms_(m, &c[i], part_ms, n > 0, now_us) > within_ms)
			continue;
		chosen[n++] = c[i];
	}
	return n == parts && build_placement_(m, chosen, n, parts, ask, now_us, out);
}

/* Returns the milliseconds until an engine would have prefilled a part. */
static double prefill_end_ms_(const BH__EngineModel *m, const Candidate_ *c, double part_ms, bool for_helper,
							  uint64_t now_us)
{
	return (double)(bh__iteration_clock_predict_prefill_end(&c->engine->clock, m, part_ms, for_helper,
															now_us) -
					now_us) /
		   1000;
}

/* Orders engines with free helper slots first, then engines that are not reserved for tight streams, then by
 * decreasing headroom. */
static int compare_for_long_(const void *a, const void *b)
{
	const Candidate_ *x = a;
	const Candidate_ *y = b;
	double p = part_headroom_ms_(x);
	double q = part_headroom_ms_(y);

	if ((x->helper_slots_free > 0) != (y->helper_slots_free > 0))
		return x->helper_slots_free > 0 ? -1 : 1;
	if (x->reserved != y->reserved)
		return x->reserved ? 1 : -1;
	return p > q ? -1 : p < q ? 1 : 0;
}

/* Orders engines that are not reserved for tight streams first, and otherwise like compare_for_long_(). */
static int compare_for_loose_(const void *a, const void *b)
{
	const Candidate_ *x = a;
	const Candidate_ *y = b;

	return x->reserved != y->reserved ? (x->reserved ? 1 : -1) : compare_for_long_(a, b);
}

/* Places a prompt that is not tight. Engines that are not reserved for tight streams are tried first; then
 * all engines, where reserved engines keep TIGHT_HEADROOM_MS_ for tight prompts. See bh__placement_find() for
 * `idle_prefill_ms`. */
static bool find_long_(const BH__EngineModel *m, Candidate_ *c, unsigned count, const BH__Ask *ask,
					   double idle_prefill_ms, uint64_t now_us, BH__Placement *out)
{
	unsigned loose = 0;
	unsigned parts;

	qsort(c, count, sizeof *c, compare_for_loose_);
	while (loose < count && !c[loose].reserved)
		loose++;
	if (idle_prefill_ms > 0)
		for (unsigned i = 0; i < loose; i++)
			if (!c[i].engine->primaries->len)
				c[i].limit_ms = MAX(c[i].limit_ms, idle_prefill_ms);
	for (unsigned i = loose; i < count; i++)
		c[i].limit_ms -= TIGHT_HEADROOM_MS_;
	parts = choose_parts_(m, c, loose, ask, now_us);
	if (parts && build_placement_(m, c, loose, parts, ask, now_us, out))
		return true;
	qsort(c, count, sizeof *c, compare_for_long_);
	parts = choose_parts_(m, c, count, ask, now_us);
	return parts && build_placement_(m, c, count, parts, ask, now_us, out);
}

/* Returns the number of parts with which the prompt is prefilled soonest while each part fits the headroom of
 * its engine, or 0 if no number of parts fits. Of numbers with similar times the largest is chosen, because
 * it keeps iterations short. The candidates are sorted by decreasing headroom, which puts slow engines last.
 */
static unsigned choose_parts_(const BH__EngineModel *m, const Candidate_ *c, unsigned count,
							  const BH__Ask *ask, uint64_t now_us)
{
	unsigned best = 0;
	uint64_t best_us = 0;

	for (unsigned parts = max_parts_(ask, count); parts > 0; parts--) {
		double part_ms = bh__engine_model_prefill_ms(m, ask->prompt_tokens, parts);
		uint64_t end_us = 0;
		if (part_ms > part_headroom_ms_(&c[parts - 1]) || (parts > 1 && !c[parts - 1].helper_slots_free))
			continue;
		for (unsigned i = 0; i < parts; i++)
			end_us = MAX(end_us, bh__iteration_clock_predict_prefill_end(&c[i].engine->clock, m, part_ms,
																		 i > 0, now_us));
		if (!best || (double)(end_us - now_us) < (double)(best_us - now_us) * FEWER_PARTS_TIME_RATIO_) {
			best = parts;
			best_us = end_us;
		}
	}
	return best;
}

/* Returns the largest number of parts into which a prompt may be split on `count` engines. */
static unsigned max_parts_(const BH__Ask *ask, unsigned count)
{
	uint64_t max_parts = MAX(ask->prompt_tokens / PART_MIN_TOKENS_, 1);

	return (unsigned)MIN(MIN(max_parts, count), BH__GRANT_MEMBERS_MAX);
}

/* Orders engines with free helper slots first, then by the delay cost of their streams, then by the length of
 * their next iteration. */
static int compare_for_cost_(const void *a, const void *b)
{
	const Candidate_ *x = a;
	const Candidate_ *y = b;

	if ((x->helper_slots_free > 0) != (y->helper_slots_free > 0))
		return x->helper_slots_free > 0 ? -1 : 1;
	if (x->delay_cost != y->delay_cost)
		return x->delay_cost < y->delay_cost ? -1 : 1;
	return x->next_iteration_ms < y->next_iteration_ms ? -1 : x->next_iteration_ms > y->next_iteration_ms;
}

/* Finds the placement with the lowest delay cost. Returns false if no engines can accept the request. */
bool bh__placement_find_min_cost(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask,
								 uint64_t now_us, BH__Placement *out)
{
	Candidate_ *c = g_new(Candidate_, engines->len + 1);
	unsigned count = list_candidates_(m, engines, ask, now_us, c);
	unsigned max_parts = bh__placement_is_tight(ask->event_gap_us) ? 1 : max_parts_(ask, count);
	bool found = false;

	qsort(c, count, sizeof *c, compare_for_cost_);
	for (unsigned parts = 1; parts <= max_parts && count; parts++) {
		BH__Placement p;
		if (!build_placement_(m, c, count, parts, ask, now_us, &p))
			continue;
		if (!found || p.delay_cost < out->delay_cost ||
			(p.delay_cost <= out->delay_cost && p.prefill_end_us < out->prefill_end_us) ||
			(!meets_target_(ask, out, now_us) && meets_target_(ask, &p, now_us) &&
			 p.delay_cost < bh__placement_utility(ask->prompt_tokens) * BH__LATE_UTILITY_LOSS))
			*out = p;
		found = true;
	}
	g_free(c);
	return found;
}

/* Returns true if the prompt is prefilled early enough for the first-event target, with a margin. Late
 * requests have no target. */
static bool meets_target_(const BH__Ask *ask, const BH__Placement *p, uint64_t now_us)
{
	return !ask->first_event_us || (double)(p->prefill_end_us - now_us) / 1000 + FIRST_EVENT_MARGIN_MS_ <=
									   (double)ask->first_event_us / 1000;
}

/* Builds a placement on the first `parts` candidates. The primary engine may be any candidate, also one
 * behind these. Returns false if no engine has a free slot, a helper has no free helper slot, or the memory
 * does not suffice. */
static bool build_placement_(const BH__EngineModel *m, Candidate_ *c, unsigned count, unsigned parts,
							 const BH__Ask *ask, uint64_t now_us, BH__Placement *out)
{
	uint64_t need_tokens = ask->prompt_tokens + ask->max_tokens;
	double part_ms = bh__engine_model_prefill_ms(m, ask->prompt_tokens, parts);

	if (!choose_primary_(c, count, ask, part_ms) || !helpers_have_slots_(c, parts) ||
		!split_memory_(c, parts, need_tokens, out))
		return false;
	out->count = parts;
	out->prefill_end_us = 0;
	out->delay_cost = 0;
	for (unsigned i = 0; i < parts; i++) {
		uint64_t end_us =
			bh__iteration_clock_predict_prefill_end(&c[i].engine->clock, m, part_ms, i > 0, now_us);
		out->engine[i] = c[i].engine;
		out->prefill_end_us = MAX(out->prefill_end_us, end_us);
		if (c[i].next_iteration_ms + part_ms * c[i].engine->clock.slowdown > c[i].limit_ms)
			out->delay_cost += c[i].delay_cost;
		out->delay_cost +=
			BH__LATE_UTILITY_LOSS * bh__iteration_clock_get_delay_cost(&c[i].engine->clock, part_ms, now_us);
	}
	return true;
}

/* Returns true if all of the first `parts` engines except the primary have a free helper slot. An engine
 * refuses more helper parts than it has slots. */
static bool helpers_have_slots_(const Candidate_ *c, unsigned parts)
{
	for (unsigned i = 1; i < parts; i++)
		if (!c[i].helper_slots_free)
			return false;
	return true;
}

/* Chooses the primary engine and moves it to the front. It must have a free slot. An engine with enough
 * memory for the whole request is preferred, then one whose waiting prefill is so short that the new stream
 * does not pause after its first event. Among engines without enough memory the one with the most free memory
 * is preferred; otherwise the earlier candidate is. Returns false if no engine has a free slot. */
static bool choose_primary_(Candidate_ *c, unsigned count, const BH__Ask *ask, double part_ms)
{
	uint64_t need_tokens = ask->prompt_tokens + ask->max_tokens;
	double limit_ms = gap_limit_ms_(ask->event_gap_us);
	unsigned best = count;
	unsigned best_score = 0;
	Candidate_ primary;

	for (unsigned i = 0; i < count; i++) {
		bool has_memory = c[i].kv_free_tokens >= need_tokens;
		bool starts_without_pause =
			limit_ms <= 0 || c[i].pending_ms + part_ms * c[i].engine->clock.slowdown <= limit_ms;
		unsigned score = (has_memory ? 2 : 0) + (starts_without_pause ? 1 : 0);
		if (!c[i].slots_free)
			continue;
		if (best == count || score > best_score ||
			(!has_memory && score == best_score && c[i].kv_free_tokens > c[best].kv_free_tokens)) {
			best = i;
			best_score = score;
		}
	}
	if (best == count)
		return false;
	primary = c[best];
	/* The candidates before it move back, and the last of the first `parts` may drop out of these. */
	for (unsigned i = best; i > 0; i--)
		c[i] = c[i - 1];
	c[0] = primary;
	return true;
}

/* Distributes the memory of a request: the primary engine holds as much as it can, the helpers with the most
 * free memory hold the rest, except rate-limited ones. Returns false if the memory does not suffice. */
static bool split_memory_(const Candidate_ *c, unsigned parts, uint64_t need_tokens, BH__Placement *out)
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
