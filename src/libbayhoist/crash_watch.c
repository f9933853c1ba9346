/* SPDX-License-Identifier: BSD-3-Clause */
/* Reports of crashes among the nodes, and what all of them know of requests that cause them. */
#include "bayhoist/crash_watch.h"

#define REPORT_KEPT_US_ (2 * BH__SECOND_US) /* and told again if another node comes to judge meanwhile */
#define REPORTS_MAX_ 1024
#define TELL_PERIOD_US_ (500 * BH__MS_US) /* between times that one node is told all entries */

/* A report that this node has made. */
typedef struct {
	uint64_t service_id;
	uint64_t at_us;
	uint64_t judge; /* node that was told */
	BH__Message message;
} Report_;

struct BH__CrashWatch {
	BH__CrashPort *port;
	BH__Members *members;
	BH__Quarantine *quarantine;
	BH__CrashReports *reports; /* that this node gathers */
	GArray *sent;              /* Report_ */
	GHashTable *told_us;       /* by node id: when it was last told all entries */
	uint64_t judged;           /* crashes that were proven */
};

static uint64_t judge_(const BH__CrashWatch *w, uint64_t service_id);
static void send_report_(BH__CrashWatch *w, Report_ *r, uint64_t now_us);
static void take_report_(BH__CrashWatch *w, const BH__Message *m, uint64_t now_us);
static void compare_(BH__CrashWatch *w, uint64_t node_id, uint64_t hash, uint64_t now_us);
static void judge_due_(BH__CrashWatch *w, uint64_t now_us);
static void take_changes_(BH__CrashWatch *w, const GArray *changed, bool judged, uint64_t now_us);
static void take_change_(BH__CrashWatch *w, const BH__Fingerprint *f, uint64_t now_us);
static void tell_(BH__CrashWatch *w, uint64_t node_id, const GArray *entries, uint64_t now_us);

BH__CrashWatch *bh__crash_watch_new(BH__CrashPort *port, BH__Members *members)
{
	BH__CrashWatch *w = g_new0(BH__CrashWatch, 1);

	w->port = port;
	w->members = members;
	w->quarantine = bh__quarantine_new();
	w->reports = bh__crash_reports_new();
	w->sent = g_array_new(FALSE, FALSE, sizeof(Report_));
	w->told_us = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return w;
}

void bh__crash_watch_delete(BH__CrashWatch *w)
{
	if (!w)
		return;
	g_hash_table_unref(w->told_us);
	g_array_unref(w->sent);
	bh__crash_reports_delete(w->reports);
	bh__quarantine_delete(w->quarantine);
	g_free(w);
}

/* Returns what this node knows of requests that crash endpoints. */
BH__Quarantine *bh__crash_watch_get_quarantine(const BH__CrashWatch *w)
{
	return w->quarantine;
}

/* Returns the number of crashes that this node has judged. */
uint64_t bh__crash_watch_get_judged(const BH__CrashWatch *w)
{
	return w->judged;
}

/* Returns true if a request has met two crashes: one more may show that it is the cause. */
bool bh__crash_watch_is_suspected(const BH__CrashWatch *w, const BH__Fingerprint *f)
{
	const BH__QuarantineEntry *e = bh__quarantine_find(w->quarantine, f);

	return e && e->weight >= BH__TOLD_WEIGHT &&
		   (e->state == BH__QUARANTINE_SUSPECTED || e->state == BH__QUARANTINE_PROBATION);
}

/* Returns the node that judges the crashes of a service's endpoints: the one that would schedule it. */
static uint64_t judge_(const BH__CrashWatch *w, uint64_t service_id)
{
	uint64_t node = bh__members_pick(w->members, service_id, NULL);

	return node ? node : bh__members_get_self(w->members)->node_id;
}

/* An endpoint of a service broke off a request: it may have crashed, and the request be the cause. `helped`:
 * the endpoint only helped with it, which weighs half, since each such request has many helpers. */
