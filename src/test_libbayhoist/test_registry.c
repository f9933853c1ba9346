/* SPDX-License-Identifier: BSD-3-Clause */
/* Tests that nodes agree on the state of endpoints regardless of the order in which updates arrive. They
 * guard against outdated changes being merged as new ones: a node that starts to read the store replays
 * changes that all others know, sees an endpoint return before it sees it leave, and broadcasts that return.
 * Other nodes then send requests to an endpoint that was gone two seconds before. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include "bayhoist/hash.h"
#include "bayhoist/outage.h"
#include "bayhoist/registry.h"

#define HISTORIES 400
#define ENDPOINTS 4
#define CHANGES 40
#define DELIVERIES 200
#define NOW_US (1000 * BH__SECOND_US)

/* One change of the store: an entry was written, or was removed. */
typedef struct {
	BH__StoreVersion store_version;
	BH__EndpointEntry entry;
	bool gone;
} Change;

static BH__StoreVersion version_at_(uint64_t revision)
{
	return (BH__StoreVersion){.revision = revision};
}

static BH__EndpointEntry entry_(unsigned i, uint64_t born_ms, bool draining)
{
	BH__EndpointEntry e = {
		.service = "s", .hall = "h1", .slots = 4, .born_ms = born_ms, .draining = draining};

	snprintf(e.id, sizeof e.id, "i-%u", i);
	snprintf(e.address, sizeof e.address, "1.1.1.%u:1", i);
	return e;
}

static void apply_change_(BH__Registry *r, const Change *c)
{
	if (c->gone)
		bh__registry_remove(r, bh__hash_name(c->entry.id), c->store_version, NOW_US, c->store_version);
	else
		bh__registry_put(r, &c->entry, c->store_version, c->store_version);
	bh__registry_process_tick(r, NOW_US);
}

static bool is_usable_(const BH__Registry *r, const char *id)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(r, bh__hash_name(id));

	return e && bh__registered_endpoint_is_usable(e, NOW_US);
}

/* Replays a lapse, the return and the departure of an endpoint on a node that already knows its departure. No
 * step changes anything. */
static void replayed_changes_have_no_effect_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	BH__EndpointEntry e = entry_(1, 7, false);
	uint64_t id = bh__hash_name(e.id);
	uint64_t version;

	(void)state;
	bh__registry_put(r, &e, version_at_(10), version_at_(10));
	bh__registry_remove(r, id, version_at_(50), NOW_US,
						version_at_(50)); /* received from the previous reader */
	bh__registry_process_tick(r, NOW_US);
	bh__registry_set_store_version(r, version_at_(50));
	version = bh__registry_get_version(r);
	bh__registry_remove(r, id, version_at_(20), NOW_US + BH__OUTAGE_GRACE_US, version_at_(60));
	assert_false(bh__registry_put(r, &e, version_at_(30), version_at_(60)));
	assert_false(is_usable_(r, e.id));
	bh__registry_remove(r, id, version_at_(50), NOW_US + BH__OUTAGE_GRACE_US, version_at_(60));
	assert_false(is_usable_(r, e.id));
	assert_int_equal(bh__registry_get_version(r), version);
	assert_true(bh__registry_put(r, &e, version_at_(70), version_at_(70))); /* it has really returned */
	assert_true(is_usable_(r, e.id));
	bh__registry_delete(r);
}

/* Generates a random store history: endpoints appear, drain, depart, return, and restart under their ids. */
static void generate_history_(GRand *rand, Change *c)
{
	uint64_t born_ms[ENDPOINTS] = {0};

	for (unsigned i = 0; i < CHANGES; i++) {
		unsigned n = (unsigned)g_rand_int_range(rand, 0, ENDPOINTS);
		if (!born_ms[n] || g_rand_int_range(rand, 0, 6) == 0)
			born_ms[n] = 100 + i;
		c[i] = (Change){.store_version = version_at_(i + 1),
						.entry = entry_(n, born_ms[n], g_rand_int_range(rand, 0, 5) == 0),
						.gone = g_rand_int_range(rand, 0, 3) == 0};
	}
}

/* Returns true if endpoint `id` is listed after the changes marked in `applied`: its last write is later than
 * its last removal. */
static bool is_listed_after_(const Change *c, const bool *applied, const char *id)
{
	bool usable = false;

	for (unsigned i = 0; i < CHANGES; i++)
		if (applied[i] && !strcmp(c[i].entry.id, id))
			usable = !c[i].gone;
	return usable;
}

