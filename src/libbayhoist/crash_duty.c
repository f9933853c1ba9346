/* SPDX-License-Identifier: BSD-3-Clause */
/* A node's part in knowing requests that crash endpoints: crash_watch.c decides, here it is bound to the
 * node's requests, messages and endpoints. */
#include "node_internal.h"

#include <stddef.h>
#include <string.h>

static BH__Node *of_port_(BH__CrashPort *port);
static void on_send_(BH__CrashPort *port, uint64_t node_id, BH__Message *m);
static bool on_find_endpoint_(BH__CrashPort *port, uint64_t endpoint_id, uint64_t *born_ms);
static void on_look_(BH__CrashPort *port, uint64_t endpoint_id);
static void on_changed_(BH__CrashPort *port, const BH__QuarantineEntry *entry, bool judged);
static void end_held_(BH__Node *n, const BH__Fingerprint *f);

void bh__crashes_init(BH__Node *n)
{
	n->crash_port = (BH__CrashPort){
		.send = on_send_, .find_endpoint = on_find_endpoint_, .look = on_look_, .changed = on_changed_};
	n->crashes = bh__crash_watch_new(&n->crash_port, n->members);
}

static BH__Node *of_port_(BH__CrashPort *port)
{
	return (BH__Node *)(void *)((char *)port - offsetof(BH__Node, crash_port));
}

static void on_send_(BH__CrashPort *port, uint64_t node_id, BH__Message *m)
{
	bh__node_send(of_port_(port), node_id, m);
}

/* Endpoints of the configuration have ids of their own for good, and do not say when they started. */
static bool on_find_endpoint_(BH__CrashPort *port, uint64_t endpoint_id, uint64_t *born_ms)
{
	const BH__Node *n = of_port_(port);
	const BH__Resource *r =
		bh__catalog_find(bh__config_get_catalog(n->config), BH__KIND_ENDPOINT, endpoint_id);

	*born_ms = 0;
	return r && !bh__node_endpoint_is_leaving(n, r);
}

static void on_look_(BH__CrashPort *port, uint64_t endpoint_id)
{
	BH__Node *n = of_port_(port);

	n->ports->endpoint_probe(n->ports, endpoint_id);
}

/* An endpoint that broke off a request was looked at. */
void bh__node_process_endpoint_probe(BH__Node *n, uint64_t endpoint_id, BH__CrashProof proof, uint64_t now_us)
{
	n->now_us = now_us;
	bh__node_event(n, BH__EVENT_ENDPOINT, 0, 0, bh__node_get_endpoint_name(n, endpoint_id),
				   proof == BH__CRASH_PROVEN ? "crashed" : "broke-off", 0);
	bh__crash_watch_process_proof(n->crashes, endpoint_id, proof, now_us);
	bh__node_drain_inbox(n);
}

static void on_changed_(BH__CrashPort *port, const BH__QuarantineEntry *entry, bool judged)
{
	BH__Node *n = of_port_(port);
	char fingerprint[BH__FINGERPRINT_TEXT_LEN];

	(void)judged;
	bh__fingerprint_write(&entry->fingerprint, fingerprint);
	bh__node_event(n, BH__EVENT_QUARANTINE, 0, 0, fingerprint, BH__QuarantineStateString[entry->state],
				   entry->weight / BH__CRASH_WEIGHT);
	if (entry->state == BH__QUARANTINE_HELD)
		end_held_(n, &entry->fingerprint);
}

/* A request is held from now on: what is on its way of it ends, unless its caller has a part of the answer.
 */
static void end_held_(BH__Node *n, const BH__Fingerprint *f)
{
	GList *all = g_hash_table_get_values(n->requests);

	for (GList *it = all; it; it = it->next) {
		BH__RequestEntry *e = it->data;
		bool answers = e->state == BH__REQUEST_ANSWER && e->answer_chunks > 0;
		if (!answers && bh__fingerprint_equal(&e->fingerprint, f))
			bh__crashes_end_held(n, e);
	}
	g_list_free(all);
}

/* Returns for how much longer a request is held; 0: it may be sent. */
uint64_t bh__crashes_get_held_us(const BH__Node *n, const BH__Fingerprint *f)
{
	return bh__quarantine_get_held_us(bh__crash_watch_get_quarantine(n->crashes), f, n->now_us);
}

/* Ends a request that is held because it crashes endpoints. Returns false if it is not. */
bool bh__crashes_end_held(BH__Node *n, BH__RequestEntry *e)
{
	uint64_t held_us = bh__crashes_get_held_us(n, &e->fingerprint);

	if (!held_us)
		return false;
	bh__request_finish(n, e, bh__request_get_failure_verdict(e), BH__REASON_CRASHES_ENDPOINTS,
					   held_us / BH__MS_US, BH__QUARANTINE_REFUSAL_TEXT);
	return true;
}

/* An endpoint broke off a request. */
void bh__crashes_note_broken(BH__Node *n, BH__RequestEntry *e, uint64_t endpoint_id)
{
	if (bh__fingerprint_is_none(&e->fingerprint))
		return;
	e->was_broken = true;
	bh__crash_watch_note_broken(n->crashes, e->model_id, endpoint_id, &e->fingerprint, false, n->now_us);
}

/* A request was served. */
void bh__crashes_note_served(BH__Node *n, const BH__RequestEntry *e)
{
	if (!bh__fingerprint_is_none(&e->fingerprint))
		bh__crash_watch_note_served(n->crashes, e->model_id, &e->fingerprint, e->was_broken, n->now_us);
}
