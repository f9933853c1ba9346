/* SPDX-License-Identifier: BSD-3-Clause */
/* The scheduler of the engines of one service that work in passes and may help each other read a long prompt.
 * It keeps a ledger of what every engine was given, foretells its passes from that, and decides which engine
 * answers an ask and which help it read: so that first events come in time and no running stream pauses too
 * long. It does no I/O and reads no clock. Every node has one, which knows at least what the node itself
 * uses; that of the node which schedules the service knows all. */
#ifndef BAYHOIST_PLANNER_H
#define BAYHOIST_PLANNER_H

#include "bayhoist/engine_model.h"
#include "bayhoist/message.h"

/* The planner lets no engine read for longer than this in one pass, in which every stream there stands still.
 */
#define BH__LONGEST_PASS_MS 1300

typedef struct BH__Planner BH__Planner;

typedef struct BH__PlannerPort {
	void (*grant)(struct BH__PlannerPort *port, const BH__Grant *grant);
	void (*refuse)(struct BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason,
				   uint64_t retry_after_ms);
	/* The ask waits: said once when it begins to, and again each time that it is repeated. */
	void (*queued)(struct BH__PlannerPort *port, const BH__Ask *ask);
	/* A node is gone that held memory on helpers: it has to be freed there. */
	void (*abandoned)(struct BH__PlannerPort *port, const BH__Grant *grant);
	/* An engine may be slower than it should be: its own report is wanted, see bh__planner_process_pace(). */
	void (*inspect)(struct BH__PlannerPort *port, uint64_t endpoint_id);
} BH__PlannerPort;

typedef struct {
	uint64_t grants;
	uint64_t helped; /* grants with helpers */
	uint64_t queued;
	uint64_t refusals;
	uint64_t late; /* grants whose first event was foretold to be late */
} BH__PlannerCounters;

/* What the planner believes of one engine. */
typedef struct {
	uint64_t endpoint_id;
	unsigned homes;   /* requests that it answers */
	unsigned streams; /* of those, the ones whose answer has begun */
	unsigned helps;   /* prompts that it helps read */
	uint64_t kv_used_tokens;
	double unread_ms; /* what it has to read, at pace 1 */
	double pace;
	bool usable;
} BH__PlannerEngine;

BH__Planner *bh__planner_new(BH__PlannerPort *port, uint64_t pool_id, uint64_t boot_id);
void bh__planner_delete(BH__Planner *p);
uint64_t bh__planner_get_id(const BH__Planner *p);
void bh__planner_set_model(BH__Planner *p, const BH__EngineModel *model);
void bh__planner_set_alone(BH__Planner *p, bool alone);
void bh__planner_set_endpoint(BH__Planner *p, uint64_t endpoint_id, uint64_t life, bool leaving,
							  uint64_t now_us);
void bh__planner_set_limits(BH__Planner *p, uint64_t endpoint_id, const BH__Limit *limit, uint64_t now_us);
void bh__planner_set_part(BH__Planner *p, double part, uint64_t now_us);
void bh__planner_remove_endpoint(BH__Planner *p, uint64_t endpoint_id, uint64_t now_us);
void bh__planner_process_ask(BH__Planner *p, const BH__Ask *ask, uint64_t now_us);
void bh__planner_process_withdraw(BH__Planner *p, uint64_t ask_id);
void bh__planner_process_note(BH__Planner *p, const BH__Grant *grant, uint64_t now_us);
void bh__planner_process_progress(BH__Planner *p, uint64_t grant_id, uint64_t now_us);
void bh__planner_process_pass(BH__Planner *p, uint64_t grant_id, uint64_t pass_us, uint64_t now_us);
void bh__planner_process_release(BH__Planner *p, uint64_t grant_id, BH__ReleaseKind kind,
								 uint64_t failed_endpoint, uint64_t now_us);
void bh__planner_process_backoff(BH__Planner *p, uint64_t endpoint_id, uint64_t backoff_us, uint64_t now_us);
void bh__planner_process_hold(BH__Planner *p, uint64_t node_id, uint64_t boot_id, bool full,
							  const BH__Grant *grant, uint32_t count, uint64_t now_us);
void bh__planner_list_grants(const BH__Planner *p, GArray *out, uint64_t now_us);
void bh__planner_process_pace(BH__Planner *p, uint64_t endpoint_id, double pace, uint64_t now_us);
void bh__planner_process_node_gone(BH__Planner *p, uint64_t node_id, uint64_t now_us);
void bh__planner_process_tick(BH__Planner *p, uint64_t now_us);
void bh__planner_keep_only(BH__Planner *p, uint64_t node_id, uint64_t now_us);
void bh__planner_refuse_all(BH__Planner *p, BH__Reason reason);
bool bh__planner_is_waiting(const BH__Planner *p);
unsigned bh__planner_get_engine_count(const BH__Planner *p);
void bh__planner_get_engine(const BH__Planner *p, unsigned index, BH__PlannerEngine *out);
const BH__PlannerCounters *bh__planner_get_counters(const BH__Planner *p);

#endif
