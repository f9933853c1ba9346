/* SPDX-License-Identifier: BSD-3-Clause */
/* The engine table and the choice of engines.
 *
 * A short prompt goes to the engine with the earliest predicted first token among those with enough memory.
 * The prediction adds up the backlog of the prompt's size class, the prefill of the tokens that the engine
 * has not cached, and charges for running streams and for concurrent prefills. In a pool of more than
 * CANDIDATES_MAX_ engines, only that many consecutive engines from a random start and the holders of the
 * prompt's prefix are compared, so that the cost of a decision does not grow with the pool. */
#include "engines.h"

#include "bayhoist/hash.h"

#define CANDIDATES_MAX_ 32
#define DEFAULT_PREFILL_TOKENS_PER_US_ 0.02
#define DEFAULT_TOKEN_US_ (37 * BH__MS_US)
/* Backlog above which an engine takes no more work. Further work waits in the scheduler's queue, where its
 * order can still change. */
#define BACKLOG_LIMIT_US_ (150 * BH__MS_US)
#define STREAM_COST_US_ 500 /* predicted delay of a first token by each running stream */
/* Delay by a prefill of a larger size class, which yields only at the end of its step. */
#define PREEMPTION_DELAY_US_ (20 * BH__MS_US)
/* Additional delay by a long prefill, whose steps take longer because they attend to a longer context. */
#define LONG_PREFILL_DELAY_US_ (20 * BH__MS_US)
/* Share of an engine's memory that a gang member's part of the prompt may take. */
#define GANG_FILL_MAX_ 0.92

struct BH__Engines {
	GPtrArray *table;  /* BH__Engine * */
	GHashTable *by_id; /* endpoint id -> BH__Engine * */
	GRand *rand;
};

/* The best engine for a short prompt among those compared so far. */
typedef struct {
	BH__Engine *best;      /* NULL: none can take the prompt */
	uint64_t best_cost_us; /* predicted time to its first token */
	bool skip_avoided;     /* skip the engines that the ask avoids */
} Choice_;

static bool is_avoided_(const BH__Ask *ask, uint64_t endpoint_id);
static bool has_unavoided_(const BH__Engines *t, const BH__Ask *ask);
static bool can_admit_short_(const BH__Engine *e, const BH__Ask *ask, uint64_t backlog_us);
static void consider_short_(Choice_ *c, BH__Engine *e, const BH__Ask *ask, uint32_t cached_tokens,
							uint64_t now_us);
static bool can_take_long_(const BH__Engine *e, const BH__Ask *ask, uint64_t member_bytes, bool skip_avoided);
static void insert_by_availability_(BH__Engine *out[], unsigned *n, unsigned max, BH__Engine *e);
static double get_availability_(const BH__Engine *e);

/* Returns an empty table. `seed` seeds the random choice of candidates. */
BH__Engines *bh__engines_new(uint32_t seed)
{
	BH__Engines *t = g_new0(BH__Engines, 1);
	t->table = g_ptr_array_new_with_free_func(g_free);
	t->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->rand = g_rand_new_with_seed(seed);
	return t;
}

/* Frees the table and its engines. */
void bh__engines_delete(BH__Engines *t)
{
	g_hash_table_unref(t->by_id);
	g_ptr_array_unref(t->table);
	g_rand_free(t->rand);
	g_free(t);
}

/* Returns the engine of an endpoint and adds it if it is not in the table. A new engine starts with default
 * rates and is not usable until it has reported. */
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

/* Removes and frees the engine of an endpoint, if it is in the table. */
void bh__engines_remove(BH__Engines *t, uint64_t endpoint_id)
{
	BH__Engine *e = bh__engines_find(t, endpoint_id);

	if (!e)
		return;
	g_hash_table_remove(t->by_id, &endpoint_id);
	g_ptr_array_remove(t->table, e);
}

