/* SPDX-License-Identifier: BSD-3-Clause */
/* The gateway's side of crash detection; the library's crash_watch.c makes the decisions. This file probes
 * endpoints for liveness, ends the calls of requests that become quarantined, and writes the quarantined
 * requests to the platform's store, from which starting nodes load them. */
#include "crashes.h"

#include "bayhoist/hash.h"
#include "clock.h"
#include "link_probe.h"
#include "links.h"
#include "log.h"

/* Entries are written to the store in batches, so that a burst of them costs at most one store call per
 * second. */
#define WRITE_PERIOD_US BH__SECOND_US
#define UNRECORDED_MAX 256 /* maximum number of entries that wait to be written; further ones are dropped */

struct Crashes {
	BH__CrashPort port; /* must be the first member: callbacks receive it and cast it to Crashes */
	Gate *gate;
	BH__CrashWatch *watch;
	GHashTable *probes;       /* LinkProbe by endpoint id: liveness probes in progress */
	GArray *unrecorded;       /* BH__QuarantineEntry items to write to the store, oldest first */
	unsigned in_flight_count; /* number of leading items being written now; 0: no write in progress */
	uint64_t next_write_us;   /* earliest time of the next write */
	struct event *timer;      /* fires when the crash watch is due */
};

static void on_send_(BH__CrashPort *port, uint64_t node_id, BH__Message *m);
static bool on_find_endpoint_(BH__CrashPort *port, uint64_t endpoint_id, uint64_t *started_ms);
static void on_probe_(BH__CrashPort *port, uint64_t endpoint_id);
static void on_probed_(void *crashes, uint64_t endpoint_id, LinkProbeResult own, LinkProbeResult peer);
static void on_changed_(BH__CrashPort *port, const BH__QuarantineEntry *e, bool evaluated);
static void log_entry_(const Crashes *c, const char *what, const BH__QuarantineEntry *e);
static void set_timer_(Crashes *c);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static void write_records_(Crashes *c, uint64_t now_us);
static void on_records_written_(void *crashes, bool written);

/* Starts crash detection. Membership must have been started before. */
Crashes *crashes_new(Gate *g)
{
	Crashes *c = g_new0(Crashes, 1);

	c->port = (BH__CrashPort){
		.send = on_send_, .find_endpoint = on_find_endpoint_, .probe = on_probe_, .changed = on_changed_};
	c->gate = g;
	c->watch = bh__crash_watch_new(&c->port, g->members);
	c->probes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	c->unrecorded = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	c->timer = evtimer_new(g->base, on_timer_, c);
	return c;
}

/* Cancels the probes in progress and frees `c`, which may be NULL. */
void crashes_delete(Crashes *c)
{
	GHashTableIter it;
	gpointer probe;

	if (!c)
		return;
	g_hash_table_iter_init(&it, c->probes);
	while (g_hash_table_iter_next(&it, NULL, &probe))
		link_probe_delete(probe);
	event_free(c->timer);
	g_hash_table_unref(c->probes);
	g_array_unref(c->unrecorded);
	bh__crash_watch_delete(c->watch);
	g_free(c);
}

/* Returns true if a request must not be sent because a subject of it is quarantined. */
bool crashes_is_quarantined(const Crashes *c, const BH__CrashSubjects *s)
{
	return bh__quarantine_find_refusal(bh__crash_watch_get_quarantine(c->watch), s, clock_now_us()) != NULL;
}

/* Returns for how many more microseconds a request must not be sent because a subject of it is quarantined,
 * and counts and logs the refusal; 0: it may be sent. */
uint64_t crashes_refuse(Crashes *c, const BH__CrashSubjects *s, const char *request_id)
{
	BH__Quarantine *q = bh__crash_watch_get_quarantine(c->watch);
	uint64_t now_us = clock_now_us();
	const BH__QuarantineEntry *e = bh__quarantine_find_refusal(q, s, now_us);
	char fingerprint[BH__FINGERPRINT_TEXT_LEN];
	uint64_t held_us;
	char *endpoints;

	if (!e)
		return 0;
	held_us = bh__quarantine_get_held_us(q, &e->fingerprint, now_us);
	endpoints = crashes_list_endpoints(c->gate, e);
	bh__quarantine_note_refusal(q, e->kind);
	bh__fingerprint_write(&e->fingerprint, fingerprint);
	log_event("refuse",
			  "request=%s cause=held kind=%s fingerprint=%s held_ms=%" G_GUINT64_FORMAT " endpoints=%s",
			  request_id, BH__SubjectKindString[e->kind], fingerprint, held_us / BH__MS_US, endpoints);
	g_free(endpoints);
	return held_us;
}

/* Returns true if two crashes are attributed to a subject of a request, so that one more may confirm it as
 * their cause. */
