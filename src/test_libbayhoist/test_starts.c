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
	const struct CMUnitTest tests[] = {cmocka_unit_test(nine_nodes_serve_at_once_),
									   cmocka_unit_test(three_hundred_serve_within_two_seconds_),
									   cmocka_unit_test(a_thousand_serve_within_four_seconds_)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