/* Returns the engine of an endpoint, or NULL if it is not in the table. */
BH__Engine *bh__engines_find(const BH__Engines *t, uint64_t endpoint_id)
{
	return g_hash_table_lookup(t->by_id, &endpoint_id);
}

unsigned bh__engines_get_count(const BH__Engines *t)
{
	return t->table->len;
}

/* Returns the engine at `index`, which is less than bh__engines_get_count(). */
BH__Engine *bh__engines_get(const BH__Engines *t, unsigned index)
{
	return g_ptr_array_index(t->table, index);
}

/* Returns true if the engine may receive work: it is reachable, ready and not leaving, and has reported its
 * attempts. Before that report the memory in use is unknown. */
bool bh__engine_is_usable(const BH__Engine *e)
{
	return e->reported && e->reachable && e->spec.ready && !e->spec.leaving;
}

/* Returns true if the engine is usable and has loaded the adapter that the ask needs, if any. */
bool bh__engine_can_serve(const BH__Engine *e, const BH__Ask *ask)
{
	bool holds = ask->adapter_id == 0;

	for (unsigned i = 0; i < e->spec.adapter_count && !holds; i++)
		holds = e->spec.adapter[i] == ask->adapter_id;
	return holds && bh__engine_is_usable(e);
}

/* Returns the bytes of engine memory that are neither granted, reserved nor held by unknown attempts. */
uint64_t bh__engine_get_free(const BH__Engine *e)
{
	uint64_t used = e->kv_granted_bytes + e->kv_reserved_bytes + e->kv_unaccounted_bytes;
	return used < e->kv_capacity_bytes ? e->kv_capacity_bytes - used : 0;
}

/* Returns the predicted time until a new prefill of a size class could start; 0: at once. */
uint64_t bh__engine_get_backlog_us(const BH__Engine *e, unsigned size_class, uint64_t now_us)
{
	return e->free_at_us[size_class] > now_us ? e->free_at_us[size_class] - now_us : 0;
}

/* Returns the predicted prefill time of `tokens` at the engine's mean rate. */
uint64_t bh__engine_predict_prefill_us(const BH__Engine *e, uint64_t tokens)
{
	return (uint64_t)((double)tokens / e->prefill_tokens_per_us);
}

/* Adds the predicted prefill time of `tokens` to the backlog of a size class and of all larger classes, which
 * the engine serves later. */
void bh__engine_charge(BH__Engine *e, unsigned size_class, uint64_t tokens, uint64_t now_us)
{
	uint64_t prefill_us = bh__engine_predict_prefill_us(e, tokens);

	for (unsigned c = size_class; c < BH__SIZE_CLASSES; c++)
		e->free_at_us[c] = MAX(e->free_at_us[c], now_us) + prefill_us;
}

/* Returns true if the ask lists the endpoint as one to avoid. */
static bool is_avoided_(const BH__Ask *ask, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < ask->avoid_count; i++)
		if (ask->avoid[i] == endpoint_id)
			return true;
	return false;
}

/* Returns true if an engine that the ask does not avoid can serve it, now or later. The ask avoids the
 * engines that have failed the request before. If no other engine can serve it, they are tried again, since
 * one may have recovered. */
static bool has_unavoided_(const BH__Engines *t, const BH__Ask *ask)
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

/* Returns the engine with the earliest predicted first token for a short prompt, or NULL if no compared
 * engine can take it now. */
BH__Engine *bh__engines_pick_short(BH__Engines *t, const BH__PrefixIndex *prefixes, const BH__Ask *ask,
								   uint64_t now_us)
{
	Choice_ c = {NULL, UINT64_MAX, has_unavoided_(t, ask)};
	uint64_t holder[BH__PREFIX_HOLDERS];
	uint32_t cached_tokens = 0;
	unsigned holders = bh__prefix_index_get_holders(prefixes, &ask->prefix, holder, &cached_tokens);
	unsigned n = t->table->len;
	unsigned candidates = MIN(n, CANDIDATES_MAX_);
	unsigned start = n > CANDIDATES_MAX_ ? (unsigned)g_rand_int_range(t->rand, 0, (gint32)n) : 0;

	for (unsigned i = 0; i < holders; i++) {
		BH__Engine *e = bh__engines_find(t, holder[i]);
		if (e)
			consider_short_(&c, e, ask, cached_tokens, now_us);
	}
	for (unsigned i = 0; i < candidates; i++)
		consider_short_(&c, g_ptr_array_index(t->table, (start + i) % n), ask, 0, now_us);
	return c.best;
}