/* Changes delivered in any order, some repeated and some late, produce the same tables, and at no step is an
 * endpoint usable that is known to be gone. */
static void delivery_order_does_not_matter_(void **state)
{
	GRand *rand = g_rand_new_with_seed(11);

	(void)state;
	for (unsigned h = 0; h < HISTORIES; h++) {
		Change c[CHANGES];
		bool applied[CHANGES] = {false};
		BH__Registry *in_order = bh__registry_new(1);
		BH__Registry *shuffled = bh__registry_new(1);
		generate_history_(rand, c);
		for (unsigned i = 0; i < CHANGES; i++)
			apply_change_(in_order, &c[i]);
		for (unsigned i = 0; i < DELIVERIES + CHANGES; i++) {
			unsigned n = i < DELIVERIES ? (unsigned)g_rand_int_range(rand, 0, CHANGES) : i - DELIVERIES;
			apply_change_(shuffled, &c[n]);
			applied[n] = true;
			if (is_usable_(shuffled, c[n].entry.id))
				assert_true(is_listed_after_(c, applied, c[n].entry.id));
		}
		for (unsigned n = 0; n < ENDPOINTS; n++) {
			const BH__EndpointEntry e = entry_(n, 0, false);
			const BH__RegisteredEndpoint *a = bh__registry_find(in_order, bh__hash_name(e.id));
			const BH__RegisteredEndpoint *b = bh__registry_find(shuffled, bh__hash_name(e.id));
			assert_int_equal(a != NULL, b != NULL);
			assert_int_equal(is_usable_(in_order, e.id), is_usable_(shuffled, e.id));
			if (a) {
				assert_true(a->entry.born_ms == b->entry.born_ms);
				assert_int_equal(a->entry.draining, b->entry.draining);
			}
		}
		bh__registry_delete(in_order);
		bh__registry_delete(shuffled);
	}
	g_rand_free(rand);
}

/* Sends to `to` all state of `from` that it lacks, as nodes do. */
static void send_updates_(const BH__Registry *from, BH__Registry *to)
{
	GArray *facts = g_array_new(FALSE, FALSE, sizeof(BH__EndpointRecord));
	GArray *gone = g_array_new(FALSE, FALSE, sizeof(BH__EndpointDeparture));
	BH__StoreVersion store_version = bh__registry_get_store_version(from);

	if (!bh__registry_list_changes(from, bh__registry_get_store_version(to), NOW_US, facts, gone))
		for (unsigned i = 0; i < bh__registry_get_count(from); i++)
			bh__registry_add_record(from, i, NOW_US, facts);
	for (guint i = 0; i < facts->len; i++)
		bh__registry_put_record(to, &g_array_index(facts, BH__EndpointRecord, i), store_version, NOW_US);
	for (guint i = 0; i < gone->len; i++)
		bh__registry_put_departure(to, &g_array_index(gone, BH__EndpointDeparture, i), store_version);
	bh__registry_set_store_version(to, store_version);
	bh__registry_process_tick(to, NOW_US);
	g_array_unref(facts);
	g_array_unref(gone);
}

/* Any node may continue reading the store from the version it has received, and any node may update any
 * other. At each step, the view of a node that has reached the latest version matches the store. */
static void any_node_can_continue_reading_(void **state)
{
	GRand *rand = g_rand_new_with_seed(12);

	(void)state;
	for (unsigned h = 0; h < HISTORIES; h++) {
		Change c[CHANGES];
		bool all[CHANGES] = {false};
		BH__Registry *node[3];
		generate_history_(rand, c);
		for (unsigned n = 0; n < 3; n++)
			node[n] = bh__registry_new(n);
		for (unsigned i = 0; i < CHANGES; i++) {
			BH__Registry *reader = node[g_rand_int_range(rand, 0, 3)];
			all[i] = true;
			for (uint64_t k = bh__registry_get_store_version(reader).revision; k <= i; k++)
				apply_change_(reader, &c[k]);
			bh__registry_set_store_version(reader, version_at_(i + 1));
			for (unsigned n = 0; n < 3; n++) {
				BH__Registry *from = node[g_rand_int_range(rand, 0, 3)];
				if (from != node[n])
					send_updates_(from, node[n]);
				if (bh__registry_get_store_version(node[n]).revision != i + 1)
					continue;
				for (unsigned e = 0; e < ENDPOINTS; e++) {
					const BH__EndpointEntry known = entry_(e, 0, false);
					bool listed = bh__registry_find(node[n], bh__hash_name(known.id)) != NULL;
					assert_int_equal(listed, is_listed_after_(c, all, known.id));
				}
			}
		}
		for (unsigned n = 0; n < 3; n++)
			bh__registry_delete(node[n]);
	}
	g_rand_free(rand);
}

