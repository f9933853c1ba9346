/* SPDX-License-Identifier: BSD-3-Clause */
/* Selection of a pool by cost: the predicted wait, plus a penalty for a pool in another data hall, minus the
 * prefill time that a cached prefix saves. Digests arrive with a delay, so the cost includes the work sent
 * since the last digest; a digest older than DIGEST_FRESH_US_ is ignored. */
#include "routes.h"

#include <string.h>
#include "bayhoist/hash.h"

#define DIGEST_FRESH_US_ (5 * BH__SECOND_US)
#define NOMINAL_TOKENS_PER_US_ 0.02
#define NO_ENDPOINT_COST_US_ (60 * BH__SECOND_US)
#define RECENT_PREFIXES_ 8192

struct BH__Routes {
	GPtrArray *table;
	GHashTable *by_pool;
	GHashTable *prefix_pool; /* prefix hash -> RecentPrefix_: the pool to which the prefix was last sent */
};

typedef struct {
	uint64_t hash;
	uint64_t pool_id;
} RecentPrefix_;

static BH__Route *add_pool_(BH__Routes *t, const BH__Endpoint *e);
static uint32_t cached_tokens_(const BH__Routes *t, const BH__Ask *ask, uint64_t pool_id);
static uint64_t cost_us_(const BH__Routes *t, const BH__Route *r, const BH__Ask *ask,
						 const BH__Policy *policy, const char *own_hall, uint64_t now_us);

BH__Routes *bh__routes_new(void)
{
	BH__Routes *t = g_new0(BH__Routes, 1);
	t->table = g_ptr_array_new_with_free_func(g_free);
	t->by_pool = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->prefix_pool = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return t;
}

void bh__routes_delete(BH__Routes *t)
{
	g_hash_table_unref(t->by_pool);
	g_hash_table_unref(t->prefix_pool);
	g_ptr_array_unref(t->table);
	g_free(t);
}

/* Loads the pools of a catalog. Pools that are already in the table keep their state; pools without an
 * endpoint in the catalog stay with an endpoint count of 0. */
void bh__routes_load(BH__Routes *t, const BH__Catalog *c)
{
	const GPtrArray *all = bh__catalog_get_all(c, BH__KIND_ENDPOINT);

	for (guint i = 0; i < t->table->len; i++)
		bh__routes_get(t, i)->endpoints = 0;
	for (guint i = 0; i < all->len; i++) {
		const BH__Resource *r = g_ptr_array_index(all, i);
		BH__Route *route = add_pool_(t, &r->as.endpoint);
		route->endpoints += !bh__catalog_is_leaving(c, &r->as.endpoint);
	}
}

/* Returns the route of an endpoint's pool, adding it if needed. */
static BH__Route *add_pool_(BH__Routes *t, const BH__Endpoint *e)
{
	uint64_t pool_id = e->pool_id;
	BH__Route *r = bh__routes_find(t, pool_id);

	if (r)
		return r;
	r = g_new0(BH__Route, 1);
	r->pool_id = pool_id;
	r->model_id = bh__hash_name(e->model);
	g_strlcpy(r->hall, e->hall, sizeof r->hall);
	g_strlcpy(r->model, e->model, sizeof r->model);
	g_ptr_array_add(t->table, r);
	g_hash_table_insert(t->by_pool, &r->pool_id, r);
	return r;
}

BH__Route *bh__routes_find(const BH__Routes *t, uint64_t pool_id)
{
	return g_hash_table_lookup(t->by_pool, &pool_id);
}

unsigned bh__routes_get_count(const BH__Routes *t)
{
	return t->table->len;
}

BH__Route *bh__routes_get(const BH__Routes *t, unsigned index)
{
	return g_ptr_array_index(t->table, index);
}

/* Returns the node that schedules a pool, or this node if no other is available. The result is cached until
 * the member list changes. */
uint64_t bh__route_get_scheduler(BH__Route *r, const BH__Members *m)
{
	if (r->members_version != bh__members_get_version(m)) {
		r->members_version = bh__members_get_version(m);
		r->scheduler = bh__members_pick(m, r->pool_id, r->hall);
		if (!r->scheduler)
			r->scheduler = bh__members_get_self(m)->node_id;
	}
	return r->scheduler;
}