/* Returns true if the engine has memory, a free stream and little enough backlog for a short prompt and is
 * not dedicated to a long one. */
static bool can_admit_short_(const BH__Engine *e, const BH__Ask *ask, uint64_t backlog_us)
{
	return backlog_us <= BACKLOG_LIMIT_US_ && !e->dedicated && bh__engine_can_serve(e, ask) &&
		   e->spec.serves_short && e->streams < e->spec.max_streams &&
		   bh__engine_get_free(e) >= ask->kv_bytes;
}

/* Returns true if the engine can take a short prompt now and the ask does not avoid it. */
bool bh__engine_can_take_short(const BH__Engine *e, const BH__Ask *ask, uint64_t now_us)
{
	return !is_avoided_(ask, e->spec.endpoint_id) &&
		   can_admit_short_(e, ask, bh__engine_get_backlog_us(e, bh__size_class(ask->prompt_tokens), now_us));
}

/* Makes the engine the best choice if it can take a short prompt and its predicted first token is earlier
 * than that of the best so far. `cached_tokens` of the prompt need no prefill there. */
static void consider_short_(Choice_ *c, BH__Engine *e, const BH__Ask *ask, uint32_t cached_tokens,
							uint64_t now_us)
{
	uint64_t backlog_us = bh__engine_get_backlog_us(e, bh__size_class(ask->prompt_tokens), now_us);
	uint64_t cost_us;

	if (!can_admit_short_(e, ask, backlog_us) || (c->skip_avoided && is_avoided_(ask, e->spec.endpoint_id)))
		return;
	cost_us = backlog_us + e->streams * (uint64_t)STREAM_COST_US_ +
			  bh__engine_predict_prefill_us(e, ask->prompt_tokens - MIN(cached_tokens, ask->prompt_tokens)) +
			  (e->prefills ? PREEMPTION_DELAY_US_ : 0) + (e->long_prefills ? LONG_PREFILL_DELAY_US_ : 0);
	if (cost_us < c->best_cost_us) {
		c->best = e;
		c->best_cost_us = cost_us;
	}
}

/* Returns true if the engine may be chosen for `member_bytes` of a long prompt: it can serve the ask, serves
 * long prompts, runs no long prefill, has a free stream, and its memory can hold all its long prompts
 * together. `skip_avoided` excludes the engines that the ask avoids. */
static bool can_take_long_(const BH__Engine *e, const BH__Ask *ask, uint64_t member_bytes, bool skip_avoided)
{
	return bh__engine_can_serve(e, ask) && e->spec.serves_long && e->long_prefills == 0 &&
		   e->kv_long_bytes + member_bytes <= e->kv_capacity_bytes && e->streams < e->spec.max_streams &&
		   !(skip_avoided && is_avoided_(ask, e->spec.endpoint_id));
}

/* Returns the number of engines needed to hold `kv_bytes`, sized by the smallest usable engine that serves
 * long prompts. Returns 0 if there is no such engine, if there are too few, or if it takes more than
 * BH__GANG_MAX. */
