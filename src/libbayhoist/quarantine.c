/* SPDX-License-Identifier: BSD-3-Clause */
/* Table of requests suspected of crashing endpoints. */
#include "bayhoist/quarantine.h"

#include <string.h>
#include "bayhoist/hash.h"

/* Lifetime of a suspected or cleared entry since its last evidence or its clearing. By then the caller has
 * abandoned the request or received an answer. */
#define SUSPECT_LIFETIME_US_ (60 * BH__SECOND_US)
/* Duration of the first quarantine; each further one lasts twice as long. A request that keeps crashing
 * endpoints therefore costs one endpoint after ten minutes, the next after twenty. */
#define QUARANTINE_US_ (600 * BH__SECOND_US)
#define QUARANTINE_DOUBLINGS_MAX_ 7 /* up to 21 hours */
/* Entries of the table, of 100 bytes each. The oldest entries that are not quarantined are evicted first. */
#define ENTRIES_MAX_ 2048
/* Interval in which a further report of the same endpoint is the same crash. When the evaluating node
 * changes, both nodes may receive a report of one crash; no endpoint restarts and crashes again within this
 * time. */
#define SAME_CRASH_US_ BH__SECOND_US
/* A crash does not count against a request if another request under way in it has more evidence by more than
 * this lead. Without the lead, evidence against a second crashing request is lost while the first is the
 * stronger suspect: 2.45 dispatches per run later than 0.3 s after the third crash, compared with 0.68 with
 * the lead (bench_suspects, 1,000 runs). */
#define EXPLAINED_LEAD_ BH__CRASH_WEIGHT
#define REMOVE_ENTRY_ BH__QUARANTINE_STATE_COUNT /* no state: the entry is removed */

const char *const BH__QuarantineStateString[] = {"suspected", "held", "probation", "cleared"};

/* State transitions by state and event. A cleared entry remains until it expires, so that a node that has not
 * received the clearing does not restore the older entry. */
static const BH__QuarantineState Transitions_[BH__QUARANTINE_STATE_COUNT][BH__QUARANTINE_EVENT_COUNT] = {
	/* crash, crash that reaches the threshold, serve, release, expire */
	{BH__QUARANTINE_SUSPECTED, BH__QUARANTINE_HELD, BH__QUARANTINE_CLEARED, BH__QUARANTINE_CLEARED,
	 REMOVE_ENTRY_},
	{BH__QUARANTINE_HELD, BH__QUARANTINE_HELD, BH__QUARANTINE_CLEARED, BH__QUARANTINE_CLEARED,
	 BH__QUARANTINE_PROBATION},
	{BH__QUARANTINE_HELD, BH__QUARANTINE_HELD, BH__QUARANTINE_CLEARED, BH__QUARANTINE_CLEARED, REMOVE_ENTRY_},
	{BH__QUARANTINE_SUSPECTED, BH__QUARANTINE_HELD, BH__QUARANTINE_CLEARED, BH__QUARANTINE_CLEARED,
	 REMOVE_ENTRY_},
};

struct BH__Quarantine {
	GHashTable *entries; /* BH__QuarantineEntry by fingerprint */
	BH__QuarantineCounters counters;
};

static guint hash_fingerprint_(gconstpointer key);
static gboolean equal_fingerprints_(gconstpointer a, gconstpointer b);
static BH__QuarantineEntry *find_(const BH__Quarantine *q, const BH__Fingerprint *f);
static BH__QuarantineEntry *find_or_add_(BH__Quarantine *q, const BH__Fingerprint *f, uint64_t now_us);
static bool is_older_(const BH__QuarantineEntry *a, const BH__QuarantineEntry *b);
static void evict_oldest_(BH__Quarantine *q);
static uint32_t get_weight_(const BH__Quarantine *q, const BH__Fingerprint *f);
static void find_max_weight_(const BH__Quarantine *q, const BH__CrashSuspect *suspect, unsigned count,
							 BH__CrashFinding *finding);
static bool is_counted_(const BH__Quarantine *q, const BH__CrashSuspect *s, uint64_t endpoint_id,
						uint64_t now_us);
