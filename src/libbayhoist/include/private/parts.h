/* SPDX-License-Identifier: BSD-3-Clause */
/* Splits a prompt that is too large for any single pool into parts, each held by one pool. */
#ifndef BAYHOIST_PRIVATE_PARTS_H
#define BAYHOIST_PRIVATE_PARTS_H

#include "routes.h"

/* The token range of a prompt that one pool holds. */
typedef struct {
	uint64_t pool_id;
	uint64_t first_token;
	uint64_t token_count;
	BH__Grant grant; /* its id is 0 until the pool has granted the part */
} BH__RequestPart;

unsigned bh__parts_plan(const BH__Routes *routes, uint64_t model_id, uint64_t kv_bytes,
						uint64_t prompt_tokens, BH__RequestPart part[BH__PARTS_MAX]);

#endif
