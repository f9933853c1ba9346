/* SPDX-License-Identifier: BSD-3-Clause */
/* Requests that crash endpoints, among the nodes. A node whose sending broke off reports that to the node
 * which judges the crashes of the service, the one that would schedule it. That node looks whether the
 * endpoint still listens, gathers who was under way there, and tells all nodes of requests that are suspected
 * of a second crash or are held. Probes among nodes carry a hash of these entries, so that one which has
 * missed something is told; those that are held are also recorded on the platform, for nodes that start.
 * While no endpoint breaks off a request this costs no message. */
#include "crashes.h"

#include <string.h>
#include "bayhoist/crash_reports.h"
#include "bayhoist/hash.h"
#include "clock.h"
#include "dial.h"
#include "log.h"

#define REPORT_KEPT_US (2 * BH__SECOND_US) /* and told again if another node comes to judge meanwhile */
#define REPORTS_MAX 1024
#define TELL_PERIOD_US (500 * BH__MS_US) /* between times that one node is told all entries */
/* Entries go to the store together, so that a storm of them costs it one call a second. */
#define RECORD_PERIOD_US BH__SECOND_US
#define TO_RECORD_MAX 256 /* entries that wait for that */

/* A report that this node has made. */
typedef struct {
	uint64_t service_id;
	uint64_t at_us;
	uint64_t judge; /* node that was told */
	BH__Message message;
} Report;

/* An endpoint that is being looked at. */
typedef struct {
	Crashes *crashes;
	uint64_t endpoint_id;
	Dial *dial;
} Look;

struct Crashes {
	Gate *gate;
	BH__Quarantine *quarantine;
	BH__CrashReports *reports; /* that this node gathers */
	GArray *sent;              /* Report */
	GHashTable *looks;         /* set of Look */
	GHashTable *told_us;       /* by node id: when it was last told all entries */
	GArray *to_record;         /* BH__QuarantineEntry */
	unsigned recording;        /* of those, the first ones, are on their way */
	uint64_t next_record_us;
	uint64_t judged; /* crashes that were proven */
	struct event *timer;
};

static uint64_t judge_(const Crashes *c, uint64_t service_id);
static void send_report_(Crashes *c, Report *r);
static void take_report_(Crashes *c, const BH__Message *m, uint64_t now_us);
static void look_at_(Crashes *c, uint64_t endpoint_id);
static void on_dialled_(void *look, DialEnd end);
static void note_proof_(Crashes *c, uint64_t endpoint_id, BH__CrashProof proof);
static void judge_due_(Crashes *c, uint64_t now_us);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static void take_changes_(Crashes *c, const GArray *changed, bool tell, uint64_t now_us);
static void log_entry_(const Crashes *c, const char *what, const BH__QuarantineEntry *e);
static void note_for_record_(Crashes *c, const BH__QuarantineEntry *e);
static void record_(Crashes *c, uint64_t now_us);
static void on_recorded_(void *crashes, bool recorded);
static void tell_(Crashes *c, uint64_t node_id, const GArray *entries, uint64_t now_us);
static void follow_hash_(Crashes *c);
static struct json_object *describe_entry_(const Crashes *c, const BH__QuarantineEntry *e);

Crashes *crashes_new(Gate *g)
{
	Crashes *c = g_new0(Crashes, 1);

	c->gate = g;
	c->quarantine = bh__quarantine_new();
	c->reports = bh__crash_reports_new();
	c->sent = g_array_new(FALSE, FALSE, sizeof(Report));
	c->looks = g_hash_table_new(g_direct_hash, g_direct_equal);
	c->told_us = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	c->to_record = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	c->timer = evtimer_new(g->base, on_timer_, c);
	return c;
}

void crashes_delete(Crashes *c)
{
	GHashTableIter it;
	gpointer look;

	if (!c)
		return;
	g_hash_table_iter_init(&it, c->looks);
	while (g_hash_table_iter_next(&it, &look, NULL)) {
		dial_cancel(((Look *)look)->dial);
		g_free(look);
	}
	event_free(c->timer);
	g_hash_table_unref(c->looks);
	g_hash_table_unref(c->told_us);
	g_array_unref(c->to_record);
	g_array_unref(c->sent);
	bh__crash_reports_delete(c->reports);
	bh__quarantine_delete(c->quarantine);
	g_free(c);
}

