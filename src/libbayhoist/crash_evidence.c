/* SPDX-License-Identifier: BSD-3-Clause */
/* Weighs the crash of an endpoint against the subjects of the requests that were under way on it. */
#include "quarantine_internal.h"

#include "bayhoist/hash.h"

/* Interval in which a further report of the same endpoint is the same crash. When the evaluating node
 * changes, both nodes may receive a report of one crash; no endpoint restarts and crashes again within this
 * time. */
#define SAME_CRASH_US_ BH__SECOND_US
/* A crash does not count against a subject if another subject under way in it has more evidence by more than
 * this lead. Without the lead, evidence against a second crashing request is lost while the first is the
 * stronger suspect. */
#define EXPLAINED_LEAD_ BH__CRASH_WEIGHT

/* Time from a tie after which a request that meets a crash was sent after it. What was under way before that
 * may have met a crash of the tied subjects' own. */
#define TIE_SETTLED_US_ (500 * BH__MS_US)

/* What it takes to quarantine a subject of a kind. */
typedef struct {
	uint32_t threshold_weight;        /* if no other subject of the kind has as much evidence */
	uint32_t shared_threshold_weight; /* if others have: either may be the cause */
	/* Subjects of one request that have equal evidence need no more: they are tied. */
	bool is_tied;
	/* Whether a subject of another kind that is only suspected explains a crash too. A request that has met
	 * two crashes may have done so by chance, more often than the requests with a part that crashes
	 * endpoints. */
	bool yields_to_other_kinds;
	uint32_t requests_min; /* different requests under which endpoints have crashed */
	/* Crashes under one request that count. A request that crashes endpoints by itself, again and again, says
	 * little of what it shares with others. */
	uint32_t crashes_per_request_max;
	/* Crashes that follow each other faster count twice at most: the endpoints of a rack or hall that fails
	 * crash together, whatever they run. */
	uint64_t simultaneous_us;
} KindRule_;

static const KindRule_ KindRules_[BH__SUBJECT_KIND_COUNT] = {
	[BH__SUBJECT_REQUEST] = {.threshold_weight = BH__QUARANTINE_THRESHOLD_WEIGHT,
							 .shared_threshold_weight = BH__QUARANTINE_THRESHOLD_WEIGHT + BH__CRASH_WEIGHT,
							 .yields_to_other_kinds = true,
							 .requests_min = 1,
							 .crashes_per_request_max = UINT32_MAX},
	[BH__SUBJECT_PART] = {.threshold_weight = BH__QUARANTINE_THRESHOLD_WEIGHT,
						  .shared_threshold_weight = BH__QUARANTINE_THRESHOLD_WEIGHT + BH__CRASH_WEIGHT,
						  .is_tied = true,
						  .requests_min = 2,
						  .crashes_per_request_max = 2,
						  .simultaneous_us = 20 * BH__MS_US},
};

/* The suspects of one crash. */
typedef struct {
	uint64_t endpoint_id;
	const BH__CrashSuspect *suspect;
	uint32_t *weight; /* of the evidence against each before this crash */
	unsigned count;
	uint64_t now_us;
} Crash_;

static void resolve_ties_(BH__Quarantine *q, const Crash_ *c, GArray *changed);
static bool is_only_request_(const Crash_ *c, uint64_t request);
static uint32_t count_tied_(const BH__Quarantine *q, const Crash_ *c, uint64_t request, uint64_t tie_id);
static void narrow_tie_(BH__Quarantine *q, const Crash_ *c, uint64_t request, uint64_t tie_id,
						GArray *changed);
static void find_max_weight_(const Crash_ *c, BH__CrashFinding *finding);
static uint32_t get_weight_(const BH__Quarantine *q, const Crash_ *c, const BH__CrashSuspect *s);
static bool is_counted_(const BH__QuarantineEntry *e, const Crash_ *c, const BH__CrashSuspect *s);
static uint32_t count_crashes_under_(const BH__QuarantineEntry *e, uint64_t request);
static uint32_t count_requests_(const BH__QuarantineEntry *e);
static void add_evidence_(BH__QuarantineEntry *e, const Crash_ *c, const BH__CrashSuspect *s);
static bool is_enough_(const BH__QuarantineEntry *e, const Crash_ *c, unsigned index,
					   const BH__CrashFinding *finding);
