/* SPDX-License-Identifier: BSD-3-Clause */
/* The engine table and the choice of engines.
 *
 * A short prompt goes to the engine with the earliest predicted first token among those with memory: backlog
 * of its size class, its own prefill less the cached prefix, and a charge for running streams and for a long
 * prefill beside it. Of more engines than CANDIDATES_ a random run of that many is looked at, plus the
 * holders of the prompt's prefix, so that the cost of a decision does not grow with the pool. */
#include "engines.h"

#include "bayhoist/hash.h"

#define CANDIDATES_ 32
#define DEFAULT_PREFILL_TOKENS_PER_US_ 0.02
#define DEFAULT_TOKEN_US_ (37 * BH__MS_US)
/* With more backlog than this work waits here, where its order can still change. */
#define BACKLOG_LIMIT_US_ (150 * BH__MS_US)
#define STREAM_COST_US_ 500
/* Work of a larger class gives way only at the end of its step. */
#define STEP_IN_THE_WAY_US_ (20 * BH__MS_US)
#define LONG_STEP_US_ (20 * BH__MS_US) /* more, the longer the context is that it attends to */
#define GANG_FILL_ 0.92                /* of an engine's memory that a gang's part may take */

struct BH__Engines {
	GPtrArray *table; /* BH__Engine * */
	GHashTable *by_id;
	GRand *rand;
};

typedef struct {
	BH__Engine *best;
	uint64_t best_us;
	bool avoid; /* pass over the engines that the ask avoids */
} Choice_;

static bool is_avoided_(const BH__Ask *ask, uint64_t endpoint_id);
static bool has_other_(const BH__Engines *t, const BH__Ask *ask);
static bool has_room_(const BH__Engine *e, const BH__Ask *ask, uint64_t backlog_us);
static void consider_short_(Choice_ *c, BH__Engine *e, const BH__Ask *ask, uint32_t cached_tokens,
							uint64_t now_us);
static bool takes_long_(const BH__Engine *e, const BH__Ask *ask, uint64_t part_bytes, bool avoid);
static void insert_by_promise_(BH__Engine *out[], unsigned *n, unsigned max, BH__Engine *e);
static double promise_(const BH__Engine *e);

BH__Engines *bh__engines_new(uint32_t seed)
{
	BH__Engines *t = g_new0(BH__Engines, 1);
	t->table = g_ptr_array_new_with_free_func(g_free);
	t->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->rand = g_rand_new_with_seed(seed);
	return t;
}

void bh__engines_delete(BH__Engines *t)
{
	g_hash_table_unref(t->by_id);
	g_ptr_array_unref(t->table);
	g_rand_free(t->rand);
	g_free(t);
}

/* Returns the engine `endpoint_id`, new if there was none. */
BH__Engine *bh__engines_add(BH__Engines *t, uint64_t endpoint_id)
{
	BH__Engine *e = bh__engines_find(t, endpoint_id);

	if (e)
		return e;
	e = g_new0(BH__Engine, 1);
	e->spec.endpoint_id = endpoint_id;
	e->prefill_tokens_per_us = DEFAULT_PREFILL_TOKENS_PER_US_;
	e->token_us = DEFAULT_TOKEN_US_;
	g_ptr_array_add(t->table, e);
	g_hash_table_insert(t->by_id, &e->spec.endpoint_id, e);
	return e;
}

void bh__engines_remove(BH__Engines *t, uint64_t endpoint_id)
{
	BH__Engine *e = bh__engines_find(t, endpoint_id);

	if (!e)
		return;
	g_hash_table_remove(t->by_id, &endpoint_id);
	g_ptr_array_remove(t->table, e);
}

BH__Engine *bh__engines_find(const BH__Engines *t, uint64_t endpoint_id)
{
	return g_hash_table_lookup(t->by_id, &endpoint_id);
}

unsigned bh__engines_get_count(const BH__Engines *t)
{
	return t->table->len;
}

BH__Engine *bh__engines_get(const BH__Engines *t, unsigned index)
{
	return g_ptr_array_index(t->table, index);
}

/* Returns true if the engine may be given work. Until its first report its memory is unknown. */
bool bh__engine_is_usable(const BH__Engine *e)
{
	return e->reported && e->reachable && e->spec.ready && !e->spec.leaving;
}

/* Returns true if the engine is usable and holds the adapter that the ask needs, if it needs one. */
bool bh__engine_can_serve(const BH__Engine *e, const BH__Ask *ask)
{
	bool holds = ask->adapter_id == 0;

	for (unsigned i = 0; i < e->spec.adapter_count && !holds; i++)
		holds = e->spec.adapter[i] == ask->adapter_id;
	return holds && bh__engine_is_usable(e);
}

