/* SPDX-License-Identifier: BSD-3-Clause */
/* Two generations of parts: what is seen goes into the young one; when that is full it becomes the old one,
 * and the old one is dropped. A part in use is seen again and so stays young, without a list in order of use.
 */
#include "bayhoist/answered_parts.h"

#include <glib.h>
#include "bayhoist/hash.h"

/* Parts of a generation, of some 60 bytes each. A node that begins 50 answers a second on parts that are all
 * new remembers for at least two and a half minutes. */
#define GENERATION_MAX_ 8192

struct BH__AnsweredParts {
	GHashTable *young; /* uint64_t time in microseconds, by hash of the part */
	GHashTable *old;
};

static GHashTable *new_generation_(void);
static uint64_t key_(const BH__Fingerprint *part);

BH__AnsweredParts *bh__answered_parts_new(void)
{
	BH__AnsweredParts *a = g_new0(BH__AnsweredParts, 1);

	a->young = new_generation_();
	a->old = new_generation_();
	return a;
}

void bh__answered_parts_delete(BH__AnsweredParts *a)
{
	if (!a)
		return;
	g_hash_table_unref(a->young);
	g_hash_table_unref(a->old);
	g_free(a);
}

static GHashTable *new_generation_(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

static uint64_t key_(const BH__Fingerprint *part)
{
	return bh__hash_pair(part->high, part->low);
}

/* Notes that an answer to a request with this part has begun. */
void bh__answered_parts_note(BH__AnsweredParts *a, const BH__Fingerprint *part, uint64_t now_us)
{
	uint64_t key = key_(part);
	uint64_t *seen_us = g_hash_table_lookup(a->young, &key);

	if (seen_us) {
		*seen_us = now_us;
		return;
	}
	if (g_hash_table_size(a->young) >= GENERATION_MAX_) {
		g_hash_table_unref(a->old);
		a->old = a->young;
		a->young = new_generation_();
	}
	g_hash_table_remove(a->old, &key);
	g_hash_table_insert(a->young, g_memdup2(&key, sizeof key), g_memdup2(&now_us, sizeof now_us));
}

/* Returns true if an answer on this part was seen to begin at `since_us` or later. */
bool bh__answered_parts_has_since(const BH__AnsweredParts *a, const BH__Fingerprint *part, uint64_t since_us)
{
	uint64_t key = key_(part);
	const uint64_t *seen_us = g_hash_table_lookup(a->young, &key);

	if (!seen_us)
		seen_us = g_hash_table_lookup(a->old, &key);
	return seen_us && *seen_us >= since_us;
}

/* Forgets a part. Returns false if it was not remembered. */
bool bh__answered_parts_take(BH__AnsweredParts *a, const BH__Fingerprint *part)
{
	uint64_t key = key_(part);

	return g_hash_table_remove(a->young, &key) || g_hash_table_remove(a->old, &key);
}

/* Returns the number of remembered parts. */
uint32_t bh__answered_parts_get_count(const BH__AnsweredParts *a)
{
	return g_hash_table_size(a->young) + g_hash_table_size(a->old);
}