bool crashes_is_suspected(const Crashes *c, const BH__CrashSubjects *s)
{
	return bh__crash_watch_is_suspected(c->watch, s);
}

/* Reports that an endpoint aborted a request, or that one has gone which was only a helper for it. Returns
 * true if the request should not be sent again before the possible crash has been evaluated. */
bool crashes_note_aborted(Crashes *c, const BH__AbortedDispatch *d)
{
	bool should_wait = bh__crash_watch_note_aborted(c->watch, d, clock_now_us());

	set_timer_(c);
	return should_wait;
}

/* Notes that an endpoint has begun to answer a request. */
void crashes_note_begun(Crashes *c, const BH__CrashSubjects *s)
{
	bh__crash_watch_note_begun(c->watch, s, clock_now_us());
}

/* Notes that a request was served. `was_aborted` means that this node has reported an aborted dispatch of it
 * before. */
void crashes_note_served(Crashes *c, const BH__CrashSubjects *s, bool was_aborted)
{
	bh__crash_watch_note_served(c->watch, s, was_aborted, clock_now_us());
}

/* Tells a node that has become known what this node has decided lately. `c` may be NULL, before it is
 * started. */
void crashes_notify_node(Crashes *c, uint64_t node_id)
{
	if (c)
		bh__crash_watch_process_member(c->watch, node_id, clock_now_us());
}

/* Processes a message from another node. Returns false if the message does not belong to crash detection
 * alone. */
bool crashes_process_message(Crashes *c, const BH__Message *m, uint64_t now_us)
{
	bool taken = bh__crash_watch_process_message(c->watch, m, now_us);

	if (taken)
		set_timer_(c);
	return taken;
}

/* Sends a message of the crash watch to a node. */
static void on_send_(BH__CrashPort *port, uint64_t node_id, BH__Message *m)
{
	cluster_send(((Crashes *)port)->gate->cluster, node_id, m);
}

/* Returns true if the endpoint is registered and is not about to leave. Stores its start time in
 * `started_ms`; 0 if it is not registered. */
static bool on_find_endpoint_(BH__CrashPort *port, uint64_t endpoint_id, uint64_t *started_ms)
{
	const Gate *g = ((Crashes *)port)->gate;
	const BH__RegisteredEndpoint *e = bh__registry_find(g->registry, endpoint_id);

	*started_ms = e ? e->entry.born_ms : 0;
	return e && bh__registered_endpoint_is_active(e, clock_now_us());
}

/* Probes whether an endpoint that aborted a request still listens. A crashed endpoint refuses connections
 * until it is restarted, which takes seconds; an endpoint behind a network partition does not answer. A peer
 * probes it too, since this node may have lost its own links. */
static void on_probe_(BH__CrashPort *port, uint64_t endpoint_id)
{
	Crashes *c = (Crashes *)port;
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, endpoint_id);

	if (!g_hash_table_contains(c->probes, &endpoint_id))
		g_hash_table_insert(c->probes, g_memdup2(&endpoint_id, sizeof endpoint_id),
							link_probe_new(c->gate, e->endpoint_id, e->entry.address, true, on_probed_, c));
}

/* Passes the result of a probe to the crash watch as evidence. */
static void on_probed_(void *crashes, uint64_t endpoint_id, LinkProbeResult own, LinkProbeResult peer)
{
	Crashes *c = crashes;
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, endpoint_id);
	BH__CrashEvidence evidence = link_probe_weigh(c->gate, own, peer);

	g_hash_table_remove(c->probes, &endpoint_id);
	log_event("crash", "endpoint=%s proof=%s", e ? e->entry.id : "gone", BH__CrashEvidenceString[evidence]);
	bh__crash_watch_process_evidence(c->watch, endpoint_id, evidence, clock_now_us());
	set_timer_(c);
}

/* Handles a change of the registry: endpoints that keep their ids may have been restarted. */
void crashes_apply_registry(Crashes *c, uint64_t now_us)
{
	for (unsigned i = 0; i < bh__registry_get_count(c->gate->registry); i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(c->gate->registry, i);
		bh__crash_watch_process_start(c->watch, e->endpoint_id, e->entry.born_ms, now_us);
	}
	set_timer_(c);
}

/* Sets the timer to the next time at which the crash watch is due, if there is one. */
static void set_timer_(Crashes *c)
{
	uint64_t due_us = bh__crash_watch_get_due_us(c->watch);
	uint64_t now_us = clock_now_us();
	uint64_t wait_us = due_us > now_us ? due_us - now_us : 0;
	struct timeval tv = {(time_t)(wait_us / BH__SECOND_US), (suseconds_t)(wait_us % BH__SECOND_US)};

	if (due_us != UINT64_MAX)
		evtimer_add(c->timer, &tv);
}

