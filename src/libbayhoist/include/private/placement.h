/* SPDX-License-Identifier: BSD-3-Clause */
/* The choice of engines for one prompt: the one that answers and those that help it read. */
#ifndef BAYHOIST_PRIVATE_PLACEMENT_H
#define BAYHOIST_PRIVATE_PLACEMENT_H

#include "bayhoist/endpoint_rate.h"
#include "bayhoist/message.h"
#include "pass_clock.h"

/* Share of a value that is lost when an answer is late: three quarters on all of the users' routes. */
#define BH__LATE_LOSS 0.75

/* A request in an engine's table. */
typedef struct {
	BH__Grant grant;
	double value;          /* of an answer in time */
	uint64_t event_gap_us; /* longest pause that is of full use; 0: any */
	uint64_t tokens;       /* of prompt and answer together */
	uint64_t granted_us;
	uint64_t begun_us;  /* when its first event came; 0: it has not, or before this node knew of it */
	double expected_ms; /* to its first event, at pace 1 */
} BH__PlacedRequest;

typedef struct {
	uint64_t endpoint_id;
	uint64_t life; /* of the endpoint, as the registry counts them */
	bool leaving;
	uint64_t set_aside_until_us;     /* after a failure */
	uint64_t asked_backoff_until_us; /* it has asked some node for that */
	unsigned failures;               /* one after another */
	BH__EndpointRate rate;           /* what it may be granted */
	uint64_t inspected_us;           /* when its report was last asked for */
	uint64_t last_begun_us;          /* when the latest answer from here began */
	BH__PassClock clock;
	GPtrArray *homes; /* BH__PlacedRequest whose answers come from here */
	unsigned helps;   /* parts of prompts of others under way */
	uint64_t kv_used_tokens;
} BH__PassEngine;

typedef struct {
	unsigned count; /* engines; the first answers */
	BH__PassEngine *engine[BH__GRANT_MEMBERS_MAX];
	uint64_t kv_tokens[BH__GRANT_MEMBERS_MAX]; /* memory that it takes on each */
	uint64_t read_end_us;                      /* when the last part is foretold to be read */
	double damage;                             /* value of the running streams that it makes late */
} BH__Placement;

bool bh__placement_find(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask, double idle_read_ms,
						uint64_t now_us, BH__Placement *out);
bool bh__placement_force(const BH__EngineModel *m, GPtrArray *engines, const BH__Ask *ask, uint64_t now_us,
						 BH__Placement *out);
double bh__placement_value(uint64_t prompt_tokens);
bool bh__placement_is_tight(uint64_t event_gap_us);
bool bh__pass_engine_is_usable(const BH__PassEngine *e, uint64_t now_us);
bool bh__ask_backs_off_from(const BH__Ask *ask, uint64_t endpoint_id);

#endif