static bool is_explained_(const Crash_ *c, unsigned index, const BH__CrashFinding *finding);
static bool is_repeated_(const Crash_ *c, unsigned index);
static uint32_t count_equal_in_request_(const Crash_ *c, unsigned index);
static bool shares_request_(const Crash_ *c, uint64_t request, const BH__Fingerprint *f);
static uint32_t get_prior_weight_(const Crash_ *c, const BH__Fingerprint *f);
static void hold_runners_up_(BH__Quarantine *q, const Crash_ *c, GArray *tied, GArray *counted);
static void tie_(BH__Quarantine *q, const GArray *held, const Crash_ *c);
static void append_entries_(const BH__Quarantine *q, const GArray *fingerprints, GArray *out);

/* Counts the crash of an endpoint against the subjects of the requests that were under way on it, and appends
 * the entries that changed to `changed`. Requests reported later are passed in further calls with the
 * `finding` of the first call, which the caller initialises with zeros.
 *
 * Most of these requests are innocent, and several may meet again on the endpoint to which they are
 * dispatched next. Therefore a crash counts only against subjects for which no other subject explains it (see
 * EXPLAINED_LEAD_), and three crashes quarantine a subject only if it had the most evidence of all of its
 * kind. Subjects that have equally much are quarantined one crash later or tied, as their kind demands. */
void bh__quarantine_process_crash(BH__Quarantine *q, uint64_t endpoint_id, const BH__CrashSuspect *suspect,
								  unsigned count, BH__CrashFinding *finding, GArray *changed, uint64_t now_us)
{
	Crash_ c = {.endpoint_id = endpoint_id, .suspect = suspect, .count = count, .now_us = now_us};
	bool is_late = finding->kind[BH__SUBJECT_REQUEST].max_weight_count > 0; /* not all suspects are here */
	/* by fingerprint, since adding an entry may evict another */
	GArray *counted = g_array_new(FALSE, FALSE, sizeof(BH__Fingerprint));
	GArray *tied = g_array_new(FALSE, FALSE, sizeof(BH__Fingerprint));

	for (unsigned i = 0; i < count; i++) {
		BH__QuarantineEntry *e = bh__quarantine_find_entry(q, &suspect[i].fingerprint);
		if (e)
			bh__quarantine_expire(q, e, now_us);
	}
	if (!is_late)
		resolve_ties_(q, &c, changed);
	c.weight = g_new(uint32_t, count);
	for (unsigned i = 0; i < count; i++)
		c.weight[i] = get_weight_(q, &c, &suspect[i]);
	find_max_weight_(&c, finding);
	for (unsigned i = 0; i < count; i++) {
		const BH__CrashSuspect *s = &suspect[i];
		BH__QuarantineEntry *e = bh__quarantine_find_entry(q, &s->fingerprint);
		if (is_explained_(&c, i, finding) || (e && is_counted_(e, &c, s)))
			continue;
		e = bh__quarantine_find_or_add(q, &s->fingerprint, s->kind, now_us);
		add_evidence_(e, &c, s);
		bh__quarantine_apply_event(
			q, e, is_enough_(e, &c, i, finding) ? BH__QUARANTINE_THRESHOLD_CRASH : BH__QUARANTINE_CRASH,
			now_us);
		g_array_append_val(counted, s->fingerprint);
		if (e->state == BH__QUARANTINE_HELD && KindRules_[e->kind].is_tied &&
			count_equal_in_request_(&c, i) == finding->kind[e->kind].max_weight_count)
			g_array_append_val(tied, s->fingerprint);
	}
	hold_runners_up_(q, &c, tied, counted);
	tie_(q, tied, &c);
	append_entries_(q, counted, changed);
	g_free(c.weight);
	g_array_unref(tied);
	g_array_unref(counted);
}

