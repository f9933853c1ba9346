/* SPDX-License-Identifier: BSD-3-Clause */
/* Exchange of crash reports and quarantine entries among the nodes. */
#include "bayhoist/crash_watch.h"

#include "bayhoist/answered_parts.h"

/* Time for which a report, or a change of an entry, is kept. If another node becomes the evaluating node
 * meanwhile, the report is sent to that node too; nodes that become known are told of the change. */
#define REPORT_LIFETIME_US_ (2 * BH__SECOND_US)
#define REPORTS_MAX_ 1024    /* reports kept; further ones are sent only once */
#define OWN_CHANGES_MAX_ 256 /* changes kept to be sent again */
/* Minimum time between two messages with all entries to the same node. */
#define NOTIFY_INTERVAL_US_ (500 * BH__MS_US)

/* Time from the quarantine of a part in which a node that had seen it answered earlier objects. A node that
 * hears later, because it was cut off, can't tell whether the part has changed since. */
#define OBJECTION_US_ (200 * BH__MS_US)

/* A report made by this node. */
typedef struct {
	uint64_t service_id;
	uint64_t at_us;     /* time of the report */
	uint64_t evaluator; /* id of the node to which the report was last sent */
	BH__Message message;
} Report_;

/* A change of an entry that this node made. */
typedef struct {
	BH__Fingerprint fingerprint;
	uint64_t at_us;
} OwnChange_;

struct BH__CrashWatch {
	BH__CrashPort *port;
	BH__Members *members;
	BH__Quarantine *quarantine;
	BH__CrashReports *reports; /* reports that this node evaluates */
	BH__AnsweredParts *answered;
	GArray *sent_reports;    /* Report_ made by this node and still kept */
	GArray *own_changes;     /* OwnChange_, oldest first, for REPORT_LIFETIME_US_ */
	GHashTable *notified_us; /* by node id: time at which all entries were last sent to it */
	uint64_t evaluated;      /* rounds of evaluation with at least one confirmed crash */
};

static bool is_first_(void *ctx, const BH__Fingerprint *f);
static uint64_t get_evaluator_(const BH__CrashWatch *w, uint64_t service_id);
static void send_report_(BH__CrashWatch *w, Report_ *r, uint64_t now_us);
static void add_unanswered_parts_(const BH__CrashWatch *w, const BH__AbortedDispatch *d,
								  BH__PromptParts *out);
static void send_served_(BH__CrashWatch *w, uint64_t service_id, const BH__Fingerprint *f,
						 BH__SubjectKind kind, uint64_t now_us);
static void process_report_(BH__CrashWatch *w, const BH__Message *m, uint64_t now_us);
static unsigned list_suspects_(const BH__Message *m, BH__CrashSuspect out[1 + BH__PROMPT_PARTS_MAX]);
static bool process_event_(BH__CrashWatch *w, const BH__Fingerprint *f, BH__QuarantineEvent event,
						   uint64_t now_us);
static void compare_hash_(BH__CrashWatch *w, uint64_t node_id, uint64_t hash, uint64_t now_us);
static void evaluate_due_(BH__CrashWatch *w, uint64_t now_us);
static void publish_changes_(BH__CrashWatch *w, const GArray *changed, bool evaluated, uint64_t now_us);
static void keep_own_changes_(BH__CrashWatch *w, const GArray *entries, uint64_t now_us);
static void object_(BH__CrashWatch *w, const GArray *entries, uint64_t now_us);
static void send_entries_(BH__CrashWatch *w, uint64_t node_id, const GArray *entries, uint64_t now_us);

BH__CrashWatch *bh__crash_watch_new(BH__CrashPort *port, BH__Members *members)
{
	BH__CrashWatch *w = g_new0(BH__CrashWatch, 1);

	w->port = port;
	w->members = members;
	w->quarantine = bh__quarantine_new();
	bh__quarantine_set_is_first(w->quarantine, is_first_, w);
	w->reports = bh__crash_reports_new();
	w->answered = bh__answered_parts_new();
	w->sent_reports = g_array_new(FALSE, FALSE, sizeof(Report_));
	w->own_changes = g_array_new(FALSE, FALSE, sizeof(OwnChange_));
	w->notified_us = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return w;
}

