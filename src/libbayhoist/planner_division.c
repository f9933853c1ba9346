/* SPDX-License-Identifier: BSD-3-Clause */
/* The planner's side of the division of engines between tight streams and long prompts: when it is decided
 * anew, and what operators see of it. The decision itself is in engine_division.c. */
#include "planner_internal.h"

/* A change is told if this share of the engines has changed sides, and at most once in this time. */
#define TOLD_SHARE_ 0.2
#define TOLD_PERIOD_US_ BH__SECOND_US

/* Decides anew which engines are reserved for tight streams, at most once for each time. */
void bh__planner_update_division(BH__Planner *p, uint64_t now_us)
{
	unsigned waiting_tight = 0;

	if (p->division.decided_us == now_us)
		return;
	for (guint i = 0; i < p->waiting->len; i++)
		waiting_tight += bh__placement_is_tight(
			((const BH__WaitingAsk *)g_ptr_array_index(p->waiting, i))->ask.event_gap_us);
	bh__engine_division_update(&p->division, &p->model, p->engines, waiting_tight, now_us);
}

/* Copies the latest division of the engines to `out`. */
void bh__planner_get_division(const BH__Planner *p, BH__PlannerDivision *out)
{
	*out = (BH__PlannerDivision){.engines = p->division.engine_count,
								 .reserved = p->division.reserved,
								 .helping = p->division.helping,
								 .tight = p->division.tight_count};
}

/* Returns whether the division has changed so much since the last change that was told that an operator
 * should be told again. If so, the present one counts as told. */
bool bh__planner_take_division_change(BH__Planner *p, uint64_t now_us)
{
	int moved = (int)p->division.reserved - (int)p->told_reserved;

	if (ABS(moved) < MAX(p->division.engine_count * TOLD_SHARE_, 1) ||
		now_us < p->division_told_us + TOLD_PERIOD_US_)
		return false;
	p->told_reserved = p->division.reserved;
	p->division_told_us = now_us;
	return true;
}
