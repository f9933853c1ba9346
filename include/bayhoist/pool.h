/* SPDX-License-Identifier: BSD-3-Clause */
/* The scheduler of one pool. A pool is the endpoints of one data hall that serve one model. The scheduler
 * keeps the ledger of engine memory, orders waiting asks and chooses the engine or engines for each. It does
 * no I/O and reads no clock: callers pass the time as `now_us`, in microseconds. */
#ifndef BAYHOIST_POOL_H
#define BAYHOIST_POOL_H

#include "bayhoist/message.h"

typedef struct BH__Pool BH__Pool;

/* Callbacks that carry out the scheduler's decisions. */
typedef struct BH__PoolPort {
	/* The ask is granted; `grant` is valid during the call. */
	void (*grant)(struct BH__PoolPort *port, const BH__Grant *grant);
	/* The ask is refused; the caller may retry after `retry_after_ms`. */
	void (*refuse)(struct BH__PoolPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms);
	/* An engine reports an attempt that no grant accounts for. The owner decides whether to cancel it. */
	void (*orphan)(struct BH__PoolPort *port, uint64_t endpoint_id, uint64_t attempt_id, uint64_t owner_node,
				   uint64_t owner_boot);
} BH__PoolPort;

/* An endpoint of the pool: its limits, what it serves, and whether it may receive work. */
typedef struct {
	uint64_t endpoint_id;
	uint64_t kv_bytes;    /* engine memory; 0: not known before the first report */
	uint32_t max_streams; /* maximum number of concurrent grants */
	bool serves_short;    /* takes prompts up to the policy's long_tokens */
	bool serves_long;     /* takes longer prompts */
	bool leaving;         /* takes no new work */
	bool ready;           /* has loaded a version of the model and is not being changed */
	uint8_t adapter_count;
	uint64_t adapter[BH__ADAPTERS_MAX]; /* ids of the loaded adapters */
} BH__PoolEndpoint;

/* An attempt that an engine reports. */
typedef struct {
	uint64_t attempt_id; /* equal to the id of its grant */
	uint64_t owner_node; /* node that started it */
	uint64_t owner_boot; /* boot id of that node */
	uint64_t kv_bytes;   /* engine memory that it holds */
} BH__ReportedAttempt;

typedef enum { BH__CACHE_ADDED, BH__CACHE_EVICTED } BH__CacheEventKind;

/* A change of an engine's prefix cache. */
typedef struct {
	BH__CacheEventKind kind;
	uint64_t hash; /* of the prompt prefix */
} BH__CacheEvent;

/* An engine's report of its load, which is older than the scheduler's own counts. */
typedef struct {
	uint64_t endpoint_id;
	bool reachable;   /* false: the engine did not answer, and the fields below are ignored */
	uint64_t boot_id; /* incarnation of the engine */
	uint64_t kv_total_bytes;
	uint64_t kv_used_bytes;
	uint64_t prefill_tokens_per_s; /* measured by the engine; 0: no measurement yet */
	uint64_t token_us;             /* measured time between two tokens of an answer; 0: no measurement yet */
	bool has_attempts;             /* the list of attempts is present */
	uint32_t attempt_count;
	const BH__ReportedAttempt *attempt;
	uint64_t cache_first_sequence; /* of `cache_event[0]`; a jump means that events were lost */
	uint32_t cache_event_count;
	const BH__CacheEvent *cache_event;
} BH__LoadReport;

/* State of one endpoint, for operators. */
typedef struct {
	BH__PoolEndpoint spec;
	uint64_t kv_granted_bytes;     /* granted by the ledger's entries */
	uint64_t kv_reserved_bytes;    /* kept free for a long prompt that waits for memory */
	uint64_t kv_reported_bytes;    /* in use according to the last report */
	uint64_t kv_unaccounted_bytes; /* held by attempts that the ledger has no grant for */
	uint32_t streams;              /* grants that the engine takes part in */
	uint32_t long_prefills;        /* long prefills begun and not reported done */
	bool reachable;                /* according to the last report; false after a failed grant */
} BH__PoolEndpointState;

/* Counts since the pool was created. */
typedef struct {
	uint64_t grants;
	uint64_t gang_grants; /* grants on more than one engine */
	uint64_t refusals;
	uint64_t orphans;    /* calls of the port's orphan callback */
	uint64_t cache_gaps; /* gaps in the engines' cache events */
} BH__PoolCounters;

BH__Pool *bh__pool_new(BH__PoolPort *port, uint64_t pool_id, uint64_t boot_id, uint32_t seed);
void bh__pool_delete(BH__Pool *p);
void bh__pool_set_policy(BH__Pool *p, const BH__Policy *policy);
void bh__pool_set_endpoint(BH__Pool *p, const BH__PoolEndpoint *endpoint, uint64_t now_us);
void bh__pool_remove_endpoint(BH__Pool *p, uint64_t endpoint_id);
void bh__pool_process_ask(BH__Pool *p, const BH__Ask *ask, uint64_t now_us);
void bh__pool_process_withdraw(BH__Pool *p, uint64_t ask_id);
void bh__pool_process_release(BH__Pool *p, uint64_t grant_id, BH__ReleaseKind kind, uint64_t failed_endpoint,
							  uint64_t now_us);
void bh__pool_process_progress(BH__Pool *p, uint64_t grant_id, uint64_t now_us);
void bh__pool_process_hold(BH__Pool *p, uint64_t node_id, uint64_t boot_id, bool full, const BH__Grant *grant,
						   uint32_t count, uint64_t now_us);
void bh__pool_process_report(BH__Pool *p, const BH__LoadReport *report, uint64_t now_us);
void bh__pool_process_node_gone(BH__Pool *p, uint64_t node_id, uint64_t now_us);
void bh__pool_process_tick(BH__Pool *p, uint64_t now_us);
void bh__pool_refuse_all(BH__Pool *p, BH__Reason reason);
void bh__pool_get_digest(BH__Pool *p, BH__PoolDigest *digest, uint64_t now_us);
bool bh__pool_get_endpoint_state(const BH__Pool *p, uint64_t endpoint_id, BH__PoolEndpointState *state);
uint64_t bh__pool_get_cache_sequence(const BH__Pool *p, uint64_t endpoint_id);
uint32_t bh__pool_get_queued(const BH__Pool *p);
const BH__PoolCounters *bh__pool_get_counters(const BH__Pool *p);
uint64_t bh__pool_get_id(const char *hall, const char *model);

#endif