void bh__crash_watch_delete(BH__CrashWatch *w)
{
	if (!w)
		return;
	g_hash_table_unref(w->notified_us);
	g_array_unref(w->own_changes);
	g_array_unref(w->sent_reports);
	bh__answered_parts_delete(w->answered);
	bh__crash_reports_delete(w->reports);
	bh__quarantine_delete(w->quarantine);
	g_free(w);
}

/* Returns this node's table of suspected and quarantined subjects. */
BH__Quarantine *bh__crash_watch_get_quarantine(const BH__CrashWatch *w)
{
	return w->quarantine;
}

/* Returns how often this node has evaluated crashes; crashes that are due together count once. */
uint64_t bh__crash_watch_get_evaluated(const BH__CrashWatch *w)
{
	return w->evaluated;
}

/* Returns true if a subject of a request has met two crashes and is not quarantined: one more may quarantine
 * it. */
bool bh__crash_watch_is_suspected(const BH__CrashWatch *w, const BH__CrashSubjects *s)
{
	for (uint32_t i = 0; i < bh__crash_subjects_get_count(s); i++) {
		BH__SubjectKind kind;
		BH__Fingerprint f = bh__crash_subjects_get(s, i, &kind);
		const BH__QuarantineEntry *e = bh__quarantine_find(w->quarantine, &f);
		if (e && e->weight >= BH__QUARANTINE_NOTIFY_WEIGHT &&
			(e->state == BH__QUARANTINE_SUSPECTED || e->state == BH__QUARANTINE_PROBATION))
			return true;
	}
	return false;
}

/* Returns true if the ring picks this node to be the first that tries a subject again. */
static bool is_first_(void *ctx, const BH__Fingerprint *f)
{
	const BH__CrashWatch *w = ctx;
	uint64_t node = bh__members_pick(w->members, f->low, NULL);

	return !node || node == bh__members_get_self(w->members)->node_id;
}

/* Returns the id of the node that evaluates the crashes of a service's endpoints: the node that the ring
 * picks to schedule the service, or this node if there is none. */
static uint64_t get_evaluator_(const BH__CrashWatch *w, uint64_t service_id)
{
	uint64_t node = bh__members_pick(w->members, service_id, NULL);

	return node ? node : bh__members_get_self(w->members)->node_id;
}

/* Reports that an endpoint aborted a request, whose subjects may be the cause of a crash. As a helper it only
 * read the prompt, which weighs half, because each such request has many helpers, and says nothing of the
 * parts. Neither does an answer that had begun: a part crashes what begins to answer it. Returns true if the
 * request should not be sent again before the crash has been evaluated, since that may cost another endpoint.
 */
bool bh__crash_watch_note_aborted(BH__CrashWatch *w, const BH__AbortedDispatch *d, uint64_t now_us)
{
	Report_ r = {.service_id = d->subjects->service_id, .at_us = now_us};

	r.message.type = BH__MESSAGE_SUSPECT;
	r.message.as.suspect.event = BH__QUARANTINE_CRASH;
	r.message.as.suspect.endpoint_id = d->endpoint_id;
	r.message.as.suspect.service_id = d->subjects->service_id;
	r.message.as.suspect.suspect.fingerprint = d->subjects->request;
	r.message.as.suspect.suspect.request = d->subjects->request.low;
	r.message.as.suspect.suspect.weight = d->was_helper ? BH__CRASH_WEIGHT / 2 : BH__CRASH_WEIGHT;
	if (!d->was_helper && !d->had_begun)
		add_unanswered_parts_(w, d, &r.message.as.suspect.parts);
	send_report_(w, &r, now_us);
	if (w->sent_reports->len < REPORTS_MAX_)
		g_array_append_val(w->sent_reports, r);
	return r.message.as.suspect.parts.count > 0 || bh__crash_watch_is_suspected(w, d->subjects);
}

/* Adds the parts of a request on which this node has seen no answer begin since it sent the request. */
static void add_unanswered_parts_(const BH__CrashWatch *w, const BH__AbortedDispatch *d, BH__PromptParts *out)
{
	const BH__PromptParts *parts = d->subjects->parts;

	for (uint32_t i = 0; parts && i < parts->count; i++) {
		BH__Fingerprint f = bh__crash_subject_of_part(d->subjects->service_id, parts->id[i]);
		if (!bh__answered_parts_has_since(w->answered, &f, d->sent_us))
			bh__prompt_parts_add(out, parts->id[i]);
	}
}