/* The store is restored from a backup made at revision 20, and is first read again at revision 25. Departures
 * merged after the backup override entries in the backup until an entry is written in the new era. This also
 * holds for a node that receives the rollback from another node, and for one that missed an era. */
static void rollback_restores_no_departed_endpoint_(void **state)
{
	BH__Registry *reader = bh__registry_new(1);
	BH__Registry *other = bh__registry_new(2);
	BH__EndpointEntry departed = entry_(1, 7, false);
	BH__EndpointEntry remaining = entry_(2, 7, false);
	const BH__StoreVersion start = {.era = 1, .revision = 25};
	const BH__StoreVersion new_write = {.era = 1, .revision = 30};
	const BH__StoreVersion third_era_version = {.era = 3, .revision = 18};

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		BH__Registry *r = i ? other : reader;
		bh__registry_put(r, &departed, version_at_(10), version_at_(50));
		bh__registry_put(r, &remaining, version_at_(12), version_at_(50));
		bh__registry_remove(r, bh__hash_name(departed.id), version_at_(40), NOW_US, version_at_(50));
		bh__registry_process_tick(r, NOW_US);
		bh__registry_set_store_version(r, version_at_(50));
	}
	bh__registry_begin_era(reader, start);
	assert_false(bh__registry_put(reader, &departed, (BH__StoreVersion){.era = 1, .revision = 18}, start));
	bh__registry_put(reader, &remaining, (BH__StoreVersion){.era = 1, .revision = 19}, start);
	bh__registry_set_store_version(reader, start);
	assert_false(is_usable_(reader, departed.id));
	assert_true(is_usable_(reader, remaining.id));
	bh__registry_begin_era(other, start); /* as it is received with the changes */
	send_updates_(reader, other);
	assert_false(is_usable_(other, departed.id));
	assert_true(is_usable_(other, remaining.id));
	assert_true(bh__registry_put(reader, &departed, new_write, new_write)); /* it has really returned */
	bh__registry_set_store_version(reader, new_write);
	send_updates_(reader, other);
	assert_true(is_usable_(other, departed.id));
	bh__registry_remove(other, bh__hash_name(remaining.id), new_write, NOW_US, new_write);
	bh__registry_process_tick(other, NOW_US);
	bh__registry_begin_era(other, third_era_version); /* this node never observed the second era */
	assert_false(bh__registry_put(other, &remaining, third_era_version, third_era_version));
	assert_false(is_usable_(other, remaining.id));
	bh__registry_delete(reader);
	bh__registry_delete(other);
}

/* After an outage, a removed entry may return within a grace period, and nodes send each other what is left
 * of it. A node on which the period has ended does not start it again. */
static void grace_period_is_shared_among_nodes_(void **state)
{
	BH__Registry *reader = bh__registry_new(1);
	BH__Registry *other = bh__registry_new(2);
	BH__EndpointEntry e = entry_(1, 7, false);
	uint64_t id = bh__hash_name(e.id);

	(void)state;
	bh__registry_put(reader, &e, version_at_(1), version_at_(1));
	bh__registry_set_store_version(reader, version_at_(1));
	bh__registry_remove(reader, id, version_at_(2), NOW_US + 500, version_at_(3));
	bh__registry_set_store_version(reader, version_at_(3));
	send_updates_(reader, other); /* it has no state yet, so it receives the whole table */
	assert_true(is_usable_(other, e.id));
	assert_true(bh__registry_find(other, id)->gone_at_us == NOW_US + 500);
	bh__registry_remove(other, id, version_at_(2), NOW_US,
						version_at_(3)); /* its own platform read shows what it received */
	assert_true(is_usable_(other, e.id));
	bh__registry_process_tick(other, NOW_US + 500);
	assert_null(bh__registry_find(other, id));
	send_updates_(reader, other);
	assert_null(bh__registry_find(other, id));
	bh__registry_delete(reader);
	bh__registry_delete(other);
}