void bh__crash_watch_note_broken(BH__CrashWatch *w, uint64_t service_id, uint64_t endpoint_id,
								 const BH__Fingerprint *f, bool helped, uint64_t now_us)
{
	Report_ r = {.service_id = service_id, .at_us = now_us};

	r.message.type = BH__MESSAGE_SUSPECT;
	r.message.as.suspect.event = BH__QUARANTINE_CRASH;
	r.message.as.suspect.endpoint_id = endpoint_id;
	r.message.as.suspect.suspect.fingerprint = *f;
	r.message.as.suspect.suspect.weight = helped ? BH__CRASH_WEIGHT / 2 : BH__CRASH_WEIGHT;
	send_report_(w, &r, now_us);
	if (w->sent->len < REPORTS_MAX_)
		g_array_append_val(w->sent, r);
}

/* A request was served. If it was suspected (`was_broken`: by a report of this node), it is not any more. */
void bh__crash_watch_note_served(BH__CrashWatch *w, uint64_t service_id, const BH__Fingerprint *f,
								 bool was_broken, uint64_t now_us)
{
	const BH__QuarantineEntry *e = bh__quarantine_find(w->quarantine, f);
	Report_ r = {.service_id = service_id, .at_us = now_us};

	if (!was_broken && (!e || e->state == BH__QUARANTINE_CLEARED))
		return;
	r.message.type = BH__MESSAGE_SUSPECT;
	r.message.as.suspect.event = BH__QUARANTINE_SERVE;
	r.message.as.suspect.suspect.fingerprint = *f;
	send_report_(w, &r, now_us);
}

static void send_report_(BH__CrashWatch *w, Report_ *r, uint64_t now_us)
{
	r->judge = judge_(w, r->service_id);
	if (r->judge == bh__members_get_self(w->members)->node_id)
		take_report_(w, &r->message, now_us);
	else
		w->port->send(w->port, r->judge, &r->message);
}

/* Takes a message. Returns false if it does not concern crashes, or others have to see it too. */
bool bh__crash_watch_process_message(BH__CrashWatch *w, const BH__Message *m, uint64_t now_us)
{
	switch (m->type) {
	case BH__MESSAGE_PING:
	case BH__MESSAGE_ACK:
		compare_(w, m->from_node, m->as.ping.quarantine_hash, now_us);
		return false;
	case BH__MESSAGE_SUSPECT:
		take_report_(w, m, now_us);
		return true;
	case BH__MESSAGE_QUARANTINE:
		for (uint32_t i = 0; i < m->as.quarantine.count; i++)
			bh__crash_watch_learn(w, &m->as.quarantine.entry[i], now_us);
		return true;
	default:
		return false;
	}
}

/* A node reports what happened to a request. Nothing is judged here: whoever reports is in the middle of that
 * request's end, and what comes to be held is ended. */
static void take_report_(BH__CrashWatch *w, const BH__Message *m, uint64_t now_us)
{
	const BH__CrashSuspect *suspect = &m->as.suspect.suspect;
	uint64_t endpoint_id = m->as.suspect.endpoint_id;
	uint64_t born_ms;

	if (m->as.suspect.event != BH__QUARANTINE_CRASH) {
		if (bh__quarantine_process_event(w->quarantine, &suspect->fingerprint, m->as.suspect.event, now_us))
			take_change_(w, &suspect->fingerprint, now_us);
		return;
	}
	if (!w->port->find_endpoint(w->port, endpoint_id, &born_ms))
		return;
	if (bh__crash_reports_process(w->reports, endpoint_id, born_ms, suspect, now_us))
		w->port->look(w->port, endpoint_id);
}

/* Takes what a look at an endpoint that broke off a request has shown. */
void bh__crash_watch_process_proof(BH__CrashWatch *w, uint64_t endpoint_id, BH__CrashProof proof,
								   uint64_t now_us)
{
	bh__crash_reports_process_proof(w->reports, endpoint_id, proof);
	judge_due_(w, now_us);
}

/* An endpoint says when it has started: if that is since it broke off requests, it had crashed. */
void bh__crash_watch_process_start(BH__CrashWatch *w, uint64_t endpoint_id, uint64_t born_ms, uint64_t now_us)
{
	bh__crash_reports_process_start(w->reports, endpoint_id, born_ms);
	judge_due_(w, now_us);
}

/* Judges the crashes that are due. */
static void judge_due_(BH__CrashWatch *w, uint64_t now_us)
{
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	if (bh__crash_reports_judge(w->reports, w->quarantine, changed, now_us))
		w->judged++;
	take_changes_(w, changed, true, now_us);
	g_array_unref(changed);
}

