/* SPDX-License-Identifier: BSD-3-Clause */
/* The table of requests that are suspected to crash endpoints. */
#include "bayhoist/quarantine.h"

#include <string.h>
#include "bayhoist/hash.h"

/* A suspect without a further crash is forgotten: by then its caller has given up or been served. */
#define SUSPECT_US_ (60 * BH__SECOND_US)
/* For which a request is held at first; twice as long each time after that. One that goes on crashing what
 * runs it costs one endpoint in ten minutes, then in twenty. */
#define HELD_US_ (600 * BH__SECOND_US)
#define HELD_DOUBLINGS_ 7 /* up to 21 hours */
#define ENTRIES_MAX_ 2048 /* of 100 bytes each; the oldest suspects go first */
/* Two nodes that judge one after the other may both be told of one crash; an endpoint is not back and crashes
 * again so soon. */
#define SAME_CRASH_US_ BH__SECOND_US
/* A crash is explained, for a request under way in it, by another one that has more than this more evidence
 * against it. Where any more explains it, evidence against a second such request is lost beside the
 * first: 2.45 sendings a run later than 0.3 s after the third crash, for 0.68 with this (bench_suspects,
 * 1,000 runs). */
#define EXPLAINED_LEAD_ BH__CRASH_WEIGHT
#define NO_STATE_ BH__QUARANTINE_STATE_COUNT /* the entry is dropped */

const char *const BH__QuarantineStateString[] = {"suspected", "held", "probation", "cleared"};

/* What becomes of an entry. One that is cleared stays for a while, so that a node which has not heard of it
 * does not bring the old one back. */
static const BH__QuarantineState Next_[BH__QUARANTINE_STATE_COUNT][BH__QUARANTINE_EVENT_COUNT] = {
	/* crash, condemn, serve, release, expire */
	{BH__QUARANTINE_SUSPECTED, BH__QUARANTINE_HELD, BH__QUARANTINE_CLEARED, BH__QUARANTINE_CLEARED,
	 NO_STATE_},
	{BH__QUARANTINE_HELD, BH__QUARANTINE_HELD, BH__QUARANTINE_CLEARED, BH__QUARANTINE_CLEARED,
	 BH__QUARANTINE_PROBATION},
	{BH__QUARANTINE_HELD, BH__QUARANTINE_HELD, BH__QUARANTINE_CLEARED, BH__QUARANTINE_CLEARED, NO_STATE_},
	{BH__QUARANTINE_SUSPECTED, BH__QUARANTINE_HELD, BH__QUARANTINE_CLEARED, BH__QUARANTINE_CLEARED,
	 NO_STATE_},
};

struct BH__Quarantine {
	GHashTable *entries; /* BH__QuarantineEntry by its fingerprint */
	BH__QuarantineCounters counters;
};

static guint hash_fingerprint_(gconstpointer key);
static gboolean equal_fingerprints_(gconstpointer a, gconstpointer b);
static BH__QuarantineEntry *find_(const BH__Quarantine *q, const BH__Fingerprint *f);
static BH__QuarantineEntry *add_(BH__Quarantine *q, const BH__Fingerprint *f, uint64_t now_us);
static bool is_older_(const BH__QuarantineEntry *a, const BH__QuarantineEntry *b);
static void make_room_(BH__Quarantine *q);
static uint32_t weight_(const BH__Quarantine *q, const BH__Fingerprint *f);
static void weigh_(const BH__Quarantine *q, const BH__CrashSuspect *suspect, unsigned count,
				   BH__CrashFinding *finding);
static bool is_counted_(const BH__Quarantine *q, const BH__CrashSuspect *s, uint64_t endpoint_id,
						uint64_t now_us);
static void add_evidence_(BH__QuarantineEntry *e, uint64_t endpoint_id, uint32_t weight, uint64_t now_us);
static void change_(BH__Quarantine *q, BH__QuarantineEntry *e, BH__QuarantineEvent event, uint64_t now_us);
static uint64_t life_us_(const BH__QuarantineEntry *e);
static bool is_told_(const BH__QuarantineEntry *e);

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

