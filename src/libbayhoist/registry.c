/* SPDX-License-Identifier: BSD-3-Clause */
/* The table of registered endpoints and the merging of endpoint updates. The history of each endpoint only
 * grows: the latest version as of which its entry was gone, its latest start with the last write of that
 * start's entry, and the latest start that announced its leaving. The result therefore does not depend on the
 * order or number of updates, and an update from an older version has no effect. Otherwise a node that
 * replays a stretch of the store's history already known to the others would broadcast outdated changes, and
 * the nodes would use an endpoint that has left, in one case for two seconds. */
#include "registry_internal.h"

#include <string.h>
#include "bayhoist/hash.h"
#include "bayhoist/last_endpoints.h"

/* Maximum number of departed endpoints whose history is kept: more than the number that leave during a
 * release of the largest fleet. */
#define DEPARTURES_MAX_ 1024
/* A change of an endpoint's remaining cold time by more than this means that it has become cold again or
 * warm, and is sent to all nodes. Smaller differences are ignored, because the remaining time varies slightly
 * with each check-in. */
#define COLD_TOLERANCE_US_ BH__SECOND_US

static bool merge_(BH__Registry *r, uint64_t id, const BH__EndpointEntry *entry,
				   const BH__EndpointHistory *update, uint64_t gone_at_us, BH__StoreVersion as_of);
static bool merge_listed_(BH__Registry *r, BH__RegisteredEndpoint *e, const BH__EndpointEntry *entry,
						  const BH__EndpointHistory *update, uint64_t gone_at_us, BH__StoreVersion as_of);
static void note_invisible_change_(BH__Registry *r, BH__RegisteredEndpoint *e,
								   const BH__EndpointHistory *before, BH__StoreVersion as_of);
static BH__StoreVersion note_change_(BH__Registry *r, BH__StoreVersion as_of);
static bool is_entry_later_(const BH__EndpointHistory *known, const BH__EndpointHistory *update);
static void merge_past_(BH__EndpointHistory *history, const BH__EndpointHistory *update);
static bool is_gone_(const BH__EndpointHistory *history);
static bool is_draining_(const BH__EndpointHistory *history);
static bool differs_in_cold_(const BH__Registry *r, const BH__EndpointEntry *was,
							 const BH__EndpointEntry *is);
static BH__RegisteredEndpoint *add_endpoint_(BH__Registry *r, uint64_t id);
static void set_entry_(BH__Registry *r, BH__RegisteredEndpoint *e, const BH__EndpointEntry *entry);
static void merge_departed_(BH__Registry *r, uint64_t id, const BH__EndpointHistory *history,
							BH__StoreVersion as_of);
static void remove_departed_(BH__Registry *r, BH__RegisteredEndpoint *e);
static void add_departure_(BH__Registry *r, const BH__EndpointDeparture *departure);
static void evict_oldest_departure_(BH__Registry *r);

BH__Registry *bh__registry_new(uint32_t seed)
{
	BH__Registry *r = g_new0(BH__Registry, 1);

	r->table = g_ptr_array_new_with_free_func(g_free);
	r->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	r->rand = g_rand_new_with_seed(seed);
	r->departed = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	r->halls = g_array_new(FALSE, FALSE, sizeof(BH__HallDrain));
	return r;
}

void bh__registry_delete(BH__Registry *r)
{
	g_hash_table_unref(r->by_id);
	g_ptr_array_unref(r->table);
	g_rand_free(r->rand);
	g_hash_table_unref(r->departed);
	g_array_unref(r->halls);
	g_free(r);
}

/* Returns a number that grows each time the set of usable endpoints changes: an endpoint appears, drains or
 * departs. */
uint64_t bh__registry_get_version(const BH__Registry *r)
{
	return r->version;
}

/* Returns the store version up to which all changes are in the table. */
BH__StoreVersion bh__registry_get_store_version(const BH__Registry *r)
{
	return r->store_version;
}

