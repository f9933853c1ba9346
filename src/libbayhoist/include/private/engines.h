/* SPDX-License-Identifier: BSD-3-Clause */
/* The scheduler's table of engines. It keeps each engine's memory counts and predicted backlog and chooses
 * the engines for an ask. */
#ifndef BAYHOIST_PRIVATE_ENGINES_H
#define BAYHOIST_PRIVATE_ENGINES_H

#include "bayhoist/pool.h"
#include "prefix_index.h"

/* What the scheduler knows of one engine. */
typedef struct {
	BH__PoolEndpoint spec;
	uint64_t kv_capacity_bytes;    /* from the endpoint's spec or the last report; 0: not known */
	uint64_t kv_granted_bytes;     /* granted by the ledger's entries */
	uint64_t kv_reserved_bytes;    /* kept free for a long prompt that waits for memory */
	uint64_t kv_unaccounted_bytes; /* held by attempts that the ledger has no grant for */
	uint64_t kv_reported_bytes;    /* in use according to the last report */
	uint32_t streams;              /* grants that the engine takes part in */
	uint32_t prefills; /* prefills begun and not reported done, without those of the smallest size class */
	uint32_t long_prefills; /* those of them that are of long prompts */
	uint64_t kv_long_bytes; /* part of the granted bytes that long prompts hold */
	bool dedicated;         /* takes no short prompts until its long prefill is done */
	/* Time at which the work of a size class and of all smaller classes is predicted to be done. Engines
	 * serve smaller classes first. */
	uint64_t free_at_us[BH__SIZE_CLASSES];
	double prefill_tokens_per_us; /* mean of the reported rates, recent ones weighted most */
	uint64_t token_us;            /* time between two tokens of an answer, averaged likewise */
	uint64_t boot_id;             /* the engine's incarnation in the last report; 0: no report yet */
	uint64_t cache_next_sequence; /* sequence number of the next cache event to apply; 0: none applied yet */
	bool reported;                /* a report has listed the engine's attempts */
	bool reachable;               /* according to the last report; false after a failed grant */
} BH__Engine;

typedef struct BH__Engines BH__Engines;

BH__Engines *bh__engines_new(uint32_t seed);
void bh__engines_delete(BH__Engines *t);
BH__Engine *bh__engines_add(BH__Engines *t, uint64_t endpoint_id);
void bh__engines_remove(BH__Engines *t, uint64_t endpoint_id);
BH__Engine *bh__engines_find(const BH__Engines *t, uint64_t endpoint_id);
unsigned bh__engines_get_count(const BH__Engines *t);
BH__Engine *bh__engines_get(const BH__Engines *t, unsigned index);

bool bh__engine_is_usable(const BH__Engine *e);
bool bh__engine_can_serve(const BH__Engine *e, const BH__Ask *ask);
uint64_t bh__engine_get_free(const BH__Engine *e);
uint64_t bh__engine_get_backlog_us(const BH__Engine *e, unsigned size_class, uint64_t now_us);
uint64_t bh__engine_predict_prefill_us(const BH__Engine *e, uint64_t tokens);
void bh__engine_charge(BH__Engine *e, unsigned size_class, uint64_t tokens, uint64_t now_us);

bool bh__engine_can_take_short(const BH__Engine *e, const BH__Ask *ask, uint64_t now_us);
BH__Engine *bh__engines_pick_short(BH__Engines *t, const BH__PrefixIndex *prefixes, const BH__Ask *ask,
								   uint64_t now_us);
unsigned bh__engines_pick_long(BH__Engines *t, const BH__PrefixIndex *prefixes, const BH__Ask *ask,
							   bool ignore_backlog, BH__Engine *out[BH__GANG_MAX], uint64_t now_us);
unsigned bh__engines_count_dedicated(const BH__Engines *t);
unsigned bh__engines_get_gang_size(const BH__Engines *t, uint64_t kv_bytes);

#endif
