/* SPDX-License-Identifier: BSD-3-Clause */
/* The table of registered endpoints, and the merging of news of them.
 *
 * What is kept of an endpoint only grows: the latest place as of which its entry was gone, its latest start
 * and the last writing of that start's entry, the latest start that drained. So the order in which news come,
 * and how often, makes no difference, and what an older place tells changes nothing. A node that read a
 * stretch of the store's history which the others knew once took it for news, and an endpoint that had left
 * was used again for two seconds. */
#include "registry_internal.h"

#include <string.h>
#include "bayhoist/hash.h"

/* Endpoints that are gone, of which it is remembered when: more than go in a release of the largest fleet. */
#define DEPARTED_KEPT_ 1024
/* An endpoint that is cold for so much longer or shorter than was known has turned cold again, or is warm:
 * all hear of it. What is left of the time comes a little different with each check-in. */
#define COLD_DIFFERS_US_ BH__SECOND_US

static bool merge_(BH__Registry *r, uint64_t id, const BH__EndpointEntry *entry, const BH__EndpointPast *told,
				   uint64_t gone_at_us, BH__StoreVersion as_of);
static bool merge_known_(BH__Registry *r, BH__RegisteredEndpoint *e, const BH__EndpointEntry *entry,
						 const BH__EndpointPast *told, uint64_t gone_at_us, BH__StoreVersion as_of);
static void note_silent_change_(BH__Registry *r, BH__RegisteredEndpoint *e, const BH__EndpointPast *before,
								BH__StoreVersion as_of);
static BH__StoreVersion note_change_(BH__Registry *r, BH__StoreVersion as_of);
static bool is_entry_later_(const BH__EndpointPast *known, const BH__EndpointPast *told);
static void join_(BH__EndpointPast *past, const BH__EndpointPast *told);
static bool is_gone_(const BH__EndpointPast *past);
static bool drains_(const BH__EndpointPast *past);
static bool differs_in_cold_(const BH__Registry *r, const BH__EndpointEntry *was,
							 const BH__EndpointEntry *is);
static BH__RegisteredEndpoint *add_(BH__Registry *r, uint64_t id);
static void take_entry_(BH__Registry *r, BH__RegisteredEndpoint *e, const BH__EndpointEntry *entry);
static void merge_departed_(BH__Registry *r, uint64_t id, const BH__EndpointPast *past,
							BH__StoreVersion as_of);
static void depart_(BH__Registry *r, BH__RegisteredEndpoint *e);
static void remember_(BH__Registry *r, const BH__EndpointDeparture *departure);
static void forget_oldest_(BH__Registry *r);

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

/* Returns a number that grows with each endpoint that comes, drains or goes. */
uint64_t bh__registry_get_version(const BH__Registry *r)
{
	return r->version;
}

/* Returns the place in the store's history up to which all changes are in the table. */
BH__StoreVersion bh__registry_get_place(const BH__Registry *r)
{
	return r->store_version;
}

/* Returns the place with which the last change of what is believed was learnt. */
BH__StoreVersion bh__registry_get_changed_place(const BH__Registry *r)
{
	return r->changed;
}

/* All changes up to a place have been taken, from the store or from a node that knew them. */
void bh__registry_set_place(BH__Registry *r, BH__StoreVersion store_version)
{
	r->store_version = bh__store_version_max(r->store_version, store_version);
}

/* The store has come back from a copy, or another node has told so; `start` is the earliest place of the new
 * era that is known. Revisions up to there were given out before, so that entries which show them were
 * written in the era before, and what was learnt after the copy was made holds against them: an endpoint that
 * left does not come back with the copy. */