/* Returns when bh__crash_watch_process_tick() is to be called at the latest; UINT64_MAX: as usual. */
uint64_t bh__crash_watch_get_due_us(const BH__CrashWatch *w)
{
	return bh__crash_reports_get_due_us(w->reports);
}

/* Entries have changed: this node's program and, where this node judged, the other nodes hear of those that
 * have met two crashes. */
static void take_changes_(BH__CrashWatch *w, const GArray *changed, bool judged, uint64_t now_us)
{
	GArray *told = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	for (guint i = 0; i < changed->len; i++) {
		const BH__QuarantineEntry *e = &g_array_index(changed, BH__QuarantineEntry, i);
		if (e->weight >= BH__TOLD_WEIGHT)
			g_array_append_val(told, *e);
	}
	for (unsigned i = 1; judged && told->len && i < bh__members_get_count(w->members); i++) {
		const BH__MemberInfo *info = bh__members_get(w->members, i);
		if (info->state != BH__MEMBER_DEAD)
			tell_(w, info->node_id, told, now_us);
	}
	bh__members_set_quarantine(w->members, bh__quarantine_get_hash(w->quarantine));
	for (guint i = 0; i < told->len; i++)
		w->port->changed(w->port, &g_array_index(told, BH__QuarantineEntry, i), judged);
	g_array_unref(told);
}

/* The same for the entry of one request, which this node has changed. */
static void take_change_(BH__CrashWatch *w, const BH__Fingerprint *f, uint64_t now_us)
{
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	g_array_append_val(changed, *bh__quarantine_find(w->quarantine, f));
	take_changes_(w, changed, true, now_us);
	g_array_unref(changed);
}

/* Tells a node of entries, with their ages. */
static void tell_(BH__CrashWatch *w, uint64_t node_id, const GArray *entries, uint64_t now_us)
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
	w->port->send(w->port, node_id, &m);
	g_array_unref(aged);
}

/* Another node's probe shows what it knows: if that is not the same, it is told all that this node does. */
static void compare_(BH__CrashWatch *w, uint64_t node_id, uint64_t hash, uint64_t now_us)
{
	uint64_t *told_us = g_hash_table_lookup(w->told_us, &node_id);
	GArray *entries;

	if (hash == bh__quarantine_get_hash(w->quarantine) || (told_us && now_us < *told_us + TELL_PERIOD_US_))
		return;
	g_hash_table_replace(w->told_us, g_memdup2(&node_id, sizeof node_id), g_memdup2(&now_us, sizeof now_us));
	entries = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	bh__quarantine_list(w->quarantine, true, entries);
	if (entries->len)
		tell_(w, node_id, entries, now_us);
	g_array_unref(entries);
}

/* Takes an entry that another node or a record tells; `since_us` is its age. */
void bh__crash_watch_learn(BH__CrashWatch *w, const BH__QuarantineEntry *aged, uint64_t now_us)
{
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	BH__QuarantineEntry e = *aged;

	e.since_us = now_us - aged->since_us;
	if (bh__quarantine_learn(w->quarantine, &e, now_us))
		g_array_append_val(changed, e);
	take_changes_(w, changed, false, now_us);
	g_array_unref(changed);
}

/* An operator lets a request go. Returns false if it is neither suspected nor held. */
bool bh__crash_watch_release(BH__CrashWatch *w, const BH__Fingerprint *f, uint64_t now_us)
{
	if (!bh__quarantine_process_event(w->quarantine, f, BH__QUARANTINE_RELEASE, now_us))
		return false;
	take_change_(w, f, now_us);
	return true;
}

/* Tells reports again to a node that judges since, ends what has lasted for its time, judges what is due. */
void bh__crash_watch_process_tick(BH__CrashWatch *w, uint64_t now_us)
{
	for (guint i = w->sent->len; i-- > 0;) {
		Report_ *r = &g_array_index(w->sent, Report_, i);
		if (now_us >= r->at_us + REPORT_KEPT_US_)
			g_array_remove_index_fast(w->sent, i);
		else if (judge_(w, r->service_id) != r->judge)
			send_report_(w, r, now_us);
	}
	bh__quarantine_process_tick(w->quarantine, now_us);
	judge_due_(w, now_us);
}