/* Stores a digest if it comes from the pool's scheduler, or from the sender of the stored one with a higher
 * sequence number. */
void bh__routes_update_digest(BH__Routes *t, const BH__PoolDigest *d, uint64_t now_us)
{
	BH__Route *r = bh__routes_find(t, d->pool_id);

	if (!r || (r->digest.node_id == d->node_id && r->digest.sequence >= d->sequence))
		return;
	if (r->digest.node_id != d->node_id && d->node_id != r->scheduler)
		return;
	r->digest = *d;
	r->digest_us = now_us;
	r->sent_tokens = 0;
}

/* Returns the length in tokens of the longest prefix of a prompt that was last sent to a pool; 0: none. */
static uint32_t cached_tokens_(const BH__Routes *t, const BH__Ask *ask, uint64_t pool_id)
{
	for (unsigned i = ask->prefix.count; i-- > 0;) {
		const RecentPrefix_ *p = g_hash_table_lookup(t->prefix_pool, &ask->prefix.hash[i]);
		if (p && p->pool_id == pool_id)
			return bh__prefix_get_tokens(i);
	}
	return 0;
}

/* Returns the cost in us of sending a request to a pool. */
static uint64_t cost_us_(const BH__Routes *t, const BH__Route *r, const BH__Ask *ask,
						 const BH__Policy *policy, const char *own_hall, uint64_t now_us)
{
	bool is_long = ask->prompt_tokens > policy->long_tokens;
	uint32_t cached = cached_tokens_(t, ask, r->pool_id);
	uint64_t cost_us =
		(uint64_t)((double)(ask->prompt_tokens - MIN(cached, ask->prompt_tokens)) / NOMINAL_TOKENS_PER_US_);

	if (r->digest_us && now_us < r->digest_us + DIGEST_FRESH_US_) {
		cost_us += is_long ? r->digest.long_wait_us : r->digest.short_wait_us;
		cost_us += r->digest.endpoints ? 0 : NO_ENDPOINT_COST_US_;
		if (r->digest.kv_total_bytes < ask->kv_bytes)
			cost_us += NO_ENDPOINT_COST_US_;
	}
	cost_us += (uint64_t)((double)r->sent_tokens / NOMINAL_TOKENS_PER_US_ / MAX(r->endpoints, 1u));
	if (strcmp(r->hall, own_hall) != 0)
		cost_us += (uint64_t)(policy->hall_penalty_ms * (double)BH__MS_US);
	return cost_us;
}

/* Returns the pool of a model with the lowest cost, excluding those already tried; NULL if there is none. */
BH__Route *bh__routes_choose(BH__Routes *t, uint64_t model_id, const BH__Ask *ask, const BH__Policy *policy,
							 const char *own_hall, const uint64_t *tried, unsigned tried_count,
							 uint64_t now_us)
{
	BH__Route *best = NULL;
	uint64_t best_us = UINT64_MAX;

	for (guint i = 0; i < t->table->len; i++) {
		BH__Route *r = bh__routes_get(t, i);
		uint64_t cost_us;
		bool skip = r->model_id != model_id || !r->endpoints;
		for (unsigned k = 0; k < tried_count; k++)
			skip |= tried[k] == r->pool_id;
		if (skip)
			continue;
		cost_us = cost_us_(t, r, ask, policy, own_hall, now_us);
		if (cost_us < best_us) {
			best = r;
			best_us = cost_us;
		}
	}
	return best;
}

/* Records the prompt tokens sent to a pool, and that the pool will have the prompt's prefixes cached. */
void bh__routes_note_sent(BH__Routes *t, BH__Route *r, const BH__Ask *ask)
{
	r->sent_tokens += ask->prompt_tokens;
	if (g_hash_table_size(t->prefix_pool) > RECENT_PREFIXES_)
		g_hash_table_remove_all(t->prefix_pool);
	for (unsigned i = 0; i < ask->prefix.count; i++) {
		RecentPrefix_ *p = g_new(RecentPrefix_, 1);
		p->hash = ask->prefix.hash[i];
		p->pool_id = r->pool_id;
		g_hash_table_replace(t->prefix_pool, &p->hash, p);
	}
}