unsigned bh__engines_get_gang_size(const BH__Engines *t, uint64_t kv_bytes)
{
	uint64_t min_capacity_bytes = UINT64_MAX;
	unsigned eligible = 0;
	unsigned gang_size;

	for (guint i = 0; i < t->table->len; i++) {
		const BH__Engine *e = g_ptr_array_index(t->table, i);
		if (!bh__engine_is_usable(e) || !e->spec.serves_long)
			continue;
		eligible++;
		min_capacity_bytes = MIN(min_capacity_bytes, e->kv_capacity_bytes);
	}
	if (!eligible)
		return 0;
	if (kv_bytes <= (uint64_t)((double)min_capacity_bytes * GANG_FILL_MAX_))
		return 1;
	gang_size = (unsigned)((double)kv_bytes / ((double)min_capacity_bytes * GANG_FILL_MAX_)) + 1;
	return gang_size <= eligible && gang_size <= BH__GANG_MAX ? gang_size : 0;
}

/* Returns a score of how soon the engine is likely to have memory free: the free share of its memory, less a
 * small amount for each stream. A higher score means sooner. */
static double get_availability_(const BH__Engine *e)
{
	return (double)bh__engine_get_free(e) / (double)MAX(e->kv_capacity_bytes, 1) - 0.001 * e->streams;
}

/* Inserts an engine into `out`, which holds the `*n` engines with the highest scores in descending order,
 * `max` at most. */
static void insert_by_availability_(BH__Engine *out[], unsigned *n, unsigned max, BH__Engine *e)
{
	unsigned at = *n;

	while (at > 0 && get_availability_(out[at - 1]) < get_availability_(e))
		at--;
	if (at >= max)
		return;
	if (*n < max)
		(*n)++;
	for (unsigned i = *n - 1; i > at; i--)
		out[i] = out[i - 1];
	out[at] = e;
}

/* Chooses all engines for a long prompt at once, as many as its memory needs. They need not have the memory
 * free yet; with `ignore_backlog` they may also have any backlog of other work. A single engine that holds
 * more than half of the prompt in its cache and has the memory free is preferred. Returns the number of
 * engines, or 0 if the pool cannot hold the prompt or too few engines can take it now. */
unsigned bh__engines_pick_long(BH__Engines *t, const BH__PrefixIndex *prefixes, const BH__Ask *ask,
							   bool ignore_backlog, BH__Engine *out[BH__GANG_MAX], uint64_t now_us)
{
	unsigned gang_size = bh__engines_get_gang_size(t, ask->kv_bytes);
	uint64_t holder[BH__PREFIX_HOLDERS];
	uint32_t cached_tokens = 0;
	unsigned holders;
	unsigned n = 0;
	bool skip_avoided = gang_size <= 1 && has_unavoided_(t, ask);
	uint64_t member_bytes = gang_size ? ask->kv_bytes / gang_size : 0;

	if (!gang_size)
		return 0;
	holders =
		gang_size == 1 ? bh__prefix_index_get_holders(prefixes, &ask->prefix, holder, &cached_tokens) : 0;
	for (unsigned i = 0; i < holders; i++) {
		BH__Engine *e = bh__engines_find(t, holder[i]);
		if (e && cached_tokens * 2 > ask->prompt_tokens &&
			can_take_long_(e, ask, member_bytes, skip_avoided) && bh__engine_get_free(e) >= ask->kv_bytes) {
			out[0] = e;
			return 1;
		}
	}
	for (guint i = 0; i < t->table->len; i++) {
		BH__Engine *e = g_ptr_array_index(t->table, i);
		if (can_take_long_(e, ask, member_bytes, skip_avoided) &&
			(ignore_backlog ||
			 bh__engine_get_backlog_us(e, bh__size_class(ask->prompt_tokens), now_us) <= BACKLOG_LIMIT_US_))
			insert_by_availability_(out, &n, gang_size, e);
	}
	return n == gang_size ? gang_size : 0;
}

/* Returns the number of engines that take no short prompts until their long prefill is done. */
unsigned bh__engines_count_dedicated(const BH__Engines *t)
{
	unsigned count = 0;
	for (guint i = 0; i < t->table->len; i++)
		count += ((const BH__Engine *)g_ptr_array_index(t->table, i))->dedicated;
	return count;
}