void bh__registry_begin_era(BH__Registry *r, BH__StoreVersion start)
{
	bool is_new = !r->era_count || start.era > r->era[0].start.era;

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

/* Returns where the era of now began, as far as this node has seen it begin. */
BH__StoreVersion bh__registry_get_era_start(const BH__Registry *r)
{
	return r->era_count ? r->era[0].start : (BH__StoreVersion){0};
}

/* Returns the place at which an entry was written: in an earlier era than that in which it was read, if it is
 * part of the copy that the store came back from. */
BH__StoreVersion bh__registry_written(const BH__Registry *r, BH__StoreVersion p)
{
	for (unsigned i = 0; i < r->era_count; i++)
		if (p.era == r->era[i].start.era && p.revision <= r->era[i].start.revision)
			p.era = r->era[i].before;
	return p;
}

/* Takes an endpoint's entry, written at the place `listed` and learnt with all else up to `as_of`. Returns
 * true if it changes what is believed. */
bool bh__registry_put(BH__Registry *r, const BH__EndpointEntry *entry, BH__StoreVersion listed,
					  BH__StoreVersion as_of)
{
	BH__EndpointPast told = {.listed = bh__registry_written(r, listed),
							 .born_ms = entry->born_ms,
							 .drained = entry->draining,
							 .drained_born_ms = entry->born_ms};

	return merge_(r, bh__hash_name(entry->id), entry, &told, 0, as_of);
}

/* An endpoint's entry was gone as of a place: it is taken as gone from `gone_at_us` on, unless it is written
 * again. If that was known, the time that it was given then stays. */
void bh__registry_remove(BH__Registry *r, uint64_t endpoint_id, BH__StoreVersion gone, uint64_t gone_at_us,
						 BH__StoreVersion as_of)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);
	BH__EndpointPast told = {.gone = gone};

	if (!e || bh__store_version_is_after(gone, e->past.gone))
		merge_(r, endpoint_id, NULL, &told, gone_at_us, as_of);
}

/* Takes what another node tells of an endpoint that it knows. */
bool bh__registry_put_fact(BH__Registry *r, const BH__EndpointFact *f, BH__StoreVersion as_of,
						   uint64_t now_us)
{
	BH__EndpointPast told = f->past;
	BH__EndpointEntry entry = f->entry;

	told.listed = bh__registry_written(r, told.listed);
	entry.cold_until_us = f->cold_in_us ? now_us + f->cold_in_us : 0;
	return merge_(r, bh__hash_name(entry.id), &entry, &told, f->gone_in_us ? now_us + f->gone_in_us : 0,
				  as_of);
}

/* Takes what another node tells of an endpoint that is gone. */
void bh__registry_put_departure(BH__Registry *r, const BH__EndpointDeparture *d, BH__StoreVersion as_of)
{
	BH__EndpointPast told = d->past;

	told.listed = bh__registry_written(r, told.listed);
	merge_(r, d->endpoint_id, NULL, &told, 0, as_of);
}

/* An endpoint has said in an answer that it leaves, in the life that began at `born_ms`. That has no place in
 * the store's history, and needs none: a start that has said so leaves, whatever is read of it before or
 * after, and only a later start is used again. Returns true if that changes what is believed of an endpoint
 * in the table; for one that is not in it yet it is remembered. */
bool bh__registry_note_leaving(BH__Registry *r, uint64_t endpoint_id, uint64_t born_ms)
{
	BH__EndpointPast told = {.drained = true, .drained_born_ms = born_ms};

	return merge_(r, endpoint_id, NULL, &told, 0, (BH__StoreVersion){0});
}

/* A whole list was read, of the store or of another node, which holds as of a place: endpoints whose ids
 * (uint64_t) are not in `ids`, and of which nothing later is known, were gone by then. Of those that are
 * known to be gone it says nothing new. */
void bh__registry_keep_only(BH__Registry *r, GHashTable *ids, BH__StoreVersion as_of, uint64_t gone_at_us)
{
	for (guint i = 0; i < r->table->len; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (!e->gone_at_us && !g_hash_table_contains(ids, &e->endpoint_id))
			bh__registry_remove(r, e->endpoint_id, as_of, gone_at_us, as_of);
	}
}

