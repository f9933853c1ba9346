/* SPDX-License-Identifier: BSD-3-Clause */
/* Weighted fair queueing by finish tags (Demers, Keshav, Shenker, SIGCOMM 1989). A tag is measured in tokens
 * divided by weight. Within a lane, small work therefore precedes large work, and a busy account queues
 * behind its own work instead of delaying other accounts. No entry starves, because later arrivals get later
 * tags. */
#include "queue.h"

#define ACCOUNTS_MAX_ 65536

struct BH__Queue {
	GSequence *by_finish_tag[BH__LANE_COUNT]; /* BH__QueueEntry *, ascending finish tag */
	GSequence *by_latest_start;               /* BH__QueueEntry * of all lanes, ascending latest start */
	GHashTable *by_ask;                       /* ask id -> BH__QueueEntry *, which it owns */
	GHashTable *account_tag[BH__LANE_COUNT];  /* account id -> double: the account's last finish tag */
	double virtual_time[BH__LANE_COUNT];      /* in tokens divided by weight, like the tags */
	uint64_t waiting_weight[BH__LANE_COUNT];  /* sum of the weights of the lane's entries */
	uint64_t work_tokens[BH__LANE_COUNT];     /* sum of the lane's prompt and answer tokens */
};

static gint compare_tags_(gconstpointer a, gconstpointer b, gpointer unused);
static gint compare_latest_starts_(gconstpointer a, gconstpointer b, gpointer unused);
static double *get_account_tag_(BH__Queue *q, BH__Lane lane, uint64_t account_id);

/* Returns an empty queue, to be freed with bh__queue_delete(). */
BH__Queue *bh__queue_new(void)
{
	BH__Queue *q = g_new0(BH__Queue, 1);
	for (int lane = 0; lane < BH__LANE_COUNT; lane++) {
		q->by_finish_tag[lane] = g_sequence_new(NULL);
		q->account_tag[lane] = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	}
	q->by_latest_start = g_sequence_new(NULL);
	q->by_ask = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return q;
}

/* Frees the queue and all its entries. */
void bh__queue_delete(BH__Queue *q)
{
	for (int lane = 0; lane < BH__LANE_COUNT; lane++) {
		g_sequence_free(q->by_finish_tag[lane]);
		g_hash_table_unref(q->account_tag[lane]);
	}
	g_sequence_free(q->by_latest_start);
	g_hash_table_unref(q->by_ask);
	g_free(q);
}

/* Compares two entries by finish tag; equal tags are ordered by ask id. */
static gint compare_tags_(gconstpointer a, gconstpointer b, gpointer unused)
{
	const BH__QueueEntry *ea = a;
	const BH__QueueEntry *eb = b;

	(void)unused;
	if (ea->finish_tag != eb->finish_tag)
		return ea->finish_tag < eb->finish_tag ? -1 : 1;
	return ea->ask.ask_id < eb->ask.ask_id ? -1 : ea->ask.ask_id > eb->ask.ask_id;
}

/* Compares two entries by latest start; equal times are ordered by ask id. */
static gint compare_latest_starts_(gconstpointer a, gconstpointer b, gpointer unused)
{
	const BH__QueueEntry *ea = a;
	const BH__QueueEntry *eb = b;

	(void)unused;
	if (ea->latest_start_us != eb->latest_start_us)
		return ea->latest_start_us < eb->latest_start_us ? -1 : 1;
	return ea->ask.ask_id < eb->ask.ask_id ? -1 : ea->ask.ask_id > eb->ask.ask_id;
}

/* Returns a pointer to the account's last finish tag, which is 0 for a new account. The table is cleared when
 * it holds ACCOUNTS_MAX_ accounts. All accounts then restart at tag 0, which is fair in the long run. */
static double *get_account_tag_(BH__Queue *q, BH__Lane lane, uint64_t account_id)
{
	double *tag = g_hash_table_lookup(q->account_tag[lane], &account_id);

	if (tag)
		return tag;
	if (g_hash_table_size(q->account_tag[lane]) >= ACCOUNTS_MAX_)
		g_hash_table_remove_all(q->account_tag[lane]);
	tag = g_new0(double, 1);
	g_hash_table_insert(q->account_tag[lane], g_memdup2(&account_id, sizeof account_id), tag);
	return tag;
}

