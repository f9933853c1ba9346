/* SPDX-License-Identifier: BSD-3-Clause */
/* Requests that crash endpoints, in the gateway: the library's crash_watch.c decides. Here endpoints are
 * looked at, calls of requests that come to be held are ended, and those that are held are recorded on the
 * platform, for nodes that start. */
#include "crashes.h"

#include "bayhoist/crash_watch.h"
#include "bayhoist/hash.h"
#include "clock.h"
#include "dial.h"
#include "log.h"

/* Entries go to the store together, so that a storm of them costs it one call a second. */
#define RECORD_PERIOD_US BH__SECOND_US
#define TO_RECORD_MAX 256 /* entries that wait for that */

/* An endpoint that is being looked at. */
typedef struct {
	Crashes *crashes;
	uint64_t endpoint_id;
	Dial *dial;
} Look;

struct Crashes {
	BH__CrashPort port; /* first: the watch hands it back */
	Gate *gate;
	BH__CrashWatch *watch;
	GHashTable *looks;  /* set of Look */
	GArray *to_record;  /* BH__QuarantineEntry */
	unsigned recording; /* of those, the first ones, are on their way */
	uint64_t next_record_us;
	struct event *timer;
};

static void on_send_(BH__CrashPort *port, uint64_t node_id, BH__Message *m);
static bool on_find_endpoint_(BH__CrashPort *port, uint64_t endpoint_id, uint64_t *born_ms);
static void on_look_(BH__CrashPort *port, uint64_t endpoint_id);
static void on_dialled_(void *probe, DialEnd end);
static void on_changed_(BH__CrashPort *port, const BH__QuarantineEntry *e, bool judged);
static void log_entry_(const Crashes *c, const char *what, const BH__QuarantineEntry *e);
static void set_timer_(Crashes *c);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static void record_(Crashes *c, uint64_t now_us);
static void on_recorded_(void *crashes, bool recorded);
static struct json_object *describe_entry_(const Crashes *c, const BH__QuarantineEntry *e);

/* Starts to watch. Membership must have been started. */
Crashes *crashes_new(Gate *g)
{
	Crashes *c = g_new0(Crashes, 1);

	c->port = (BH__CrashPort){
		.send = on_send_, .find_endpoint = on_find_endpoint_, .probe = on_look_, .changed = on_changed_};
	c->gate = g;
	c->watch = bh__crash_watch_new(&c->port, cluster_get_mutable_members(g->cluster));
	c->looks = g_hash_table_new(g_direct_hash, g_direct_equal);
	c->to_record = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	c->timer = evtimer_new(g->base, on_timer_, c);
	return c;
}

void crashes_delete(Crashes *c)
{
	GHashTableIter it;
	gpointer probe;

	if (!c)
		return;
	g_hash_table_iter_init(&it, c->looks);
	while (g_hash_table_iter_next(&it, &probe, NULL)) {
		dial_cancel(((Look *)probe)->dial);
		g_free(probe);
	}
	event_free(c->timer);
	g_hash_table_unref(c->looks);
	g_array_unref(c->to_record);
	bh__crash_watch_delete(c->watch);
	g_free(c);
}

/* Returns for how much longer a request is to be refused, in microseconds; 0: it may be sent. */
uint64_t crashes_get_held_us(const Crashes *c, const BH__Fingerprint *f)
{
	return bh__quarantine_get_held_us(bh__crash_watch_get_quarantine(c->watch), f, clock_now_us());
}

/* Returns true if a request has met two crashes: one more may show that it is the cause. */
bool crashes_is_suspected(const Crashes *c, const BH__Fingerprint *f)
{
	return bh__crash_watch_is_suspected(c->watch, f);
}

/* A request is refused because it is held. */
void crashes_note_refusal(Crashes *c)
{
	bh__quarantine_note_refusal(bh__crash_watch_get_quarantine(c->watch));
}

/* An endpoint broke off a request, or (`helped`) is gone that only helped with it. */
void crashes_note_broken(Crashes *c, const char *service, uint64_t endpoint_id, const BH__Fingerprint *f,
						 bool helped)
{
	bh__crash_watch_note_aborted(c->watch, bh__hash_name(service), endpoint_id, f, helped, clock_now_us());
	set_timer_(c);
}

/* A request was served; `was_aborted`: after this node had reported that it was broken off. */
void crashes_note_served(Crashes *c, const char *service, const BH__Fingerprint *f, bool was_aborted)
{
	bh__crash_watch_note_served(c->watch, bh__hash_name(service), f, was_aborted, clock_now_us());
}

/* Takes a message. Returns false if it is not one on crashes alone. */
bool crashes_process_message(Crashes *c, const BH__Message *m, uint64_t now_us)
{
	bool taken = bh__crash_watch_process_message(c->watch, m, now_us);

	if (taken)
		set_timer_(c);
	return taken;
}

static void on_send_(BH__CrashPort *port, uint64_t node_id, BH__Message *m)
{
	cluster_send(((Crashes *)port)->gate->cluster, node_id, m);
}

