/* SPDX-License-Identifier: BSD-3-Clause */
/* The table of registered endpoints. */
#include "bayhoist/registry.h"

#include <string.h>
#include "bayhoist/hash.h"

/* An endpoint that failed is left alone for so long, then twice that. */
#define ASIDE_FIRST_US_ (200 * BH__MS_US)
#define ASIDE_MAX_US_ (3 * BH__SECOND_US)
#define ASIDE_FAILURES_ 2   /* one failure may be the request's own */
#define FAILURE_WEIGHT_ 0.2 /* of the latest use in the share of failures */
#define FAILURE_COST_ 10.0  /* a share of failures of 1 counts as so many requests under way */
#define ASIDE_COST_ 1e3     /* more than any load: only if there is no other */
#define TRIED_COST_ 1e6     /* more than that */
#define HALL_COST_ 0.4      /* another data hall counts as so many */
#define GONE_KEPT_ 256      /* endpoints that are gone, and told of to nodes that know an older version */
#define REPORT_FRESH_US_ (1 * BH__SECOND_US)

const char *const BH__UseString[] = {"served", "refused", "failed", "abandoned"};

/* An endpoint that has left the table. */
typedef struct {
	uint64_t version; /* of the registry, with which it left */
	uint64_t endpoint_id;
} Gone_;

struct BH__Registry {
	GPtrArray *table; /* BH__RegisteredEndpoint */
	GHashTable *by_id;
	GRand *rand;
	uint64_t version;           /* grows with each change of what may be used */
	GArray *gone;               /* Gone_, the oldest first */
	uint64_t forgotten_version; /* up to which endpoints that are gone are not in that list any more */
};

static bool is_tried_(const uint64_t *tried, unsigned count, uint64_t endpoint_id);
static double cost_(const BH__RegisteredEndpoint *e, const char *hall, uint64_t now_us);
static void begin_life_(BH__RegisteredEndpoint *e);
static void drop_(BH__Registry *r, BH__RegisteredEndpoint *e);

BH__Registry *bh__registry_new(uint32_t seed)
{
	BH__Registry *r = g_new0(BH__Registry, 1);

	r->table = g_ptr_array_new_with_free_func(g_free);
	r->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	r->rand = g_rand_new_with_seed(seed);
	r->gone = g_array_new(FALSE, FALSE, sizeof(Gone_));
	return r;
}

void bh__registry_delete(BH__Registry *r)
{
	g_hash_table_unref(r->by_id);
	g_ptr_array_unref(r->table);
	g_rand_free(r->rand);
	g_array_unref(r->gone);
	g_free(r);
}

/* Returns a number that grows with each endpoint that comes, drains or goes. */
uint64_t bh__registry_get_version(const BH__Registry *r)
{
	return r->version;
}

/* Takes an endpoint's entry. Returns true if it changes anything. Within a life draining is never taken back:
 * an entry that says otherwise is an old one that was written late, and so is one of an earlier start. */
bool bh__registry_put(BH__Registry *r, const BH__EndpointEntry *entry)
{
	uint64_t id = bh__hash_name(entry->id);
	BH__RegisteredEndpoint *e = bh__registry_find(r, id);
	bool draining;

	if (!e) {
		e = g_new0(BH__RegisteredEndpoint, 1);
		e->endpoint_id = id;
		e->entry = *entry;
		e->listed = true;
		g_ptr_array_add(r->table, e);
		g_hash_table_insert(r->by_id, &e->endpoint_id, e);
		e->changed_version = ++r->version;
		return true;
	}
	e->listed = true;
	if (entry->born_ms && entry->born_ms < e->entry.born_ms)
		return false;
	if (e->entry.born_ms && entry->born_ms > e->entry.born_ms)
		begin_life_(e);
	draining = e->entry.draining || entry->draining;
	if (!e->gone_at_us && draining == e->entry.draining && e->entry.born_ms == entry->born_ms &&
		!strcmp(e->entry.address, entry->address))
		return false;
	e->entry = *entry;
	e->entry.draining = draining;
	e->gone_at_us = 0;
	e->changed_version = ++r->version;
	return true;
}

/* An endpoint has started again under its id: nothing holds that was learnt of it before. */
static void begin_life_(BH__RegisteredEndpoint *e)
{
	e->life++;
	e->entry.draining = false;
	e->in_flight = 0;
	e->reported = 0;
	e->reported_us = 0;
	e->set_aside_until_us = 0;
	e->failures = 0;
	e->failure_share = 0;
}

/* An endpoint's entry is gone: it is taken as gone from `gone_at_us` on, unless it comes back before. */
void bh__registry_remove(BH__Registry *r, uint64_t endpoint_id, uint64_t gone_at_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);

	if (e && (!e->gone_at_us || gone_at_us < e->gone_at_us))
		e->gone_at_us = gone_at_us;
}

/* Begins to read a whole list of entries. */
void bh__registry_begin_list(BH__Registry *r)
{
	for (guint i = 0; i < r->table->len; i++)
		bh__registry_get(r, i)->listed = false;
}

/* The list is read: what it did not name is gone from `gone_at_us` on. */
void bh__registry_end_list(BH__Registry *r, uint64_t gone_at_us)
{
	for (guint i = 0; i < r->table->len; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (!e->listed)
			bh__registry_remove(r, e->endpoint_id, gone_at_us);
	}
}