/* Merges news of an endpoint into what is known. `entry` NULL: the news is only that it is gone, or was;
 * `gone_at_us` 0: at once. Returns true if what is believed of an endpoint in the table changes. */
static bool merge_(BH__Registry *r, uint64_t id, const BH__EndpointEntry *entry, const BH__EndpointPast *told,
				   uint64_t gone_at_us, BH__StoreVersion as_of)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, id);
	BH__EndpointDeparture *d = e ? NULL : g_hash_table_lookup(r->departed, &id);
	BH__EndpointPast after = d ? d->past : (BH__EndpointPast){0};
	BH__EndpointSignals signals = d ? d->signals : (BH__EndpointSignals){0};
	uint64_t born_ms = after.born_ms;

	if (e)
		return merge_known_(r, e, entry, told, gone_at_us, as_of);
	join_(&after, told);
	if (!entry || (is_gone_(&after) && (d || !gone_at_us))) {
		merge_departed_(r, id, &after, as_of);
		return false;
	}
	if (!d && !bh__store_version_is_zero(r->floor) && !bh__store_version_is_after(told->listed, r->floor))
		return false; /* it may be one that is gone and forgotten */
	e = add_(r, id);
	if (d)
		e->past = after;
	merge_known_(r, e, entry, told, gone_at_us, as_of);
	if (e->entry.born_ms == born_ms) { /* it is the same start */
		e->signals = signals;
		bh__endpoint_rate_set_advertised(&e->rate, &e->signals.named, 0);
	}
	return true;
}

/* Merges news of an endpoint in the table, which may have just been added without an entry. */
static bool merge_known_(BH__Registry *r, BH__RegisteredEndpoint *e, const BH__EndpointEntry *entry,
						 const BH__EndpointPast *told, uint64_t gone_at_us, BH__StoreVersion as_of)
{
	BH__EndpointPast before = e->past;
	BH__EndpointEntry was = e->entry;
	uint64_t was_gone_at_us = e->gone_at_us;
	bool is_new = !was.id[0];

	join_(&e->past, told);
	if (is_new || (entry && is_entry_later_(&before, told)))
		take_entry_(r, e, entry);
	e->entry.draining = drains_(&e->past);
	if (!is_gone_(&e->past))
		e->gone_at_us = 0;
	else if (!was_gone_at_us || bh__store_version_is_after(e->past.gone, before.gone))
		e->gone_at_us = MAX(gone_at_us, 1);
	else if (!bh__store_version_compare(told->gone, e->past.gone))
		e->gone_at_us = MIN(e->gone_at_us, MAX(gone_at_us, 1));
	if (!is_new && was_gone_at_us == e->gone_at_us && was.draining == e->entry.draining &&
		was.born_ms == e->entry.born_ms && !strcmp(was.address, e->entry.address) &&
		!differs_in_cold_(r, &was, &e->entry)) {
		note_silent_change_(r, e, &before, as_of);
		return false;
	}
	e->learnt = note_change_(r, as_of);
	r->version++;
	return true;
}

static bool differs_in_cold_(const BH__Registry *r, const BH__EndpointEntry *was, const BH__EndpointEntry *is)
{
	uint64_t was_us = MAX(was->cold_until_us, r->now_us);
	uint64_t is_us = MAX(is->cold_until_us, r->now_us);

	return MAX(was_us, is_us) - MIN(was_us, is_us) > COLD_DIFFERS_US_;
}

/* An endpoint that went and came back between two looks is used as before, but those who heard that it went
 * must hear that it is back; and one that is listed anew in a new era is known to be there by that. */
static void note_silent_change_(BH__Registry *r, BH__RegisteredEndpoint *e, const BH__EndpointPast *before,
								BH__StoreVersion as_of)
{
	if (bh__store_version_is_after(e->past.gone, before->gone) || e->past.listed.era != before->listed.era)
		e->learnt = note_change_(r, as_of);
}