static void add_evidence_(BH__QuarantineEntry *e, uint64_t endpoint_id, uint32_t weight, uint64_t now_us);
static void apply_event_(BH__Quarantine *q, BH__QuarantineEntry *e, BH__QuarantineEvent event,
						 uint64_t now_us);
static uint64_t get_lifetime_us_(const BH__QuarantineEntry *e);
static bool is_notified_(const BH__QuarantineEntry *e);

BH__Quarantine *bh__quarantine_new(void)
{
	BH__Quarantine *q = g_new0(BH__Quarantine, 1);

	q->entries = g_hash_table_new_full(hash_fingerprint_, equal_fingerprints_, NULL, g_free);
	return q;
}

void bh__quarantine_delete(BH__Quarantine *q)
{
	if (!q)
		return;
	g_hash_table_unref(q->entries);
	g_free(q);
}

static guint hash_fingerprint_(gconstpointer key)
{
	return (guint)((const BH__Fingerprint *)key)->low;
}

static gboolean equal_fingerprints_(gconstpointer a, gconstpointer b)
{
	return bh__fingerprint_equal(a, b);
}

static BH__QuarantineEntry *find_(const BH__Quarantine *q, const BH__Fingerprint *f)
{
	return g_hash_table_lookup(q->entries, f);
}

/* Returns the entry of a request; creates it if there is none, which may evict another. */
static BH__QuarantineEntry *find_or_add_(BH__Quarantine *q, const BH__Fingerprint *f, uint64_t now_us)
{
	BH__QuarantineEntry *e = find_(q, f);

	if (e)
		return e;
	evict_oldest_(q);
	e = g_new0(BH__QuarantineEntry, 1);
	e->fingerprint = *f;
	e->since_us = now_us;
	g_hash_table_insert(q->entries, &e->fingerprint, e);
	return e;
}

/* Returns true if entry `a` is older than `b`. An age may exceed the uptime of this node's clock, so that
 * `since_us` may wrap around; the sign of the difference is right in that case too. */
static bool is_older_(const BH__QuarantineEntry *a, const BH__QuarantineEntry *b)
{
	return (int64_t)(a->since_us - b->since_us) < 0;
}

/* Evicts the oldest entry if the table is full. Evicts a quarantined entry only if all entries are. */
static void evict_oldest_(BH__Quarantine *q)
{
	BH__QuarantineEntry *oldest = NULL;
	GHashTableIter it;
	gpointer value;

	if (g_hash_table_size(q->entries) < ENTRIES_MAX_)
		return;
	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		BH__QuarantineEntry *e = value;
		bool held = e->state == BH__QUARANTINE_HELD;
		bool oldest_held = oldest && oldest->state == BH__QUARANTINE_HELD;
		if (!oldest || held < oldest_held || (held == oldest_held && is_older_(e, oldest)))
			oldest = e;
	}
	g_hash_table_remove(q->entries, &oldest->fingerprint);
}

/* Returns the weight of the evidence against a request, in halves of a crash. The weight of a quarantined
 * request is UINT32_MAX, so that a crash under it counts against no other request. */
static uint32_t get_weight_(const BH__Quarantine *q, const BH__Fingerprint *f)
{
	const BH__QuarantineEntry *e = find_(q, f);

	if (!e || e->state == BH__QUARANTINE_CLEARED)
		return 0;
	return e->state == BH__QUARANTINE_HELD ? UINT32_MAX : e->weight;
}

/* Adds the evidence of one crash to an entry; a cleared entry starts from zero. */
static void add_evidence_(BH__QuarantineEntry *e, uint64_t endpoint_id, uint32_t weight, uint64_t now_us)
{
	if (e->state == BH__QUARANTINE_CLEARED) {
		e->weight = 0;
		e->crash_count = 0;
		e->times_held = 0;
	}
	e->weight += weight;
	e->since_us = now_us;
	if (e->crash_count < BH__QUARANTINE_CRASHES_MAX)
		e->crash[e->crash_count++] = endpoint_id;
}