/* Returns the store version with which the last visible change was merged. */
BH__StoreVersion bh__registry_get_changed_store_version(const BH__Registry *r)
{
	return r->changed;
}

/* Records that all changes up to a store version are merged, read from the store or received from a node that
 * had them. */
void bh__registry_set_store_version(BH__Registry *r, BH__StoreVersion store_version)
{
	bh__last_endpoints_note_era(r, store_version.era);
	r->store_version = bh__store_version_max(r->store_version, store_version);
}

/* Starts a new era after the store was restored from a backup, observed by this node or reported by another.
 * `start` is the earliest known version of the new era. Revisions up to it had already been assigned in the
 * previous era, so entries that show them were written in that era, and what this node merged after the
 * backup was made overrides them: the restored store does not bring back an endpoint that has left. Has no
 * effect if this node has no state yet or already knows the era with an earlier start. */
void bh__registry_begin_era(BH__Registry *r, BH__StoreVersion start)
{
	bool is_new = !r->era_count || start.era > r->era[0].start.era;

	bh__last_endpoints_note_era(r, start.era);
	if (bh__store_version_is_zero(r->store_version) || !start.revision ||
		start.era < bh__registry_get_era_start(r).era)
		return;
	if (is_new && start.era <= r->store_version.era)
		return;
	if (is_new) {
		memmove(&r->era[1], &r->era[0], (BH__ERAS_KEPT - 1) * sizeof r->era[0]);
		r->era[0] = (BH__EraStart){.start = start, .before = r->store_version.era};
		r->era_count = MIN(r->era_count + 1, BH__ERAS_KEPT);
	}
	else if (start.revision < r->era[0].start.revision) {
		r->era[0].start = start;
	}
}

/* Returns the earliest version of the current era that this node has observed, or zero if it has observed no
 * rollback. */
BH__StoreVersion bh__registry_get_era_start(const BH__Registry *r)
{
	return r->era_count ? r->era[0].start : (BH__StoreVersion){0};
}

/* Returns the version at which an entry was written. For an entry that was part of the restored backup, this
 * is in an earlier era than the one in which it was read. */
BH__StoreVersion bh__registry_get_written_version(const BH__Registry *r, BH__StoreVersion p)
{
	for (unsigned i = 0; i < r->era_count; i++)
		if (p.era == r->era[i].start.era && p.revision <= r->era[i].start.revision)
			p.era = r->era[i].before;
	return p;
}

/* Merges an endpoint's entry that was written at version `listed` and read with all other changes up to
 * `as_of`. Returns true if this changes what this node sees of the endpoint. */
bool bh__registry_put(BH__Registry *r, const BH__EndpointEntry *entry, BH__StoreVersion listed,
					  BH__StoreVersion as_of)
{
	BH__EndpointHistory update = {.listed = bh__registry_get_written_version(r, listed),
								  .born_ms = entry->born_ms,
								  .drained = entry->draining,
								  .drained_born_ms = entry->born_ms};

	return merge_(r, bh__hash_name(entry->id), entry, &update, 0, as_of);
}

/* Records that an endpoint's entry did not exist as of version `gone`. The endpoint counts as gone from
 * `gone_at_us` on, unless the entry is written again. If a removal of the same or a later version is known,
 * its time is kept. */
void bh__registry_remove(BH__Registry *r, uint64_t endpoint_id, BH__StoreVersion gone, uint64_t gone_at_us,
						 BH__StoreVersion as_of)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);
	BH__EndpointHistory update = {.gone = gone};

	if (!e || bh__store_version_is_after(gone, e->history.gone))
		merge_(r, endpoint_id, NULL, &update, gone_at_us, as_of);
}

/* Merges the state of a listed endpoint received from another node. Returns true if this changes what this
 * node sees of the endpoint. */
