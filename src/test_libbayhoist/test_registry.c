/* SPDX-License-Identifier: BSD-3-Clause */
/* What nodes believe of endpoints, whichever order the news come in.
 *
 * An endpoint that had left got requests again two seconds later. A node that began to read the store went
 * through changes which all others knew, took each for news, and told the others of an endpoint that it had
 * just seen come back, and not yet seen leave. Its log had `gone in_ms=2199`, `ready`, `gone in_ms=2199` of
 * that endpoint, another's had `gone in_ms=0` two seconds before. */
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

/* One change of the store: an entry as written, or that it went. */
typedef struct {
	BH__StoreVersion store_version;
	BH__EndpointEntry entry;
	bool gone;
} Change;

static BH__StoreVersion at_(uint64_t revision)
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

static void take_(BH__Registry *r, const Change *c)
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

/* The changes that broke it: a lapse, the return, the leaving. Of a node that knows the end already nothing
 * changes at any step. */
static void an_old_stretch_changes_nothing_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	BH__EndpointEntry e = entry_(1, 7, false);
	uint64_t id = bh__hash_name(e.id);
	uint64_t version;

	(void)state;
	bh__registry_put(r, &e, at_(10), at_(10));
	bh__registry_remove(r, id, at_(50), NOW_US, at_(50)); /* told by the reader of before */
	bh__registry_process_tick(r, NOW_US);
	bh__registry_set_place(r, at_(50));
	version = bh__registry_get_version(r);
	bh__registry_remove(r, id, at_(20), NOW_US + BH__OUTAGE_GRACE_US, at_(60));
	assert_false(bh__registry_put(r, &e, at_(30), at_(60)));
	assert_false(is_usable_(r, e.id));
	bh__registry_remove(r, id, at_(50), NOW_US + BH__OUTAGE_GRACE_US, at_(60));
	assert_false(is_usable_(r, e.id));
	assert_int_equal(bh__registry_get_version(r), version);
	assert_true(bh__registry_put(r, &e, at_(70), at_(70))); /* it is back in fact */
	assert_true(is_usable_(r, e.id));
	bh__registry_delete(r);
}

/* Draws a history of the store: endpoints come, drain, go, come back, and start again under their ids. */
static void draw_(GRand *rand, Change *c)
{
	uint64_t born_ms[ENDPOINTS] = {0};

	for (unsigned i = 0; i < CHANGES; i++) {
		unsigned n = (unsigned)g_rand_int_range(rand, 0, ENDPOINTS);
		if (!born_ms[n] || g_rand_int_range(rand, 0, 6) == 0)
			born_ms[n] = 100 + i;
		c[i] = (Change){.store_version = at_(i + 1),
						.entry = entry_(n, born_ms[n], g_rand_int_range(rand, 0, 5) == 0),
						.gone = g_rand_int_range(rand, 0, 3) == 0};
	}
}

/* Returns true if `id` may be used by a node that took the changes of which `taken` tells: it was written
 * later than it was last gone. */
static bool may_be_used_(const Change *c, const bool *taken, const char *id)
{
	bool usable = false;

	for (unsigned i = 0; i < CHANGES; i++)
		if (taken[i] && !strcmp(c[i].entry.id, id))
			usable = !c[i].gone;
	return usable;
}

/* Changes that come in any order, some twice and some late, end in the same tables, and on no step is one
 * used that is known to be gone. */
static void any_order_ends_the_same_(void **state)
{
	GRand *rand = g_rand_new_with_seed(11);

	(void)state;
	for (unsigned h = 0; h < HISTORIES; h++) {
		Change c[CHANGES];
		bool taken[CHANGES] = {false};
		BH__Registry *straight = bh__registry_new(1);
		BH__Registry *mixed = bh__registry_new(1);
		draw_(rand, c);
		for (unsigned i = 0; i < CHANGES; i++)
			take_(straight, &c[i]);
		for (unsigned i = 0; i < DELIVERIES + CHANGES; i++) {
			unsigned n = i < DELIVERIES ? (unsigned)g_rand_int_range(rand, 0, CHANGES) : i - DELIVERIES;
			take_(mixed, &c[n]);
			taken[n] = true;
			if (is_usable_(mixed, c[n].entry.id))
				assert_true(may_be_used_(c, taken, c[n].entry.id));
		}
		for (unsigned n = 0; n < ENDPOINTS; n++) {
			const BH__EndpointEntry e = entry_(n, 0, false);
			const BH__RegisteredEndpoint *a = bh__registry_find(straight, bh__hash_name(e.id));
			const BH__RegisteredEndpoint *b = bh__registry_find(mixed, bh__hash_name(e.id));
			assert_int_equal(a != NULL, b != NULL);
			assert_int_equal(is_usable_(straight, e.id), is_usable_(mixed, e.id));
			if (a) {
				assert_true(a->entry.born_ms == b->entry.born_ms);
				assert_int_equal(a->entry.draining, b->entry.draining);
			}
		}
		bh__registry_delete(straight);
		bh__registry_delete(mixed);
	}
	g_rand_free(rand);
}

