/* SPDX-License-Identifier: BSD-3-Clause */
/* Tight streams and long prompts share the engines, in a proportion that can change within a second.
 * A long prefill cannot be interrupted, so an engine that prefills one is lost to tight streams until it
 * ends.
 *
 * Engines are therefore reserved for the tight requests that run and that wait, and for a few more, by the
 * slots that the engine model names. There is no fixed share for either kind: the set follows the requests,
 * and when tight ones become fewer, their engines prefill long prompts again at once. */
#include "engine_division.h"

#include <math.h>

#define SPARE_TIGHT_ 3 /* tight requests beyond those that are there, for which engines are reserved */
/* Engines beyond this share are not reserved before tight streams run on them. */
#define RESERVED_SHARE_MAX_ 0.5

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
unsigned bh__engine_division_get_wanted(const BH__EngineDivision *s, const BH__EngineModel *m)
{
	double per_engine = m->slots > BH__SPARE_SLOTS ? m->slots - BH__SPARE_SLOTS : 1;

	return (unsigned)ceil((s->tight_count + SPARE_TIGHT_) / per_engine);
}

/* Decides which of the engines are reserved: those with tight requests, and as many more as are wanted, the
 * first ones in the planner's order, so that the choice is stable. `waiting_tight` is the number of tight
 * requests that wait for an engine. */
void bh__engine_division_update(BH__EngineDivision *s, const BH__EngineModel *m, GPtrArray *engines,
								unsigned waiting_tight, uint64_t now_us)
{
	unsigned wanted;

	*s = (BH__EngineDivision){.decided_us = now_us, .tight_count = waiting_tight};
	for (guint i = 0; i < engines->len; i++) {
		BH__IterationEngine *e = g_ptr_array_index(engines, i);
		unsigned tight = count_tight_(e);
		e->reserved = tight > 0;
		s->tight_count += tight;
		s->reserved += e->reserved;
		s->engine_count += bh__iteration_engine_is_usable(e, now_us);
		s->helping += e->helper_parts > 0;
	}
	wanted = MIN(bh__engine_division_get_wanted(s, m), (unsigned)(s->engine_count * RESERVED_SHARE_MAX_));
	for (guint i = 0; i < engines->len && s->reserved < wanted; i++) {
		BH__IterationEngine *e = g_ptr_array_index(engines, i);
		if (e->reserved || !can_take_(e, now_us))
			continue;
		e->reserved = true;
		s->reserved++;
	}
}