/* Drops endpoints that are gone. */
void bh__registry_process_tick(BH__Registry *r, uint64_t now_us)
{
	for (guint i = r->table->len; i-- > 0;) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (e->gone_at_us && now_us >= e->gone_at_us)
			drop_(r, e);
	}
}

static void drop_(BH__Registry *r, BH__RegisteredEndpoint *e)
{
	Gone_ gone = {.version = ++r->version, .endpoint_id = e->endpoint_id};

	g_array_append_val(r->gone, gone);
	if (r->gone->len > GONE_KEPT_) {
		r->forgotten_version = g_array_index(r->gone, Gone_, 0).version;
		g_array_remove_index(r->gone, 0);
	}
	g_hash_table_remove(r->by_id, &e->endpoint_id);
	g_ptr_array_remove(r->table, e);
}

/* Adds to `changed` the entries (BH__EndpointEntry) that came or changed after a version, and to `gone` the
 * ids (uint64_t) of endpoints that went. Returns false if that is not known any more: the whole table is to
 * be told. */
bool bh__registry_list_changes(const BH__Registry *r, uint64_t since_version, GArray *changed, GArray *gone)
{
	if (since_version < r->forgotten_version || since_version > r->version)
		return false;
	for (guint i = 0; i < r->table->len; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_get(r, i);
		if (e->changed_version > since_version)
			g_array_append_val(changed, e->entry);
	}
	for (guint i = 0; i < r->gone->len; i++) {
		const Gone_ *g = &g_array_index(r->gone, Gone_, i);
		if (g->version > since_version)
			g_array_append_val(gone, g->endpoint_id);
	}
	return true;
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

/* Returns true if new requests may go there. */
bool bh__registered_endpoint_is_usable(const BH__RegisteredEndpoint *e, uint64_t now_us)
{
	return !e->entry.draining && (!e->gone_at_us || now_us < e->gone_at_us);
}

static bool is_tried_(const uint64_t *tried, unsigned count, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < count; i++)
		if (tried[i] == endpoint_id)
			return true;
	return false;
}

/* Returns an endpoint's load for the choice, in requests for each slot. */
static double cost_(const BH__RegisteredEndpoint *e, const char *hall, uint64_t now_us)
{
	double load = e->in_flight;

	if (e->reported_us && now_us < e->reported_us + REPORT_FRESH_US_)
		load = MAX(load, (double)e->reported);
	load += FAILURE_COST_ * e->failure_share;
	if (strcmp(e->entry.hall, hall) != 0)
		load += HALL_COST_;
	return load / MAX(e->entry.slots, 1u);
}

/* Returns the endpoint of a plain service with the least load, by chance among equals, or NULL. Those that
 * failed a moment ago are used only if there is no other; those in `tried` only with `again`, and only if
 * there is no other at all: one that failed a request may serve it the next time. Where one endpoint of three
 * was left that failed one request in some, 9 of 94 lookups ended with its first failure. */
BH__RegisteredEndpoint *bh__registry_pick(BH__Registry *r, const char *service, const char *hall,
										  const uint64_t *tried, unsigned tried_count, bool again,
										  uint64_t now_us)
{
	BH__RegisteredEndpoint *best = NULL;
	double best_cost = 0;
	guint start = r->table->len ? (guint)g_rand_int_range(r->rand, 0, (gint32)r->table->len) : 0;

	for (guint i = 0; i < r->table->len; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, (start + i) % r->table->len);
		bool was_tried = is_tried_(tried, tried_count, e->endpoint_id);
		double cost;
		if (strcmp(e->entry.service, service) != 0 || !bh__registered_endpoint_is_usable(e, now_us) ||
			(was_tried && !again))
			continue;
		cost = cost_(e, hall, now_us) + (now_us < e->set_aside_until_us ? ASIDE_COST_ : 0) +
			   (was_tried ? TRIED_COST_ : 0);
		if (!best || cost < best_cost) {
			best = e;
			best_cost = cost;
		}
	}
	return best;
}

/* A request goes to an endpoint. Returns the endpoint's life, for bh__registry_note_end(). */
uint64_t bh__registry_note_start(BH__Registry *r, uint64_t endpoint_id)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);

	if (!e)
		return 0;
	e->in_flight++;
	return e->life;
}

/* Learns from how a request ended, unless the endpoint has started again since the request was sent. */
void bh__registry_note_end(BH__Registry *r, uint64_t endpoint_id, uint64_t life, BH__Use use, uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);

	if (!e || e->life != life)
		return;
	e->in_flight -= e->in_flight > 0;
	if (use == BH__USE_SERVED) {
		e->failures = 0;
		e->failure_share *= 1 - FAILURE_WEIGHT_;
	}
	else if (use == BH__USE_FAILED) {
		e->failures++;
		e->failure_share += FAILURE_WEIGHT_ * (1 - e->failure_share);
		if (e->failures >= ASIDE_FAILURES_)
			e->set_aside_until_us =
				now_us + MIN(ASIDE_FIRST_US_ << MIN(e->failures - ASIDE_FAILURES_, 8u), ASIDE_MAX_US_);
	}
}

/* Takes what an endpoint said of its load. */
void bh__registry_note_load(BH__Registry *r, uint64_t endpoint_id, uint32_t running, uint32_t waiting,
							uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r, endpoint_id);

	if (!e)
		return;
	e->reported = running + waiting;
	e->reported_us = now_us;
}
