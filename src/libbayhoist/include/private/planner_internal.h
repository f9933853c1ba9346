/* SPDX-License-Identifier: BSD-3-Clause */
/* Shared by planner.c, which keeps the ledger of grants, and planner_queue.c, which keeps the waiting asks.
 */
#ifndef BAYHOIST_PRIVATE_PLANNER_INTERNAL_H
#define BAYHOIST_PRIVATE_PLANNER_INTERNAL_H

#include "bayhoist/planner.h"
#include "account_share.h"
#include "booking.h"
#include "engine_division.h"

#define BH__RETRY_AFTER_MIN_MS 150
/* Callers wait for at most one part in this many of the time that they have left before they return. */
#define BH__RETURN_SHARE 3

struct BH__Planner {
	BH__PlannerPort *port;
	uint64_t pool_id;
	uint64_t boot_id;    /* hash of the node's boot id and the pool id, from which grant ids are derived */
	uint64_t next_grant; /* number of grants given so far */
	uint64_t order_seed; /* determines the order in which engines are filled */
	bool is_local;       /* it sees only its own node's work, since another node schedules the service */
	double rate_share;   /* share of the engines' rate limits that this planner enforces */
	BH__EngineModel model;
	GPtrArray *engines;   /* BH__IterationEngine, sorted by hash of endpoint id and order_seed */
	GHashTable *by_id;    /* the elements of `engines` by endpoint id */
	GHashTable *by_grant; /* BH__PlacedRequest by grant id */
	GHashTable *by_ask;   /* the elements of `by_grant` by ask id */
	GPtrArray *waiting;   /* BH__WaitingAsk, the smallest prompt first */
	BH__PlannerCounters counters;
	BH__EngineDivision division;
	unsigned told_reserved;    /* engines reserved when operators were last told */
	uint64_t division_told_us; /* time at which they were; 0: never */
	BH__LongWork long_work;
	BH__BookingTable *bookings;
	BH__AccountShares *shares;
	uint64_t
		contended_us;     /* time at which an ask of an account within its share last had to wait; 0: never */
	bool placing_waiting; /* bh__planner_place_waiting() is running */
};

/* planner.c */
void bh__planner_grant(BH__Planner *p, const BH__Ask *ask, const BH__Placement *placement, uint64_t due_us,
					   uint64_t first_event_target_us, uint64_t now_us);

/* planner_ejection.c */
uint64_t bh__planner_get_ejection_wait_us(const BH__Planner *p, const BH__Ask *ask, uint64_t now_us);

/* planner_queue.c */
void bh__planner_place_waiting(BH__Planner *p, uint64_t now_us);
void bh__planner_drop_asks(BH__Planner *p, uint64_t node_id);

/* planner_division.c */
void bh__planner_update_division(BH__Planner *p, uint64_t now_us);

/* planner_bookings.c */
bool bh__planner_books(const BH__Planner *p, const BH__Ask *ask);
void bh__planner_book(BH__Planner *p, uint64_t now_us);

/* planner_accounts.c */
bool bh__planner_is_over_share(BH__Planner *p, const BH__Ask *ask, uint64_t now_us);
bool bh__planner_is_contended(const BH__Planner *p, uint64_t now_us);
bool bh__planner_is_crowded(const BH__Planner *p);
bool bh__planner_account_is_full(BH__Planner *p, const BH__Ask *ask, uint64_t now_us);
void bh__planner_refuse_account(BH__Planner *p, const BH__Ask *ask, uint64_t now_us);

#endif