bool bh__registry_put_record(BH__Registry *r, const BH__EndpointRecord *f, BH__StoreVersion as_of,
							 uint64_t now_us)
{
	BH__EndpointHistory update = f->history;
	BH__EndpointEntry entry = f->entry;

	update.listed = bh__registry_get_written_version(r, update.listed);
	entry.cold_until_us = f->cold_in_us ? now_us + f->cold_in_us : 0;
	return merge_(r, bh__hash_name(entry.id), &entry, &update, f->gone_in_us ? now_us + f->gone_in_us : 0,
				  as_of);
}

/* Merges the state of a departed endpoint received from another node. */
void bh__registry_put_departure(BH__Registry *r, const BH__EndpointDeparture *d, BH__StoreVersion as_of)
{
	BH__EndpointHistory update = d->history;

	update.listed = bh__registry_get_written_version(r, update.listed);
	merge_(r, d->endpoint_id, NULL, &update, 0, as_of);
}

/* Records that the incarnation of an endpoint started at `born_ms` has announced its leaving in a response.
 * The announcement has no store version and needs none: it holds for that incarnation regardless of earlier
 * or later reads of its entry, and only a later incarnation is used again. Returns true if this changes what
 * this node sees of an endpoint in the table; for an endpoint that is not in the table yet, the announcement
 * is kept. */
bool bh__registry_note_leaving(BH__Registry *r, uint64_t endpoint_id, uint64_t born_ms)
{
	BH__EndpointHistory update = {.drained = true, .drained_born_ms = born_ms};

	return merge_(r, endpoint_id, NULL, &update, 0, (BH__StoreVersion){0});
}

/* Applies a complete list of endpoints as of a version, read from the store or received from another node.
 * The list does not show what left before, so changes are complete for other nodes only from that version on.
 * Endpoints whose ids (uint64_t) are not in `ids` count as gone as of that version, unless a later write is
 * known. Endpoints already known to be gone do not change. */
void bh__registry_retain_only(BH__Registry *r, GHashTable *ids, BH__StoreVersion as_of, uint64_t gone_at_us)
{
	for (guint i = 0; i < r->table->len; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (!e->gone_at_us && !g_hash_table_contains(ids, &e->endpoint_id))
			bh__registry_remove(r, e->endpoint_id, as_of, gone_at_us, as_of);
	}
	r->complete_from = bh__store_version_max(r->complete_from, as_of);
}

/* Merges an update of an endpoint into its known state. `entry` NULL: the update contains only history.
 * `gone_at_us` 0: a removal takes effect at once. Returns true if what this node sees of an endpoint in the
 * table changes. */
static bool merge_(BH__Registry *r, uint64_t id, const BH__EndpointEntry *entry,
				   const BH__EndpointHistory *update, uint64_t gone_at_us, BH__StoreVersion as_of)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, id);
	BH__EndpointDeparture *d = e ? NULL : g_hash_table_lookup(r->departed, &id);
	BH__EndpointHistory merged = d ? d->history : (BH__EndpointHistory){0};
	BH__EndpointSignals signals = d ? d->signals : (BH__EndpointSignals){0};
	uint64_t born_ms = merged.born_ms;

	if (e)
		return merge_listed_(r, e, entry, update, gone_at_us, as_of);
	merge_past_(&merged, update);
	if (!entry || (is_gone_(&merged) && (d || !gone_at_us))) {
		merge_departed_(r, id, &merged, as_of);
		return false;
	}
	if (!d && !bh__store_version_is_zero(r->evicted_gone_version) &&
		!bh__store_version_is_after(update->listed, r->evicted_gone_version))
		return false; /* it may have departed and been evicted */
	e = add_endpoint_(r, id);
	if (d)
		e->history = merged;
	merge_listed_(r, e, entry, update, gone_at_us, as_of);
	if (e->entry.born_ms == born_ms) { /* it is the same incarnation */
		e->signals = signals;
		bh__endpoint_rate_set_advertised(&e->rate, &e->signals.advertised, 0);
	}
	return true;
}

/* Merges an update of an endpoint in the table, which may have just been added without an entry. Returns true
 * if what this node sees of it changes. */
