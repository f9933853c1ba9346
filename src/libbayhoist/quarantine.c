/* SPDX-License-Identifier: BSD-3-Clause */
/* Table of subjects suspected of crashing endpoints. */
#include "quarantine_internal.h"

#include <string.h>
#include "bayhoist/hash.h"

/* Lifetime of a suspected or cleared entry since its last evidence or its clearing. By then the caller has
 * abandoned the request or received an answer. */
#define SUSPECT_LIFETIME_US_ (60 * BH__SECOND_US)
/* Duration of the first quarantine; each further one lasts twice as long. A request that keeps crashing
 * endpoints therefore costs one endpoint after ten minutes, the next after twenty. */
#define QUARANTINE_US_ (600 * BH__SECOND_US)
#define QUARANTINE_DOUBLINGS_MAX_ 7 /* up to 21 hours */
/* Time for which a subject stays quarantined on the other nodes after one has begun to try it again. If all
 * began at once, each of the requests under way would cost an endpoint before the first crash is known. */
#define FIRST_TRY_US_ (60 * BH__SECOND_US)
/* Entries of the table, of 150 bytes each. The oldest entries that are not quarantined are evicted first. */
#define ENTRIES_MAX_ 2048
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
	GHashTable *entries;            /* BH__QuarantineEntry by fingerprint */
	BH__QuarantineIsFirst is_first; /* NULL: this node is always the first */
	void *is_first_ctx;
	BH__QuarantineCounters counters;
};

static guint hash_fingerprint_(gconstpointer key);
static gboolean equal_fingerprints_(gconstpointer a, gconstpointer b);
static bool is_older_(const BH__QuarantineEntry *a, const BH__QuarantineEntry *b);
static void evict_oldest_(BH__Quarantine *q);
static uint64_t get_lifetime_us_(const BH__Quarantine *q, const BH__QuarantineEntry *e);
static uint64_t get_quarantine_us_(const BH__QuarantineEntry *e);
static void put_on_probation_(BH__Quarantine *q, BH__QuarantineEntry *e, uint64_t now_us);
static uint64_t get_left_us_(const BH__Quarantine *q, const BH__QuarantineEntry *e, uint64_t now_us);
static bool has_whole_tie_(const BH__Quarantine *q, const BH__CrashSubjects *s, const BH__QuarantineEntry *e);
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

/* Returns the entry of a subject, or NULL if there is none. */
BH__QuarantineEntry *bh__quarantine_find_entry(const BH__Quarantine *q, const BH__Fingerprint *f)
{
	return g_hash_table_lookup(q->entries, f);
}

/* Returns the entry of a subject; creates it if there is none, which may evict another. */
BH__QuarantineEntry *bh__quarantine_find_or_add(BH__Quarantine *q, const BH__Fingerprint *f,
												BH__SubjectKind kind, uint64_t now_us)
{
	BH__QuarantineEntry *e = bh__quarantine_find_entry(q, f);

	if (e)
		return e;
	evict_oldest_(q);
	e = g_new0(BH__QuarantineEntry, 1);
	e->fingerprint = *f;
	e->kind = kind;
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

/* Sets who tells whether this node is the first to try a subject again. */
void bh__quarantine_set_is_first(BH__Quarantine *q, BH__QuarantineIsFirst is_first, void *ctx)
{
	q->is_first = is_first;
	q->is_first_ctx = ctx;
}

/* Applies an event to an entry: sets the next state, increments the version and updates the counters. */
void bh__quarantine_apply_event(BH__Quarantine *q, BH__QuarantineEntry *e, BH__QuarantineEvent event,
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

/* Applies an event other than a crash to a subject, and appends the entries that change to `changed`: its
 * own, and those that were tied with it. Returns true if its state changes. */
bool bh__quarantine_process_event(BH__Quarantine *q, const BH__Fingerprint *f, BH__QuarantineEvent event,
								  GArray *changed, uint64_t now_us)
{
	BH__QuarantineEntry *e = bh__quarantine_find_entry(q, f);
	uint64_t tie_id = e ? e->tie_id : 0;

	if (!e || Transitions_[e->state][event] == e->state)
		return false;
	e->tie_id = 0;
	e->tie_size = 0;
	bh__quarantine_apply_event(q, e, event, now_us);
	g_array_append_val(changed, *e);
	if (tie_id)
		bh__quarantine_leave_tie(q, tie_id, changed);
	return true;
}

/* Takes one out of the number of tied subjects, because one is none any more, and appends the entries of the
 * others to `changed`. */
void bh__quarantine_leave_tie(BH__Quarantine *q, uint64_t tie_id, GArray *changed)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		BH__QuarantineEntry *e = value;
		if (e->tie_id != tie_id)
			continue;
		e->tie_size--;
		e->version++;
		g_array_append_val(changed, *e);
	}
}

/* Merges the entry of another node; its `since_us` is by this node's clock. The higher version wins; of equal
 * versions, the higher state. Returns false if the received entry does not win or has expired. */
bool bh__quarantine_merge(BH__Quarantine *q, const BH__QuarantineEntry *entry, uint64_t now_us)
{
	BH__QuarantineEntry *e = bh__quarantine_find_entry(q, &entry->fingerprint);
	bool was_held = e && e->state == BH__QUARANTINE_HELD;

	if (e && (entry->version < e->version || (entry->version == e->version && entry->state <= e->state)))
		return false;
	if (now_us - entry->since_us >= get_lifetime_us_(q, entry))
		return false;
	if (entry->state == BH__QUARANTINE_PROBATION && e && get_left_us_(q, e, now_us))
		return false; /* another node is the first to try it again */
	e = bh__quarantine_find_or_add(q, &entry->fingerprint, entry->kind, now_us);
	*e = *entry;
	q->counters.held += e->state == BH__QUARANTINE_HELD && !was_held;
	return true;
}

