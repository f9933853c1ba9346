/* SPDX-License-Identifier: BSD-3-Clause */
/* What a planner tells of its state: engines, counters and booked starts. */
#include "planner_internal.h"

unsigned bh__planner_get_engine_count(const BH__Planner *p)
{
	return p->engines->len;
}

/* Copies the planner's view of the engine at `index` to `out`. */
void bh__planner_get_engine(const BH__Planner *p, unsigned index, BH__PlannerEngine *out)
{
	const BH__IterationEngine *e = g_ptr_array_index(p->engines, index);

	*out = (BH__PlannerEngine){.endpoint_id = e->endpoint_id,
							   .primaries = e->primaries->len,
							   .streams = e->clock.streams,
							   .helper_parts = e->helper_parts,
							   .kv_used_tokens = e->kv_used_tokens,
							   .prefill_left_ms = bh__iteration_clock_get_backlog_ms(&e->clock),
							   .slowdown = e->clock.slowdown,
							   .usable = !e->leaving,
							   .ejected_until_us = e->ejection.until_us};
}

/* Returns the number of engines that are ejected after failures. */
unsigned bh__planner_count_ejected(const BH__Planner *p, uint64_t now_us)
{
	unsigned count = 0;

	for (guint i = 0; i < p->engines->len; i++)
		count += now_us < ((const BH__IterationEngine *)g_ptr_array_index(p->engines, i))->ejection.until_us;
	return count;
}

const BH__PlannerCounters *bh__planner_get_counters(const BH__Planner *p)
{
	return &p->counters;
}

const BH__BookingCounters *bh__planner_get_booking_counters(const BH__Planner *p)
{
	return bh__booking_table_get_counters(p->bookings);
}

/* Returns the number of long prompts with a booked start, callers that are to come back included. */
unsigned bh__planner_count_bookings(const BH__Planner *p)
{
	return bh__booking_table_get_count(p->bookings);
}

/* Returns the time at which a waiting ask is booked to start, or UINT64_MAX if it has no booking. */
uint64_t bh__planner_get_booked_start(const BH__Planner *p, uint64_t ask_id)
{
	return bh__booking_table_get_start(p->bookings, ask_id);
}

/* Copies the booking at `index` to `out`, in the order in which long prompts are placed. Returns false if
 * there are not as many. */
bool bh__planner_get_booking(const BH__Planner *p, unsigned index, BH__BookingInfo *out)
{
	return bh__booking_table_get(p->bookings, index, out);
}