static bool merge_listed_(BH__Registry *r, BH__RegisteredEndpoint *e, const BH__EndpointEntry *entry,
						  const BH__EndpointHistory *update, uint64_t gone_at_us, BH__StoreVersion as_of)
{
	BH__EndpointHistory before = e->history;
	BH__EndpointEntry was = e->entry;
	uint64_t was_gone_at_us = e->gone_at_us;
	bool is_new = !was.id[0];
	bool was_leaving = is_new || was.draining || was_gone_at_us;

	merge_past_(&e->history, update);
	if (is_new || (entry && is_entry_later_(&before, update)))
		set_entry_(r, e, entry);
	e->entry.draining = is_draining_(&e->history);
	if (!is_gone_(&e->history))
		e->gone_at_us = 0;
	else if (!was_gone_at_us || bh__store_version_is_after(e->history.gone, before.gone))
		e->gone_at_us = MAX(gone_at_us, 1);
	else if (!bh__store_version_compare(update->gone, e->history.gone))
		e->gone_at_us = MIN(e->gone_at_us, MAX(gone_at_us, 1));
	if (!e->entry.draining && !e->gone_at_us)
		e->left_after_us = 0;
	else if (!was_leaving)
		e->left_after_us = bh__last_endpoints_get_written_after_us(r, r->entries_as_of_us);
	if (!is_new && was_gone_at_us == e->gone_at_us && was.draining == e->entry.draining &&
		was.born_ms == e->entry.born_ms && !strcmp(was.address, e->entry.address) &&
		!differs_in_cold_(r, &was, &e->entry)) {
		note_invisible_change_(r, e, &before, as_of);
		return false;
	}
	e->merged_version = note_change_(r, as_of);
	r->version++;
	return true;
}

/* Returns true if the remaining cold times of two entries differ by more than the tolerance. */
static bool differs_in_cold_(const BH__Registry *r, const BH__EndpointEntry *was, const BH__EndpointEntry *is)
{
	uint64_t was_us = MAX(was->cold_until_us, r->now_us);
	uint64_t is_us = MAX(is->cold_until_us, r->now_us);

	return MAX(was_us, is_us) - MIN(was_us, is_us) > COLD_TOLERANCE_US_;
}

/* Records a change that does not affect the use of an endpoint but must reach other nodes. If the endpoint
 * went and came back between two platform reads, nodes that received its removal must receive its return. If
 * it is listed anew in a new era, other nodes must know that it is still there. */
static void note_invisible_change_(BH__Registry *r, BH__RegisteredEndpoint *e,
								   const BH__EndpointHistory *before, BH__StoreVersion as_of)
{
	if (bh__store_version_is_after(e->history.gone, before->gone) ||
		e->history.listed.era != before->listed.era)
		e->merged_version = note_change_(r, as_of);
}

/* Returns the version with which a change counts as merged. A change that arrives late, from a version
 * already passed, counts as merged now. */
static BH__StoreVersion note_change_(BH__Registry *r, BH__StoreVersion as_of)
{
	r->changed = bh__store_version_max(r->changed, bh__store_version_max(as_of, r->store_version));
	return r->changed;
}

/* Returns true if an update has a later entry than the known one: from a later start, or written later by the
 * same start. */
static bool is_entry_later_(const BH__EndpointHistory *known, const BH__EndpointHistory *update)
{
	if (update->born_ms != known->born_ms)
		return update->born_ms > known->born_ms;
	return bh__store_version_is_after(update->listed, known->listed);
}

/* Merges the history in an update into a known one. */
static void merge_past_(BH__EndpointHistory *history, const BH__EndpointHistory *update)
{
	history->gone = bh__store_version_max(history->gone, update->gone);
	if (is_entry_later_(history, update)) {
		history->born_ms = update->born_ms;
		history->listed = update->listed;
	}
	if (update->drained && (!history->drained || update->drained_born_ms > history->drained_born_ms)) {
		history->drained = true;
		history->drained_born_ms = update->drained_born_ms;
	}
}

