/* SPDX-License-Identifier: BSD-3-Clause */
/* The store client: call budget, timeout, back-off after failures. A call that got no answer is reported as
 * unknown, never as failed, since its effect may be reported late or not at all. */
#include "bayhoist/store.h"

#include <glib.h>
#include "bayhoist/bucket.h"

#define CALL_TIMEOUT_US_ (2 * BH__SECOND_US)
#define BACKOFF_FIRST_US_ (100 * BH__MS_US)
#define BACKOFF_MAX_US_ (5 * BH__SECOND_US)
#define BURST_S_ 10.0

struct BH__Store {
	BH__StorePort *port;
	GHashTable *pending; /* call id -> Pending_ */
	BH__Bucket reads;
	BH__Bucket writes;
	uint64_t next_id;
	uint64_t backoff_us;
	uint64_t retry_at_us;
};

typedef struct {
	uint64_t call_id;
	uint64_t timeout_us;
	BH__StoreDone done;
	void *owner;
} Pending_;

static void finish_(BH__Store *s, const BH__StoreReply *reply, uint64_t now_us);
static void note_failure_(BH__Store *s, uint64_t now_us);

/* Returns a client that stays within the given rates, with bursts of ten seconds' worth. */
BH__Store *bh__store_new(BH__StorePort *port, double reads_per_s, double writes_per_s)
{
	BH__Store *s = g_new0(BH__Store, 1);
	s->port = port;
	s->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	bh__bucket_init(&s->reads, reads_per_s, reads_per_s * BURST_S_);
	bh__bucket_init(&s->writes, writes_per_s, writes_per_s * BURST_S_);
	return s;
}

void bh__store_delete(BH__Store *s)
{
	g_hash_table_unref(s->pending);
	g_free(s);
}

/* Sends `call`; sets its call_id. `done` is called once, at once if the call may not be sent now. */
void bh__store_call(BH__Store *s, BH__StoreCall *call, BH__StoreDone done, void *owner, uint64_t now_us)
{
	BH__Bucket *budget = call->op == BH__STORE_GET ? &s->reads : &s->writes;
	Pending_ *p;

	call->call_id = ++s->next_id;
	if (now_us < s->retry_at_us || !bh__bucket_take(budget, 1, now_us)) {
		done(owner, &(BH__StoreReply){.call_id = call->call_id, .status = BH__STORE_NOT_SENT}, now_us);
		return;
	}
	p = g_new0(Pending_, 1);
	p->call_id = call->call_id;
	p->timeout_us = now_us + CALL_TIMEOUT_US_;
	p->done = done;
	p->owner = owner;
	g_hash_table_insert(s->pending, &p->call_id, p);
	s->port->call(s->port, call);
}

/* Takes an answer from the port. One to a call already timed out is dropped. */
void bh__store_process_reply(BH__Store *s, const BH__StoreReply *reply, uint64_t now_us)
{
	if (!g_hash_table_contains(s->pending, &reply->call_id))
		return;
	if (reply->status == BH__STORE_UNKNOWN) {
		note_failure_(s, now_us);
	}
	else {
		s->backoff_us = 0;
		s->retry_at_us = 0;
	}
	finish_(s, reply, now_us);
}

static void finish_(BH__Store *s, const BH__StoreReply *reply, uint64_t now_us)
{
	Pending_ *p = g_hash_table_lookup(s->pending, &reply->call_id);
	BH__StoreDone done = p->done;
	void *owner = p->owner;

	g_hash_table_remove(s->pending, &reply->call_id);
	if (done)
		done(owner, reply, now_us);
}

static void note_failure_(BH__Store *s, uint64_t now_us)
{
	s->backoff_us = s->backoff_us ? MIN(s->backoff_us * 2, BACKOFF_MAX_US_) : BACKOFF_FIRST_US_;
	s->retry_at_us = now_us + s->backoff_us;
}

/* Times out calls that have waited too long. */
void bh__store_process_tick(BH__Store *s, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	GArray *late = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	g_hash_table_iter_init(&it, s->pending);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Pending_ *p = value;
		if (now_us >= p->timeout_us)
			g_array_append_val(late, p->call_id);
	}
	for (guint i = 0; i < late->len; i++) {
		BH__StoreReply reply = {.call_id = g_array_index(late, uint64_t, i), .status = BH__STORE_UNKNOWN};
		bh__store_process_reply(s, &reply, now_us);
	}
	g_array_unref(late);
}

/* Drops the answers that `owner` still waits for. */
void bh__store_forget(BH__Store *s, const void *owner)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->pending);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((const Pending_ *)value)->owner == owner)
			((Pending_ *)value)->done = NULL;
}

/* Returns false while the client backs off after a failure. */
bool bh__store_is_up(const BH__Store *s)
{
	return s->backoff_us == 0;
}
