/* SPDX-License-Identifier: BSD-3-Clause */
/* Use of the last endpoints of a service. Guards against refusing all requests of a service from the moment
 * at which its last endpoints began to leave, while these serve on for seconds; and against sending to them
 * later than the bounds allow, whenever the change was written and however late a node learns of it. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include "bayhoist/hash.h"
#include "bayhoist/last_endpoints.h"

#define ENDPOINT_DRAIN_US (3 * BH__SECOND_US)
#define HALL_DRAIN_US (5 * BH__SECOND_US)
#define READ_US (100 * BH__SECOND_US) /* start of the latest platform read before a change */
#define LEARNED_US (READ_US + 500 * BH__MS_US)
#define FIRST_PACKET_US BH__SECOND_US /* after which a lost first packet of a connection is sent again */
#define STEP_US (10 * BH__MS_US)

static BH__StoreVersion version_at_(uint64_t revision)
{
	return (BH__StoreVersion){.era = 1, .revision = revision};
}

static BH__EndpointEntry entry_(unsigned i, const char *hall, bool draining)
{
	BH__EndpointEntry e = {.service = "web", .slots = 4, .born_ms = 7, .draining = draining};

	snprintf(e.id, sizeof e.id, "i-%u", i);
	snprintf(e.address, sizeof e.address, "1.1.1.%u:1", i);
	g_strlcpy(e.hall, hall, sizeof e.hall);
	return e;
}

static void put_(BH__Registry *r, unsigned i, const char *hall, bool draining, uint64_t revision)
{
	BH__EndpointEntry e = entry_(i, hall, draining);

	bh__registry_put(r, &e, version_at_(revision), version_at_(revision));
}

static void remove_(BH__Registry *r, unsigned i, uint64_t revision, uint64_t now_us)
{
	bh__registry_remove(r, bh__hash_name(entry_(i, "", false).id), version_at_(revision), now_us,
						version_at_(revision));
	bh__registry_process_tick(r, now_us);
}

/* Returns a registry that knows the bounds and, as of READ_US, the service's endpoints 0 in hall a and 1 in
 * hall b. */
static BH__Registry *registry_new_(void)
{
	BH__Registry *r = bh__registry_new(1);

	bh__last_endpoints_set_bounds(r, ENDPOINT_DRAIN_US, HALL_DRAIN_US);
	put_(r, 0, "a", false, 5);
	put_(r, 1, "b", false, 6);
	bh__registry_set_store_version(r, version_at_(6));
	bh__last_endpoints_note_entries_read(r, READ_US);
	bh__last_endpoints_note_halls_read(r, READ_US);
	bh__registry_process_tick(r, READ_US);
	return r;
}

static const char *pick_(BH__Registry *r, uint64_t now_us)
{
	const BH__RegisteredEndpoint *e = bh__registry_pick(r, "web", "a", NULL, 0, false, now_us);

	bh__registry_process_tick(r, now_us);
	return e ? e->entry.id : "none";
}

/* Returns until when endpoints are picked, from LEARNED_US on. */
static uint64_t get_end_(BH__Registry *r)
{
	uint64_t now_us = LEARNED_US;

	while (strcmp(pick_(r, now_us), "none") != 0)
		now_us += STEP_US;
	for (uint64_t later_us = now_us; later_us < now_us + HALL_DRAIN_US; later_us += STEP_US)
		assert_string_equal(pick_(r, later_us), "none");
	return now_us;
}

/* One hall drains, then the entry of the only other endpoint goes: the one in the hall is used, and the one
 * that is gone while it may be; then nothing is. */
static void last_ones_are_used_within_their_bounds_(void **state)
{
	BH__Registry *r = registry_new_();

	(void)state;
	bh__registry_put_hall(r, "a", true, version_at_(10), LEARNED_US);
	assert_string_equal(pick_(r, LEARNED_US), "i-1"); /* the hall gets nothing while there is another */
	remove_(r, 1, 11, LEARNED_US);
	assert_true(get_end_(r) > READ_US + HALL_DRAIN_US - 2 * FIRST_PACKET_US);
	bh__registry_delete(r);

	r = registry_new_();
	put_(r, 0, "a", true, 10);
	put_(r, 1, "b", true, 11);
	assert_in_range(get_end_(r), READ_US + ENDPOINT_DRAIN_US - 2 * FIRST_PACKET_US,
					READ_US + ENDPOINT_DRAIN_US - FIRST_PACKET_US);
	bh__registry_delete(r);

	r = registry_new_();
	remove_(r, 0, 10, LEARNED_US);
	remove_(r, 1, 11, LEARNED_US);
	assert_in_range(get_end_(r), READ_US + ENDPOINT_DRAIN_US - 2 * FIRST_PACKET_US,
					READ_US + ENDPOINT_DRAIN_US - FIRST_PACKET_US);
	bh__registry_delete(r);
}

