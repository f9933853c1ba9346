/* SPDX-License-Identifier: BSD-3-Clause */
/* Data halls that operators drain. Updates about a hall, like those about endpoints, may arrive in any order
 * and from any node; the latest change in the store's history takes precedence. The table also keeps halls
 * whose drain was taken back, so that an older update cannot restore it. */
#include "registry_internal.h"

#include <string.h>
#include "bayhoist/outage.h"

static BH__HallDrain *find_(const BH__Registry *r, const char *name);
static BH__HallDrain *add_(BH__Registry *r, const char *name);
static void evict_oldest_(BH__Registry *r);
static void set_draining_(BH__Registry *r, BH__HallDrain *d, bool draining, BH__StoreVersion changed,
						  uint64_t now_us);
static void apply_to_endpoints_(BH__Registry *r, const char *name);

static BH__HallDrain *find_(const BH__Registry *r, const char *name)
{
	for (guint i = 0; i < r->halls->len; i++) {
		BH__HallDrain *d = &g_array_index(r->halls, BH__HallDrain, i);
		if (!strcmp(d->name, name))
			return d;
	}
	return NULL;
}

/* Adds a hall that is not draining, evicting another if the table is full. */
static BH__HallDrain *add_(BH__Registry *r, const char *name)
{
	BH__HallDrain d = {0};

	if (r->halls->len >= BH__HALLS_MAX)
		evict_oldest_(r);
	g_strlcpy(d.name, name, sizeof d.name);
	g_array_append_val(r->halls, d);
	return &g_array_index(r->halls, BH__HallDrain, r->halls->len - 1);
}

/* Evicts the hall with the oldest change, preferring halls that are not draining. */
static void evict_oldest_(BH__Registry *r)
{
	guint oldest = 0;
	BH__HallDrain evicted;

	for (guint i = 1; i < r->halls->len; i++) {
		const BH__HallDrain *a = &g_array_index(r->halls, BH__HallDrain, i);
		const BH__HallDrain *b = &g_array_index(r->halls, BH__HallDrain, oldest);
		if (a->draining != b->draining ? b->draining : bh__store_version_is_after(b->changed, a->changed))
			oldest = i;
	}
	evicted = g_array_index(r->halls, BH__HallDrain, oldest);
	g_array_remove_index(r->halls, oldest);
	apply_to_endpoints_(r, evicted.name);
}

/* Merges a change of a hall's drain state written at version `changed` of the store's history. Returns true
 * if the change is later than the known one. */
bool bh__registry_put_hall(BH__Registry *r, const char *name, bool draining, BH__StoreVersion changed,
						   uint64_t now_us)
{
	BH__HallDrain *d = find_(r, name);

	bh__last_endpoints_note_era(r, changed.era);
	if (d && !bh__store_version_is_after(changed, d->changed))
		return false;
	set_draining_(r, d ? d : add_(r, name), draining, changed, now_us);
	return true;
}

/* Merges an entry from the store's list of draining halls. An entry restored by a store rollback counts as
 * written in the previous era. */
bool bh__registry_read_hall(BH__Registry *r, const char *name, BH__StoreVersion written, uint64_t now_us)
{
	return bh__registry_put_hall(r, name, true, bh__registry_get_written_version(r, written), now_us);
}

/* Sets the drain state of a hall, and updates its endpoints if the state changes. */
static void set_draining_(BH__Registry *r, BH__HallDrain *d, bool draining, BH__StoreVersion changed,
						  uint64_t now_us)
{
	bool was_draining = d->draining;

	d->draining = draining;
	d->changed = changed;
	d->ends_at_us = 0;
	r->halls_version++;
	if (was_draining == draining)
		return;
	d->since_us = now_us;
	d->drained_after_us = bh__last_endpoints_get_written_after_us(r, r->halls_as_of_us);
	apply_to_endpoints_(r, d->name);
}