/* Only entries that lapsed while no node could reach the store get a grace period: not those that lapsed
 * while this node received updates from others, while this node was suspended, or after the store returned.
 */
static void only_an_outage_grants_a_grace_period_(void **state)
{
	BH__Outage o = {0};
	const uint64_t back_us = BH__OUTAGE_GRACE_US;

	(void)state;
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 5000000, NOW_US) ==
				NOW_US); /* no evidence of an outage */
	bh__outage_note_read_failed(&o, NOW_US - 4800000, 800000,
								NOW_US - 1000000); /* this node was suspended meanwhile */
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 5000000, NOW_US) == NOW_US);
	bh__outage_note_read_failed(&o, NOW_US - 1800000, 800000, NOW_US - 1000000);
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 5000000, NOW_US) == NOW_US + back_us);
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 900000, NOW_US) ==
				NOW_US); /* received from others since */
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 1200000, NOW_US) ==
				NOW_US); /* shorter than an entry's lifetime */
	assert_true(bh__outage_get_gone_at_us(&o, 0, NOW_US) == NOW_US);
	o = (BH__Outage){0};
	bh__outage_note_others_out_of_sync(&o, NOW_US - 10);
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 3000000, NOW_US) == NOW_US + back_us);
}

/* Updates of hall drains arrive in any order, from the store and from other nodes: the latest one takes
 * precedence, and endpoints added later are in a draining hall as well. */
static void latest_hall_update_takes_precedence_(void **state)
{
	GRand *rand = g_rand_new_with_seed(5);

	(void)state;
	for (unsigned history = 0; history < HISTORIES; history++) {
		BH__Registry *r = bh__registry_new(1);
		BH__EndpointEntry e = entry_(1, 7, false);
		uint64_t latest = 0;
		for (unsigned i = 0; i < 12; i++) {
			uint64_t revision = (uint64_t)g_rand_int_range(rand, 10, 40);
			bool drains = revision % 3 != 0;
			bool is_newer = bh__registry_put_hall(r, "h1", drains, version_at_(revision), NOW_US);
			assert_int_equal(is_newer, revision > latest);
			latest = MAX(latest, revision);
			assert_int_equal(bh__registry_is_hall_draining(r, "h1"), latest % 3 != 0);
			if (i == 6)
				bh__registry_put(r, &e, version_at_(5), version_at_(50));
			if (i >= 6)
				assert_int_equal(is_usable_(r, e.id), latest % 3 == 0);
		}
		assert_false(bh__registry_is_hall_draining(r, "h2"));
		bh__registry_delete(r);
	}
	g_rand_free(rand);
}

/* A complete list of draining halls ends the drains that it lacks, except those written after it. After a
 * store rollback, it does so only after the grace period in which operators write the drains again. */
static void complete_hall_list_ends_missing_drains_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	GHashTable *none = g_hash_table_new(g_str_hash, g_str_equal);
	BH__EndpointEntry e = entry_(1, 7, false);

	(void)state;
	bh__registry_set_store_version(r, version_at_(30));
	bh__registry_put_hall(r, "h1", true, version_at_(20), NOW_US);
	bh__registry_retain_halls(r, none, version_at_(19), NOW_US);
	assert_true(bh__registry_is_hall_draining(r, "h1"));
	bh__registry_retain_halls(r, none, version_at_(21), NOW_US);
	assert_false(bh__registry_is_hall_draining(r, "h1"));
	bh__registry_put_hall(r, "h1", true, version_at_(25), NOW_US);
	bh__registry_put(r, &e, version_at_(24), version_at_(25));
	assert_true(bh__registry_get_drained_since_us(r, "s", NOW_US + 1) == NOW_US);
	assert_true(bh__registry_get_drained_since_us(r, "other", NOW_US + 1) == 0);
	bh__registry_retain_halls(r, none, (BH__StoreVersion){.era = 1, .revision = 3}, NOW_US);
	bh__registry_process_tick(r, NOW_US + BH__OUTAGE_GRACE_US - 1);
	assert_true(bh__registry_is_hall_draining(r, "h1"));
	bh__registry_process_tick(r, NOW_US + BH__OUTAGE_GRACE_US);
	assert_false(bh__registry_is_hall_draining(r, "h1"));
	g_hash_table_unref(none);
	bh__registry_delete(r);
}