/* Hands on what `to` does not know, as nodes do. */
static void tell_(const BH__Registry *from, BH__Registry *to)
{
	GArray *facts = g_array_new(FALSE, FALSE, sizeof(BH__EndpointFact));
	GArray *gone = g_array_new(FALSE, FALSE, sizeof(BH__EndpointDeparture));
	BH__StoreVersion store_version = bh__registry_get_place(from);

	if (!bh__registry_list_changes(from, bh__registry_get_place(to), NOW_US, facts, gone))
		for (unsigned i = 0; i < bh__registry_get_count(from); i++)
			bh__registry_add_fact(from, i, NOW_US, facts);
	for (guint i = 0; i < facts->len; i++)
		bh__registry_put_fact(to, &g_array_index(facts, BH__EndpointFact, i), store_version, NOW_US);
	for (guint i = 0; i < gone->len; i++)
		bh__registry_put_departure(to, &g_array_index(gone, BH__EndpointDeparture, i), store_version);
	bh__registry_set_place(to, store_version);
	bh__registry_process_tick(to, NOW_US);
	g_array_unref(facts);
	g_array_unref(gone);
}

/* Any node may go on reading from where it was told, and any may tell any: at each moment a node whose place
 * is the last believes what the store holds. */
static void readers_change_at_any_place_(void **state)
{
	GRand *rand = g_rand_new_with_seed(12);

	(void)state;
	for (unsigned h = 0; h < HISTORIES; h++) {
		Change c[CHANGES];
		bool all[CHANGES] = {false};
		BH__Registry *node[3];
		draw_(rand, c);
		for (unsigned n = 0; n < 3; n++)
			node[n] = bh__registry_new(n);
		for (unsigned i = 0; i < CHANGES; i++) {
			BH__Registry *reader = node[g_rand_int_range(rand, 0, 3)];
			all[i] = true;
			for (uint64_t k = bh__registry_get_place(reader).revision; k <= i; k++)
				take_(reader, &c[k]);
			bh__registry_set_place(reader, at_(i + 1));
			for (unsigned n = 0; n < 3; n++) {
				BH__Registry *from = node[g_rand_int_range(rand, 0, 3)];
				if (from != node[n])
					tell_(from, node[n]);
				if (bh__registry_get_place(node[n]).revision != i + 1)
					continue;
				for (unsigned e = 0; e < ENDPOINTS; e++) {
					const BH__EndpointEntry known = entry_(e, 0, false);
					bool listed = bh__registry_find(node[n], bh__hash_name(known.id)) != NULL;
					assert_int_equal(listed, may_be_used_(c, all, known.id));
				}
			}
		}
		for (unsigned n = 0; n < 3; n++)
			bh__registry_delete(node[n]);
	}
	g_rand_free(rand);
}

/* The store comes back from a copy made at revision 20, and is seen first at 25. What was learnt after the
 * copy holds against what the copy shows, until something is written in the new era; also for a node that
 * hears of it from another, and one that missed an era. */