/* Applies the drain state of a hall to its endpoints. */
static void apply_to_endpoints_(BH__Registry *r, const char *name)
{
	for (guint i = 0; i < r->table->len; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (!strcmp(e->entry.hall, name))
			bh__registry_apply_hall(r, e);
	}
	r->version++;
}

/* Applies the drain state of its hall to an endpoint. */
void bh__registry_apply_hall(const BH__Registry *r, BH__RegisteredEndpoint *e)
{
	const BH__HallDrain *d = find_(r, e->entry.hall);

	e->is_hall_draining = d && d->draining;
	e->hall_drained_after_us = e->is_hall_draining ? d->drained_after_us : 0;
}

/* Ends the drain of each hall that is missing in `names` (char *), the complete set of draining halls as of a
 * store version, unless a later change is known. After a store rollback, drains written since the backup are
 * missing until operators write them again, so they continue for BH__OUTAGE_GRACE_US. */
void bh__registry_retain_halls(BH__Registry *r, GHashTable *names, BH__StoreVersion as_of, uint64_t now_us)
{
	bh__last_endpoints_note_era(r, as_of.era);
	for (guint i = 0; i < r->halls->len; i++) {
		BH__HallDrain *d = &g_array_index(r->halls, BH__HallDrain, i);
		if (!d->draining || g_hash_table_contains(names, d->name) ||
			!bh__store_version_is_after(as_of, d->changed))
			continue;
		if (as_of.era == d->changed.era) {
			set_draining_(r, d, false, as_of, now_us);
			continue;
		}
		if (!d->ends_at_us)
			d->ends_at_us = now_us + BH__OUTAGE_GRACE_US;
		d->ends_version = as_of;
	}
}

/* Ends drains that were not written again in time after a store rollback. */
void bh__registry_process_halls(BH__Registry *r, uint64_t now_us)
{
	for (guint i = 0; i < r->halls->len; i++) {
		BH__HallDrain *d = &g_array_index(r->halls, BH__HallDrain, i);
		if (d->ends_at_us && now_us >= d->ends_at_us)
			set_draining_(r, d, false, d->ends_version, now_us);
	}
}

bool bh__registry_is_hall_draining(const BH__Registry *r, const char *name)
{
	const BH__HallDrain *d = find_(r, name);

	return d && d->draining;
}

unsigned bh__registry_get_hall_count(const BH__Registry *r)
{
	return r->halls->len;
}

const BH__HallDrain *bh__registry_get_hall(const BH__Registry *r, unsigned index)
{
	return &g_array_index(r->halls, BH__HallDrain, index);
}

/* Returns since when all active endpoints of a service have been in draining halls, as known to this node; 0
 * if some are not or the service has no active endpoint. */
uint64_t bh__registry_get_drained_since_us(const BH__Registry *r, const char *service, uint64_t now_us)
{
	uint64_t since_us = 0;

	for (guint i = 0; i < r->table->len; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (strcmp(e->entry.service, service) != 0 || !bh__registered_endpoint_is_active(e, now_us))
			continue;
		if (!e->is_hall_draining)
			return 0;
		since_us = MAX(since_us, find_(r, e->entry.hall)->since_us);
	}
	return since_us;
}

/* Returns a number that grows with each change of the known hall states. */
uint64_t bh__registry_get_halls_version(const BH__Registry *r)
{
	return r->halls_version;
}

/* Returns true if this node knows a hall, or a later change of one, that is missing in another node's list.
 */
bool bh__registry_has_newer_halls(const BH__Registry *r, const BH__HallDrain *hall, unsigned count)
{
	for (guint i = 0; i < r->halls->len; i++) {
		const BH__HallDrain *own = &g_array_index(r->halls, BH__HallDrain, i);
		const BH__HallDrain *theirs = NULL;
		for (unsigned k = 0; k < count && !theirs; k++)
			if (!strcmp(hall[k].name, own->name))
				theirs = &hall[k];
		if (!theirs || bh__store_version_is_after(own->changed, theirs->changed))
			return true;
	}
	return false;
}