/* Returns the bytes of memory that nothing has a claim to. */
uint64_t bh__engine_get_free(const BH__Engine *e)
{
	uint64_t used = e->kv_granted_bytes + e->kv_reserved_bytes + e->kv_foreign_bytes;
	return used < e->kv_capacity_bytes ? e->kv_capacity_bytes - used : 0;
}

/* Returns how long new work of a class would wait for its prefill to start. */
uint64_t bh__engine_get_backlog_us(const BH__Engine *e, unsigned size_class, uint64_t now_us)
{
	return e->free_at_us[size_class] > now_us ? e->free_at_us[size_class] - now_us : 0;
}

uint64_t bh__engine_predict_prefill_us(const BH__Engine *e, uint64_t tokens)
{
	return (uint64_t)((double)tokens / e->prefill_tokens_per_us);
}

/* Adds the prefill of `tokens` to the backlog of a class and of those above it. */
void bh__engine_charge(BH__Engine *e, unsigned size_class, uint64_t tokens, uint64_t now_us)
{
	uint64_t work_us = bh__engine_predict_prefill_us(e, tokens);

	for (unsigned c = size_class; c < BH__SIZE_CLASSES; c++)
		e->free_at_us[c] = MAX(e->free_at_us[c], now_us) + work_us;
}

static bool is_avoided_(const BH__Ask *ask, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < ask->avoid_count; i++)
		if (ask->avoid[i] == endpoint_id)
			return true;
	return false;
}

/* Returns true if an engine that the ask does not avoid could take it, now or later. Engines to avoid are
 * those that failed the request before: with no other to be had, one of them may be back. */
static bool has_other_(const BH__Engines *t, const BH__Ask *ask)
{
	if (!ask->avoid_count)
		return true;
	for (guint i = 0; i < t->table->len; i++) {
		const BH__Engine *e = g_ptr_array_index(t->table, i);
		if (bh__engine_can_serve(e, ask) && !is_avoided_(ask, e->spec.endpoint_id))
			return true;
	}
	return false;
}

/* Returns the engine for a short prompt, or NULL if it has to wait. */
BH__Engine *bh__engines_pick_short(BH__Engines *t, const BH__PrefixIndex *prefixes, const BH__Ask *ask,
								   uint64_t now_us)
{
	Choice_ c = {NULL, UINT64_MAX, has_other_(t, ask)};
	uint64_t holder[BH__PREFIX_HOLDERS];
	uint32_t cached_tokens = 0;
	unsigned holders = bh__prefix_index_get_holders(prefixes, &ask->prefix, holder, &cached_tokens);
	unsigned n = t->table->len;
	unsigned looks = MIN(n, CANDIDATES_);
	unsigned start = n > CANDIDATES_ ? (unsigned)g_rand_int_range(t->rand, 0, (gint32)n) : 0;

	for (unsigned i = 0; i < holders; i++) {
		BH__Engine *e = bh__engines_find(t, holder[i]);
		if (e)
			consider_short_(&c, e, ask, cached_tokens, now_us);
	}
	for (unsigned i = 0; i < looks; i++)
		consider_short_(&c, g_ptr_array_index(t->table, (start + i) % n), ask, 0, now_us);
	return c.best;
}

static bool has_room_(const BH__Engine *e, const BH__Ask *ask, uint64_t backlog_us)
{
	return backlog_us <= BACKLOG_LIMIT_US_ && !e->dedicated && bh__engine_can_serve(e, ask) &&
		   e->spec.serves_short && e->streams < e->spec.max_streams &&
		   bh__engine_get_free(e) >= ask->kv_bytes;
}

/* Returns true if the engine may be given a short prompt now. */
bool bh__engine_takes_short(const BH__Engine *e, const BH__Ask *ask, uint64_t now_us)
{
	return !is_avoided_(ask, e->spec.endpoint_id) &&
		   has_room_(e, ask, bh__engine_get_backlog_us(e, bh__size_class(ask->prompt_tokens), now_us));
}

static void consider_short_(Choice_ *c, BH__Engine *e, const BH__Ask *ask, uint32_t cached_tokens,
							uint64_t now_us)
{
	uint64_t backlog_us = bh__engine_get_backlog_us(e, bh__size_class(ask->prompt_tokens), now_us);
	uint64_t cost_us;

	if (!has_room_(e, ask, backlog_us) || (c->avoid && is_avoided_(ask, e->spec.endpoint_id)))
		return;
	cost_us = backlog_us + e->streams * (uint64_t)STREAM_COST_US_ +
			  bh__engine_predict_prefill_us(e, ask->prompt_tokens - MIN(cached_tokens, ask->prompt_tokens)) +
			  (e->prefills ? STEP_IN_THE_WAY_US_ : 0) + (e->long_prefills ? LONG_STEP_US_ : 0);
	if (cost_us < c->best_us) {
		c->best = e;
		c->best_us = cost_us;
	}
}