/* Returns true if an endpoint has not written its entry since it was last known to be gone. */
static bool is_gone_(const BH__EndpointHistory *history)
{
	return bh__store_version_is_after(history->gone, history->listed);
}

/* Returns true if the latest incarnation of an endpoint has announced its leaving. Only a later incarnation
 * revokes this: an entry of the same incarnation without the mark is an old one that was written late. */
static bool is_draining_(const BH__EndpointHistory *history)
{
	return history->drained && history->born_ms <= history->drained_born_ms;
}

/* Adds an endpoint without an entry, and drops its departure. */
static BH__RegisteredEndpoint *add_endpoint_(BH__Registry *r, uint64_t id)
{
	BH__RegisteredEndpoint *e = g_new0(BH__RegisteredEndpoint, 1);

	e->endpoint_id = id;
	g_ptr_array_add(r->table, e);
	g_hash_table_insert(r->by_id, &e->endpoint_id, e);
	g_hash_table_remove(r->departed, &id);
	return e;
}

/* Sets the entry of an endpoint. If the endpoint is new or has restarted under its id, all state of the
 * earlier incarnation is reset. */
static void set_entry_(BH__Registry *r, BH__RegisteredEndpoint *e, const BH__EndpointEntry *entry)
{
	bool restarted = !e->entry.id[0] || entry->born_ms > e->entry.born_ms;

	e->entry = *entry;
	bh__registry_apply_hall(r, e);
	if (!restarted)
		return;
	e->incarnation = ++r->incarnation_count;
	e->in_flight = 0;
	e->reported = 0;
	e->reported_us = 0;
	e->ejected_until_us = 0;
	e->failures = 0;
	e->failure_share = 0;
	e->silence = (BH__Silence){0};
	e->signals = (BH__EndpointSignals){0};
	e->rate = (BH__EndpointRate){0};
	e->no_grant_until_us = 0;
}

/* Merges an update of an endpoint that is gone, or of one that is not in the table. */
static void merge_departed_(BH__Registry *r, uint64_t id, const BH__EndpointHistory *history,
							BH__StoreVersion as_of)
{
	BH__EndpointDeparture *d = g_hash_table_lookup(r->departed, &id);

	if (!d) {
		add_departure_(r, &(BH__EndpointDeparture){.endpoint_id = id,
												   .history = *history,
												   .merged_version = note_change_(r, as_of)});
		return;
	}
	if (bh__store_version_is_after(history->gone,
								   d->history.gone)) /* other nodes may have seen it come back meanwhile */
		d->merged_version = note_change_(r, as_of);
	d->history = *history;
}

/* Removes endpoints that count as gone and are not used as the last ones of their service, and ends expired
 * hall drains. */
void bh__registry_process_tick(BH__Registry *r, uint64_t now_us)
{
	r->now_us = now_us;
	for (guint i = r->table->len; i-- > 0;) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (e->gone_at_us && now_us >= e->gone_at_us && !bh__last_endpoints_is_used(r, e, now_us))
			remove_departed_(r, e);
	}
	bh__registry_process_halls(r, now_us);
}

/* Moves an endpoint from the table to the departures. */
static void remove_departed_(BH__Registry *r, BH__RegisteredEndpoint *e)
{
	r->version++;
	add_departure_(r, &(BH__EndpointDeparture){.endpoint_id = e->endpoint_id,
											   .history = e->history,
											   .merged_version = e->merged_version,
											   .signals = e->signals});
	g_hash_table_remove(r->by_id, &e->endpoint_id);
	g_ptr_array_remove(r->table, e);
}

/* Stores a copy of a departure, evicting the oldest one if there are too many. */
static void add_departure_(BH__Registry *r, const BH__EndpointDeparture *departure)
{
	BH__EndpointDeparture *d = g_memdup2(departure, sizeof *departure);

	g_hash_table_replace(r->departed, &d->endpoint_id, d);
	if (g_hash_table_size(r->departed) > DEPARTURES_MAX_)
		evict_oldest_departure_(r);
}