static void a_copy_brings_nothing_back_(void **state)
{
	BH__Registry *reader = bh__registry_new(1);
	BH__Registry *other = bh__registry_new(2);
	BH__EndpointEntry left = entry_(1, 7, false);
	BH__EndpointEntry lives = entry_(2, 7, false);
	const BH__StoreVersion start = {.era = 1, .revision = 25};
	const BH__StoreVersion later = {.era = 1, .revision = 30};
	const BH__StoreVersion third = {.era = 3, .revision = 18};

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		BH__Registry *r = i ? other : reader;
		bh__registry_put(r, &left, at_(10), at_(50));
		bh__registry_put(r, &lives, at_(12), at_(50));
		bh__registry_remove(r, bh__hash_name(left.id), at_(40), NOW_US, at_(50));
		bh__registry_process_tick(r, NOW_US);
		bh__registry_set_place(r, at_(50));
	}
	bh__registry_begin_era(reader, start);
	assert_false(bh__registry_put(reader, &left, (BH__StoreVersion){.era = 1, .revision = 18}, start));
	bh__registry_put(reader, &lives, (BH__StoreVersion){.era = 1, .revision = 19}, start);
	bh__registry_set_place(reader, start);
	assert_false(is_usable_(reader, left.id));
	assert_true(is_usable_(reader, lives.id));
	bh__registry_begin_era(other, start); /* as it is told with what changed */
	tell_(reader, other);
	assert_false(is_usable_(other, left.id));
	assert_true(is_usable_(other, lives.id));
	assert_true(bh__registry_put(reader, &left, later, later)); /* it is back in fact */
	bh__registry_set_place(reader, later);
	tell_(reader, other);
	assert_true(is_usable_(other, left.id));
	bh__registry_remove(other, bh__hash_name(lives.id), later, NOW_US, later);
	bh__registry_process_tick(other, NOW_US);
	bh__registry_begin_era(other, third); /* the second was over before this node heard of it */
	assert_false(bh__registry_put(other, &lives, third, third));
	assert_false(is_usable_(other, lives.id));
	bh__registry_delete(reader);
	bh__registry_delete(other);
}

/* After an outage an entry that is gone may come back within a time, which is handed on as what is left of
 * it. A node that knows the end of that time for past does not begin it again. */
static void the_time_to_come_back_is_handed_on_(void **state)
{
	BH__Registry *reader = bh__registry_new(1);
	BH__Registry *other = bh__registry_new(2);
	BH__EndpointEntry e = entry_(1, 7, false);
	uint64_t id = bh__hash_name(e.id);

	(void)state;
	bh__registry_put(reader, &e, at_(1), at_(1));
	bh__registry_set_place(reader, at_(1));
	bh__registry_remove(reader, id, at_(2), NOW_US + 500, at_(3));
	bh__registry_set_place(reader, at_(3));
	tell_(reader, other); /* knows nothing yet, so that it is told the whole table */
	assert_true(is_usable_(other, e.id));
	assert_true(bh__registry_find(other, id)->gone_at_us == NOW_US + 500);
	bh__registry_remove(other, id, at_(2), NOW_US, at_(3)); /* its own look shows what it was told */
	assert_true(is_usable_(other, e.id));
	bh__registry_process_tick(other, NOW_US + 500);
	assert_null(bh__registry_find(other, id));
	tell_(reader, other);
	assert_null(bh__registry_find(other, id));
	bh__registry_delete(reader);
	bh__registry_delete(other);
}

/* Time to come back is for entries that went while the store answered nobody: not for those that went while
 * this node heard from others, nor while it was suspended, nor after the store's return. */
static void only_an_outage_gives_time_to_come_back_(void **state)
{
	BH__Outage o = {0};
	const uint64_t back_us = BH__OUTAGE_GRACE_US;

	(void)state;
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 5000000, NOW_US) == NOW_US); /* no sign */
	bh__outage_note_read_failed(&o, NOW_US - 4800000, 800000, NOW_US - 1000000);    /* suspended meanwhile */
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 5000000, NOW_US) == NOW_US);
	bh__outage_note_read_failed(&o, NOW_US - 1800000, 800000, NOW_US - 1000000);
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 5000000, NOW_US) == NOW_US + back_us);
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 900000, NOW_US) == NOW_US); /* others told since */
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 1200000, NOW_US) ==
				NOW_US); /* too short for a lapse */
	assert_true(bh__outage_get_gone_at_us(&o, 0, NOW_US) == NOW_US);
	o = (BH__Outage){0};
	bh__outage_note_others_out_of_sync(&o, NOW_US - 10);
	assert_true(bh__outage_get_gone_at_us(&o, NOW_US - 3000000, NOW_US) == NOW_US + back_us);
}

/* What operators wrote of halls comes in any order, from the store and from other nodes: the latest holds,
 * and endpoints that come later stand in a hall that drains. */