/* Runs the crash watch when it is due. */
static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	Crashes *c = arg;

	(void)fd;
	(void)what;
	bh__crash_watch_process_tick(c->watch, clock_now_us());
	set_timer_(c);
}

/* Handles a change of the quarantine state of a subject. `evaluated` tells whether this node made the
 * decision rather than received it. */
static void on_changed_(BH__CrashPort *port, const BH__QuarantineEntry *e, bool evaluated)
{
	Crashes *c = (Crashes *)port;

	log_entry_(c, evaluated ? "judged" : "learnt", e);
	if (evaluated && e->state != BH__QUARANTINE_SUSPECTED && c->unrecorded->len < UNRECORDED_MAX)
		g_array_append_val(c->unrecorded, *e);
	if (e->state == BH__QUARANTINE_HELD)
		calls_process_quarantined(c->gate, &e->fingerprint);
}

/* Logs a change of a quarantine entry with the endpoints that crashed. */
static void log_entry_(const Crashes *c, const char *what, const BH__QuarantineEntry *e)
{
	char fingerprint[BH__FINGERPRINT_TEXT_LEN];
	char *endpoints = crashes_list_endpoints(c->gate, e);

	bh__fingerprint_write(&e->fingerprint, fingerprint);
	log_event("quarantine",
			  "what=%s kind=%s fingerprint=%s state=%s crashes=%.1f times_held=%u tied=%u endpoints=%s", what,
			  BH__SubjectKindString[e->kind], fingerprint, BH__QuarantineStateString[e->state],
			  (double)e->weight / BH__CRASH_WEIGHT, e->times_held, e->tie_size, endpoints);
	g_free(endpoints);
}

/* Returns the ids of the endpoints that crashed under a subject, separated by commas; the caller frees it
 * with g_free(). */
char *crashes_list_endpoints(const Gate *g, const BH__QuarantineEntry *e)
{
	GString *endpoints = g_string_new(NULL);

	for (unsigned i = 0; i < e->crash_count; i++) {
		const BH__RegisteredEndpoint *r = bh__registry_find(g->registry, e->crash[i]);
		g_string_append_printf(endpoints, "%s%s", i ? "," : "", r ? r->entry.id : "gone");
	}
	return g_string_free(endpoints, FALSE);
}

const BH__CrashWatch *crashes_get_watch(const Crashes *c)
{
	return c->watch;
}

/* Starts to write waiting entries to the store, unless a write is in progress or the last one began less than
 * WRITE_PERIOD_US ago. */
static void write_records_(Crashes *c, uint64_t now_us)
{
	if (!c->unrecorded->len || c->in_flight_count || now_us < c->next_write_us)
		return;
	c->in_flight_count = MIN(c->unrecorded->len, GATE_RECORDS_MAX);
	c->next_write_us = now_us + WRITE_PERIOD_US;
	c->gate->port->record_quarantine(c->gate, (BH__QuarantineEntry *)(void *)c->unrecorded->data,
									 c->in_flight_count, on_records_written_, c);
}

/* Removes the entries that were written; after a failure the next write tries them again. */
static void on_records_written_(void *crashes, bool written)
{
	Crashes *c = crashes;

	if (written)
		g_array_remove_range(c->unrecorded, 0, c->in_flight_count);
	c->in_flight_count = 0;
}

/* Handles a restore of the platform's store from a backup, which may lack entries of quarantined requests.
 * One node, chosen by fingerprint, writes each entry again. */
void crashes_process_restore(Crashes *c)
{
	const BH__Members *m = c->gate->members;
	GArray *all = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	bh__quarantine_list(bh__crash_watch_get_quarantine(c->watch), true, all);
	for (guint i = 0; i < all->len; i++) {
		const BH__QuarantineEntry *e = &g_array_index(all, BH__QuarantineEntry, i);
		if (e->state == BH__QUARANTINE_HELD && c->unrecorded->len < UNRECORDED_MAX &&
			bh__members_pick(m, e->fingerprint.low, NULL) == bh__members_get_self(m)->node_id)
			g_array_append_val(c->unrecorded, *e);
	}
	g_array_unref(all);
}

/* Merges an entry that was loaded from the platform's store; its `since_us` is its age. */
void crashes_merge_entry(Crashes *c, const BH__QuarantineEntry *aged, uint64_t now_us)
{
	bh__crash_watch_merge(c->watch, aged, now_us);
}

/* Releases a subject on behalf of an operator. Returns false if it is neither suspected nor quarantined. */
bool crashes_release(Crashes *c, const BH__Fingerprint *f)
{
	return bh__crash_watch_release(c->watch, f, clock_now_us());
}

/* Runs the periodic work of the crash watch and writes waiting entries to the store. */
void crashes_process_tick(Crashes *c, uint64_t now_us)
{
	bh__crash_watch_process_tick(c->watch, now_us);
	write_records_(c, now_us);
}