/* Returns the entry of a request, a new one if there is none. */
static BH__QuarantineEntry *add_(BH__Quarantine *q, const BH__Fingerprint *f, uint64_t now_us)
{
	BH__QuarantineEntry *e = find_(q, f);

	if (e)
		return e;
	make_room_(q);
	e = g_new0(BH__QuarantineEntry, 1);
	e->fingerprint = *f;
	e->since_us = now_us;
	g_hash_table_insert(q->entries, &e->fingerprint, e);
	return e;
}

/* Ages may be longer than this node's clock has run, so that a time is before another if the difference is
 * negative. */
static bool is_older_(const BH__QuarantineEntry *a, const BH__QuarantineEntry *b)
{
	return (int64_t)(a->since_us - b->since_us) < 0;
}

/* Drops the oldest entry of a table that is full: one that is held only if all are. */
static void make_room_(BH__Quarantine *q)
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

/* Returns the weight of the evidence against a request so far. One that is held explains a crash for all
 * others. */
static uint32_t weight_(const BH__Quarantine *q, const BH__Fingerprint *f)
{
	const BH__QuarantineEntry *e = find_(q, f);

	if (!e || e->state == BH__QUARANTINE_CLEARED)
		return 0;
	return e->state == BH__QUARANTINE_HELD ? UINT32_MAX : e->weight;
}

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

/* An endpoint has crashed under these requests; entries that changed are added to `changed`. Requests that
 * are heard of later come in further calls, with the `finding` of the first, which begins as zeros.
 *
 * Most of them are innocent, and several may meet again on the endpoint to which they were sent next. So a
 * crash counts against those only that no other explains, and three of them condemn the one request that had
 * the most evidence against it of all that were under way. One that shares the most with others is held a
 * crash later, unless it goes on without them. */
void bh__quarantine_process_crash(BH__Quarantine *q, uint64_t endpoint_id, const BH__CrashSuspect *suspect,
								  unsigned count, BH__CrashFinding *finding, GArray *changed, uint64_t now_us)
{
	weigh_(q, suspect, count, finding);
	for (unsigned i = 0; i < count; i++) {
		const BH__CrashSuspect *s = &suspect[i];
		uint32_t weight = weight_(q, &s->fingerprint);
		bool is_alone = weight == finding->most && finding->sharing == 1;
		uint32_t condemning = is_alone ? BH__CONDEMNING_WEIGHT : BH__CONDEMNING_WEIGHT_SHARED;
		BH__QuarantineEntry *e;
		if ((uint64_t)weight + EXPLAINED_LEAD_ < finding->most || is_counted_(q, s, endpoint_id, now_us))
			continue;
		e = add_(q, &s->fingerprint, now_us);
		add_evidence_(e, endpoint_id, s->weight, now_us);
		change_(q, e, e->weight >= condemning ? BH__QUARANTINE_CONDEMN : BH__QUARANTINE_CRASH, now_us);
		g_array_append_val(changed, *e);
	}
}

/* Finds the most evidence against any of the suspects so far, and how many of them share it. */
static void weigh_(const BH__Quarantine *q, const BH__CrashSuspect *suspect, unsigned count,
				   BH__CrashFinding *finding)
{
	for (unsigned i = 0; i < count; i++) {
		uint32_t weight = weight_(q, &suspect[i].fingerprint);
		if (weight > finding->most || !finding->sharing) {
			finding->most = weight;
			finding->sharing = 0;
		}
		finding->sharing += weight == finding->most;
	}
}

/* Returns true if this very crash has been counted against a request, or need not be: one that is held was on
 * its way already. */
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

