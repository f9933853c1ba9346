/* SPDX-License-Identifier: BSD-3-Clause */
/* What a planner does when engines are ejected: withdrawn failures, and what follows if all are. Then those
 * that live are used all the same. */
#include "planner_internal.h"

/* Takes back the failures that a node reported before it knew that its own links were cut. Returns the number
 * of engines that it had reported. */
unsigned bh__planner_withdraw_failures(BH__Planner *p, uint64_t node_id, uint64_t now_us)
{
	unsigned count = 0;

	for (guint i = 0; i < p->engines->len; i++) {
		BH__IterationEngine *e = g_ptr_array_index(p->engines, i);
		count += bh__ejection_withdraw(&e->ejection, node_id);
	}
	if (count)
		bh__planner_place_waiting(p, now_us);
	return count;
}

/* Records whether an engine has answered a request for its report that was sent at `asked_us`. */
void bh__planner_process_answer(BH__Planner *p, uint64_t endpoint_id, uint64_t asked_us, bool answered,
								uint64_t now_us)
{
	BH__IterationEngine *e = g_hash_table_lookup(p->by_id, &endpoint_id);

	if (!e)
		return;
	bh__ejection_note_answer(&e->ejection, asked_us, answered, now_us);
	if (bh__iteration_engines_are_ejected(p->engines, now_us))
		bh__planner_place_waiting(p, now_us);
}

/* Returns how long an ask has to wait if all engines are ejected; 0 if any engine is not, or one that is
 * lives. It may soon be known whether an engine lives. Engines that requested a backoff from the asking node
 * are not considered. */
uint64_t bh__planner_get_ejection_wait_us(const BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	bool all_ejected = bh__iteration_engines_are_ejected(p->engines, now_us);
	uint64_t min_us = UINT64_MAX;

	for (guint i = 0; i < p->engines->len; i++) {
		const BH__IterationEngine *e = g_ptr_array_index(p->engines, i);
		uint64_t wait_us = e->ejection.until_us > now_us ? e->ejection.until_us - now_us : 0;
		uint64_t answer_us = bh__ejection_get_answer_wait_us(&e->ejection, now_us);
		if (e->leaving || bh__ask_backs_off_from(ask, e->endpoint_id))
			continue;
		if (all_ejected && (answer_us || bh__ejection_is_alive(&e->ejection)))
			wait_us = MIN(wait_us, answer_us);
		min_us = MIN(min_us, wait_us);
	}
	return min_us == UINT64_MAX ? 0 : min_us;
}