/* Notes that an endpoint has begun to answer a request, which clears the parts of its prompt. Sends nothing
 * for parts that are not suspected. */
void bh__crash_watch_note_begun(BH__CrashWatch *w, const BH__CrashSubjects *s, uint64_t now_us)
{
	for (uint32_t i = 0; s->parts && i < s->parts->count; i++) {
		BH__Fingerprint f = bh__crash_subject_of_part(s->service_id, s->parts->id[i]);
		const BH__QuarantineEntry *e = bh__quarantine_find(w->quarantine, &f);
		bh__answered_parts_note(w->answered, &f, now_us);
		if (e && e->state != BH__QUARANTINE_CLEARED)
			send_served_(w, s->service_id, &f, BH__SUBJECT_PART, now_us);
	}
}

/* Notes that a request was served, which clears all its subjects. Sends nothing if the request has no entry
 * to clear, unless this node has reported it before (`was_aborted`). */
void bh__crash_watch_note_served(BH__CrashWatch *w, const BH__CrashSubjects *s, bool was_aborted,
								 uint64_t now_us)
{
	const BH__QuarantineEntry *e = bh__quarantine_find(w->quarantine, &s->request);

	bh__crash_watch_note_begun(w, s, now_us);
	if (was_aborted || (e && e->state != BH__QUARANTINE_CLEARED))
		send_served_(w, s->service_id, &s->request, BH__SUBJECT_REQUEST, now_us);
}

/* Reports that a subject was served. */
static void send_served_(BH__CrashWatch *w, uint64_t service_id, const BH__Fingerprint *f,
						 BH__SubjectKind kind, uint64_t now_us)
{
	Report_ r = {.service_id = service_id, .at_us = now_us};

	r.message.type = BH__MESSAGE_SUSPECT;
	r.message.as.suspect.event = BH__QUARANTINE_SERVE;
	r.message.as.suspect.suspect.fingerprint = *f;
	r.message.as.suspect.suspect.kind = kind;
	send_report_(w, &r, now_us);
}

/* Sends a report to the evaluating node, or processes it here if that is this node. */
static void send_report_(BH__CrashWatch *w, Report_ *r, uint64_t now_us)
{
	r->evaluator = get_evaluator_(w, r->service_id);
	if (r->evaluator == bh__members_get_self(w->members)->node_id)
		process_report_(w, &r->message, now_us);
	else
		w->port->send(w->port, r->evaluator, &r->message);
}

/* Processes a message. Returns false if other modules must process it too: if it is a ping or an answer to
 * one, or does not concern crashes. */
bool bh__crash_watch_process_message(BH__CrashWatch *w, const BH__Message *m, uint64_t now_us)
{
	switch (m->type) {
	case BH__MESSAGE_PING:
	case BH__MESSAGE_ACK:
		compare_hash_(w, m->from_node, m->as.ping.quarantine_hash, now_us);
		return false;
	case BH__MESSAGE_SUSPECT:
		process_report_(w, m, now_us);
		return true;
	case BH__MESSAGE_QUARANTINE:
		for (uint32_t i = 0; i < m->as.quarantine.count; i++)
			bh__crash_watch_merge(w, &m->as.quarantine.entry[i], now_us);
		return true;
	default:
		return false;
	}
}

/* Processes a node's report on a request. No crash is evaluated here: this may run while the reporting code
 * is ending that request, and an evaluation may quarantine subjects and thereby end requests. */
static void process_report_(BH__CrashWatch *w, const BH__Message *m, uint64_t now_us)
{
	uint64_t endpoint_id = m->as.suspect.endpoint_id;
	BH__CrashSuspect suspects[1 + BH__PROMPT_PARTS_MAX];
	uint64_t started_ms;
	unsigned count;

	if (m->as.suspect.event != BH__QUARANTINE_CRASH) {
		process_event_(w, &m->as.suspect.suspect.fingerprint, m->as.suspect.event, now_us);
		return;
	}
	if (!w->port->find_endpoint(w->port, endpoint_id, &started_ms))
		return;
	count = list_suspects_(m, suspects);
	if (bh__crash_reports_process(w->reports, endpoint_id, started_ms, suspects, count, now_us))
		w->port->probe(w->port, endpoint_id);
}

