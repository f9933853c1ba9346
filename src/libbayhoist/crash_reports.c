/* SPDX-License-Identifier: BSD-3-Clause */
/* Crash cases: for each endpoint that aborted requests, the suspects and whether the endpoint crashed. */
#include "bayhoist/crash_reports.h"

/* Delay from the first report of a case to its evaluation. On nine nodes, all connections to a crashed engine
 * broke within 3 ms, and the liveness probe takes a few more. */
#define SETTLE_US_ (60 * BH__MS_US)
/* Lifetime of a case. A restarted endpoint reports its start within a few seconds. */
#define CASE_LIFETIME_US_ (10 * BH__SECOND_US)
/* A report that arrives this long after a case was opened and evaluated opens a new case: the endpoint may
 * have survived then and crashed now, or have restarted and crashed again. */
#define NEW_CASE_US_ (500 * BH__MS_US)
#define CASES_MAX_ 1024 /* endpoints that may abort requests at once; the platform has 870 */

const char *const BH__CrashEvidenceString[] = {"unknown", "denied", "proven"};

/* An endpoint that aborted requests, and the requests. */
typedef struct {
	uint64_t endpoint_id;
	uint64_t started_ms;   /* start time of the endpoint when it aborted; 0: unknown */
	uint64_t opened_us;    /* time of the first report */
	uint64_t evaluated_us; /* time of the first evaluation; 0: not evaluated */
	BH__CrashEvidence evidence;
	BH__CrashFinding finding;
	GArray *suspects;      /* BH__CrashSuspect, one for each subject of each request */
	guint evaluated_count; /* number of suspects evaluated, the first ones of `suspects` */
} Case_;

struct BH__CrashReports {
	GHashTable *cases; /* Case_ by endpoint id */
};

static void free_case_(gpointer data);
static void add_suspect_(Case_ *c, const BH__CrashSuspect *suspect);
static Case_ *open_case_(BH__CrashReports *r, uint64_t endpoint_id, uint64_t now_us);
static bool is_due_(const Case_ *c, uint64_t now_us);

BH__CrashReports *bh__crash_reports_new(void)
{
	BH__CrashReports *r = g_new0(BH__CrashReports, 1);

	r->cases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_case_);
	return r;
}

void bh__crash_reports_delete(BH__CrashReports *r)
{
	if (!r)
		return;
	g_hash_table_unref(r->cases);
	g_free(r);
}

static void free_case_(gpointer data)
{
	Case_ *c = data;

	g_array_unref(c->suspects);
	g_free(c);
}

/* Opens a case for an endpoint, in place of an earlier one. */
static Case_ *open_case_(BH__CrashReports *r, uint64_t endpoint_id, uint64_t now_us)
{
	Case_ *c = g_new0(Case_, 1);

	c->endpoint_id = endpoint_id;
	c->opened_us = now_us;
	c->suspects = g_array_new(FALSE, FALSE, sizeof(BH__CrashSuspect));
	g_hash_table_replace(r->cases, &c->endpoint_id, c);
	return c;
}

/* Processes a report that an endpoint, started at `started_ms` (0: unknown), aborted a request, which has
 * `count` subjects. Returns true if the report opens a case, so that the caller must probe the endpoint.
 * Ignores the report if the endpoint has no case and CASES_MAX_ are open. */
bool bh__crash_reports_process(BH__CrashReports *r, uint64_t endpoint_id, uint64_t started_ms,
							   const BH__CrashSuspect *suspect, unsigned count, uint64_t now_us)
{
	Case_ *c = g_hash_table_lookup(r->cases, &endpoint_id);
	bool is_next_crash = c && now_us >= MAX(c->opened_us, c->evaluated_us) + NEW_CASE_US_;
	bool is_new = !c || is_next_crash;

	if (!c && g_hash_table_size(r->cases) >= CASES_MAX_)
		return false;
	if (is_new) {
		c = open_case_(r, endpoint_id, now_us);
		c->started_ms = started_ms;
	}
	for (unsigned i = 0; i < count; i++)
		add_suspect_(c, &suspect[i]);
	return is_new;
}

/* Adds a suspect to a case, unless it has been reported of the same request before. */
static void add_suspect_(Case_ *c, const BH__CrashSuspect *suspect)
{
	for (guint i = 0; i < c->suspects->len; i++) {
		const BH__CrashSuspect *s = &g_array_index(c->suspects, BH__CrashSuspect, i);
		if (bh__fingerprint_equal(&s->fingerprint, &suspect->fingerprint) && s->request == suspect->request)
			return;
	}
	g_array_append_val(c->suspects, *suspect);
}

/* Stores the result of a liveness probe. A confirmed crash stays confirmed because the endpoint may have
 * restarted by the next probe. */
void bh__crash_reports_process_evidence(BH__CrashReports *r, uint64_t endpoint_id, BH__CrashEvidence evidence)
{
	Case_ *c = g_hash_table_lookup(r->cases, &endpoint_id);

	if (c && c->evidence != BH__CRASH_CONFIRMED)
		c->evidence = evidence;
}

/* Processes the start time that an endpoint reports. A later start than that of the case confirms the
 * crash. */
void bh__crash_reports_process_start(BH__CrashReports *r, uint64_t endpoint_id, uint64_t started_ms)
{
	const Case_ *c = g_hash_table_lookup(r->cases, &endpoint_id);

	if (c && c->started_ms && started_ms > c->started_ms)
		bh__crash_reports_process_evidence(r, endpoint_id, BH__CRASH_CONFIRMED);
}

/* Returns true if a case is a confirmed crash, has settled, and has suspects to evaluate. */
static bool is_due_(const Case_ *c, uint64_t now_us)
{
	return c->evidence == BH__CRASH_CONFIRMED && now_us >= c->opened_us + SETTLE_US_ &&
		   c->evaluated_count < c->suspects->len;
}

/* Evaluates the confirmed crashes that have settled, appends the entries that changed to `changed`, and
 * closes expired cases. Returns true if a crash was evaluated. */
bool bh__crash_reports_evaluate(BH__CrashReports *r, BH__Quarantine *q, GArray *changed, uint64_t now_us)
{
	bool any = false;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->cases);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		Case_ *c = value;
		if (is_due_(c, now_us)) {
			any = true;
			bh__quarantine_process_crash(q, c->endpoint_id,
										 &g_array_index(c->suspects, BH__CrashSuspect, c->evaluated_count),
										 c->suspects->len - c->evaluated_count, &c->finding, changed, now_us);
			c->evaluated_count = c->suspects->len;
			c->evaluated_us = c->evaluated_us ? c->evaluated_us : now_us;
		}
		if (now_us >= c->opened_us + CASE_LIFETIME_US_)
			g_hash_table_iter_remove(&it);
	}
	return any;
}

/* Returns the time at which bh__crash_reports_evaluate() must be called next; UINT64_MAX: not before the next
 * report or probe result. */
uint64_t bh__crash_reports_get_due_us(const BH__CrashReports *r)
{
	uint64_t due_us = UINT64_MAX;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->cases);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Case_ *c = value;
		if (c->evaluated_count < c->suspects->len && c->evidence == BH__CRASH_CONFIRMED)
			due_us = MIN(due_us, c->opened_us + SETTLE_US_);
	}
	return due_us;
}