static bool on_find_endpoint_(BH__CrashPort *port, uint64_t endpoint_id, uint64_t *born_ms)
{
	const Gate *g = ((Crashes *)port)->gate;
	const BH__RegisteredEndpoint *e = bh__registry_find(g->registry, endpoint_id);

	*born_ms = e ? e->entry.born_ms : 0;
	return e && bh__registered_endpoint_is_active(e, clock_now_us());
}

/* Looks whether an endpoint that broke off a request still listens. One that has crashed does not until it is
 * started again, which takes seconds; behind a cut it is silent. */
static void on_look_(BH__CrashPort *port, uint64_t endpoint_id)
{
	Crashes *c = (Crashes *)port;
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, endpoint_id);
	Look *l = g_new0(Look, 1);

	l->crashes = c;
	l->endpoint_id = endpoint_id;
	l->dial = dial_start(c->gate->base, e->entry.address, on_dialled_, l);
	g_hash_table_add(c->looks, l);
}

static void on_dialled_(void *probe, DialEnd end)
{
	static const BH__CrashEvidence Evidence[] = {[DIAL_CONNECTED] = BH__CRASH_DISPROVEN,
												 [DIAL_REFUSED] = BH__CRASH_CONFIRMED,
												 [DIAL_SILENT] = BH__CRASH_UNKNOWN};
	Look *l = probe;
	Crashes *c = l->crashes;
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, l->endpoint_id);
	uint64_t endpoint_id = l->endpoint_id;

	g_hash_table_remove(c->looks, l);
	g_free(l);
	log_event("crash", "endpoint=%s proof=%s", e ? e->entry.id : "gone",
			  BH__CrashEvidenceString[Evidence[end]]);
	bh__crash_watch_process_evidence(c->watch, endpoint_id, Evidence[end], clock_now_us());
	set_timer_(c);
}

/* The registry has changed: endpoints that are there under their old ids may have started since. */
void crashes_follow_registry(Crashes *c, uint64_t now_us)
{
	for (unsigned i = 0; i < bh__registry_get_count(c->gate->registry); i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(c->gate->registry, i);
		bh__crash_watch_process_start(c->watch, e->endpoint_id, e->entry.born_ms, now_us);
	}
	set_timer_(c);
}

static void set_timer_(Crashes *c)
{
	uint64_t due_us = bh__crash_watch_get_due_us(c->watch);
	uint64_t now_us = clock_now_us();
	uint64_t wait_us = due_us > now_us ? due_us - now_us : 0;
	struct timeval tv = {(time_t)(wait_us / BH__SECOND_US), (suseconds_t)(wait_us % BH__SECOND_US)};

	if (due_us != UINT64_MAX)
		evtimer_add(c->timer, &tv);
}

static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	Crashes *c = arg;

	(void)fd;
	(void)what;
	bh__crash_watch_process_tick(c->watch, clock_now_us());
	set_timer_(c);
}

/* A request is suspected, held, or not any more. */
static void on_changed_(BH__CrashPort *port, const BH__QuarantineEntry *e, bool judged)
{
	Crashes *c = (Crashes *)port;

	log_entry_(c, judged ? "judged" : "learnt", e);
	if (judged && e->state != BH__QUARANTINE_SUSPECTED && c->to_record->len < TO_RECORD_MAX)
		g_array_append_val(c->to_record, *e);
	if (e->state == BH__QUARANTINE_HELD)
		calls_process_quarantined(c->gate, &e->fingerprint);
}

static void log_entry_(const Crashes *c, const char *what, const BH__QuarantineEntry *e)
{
	char fingerprint[BH__FINGERPRINT_TEXT_LEN];
	GString *endpoints = g_string_new(NULL);

	bh__fingerprint_write(&e->fingerprint, fingerprint);
	for (unsigned i = 0; i < e->crash_count; i++) {
		const BH__RegisteredEndpoint *r = bh__registry_find(c->gate->registry, e->crash[i]);
		g_string_append_printf(endpoints, "%s%s", i ? "," : "", r ? r->entry.id : "gone");
	}
	log_event("quarantine", "what=%s fingerprint=%s state=%s crashes=%.1f times_held=%u endpoints=%s", what,
			  fingerprint, BH__QuarantineStateString[e->state], (double)e->weight / BH__CRASH_WEIGHT,
			  e->times_held, endpoints->str);
	g_string_free(endpoints, TRUE);
}

/* Has the platform record what came to be held, or is not any more. */
static void record_(Crashes *c, uint64_t now_us)
{
	if (!c->to_record->len || c->recording || now_us < c->next_record_us)
		return;
	c->recording = MIN(c->to_record->len, GATE_RECORDS_MAX);
	c->next_record_us = now_us + RECORD_PERIOD_US;
	c->gate->port->record_quarantine(c->gate, (BH__QuarantineEntry *)(void *)c->to_record->data, c->recording,
									 on_recorded_, c);
}

