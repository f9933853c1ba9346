/* SPDX-License-Identifier: BSD-3-Clause */
/* Choice of engines for one prompt: the primary engine, which generates the answer, and helpers, which
 * prefill parts of the prompt. */
#ifndef BAYHOIST_PRIVATE_PLACEMENT_H
#define BAYHOIST_PRIVATE_PLACEMENT_H

#include "ejection.h"
#include "bayhoist/endpoint_rate.h"
#include "bayhoist/message.h"
#include "iteration_clock.h"

/* Share of an answer's utility that is lost when the answer is late: three quarters on all of the users'
 * routes. */
#define BH__LATE_UTILITY_LOSS 0.75

/* Slots of an engine that are kept free for resumed streams and prediction errors while others have free
 * ones. */
#define BH__SPARE_SLOTS 1

/* A granted request. */
typedef struct {
	BH__Grant grant;
	double answer_utility;      /* utility of an answer in time, see bh__placement_utility() */
	uint64_t event_gap_us;      /* longest pause between events without loss of utility; 0: any */
	uint64_t tokens;            /* prompt and answer together */
	uint64_t granted_us;        /* time of the grant */
	uint64_t stream_started_us; /* time of the first event; 0: none yet, or before this node had the grant */
	double expected_ms;         /* predicted time from the grant to the first event at slowdown 1 */
} BH__PlacedRequest;

/* The planner's view of one engine. */
typedef struct {
	uint64_t endpoint_id;
	uint64_t incarnation; /* incarnation of the endpoint, as counted by the registry */
	bool leaving;
	bool reserved;                       /* for tight streams, of which it may have none yet */
	BH__Ejection ejection;               /* no grants for a while, because of failures */
	uint64_t requested_backoff_until_us; /* end of the backoff that the engine has requested from some node */
	BH__EndpointRate rate;               /* limits on the requests that the engine may be granted */
	uint64_t inspected_us;               /* time of the last request for its report; 0: none */
	uint64_t last_stream_started_us;     /* time of the latest first event from this engine; 0: none */
	BH__IterationClock clock;
	GPtrArray *primaries;  /* BH__PlacedRequest whose answers this engine generates */
	unsigned helper_parts; /* parts being prefilled for other engines */
	uint64_t kv_used_tokens;
} BH__IterationEngine;

typedef struct {
	unsigned count; /* number of engines; the first one is the primary */
	BH__IterationEngine *engine[BH__GRANT_MEMBERS_MAX];
	uint64_t kv_tokens[BH__GRANT_MEMBERS_MAX]; /* memory used on each engine, in tokens */
	uint64_t prefill_end_us;                   /* predicted time at which the last part is prefilled */
	double delay_cost; /* utility lost by streams and waiting prompts that become late */
} BH__Placement;

bool bh__placement_find(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask,
						double idle_prefill_ms, uint64_t now_us, BH__Placement *out);
bool bh__placement_find_min_cost(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask,
								 uint64_t now_us, BH__Placement *out);
uint64_t bh__grant_get_prompt_tokens(const BH__Grant *g);
double bh__placement_utility(uint64_t prompt_tokens);
bool bh__placement_is_tight(uint64_t event_gap_us);
bool bh__iteration_engine_is_usable(const BH__IterationEngine *e, uint64_t now_us);
bool bh__iteration_engine_is_last_resort(const BH__IterationEngine *e, uint64_t now_us);
bool bh__iteration_engines_are_ejected(const GPtrArray *engines, uint64_t now_us);
bool bh__iteration_engine_is_overdue(const BH__IterationEngine *e, uint64_t now_us);
bool bh__ask_backs_off_from(const BH__Ask *ask, uint64_t endpoint_id);

#endif
