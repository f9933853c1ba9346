/* SPDX-License-Identifier: BSD-3-Clause */
/* Assignment of duties to nodes by rendezvous hashing among the usable members of the local table. */
#include "bayhoist/members.h"

#include <string.h>
#include "bayhoist/hash.h"

#define CAPACITY_RATIO_ 2 /* VMs with less than 1/CAPACITY_RATIO_ of the largest capacity get no duties */

static bool is_candidate_(const BH__Members *m, const BH__MemberInfo *info, const char *hall);
static bool is_among_(uint64_t node_id, const uint64_t *list, unsigned count);

/* Returns whether the node may take duties and callers: it is alive and not leaving. */
bool bh__member_is_usable(const BH__MemberInfo *info)
{
	return info->state == BH__MEMBER_ALIVE && !info->leaving;
}

/* Tells the belief about paths how many usable nodes each hall has. */
void bh__members_tell_halls(const BH__Members *m, BH__HallPaths *paths)
{
	GHashTable *halls = g_hash_table_new(g_str_hash, g_str_equal); /* name -> number */
	GHashTableIter it;
	gpointer name;
	gpointer nodes;

	for (unsigned i = 0; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		guint count = GPOINTER_TO_UINT(g_hash_table_lookup(halls, info->hall));
		g_hash_table_insert(halls, (gpointer)info->hall,
							GUINT_TO_POINTER(count + bh__member_is_usable(info)));
	}
	g_hash_table_iter_init(&it, halls);
	while (g_hash_table_iter_next(&it, &name, &nodes))
		bh__hall_paths_set_nodes(paths, name, GPOINTER_TO_UINT(nodes));
	g_hash_table_unref(halls);
}

/* Returns whether this node can connect to another one, as far as the paths between their halls are known. */
bool bh__members_is_connected(const BH__Members *m, const BH__MemberInfo *info)
{
	const BH__HallPaths *paths = bh__members_get_paths(m);

	return !paths || !bh__hall_paths_is_lost(paths, info->hall);
}

/* Returns whether the node is usable and in `hall`; NULL: in any hall that may serve others. A duty for a
 * single hall stays in it. */
static bool is_candidate_(const BH__Members *m, const BH__MemberInfo *info, const char *hall)
{
	const BH__HallPaths *paths = bh__members_get_paths(m);

	if (!bh__member_is_usable(info))
		return false;
	return hall ? !strcmp(info->hall, hall) : !paths || bh__hall_paths_may_serve(paths, info->hall);
}

/* Returns the node that owns a duty: the one with the highest rendezvous weight for `key` among the usable
 * nodes of `hall`, or of any hall if `hall` is NULL or has none. Nodes on VMs with less than half of the
 * largest capacity are eligible only when the larger ones are gone. Returns 0 if no node is usable. */
uint64_t bh__members_pick(const BH__Members *m, uint64_t key, const char *hall)
{
	uint64_t best = bh__members_pick_except(m, key, hall, NULL, 0);

	return best || !hall ? best : bh__members_pick_except(m, key, NULL, NULL, 0);
}

/* Returns whether a list of node ids holds `node_id`. */
static bool is_among_(uint64_t node_id, const uint64_t *list, unsigned count)
{
	for (unsigned i = 0; i < count; i++)
		if (list[i] == node_id)
			return true;
	return false;
}

/* Returns the node that owns a duty as bh__members_pick() does, but without the nodes in `except` and without
 * falling back to another hall. Returns 0 if no node is usable. */
uint64_t bh__members_pick_except(const BH__Members *m, uint64_t key, const char *hall, const uint64_t *except,
								 unsigned except_count)
{
	uint32_t capacity = 0;
	uint64_t best = 0;
	uint64_t best_weight = 0;

	for (unsigned i = 0; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		if (is_candidate_(m, info, hall) && !is_among_(info->node_id, except, except_count))
			capacity = MAX(capacity, info->capacity);
	}
	for (unsigned i = 0; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		uint64_t weight = bh__hash_pair(info->node_id, key);
		if (!is_candidate_(m, info, hall) || is_among_(info->node_id, except, except_count) ||
			info->capacity < capacity / CAPACITY_RATIO_ || weight <= best_weight)
			continue;
		best = info->node_id;
		best_weight = weight;
	}
	return best;
}

/* Returns the rank of this node by rendezvous weight for `key`: the number of usable nodes of `hall` with a
 * higher weight; NULL: of all halls. */
unsigned bh__members_get_rank(const BH__Members *m, uint64_t key, const char *hall)
{
	uint64_t own_weight = bh__hash_pair(bh__members_get_self(m)->node_id, key);
	unsigned rank = 0;

	for (unsigned i = 1; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		rank += is_candidate_(m, info, hall) && bh__hash_pair(info->node_id, key) > own_weight;
	}
	return rank;
}
