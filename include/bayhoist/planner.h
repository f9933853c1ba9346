/* SPDX-License-Identifier: BSD-3-Clause */
/* Scheduler of one service whose engines work in iterations and can help each other prefill a long prompt.
 * The planner keeps a ledger of the grants on every engine, predicts the engines' iterations from it, and
 * chooses the engine that answers an ask and the helpers that prefill parts of its prompt. Its goal is that
 * first events arrive in time and that no running stream pauses for too long.
 *
 * The planner does no I/O and reads no clock. Every node has a planner for the service, which knows at least
 * the grants of its own node; the planner of the node that schedules the service knows the grants of all
 * nodes. */
#ifndef BAYHOIST_PLANNER_H
#define BAYHOIST_PLANNER_H

#include "bayhoist/engine_model.h"
#include "bayhoist/message.h"

/* Maximum prefill time in one iteration of an engine, during which all of the engine's streams pause. */
#define BH__MAX_ITERATION_MS 1300

typedef struct BH__Planner BH__Planner;

/* What happens to the booked start of a long prompt. */
typedef enum {
	BH__BOOKING_BOOKED,
	BH__BOOKING_MOVED,    /* the start is now forecast for another time */
	BH__BOOKING_KEPT,     /* started at the time that was booked first */
	BH__BOOKING_MISSED,   /* started at another time */
	BH__BOOKING_WITHDRAWN /* refused, since there is no start in time */
} BH__BookingEvent;

extern const char *const BH__BookingEventString[];

typedef struct BH__PlannerPort {
	void (*grant)(struct BH__PlannerPort *port, const BH__Grant *grant);
	void (*refuse)(struct BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason,
				   uint64_t retry_after_ms);
	/* The ask waits for an engine. Called when the ask is queued and again for each repetition of the ask. */
	void (*queued)(struct BH__PlannerPort *port, const BH__Ask *ask);
	/* The node that held the grant is gone, and the grant's memory on the helpers has to be freed. */
	void (*abandoned)(struct BH__PlannerPort *port, const BH__Grant *grant);
	/* An engine may be slower than its model, or dead. The receiver requests the engine's report, passes the
	 * slowdown factor in it to bh__planner_process_slowdown(), and tells bh__planner_process_answer() whether
	 * the engine has answered. */
	void (*inspect)(struct BH__PlannerPort *port, uint64_t endpoint_id);
	/* A booked start has changed. `start_in_us`: time until the start, or until the caller's return if it is
	 * refused; `waited_us`: time since the ask arrived. May be NULL. */
	void (*booking)(struct BH__PlannerPort *port, const BH__Ask *ask, BH__BookingEvent event,
					uint64_t start_in_us, uint64_t waited_us);
} BH__PlannerPort;

typedef struct {
	uint64_t grants;
	uint64_t helped; /* grants with helpers */
	uint64_t queued; /* asks that had to wait */
	uint64_t refusals;
	uint64_t late;             /* grants whose first event was predicted to be late */
	uint64_t account_refusals; /* refusals because of what already waited for the account */
	uint64_t ejections;        /* times that a failure ejected an engine */
	uint64_t last_resorts;     /* grants on engines that were ejected, since all were */
} BH__PlannerCounters;

/* Booked starts of long prompts. */
typedef struct {
	uint64_t booked;    /* first bookings */
	uint64_t moved;     /* bookings moved to another time */
	uint64_t kept;      /* asks started at the time booked first */
	uint64_t missed;    /* asks started at another time */
	uint64_t withdrawn; /* asks refused, since there is no start in time */
	uint64_t returned;  /* refused callers that came back as told */
} BH__BookingCounters;

/* One booked start. */
typedef struct {
	uint64_t ask_id;
	uint64_t prompt_tokens;
	uint64_t arrived_us; /* when the ask arrived */
	uint64_t start_us;   /* booked start, or the caller's return if it is away; UINT64_MAX: none in time */
	bool is_away;        /* the ask was refused, and its caller is to come back */
} BH__BookingInfo;

/* The planner's view of one engine. */
typedef struct {
	uint64_t endpoint_id;
	unsigned primaries;        /* requests whose answers the engine generates */
	unsigned streams;          /* answers that have started */
	unsigned helper_parts;     /* prompt parts that the engine prefills for other engines */
	uint64_t kv_used_tokens;   /* memory granted on the engine, in tokens */
	double prefill_left_ms;    /* remaining prefill time at slowdown 1 */
	double slowdown;           /* slowdown factor against the model; 1: as fast as the model */
	bool usable;               /* not leaving */
	uint64_t ejected_until_us; /* when the ejection after failures ends; in the past if there is none */
} BH__PlannerEngine;

