/* SPDX-License-Identifier: BSD-3-Clause */
/* The scheduler's table of engines: memory ledger, predicted backlog, and the choice among them. */
#ifndef BAYHOIST_PRIVATE_ENGINES_H
#define BAYHOIST_PRIVATE_ENGINES_H

#include "bayhoist/pool.h"
#include "prefix_index.h"

typedef struct {
	BH__PoolEndpoint spec;
	uint64_t kv_capacity_bytes;
	uint64_t kv_granted_bytes;
	uint64_t kv_reserved_bytes; /* held free for a long prompt that waits for memory */
	uint64_t kv_foreign_bytes;  /* reported for attempts that the ledger does not know */
	uint64_t kv_reported_bytes;
	uint32_t streams;
	uint32_t prefills;      /* of all but the smallest class that are not known to be done */
	uint32_t long_prefills; /* of the long ones among them */
	uint64_t kv_long_bytes; /* granted to long prompts */
	bool dedicated;         /* takes no short work until its long prefill is done */
	/* when work of a size class and those below it is predicted to be done: smaller classes are served first
	 */
	uint64_t free_at_us[BH__SIZE_CLASSES];
	double prefill_tokens_per_us;
	uint64_t token_us;
	uint64_t boot_id;
	uint64_t cache_next_sequence;
	bool reported;
	bool reachable;
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

bool bh__engine_takes_short(const BH__Engine *e, const BH__Ask *ask, uint64_t now_us);
BH__Engine *bh__engines_pick_short(BH__Engines *t, const BH__PrefixIndex *prefixes, const BH__Ask *ask,
								   uint64_t now_us);
unsigned bh__engines_pick_long(BH__Engines *t, const BH__PrefixIndex *prefixes, const BH__Ask *ask,
							   bool any_backlog, BH__Engine *out[BH__GANG_MAX], uint64_t now_us);
unsigned bh__engines_count_dedicated(const BH__Engines *t);
unsigned bh__engines_get_gang_size(const BH__Engines *t, uint64_t kv_bytes);

#endif