static void the_latest_word_on_a_hall_holds_(void **state)
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
			bool is_news = bh__registry_put_hall(r, "h1", drains, at_(revision), NOW_US);
			assert_int_equal(is_news, revision > latest);
			latest = MAX(latest, revision);
			assert_int_equal(bh__registry_is_hall_draining(r, "h1"), latest % 3 != 0);
			if (i == 6)
				bh__registry_put(r, &e, at_(5), at_(50));
			if (i >= 6)
				assert_int_equal(is_usable_(r, e.id), latest % 3 == 0);
		}
		assert_false(bh__registry_is_hall_draining(r, "h2"));
		bh__registry_delete(r);
	}
	g_rand_free(rand);
}

/* A list of all halls that drain takes back what it lacks, but not what was written after it; in a store that
 * went back to a copy only after the time in which operators write it again. */
static void a_list_of_halls_takes_back_what_it_lacks_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	GHashTable *none = g_hash_table_new(g_str_hash, g_str_equal);
	BH__EndpointEntry e = entry_(1, 7, false);

	(void)state;
	bh__registry_set_place(r, at_(30));
	bh__registry_put_hall(r, "h1", true, at_(20), NOW_US);
	bh__registry_keep_halls(r, none, at_(19), NOW_US);
	assert_true(bh__registry_is_hall_draining(r, "h1"));
	bh__registry_keep_halls(r, none, at_(21), NOW_US);
	assert_false(bh__registry_is_hall_draining(r, "h1"));
	bh__registry_put_hall(r, "h1", true, at_(25), NOW_US);
	bh__registry_put(r, &e, at_(24), at_(25));
	assert_true(bh__registry_get_drained_since_us(r, "s", NOW_US + 1) == NOW_US);
	assert_true(bh__registry_get_drained_since_us(r, "other", NOW_US + 1) == 0);
	bh__registry_keep_halls(r, none, (BH__StoreVersion){.era = 1, .revision = 3}, NOW_US);
	bh__registry_process_tick(r, NOW_US + BH__OUTAGE_GRACE_US - 1);
	assert_true(bh__registry_is_hall_draining(r, "h1"));
	bh__registry_process_tick(r, NOW_US + BH__OUTAGE_GRACE_US);
	assert_false(bh__registry_is_hall_draining(r, "h1"));
	g_hash_table_unref(none);
	bh__registry_delete(r);
}

/* Of more halls than are remembered those are forgotten that are in use. */
static void halls_that_drain_are_remembered_first_(void **state)
{
	BH__Registry *r = bh__registry_new(1);

	(void)state;
	for (unsigned i = 0; i < 10 * BH__HALLS_MAX; i++) {
		char name[BH__NAME_LEN];
		snprintf(name, sizeof name, "h%u", i);
		bh__registry_put_hall(r, name, i < 10, at_(i + 1), NOW_US);
	}
	assert_int_equal(bh__registry_get_hall_count(r), BH__HALLS_MAX);
	assert_true(bh__registry_is_hall_draining(r, "h0") && bh__registry_is_hall_draining(r, "h9"));
	bh__registry_delete(r);
}

/* What an endpoint says of its leaving has no place in the store's history. Against each kind of older or
 * blind news, and whenever it comes, it holds for the start that said it, and for no later one. */
static void a_leaving_told_by_an_answer_holds_(void **state)
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
		bool has_said = false;
		bool is_listed = false;
		unsigned order[STEPS] = {0, 1, 2, 3, 4, 5, 6};
		for (unsigned i = STEPS - 1; i > 0; i--) {
			unsigned k = (unsigned)g_rand_int_range(rand, 0, (gint32)i + 1);
			unsigned was = order[i];
			order[i] = order[k];
			order[k] = was;
		}
		bh__registry_put(other, &first, at_(12), at_(40)); /* a node that has not heard it */
		for (unsigned i = 0; i < STEPS; i++) {
			switch (order[i]) {
			case 0:
				bh__registry_note_leaving(r, id, first.born_ms);
				has_said = true;
				break;
			case 1: /* an entry that says ready; read again, written again, and once more after it lapsed */
				bh__registry_put(r, &first, at_(10), at_(10));
				is_listed = true;
				break;
			case 2:
				bh__registry_put(r, &first, at_(12), at_(14));
				is_listed = true;
				break;
			case 3:
				bh__registry_remove(r, id, at_(20), NOW_US, at_(20));
				break;
			case 4:
				bh__registry_put(r, &first, at_(30), at_(30));
				is_listed = true;
				break;
			case 5:
				tell_(other, r);
				is_listed = true;
				break;
			case 6: /* the store has come back from a copy */
				bh__registry_begin_era(r, (BH__StoreVersion){.era = 1, .revision = 5});
				bh__registry_put(r, &first, (BH__StoreVersion){.era = 1, .revision = 3},
								 (BH__StoreVersion){.era = 1, .revision = 6});
				is_listed = true;
				break;
			}
			bh__registry_process_tick(r, NOW_US);
			assert_false(has_said && is_usable_(r, first.id));
		}
		assert_true(is_listed);
		bh__registry_put(r, &second, (BH__StoreVersion){.era = 1, .revision = 50},
						 (BH__StoreVersion){.era = 1, .revision = 50});
		assert_true(is_usable_(r, first.id));
		bh__registry_note_leaving(r, id, first.born_ms); /* late, of the start before */
		assert_true(is_usable_(r, first.id));
		bh__registry_note_leaving(r, id, second.born_ms);
		assert_false(is_usable_(r, first.id));
		bh__registry_delete(r);
		bh__registry_delete(other);
	}
	g_rand_free(rand);
}

