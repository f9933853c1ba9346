/* SPDX-License-Identifier: BSD-3-Clause */
/* Index of the prompt prefixes that the engines of a pool hold in their caches, built from the cache events
 * of the engines. */
#ifndef BAYHOIST_PRIVATE_PREFIX_INDEX_H
#define BAYHOIST_PRIVATE_PREFIX_INDEX_H

#include "bayhoist/hash.h"

#define BH__PREFIX_HOLDERS 4 /* maximum of engines recorded for one prefix */

typedef struct BH__PrefixIndex BH__PrefixIndex;

BH__PrefixIndex *bh__prefix_index_new(void);
void bh__prefix_index_delete(BH__PrefixIndex *x);
void bh__prefix_index_add(BH__PrefixIndex *x, uint64_t hash, uint64_t endpoint_id);
void bh__prefix_index_remove(BH__PrefixIndex *x, uint64_t hash, uint64_t endpoint_id);
void bh__prefix_index_remove_endpoint(BH__PrefixIndex *x, uint64_t endpoint_id);
uint32_t bh__prefix_index_get_cached(const BH__PrefixIndex *x, const BH__PrefixChain *chain,
									 uint64_t endpoint_id);
unsigned bh__prefix_index_get_holders(const BH__PrefixIndex *x, const BH__PrefixChain *chain,
									  uint64_t out[BH__PREFIX_HOLDERS], uint32_t *tokens);

#endif
