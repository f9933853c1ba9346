/* SPDX-License-Identifier: BSD-3-Clause */
/* The prefix index: a bounded table that maps a prefix hash to the few engines that reported it last. Entries
 * are hints: a wrong one costs time but does no other harm. */
#include "prefix_index.h"

#include <glib.h>

#define ENTRIES_MAX_ 262144 /* a full table is cleared before the next insertion */

typedef struct {
	uint64_t hash;                            /* key of the entry */
	uint8_t count;                            /* used elements of `endpoint_id` */
	uint64_t endpoint_id[BH__PREFIX_HOLDERS]; /* holders, the oldest first */
} Entry_;

struct BH__PrefixIndex {
	GHashTable *entries; /* prefix hash -> Entry_ */
};

static gboolean remove_endpoint_from_entry_(gpointer key, gpointer value, gpointer endpoint_id);
static bool has_holder_(const Entry_ *e, uint64_t endpoint_id);
static void remove_holder_(Entry_ *e, uint64_t endpoint_id);

BH__PrefixIndex *bh__prefix_index_new(void)
{
	BH__PrefixIndex *x = g_new0(BH__PrefixIndex, 1);
	x->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return x;
}

void bh__prefix_index_delete(BH__PrefixIndex *x)
{
	g_hash_table_unref(x->entries);
	g_free(x);
}

static bool has_holder_(const Entry_ *e, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < e->count; i++)
		if (e->endpoint_id[i] == endpoint_id)
			return true;
	return false;
}

/* Records that an engine holds a prefix. If the entry is full, the engine replaces the oldest holder. */
void bh__prefix_index_add(BH__PrefixIndex *x, uint64_t hash, uint64_t endpoint_id)
{
	Entry_ *e = g_hash_table_lookup(x->entries, &hash);

	if (!e) {
		if (g_hash_table_size(x->entries) >= ENTRIES_MAX_)
			g_hash_table_remove_all(x->entries);
		e = g_new0(Entry_, 1);
		e->hash = hash;
		g_hash_table_insert(x->entries, &e->hash, e);
	}
	if (has_holder_(e, endpoint_id))
		return;
	if (e->count == BH__PREFIX_HOLDERS)
		remove_holder_(e, e->endpoint_id[0]);
	e->endpoint_id[e->count++] = endpoint_id;
}

/* Removes an engine from an entry, if the entry names it. The order of the others stays. */
static void remove_holder_(Entry_ *e, uint64_t endpoint_id)
{
	unsigned kept = 0;

	for (unsigned i = 0; i < e->count; i++)
		if (e->endpoint_id[i] != endpoint_id)
			e->endpoint_id[kept++] = e->endpoint_id[i];
	e->count = (uint8_t)kept;
}

/* Records that an engine no longer holds a prefix. */
void bh__prefix_index_remove(BH__PrefixIndex *x, uint64_t hash, uint64_t endpoint_id)
{
	Entry_ *e = g_hash_table_lookup(x->entries, &hash);

	if (!e)
		return;
	remove_holder_(e, endpoint_id);
	if (!e->count)
		g_hash_table_remove(x->entries, &hash);
}

/* Removes an engine from an entry. Returns TRUE if no holder is left, so that the hash table deletes the
 * entry. */
static gboolean remove_endpoint_from_entry_(gpointer key, gpointer value, gpointer endpoint_id)
{
	(void)key;
	remove_holder_(value, *(const uint64_t *)endpoint_id);
	return ((const Entry_ *)value)->count == 0;
}

/* Removes an engine from all prefixes, after it has restarted or when its event sequence has a gap. */
void bh__prefix_index_remove_endpoint(BH__PrefixIndex *x, uint64_t endpoint_id)
{
	g_hash_table_foreach_remove(x->entries, remove_endpoint_from_entry_, &endpoint_id);
}

/* Returns the length in tokens of the longest prefix of `chain` that the engine holds; 0: it holds none. */
uint32_t bh__prefix_index_get_cached(const BH__PrefixIndex *x, const BH__PrefixChain *chain,
									 uint64_t endpoint_id)
{
	for (unsigned i = chain->count; i-- > 0;) {
		const Entry_ *e = g_hash_table_lookup(x->entries, &chain->hash[i]);
		if (e && has_holder_(e, endpoint_id))
			return bh__prefix_get_tokens(i);
	}
	return 0;
}

/* Writes the engines that hold the longest known prefix of `chain` to `out` and the length of that prefix in
 * tokens to `tokens`. Returns the number of engines; 0: no prefix is known, and `*tokens` is 0. */
unsigned bh__prefix_index_get_holders(const BH__PrefixIndex *x, const BH__PrefixChain *chain,
									  uint64_t out[BH__PREFIX_HOLDERS], uint32_t *tokens)
{
	for (unsigned i = chain->count; i-- > 0;) {
		const Entry_ *e = g_hash_table_lookup(x->entries, &chain->hash[i]);
		if (!e)
			continue;
		for (unsigned k = 0; k < e->count; k++)
			out[k] = e->endpoint_id[k];
		*tokens = bh__prefix_get_tokens(i);
		return e->count;
	}
	*tokens = 0;
	return 0;
}