/* Returns for how much longer a request is to be refused, in microseconds; 0: it may be sent. */
uint64_t crashes_get_held_us(Crashes *c, const BH__Fingerprint *f)
{
	return bh__quarantine_get_held_us(c->quarantine, f, clock_now_us());
}

/* Returns true if a request has met two crashes: one more may show that it is the cause. */
bool crashes_is_suspected(const Crashes *c, const BH__Fingerprint *f)
{
	const BH__QuarantineEntry *e = bh__quarantine_find(c->quarantine, f);

	return e && e->weight >= BH__TOLD_WEIGHT &&
		   (e->state == BH__QUARANTINE_SUSPECTED || e->state == BH__QUARANTINE_PROBATION);
}

/* A request is refused because it is held. */
void crashes_note_refusal(Crashes *c)
{
	bh__quarantine_note_refusal(c->quarantine);
}

/* Returns the node that judges the crashes of a service's endpoints. */
static uint64_t judge_(const Crashes *c, uint64_t service_id)
{
	const BH__Members *m = cluster_get_members(c->gate->cluster);
	uint64_t node = bh__members_pick(m, service_id, NULL);

	return node ? node : bh__members_get_self(m)->node_id;
}

/* An endpoint of `service` broke off a request: it may have crashed, and the request be the cause. `helped`:
 * the endpoint only helped with it, which weighs half, since each such request has many helpers. */
void crashes_note_broken(Crashes *c, const char *service, uint64_t endpoint_id, const BH__Fingerprint *f,
						 bool helped)
{
	Report r = {.service_id = bh__hash_name(service), .at_us = clock_now_us()};

	r.message.type = BH__MESSAGE_SUSPECT;
	r.message.as.suspect.event = BH__QUARANTINE_CRASH;
	r.message.as.suspect.endpoint_id = endpoint_id;
	r.message.as.suspect.suspect.fingerprint = *f;
	r.message.as.suspect.suspect.weight = helped ? BH__CRASH_WEIGHT / 2 : BH__CRASH_WEIGHT;
	send_report_(c, &r);
	if (c->sent->len < REPORTS_MAX)
		g_array_append_val(c->sent, r);
}

/* A request was served. If it was suspected (`was_broken`: by a report of this node), it is not any more. */
void crashes_note_served(Crashes *c, const char *service, const BH__Fingerprint *f, bool was_broken)
{
	const BH__QuarantineEntry *e = bh__quarantine_find(c->quarantine, f);
	Report r = {.service_id = bh__hash_name(service), .at_us = clock_now_us()};

	if (!was_broken && (!e || e->state == BH__QUARANTINE_CLEARED))
		return;
	r.message.type = BH__MESSAGE_SUSPECT;
	r.message.as.suspect.event = BH__QUARANTINE_SERVE;
	r.message.as.suspect.suspect.fingerprint = *f;
	send_report_(c, &r);
}

static void send_report_(Crashes *c, Report *r)
{
	r->judge = judge_(c, r->service_id);
	if (r->judge == bh__members_get_self(cluster_get_members(c->gate->cluster))->node_id)
		take_report_(c, &r->message, clock_now_us());
	else
		cluster_send(c->gate->cluster, r->judge, &r->message);
}

/* A node reports what happened to a request. */
static void take_report_(Crashes *c, const BH__Message *m, uint64_t now_us)
{
	const BH__CrashSuspect *suspect = &m->as.suspect.suspect;
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, m->as.suspect.endpoint_id);
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	if (m->as.suspect.event != BH__QUARANTINE_CRASH) {
		if (bh__quarantine_process_event(c->quarantine, &suspect->fingerprint, m->as.suspect.event, now_us))
			g_array_append_val(changed, *bh__quarantine_find(c->quarantine, &suspect->fingerprint));
		take_changes_(c, changed, true, now_us);
	}
	else if (e &&
			 bh__registered_endpoint_is_usable(e, now_us)) { /* one that leaves breaks off what it must */
		if (bh__crash_reports_process(c->reports, e->endpoint_id, e->entry.born_ms, suspect, now_us))
			look_at_(c, e->endpoint_id);
		judge_due_(c, now_us);
	}
	g_array_unref(changed);
}

/* Looks whether an endpoint that broke off a request still listens. One that has crashed does not until it is
 * started again, which takes seconds; behind a cut it is silent. */