/* An endpoint asks this node for rest: the latest end counts, whatever is heard before or after, of its entry
 * too; a later start of it knows nothing of that. */
static void a_rest_ends_by_time_or_a_later_start_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	BH__EndpointEntry e = entry_(1, 7, false);
	BH__EndpointEntry other = entry_(2, 7, false);
	uint64_t id = bh__hash_name(e.id);
	uint64_t until_us = NOW_US + 3 * BH__SECOND_US;
	uint64_t resting[4];

	(void)state;
	bh__registry_put(r, &e, at_(10), at_(10));
	assert_int_equal(bh__registry_get_taking_us(r, "s", NOW_US), 0);
	assert_true(bh__registered_endpoint_hear_backoff(bh__registry_find(r, id), until_us));
	assert_false(bh__registered_endpoint_hear_backoff(bh__registry_find(r, id), until_us - 1));
	bh__registry_note_end(r, id, bh__registry_find(r, id)->life, BH__USE_SERVED, NOW_US);
	assert_false(bh__registered_endpoint_takes(bh__registry_find(r, id), until_us - 1));
	assert_true(bh__registered_endpoint_takes(bh__registry_find(r, id), until_us));
	assert_true(is_usable_(r, e.id)); /* for others */
	assert_int_equal(bh__registry_get_taking_us(r, "s", NOW_US), until_us);
	assert_null(bh__registry_pick(r, "s", "h1", NULL, 0, true, NOW_US));
	assert_int_equal(bh__registry_list_backoffs(r, "s", NOW_US, resting, 4), 1);
	assert_int_equal(resting[0], id);
	assert_int_equal(bh__registry_list_backoffs(r, "another", NOW_US, resting, 4), 0);
	bh__registry_put(r, &other, at_(11), at_(11));
	assert_int_equal(bh__registry_get_taking_us(r, "s", NOW_US), 0);
	assert_int_equal(bh__registry_pick(r, "s", "h1", NULL, 0, true, NOW_US)->endpoint_id,
					 bh__hash_name(other.id));

	bh__registry_remove(r, id, at_(12), NOW_US, at_(12)); /* lapses, and is back */
	bh__registry_process_tick(r, NOW_US);
	assert_null(bh__registry_find(r, id));
	bh__registry_put(r, &e, at_(13), at_(13));
	assert_false(bh__registered_endpoint_takes(bh__registry_find(r, id), until_us - 1));
	e.born_ms++;
	bh__registry_put(r, &e, at_(14), at_(14));
	assert_true(bh__registered_endpoint_takes(bh__registry_find(r, id), NOW_US));
	bh__registry_delete(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_old_stretch_changes_nothing_),
		cmocka_unit_test(any_order_ends_the_same_),
		cmocka_unit_test(readers_change_at_any_place_),
		cmocka_unit_test(a_copy_brings_nothing_back_),
		cmocka_unit_test(the_time_to_come_back_is_handed_on_),
		cmocka_unit_test(a_leaving_told_by_an_answer_holds_),
		cmocka_unit_test(a_rest_ends_by_time_or_a_later_start_),
		cmocka_unit_test(only_an_outage_gives_time_to_come_back_),
		cmocka_unit_test(the_latest_word_on_a_hall_holds_),
		cmocka_unit_test(a_list_of_halls_takes_back_what_it_lacks_),
		cmocka_unit_test(halls_that_drain_are_remembered_first_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