/* Narrows down ties: a request that has only some of the tied subjects is sent, and if an endpoint crashes
 * under it alone, one of these is the cause. */
static void resolve_ties_(BH__Quarantine *q, const Crash_ *c, GArray *changed)
{
	for (unsigned i = 0; i < c->count; i++) {
		const BH__CrashSuspect *s = &c->suspect[i];
		const BH__QuarantineEntry *e = bh__quarantine_find_entry(q, &s->fingerprint);
		if (!e || e->state != BH__QUARANTINE_HELD || e->tie_size <= 1 ||
			c->now_us - e->since_us < TIE_SETTLED_US_ || !is_only_request_(c, s->request))
			continue;
		if (count_tied_(q, c, s->request, e->tie_id) < e->tie_size)
			narrow_tie_(q, c, s->request, e->tie_id, changed);
	}
}

/* Returns true if no other request with a subject of a tied kind was under way. */
static bool is_only_request_(const Crash_ *c, uint64_t request)
{
	for (unsigned i = 0; i < c->count; i++)
		if (KindRules_[c->suspect[i].kind].is_tied && c->suspect[i].request != request)
			return false;
	return true;
}

/* Returns how many of the tied subjects a request had. */
static uint32_t count_tied_(const BH__Quarantine *q, const Crash_ *c, uint64_t request, uint64_t tie_id)
{
	uint32_t count = 0;

	for (unsigned i = 0; i < c->count; i++) {
		const BH__QuarantineEntry *e = bh__quarantine_find_entry(q, &c->suspect[i].fingerprint);
		count += e && e->tie_id == tie_id && c->suspect[i].request == request;
	}
	return count;
}

/* Keeps only those tied subjects that a request had, and clears the others. */
static void narrow_tie_(BH__Quarantine *q, const Crash_ *c, uint64_t request, uint64_t tie_id,
						GArray *changed)
{
	uint32_t size = count_tied_(q, c, request, tie_id);
	GArray *others = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	for (unsigned i = 0; i < c->count; i++) {
		BH__QuarantineEntry *e = bh__quarantine_find_entry(q, &c->suspect[i].fingerprint);
		if (!e || e->tie_id != tie_id || c->suspect[i].request != request)
			continue;
		e->tie_id = size > 1 ? bh__hash_pair(tie_id, c->endpoint_id) : 0;
		e->tie_size = size > 1 ? size : 0;
		e->version++;
		g_array_append_val(changed, *e);
	}
	bh__quarantine_list(q, true, others);
	for (guint i = 0; i < others->len; i++) {
		const BH__QuarantineEntry *e = &g_array_index(others, BH__QuarantineEntry, i);
		if (e->tie_id == tie_id)
			bh__quarantine_process_event(q, &e->fingerprint, BH__QUARANTINE_RELEASE, changed, c->now_us);
	}
	g_array_unref(others);
}

/* Updates `finding` with the highest prior weights of the suspects and the number of subjects that have them.
 */
static void find_max_weight_(const Crash_ *c, BH__CrashFinding *finding)
{
	for (unsigned i = 0; i < c->count; i++) {
		BH__SubjectKind kind = c->suspect[i].kind;
		uint32_t weight = c->weight[i];
		finding->max_weight = MAX(finding->max_weight, weight);
		if (weight > finding->kind[kind].max_weight || !finding->kind[kind].max_weight_count) {
			finding->kind[kind].max_weight = weight;
			finding->kind[kind].max_weight_count = 0;
		}
		finding->kind[kind].max_weight_count +=
			weight == finding->kind[kind].max_weight && !is_repeated_(c, i);
	}
}

/* Returns true if the evidence against another subject explains the crash, see EXPLAINED_LEAD_. A quarantined
 * subject explains it to all kinds. */