static void look_at_(Crashes *c, uint64_t endpoint_id)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, endpoint_id);
	Look *l = g_new0(Look, 1);

	l->crashes = c;
	l->endpoint_id = endpoint_id;
	l->dial = dial_start(c->gate->base, e->entry.address, on_dialled_, l);
	g_hash_table_add(c->looks, l);
}

static void on_dialled_(void *look, DialEnd end)
{
	static const BH__CrashProof Proofs[] = {[DIAL_CONNECTED] = BH__CRASH_DENIED,
											[DIAL_REFUSED] = BH__CRASH_PROVEN,
											[DIAL_SILENT] = BH__CRASH_UNKNOWN};
	Look *l = look;
	Crashes *c = l->crashes;
	uint64_t endpoint_id = l->endpoint_id;

	g_hash_table_remove(c->looks, l);
	g_free(l);
	note_proof_(c, endpoint_id, Proofs[end]);
}

static void note_proof_(Crashes *c, uint64_t endpoint_id, BH__CrashProof proof)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, endpoint_id);

	log_event("crash", "endpoint=%s proof=%s", e ? e->entry.id : "gone", BH__CrashProofString[proof]);
	bh__crash_reports_process_proof(c->reports, endpoint_id, proof);
	judge_due_(c, clock_now_us());
}

/* The registry has changed: endpoints that are there under their old ids may have started since. */
void crashes_follow_registry(Crashes *c, uint64_t now_us)
{
	for (unsigned i = 0; i < bh__registry_get_count(c->gate->registry); i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(c->gate->registry, i);
		bh__crash_reports_process_start(c->reports, e->endpoint_id, e->entry.born_ms);
	}
	judge_due_(c, now_us);
}

/* Judges the crashes that are due, and sets the timer for the next. */
static void judge_due_(Crashes *c, uint64_t now_us)
{
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	uint64_t due_us;

	if (bh__crash_reports_judge(c->reports, c->quarantine, changed, now_us))
		c->judged++;
	take_changes_(c, changed, true, now_us);
	g_array_unref(changed);
	due_us = bh__crash_reports_get_due_us(c->reports);
	if (due_us != UINT64_MAX) {
		uint64_t wait_us = due_us > now_us ? due_us - now_us : 0;
		struct timeval tv = {(time_t)(wait_us / BH__SECOND_US), (suseconds_t)(wait_us % BH__SECOND_US)};
		evtimer_add(c->timer, &tv);
	}
}

static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	judge_due_(arg, clock_now_us());
}