/* The first entries are on the platform now, or are tried again. */
static void on_recorded_(void *crashes, bool recorded)
{
	Crashes *c = crashes;

	if (recorded)
		g_array_remove_range(c->to_record, 0, c->recording);
	c->recording = 0;
}

/* The platform's store has gone back to a copy: what is held may not be in its record. One node writes it
 * again. */
void crashes_follow_era(Crashes *c)
{
	const BH__Members *m = cluster_get_members(c->gate->cluster);
	GArray *all = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	bh__quarantine_list(bh__crash_watch_get_quarantine(c->watch), true, all);
	for (guint i = 0; i < all->len; i++) {
		const BH__QuarantineEntry *e = &g_array_index(all, BH__QuarantineEntry, i);
		if (e->state == BH__QUARANTINE_HELD && c->to_record->len < TO_RECORD_MAX &&
			bh__members_pick(m, e->fingerprint.low, NULL) == bh__members_get_self(m)->node_id)
			g_array_append_val(c->to_record, *e);
	}
	g_array_unref(all);
}

/* Takes an entry of the platform's record; `since_us` is its age. */
void crashes_learn(Crashes *c, const BH__QuarantineEntry *aged, uint64_t now_us)
{
	bh__crash_watch_merge(c->watch, aged, now_us);
}

/* An operator lets a request go. Returns false if it is neither suspected nor held. */
bool crashes_release(Crashes *c, const BH__Fingerprint *f)
{
	return bh__crash_watch_release(c->watch, f, clock_now_us());
}

void crashes_process_tick(Crashes *c, uint64_t now_us)
{
	bh__crash_watch_process_tick(c->watch, now_us);
	record_(c, now_us);
}

static struct json_object *describe_entry_(const Crashes *c, const BH__QuarantineEntry *e)
{
	struct json_object *o = json_object_new_object();
	struct json_object *endpoints = json_object_new_array();
	char fingerprint[BH__FINGERPRINT_TEXT_LEN];
	uint64_t held_us =
		bh__quarantine_get_held_us(bh__crash_watch_get_quarantine(c->watch), &e->fingerprint, clock_now_us());

	bh__fingerprint_write(&e->fingerprint, fingerprint);
	for (unsigned i = 0; i < e->crash_count; i++) {
		const BH__RegisteredEndpoint *r = bh__registry_find(c->gate->registry, e->crash[i]);
		json_object_array_add(endpoints, json_object_new_string(r ? r->entry.id : "gone"));
	}
	json_object_object_add(o, "fingerprint", json_object_new_string(fingerprint));
	json_object_object_add(o, "state", json_object_new_string(BH__QuarantineStateString[e->state]));
	json_object_object_add(o, "crashes", json_object_new_double((double)e->weight / BH__CRASH_WEIGHT));
	json_object_object_add(o, "times_held", json_object_new_int64(e->times_held));
	json_object_object_add(o, "held_s", json_object_new_int64((int64_t)(held_us / BH__SECOND_US)));
	json_object_object_add(o, "endpoints", endpoints);
	return o;
}

/* Returns what this node knows of requests that crash endpoints, for operators; to free with
 * json_object_put(). */
struct json_object *crashes_describe(const Crashes *c)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	GArray *all = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	bh__quarantine_list(bh__crash_watch_get_quarantine(c->watch), false, all);
	for (guint i = 0; i < all->len; i++)
		json_object_array_add(list, describe_entry_(c, &g_array_index(all, BH__QuarantineEntry, i)));
	g_array_unref(all);
	json_object_object_add(root, "requests", list);
	return root;
}

/* Writes counts of requests and crashes, as metrics. */
void crashes_write_status(const Crashes *c, struct evbuffer *out)
{
	const BH__QuarantineCounters *k = bh__quarantine_get_counters(bh__crash_watch_get_quarantine(c->watch));
	unsigned count[BH__QUARANTINE_STATE_COUNT] = {0};
	GArray *all = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	bh__quarantine_list(bh__crash_watch_get_quarantine(c->watch), false, all);
	for (guint i = 0; i < all->len; i++)
		count[g_array_index(all, BH__QuarantineEntry, i).state]++;
	g_array_unref(all);
	for (int i = 0; i < BH__QUARANTINE_STATE_COUNT; i++)
		evbuffer_add_printf(out, "bayhoist_quarantine{state=\"%s\"} %u\n", BH__QuarantineStateString[i],
							count[i]);
	evbuffer_add_printf(out,
						"bayhoist_quarantine_held_total %" G_GUINT64_FORMAT "\n"
						"bayhoist_quarantine_cleared_total %" G_GUINT64_FORMAT "\n"
						"bayhoist_quarantine_refusals_total %" G_GUINT64_FORMAT "\n"
						"bayhoist_crashes_judged_total %" G_GUINT64_FORMAT "\n",
						k->held, k->cleared, k->refusals, bh__crash_watch_get_evaluated(c->watch));
}