/* One that is ready again, or new, is used alone at once, and one whose hall is taken back stays in use. */
static void usable_ones_come_first_(void **state)
{
	BH__Registry *r = registry_new_();

	(void)state;
	bh__registry_put_hall(r, "a", true, version_at_(10), LEARNED_US);
	bh__registry_put_hall(r, "b", true, version_at_(11), LEARNED_US);
	assert_string_not_equal(pick_(r, LEARNED_US), "none");
	put_(r, 2, "c", false, 12);
	for (unsigned i = 0; i < 20; i++)
		assert_string_equal(pick_(r, LEARNED_US + i * STEP_US), "i-2");
	bh__registry_put_hall(r, "b", false, version_at_(13), LEARNED_US);
	remove_(r, 2, 14, LEARNED_US);
	assert_string_equal(pick_(r, LEARNED_US + 60 * BH__SECOND_US), "i-1");
	bh__registry_delete(r);
}

/* Without a bound, without an earlier read, or after a store rollback, whose copy may show the change late,
 * nothing is known of the age of a change, and none is used. */
static void unknown_age_is_not_used_(void **state)
{
	BH__Registry *r = registry_new_();

	(void)state;
	bh__last_endpoints_set_bounds(r, ENDPOINT_DRAIN_US, 0);
	bh__registry_put_hall(r, "a", true, version_at_(10), LEARNED_US);
	bh__registry_put_hall(r, "b", true, version_at_(11), LEARNED_US);
	assert_string_equal(pick_(r, LEARNED_US), "none");
	bh__registry_delete(r);

	r = bh__registry_new(1);
	bh__last_endpoints_set_bounds(r, ENDPOINT_DRAIN_US, HALL_DRAIN_US);
	put_(r, 0, "a", false, 5);
	put_(r, 0, "a", true, 10);
	assert_string_equal(pick_(r, LEARNED_US), "none");
	bh__registry_delete(r);

	r = registry_new_();
	bh__registry_begin_era(r, (BH__StoreVersion){.era = 2, .revision = 4});
	bh__last_endpoints_note_entries_read(r, LEARNED_US);
	bh__last_endpoints_note_halls_read(r, LEARNED_US);
	bh__registry_put_hall(r, "a", true, (BH__StoreVersion){.era = 2, .revision = 10}, LEARNED_US + 1);
	bh__registry_put_hall(r, "b", true, (BH__StoreVersion){.era = 2, .revision = 11}, LEARNED_US + 1);
	assert_string_equal(pick_(r, LEARNED_US + 1), "none");
	bh__registry_delete(r);
}

/* A leaving endpoint that fails is ejected, and one whose entry is gone is not used after a failure. */
static void failing_ones_are_not_revived_(void **state)
{
	BH__Registry *r = registry_new_();
	uint64_t id[2] = {bh__hash_name("i-0"), bh__hash_name("i-1")};
	uint64_t life;

	(void)state;
	life = bh__registry_note_start(r, id[1], READ_US);
	bh__registry_note_end(r, id[1], life, BH__ENDPOINT_OUTCOME_FAILED, READ_US);
	remove_(r, 1, 10, LEARNED_US);
	bh__registry_put_hall(r, "a", true, version_at_(11), LEARNED_US);
	assert_string_equal(pick_(r, LEARNED_US), "i-0");
	for (unsigned i = 0; i < 2; i++) {
		life = bh__registry_note_start(r, id[0], LEARNED_US);
		bh__registry_note_end(r, id[0], life, BH__ENDPOINT_OUTCOME_FAILED, LEARNED_US);
	}
	assert_string_equal(pick_(r, LEARNED_US), "none");
	bh__registry_delete(r);
}

/* A fleet whose nodes read at different moments, and learn of changes up to a second late: none sends so late
 * that a request whose first packet is lost arrives after the bound, and together they use most of it. */
static void no_node_sends_too_late_(void **state)
{
	static const unsigned Counts[] = {9, 62, 300};
	GRand *rand = g_rand_new_with_seed(5);

	(void)state;
	for (unsigned k = 0; k < G_N_ELEMENTS(Counts); k++) {
		double used_us = 0;
		for (unsigned i = 0; i < Counts[k]; i++) {
			BH__Registry *r = registry_new_();
			uint64_t written_us = READ_US + (uint64_t)g_rand_int_range(rand, 0, (gint32)BH__SECOND_US);
			uint64_t now_us = written_us + (uint64_t)g_rand_int_range(rand, 0, (gint32)BH__SECOND_US);
			bh__registry_put_hall(r, "a", true, version_at_(10), now_us);
			remove_(r, 1, 11, now_us);
			while (strcmp(pick_(r, now_us), "none") != 0)
				now_us += STEP_US;
			assert_true(now_us <= written_us + HALL_DRAIN_US - FIRST_PACKET_US);
			used_us += (double)(now_us - written_us);
			bh__registry_delete(r);
		}
		print_message("%u nodes: used for %.0f ms of %.0f after the change was written\n", Counts[k],
					  used_us / Counts[k] / BH__MS_US, (double)HALL_DRAIN_US / BH__MS_US);
		assert_true(used_us / Counts[k] > 0.6 * (double)HALL_DRAIN_US);
	}
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(last_ones_are_used_within_their_bounds_), cmocka_unit_test(usable_ones_come_first_),
		cmocka_unit_test(unknown_age_is_not_used_), cmocka_unit_test(failing_ones_are_not_revived_),
		cmocka_unit_test(no_node_sends_too_late_)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
