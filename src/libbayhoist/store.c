/* SPDX-License-Identifier: BSD-3-Clause */
/* Store client with a call budget, call time-outs and back-off after failures. A call without a reply is
 * reported as BH__STORE_UNKNOWN rather than as failed, because the store may have executed it or may execute
 * it later. */
#include "bayhoist/store.h"

#include <glib.h>
#include "bayhoist/bucket.h"

#define CALL_TIMEOUT_US_ (2 * BH__SECOND_US)
#define BACKOFF_FIRST_US_ (100 * BH__MS_US)
#define BACKOFF_MAX_US_ (5 * BH__SECOND_US)
#define BURST_S_ 10.0 /* budget that accumulates while the client is idle */

struct BH__Store {
	BH__StorePort *port;
	GHashTable *pending; /* calls without a reply: call id -> PendingCall_ */
	BH__Bucket reads;
	BH__Bucket writes;
	uint64_t next_id;
	uint64_t backoff_us;       /* current back-off; 0 after a reply */
	uint64_t backoff_until_us; /* no call is sent before this time; 0: no back-off */
};

/* A call that waits for its reply. */
typedef struct {
	uint64_t call_id;
	uint64_t deadline_us;
	BH__StoreDone done; /* NULL: the owner cancelled the callback */
	void *owner;
} PendingCall_;

static void finish_call_(BH__Store *s, const BH__StoreReply *reply, uint64_t now_us);
static void extend_backoff_(BH__Store *s, uint64_t now_us);

/* Returns a client that limits reads and writes to the given rates, in calls per second; lease operations
 * count as writes. After an idle period it may send a burst worth ten seconds of the rate. */
BH__Store *bh__store_new(BH__StorePort *port, double reads_per_s, double writes_per_s)
{
	BH__Store *s = g_new0(BH__Store, 1);
	s->port = port;
	s->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	bh__bucket_init(&s->reads, reads_per_s, reads_per_s * BURST_S_);
	bh__bucket_init(&s->writes, writes_per_s, writes_per_s * BURST_S_);
	return s;
}

/* Frees the client without calling the callbacks of pending calls. */
void bh__store_delete(BH__Store *s)
{
	g_hash_table_unref(s->pending);
	g_free(s);
}

/* Assigns `call` an id and sends it. `done` is called exactly once unless bh__store_cancel_callbacks()
 * cancels it: from within this function with BH__STORE_NOT_SENT if the budget or the back-off does not permit
 * the call, with BH__STORE_UNKNOWN if no reply arrives within the time-out, and otherwise with the reply. */
void bh__store_call(BH__Store *s, BH__StoreCall *call, BH__StoreDone done, void *owner, uint64_t now_us)
{
	BH__Bucket *budget = call->op == BH__STORE_GET ? &s->reads : &s->writes;
	PendingCall_ *p;

	call->call_id = ++s->next_id;
	if (now_us < s->backoff_until_us || !bh__bucket_take(budget, 1, now_us)) {
		done(owner, &(BH__StoreReply){.call_id = call->call_id, .status = BH__STORE_NOT_SENT}, now_us);
		return;
	}
	p = g_new0(PendingCall_, 1);
	p->call_id = call->call_id;
	p->deadline_us = now_us + CALL_TIMEOUT_US_;
	p->done = done;
	p->owner = owner;
	g_hash_table_insert(s->pending, &p->call_id, p);
	s->port->call(s->port, call);
}

/* Processes a reply from the port. A reply ends the back-off; a BH__STORE_UNKNOWN extends it. Replies to
 * calls that have already timed out are dropped. */
void bh__store_process_reply(BH__Store *s, const BH__StoreReply *reply, uint64_t now_us)
{
	if (!g_hash_table_contains(s->pending, &reply->call_id))
		return;
	if (reply->status == BH__STORE_UNKNOWN) {
		extend_backoff_(s, now_us);
	}
	else {
		s->backoff_us = 0;
		s->backoff_until_us = 0;
	}
	finish_call_(s, reply, now_us);
}

/* Removes a pending call and passes the reply to its owner, unless the owner cancelled the callback. */
static void finish_call_(BH__Store *s, const BH__StoreReply *reply, uint64_t now_us)
{
	PendingCall_ *p = g_hash_table_lookup(s->pending, &reply->call_id);
	BH__StoreDone done = p->done;
	void *owner = p->owner;

	g_hash_table_remove(s->pending, &reply->call_id);
	if (done)
		done(owner, reply, now_us);
}

/* Starts the back-off, or doubles it up to its maximum, and blocks calls until it ends. */
static void extend_backoff_(BH__Store *s, uint64_t now_us)
{
	s->backoff_us = s->backoff_us ? MIN(s->backoff_us * 2, BACKOFF_MAX_US_) : BACKOFF_FIRST_US_;
	s->backoff_until_us = now_us + s->backoff_us;
}

/* Ends each call whose time-out has passed with BH__STORE_UNKNOWN. */
void bh__store_process_tick(BH__Store *s, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	GArray *timed_out = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	g_hash_table_iter_init(&it, s->pending);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const PendingCall_ *p = value;
		if (now_us >= p->deadline_us)
			g_array_append_val(timed_out, p->call_id);
	}
	for (guint i = 0; i < timed_out->len; i++) {
		BH__StoreReply reply = {.call_id = g_array_index(timed_out, uint64_t, i),
								.status = BH__STORE_UNKNOWN};
		bh__store_process_reply(s, &reply, now_us);
	}
	g_array_unref(timed_out);
}

/* Cancels the callbacks of all pending calls of `owner`. The calls themselves may still take effect in the
 * store. */
void bh__store_cancel_callbacks(BH__Store *s, const void *owner)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->pending);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((const PendingCall_ *)value)->owner == owner)
			((PendingCall_ *)value)->done = NULL;
}

/* Returns true unless the last call that ended got no reply. */
bool bh__store_is_available(const BH__Store *s)
{
	return s->backoff_us == 0;
}