/* Lists the subjects of the request in a report. Returns their number. */
static unsigned list_suspects_(const BH__Message *m, BH__CrashSuspect out[1 + BH__PROMPT_PARTS_MAX])
{
	const BH__PromptParts *parts = &m->as.suspect.parts;

	out[0] = m->as.suspect.suspect;
	for (uint32_t i = 0; i < parts->count; i++)
		out[1 + i] = (BH__CrashSuspect){.fingerprint =
											bh__crash_subject_of_part(m->as.suspect.service_id, parts->id[i]),
										.kind = BH__SUBJECT_PART,
										.weight = BH__CRASH_WEIGHT,
										.request = m->as.suspect.suspect.request};
	return 1 + parts->count;
}

/* Applies an event other than a crash to a subject and publishes what changes. Returns false if nothing does.
 */
static bool process_event_(BH__CrashWatch *w, const BH__Fingerprint *f, BH__QuarantineEvent event,
						   uint64_t now_us)
{
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	bool has_changed = bh__quarantine_process_event(w->quarantine, f, event, changed, now_us);

	if (has_changed)
		publish_changes_(w, changed, true, now_us);
	g_array_unref(changed);
	return has_changed;
}

/* Processes the result of the liveness probe of an endpoint that aborted a request. */
void bh__crash_watch_process_evidence(BH__CrashWatch *w, uint64_t endpoint_id, BH__CrashEvidence evidence,
									  uint64_t now_us)
{
	bh__crash_reports_process_evidence(w->reports, endpoint_id, evidence);
	evaluate_due_(w, now_us);
}

/* Processes the start time that an endpoint reports. A start later than that in its crash case confirms the
 * crash. */
void bh__crash_watch_process_start(BH__CrashWatch *w, uint64_t endpoint_id, uint64_t started_ms,
								   uint64_t now_us)
{
	bh__crash_reports_process_start(w->reports, endpoint_id, started_ms);
	evaluate_due_(w, now_us);
}

/* Evaluates the crashes that are due and publishes the entries that change. */
static void evaluate_due_(BH__CrashWatch *w, uint64_t now_us)
{
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	if (bh__crash_reports_evaluate(w->reports, w->quarantine, changed, now_us))
		w->evaluated++;
	publish_changes_(w, changed, true, now_us);
	g_array_unref(changed);
}

/* Returns the latest time for the next bh__crash_watch_process_tick(); UINT64_MAX: its regular period is
 * enough. */
uint64_t bh__crash_watch_get_due_us(const BH__CrashWatch *w)
{
	return bh__crash_reports_get_due_us(w->reports);
}

/* Publishes changed entries that have met two crashes or more: calls the port's `changed` and, if this node
 * made the changes (`evaluated`), notifies the other nodes. Updates the hash in this node's pings. */
static void publish_changes_(BH__CrashWatch *w, const GArray *changed, bool evaluated, uint64_t now_us)
{
	GArray *shared = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	for (guint i = 0; i < changed->len; i++) {
		const BH__QuarantineEntry *e = &g_array_index(changed, BH__QuarantineEntry, i);
		if (e->weight >= BH__QUARANTINE_NOTIFY_WEIGHT)
			g_array_append_val(shared, *e);
	}
	for (unsigned i = 1; evaluated && shared->len && i < bh__members_get_count(w->members); i++) {
		const BH__MemberInfo *info = bh__members_get(w->members, i);
		if (info->state != BH__MEMBER_DEAD)
			send_entries_(w, info->node_id, shared, now_us);
	}
	if (evaluated)
		keep_own_changes_(w, shared, now_us);
	bh__members_set_quarantine(w->members, bh__quarantine_get_hash(w->quarantine));
	for (guint i = 0; i < shared->len; i++)
		w->port->changed(w->port, &g_array_index(shared, BH__QuarantineEntry, i), evaluated);
	object_(w, shared, now_us);
	g_array_unref(shared);
}

/* Keeps which entries this node has changed and told to the nodes that it knows. */
static void keep_own_changes_(BH__CrashWatch *w, const GArray *entries, uint64_t now_us)
{
	for (guint i = 0; i < entries->len && w->own_changes->len < OWN_CHANGES_MAX_; i++) {
		OwnChange_ c = {.fingerprint = g_array_index(entries, BH__QuarantineEntry, i).fingerprint,
						.at_us = now_us};
		g_array_append_val(w->own_changes, c);
	}
}

/* Processes that a node has become known. Sends it the entries that this node has changed lately, when it may
 * not have known it: otherwise it would learn of them with its next probe only. */
