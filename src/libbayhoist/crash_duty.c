/* SPDX-License-Identifier: BSD-3-Clause */
/* Connects the detection of requests that crash endpoints (crash_watch.c) with the node's requests, messages
 * and endpoints. */
#include "node_internal.h"

#include <stddef.h>
#include <string.h>

static BH__Node *node_from_port_(BH__CrashPort *port);
static void on_send_(BH__CrashPort *port, uint64_t node_id, BH__Message *m);
static bool on_find_endpoint_(BH__CrashPort *port, uint64_t endpoint_id, uint64_t *started_ms);
static void on_probe_(BH__CrashPort *port, uint64_t endpoint_id);
static void on_changed_(BH__CrashPort *port, const BH__QuarantineEntry *entry, bool evaluated);
static void end_quarantined_(BH__Node *n, const BH__Fingerprint *f);

/* Creates the node's crash watch and its port. */
void bh__crashes_init(BH__Node *n)
{
	n->crash_port = (BH__CrashPort){
		.send = on_send_, .find_endpoint = on_find_endpoint_, .probe = on_probe_, .changed = on_changed_};
	n->crashes = bh__crash_watch_new(&n->crash_port, n->members);
}

/* Returns the node that contains a port. */
static BH__Node *node_from_port_(BH__CrashPort *port)
{
	return (BH__Node *)(void *)((char *)port - offsetof(BH__Node, crash_port));
}

static void on_send_(BH__CrashPort *port, uint64_t node_id, BH__Message *m)
{
	bh__node_send(node_from_port_(port), node_id, m);
}

/* The start time is always unknown (0): endpoints of the configuration have permanent ids and do not report
 * when they started. */
static bool on_find_endpoint_(BH__CrashPort *port, uint64_t endpoint_id, uint64_t *started_ms)
{
	const BH__Node *n = node_from_port_(port);
	const BH__Resource *r =
		bh__catalog_find(bh__config_get_catalog(n->config), BH__KIND_ENDPOINT, endpoint_id);

	*started_ms = 0;
	return r && !bh__node_endpoint_is_leaving(n, r);
}

static void on_probe_(BH__CrashPort *port, uint64_t endpoint_id)
{
	BH__Node *n = node_from_port_(port);

	n->ports->endpoint_probe(n->ports, endpoint_id);
}

/* Processes the result of the liveness probe of an endpoint that aborted a request. */
void bh__node_process_endpoint_probe(BH__Node *n, uint64_t endpoint_id, BH__CrashEvidence evidence,
									 uint64_t now_us)
{
	n->now_us = now_us;
	bh__node_event(n, BH__EVENT_ENDPOINT, 0, 0, bh__node_get_endpoint_name(n, endpoint_id),
				   evidence == BH__CRASH_CONFIRMED ? "crashed" : "broke-off", 0);
	bh__crash_watch_process_evidence(n->crashes, endpoint_id, evidence, now_us);
	bh__node_drain_inbox(n);
}

/* Logs an event for a changed entry, and ends the requests with its fingerprint if it is quarantined. */
static void on_changed_(BH__CrashPort *port, const BH__QuarantineEntry *entry, bool evaluated)
{
	BH__Node *n = node_from_port_(port);
	char fingerprint[BH__FINGERPRINT_TEXT_LEN];

	(void)evaluated;
	bh__fingerprint_write(&entry->fingerprint, fingerprint);
	bh__node_event(n, BH__EVENT_QUARANTINE, 0, 0, fingerprint, BH__QuarantineStateString[entry->state],
				   entry->weight / BH__CRASH_WEIGHT);
	if (entry->state == BH__QUARANTINE_HELD)
		end_quarantined_(n, &entry->fingerprint);
}

/* Ends all requests with a fingerprint that has become quarantined, except those whose caller has received
 * part of the answer. */
static void end_quarantined_(BH__Node *n, const BH__Fingerprint *f)
{
	GList *all = g_hash_table_get_values(n->requests);

	for (GList *it = all; it; it = it->next) {
		BH__RequestEntry *e = it->data;
		bool has_answer = e->state == BH__REQUEST_ANSWER && e->answer_chunks > 0;
		if (!has_answer && bh__fingerprint_equal(&e->fingerprint, f))
			bh__crashes_end_held(n, e);
	}
	g_list_free(all);
}

/* Returns the time in us that is left of a request's quarantine; 0: the request may be dispatched. */
uint64_t bh__crashes_get_held_us(const BH__Node *n, const BH__Fingerprint *f)
{
	return bh__quarantine_get_held_us(bh__crash_watch_get_quarantine(n->crashes), f, n->now_us);
}

/* Ends a request with a refusal if it is quarantined. Returns false if it is not. */
bool bh__crashes_end_held(BH__Node *n, BH__RequestEntry *e)
{
	uint64_t held_us = bh__crashes_get_held_us(n, &e->fingerprint);

	if (!held_us)
		return false;
	bh__request_finish(n, e, bh__request_get_failure_verdict(e), BH__REASON_CRASHES_ENDPOINTS,
					   held_us / BH__MS_US, BH__QUARANTINE_REFUSAL_TEXT);
	return true;
}

/* Reports that an endpoint aborted a request. Requests without a fingerprint are ignored. */
void bh__crashes_note_aborted(BH__Node *n, BH__RequestEntry *e, uint64_t endpoint_id)
{
	BH__CrashSubjects s = {.request = e->fingerprint, .service_id = e->model_id};
	BH__AbortedDispatch d = {.endpoint_id = endpoint_id};

	if (bh__fingerprint_is_none(&e->fingerprint))
		return;
	e->was_aborted = true;
	d.subjects = &s;
	bh__crash_watch_note_aborted(n->crashes, &d, n->now_us);
}

/* Reports that a request was served. Requests without a fingerprint are ignored. */
void bh__crashes_note_served(BH__Node *n, const BH__RequestEntry *e)
{
	BH__CrashSubjects s = {.request = e->fingerprint, .service_id = e->model_id};

	if (!bh__fingerprint_is_none(&e->fingerprint))
		bh__crash_watch_note_served(n->crashes, &s, e->was_aborted, n->now_us);
}
