/* SPDX-License-Identifier: BSD-3-Clause */
/* Cases of endpoints that broke off requests: who was under way there, and whether it was a crash. */
#include "bayhoist/crash_reports.h"

/* A case is judged so long after its first report: all connections of an engine that crashed broke within 3
 * ms at nine nodes, and the look at it takes a few more. */
#define SETTLE_US_ (60 * BH__MS_US)
/* A case is closed after this: an endpoint that is back says so within some seconds. */
#define CASE_US_ (10 * BH__SECOND_US)
/* A report that comes so long after a case was opened and judged begins another one: the endpoint may have
 * lived then and crash now, or be back and crash again. */
#define NEXT_CRASH_US_ (500 * BH__MS_US)
#define CASES_MAX_ 1024 /* endpoints that may break off at once; there are 870 */

const char *const BH__CrashProofString[] = {"unknown", "denied", "proven"};

/* An endpoint that broke off requests. */
typedef struct {
	uint64_t endpoint_id;
	uint64_t born_ms; /* start of the endpoint that broke off; 0: not known */
	uint64_t opened_us;
	uint64_t judged_us; /* 0: not yet */
	BH__CrashProof proof;
	BH__CrashFinding finding;
	GArray *suspects; /* BH__CrashSuspect, each request once */
	guint judged;     /* of the suspects, the first ones */
} Case_;

struct BH__CrashReports {
	GHashTable *cases; /* Case_ by endpoint id */
};

static void free_case_(gpointer data);
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

static Case_ *open_case_(BH__CrashReports *r, uint64_t endpoint_id, uint64_t now_us)
{
	Case_ *c = g_new0(Case_, 1);

	c->endpoint_id = endpoint_id;
	c->opened_us = now_us;
	c->suspects = g_array_new(FALSE, FALSE, sizeof(BH__CrashSuspect));
	g_hash_table_replace(r->cases, &c->endpoint_id, c);
	return c;
}

/* Takes a report that an endpoint, which had started at `born_ms`, broke off a request. Returns true if it is
 * the first of a case: then the endpoint is to be looked at. */
bool bh__crash_reports_process(BH__CrashReports *r, uint64_t endpoint_id, uint64_t born_ms,
							   const BH__CrashSuspect *suspect, uint64_t now_us)
{
	Case_ *c = g_hash_table_lookup(r->cases, &endpoint_id);
	bool is_over = c && now_us >= MAX(c->opened_us, c->judged_us) + NEXT_CRASH_US_;
	bool is_new = !c || is_over;

	if (!c && g_hash_table_size(r->cases) >= CASES_MAX_)
		return false;
	if (is_new) {
		c = open_case_(r, endpoint_id, now_us);
		c->born_ms = born_ms;
	}
	for (guint i = 0; i < c->suspects->len; i++)
		if (bh__fingerprint_equal(&g_array_index(c->suspects, BH__CrashSuspect, i).fingerprint,
								  &suspect->fingerprint))
			return is_new;
	g_array_append_val(c->suspects, *suspect);
	return is_new;
}

/* Takes what a look at an endpoint has shown. A proof stays one: the endpoint may be back by the next look.
 */
void bh__crash_reports_process_proof(BH__CrashReports *r, uint64_t endpoint_id, BH__CrashProof proof)
{
	Case_ *c = g_hash_table_lookup(r->cases, &endpoint_id);

	if (c && c->proof != BH__CRASH_PROVEN)
		c->proof = proof;
}

/* An endpoint says when it has started: if that is since it broke off requests, it had ended. */
void bh__crash_reports_process_start(BH__CrashReports *r, uint64_t endpoint_id, uint64_t born_ms)
{
	const Case_ *c = g_hash_table_lookup(r->cases, &endpoint_id);

	if (c && c->born_ms && born_ms > c->born_ms)
		bh__crash_reports_process_proof(r, endpoint_id, BH__CRASH_PROVEN);
}

static bool is_due_(const Case_ *c, uint64_t now_us)
{
	return c->proof == BH__CRASH_PROVEN && now_us >= c->opened_us + SETTLE_US_ &&
		   c->judged < c->suspects->len;
}

/* Judges the crashes that are proven and have settled; entries that changed are added to `changed`. Returns
 * true if there was one. */
bool bh__crash_reports_judge(BH__CrashReports *r, BH__Quarantine *q, GArray *changed, uint64_t now_us)
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
										 &g_array_index(c->suspects, BH__CrashSuspect, c->judged),
										 c->suspects->len - c->judged, &c->finding, changed, now_us);
			c->judged = c->suspects->len;
			c->judged_us = c->judged_us ? c->judged_us : now_us;
		}
		if (now_us >= c->opened_us + CASE_US_)
			g_hash_table_iter_remove(&it);
	}
	return any;
}

/* Returns when bh__crash_reports_judge() is to be called next; UINT64_MAX: not before the next report or
 * proof. */
uint64_t bh__crash_reports_get_due_us(const BH__CrashReports *r)
{
	uint64_t due_us = UINT64_MAX;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->cases);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Case_ *c = value;
		if (c->judged < c->suspects->len && c->proof == BH__CRASH_PROVEN)
			due_us = MIN(due_us, c->opened_us + SETTLE_US_);
	}
	return due_us;
}
