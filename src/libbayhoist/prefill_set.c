/* SPDX-License-Identifier: BSD-3-Clause */
/* Tight streams and long prompts share the engines, in a proportion that can change within a second.
 * A long prefill cannot be interrupted, so an engine that reads one is lost to tight streams until it ends.
 *
 * Engines are therefore set aside for the tight requests that run and that wait, and for a few more, by the
 * slots that the engine model names. There is no fixed share for either kind: the set follows the requests,
 * and when tight ones become fewer, their engines read again at once. */
#include "prefill_set.h"

#include <math.h>

#define SPARE_TIGHT_ 3 /* tight requests beyond those that are there, for which engines are set aside */
/* Engines beyond this share are not set aside before tight streams run on them. */
#define SET_ASIDE_SHARE_MAX_ 0.5

static unsigned count_tight_(const BH__IterationEngine *e);
static bool can_take_(const BH__IterationEngine *e, uint64_t now_us);

/* Returns the number of tight requests that an engine has, running or granted. */
static unsigned count_tight_(const BH__IterationEngine *e)
{
	unsigned count = 0;

	for (guint i = 0; i < e->primaries->len; i++)
		count += bh__placement_is_tight(
			((const BH__PlacedRequest *)g_ptr_array_index(e->primaries, i))->event_gap_us);
	return count;
}

/* Returns true if an engine may be granted requests and is not stalled. */
static bool can_take_(const BH__IterationEngine *e, uint64_t now_us)
{
	return bh__iteration_engine_is_usable(e, now_us) && !bh__iteration_engine_is_overdue(e, now_us);
}

/* Returns the number of engines that the tight requests and the spare ones need, of any number of engines. */
unsigned bh__prefill_set_get_wanted(const BH__PrefillSet *s, const BH__EngineModel *m)
{
	double per_engine = m->slots > BH__SPARE_SLOTS ? m->slots - BH__SPARE_SLOTS : 1;

	return (unsigned)ceil((s->tight_count + SPARE_TIGHT_) / per_engine);
}

/* Decides which of the engines are set aside: those with tight requests, and as many more as are wanted, the
 * first ones in the planner's order, so that the choice is stable. `waiting_tight` is the number of tight
 * requests that wait for an engine. */
void bh__prefill_set_decide(BH__PrefillSet *s, const BH__EngineModel *m, GPtrArray *engines,
							unsigned waiting_tight, uint64_t now_us)
{
	unsigned wanted;

	*s = (BH__PrefillSet){.decided_us = now_us, .tight_count = waiting_tight};
	for (guint i = 0; i < engines->len; i++) {
		BH__IterationEngine *e = g_ptr_array_index(engines, i);
		unsigned tight = count_tight_(e);
		e->set_aside = tight > 0;
		s->tight_count += tight;
		s->set_aside += e->set_aside;
		s->engine_count += bh__iteration_engine_is_usable(e, now_us);
		s->reading += e->helper_parts > 0;
	}
	wanted = MIN(bh__prefill_set_get_wanted(s, m), (unsigned)(s->engine_count * SET_ASIDE_SHARE_MAX_));
	for (guint i = 0; i < engines->len && s->set_aside < wanted; i++) {
		BH__IterationEngine *e = g_ptr_array_index(engines, i);
		if (e->set_aside || !can_take_(e, now_us))
			continue;
		e->set_aside = true;
		s->set_aside++;
	}
}