/* Adds an ask to a lane and returns its entry, which the queue owns until bh__queue_remove(). The entry
 * expires at `latest_start_us`. */
BH__QueueEntry *bh__queue_push(BH__Queue *q, const BH__Ask *ask, BH__Lane lane, uint64_t latest_start_us,
							   uint64_t now_us)
{
	BH__QueueEntry *e = g_new0(BH__QueueEntry, 1);
	double *last_tag = get_account_tag_(q, lane, ask->account_id);

	e->ask = *ask;
	e->lane = lane;
	e->work_tokens = ask->prompt_tokens + ask->max_tokens;
	e->arrived_us = now_us;
	e->latest_start_us = latest_start_us;
	e->start_tag = MAX(q->virtual_time[lane], *last_tag);
	e->finish_tag = e->start_tag + (double)e->work_tokens / (double)MAX(ask->weight, 1);
	*last_tag = e->finish_tag;
	e->order_iter = g_sequence_insert_sorted(q->by_finish_tag[lane], e, compare_tags_, NULL);
	e->deadline_iter = g_sequence_insert_sorted(q->by_latest_start, e, compare_latest_starts_, NULL);
	g_hash_table_insert(q->by_ask, &e->ask.ask_id, e);
	q->work_tokens[lane] += e->work_tokens;
	q->waiting_weight[lane] += ask->weight;
	return e;
}

/* Advances the lane's virtual time for an entry that is about to be served: by the entry's tokens divided by
 * the total weight that waits, and at least to the entry's start tag. If virtual time followed the start tags
 * alone, it would stand still while new accounts keep arriving. */
void bh__queue_charge(BH__Queue *q, const BH__QueueEntry *e)
{
	double advance = (double)e->work_tokens / (double)MAX(q->waiting_weight[e->lane], 1);
	q->virtual_time[e->lane] = MAX(q->virtual_time[e->lane] + advance, e->start_tag);
}

/* Removes an entry from its lane and frees it. */
void bh__queue_remove(BH__Queue *q, BH__QueueEntry *e)
{
	q->work_tokens[e->lane] -= e->work_tokens;
	q->waiting_weight[e->lane] -= e->ask.weight;
	g_sequence_remove(e->order_iter);
	g_sequence_remove(e->deadline_iter);
	g_hash_table_remove(q->by_ask, &e->ask.ask_id);
}

/* Returns the entry of an ask, or NULL if the ask does not wait here. */
BH__QueueEntry *bh__queue_find(const BH__Queue *q, uint64_t ask_id)
{
	return g_hash_table_lookup(q->by_ask, &ask_id);
}

/* Returns the entry with the lowest finish tag of a lane, or NULL if the lane is empty. */
BH__QueueEntry *bh__queue_get_first(const BH__Queue *q, BH__Lane lane)
{
	GSequenceIter *it = g_sequence_get_begin_iter(q->by_finish_tag[lane]);
	return g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
}

/* Returns the entry that follows `e` in its lane, or NULL if `e` is the last. */
BH__QueueEntry *bh__queue_get_next(const BH__QueueEntry *e)
{
	GSequenceIter *it = g_sequence_iter_next(e->order_iter);
	return g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
}

/* Returns the entry of all lanes that expired first, or NULL if none has expired. */
BH__QueueEntry *bh__queue_get_expired(const BH__Queue *q, uint64_t now_us)
{
	GSequenceIter *it = g_sequence_get_begin_iter(q->by_latest_start);
	BH__QueueEntry *e = g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
	return e && e->latest_start_us <= now_us ? e : NULL;
}

/* Returns the number of entries in a lane. */
uint32_t bh__queue_get_count(const BH__Queue *q, BH__Lane lane)
{
	return (uint32_t)g_sequence_get_length(q->by_finish_tag[lane]);
}

/* Returns the prompt and answer tokens that wait in a lane. */
uint64_t bh__queue_get_work(const BH__Queue *q, BH__Lane lane)
{
	return q->work_tokens[lane];
}
