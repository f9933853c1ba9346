/* SPDX-License-Identifier: BSD-3-Clause */
/* Distribution of one prompt over several pools. The largest pools are chosen, as few as possible, and each
 * holds a share of the prompt in proportion to its memory. The parts are ordered by pool id, because requests
 * that ask the pools in the same order cannot deadlock: see bh__request_ask_part(). */
#include "parts.h"

#define POOL_FILL_ 0.88 /* share of a pool's memory that one prompt may use */

static void insert_by_size_(const BH__Route *list[], unsigned *count, const BH__Route *r);
static void sort_by_id_(const BH__Route *list[], unsigned count);

/* Inserts a route into a list sorted by memory size, largest first. The list keeps the largest BH__PARTS_MAX
 * routes. */
static void insert_by_size_(const BH__Route *list[], unsigned *count, const BH__Route *r)
{
	unsigned at = *count;

	while (at > 0 && list[at - 1]->digest.kv_total_bytes < r->digest.kv_total_bytes)
		at--;
	if (at >= BH__PARTS_MAX)
		return;
	if (*count < BH__PARTS_MAX)
		(*count)++;
	for (unsigned i = *count - 1; i > at; i--)
		list[i] = list[i - 1];
	list[at] = r;
}

static void sort_by_id_(const BH__Route *list[], unsigned count)
{
	for (unsigned i = 1; i < count; i++) {
		for (unsigned k = i; k > 0 && list[k - 1]->pool_id > list[k]->pool_id; k--) {
			const BH__Route *swap = list[k];
			list[k] = list[k - 1];
			list[k - 1] = swap;
		}
	}
}

/* Splits a prompt of `prompt_tokens` tokens, which needs `kv_bytes` bytes of KV cache, over several pools of
 * a model. Pools without endpoints or without a digest are not used. Returns the number of parts written to
 * `part`, or 0 if one pool can hold the whole prompt or the largest BH__PARTS_MAX pools together cannot. */
unsigned bh__parts_plan(const BH__Routes *routes, uint64_t model_id, uint64_t kv_bytes,
						uint64_t prompt_tokens, BH__RequestPart part[BH__PARTS_MAX])
{
	const BH__Route *list[BH__PARTS_MAX];
	unsigned count = 0;
	unsigned used = 0;
	double total = 0;
	uint64_t assigned_tokens = 0;
	double cumulative = 0;

	for (unsigned i = 0; i < bh__routes_get_count(routes); i++) {
		const BH__Route *r = bh__routes_get(routes, i);
		if (r->model_id == model_id && r->endpoints && r->digest_us)
			insert_by_size_(list, &count, r);
	}
	while (used < count && total < (double)kv_bytes)
		total += (double)list[used++]->digest.kv_total_bytes * POOL_FILL_;
	if (used < 2 || total < (double)kv_bytes)
		return 0;
	sort_by_id_(list, used);
	for (unsigned i = 0; i < used; i++) {
		uint64_t end_token;
		cumulative += (double)list[i]->digest.kv_total_bytes * POOL_FILL_;
		end_token = i + 1 == used ? prompt_tokens : (uint64_t)((double)prompt_tokens * cumulative / total);
		part[i] = (BH__RequestPart){.pool_id = list[i]->pool_id,
									.first_token = assigned_tokens,
									.token_count = end_token - assigned_tokens};
		assigned_tokens = end_token;
	}
	return used;
}