/* When the table is full, halls that are not draining are evicted first. */
static void draining_halls_are_evicted_last_(void **state)
{
	BH__Registry *r = bh__registry_new(1);

	(void)state;
	for (unsigned i = 0; i < 10 * BH__HALLS_MAX; i++) {
		char name[BH__NAME_LEN];
		snprintf(name, sizeof name, "h%u", i);
		bh__registry_put_hall(r, name, i < 10, version_at_(i + 1), NOW_US);
	}
	assert_int_equal(bh__registry_get_hall_count(r), BH__HALLS_MAX);
	assert_true(bh__registry_is_hall_draining(r, "h0") && bh__registry_is_hall_draining(r, "h9"));
	bh__registry_delete(r);
}

/* An announcement of leaving has no store version. Whenever it arrives, it holds for the incarnation that
 * sent it, against each kind of older or ignorant update, and for no later incarnation. */
static void announced_leaving_holds_for_its_incarnation_(void **state)
{
	enum { STEPS = 7 };
	GRand *rand = g_rand_new_with_seed(48);

	(void)state;
	for (unsigned round = 0; round < 2000; round++) {
		BH__Registry *r = bh__registry_new(round);
		BH__Registry *other = bh__registry_new(round);
		BH__EndpointEntry first = entry_(1, 7, false);
		BH__EndpointEntry second = entry_(1, 9, false);
		uint64_t id = bh__hash_name(first.id);
		bool has_announced = false;
		bool is_listed = false;
		unsigned order[STEPS] = {0, 1, 2, 3, 4, 5, 6};
		for (unsigned i = STEPS - 1; i > 0; i--) {
			unsigned k = (unsigned)g_rand_int_range(rand, 0, (gint32)i + 1);
			unsigned was = order[i];
			order[i] = order[k];
			order[k] = was;
		}
		bh__registry_put(other, &first, version_at_(12),
						 version_at_(40)); /* a node that has not received the announcement */
		for (unsigned i = 0; i < STEPS; i++) {
			switch (order[i]) {
			case 0:
				bh__registry_note_leaving(r, id, first.born_ms);
				has_announced = true;
				break;
			case 1: /* an entry without the leaving mark: read, written again, and written once more after it
					   lapsed */
				bh__registry_put(r, &first, version_at_(10), version_at_(10));
				is_listed = true;
				break;
			case 2:
				bh__registry_put(r, &first, version_at_(12), version_at_(14));
				is_listed = true;
				break;
			case 3:
				bh__registry_remove(r, id, version_at_(20), NOW_US, version_at_(20));
				break;
			case 4:
				bh__registry_put(r, &first, version_at_(30), version_at_(30));
				is_listed = true;
				break;
			case 5:
				send_updates_(other, r);
				is_listed = true;
				break;
			case 6: /* the store was restored from a backup */
				bh__registry_begin_era(r, (BH__StoreVersion){.era = 1, .revision = 5});
				bh__registry_put(r, &first, (BH__StoreVersion){.era = 1, .revision = 3},
								 (BH__StoreVersion){.era = 1, .revision = 6});
				is_listed = true;
				break;
			}
			bh__registry_process_tick(r, NOW_US);
			assert_false(has_announced && is_usable_(r, first.id));
		}
		assert_true(is_listed);
		bh__registry_put(r, &second, (BH__StoreVersion){.era = 1, .revision = 50},
						 (BH__StoreVersion){.era = 1, .revision = 50});
		assert_true(is_usable_(r, first.id));
		bh__registry_note_leaving(r, id, first.born_ms); /* late, from the earlier incarnation */
		assert_true(is_usable_(r, first.id));
		bh__registry_note_leaving(r, id, second.born_ms);
		assert_false(is_usable_(r, first.id));
		bh__registry_delete(r);
		bh__registry_delete(other);
	}
	g_rand_free(rand);
}

/* An endpoint asks this node for backoff: the latest end counts regardless of what is received before or
 * after, including updates of its entry. A later incarnation is not affected. */