/* Moves an entry on in its table of states. */
static void change_(BH__Quarantine *q, BH__QuarantineEntry *e, BH__QuarantineEvent event, uint64_t now_us)
{
	BH__QuarantineState old = e->state;

	e->state = Next_[old][event];
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

/* Something other than a crash has happened to a request. Returns true if that changes its entry. */
bool bh__quarantine_process_event(BH__Quarantine *q, const BH__Fingerprint *f, BH__QuarantineEvent event,
								  uint64_t now_us)
{
	BH__QuarantineEntry *e = find_(q, f);

	if (!e || Next_[e->state][event] == e->state)
		return false;
	change_(q, e, event, now_us);
	return true;
}

/* Takes another node's entry, in which `since_us` is by this node's clock. Returns true if it is news. */
bool bh__quarantine_learn(BH__Quarantine *q, const BH__QuarantineEntry *entry, uint64_t now_us)
{
	BH__QuarantineEntry *e = find_(q, &entry->fingerprint);
	bool was_held = e && e->state == BH__QUARANTINE_HELD;

	if (e && (entry->version < e->version || (entry->version == e->version && entry->state <= e->state)))
		return false;
	if (now_us - entry->since_us >= life_us_(entry))
		return false;
	e = add_(q, &entry->fingerprint, now_us);
	*e = *entry;
	q->counters.held += e->state == BH__QUARANTINE_HELD && !was_held;
	return true;
}

/* Returns for how long an entry stays as it is. */
static uint64_t life_us_(const BH__QuarantineEntry *e)
{
	uint32_t doublings = MIN(e->times_held ? e->times_held - 1 : 0, HELD_DOUBLINGS_);

	return e->state == BH__QUARANTINE_HELD || e->state == BH__QUARANTINE_PROBATION ? HELD_US_ << doublings
																				   : SUSPECT_US_;
}

/* Ends what has lasted for its time. */
void bh__quarantine_process_tick(BH__Quarantine *q, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		BH__QuarantineEntry *e = value;
		if (now_us - e->since_us < life_us_(e))
			continue;
		if (Next_[e->state][BH__QUARANTINE_EXPIRE] == NO_STATE_) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		change_(q, e, BH__QUARANTINE_EXPIRE, now_us);
		e->since_us = now_us;
		e->weight = BH__CONDEMNING_WEIGHT - BH__CRASH_WEIGHT;
	}
}

/* Returns for how much longer a request is held; 0: it is not. */
uint64_t bh__quarantine_get_held_us(BH__Quarantine *q, const BH__Fingerprint *f, uint64_t now_us)
{
	const BH__QuarantineEntry *e = find_(q, f);
	uint64_t passed_us;

	if (!e || e->state != BH__QUARANTINE_HELD)
		return 0;
	passed_us = now_us - e->since_us;
	return passed_us < life_us_(e) ? life_us_(e) - passed_us : 0;
}

void bh__quarantine_note_refusal(BH__Quarantine *q)
{
	q->counters.refusals++;
}

/* Returns the entry of a request, or NULL. */
const BH__QuarantineEntry *bh__quarantine_find(const BH__Quarantine *q, const BH__Fingerprint *f)
{
	return find_(q, f);
}

/* Returns true if other nodes are told of an entry. */
static bool is_told_(const BH__QuarantineEntry *e)
{
	return e->weight >= BH__TOLD_WEIGHT;
}

/* Adds all entries (BH__QuarantineEntry) to `out`, or only those that other nodes are told of. */
void bh__quarantine_list(const BH__Quarantine *q, bool only_told, GArray *out)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const BH__QuarantineEntry *e = value;
		if (!only_told || is_told_(e))
			g_array_append_val(out, *e);
	}
}

/* Returns a hash of what all nodes are to know alike; 0 of nothing. */
uint64_t bh__quarantine_get_hash(const BH__Quarantine *q)
{
	uint64_t hash = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const BH__QuarantineEntry *e = value;
		if (is_told_(e))
			hash ^= bh__hash_pair(bh__hash_pair(e->fingerprint.high, e->fingerprint.low),
								  (uint64_t)e->version << 2 | e->state);
	}
	return hash;
}

const BH__QuarantineCounters *bh__quarantine_get_counters(const BH__Quarantine *q)
{
	return &q->counters;
}