static bool takes_long_(const BH__Engine *e, const BH__Ask *ask, uint64_t part_bytes, bool avoid)
{
	return bh__engine_can_serve(e, ask) && e->spec.serves_long && e->long_prefills == 0 &&
		   e->kv_long_bytes + part_bytes <= e->kv_capacity_bytes && e->streams < e->spec.max_streams &&
		   !(avoid && is_avoided_(ask, e->spec.endpoint_id));
}

/* Returns how many engines it takes to hold `kv_bytes`, or 0 if this pool never can. */
unsigned bh__engines_get_gang_size(const BH__Engines *t, uint64_t kv_bytes)
{
	uint64_t smallest = UINT64_MAX;
	unsigned able = 0;
	unsigned need;

	for (guint i = 0; i < t->table->len; i++) {
		const BH__Engine *e = g_ptr_array_index(t->table, i);
		if (!bh__engine_is_usable(e) || !e->spec.serves_long)
			continue;
		able++;
		smallest = MIN(smallest, e->kv_capacity_bytes);
	}
	if (!able)
		return 0;
	if (kv_bytes <= (uint64_t)((double)smallest * GANG_FILL_))
		return 1;
	need = (unsigned)((double)kv_bytes / ((double)smallest * GANG_FILL_)) + 1;
	return need <= able && need <= BH__GANG_MAX ? need : 0;
}

/* Returns how soon an engine is likely to have room: more is sooner. */
static double promise_(const BH__Engine *e)
{
	return (double)bh__engine_get_free(e) / (double)MAX(e->kv_capacity_bytes, 1) - 0.001 * e->streams;
}

static void insert_by_promise_(BH__Engine *out[], unsigned *n, unsigned max, BH__Engine *e)
{
	unsigned at = *n;

	while (at > 0 && promise_(out[at - 1]) < promise_(e))
		at--;
	if (at >= max)
		return;
	if (*n < max)
		(*n)++;
	for (unsigned i = *n - 1; i > at; i--)
		out[i] = out[i - 1];
	out[at] = e;
}

/* Chooses the engines for a long prompt: as many as its memory needs, chosen all at once. They need not have
 * the memory free yet, nor, with `any_backlog`, be free of other work. Returns their number, or 0 if not
 * enough engines are without a long prefill. */
unsigned bh__engines_pick_long(BH__Engines *t, const BH__PrefixIndex *prefixes, const BH__Ask *ask,
							   bool any_backlog, BH__Engine *out[BH__GANG_MAX], uint64_t now_us)
{
	unsigned need = bh__engines_get_gang_size(t, ask->kv_bytes);
	uint64_t holder[BH__PREFIX_HOLDERS];
	uint32_t cached_tokens = 0;
	unsigned holders;
	unsigned n = 0;
	bool avoid = need <= 1 && has_other_(t, ask);
	uint64_t part_bytes = need ? ask->kv_bytes / need : 0;

	if (!need)
		return 0;
	holders = need == 1 ? bh__prefix_index_get_holders(prefixes, &ask->prefix, holder, &cached_tokens) : 0;
	for (unsigned i = 0; i < holders; i++) {
		BH__Engine *e = bh__engines_find(t, holder[i]);
		if (e && cached_tokens * 2 > ask->prompt_tokens && takes_long_(e, ask, part_bytes, avoid) &&
			bh__engine_get_free(e) >= ask->kv_bytes) {
			out[0] = e;
			return 1;
		}
	}
	for (guint i = 0; i < t->table->len; i++) {
		BH__Engine *e = g_ptr_array_index(t->table, i);
		if (takes_long_(e, ask, part_bytes, avoid) &&
			(any_backlog ||
			 bh__engine_get_backlog_us(e, bh__size_class(ask->prompt_tokens), now_us) <= BACKLOG_LIMIT_US_))
			insert_by_promise_(out, &n, need, e);
	}
	return n == need ? need : 0;
}

unsigned bh__engines_count_dedicated(const BH__Engines *t)
{
	unsigned count = 0;
	for (guint i = 0; i < t->table->len; i++)
		count += ((const BH__Engine *)g_ptr_array_index(t->table, i))->dedicated;
	return count;
}