void bh__crash_watch_process_member(BH__CrashWatch *w, uint64_t node_id, uint64_t now_us)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	for (guint i = 0; i < w->own_changes->len; i++) {
		const OwnChange_ *c = &g_array_index(w->own_changes, OwnChange_, i);
		const BH__QuarantineEntry *e = bh__quarantine_find(w->quarantine, &c->fingerprint);
		if (e && now_us < c->at_us + REPORT_LIFETIME_US_)
			g_array_append_vals(entries, e, 1);
	}
	if (entries->len)
		send_entries_(w, node_id, entries, now_us);
	g_array_unref(entries);
}

/* Objects to the suspicion or the fresh quarantine of parts on which this node has seen an answer begin. Each
 * such answer is worth one objection, so that a part that has become the cause of crashes is quarantined two
 * crashes later than one that nobody knows. */
static void object_(BH__CrashWatch *w, const GArray *entries, uint64_t now_us)
{
	for (guint i = 0; i < entries->len; i++) {
		const BH__QuarantineEntry *e = &g_array_index(entries, BH__QuarantineEntry, i);
		bool is_fresh = e->state == BH__QUARANTINE_SUSPECTED ||
						(e->state == BH__QUARANTINE_HELD && now_us - e->since_us < OBJECTION_US_);
		if (e->kind == BH__SUBJECT_PART && is_fresh && bh__answered_parts_take(w->answered, &e->fingerprint))
			send_served_(w, e->fingerprint.high, &e->fingerprint, e->kind, now_us);
	}
}

/* Sends entries to a node; in the message, `since_us` is the age. */
static void send_entries_(BH__CrashWatch *w, uint64_t node_id, const GArray *entries, uint64_t now_us)
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

/* Compares the hash in another node's ping with this node's, and sends that node all shared entries if they
 * differ, at most once in NOTIFY_INTERVAL_US_. */
static void compare_hash_(BH__CrashWatch *w, uint64_t node_id, uint64_t hash, uint64_t now_us)
{
	uint64_t *notified_us = g_hash_table_lookup(w->notified_us, &node_id);
	GArray *entries;

	if (hash == bh__quarantine_get_hash(w->quarantine) ||
		(notified_us && now_us < *notified_us + NOTIFY_INTERVAL_US_))
		return;
	g_hash_table_replace(w->notified_us, g_memdup2(&node_id, sizeof node_id),
						 g_memdup2(&now_us, sizeof now_us));
	entries = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	bh__quarantine_list(w->quarantine, true, entries);
	if (entries->len)
		send_entries_(w, node_id, entries, now_us);
	g_array_unref(entries);
}

/* Merges an entry from another node or a stored record; its `since_us` is an age. */
void bh__crash_watch_merge(BH__CrashWatch *w, const BH__QuarantineEntry *aged, uint64_t now_us)
{
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	BH__QuarantineEntry e = *aged;

	e.since_us = now_us - aged->since_us;
	if (bh__quarantine_merge(w->quarantine, &e, now_us))
		g_array_append_val(changed, e);
	publish_changes_(w, changed, false, now_us);
	g_array_unref(changed);
}

/* Releases a subject at an operator's command. Returns false if it has no entry or is already cleared. */
bool bh__crash_watch_release(BH__CrashWatch *w, const BH__Fingerprint *f, uint64_t now_us)
{
	return process_event_(w, f, BH__QUARANTINE_RELEASE, now_us);
}

/* Sends kept reports again if the evaluating node has changed, expires quarantine entries, and evaluates the
 * crashes that are due. */
void bh__crash_watch_process_tick(BH__CrashWatch *w, uint64_t now_us)
{
	for (guint i = w->sent_reports->len; i-- > 0;) {
		Report_ *r = &g_array_index(w->sent_reports, Report_, i);
		if (now_us >= r->at_us + REPORT_LIFETIME_US_)
			g_array_remove_index_fast(w->sent_reports, i);
		else if (get_evaluator_(w, r->service_id) != r->evaluator)
			send_report_(w, r, now_us);
	}
	while (w->own_changes->len &&
		   now_us >= g_array_index(w->own_changes, OwnChange_, 0).at_us + REPORT_LIFETIME_US_)
		g_array_remove_index(w->own_changes, 0);
	bh__quarantine_process_tick(w->quarantine, now_us);
	evaluate_due_(w, now_us);
}