/* Returns the time in us from `since_us` until an entry's state expires. */
static uint64_t get_lifetime_us_(const BH__Quarantine *q, const BH__QuarantineEntry *e)
{
	if (e->state != BH__QUARANTINE_HELD && e->state != BH__QUARANTINE_PROBATION)
		return SUSPECT_LIFETIME_US_;
	if (e->state == BH__QUARANTINE_HELD && q->is_first && !q->is_first(q->is_first_ctx, &e->fingerprint))
		return get_quarantine_us_(e) + FIRST_TRY_US_;
	return get_quarantine_us_(e);
}

/* Returns how long the current quarantine of a subject lasts. */
static uint64_t get_quarantine_us_(const BH__QuarantineEntry *e)
{
	uint32_t doublings = MIN(e->times_held ? e->times_held - 1 : 0, QUARANTINE_DOUBLINGS_MAX_);

	return QUARANTINE_US_ << doublings;
}

/* Expires entries: removes them, or puts them on probation after a quarantine. */
void bh__quarantine_process_tick(BH__Quarantine *q, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		BH__QuarantineEntry *e = value;
		if (now_us - e->since_us < get_lifetime_us_(q, e))
			continue;
		if (Transitions_[e->state][BH__QUARANTINE_EXPIRE] == REMOVE_ENTRY_) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		put_on_probation_(q, e, now_us);
	}
}

/* Puts a subject on probation whose quarantine has expired, wherever it is tried first, because an endpoint
 * has crashed under it. */
void bh__quarantine_expire(BH__Quarantine *q, BH__QuarantineEntry *e, uint64_t now_us)
{
	if (e->state == BH__QUARANTINE_HELD && now_us - e->since_us >= get_quarantine_us_(e))
		put_on_probation_(q, e, now_us);
}

/* Puts a subject on probation, in which one more crash quarantines it. This is no news to other nodes, whose
 * time ends by itself. */
static void put_on_probation_(BH__Quarantine *q, BH__QuarantineEntry *e, uint64_t now_us)
{
	bh__quarantine_apply_event(q, e, BH__QUARANTINE_EXPIRE, now_us);
	e->version--;
	e->since_us += get_quarantine_us_(e);
	e->weight = BH__QUARANTINE_THRESHOLD_WEIGHT - BH__CRASH_WEIGHT;
}

/* Returns the time in us that is left of a subject's quarantine; 0: not quarantined. */
uint64_t bh__quarantine_get_held_us(const BH__Quarantine *q, const BH__Fingerprint *f, uint64_t now_us)
{
	const BH__QuarantineEntry *e = bh__quarantine_find_entry(q, f);

	return e ? get_left_us_(q, e, now_us) : 0;
}

static uint64_t get_left_us_(const BH__Quarantine *q, const BH__QuarantineEntry *e, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - e->since_us;

	if (e->state != BH__QUARANTINE_HELD || elapsed_us >= get_lifetime_us_(q, e))
		return 0;
	return get_lifetime_us_(q, e) - elapsed_us;
}

/* Returns the entry for which a request must be refused, the one that lasts longest, or NULL if there is
 * none. */
const BH__QuarantineEntry *bh__quarantine_find_refusal(const BH__Quarantine *q, const BH__CrashSubjects *s,
													   uint64_t now_us)
{
	const BH__QuarantineEntry *found = NULL;
	uint64_t found_us = 0;

	for (uint32_t i = 0; g_hash_table_size(q->entries) && i < bh__crash_subjects_get_count(s); i++) {
		BH__SubjectKind kind;
		BH__Fingerprint f = bh__crash_subjects_get(s, i, &kind);
		const BH__QuarantineEntry *e = bh__quarantine_find_entry(q, &f);
		uint64_t left_us = e ? get_left_us_(q, e, now_us) : 0;
		if (left_us <= found_us || !has_whole_tie_(q, s, e))
			continue;
		found = e;
		found_us = left_us;
	}
	return found;
}

/* Returns true if a request has all subjects that are tied with the entry's. */
static bool has_whole_tie_(const BH__Quarantine *q, const BH__CrashSubjects *s, const BH__QuarantineEntry *e)
{
	uint32_t count = 0;

	for (uint32_t i = 0; e->tie_size > 1 && i < bh__crash_subjects_get_count(s); i++) {
		BH__SubjectKind kind;
		BH__Fingerprint f = bh__crash_subjects_get(s, i, &kind);
		const BH__QuarantineEntry *other = bh__quarantine_find_entry(q, &f);
		count += other && other->tie_id == e->tie_id;
	}
	return e->tie_size <= 1 || count >= e->tie_size;
}

/* Counts a request that was refused because a subject of this kind is quarantined. */
void bh__quarantine_note_refusal(BH__Quarantine *q, BH__SubjectKind kind)
{
	q->counters.refusals[kind]++;
}

/* Returns the entry of a subject, or NULL if there is none. */
const BH__QuarantineEntry *bh__quarantine_find(const BH__Quarantine *q, const BH__Fingerprint *f)
{
	return bh__quarantine_find_entry(q, f);
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
		BH__QuarantineState state = e->state == BH__QUARANTINE_PROBATION ? BH__QUARANTINE_HELD : e->state;
		if (is_notified_(e))
			hash ^= bh__hash_pair(bh__hash_pair(e->fingerprint.high, e->fingerprint.low),
								  (uint64_t)e->version << 2 | state);
	}
	return hash;
}

const BH__QuarantineCounters *bh__quarantine_get_counters(const BH__Quarantine *q)
{
	return &q->counters;
}