/* Returns the place with which a change is learnt: what comes late, of a place that was thought known, counts
 * as of now. */
static BH__StoreVersion note_change_(BH__Registry *r, BH__StoreVersion as_of)
{
	r->changed = bh__store_version_max(r->changed, bh__store_version_max(as_of, r->store_version));
	return r->changed;
}

/* Returns true if news hold a later entry than is known: of a later start, or written later by the same. */
static bool is_entry_later_(const BH__EndpointPast *known, const BH__EndpointPast *told)
{
	if (told->born_ms != known->born_ms)
		return told->born_ms > known->born_ms;
	return bh__store_version_is_after(told->listed, known->listed);
}

static void join_(BH__EndpointPast *past, const BH__EndpointPast *told)
{
	past->gone = bh__store_version_max(past->gone, told->gone);
	if (is_entry_later_(past, told)) {
		past->born_ms = told->born_ms;
		past->listed = told->listed;
	}
	if (told->drained && (!past->drained || told->drained_born_ms > past->drained_born_ms)) {
		past->drained = true;
		past->drained_born_ms = told->drained_born_ms;
	}
}

static bool is_gone_(const BH__EndpointPast *past)
{
	return bh__store_version_is_after(past->gone, past->listed);
}

/* Returns true if the latest start of an endpoint has said that it leaves. Only a later start takes that
 * back: an entry that says otherwise is an old one that was written late. */
static bool drains_(const BH__EndpointPast *past)
{
	return past->drained && past->born_ms <= past->drained_born_ms;
}

static BH__RegisteredEndpoint *add_(BH__Registry *r, uint64_t id)
{
	BH__RegisteredEndpoint *e = g_new0(BH__RegisteredEndpoint, 1);

	e->endpoint_id = id;
	g_ptr_array_add(r->table, e);
	g_hash_table_insert(r->by_id, &e->endpoint_id, e);
	g_hash_table_remove(r->departed, &id);
	return e;
}

/* Takes the entry of an endpoint. If it has started again under its id, or is new, nothing holds that was
 * learnt of what was there before. */
static void take_entry_(BH__Registry *r, BH__RegisteredEndpoint *e, const BH__EndpointEntry *entry)
{
	bool starts = !e->entry.id[0] || entry->born_ms > e->entry.born_ms;

	e->entry = *entry;
	e->hall_drains = bh__registry_is_hall_draining(r, entry->hall);
	if (!starts)
		return;
	e->life = ++r->lives;
	e->in_flight = 0;
	e->reported = 0;
	e->reported_us = 0;
	e->set_aside_until_us = 0;
	e->failures = 0;
	e->failure_share = 0;
	e->signals = (BH__EndpointSignals){0};
	e->rate = (BH__EndpointRate){0};
	e->full_until_us = 0;
}

/* Takes that an endpoint is gone, or remains so. */
static void merge_departed_(BH__Registry *r, uint64_t id, const BH__EndpointPast *past,
							BH__StoreVersion as_of)
{
	BH__EndpointDeparture *d = g_hash_table_lookup(r->departed, &id);

	if (!d) {
		remember_(
			r, &(BH__EndpointDeparture){.endpoint_id = id, .past = *past, .learnt = note_change_(r, as_of)});
		return;
	}
	if (bh__store_version_is_after(past->gone,
								   d->past.gone)) /* others may have seen it come back meanwhile */
		d->learnt = note_change_(r, as_of);
	d->past = *past;
}

/* Drops endpoints that are gone, and ends what time ends. */
void bh__registry_process_tick(BH__Registry *r, uint64_t now_us)
{
	r->now_us = now_us;
	for (guint i = r->table->len; i-- > 0;) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (e->gone_at_us && now_us >= e->gone_at_us)
			depart_(r, e);
	}
	bh__registry_process_halls(r, now_us);
}

