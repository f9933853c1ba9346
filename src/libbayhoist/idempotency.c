/* SPDX-License-Identifier: BSD-3-Clause */
/* The table of requests that must not run twice. Its memory is bounded: when the oldest outcome is evicted,
 * the low-water mark rises to the sequence of its stamp. A request that has no entry and whose stamp is at or
 * below the mark is answered "may have run". The design is that of a timestamp cache with a low-water mark,
 * whose new holder treats everything earlier as accessed (docs/design/at-most-once.md names the source). */
#include "bayhoist/idempotency.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include "bayhoist/hash.h"

const char *const BH__IdempotencyStateString[] = {"run",   "running",   "finished",
												  "other", "forgotten", "elsewhere"};

/* One request, running or finished. */
typedef struct {
	uint64_t id; /* hash of account and key */
	uint64_t body_hash;
	uint64_t sequence; /* of the stamp that the request carried */
	bool running;
	BH__IdempotencyOutcome outcome;
	char *answer; /* owned copy; NULL if none is kept */
	GList link;   /* in `finished`, once the request has ended */
} Entry_;

struct BH__IdempotencyTable {
	uint32_t max_entries;
	size_t max_answer_bytes;
	size_t answer_bytes;    /* held by all entries together */
	uint64_t last_issued;   /* sequence of the latest stamp; 0: none */
	uint64_t low_watermark; /* highest sequence of an evicted entry; 0: none */
	GHashTable *entries;    /* Entry_ by id */
	GQueue finished;        /* Entry_ links, first finished first */
};

static void free_entry_(gpointer entry);
static void remove_(BH__IdempotencyTable *t, Entry_ *e);
static void evict_oldest_(BH__IdempotencyTable *t);

/* Returns an empty table that keeps up to `max_entries` entries and `max_answer_bytes` of answers. The caller
 * frees it with bh__idempotency_delete(). */
BH__IdempotencyTable *bh__idempotency_new(uint32_t max_entries, size_t max_answer_bytes)
{
	BH__IdempotencyTable *t = g_new0(BH__IdempotencyTable, 1);
	t->max_entries = max_entries;
	t->max_answer_bytes = max_answer_bytes;
	t->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_entry_);
	g_queue_init(&t->finished);
	return t;
}

/* Frees an entry of the hash table with its answer. */
static void free_entry_(gpointer entry)
{
	Entry_ *e = entry;
	g_free(e->answer);
	g_free(e);
}

/* Frees the table and its entries. */
void bh__idempotency_delete(BH__IdempotencyTable *t)
{
	g_hash_table_unref(t->entries);
	g_free(t);
}

/* Issues a stamp and returns its sequence, which is above all that this table has issued. */
uint64_t bh__idempotency_issue(BH__IdempotencyTable *t)
{
	return ++t->last_issued;
}

/* Claims an idempotency key for an account and returns the state of the request. On BH__IDEMPOTENCY_RUN the
 * caller must run the request and then call bh__idempotency_finish() with `*entry_id`. On
 * BH__IDEMPOTENCY_FINISHED `*outcome` is set and is valid until the next call. */
BH__IdempotencyState bh__idempotency_claim(BH__IdempotencyTable *t, uint64_t account_id, const char *key,
										   uint64_t body_hash, uint64_t sequence, uint64_t *entry_id,
										   BH__IdempotencyOutcome *outcome)
{
	uint64_t id = bh__hash_pair(account_id, bh__hash_name(key));
	Entry_ *e = g_hash_table_lookup(t->entries, &id);

	if (e && e->body_hash != body_hash)
		return BH__IDEMPOTENCY_KEY_REUSED;
	if (e && e->running)
		return BH__IDEMPOTENCY_RUNNING;
	if (e) {
		*outcome = e->outcome;
		return BH__IDEMPOTENCY_FINISHED;
	}
	if (sequence <= t->low_watermark)
		return BH__IDEMPOTENCY_EVICTED;
	if (sequence > t->last_issued) /* not issued by this boot */
		return BH__IDEMPOTENCY_FOREIGN_STAMP;
	e = g_new0(Entry_, 1);
	e->id = id;
	e->body_hash = body_hash;
	e->sequence = sequence;
	e->running = true;
	e->link.data = e;
	g_hash_table_insert(t->entries, &e->id, e);
	*entry_id = id;
	return BH__IDEMPOTENCY_RUN;
}

/* Records the outcome of a claimed request and evicts the oldest outcomes until the table is within its
 * bounds. A request that did not run loses its entry, so that its key can be claimed again. An answer above a
 * sixteenth of the table's bytes for answers is not kept. */
void bh__idempotency_finish(BH__IdempotencyTable *t, uint64_t entry_id, const BH__IdempotencyOutcome *outcome)
{
	Entry_ *e = g_hash_table_lookup(t->entries, &entry_id);

	g_assert(e && e->running);
	if (outcome->verdict == BH__VERDICT_NOT_RUN) {
		g_hash_table_remove(t->entries, &entry_id);
		return;
	}
	e->running = false;
	e->outcome = *outcome;
	e->outcome.answer = NULL;
	if (outcome->answer && outcome->answer_len <= t->max_answer_bytes / 16) {
		e->answer = g_memdup2(outcome->answer, outcome->answer_len);
		e->outcome.answer = e->answer;
		t->answer_bytes += outcome->answer_len;
	}
	else {
		e->outcome.answer_len = 0;
	}
	g_queue_push_tail_link(&t->finished, &e->link);
	while (t->answer_bytes > t->max_answer_bytes || g_hash_table_size(t->entries) > t->max_entries) {
		if (!t->finished.length)
			break; /* all entries are running: the node's limit on live requests bounds them */
		evict_oldest_(t);
	}
}

/* Removes the outcome that was recorded first and raises the low-water mark to its sequence. */
static void evict_oldest_(BH__IdempotencyTable *t)
{
	Entry_ *e = t->finished.head->data;

	t->low_watermark = MAX(t->low_watermark, e->sequence);
	remove_(t, e);
}

/* Removes a finished entry and frees it. */
static void remove_(BH__IdempotencyTable *t, Entry_ *e)
{
	g_queue_unlink(&t->finished, &e->link);
	t->answer_bytes -= e->outcome.answer_len;
	g_hash_table_remove(t->entries, &e->id);
}

/* Returns the highest sequence of an evicted entry, or 0 if none was evicted. */
uint64_t bh__idempotency_get_low_watermark(const BH__IdempotencyTable *t)
{
	return t->low_watermark;
}

/* Returns the number of entries, running ones included. */
uint32_t bh__idempotency_get_count(const BH__IdempotencyTable *t)
{
	return g_hash_table_size(t->entries);
}

/* Parses a stamp of the form "node-boot-sequence", all in hexadecimal. Returns false if `text` has another
 * form; `*stamp` is then undefined. */
bool bh__stamp_parse(const char *text, BH__Stamp *stamp)
{
	int used = 0;

	return strlen(text) < BH__STAMP_LEN &&
		   sscanf(text, "%16" G_GINT64_MODIFIER "x-%16" G_GINT64_MODIFIER "x-%16" G_GINT64_MODIFIER "x%n",
				  &stamp->node_id, &stamp->boot_id, &stamp->sequence, &used) == 3 &&
		   text[used] == '\0';
}

/* Writes a stamp in the form that bh__stamp_parse() reads. */
void bh__stamp_write(const BH__Stamp *stamp, char out[BH__STAMP_LEN])
{
	g_snprintf(out, BH__STAMP_LEN,
			   "%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
			   stamp->node_id, stamp->boot_id, stamp->sequence);
}