/* Counts the crash of an endpoint against the requests that were under way on it, and appends the entries
 * that changed to `changed`. Requests reported later are passed in further calls with the `finding` of the
 * first call, which the caller initialises with zeros.
 *
 * Most of these requests are innocent, and several may meet again on the endpoint to which they are
 * dispatched next. Therefore a crash counts only against requests for which no other request explains it (see
 * EXPLAINED_LEAD_), and three crashes quarantine a request only if it alone had the most evidence of all
 * under way. A request that shares the most evidence with others is quarantined one crash later, unless a
 * crash without them comes first. */
void bh__quarantine_process_crash(BH__Quarantine *q, uint64_t endpoint_id, const BH__CrashSuspect *suspect,
								  unsigned count, BH__CrashFinding *finding, GArray *changed, uint64_t now_us)
{
	find_max_weight_(q, suspect, count, finding);
	for (unsigned i = 0; i < count; i++) {
		const BH__CrashSuspect *s = &suspect[i];
		uint32_t weight = get_weight_(q, &s->fingerprint);
		bool is_sole_max = weight == finding->max_weight && finding->max_weight_count == 1;
		uint32_t threshold_weight =
			is_sole_max ? BH__QUARANTINE_THRESHOLD_WEIGHT : BH__QUARANTINE_THRESHOLD_WEIGHT_SHARED;
		BH__QuarantineEntry *e;
		if ((uint64_t)weight + EXPLAINED_LEAD_ < finding->max_weight ||
			is_counted_(q, s, endpoint_id, now_us))
			continue;
		e = find_or_add_(q, &s->fingerprint, now_us);
		add_evidence_(e, endpoint_id, s->weight, now_us);
		apply_event_(q, e,
					 e->weight >= threshold_weight ? BH__QUARANTINE_THRESHOLD_CRASH : BH__QUARANTINE_CRASH,
					 now_us);
		g_array_append_val(changed, *e);
	}
}

/* Updates `finding` with the highest prior weight of the suspects and the number of suspects that have it. */
static void find_max_weight_(const BH__Quarantine *q, const BH__CrashSuspect *suspect, unsigned count,
							 BH__CrashFinding *finding)
{
	for (unsigned i = 0; i < count; i++) {
		uint32_t weight = get_weight_(q, &suspect[i].fingerprint);
		if (weight > finding->max_weight || !finding->max_weight_count) {
			finding->max_weight = weight;
			finding->max_weight_count = 0;
		}
		finding->max_weight_count += weight == finding->max_weight;
	}
}

/* Returns true if this crash has been counted against the request, or need not be because the request is
 * quarantined: it was dispatched before that. */
static bool is_counted_(const BH__Quarantine *q, const BH__CrashSuspect *s, uint64_t endpoint_id,
						uint64_t now_us)
{
	const BH__QuarantineEntry *e = find_(q, &s->fingerprint);

	if (e && e->state == BH__QUARANTINE_HELD)
		return true;
	if (!e || now_us - e->since_us >= SAME_CRASH_US_)
		return false;
	for (unsigned i = 0; i < e->crash_count; i++)
		if (e->crash[i] == endpoint_id)
			return true;
	return false;
}

/* Applies an event to an entry: sets the next state, increments the version and updates the counters. */
static void apply_event_(BH__Quarantine *q, BH__QuarantineEntry *e, BH__QuarantineEvent event,
						 uint64_t now_us)
{
	BH__QuarantineState old = e->state;

	e->state = Transitions_[old][event];
	e->version++;
	if (e->state == BH__QUARANTINE_HELD && old != BH__QUARANTINE_HELD) {
		e->since_us = now_us;
		e->times_held++;
		q->counters.held++;
	}
	if (e->state == BH__QUARANTINE_CLEARED && old != BH__QUARANTINE_CLEARED) {
		e->since_us = now_us;
		q->counters.cleared++;
	}
}

/* Applies an event other than a crash to a request. Returns true if the state of its entry changes. */
bool bh__quarantine_process_event(BH__Quarantine *q, const BH__Fingerprint *f, BH__QuarantineEvent event,
								  uint64_t now_us)
{
	BH__QuarantineEntry *e = find_(q, f);

	if (!e || Transitions_[e->state][event] == e->state)
		return false;
	apply_event_(q, e, event, now_us);
	return true;
}