/* Entries have changed: the log, the calls of this node, and with `tell` the other nodes hear of it. */
static void take_changes_(Crashes *c, const GArray *changed, bool tell, uint64_t now_us)
{
	GArray *told = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	for (guint i = 0; i < changed->len; i++) {
		const BH__QuarantineEntry *e = &g_array_index(changed, BH__QuarantineEntry, i);
		if (e->weight < BH__TOLD_WEIGHT)
			continue;
		log_entry_(c, tell ? "judged" : "learnt", e);
		g_array_append_val(told, *e);
		if (tell)
			note_for_record_(c, e);
		if (e->state == BH__QUARANTINE_HELD)
			calls_process_held(c->gate, &e->fingerprint);
	}
	if (tell && told->len)
		for (unsigned i = 1; i < bh__members_get_count(cluster_get_members(c->gate->cluster)); i++) {
			const BH__MemberInfo *info = bh__members_get(cluster_get_members(c->gate->cluster), i);
			if (info->state != BH__MEMBER_DEAD)
				tell_(c, info->node_id, told, now_us);
		}
	follow_hash_(c);
	g_array_unref(told);
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

/* Keeps an entry that came to be held, or is not any more, until the platform's record follows. */
static void note_for_record_(Crashes *c, const BH__QuarantineEntry *e)
{
	if (e->state != BH__QUARANTINE_SUSPECTED && c->to_record->len < TO_RECORD_MAX)
		g_array_append_val(c->to_record, *e);
}

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

/* Tells a node of entries. */
static void tell_(Crashes *c, uint64_t node_id, const GArray *entries, uint64_t now_us)
{
	BH__Message m = {.type = BH__MESSAGE_QUARANTINE};
	GArray *aged = g_array_sized_new(FALSE, FALSE, sizeof(BH__QuarantineEntry), entries->len);

	for (guint i = 0; i < entries->len; i++) {
		BH__QuarantineEntry e = g_array_index(entries, BH__QuarantineEntry, i);
		e.since_us = now_us - e.since_us;
		g_array_append_val(aged, e);
	}
	m.as.quarantine.count = aged->len;
	m.as.quarantine.entry = (BH__QuarantineEntry *)(void *)aged->data;
	cluster_send(c->gate->cluster, node_id, &m);
	g_array_unref(aged);
}

/* The probes carry what this node knows now. */
static void follow_hash_(Crashes *c)
{
	cluster_set_quarantine(c->gate->cluster, bh__quarantine_get_hash(c->quarantine));
}

/* Another node's probe shows what it knows: if that is not the same, it is told all that this node does. */
void crashes_compare(Crashes *c, uint64_t node_id, uint64_t hash, uint64_t now_us)
{
	uint64_t *told_us = g_hash_table_lookup(c->told_us, &node_id);
	GArray *entries;

	if (hash == bh__quarantine_get_hash(c->quarantine) || (told_us && now_us < *told_us + TELL_PERIOD_US))
		return;
	g_hash_table_replace(c->told_us, g_memdup2(&node_id, sizeof node_id), g_memdup2(&now_us, sizeof now_us));
	entries = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	bh__quarantine_list(c->quarantine, true, entries);
	if (entries->len)
		tell_(c, node_id, entries, now_us);
	g_array_unref(entries);
}

/* Takes an entry that another node or the platform's record tells; `since_us` is its age. */
void crashes_learn(Crashes *c, const BH__QuarantineEntry *aged, uint64_t now_us)
{
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	BH__QuarantineEntry e = *aged;

	e.since_us = now_us - aged->since_us;
	if (bh__quarantine_learn(c->quarantine, &e, now_us))
		g_array_append_val(changed, e);
	take_changes_(c, changed, false, now_us);
	g_array_unref(changed);
}

void crashes_process_message(Crashes *c, const BH__Message *m, uint64_t now_us)
{
	if (m->type == BH__MESSAGE_SUSPECT)
		take_report_(c, m, now_us);
	for (uint32_t i = 0; m->type == BH__MESSAGE_QUARANTINE && i < m->as.quarantine.count; i++)
		crashes_learn(c, &m->as.quarantine.entry[i], now_us);
}

/* An operator lets a request go. Returns false if it is neither suspected nor held. */
bool crashes_release(Crashes *c, const BH__Fingerprint *f)
{
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	uint64_t now_us = clock_now_us();
	bool released = bh__quarantine_process_event(c->quarantine, f, BH__QUARANTINE_RELEASE, now_us);

	if (released)
		g_array_append_val(changed, *bh__quarantine_find(c->quarantine, f));
	take_changes_(c, changed, true, now_us);
	g_array_unref(changed);
	return released;
}

/* Tells reports again to a node that judges since, and forgets what is old. */
void crashes_process_tick(Crashes *c, uint64_t now_us)
{
	for (guint i = c->sent->len; i-- > 0;) {
		Report *r = &g_array_index(c->sent, Report, i);
		if (now_us >= r->at_us + REPORT_KEPT_US)
			g_array_remove_index_fast(c->sent, i);
		else if (judge_(c, r->service_id) != r->judge)
			send_report_(c, r);
	}
	bh__quarantine_process_tick(c->quarantine, now_us);
	judge_due_(c, now_us);
	record_(c, now_us);
}

static struct json_object *describe_entry_(const Crashes *c, const BH__QuarantineEntry *e)
{
	struct json_object *o = json_object_new_object();
	struct json_object *endpoints = json_object_new_array();
	char fingerprint[BH__FINGERPRINT_TEXT_LEN];
	uint64_t held_us = bh__quarantine_get_held_us(c->quarantine, &e->fingerprint, clock_now_us());

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

	bh__quarantine_list(c->quarantine, false, all);
	for (guint i = 0; i < all->len; i++)
		json_object_array_add(list, describe_entry_(c, &g_array_index(all, BH__QuarantineEntry, i)));
	g_array_unref(all);
	json_object_object_add(root, "requests", list);
	return root;
}

/* Writes counts of requests and crashes, as metrics. */
void crashes_write_status(const Crashes *c, struct evbuffer *out)
{
	const BH__QuarantineCounters *k = bh__quarantine_get_counters(c->quarantine);
	unsigned count[BH__QUARANTINE_STATE_COUNT] = {0};
	GArray *all = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	bh__quarantine_list(c->quarantine, false, all);
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
						k->held, k->cleared, k->refusals, c->judged);
}