static void backoff_ends_by_time_or_restart_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	BH__EndpointEntry e = entry_(1, 7, false);
	BH__EndpointEntry other = entry_(2, 7, false);
	uint64_t id = bh__hash_name(e.id);
	uint64_t until_us = NOW_US + 3 * BH__SECOND_US;
	uint64_t backing_off[4];

	(void)state;
	bh__registry_put(r, &e, version_at_(10), version_at_(10));
	assert_int_equal(bh__registry_get_available_us(r, "s", NOW_US), 0);
	assert_true(bh__registered_endpoint_receive_backoff(bh__registry_find(r, id), until_us));
	assert_false(bh__registered_endpoint_receive_backoff(bh__registry_find(r, id), until_us - 1));
	bh__registry_note_end(r, id, bh__registry_find(r, id)->incarnation, BH__ENDPOINT_OUTCOME_SERVED, NOW_US);
	assert_false(bh__registered_endpoint_accepts_requests(bh__registry_find(r, id), until_us - 1));
	assert_true(bh__registered_endpoint_accepts_requests(bh__registry_find(r, id), until_us));
	assert_true(is_usable_(r, e.id)); /* for other nodes */
	assert_int_equal(bh__registry_get_available_us(r, "s", NOW_US), until_us);
	assert_null(bh__registry_pick(r, "s", "h1", NULL, 0, true, NOW_US));
	assert_int_equal(bh__registry_list_backoffs(r, "s", NOW_US, backing_off, 4), 1);
	assert_int_equal(backing_off[0], id);
	assert_int_equal(bh__registry_list_backoffs(r, "another", NOW_US, backing_off, 4), 0);
	bh__registry_put(r, &other, version_at_(11), version_at_(11));
	assert_int_equal(bh__registry_get_available_us(r, "s", NOW_US), 0);
	assert_int_equal(bh__registry_pick(r, "s", "h1", NULL, 0, true, NOW_US)->endpoint_id,
					 bh__hash_name(other.id));

	bh__registry_remove(r, id, version_at_(12), NOW_US, version_at_(12)); /* the entry lapses and returns */
	bh__registry_process_tick(r, NOW_US);
	assert_null(bh__registry_find(r, id));
	bh__registry_put(r, &e, version_at_(13), version_at_(13));
	assert_false(bh__registered_endpoint_accepts_requests(bh__registry_find(r, id), until_us - 1));
	e.born_ms++;
	bh__registry_put(r, &e, version_at_(14), version_at_(14));
	assert_true(bh__registered_endpoint_accepts_requests(bh__registry_find(r, id), NOW_US));
	bh__registry_delete(r);
}

/* A node that has read the whole list knows no endpoints that had left before, so it cannot tell their
 * departure to a node that still lists them: that one needs the whole table. Otherwise a node that starts
 * right after a departure and is asked by others has them keep an endpoint that is gone. */
static void a_node_that_has_read_the_list_tells_the_whole_table_(void **state)
{
	BH__Registry *started = bh__registry_new(1);
	GHashTable *ids = g_hash_table_new(g_int64_hash, g_int64_equal);
	GArray *records = g_array_new(FALSE, FALSE, sizeof(BH__EndpointRecord));
	GArray *departures = g_array_new(FALSE, FALSE, sizeof(BH__EndpointDeparture));
	BH__EndpointEntry stays = entry_(1, 7, false);
	uint64_t id = bh__hash_name(stays.id);

	(void)state;
	bh__registry_put(started, &stays, version_at_(10), version_at_(20)); /* another one left at 15 */
	g_hash_table_add(ids, &id);
	bh__registry_retain_only(started, ids, version_at_(20), NOW_US);
	bh__registry_set_store_version(started, version_at_(20));
	assert_false(bh__registry_list_changes(started, version_at_(12), NOW_US, records, departures));
	assert_true(bh__registry_list_changes(started, version_at_(20), NOW_US, records, departures));
	assert_int_equal(records->len + departures->len, 0);
	g_hash_table_unref(ids);
	g_array_unref(records);
	g_array_unref(departures);
	bh__registry_delete(started);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_node_that_has_read_the_list_tells_the_whole_table_),
		cmocka_unit_test(replayed_changes_have_no_effect_),
		cmocka_unit_test(delivery_order_does_not_matter_),
		cmocka_unit_test(any_node_can_continue_reading_),
		cmocka_unit_test(rollback_restores_no_departed_endpoint_),
		cmocka_unit_test(grace_period_is_shared_among_nodes_),
		cmocka_unit_test(announced_leaving_holds_for_its_incarnation_),
		cmocka_unit_test(backoff_ends_by_time_or_restart_),
		cmocka_unit_test(only_an_outage_grants_a_grace_period_),
		cmocka_unit_test(latest_hall_update_takes_precedence_),
		cmocka_unit_test(complete_hall_list_ends_missing_drains_),
		cmocka_unit_test(draining_halls_are_evicted_last_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
