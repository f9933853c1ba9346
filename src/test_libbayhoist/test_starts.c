/* SPDX-License-Identifier: BSD-3-Clause */
/* All nodes of a large fleet start at the same moment, before a store that answers a bounded number of reads
 * a second over one link. Each node knows only itself at first. The store's list is as long, in pages and
 * bytes, as that of ten endpoints a node; the nodes' tables are shorter, so that all fit in the memory of a
 * test. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include "fleet.h"

#define POLL_US (10 * BH__MS_US)
#define LIMIT_US (6 * BH__SECOND_US) /* after which a start counts as failed */
#define PAGE 500                     /* entries in a page of the store's list */
#define ENTRY_BYTES 400              /* of an entry there */

/* Starts a fleet and returns the time after which every node serves; UINT64_MAX: some do not. */
static uint64_t play_(unsigned nodes, unsigned endpoints, unsigned node_mbps, uint32_t seed)
{
	unsigned pages = (nodes * 10 + PAGE - 1) / PAGE;
	FleetOptions o = {.nodes = nodes,
					  .halls = 5,
					  .endpoints = endpoints,
					  .starts_alone = true,
					  .page = endpoints / pages,
					  .entry_bytes = nodes * 10 * ENTRY_BYTES / endpoints,
					  .reads_per_s = 2000,
					  .store_mbps = 1000,
					  .node_mbps = node_mbps,
					  .seed = seed};
	Fleet *f = fleet_new(&o);
	uint64_t served_us = UINT64_MAX;
	uint64_t half_us = 0;
	FleetWork w;

	while (fleet_now_us(f) < FLEET_START_US + LIMIT_US && served_us == UINT64_MAX) {
		unsigned refusing;
		fleet_run(f, POLL_US);
		refusing = fleet_count_refusing(f);
		if (!half_us && refusing <= nodes / 2)
			half_us = fleet_now_us(f) - FLEET_START_US;
		if (!refusing)
			served_us = fleet_now_us(f) - FLEET_START_US;
	}
	w = fleet_take_work(f);
	print_message(
		"%u nodes, %u Mbit/s, seed %u: half serve after %d ms, all after %d ms; %u calls, busiest %u kB\n",
		nodes, node_mbps, seed, half_us ? (int)(half_us / BH__MS_US) : -1,
		served_us == UINT64_MAX ? -1 : (int)(served_us / BH__MS_US), w.calls,
		(unsigned)(w.busiest_bytes / 1000));
	fleet_delete(f);
	return served_us;
}

/* Returns 85 nodes in three halls that are about to start. */
static Fleet *fleet_new_85_(uint32_t seed)
{
	return fleet_new(&(FleetOptions){.nodes = 85,
									 .halls = 3,
									 .endpoints = 120,
									 .starts_alone = true,
									 .page = 60,
									 .entry_bytes = ENTRY_BYTES,
									 .reads_per_s = 2000,
									 .store_mbps = 1000,
									 .node_mbps = 20,
									 .seed = seed});
}

/* Starts 85 nodes while the store does not answer the first `cut` in rank to read for all. Returns as
 * play_(). */
static uint64_t play_unanswered_(unsigned cut, uint32_t seed)
{
	Fleet *f = fleet_new_85_(seed);
	uint64_t served_us = UINT64_MAX;

	fleet_set_store(f, 1000, FLEET_STORE_SILENT);
	for (unsigned i = 0; i < cut; i++)
		fleet_cut(f, fleet_find_ranked(f, i), false, true);
	while (fleet_now_us(f) < FLEET_START_US + LIMIT_US && served_us == UINT64_MAX) {
		fleet_run(f, POLL_US);
		if (!fleet_count_refusing(f))
			served_us = fleet_now_us(f) - FLEET_START_US;
	}
	print_message("85 nodes, the first %u in rank unanswered, seed %u: all serve after %d ms\n", cut, seed,
				  served_us == UINT64_MAX ? -1 : (int)(served_us / BH__MS_US));
	fleet_delete(f);
	return served_us;
}

/* The store is silent while all start, and answers 3 s later. */
static void a_store_that_is_away_is_found_when_it_returns_(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 3; seed++) {
		Fleet *f = fleet_new_85_(seed);
		uint64_t back_us;
		fleet_set_store(f, 0, FLEET_STORE_SILENT);
		fleet_run(f, 3 * BH__SECOND_US);
		fleet_set_store(f, 1000, FLEET_STORE_SILENT);
		back_us = fleet_now_us(f);
		while (fleet_count_refusing(f) && fleet_now_us(f) < back_us + LIMIT_US)
			fleet_run(f, POLL_US);
		print_message("85 nodes, the store back after 3 s, seed %u: all serve %u ms later\n", seed,
					  (unsigned)((fleet_now_us(f) - back_us) / BH__MS_US));
		assert_true(fleet_now_us(f) <= back_us + 2 * BH__SECOND_US);
		fleet_delete(f);
	}
}

static void a_reader_that_the_store_does_not_answer_is_passed_over_(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 3; seed++)
		for (unsigned cut = 1; cut <= 4; cut++)
			assert_true(play_unanswered_(cut, seed) <= 2 * BH__SECOND_US);
}

static void nine_nodes_serve_at_once_(void **state)
{
	(void)state;
	assert_true(play_(9, 60, 100, 1) <= 500 * BH__MS_US);
}

static void three_hundred_serve_within_two_seconds_(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 3; seed++)
		assert_true(play_(300, 600, 20, seed) <= 2 * BH__SECOND_US);
}

static void a_thousand_serve_within_four_seconds_(void **state)
{
	(void)state;
	assert_true(play_(1000, 240, 20, 1) <= 4 * BH__SECOND_US);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_store_that_is_away_is_found_when_it_returns_),
		cmocka_unit_test(a_reader_that_the_store_does_not_answer_is_passed_over_),
		cmocka_unit_test(nine_nodes_serve_at_once_),
		cmocka_unit_test(three_hundred_serve_within_two_seconds_),
		cmocka_unit_test(a_thousand_serve_within_four_seconds_)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