/* Evicts the departed endpoint with the oldest removal. From then on, an update of an unknown endpoint counts
 * only if its entry was written later than that removal. */
static void evict_oldest_departure_(BH__Registry *r)
{
	BH__EndpointDeparture *oldest = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->departed);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		BH__EndpointDeparture *d = value;
		if (!oldest || bh__store_version_is_after(oldest->history.gone, d->history.gone))
			oldest = d;
	}
	r->evicted_gone_version = bh__store_version_max(r->evicted_gone_version, oldest->history.gone);
	r->complete_from = bh__store_version_max(r->complete_from, oldest->merged_version);
	g_hash_table_remove(r->departed, &oldest->endpoint_id);
}

/* Appends to `records` (BH__EndpointRecord) and `departures` (BH__EndpointDeparture) all changes merged after
 * a version. Returns false if the changes since then are no longer complete; the receiver then needs the
 * complete table. */
bool bh__registry_list_changes(const BH__Registry *r, BH__StoreVersion since, uint64_t now_us,
							   GArray *records, GArray *departures)
{
	GHashTableIter it;
	gpointer value;

	if (bh__store_version_is_zero(since) || bh__store_version_is_after(r->complete_from, since))
		return false;
	for (guint i = 0; i < r->table->len; i++)
		if (bh__store_version_is_after(bh__registry_get(r, i)->merged_version, since))
			bh__registry_add_record(r, i, now_us, records);
	g_hash_table_iter_init(&it, r->departed);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const BH__EndpointDeparture *d = value;
		if (bh__store_version_is_after(d->merged_version, since))
			g_array_append_val(departures, *d);
	}
	return true;
}

/* Appends the state of the endpoint at a table index to `records`. */
void bh__registry_add_record(const BH__Registry *r, unsigned index, uint64_t now_us, GArray *records)
{
	const BH__RegisteredEndpoint *e = bh__registry_get(r, index);
	BH__EndpointRecord f = {.entry = e->entry, .history = e->history};

	f.gone_in_us = e->gone_at_us > now_us ? e->gone_at_us - now_us : 0;
	f.cold_in_us = e->entry.cold_until_us > now_us ? e->entry.cold_until_us - now_us : 0;
	g_array_append_val(records, f);
}

/* Returns an endpoint in the table, or NULL. */
BH__RegisteredEndpoint *bh__registry_find(const BH__Registry *r, uint64_t endpoint_id)
{
	return g_hash_table_lookup(r->by_id, &endpoint_id);
}

/* Returns the endpoint at an address, the most recently added one if there are several, or NULL. */
BH__RegisteredEndpoint *bh__registry_find_address(const BH__Registry *r, const char *address)
{
	for (guint i = r->table->len; i-- > 0;) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (!strcmp(e->entry.address, address))
			return e;
	}
	return NULL;
}

unsigned bh__registry_get_count(const BH__Registry *r)
{
	return r->table->len;
}

BH__RegisteredEndpoint *bh__registry_get(const BH__Registry *r, unsigned index)
{
	return g_ptr_array_index(r->table, index);
}

/* Returns true if an endpoint is present and has not announced its leaving. */
bool bh__registered_endpoint_is_active(const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	return !e->entry.draining && (!e->gone_at_us || now_us < e->gone_at_us);
}

/* Returns true if nodes may send new requests to an endpoint: it is present, not leaving, its hall is not
 * draining, and there is a way to it. */
bool bh__registered_endpoint_is_usable(const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	return !e->is_hall_draining && !e->is_out_of_reach && bh__registered_endpoint_is_active(e, now_us);
}

/* Returns true if this node may send new requests to an endpoint: it is usable and has not asked this node
 * for backoff. */
bool bh__registered_endpoint_accepts_requests(const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	return now_us >= e->signals.backoff_until_us && bh__registered_endpoint_is_usable(e, now_us);
}