static bool is_explained_(const Crash_ *c, unsigned index, const BH__CrashFinding *finding)
{
	BH__SubjectKind kind = c->suspect[index].kind;
	bool by_any = KindRules_[kind].yields_to_other_kinds || finding->max_weight == UINT32_MAX;
	uint32_t max_weight = by_any ? finding->max_weight : finding->kind[kind].max_weight;

	return (uint64_t)c->weight[index] + EXPLAINED_LEAD_ < max_weight;
}

/* Returns true if the subject of a suspect is that of an earlier one, of another request. */
static bool is_repeated_(const Crash_ *c, unsigned index)
{
	for (unsigned i = 0; i < index; i++)
		if (bh__fingerprint_equal(&c->suspect[i].fingerprint, &c->suspect[index].fingerprint))
			return true;
	return false;
}

/* Returns the weight of the evidence against a suspect, in halves of a crash. The weight of a quarantined one
 * is UINT32_MAX, so that a crash under it counts against no other, unless its request could be sent because
 * it had only some of the subjects that are tied. */
static uint32_t get_weight_(const BH__Quarantine *q, const Crash_ *c, const BH__CrashSuspect *s)
{
	const BH__QuarantineEntry *e = bh__quarantine_find_entry(q, &s->fingerprint);

	if (!e || e->state == BH__QUARANTINE_CLEARED)
		return 0;
	if (e->state != BH__QUARANTINE_HELD)
		return e->weight;
	return e->tie_size > 1 && count_tied_(q, c, s->request, e->tie_id) < e->tie_size ? e->weight : UINT32_MAX;
}

/* Returns true if this crash has been counted against a subject, or need not be: the subject is quarantined,
 * and the request was dispatched before that, or the rules of its kind except the crash. */
static bool is_counted_(const BH__QuarantineEntry *e, const Crash_ *c, const BH__CrashSuspect *s)
{
	const KindRule_ *rule = &KindRules_[e->kind];
	uint64_t age_us = c->now_us - e->since_us;

	if (e->state == BH__QUARANTINE_HELD)
		return true;
	for (unsigned i = 0; age_us < SAME_CRASH_US_ && i < e->crash_count; i++)
		if (e->crash[i] == c->endpoint_id)
			return true;
	if (e->state == BH__QUARANTINE_CLEARED)
		return false;
	if (e->weight >= 2 * BH__CRASH_WEIGHT && age_us < rule->simultaneous_us)
		return true;
	return count_crashes_under_(e, s->request) >= rule->crashes_per_request_max;
}

/* Returns how many of the listed crashes came under a request. */
static uint32_t count_crashes_under_(const BH__QuarantineEntry *e, uint64_t request)
{
	uint32_t count = 0;

	for (unsigned i = 0; i < e->crash_count; i++)
		count += e->request[i] == request;
	return count;
}

/* Returns the number of different requests under which the listed crashes came. */
static uint32_t count_requests_(const BH__QuarantineEntry *e)
{
	uint32_t count = 0;

	for (unsigned i = 0; i < e->crash_count; i++) {
		bool is_first = true;
		for (unsigned k = 0; k < i && is_first; k++)
			is_first = e->request[k] != e->request[i];
		count += is_first;
	}
	return count;
}

/* Adds the evidence of one crash to an entry; a cleared entry starts from zero. */
static void add_evidence_(BH__QuarantineEntry *e, const Crash_ *c, const BH__CrashSuspect *s)
{
	if (e->state == BH__QUARANTINE_CLEARED) {
		e->weight = 0;
		e->crash_count = 0;
		e->times_held = 0;
	}
	e->weight += s->weight;
	e->since_us = c->now_us;
	if (e->crash_count == BH__QUARANTINE_CRASHES_MAX)
		return;
	e->request[e->crash_count] = s->request;
	e->crash[e->crash_count++] = c->endpoint_id;
}