static void depart_(BH__Registry *r, BH__RegisteredEndpoint *e)
{
	r->version++;
	remember_(
		r, &(BH__EndpointDeparture){
			   .endpoint_id = e->endpoint_id, .past = e->past, .learnt = e->learnt, .signals = e->signals});
	g_hash_table_remove(r->by_id, &e->endpoint_id);
	g_ptr_array_remove(r->table, e);
}

static void remember_(BH__Registry *r, const BH__EndpointDeparture *departure)
{
	BH__EndpointDeparture *d = g_memdup2(departure, sizeof *departure);

	g_hash_table_replace(r->departed, &d->endpoint_id, d);
	if (g_hash_table_size(r->departed) > DEPARTED_KEPT_)
		forget_oldest_(r);
}

/* Forgets the endpoint that was gone first. From now on an endpoint that is not known must have been listed
 * later. */
static void forget_oldest_(BH__Registry *r)
{
	BH__EndpointDeparture *oldest = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->departed);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		BH__EndpointDeparture *d = value;
		if (!oldest || bh__store_version_is_after(oldest->past.gone, d->past.gone))
			oldest = d;
	}
	r->floor = bh__store_version_max(r->floor, oldest->past.gone);
	r->forgotten = bh__store_version_max(r->forgotten, oldest->learnt);
	g_hash_table_remove(r->departed, &oldest->endpoint_id);
}

/* Adds to `facts` (BH__EndpointFact) and `departures` (BH__EndpointDeparture) what a node does not know that
 * has all up to a place. Returns false if that cannot be told any more: it is to be told the whole table. */
bool bh__registry_list_changes(const BH__Registry *r, BH__StoreVersion since, uint64_t now_us, GArray *facts,
							   GArray *departures)
{
	GHashTableIter it;
	gpointer value;

	if (bh__store_version_is_zero(since) || bh__store_version_is_after(r->forgotten, since))
		return false;
	for (guint i = 0; i < r->table->len; i++)
		if (bh__store_version_is_after(bh__registry_get(r, i)->learnt, since))
			bh__registry_add_fact(r, i, now_us, facts);
	g_hash_table_iter_init(&it, r->departed);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const BH__EndpointDeparture *d = value;
		if (bh__store_version_is_after(d->learnt, since))
			g_array_append_val(departures, *d);
	}
	return true;
}

/* Adds what is known of the endpoint at an index of the table. */
void bh__registry_add_fact(const BH__Registry *r, unsigned index, uint64_t now_us, GArray *facts)
{
	const BH__RegisteredEndpoint *e = bh__registry_get(r, index);
	BH__EndpointFact f = {.entry = e->entry, .past = e->past};

	f.gone_in_us = e->gone_at_us > now_us ? e->gone_at_us - now_us : 0;
	f.cold_in_us = e->entry.cold_until_us > now_us ? e->entry.cold_until_us - now_us : 0;
	g_array_append_val(facts, f);
}

BH__RegisteredEndpoint *bh__registry_find(const BH__Registry *r, uint64_t endpoint_id)
{
	return g_hash_table_lookup(r->by_id, &endpoint_id);
}

/* Returns the endpoint at an address, the latest to come there, or NULL. */
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

/* Returns true if an endpoint is there and has not said that it leaves. */
bool bh__registered_endpoint_stays(const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	return !e->entry.draining && (!e->gone_at_us || now_us < e->gone_at_us);
}

/* Returns true if new requests may go there, as far as all nodes are concerned. */
bool bh__registered_endpoint_is_usable(const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	return !e->hall_drains && bh__registered_endpoint_stays(e, now_us);
}

/* Returns true if new requests of this node may go there. */
bool bh__registered_endpoint_takes(const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	return now_us >= e->signals.backoff_until_us && bh__registered_endpoint_is_usable(e, now_us);
}
