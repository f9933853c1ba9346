/* SPDX-License-Identifier: BSD-3-Clause */
/* The booked starts of a planner's waiting long prompts. The table of them is in booking.c. */
#include "planner_internal.h"

static void refuse_without_start_(BH__Planner *p, uint64_t now_us);

/* Returns true if an ask gets a booked start: a long prompt, at the scheduler. A local planner doesn't know
 * what other nodes use of the engines. */
bool bh__planner_books(const BH__Planner *p, const BH__Ask *ask)
{
	return !p->is_local && bh__start_rules_is_long(&p->model, ask->prompt_tokens, ask->event_gap_us);
}

/* Books the starts of the long prompts that wait, or refuses those for which there is none. */
void bh__planner_book(BH__Planner *p, uint64_t now_us)
{
	if (!p->is_local && bh__booking_table_update(p->bookings, &p->model, p->engines, &p->long_work,
												 p->waiting, p->port, now_us))
		refuse_without_start_(p, now_us);
}

/* Refuses the waiting asks that are known to find no place in time, so that their callers can come back when
 * there may be room. None is refused while the engines have room. */
static void refuse_without_start_(BH__Planner *p, uint64_t now_us)
{
	if (bh__start_rules_has_room(&p->model, p->engines, now_us))
		return;
	for (guint i = p->waiting->len; i-- > 0;) {
		BH__WaitingAsk w = *(BH__WaitingAsk *)g_ptr_array_index(p->waiting, i);
		uint64_t left_us = w.ask.deadline_us - MIN(now_us - w.arrived_us, w.ask.deadline_us);
		uint64_t retry_after_ms = MAX(left_us / BH__RETURN_SHARE / BH__MS_US, BH__RETRY_AFTER_MIN_MS);
		if (!bh__booking_table_has_no_start(p->bookings, w.ask.ask_id))
			continue;
		g_ptr_array_remove_index(p->waiting, i);
		bh__booking_table_withdraw(p->bookings, w.ask.ask_id, now_us + retry_after_ms * BH__MS_US, p->port,
								   now_us);
		p->counters.refusals++;
		p->port->refuse(p->port, &w.ask, BH__REASON_OVERLOAD, retry_after_ms);
	}
}
