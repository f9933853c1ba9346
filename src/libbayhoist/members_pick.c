/* SPDX-License-Identifier: BSD-3-Clause */
/* Which node does a duty, by what is known of all: rendezvous hashing among those that are usable. */
#include "bayhoist/members.h"

#include <string.h>
#include "bayhoist/hash.h"

#define CAPACITY_RATIO_ 2 /* VMs with less than this part of what the largest has are left without duties */

static bool is_candidate_(const BH__MemberInfo *info, const char *hall);
static bool is_among_(uint64_t node_id, const uint64_t *list, unsigned count);

/* Returns true if the node may take on duties and callers. */
bool bh__member_is_usable(const BH__MemberInfo *info)
{
	return info->state == BH__MEMBER_ALIVE && !info->leaving;
}

static bool is_candidate_(const BH__MemberInfo *info, const char *hall)
{
	return bh__member_is_usable(info) && (!hall || !strcmp(info->hall, hall));
}

/* Returns the node that a duty falls to: the highest rendezvous weight for `key` among the usable nodes of
 * `hall`, or of any hall if it has none. Nodes on much smaller VMs than others have come into question only
 * when those are gone. Returns 0 if no node is usable. */
uint64_t bh__members_pick(const BH__Members *m, uint64_t key, const char *hall)
{
	uint64_t best = bh__members_pick_except(m, key, hall, NULL, 0);

	return best || !hall ? best : bh__members_pick_except(m, key, NULL, NULL, 0);
}

static bool is_among_(uint64_t node_id, const uint64_t *list, unsigned count)
{
	for (unsigned i = 0; i < count; i++)
		if (list[i] == node_id)
			return true;
	return false;
}

/* The same without the nodes in `except`, and in no other hall than `hall`; NULL: in any. */
uint64_t bh__members_pick_except(const BH__Members *m, uint64_t key, const char *hall, const uint64_t *except,
								 unsigned except_count)
{
	uint32_t capacity = 0;
	uint64_t best = 0;
	uint64_t best_weight = 0;

	for (unsigned i = 0; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		if (is_candidate_(info, hall) && !is_among_(info->node_id, except, except_count))
			capacity = MAX(capacity, info->capacity);
	}
	for (unsigned i = 0; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		uint64_t weight = bh__hash_pair(info->node_id, key);
		if (!is_candidate_(info, hall) || is_among_(info->node_id, except, except_count) ||
			info->capacity < capacity / CAPACITY_RATIO_ || weight <= best_weight)
			continue;
		best = info->node_id;
		best_weight = weight;
	}
	return best;
}

/* Returns how many usable nodes of `hall` come before this one for `key`: 0 is first. */
unsigned bh__members_get_rank(const BH__Members *m, uint64_t key, const char *hall)
{
	uint64_t mine = bh__hash_pair(bh__members_get_self(m)->node_id, key);
	unsigned rank = 0;

	for (unsigned i = 1; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		rank += is_candidate_(info, hall) && bh__hash_pair(info->node_id, key) > mine;
	}
	return rank;
}
