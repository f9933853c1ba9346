/* SPDX-License-Identifier: BSD-3-Clause */
/* Data halls that operators drain. Like news of endpoints, news of a hall may come in any order and from any
 * node: the latest change in the store's history holds. A hall that is in use again stays in the table, so
 * that what an older place tells of it changes nothing. */
#include "registry_internal.h"

#include <string.h>
#include "bayhoist/outage.h"

static BH__HallDrain *find_(const BH__Registry *r, const char *name);
static BH__HallDrain *add_(BH__Registry *r, const char *name);
static void forget_oldest_(BH__Registry *r);
static void set_(BH__Registry *r, BH__HallDrain *d, bool draining, BH__StoreVersion changed, uint64_t now_us);
static void follow_(BH__Registry *r, const char *name, bool draining);

static BH__HallDrain *find_(const BH__Registry *r, const char *name)
{
	for (guint i = 0; i < r->halls->len; i++) {
		BH__HallDrain *d = &g_array_index(r->halls, BH__HallDrain, i);
		if (!strcmp(d->name, name))
			return d;
	}
	return NULL;
}

static BH__HallDrain *add_(BH__Registry *r, const char *name)
{
	BH__HallDrain d = {0};

	if (r->halls->len >= BH__HALLS_MAX)
		forget_oldest_(r);
	g_strlcpy(d.name, name, sizeof d.name);
	g_array_append_val(r->halls, d);
	return &g_array_index(r->halls, BH__HallDrain, r->halls->len - 1);
}

/* Forgets the hall that changed first, of those in use if there is one. */
static void forget_oldest_(BH__Registry *r)
{
	guint oldest = 0;

	for (guint i = 1; i < r->halls->len; i++) {
		const BH__HallDrain *a = &g_array_index(r->halls, BH__HallDrain, i);
		const BH__HallDrain *b = &g_array_index(r->halls, BH__HallDrain, oldest);
		if (a->draining != b->draining ? b->draining : bh__store_version_is_after(b->changed, a->changed))
			oldest = i;
	}
	follow_(r, g_array_index(r->halls, BH__HallDrain, oldest).name, false);
	g_array_remove_index(r->halls, oldest);
}

/* Takes that a hall drains, or is in use, since a place in the store's history. Returns true if that is news.
 */
bool bh__registry_put_hall(BH__Registry *r, const char *name, bool draining, BH__StoreVersion changed,
						   uint64_t now_us)
{
	BH__HallDrain *d = find_(r, name);

	if (d && !bh__store_version_is_after(changed, d->changed))
		return false;
	set_(r, d ? d : add_(r, name), draining, changed, now_us);
	return true;
}

/* Takes an entry of the store's list: a hall drains. The entry may be part of the copy that the store came
 * back from. */
bool bh__registry_read_hall(BH__Registry *r, const char *name, BH__StoreVersion written, uint64_t now_us)
{
	return bh__registry_put_hall(r, name, true, bh__registry_written(r, written), now_us);
}

/* Sets the state of a hall. */
static void set_(BH__Registry *r, BH__HallDrain *d, bool draining, BH__StoreVersion changed, uint64_t now_us)
{
	bool was = d->draining;

	d->draining = draining;
	d->changed = changed;
	d->ends_at_us = 0;
	r->halls_version++;
	if (was == draining)
		return;
	d->since_us = now_us;
	follow_(r, d->name, draining);
}

/* Tells the endpoints of a hall. */
static void follow_(BH__Registry *r, const char *name, bool draining)
{
	for (guint i = 0; i < r->table->len; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (!strcmp(e->entry.hall, name))
			e->hall_drains = draining;
	}
	r->version++;
}

/* All halls that drain as of a place are named in `names` (texts): others are in use. In a store that came
 * back from a copy what an operator wrote since that was made is missing, and written again: such a hall
 * drains on for as long as that may take. */
void bh__registry_keep_halls(BH__Registry *r, GHashTable *names, BH__StoreVersion as_of, uint64_t now_us)
{
	for (guint i = 0; i < r->halls->len; i++) {
		BH__HallDrain *d = &g_array_index(r->halls, BH__HallDrain, i);
		if (!d->draining || g_hash_table_contains(names, d->name) ||
			!bh__store_version_is_after(as_of, d->changed))
			continue;
		if (as_of.era == d->changed.era) {
			set_(r, d, false, as_of, now_us);
			continue;
		}
		if (!d->ends_at_us)
			d->ends_at_us = now_us + BH__OUTAGE_GRACE_US;
		d->ends_place = as_of;
	}
}

/* Ends what was not written again after the store came back from a copy. */
void bh__registry_process_halls(BH__Registry *r, uint64_t now_us)
{
	for (guint i = 0; i < r->halls->len; i++) {
		BH__HallDrain *d = &g_array_index(r->halls, BH__HallDrain, i);
		if (d->ends_at_us && now_us >= d->ends_at_us)
			set_(r, d, false, d->ends_place, now_us);
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

/* Returns since when all endpoints of a service that stay stand in halls that drain, as far as this node
 * knows; 0: not all do, or there is none. */
uint64_t bh__registry_get_drained_since_us(const BH__Registry *r, const char *service, uint64_t now_us)
{
	uint64_t since_us = 0;

	for (guint i = 0; i < r->table->len; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (strcmp(e->entry.service, service) != 0 || !bh__registered_endpoint_stays(e, now_us))
			continue;
		if (!e->hall_drains)
			return 0;
		since_us = MAX(since_us, find_(r, e->entry.hall)->since_us);
	}
	return since_us;
}

/* Returns a number that grows with each change of what is known of halls. */
uint64_t bh__registry_get_halls_version(const BH__Registry *r)
{
	return r->halls_version;
}

/* Returns true if this node knows a later change of a hall than the list of another node tells. */
bool bh__registry_knows_more_of_halls(const BH__Registry *r, const BH__HallDrain *hall, unsigned count)
{
	for (guint i = 0; i < r->halls->len; i++) {
		const BH__HallDrain *own = &g_array_index(r->halls, BH__HallDrain, i);
		const BH__HallDrain *told = NULL;
		for (unsigned k = 0; k < count && !told; k++)
			if (!strcmp(hall[k].name, own->name))
				told = &hall[k];
		if (!told || bh__store_version_is_after(own->changed, told->changed))
			return true;
	}
	return false;
}
