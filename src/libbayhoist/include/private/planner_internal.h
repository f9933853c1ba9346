/* SPDX-License-Identifier: BSD-3-Clause */
/* What planner.c, the ledger of what engines were given, and planner_queue.c, the asks that wait, share. */
#ifndef BAYHOIST_PRIVATE_PLANNER_INTERNAL_H
#define BAYHOIST_PRIVATE_PLANNER_INTERNAL_H

#include "bayhoist/planner.h"
#include "placement.h"

typedef struct {
	BH__Ask ask;
	uint64_t arrived_us;
} BH__WaitingAsk;

struct BH__Planner {
	BH__PlannerPort *port;
	uint64_t pool_id;
	uint64_t boot_id;
	uint64_t next_grant;
	uint64_t order_seed; /* of the order in which engines are filled */
	double part;         /* of the engines' limits that this planner counts for */
	BH__EngineModel model;
	GPtrArray *engines; /* BH__PassEngine */
	GHashTable *by_id;  /* the same by endpoint id */
	GHashTable *placed; /* BH__PlacedRequest by grant id */
	GHashTable *by_ask; /* the same by ask id */
	GPtrArray *waiting; /* BH__WaitingAsk, the smallest prompt first */
	BH__PlannerCounters counters;
	double long_work_ms; /* of long prompts lately, on one engine; older ones count less */
	uint64_t long_work_us;
	bool pumping;
};

/* planner.c */
void bh__planner_grant(BH__Planner *p, const BH__Ask *ask, const BH__Placement *place, uint64_t due_us,
					   uint64_t aim_us, uint64_t now_us);

/* planner_queue.c */
void bh__planner_pump(BH__Planner *p, uint64_t now_us);
void bh__planner_drop_asks(BH__Planner *p, uint64_t node_id);

#endif
