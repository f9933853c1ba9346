/* SPDX-License-Identifier: BSD-3-Clause */
/* What a planner may do with one engine, by its state. */
#include "placement.h"

/* An answer that has not started this long after its predicted start shows that its engine is stalled or in a
 * longer iteration than predicted. This is shorter than the event gap of tight streams. */
#define OVERDUE_US_ (100 * BH__MS_US)

/* Returns true if an engine may be granted a request: it is not leaving, not ejected, and within its rate
 * limits. */
bool bh__iteration_engine_is_usable(const BH__IterationEngine *e, uint64_t now_us)
{
	return !e->leaving && now_us >= e->ejection.until_us && bh__endpoint_rate_admits(&e->rate, now_us);
}

/* Returns true if an engine may be granted a request while all engines are ejected: it has shown since its
 * last failure that it lives, is not leaving, and is within its rate limits. */
bool bh__iteration_engine_is_last_resort(const BH__IterationEngine *e, uint64_t now_us)
{
	return !e->leaving && bh__ejection_is_alive(&e->ejection) && bh__endpoint_rate_admits(&e->rate, now_us);
}

/* Returns true if all engines that are not leaving are ejected, and there are any. Ejections tell engines
 * that fail from others that do not, which these no longer do: what all engines fail may be due to the
 * requests. */
bool bh__iteration_engines_are_ejected(const GPtrArray *engines, uint64_t now_us)
{
	unsigned ejected = 0;

	for (guint i = 0; i < engines->len; i++) {
		const BH__IterationEngine *e = g_ptr_array_index(engines, i);
		if (e->leaving)
			continue;
		if (now_us >= e->ejection.until_us)
			return false;
		ejected++;
	}
	return ejected > 0;
}

/* Returns true if an answer from this engine is overdue and no other answer has started there since it was
 * due. Prompts with helpers do not count, because any of the engines may be the cause. */
bool bh__iteration_engine_is_overdue(const BH__IterationEngine *e, uint64_t now_us)
{
	for (guint i = 0; i < e->primaries->len; i++) {
		const BH__PlacedRequest *r = g_ptr_array_index(e->primaries, i);
		uint64_t due_us = r->granted_us + r->grant.expected_us;
		if (!r->grant.has_first_event && r->grant.member_count == 1 && now_us > due_us + OVERDUE_US_ &&
			e->last_stream_started_us < due_us)
			return true;
	}
	return false;
}