/* Merges the entry of another node; its `since_us` is by this node's clock. The higher version wins; of equal
 * versions, the higher state. Returns false if the received entry does not win or has expired. */
bool bh__quarantine_merge(BH__Quarantine *q, const BH__QuarantineEntry *entry, uint64_t now_us)
{
	BH__QuarantineEntry *e = find_(q, &entry->fingerprint);
	bool was_held = e && e->state == BH__QUARANTINE_HELD;

	if (e && (entry->version < e->version || (entry->version == e->version && entry->state <= e->state)))
		return false;
	if (now_us - entry->since_us >= get_lifetime_us_(entry))
		return false;
	e = find_or_add_(q, &entry->fingerprint, now_us);
	*e = *entry;
	q->counters.held += e->state == BH__QUARANTINE_HELD && !was_held;
	return true;
}

/* Returns the time in us from `since_us` until an entry's state expires. */
static uint64_t get_lifetime_us_(const BH__QuarantineEntry *e)
{
	uint32_t doublings = MIN(e->times_held ? e->times_held - 1 : 0, QUARANTINE_DOUBLINGS_MAX_);

	return e->state == BH__QUARANTINE_HELD || e->state == BH__QUARANTINE_PROBATION
			   ? QUARANTINE_US_ << doublings
			   : SUSPECT_LIFETIME_US_;
}

/* Expires entries: removes them, or puts them on probation after a quarantine. */
void bh__quarantine_process_tick(BH__Quarantine *q, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		BH__QuarantineEntry *e = value;
		if (now_us - e->since_us < get_lifetime_us_(e))
			continue;
		if (Transitions_[e->state][BH__QUARANTINE_EXPIRE] == REMOVE_ENTRY_) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		apply_event_(q, e, BH__QUARANTINE_EXPIRE, now_us);
		e->since_us = now_us;
		e->weight = BH__QUARANTINE_THRESHOLD_WEIGHT - BH__CRASH_WEIGHT;
	}
}

/* Returns the time in us that is left of a request's quarantine; 0: not quarantined. */
uint64_t bh__quarantine_get_held_us(BH__Quarantine *q, const BH__Fingerprint *f, uint64_t now_us)
{
	const BH__QuarantineEntry *e = find_(q, f);
	uint64_t elapsed_us;

	if (!e || e->state != BH__QUARANTINE_HELD)
		return 0;
	elapsed_us = now_us - e->since_us;
	return elapsed_us < get_lifetime_us_(e) ? get_lifetime_us_(e) - elapsed_us : 0;
}

/* Counts a request that was refused because it is quarantined. */
void bh__quarantine_note_refusal(BH__Quarantine *q)
{
	q->counters.refusals++;
}

/* Returns the entry of a request, or NULL if there is none. */
const BH__QuarantineEntry *bh__quarantine_find(const BH__Quarantine *q, const BH__Fingerprint *f)
{
	return find_(q, f);
}

/* Returns true if the other nodes are notified of an entry. */
static bool is_notified_(const BH__QuarantineEntry *e)
{
	return e->weight >= BH__QUARANTINE_NOTIFY_WEIGHT;
}

/* Appends all entries (BH__QuarantineEntry) to `out`, or only those of which other nodes are notified. */
void bh__quarantine_list(const BH__Quarantine *q, bool only_notified, GArray *out)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const BH__QuarantineEntry *e = value;
		if (!only_notified || is_notified_(e))
			g_array_append_val(out, *e);
	}
}

/* Returns a hash of the entries that all nodes share; 0 if there are none. */
uint64_t bh__quarantine_get_hash(const BH__Quarantine *q)
{
	uint64_t hash = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const BH__QuarantineEntry *e = value;
		if (is_notified_(e))
			hash ^= bh__hash_pair(bh__hash_pair(e->fingerprint.high, e->fingerprint.low),
								  (uint64_t)e->version << 2 | e->state);
	}
	return hash;
}

const BH__QuarantineCounters *bh__quarantine_get_counters(const BH__Quarantine *q)
{
	return &q->counters;
}