/* Returns true if the evidence against the subject of a suspect quarantines it. */
static bool is_enough_(const BH__QuarantineEntry *e, const Crash_ *c, unsigned index,
					   const BH__CrashFinding *finding)
{
	const KindRule_ *rule = &KindRules_[e->kind];
	bool is_max = c->weight[index] == finding->kind[e->kind].max_weight;
	uint32_t others = finding->kind[e->kind].max_weight_count - 1;

	if (rule->is_tied && is_max)
		others -= MIN(others, count_equal_in_request_(c, index) - 1);
	return e->weight >= (is_max && !others ? rule->threshold_weight : rule->shared_threshold_weight) &&
		   count_requests_(e) >= rule->requests_min;
}

/* Returns the number of subjects of a suspect's kind and request that had as much evidence, itself included.
 */
static uint32_t count_equal_in_request_(const Crash_ *c, unsigned index)
{
	uint32_t count = 0;

	for (unsigned i = 0; i < c->count; i++)
		count += c->suspect[i].request == c->suspect[index].request &&
				 c->suspect[i].kind == c->suspect[index].kind && c->weight[i] == c->weight[index];
	return count;
}

/* Quarantines what else a request with the subjects in `tied` had against which there is almost as much
 * evidence, so that it is tied with them. A report that was lost may have left the cause behind a sound
 * subject, which is then refused only together with it. Appends the subjects to both lists. */
static void hold_runners_up_(BH__Quarantine *q, const Crash_ *c, GArray *tied, GArray *counted)
{
	guint leaders = tied->len;

	for (unsigned i = 0; leaders && i < c->count; i++) {
		const BH__CrashSuspect *s = &c->suspect[i];
		BH__QuarantineEntry *e = bh__quarantine_find_entry(q, &s->fingerprint);
		if (!KindRules_[s->kind].is_tied || !e || e->state != BH__QUARANTINE_SUSPECTED ||
			!is_counted_(e, c, s) ||
			!shares_request_(c, s->request, &g_array_index(tied, BH__Fingerprint, 0)) ||
			c->weight[i] + EXPLAINED_LEAD_ < get_prior_weight_(c, &g_array_index(tied, BH__Fingerprint, 0)))
			continue;
		bh__quarantine_apply_event(q, e, BH__QUARANTINE_THRESHOLD_CRASH, c->now_us);
		g_array_append_val(tied, s->fingerprint);
		g_array_append_val(counted, s->fingerprint);
	}
}

/* Returns true if a request had a subject. */
static bool shares_request_(const Crash_ *c, uint64_t request, const BH__Fingerprint *f)
{
	for (unsigned i = 0; i < c->count; i++)
		if (c->suspect[i].request == request && bh__fingerprint_equal(&c->suspect[i].fingerprint, f))
			return true;
	return false;
}

/* Returns the weight of the evidence against a subject before the crash. */
static uint32_t get_prior_weight_(const Crash_ *c, const BH__Fingerprint *f)
{
	for (unsigned i = 0; i < c->count; i++)
		if (bh__fingerprint_equal(&c->suspect[i].fingerprint, f))
			return c->weight[i];
	return 0;
}

/* Ties subjects that this crash has quarantined, if there are several; one alone is not tied any more. */
static void tie_(BH__Quarantine *q, const GArray *held, const Crash_ *c)
{
	bool are_tied = held->len > 1;

	for (guint i = 0; i < held->len; i++) {
		BH__QuarantineEntry *e = bh__quarantine_find_entry(q, &g_array_index(held, BH__Fingerprint, i));
		if (!e)
			continue;
		e->tie_id = are_tied ? bh__hash_pair(c->endpoint_id, c->now_us) : 0;
		e->tie_size = are_tied ? held->len : 0;
	}
}

/* Appends the entries of subjects that have one to `out`. */
static void append_entries_(const BH__Quarantine *q, const GArray *fingerprints, GArray *out)
{
	for (guint i = 0; i < fingerprints->len; i++) {
		const BH__QuarantineEntry *e =
			bh__quarantine_find_entry(q, &g_array_index(fingerprints, BH__Fingerprint, i));
		if (e)
			g_array_append_vals(out, e, 1);
	}
}