/* How a planner's engines are divided between tight streams and long prompts. */
typedef struct {
	unsigned engines;  /* engines that may be granted requests */
	unsigned reserved; /* engines reserved for tight streams; the others prefill long prompts */
	unsigned helping;  /* engines that prefill for other engines */
	unsigned tight;    /* tight requests, running and waiting */
} BH__PlannerDivision;

BH__Planner *bh__planner_new(BH__PlannerPort *port, uint64_t pool_id, uint64_t boot_id);
void bh__planner_delete(BH__Planner *p);
uint64_t bh__planner_get_id(const BH__Planner *p);
void bh__planner_set_model(BH__Planner *p, const BH__EngineModel *model);
void bh__planner_set_local(BH__Planner *p, bool is_local);
void bh__planner_set_endpoint(BH__Planner *p, uint64_t endpoint_id, uint64_t incarnation, bool leaving,
							  uint64_t now_us);
void bh__planner_set_limits(BH__Planner *p, uint64_t endpoint_id, const BH__Limit *limit, uint64_t now_us);
void bh__planner_set_rate_share(BH__Planner *p, double rate_share, uint64_t now_us);
void bh__planner_remove_endpoint(BH__Planner *p, uint64_t endpoint_id, uint64_t now_us);
void bh__planner_process_ask(BH__Planner *p, const BH__Ask *ask, uint64_t now_us);
void bh__planner_process_withdraw(BH__Planner *p, uint64_t ask_id);
void bh__planner_process_remote_grant(BH__Planner *p, const BH__Grant *grant, uint64_t now_us);
void bh__planner_process_progress(BH__Planner *p, uint64_t grant_id, uint64_t now_us);
void bh__planner_process_iteration(BH__Planner *p, uint64_t grant_id, uint64_t iteration_us, uint64_t now_us);
void bh__planner_process_release(BH__Planner *p, uint64_t grant_id, BH__ReleaseKind kind,
								 uint64_t failed_endpoint, uint64_t now_us);
unsigned bh__planner_withdraw_failures(BH__Planner *p, uint64_t node_id, uint64_t now_us);
void bh__planner_process_backoff(BH__Planner *p, uint64_t endpoint_id, uint64_t backoff_us, uint64_t now_us);
void bh__planner_process_hold(BH__Planner *p, uint64_t node_id, uint64_t boot_id, bool full,
							  const BH__Grant *grant, uint32_t count, uint64_t now_us);
void bh__planner_list_grants(const BH__Planner *p, GArray *out, uint64_t now_us);
void bh__planner_process_slowdown(BH__Planner *p, uint64_t endpoint_id, double slowdown, uint64_t now_us);
void bh__planner_process_answer(BH__Planner *p, uint64_t endpoint_id, uint64_t asked_us, bool answered,
								uint64_t now_us);
void bh__planner_process_node_gone(BH__Planner *p, uint64_t node_id, uint64_t now_us);
void bh__planner_process_tick(BH__Planner *p, uint64_t now_us);
void bh__planner_drop_other_nodes(BH__Planner *p, uint64_t node_id, uint64_t now_us);
void bh__planner_refuse_all(BH__Planner *p, BH__Reason reason);
bool bh__planner_is_waiting(const BH__Planner *p);
unsigned bh__planner_get_engine_count(const BH__Planner *p);
unsigned bh__planner_count_ejected(const BH__Planner *p, uint64_t now_us);
void bh__planner_get_engine(const BH__Planner *p, unsigned index, BH__PlannerEngine *out);
const BH__PlannerCounters *bh__planner_get_counters(const BH__Planner *p);
void bh__planner_get_division(const BH__Planner *p, BH__PlannerDivision *out);
bool bh__planner_take_division_change(BH__Planner *p, uint64_t now_us);
const BH__BookingCounters *bh__planner_get_booking_counters(const BH__Planner *p);
unsigned bh__planner_count_bookings(const BH__Planner *p);
bool bh__planner_get_booking(const BH__Planner *p, unsigned index, BH__BookingInfo *out);
uint64_t bh__planner_get_booked_start(const BH__Planner *p, uint64_t ask_id);

#endif
