/* SPDX-License-Identifier: BSD-3-Clause */
/* Tests of the request rate limits of endpoints. In any 4 s, all nodes together send an endpoint no more than
 * 1.5 times the limit that it advertises, plus five requests. At least 0.8 of the limit is used while
 * requests wait. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include "bayhoist/planner.h"
#include "bayhoist/registry.h"

#define WINDOW_US (4 * BH__SECOND_US)
#define OVERLOAD_FACTOR 1.5 /* factor of the limit that is allowed in WINDOW_US */
#define OVERLOAD_BURST 5    /* requests that are allowed in addition */
#define NOW_US (1000 * BH__SECOND_US)
#define RUN_US (60 * BH__SECOND_US) /* simulated time */
#define STEP_US (5 * BH__MS_US)
#define NETWORK_DELAY_US (3 * BH__MS_US) /* min delay from the home to the node and on to the endpoint */
#define NETWORK_JITTER_US (60 * BH__MS_US)
#define HOMES_MAX 3
#define NODES_MAX 984

/* Nodes that all have requests for one endpoint at any time. */
typedef struct {
	GRand *rand;
	unsigned nodes;
	BH__EndpointRate home[HOMES_MAX]; /* view of the endpoint on each node that may be the home */
	uint64_t next_ask_us[NODES_MAX];  /* when a refused node may ask again */
	GArray *arrivals;                 /* uint64_t: times at which the endpoint receives requests */
} Fleet;

static gint compare_(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static Fleet *fleet_new_(unsigned nodes, double per_s, uint32_t seed)
{
	Fleet *f = g_new0(Fleet, 1);
	BH__AdvertisedLimit advertised = {0};

	f->rand = g_rand_new_with_seed(seed);
	f->nodes = nodes;
	f->arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	bh__advertised_limit_receive(&advertised, per_s, NOW_US);
	for (unsigned i = 0; i < HOMES_MAX; i++)
		bh__endpoint_rate_set_advertised(&f->home[i], &advertised, NOW_US);
	return f;
}

static void fleet_delete_(Fleet *f)
{
	g_rand_free(f->rand);
	g_array_unref(f->arrivals);
	g_free(f);
}

/* Asks a home on behalf of a node, as the gateway does, and records the arrival of the request if the home
 * grants it. */
static void ask_home_(Fleet *f, unsigned node, unsigned home, uint64_t max_wait_us, uint64_t now_us)
{
	uint64_t wait_us;
	uint64_t at_us;

	if (now_us < f->next_ask_us[node])
		return;
	if (!bh__endpoint_rate_reserve(&f->home[home], max_wait_us, now_us, &wait_us)) {
		f->next_ask_us[node] = now_us + MIN(wait_us, 100 * BH__MS_US);
		return;
	}
	at_us = now_us + wait_us + NETWORK_DELAY_US + (uint64_t)g_rand_int_range(f->rand, 0, NETWORK_JITTER_US);
	g_array_append_val(f->arrivals, at_us);
}

/* Returns the largest number of arrivals in any window of WINDOW_US. */
static unsigned max_in_window_(Fleet *f)
{
	unsigned max_count = 0;

	g_array_sort(f->arrivals, compare_);
	for (guint from = 0, to = 0; to < f->arrivals->len; to++) {
		while (g_array_index(f->arrivals, uint64_t, to) - g_array_index(f->arrivals, uint64_t, from) >=
			   WINDOW_US)
			from++;
		max_count = MAX(max_count, to - from + 1);
	}
	return max_count;
}

/* Checks the largest number of arrivals in a window, and the share of the limit that was used. */
static void check_arrivals_(Fleet *f, const char *scenario, double per_s, double min_share)
{
	double allowed = OVERLOAD_FACTOR * per_s * WINDOW_US / BH__SECOND_US + OVERLOAD_BURST;
	double share = f->arrivals->len / (per_s * RUN_US / BH__SECOND_US);
	unsigned max_count = max_in_window_(f);

	print_message("%s, %u nodes, limit %.2f/s: %u requests in 4 s (allowed %.1f), share used %.2f\n",
				  scenario, f->nodes, per_s, max_count, allowed, share);
	assert_true(max_count <= allowed);
	assert_true(share >= min_share);
}

static const unsigned Nodes_[] = {1, 9, 85, 300, NODES_MAX};
static const double Limits_[] = {0.25, 0.7, 1, 2.7, 10, 120};

/* The home does not change. */
static void one_home_keeps_the_advertised_limit_(void **state)
{
	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Nodes_); i++) {
		for (unsigned j = 0; j < G_N_ELEMENTS(Limits_); j++) {
			Fleet *f = fleet_new_(Nodes_[i], Limits_[j], i * 10 + j);
			bh__endpoint_rate_set_rate_share(&f->home[0], 1, NOW_US);
			for (uint64_t us = NOW_US; us < NOW_US + RUN_US; us += STEP_US)
				for (unsigned n = 0; n < f->nodes; n++)
					ask_home_(f, n, 0, 100 * BH__MS_US, us);
			check_arrivals_(f, "one home", Limits_[j], 0.8);
			fleet_delete_(f);
		}
	}
}

/* Every 20 s another node becomes the home. Half of the nodes are notified 500 ms later; until then they ask
 * the previous home, which is partitioned from the others and still grants requests. */
static void limit_holds_while_homes_change_(void **state)
{
	const uint64_t period_us = 20 * BH__SECOND_US;
	const uint64_t delay_us = 500 * BH__MS_US;

	(void)state;
	for (unsigned i = 1; i < G_N_ELEMENTS(Nodes_); i++) {
		for (unsigned j = 0; j < G_N_ELEMENTS(Limits_); j++) {
			Fleet *f = fleet_new_(Nodes_[i], Limits_[j], i * 10 + j);
			for (uint64_t us = NOW_US; us < NOW_US + RUN_US; us += STEP_US) {
				uint64_t since_us = NOW_US + (us - NOW_US) / period_us * period_us;
				unsigned current = (unsigned)((us - NOW_US) / period_us) % HOMES_MAX;
				unsigned previous = (current + HOMES_MAX - 1) % HOMES_MAX;
				bool overlap = us < since_us + delay_us;
				double part = bh__home_rate_share(f->nodes, f->nodes, since_us, us);
				bh__endpoint_rate_set_rate_share(&f->home[current], part, us);
				if (!overlap)
					bh__endpoint_rate_set_rate_share(&f->home[previous], 0, us);
				for (unsigned n = 0; n < f->nodes; n++)
					ask_home_(f, n, n % 2 && overlap ? previous : current, 100 * BH__MS_US, us);
			}
			check_arrivals_(f, "homes change", Limits_[j], 0.8);
			fleet_delete_(f);
		}
	}
}

/* A network partition separates a third of the nodes for 30 s. The nodes on that side have a home of their
 * own 2 s later, and both homes count the unreachable nodes as known. */
static void limit_holds_on_both_sides_of_a_partition_(void **state)
{
	(void)state;
	for (unsigned i = 1; i < G_N_ELEMENTS(Nodes_); i++) {
		for (unsigned j = 0; j < G_N_ELEMENTS(Limits_); j++) {
			Fleet *f = fleet_new_(Nodes_[i], Limits_[j], i * 10 + j);
			unsigned lost = f->nodes / 3;
			for (uint64_t us = NOW_US; us < NOW_US + RUN_US; us += STEP_US) {
				bool partitioned = us >= NOW_US + 10 * BH__SECOND_US && us < NOW_US + 40 * BH__SECOND_US;
				bool detected = us >= NOW_US + 12 * BH__SECOND_US && partitioned;
				bh__endpoint_rate_set_rate_share(
					&f->home[0], bh__home_rate_share(detected ? f->nodes - lost : f->nodes, f->nodes, 0, us),
					us);
				bh__endpoint_rate_set_rate_share(
					&f->home[1],
					detected ? bh__home_rate_share(lost, f->nodes, NOW_US + 12 * BH__SECOND_US, us) : 0, us);
				for (unsigned n = 0; n < f->nodes; n++)
					if (!partitioned || n >= lost || detected)
						ask_home_(f, n, partitioned && n < lost ? 1 : 0, 100 * BH__MS_US, us);
			}
			check_arrivals_(f, "partition", Limits_[j], 0.8);
			fleet_delete_(f);
		}
	}
}

/* An endpoint lowers its limit after 20 s without requests. What its bucket gained in that time at the higher
 * limit must not be sent as a burst. */
static void no_burst_accumulates_(void **state)
{
	Fleet *f = fleet_new_(NODES_MAX, 50, 1);
	BH__AdvertisedLimit advertised = {.in_force = true, .per_s = 50, .received_us = NOW_US};

	(void)state;
	bh__endpoint_rate_set_rate_share(&f->home[0], 1, NOW_US);
	bh__advertised_limit_receive(&advertised, 1, NOW_US + 20 * BH__SECOND_US); /* no requests for 20 s */
	bh__endpoint_rate_set_advertised(&f->home[0], &advertised, NOW_US + 20 * BH__SECOND_US);
	for (uint64_t us = NOW_US + 20 * BH__SECOND_US; us < NOW_US + RUN_US; us += STEP_US)
		for (unsigned n = 0; n < f->nodes; n++)
			ask_home_(f, n, 0, BH__SECOND_US, us);
	assert_true(max_in_window_(f) <= OVERLOAD_FACTOR * 4 + OVERLOAD_BURST);
	fleet_delete_(f);
}

/* An endpoint with a limit of 0 receives an occasional request, because only an answer can show that it
 * accepts requests again. */
static void endpoint_with_limit_zero_is_probed_(void **state)
{
	Fleet *f = fleet_new_(9, 0, 1);

	(void)state;
	bh__endpoint_rate_set_rate_share(&f->home[0], 1, NOW_US);
	for (uint64_t us = NOW_US; us < NOW_US + RUN_US; us += STEP_US)
		for (unsigned n = 0; n < f->nodes; n++)
			ask_home_(f, n, 0, 0, us);
	assert_in_range(f->arrivals->len, 1, RUN_US / BH__SECOND_US / 4);
	assert_true(max_in_window_(f) <= OVERLOAD_BURST);
	fleet_delete_(f);
}

/* The lowest of several limits counts, and a limit that has ended does not. */
static void lowest_limit_counts_(void **state)
{
	BH__EndpointRate r = {0};
	BH__AdvertisedLimit advertised = {.in_force = true, .per_s = 5};

	(void)state;
	assert_false(bh__endpoint_rate_is_limited(&r, NOW_US));
	assert_true(bh__endpoint_rate_admits(&r, NOW_US));
	bh__endpoint_rate_set_limit(&r, BH__LIMIT_COLD, 2, NOW_US + BH__SECOND_US, NOW_US);
	bh__endpoint_rate_set_advertised(&r, &advertised, NOW_US);
	assert_true(bh__endpoint_rate_get_per_s(&r, NOW_US) == 2);
	assert_false(bh__endpoint_rate_admits(&r, NOW_US)); /* another node is the home */
	assert_true(bh__endpoint_rate_get_per_s(&r, NOW_US + BH__SECOND_US) == 5);
	advertised.in_force = false;
	bh__endpoint_rate_set_advertised(&r, &advertised, NOW_US);
	assert_false(bh__endpoint_rate_is_limited(&r, NOW_US + BH__SECOND_US));
}

/* Adds or updates the endpoint's entry at a revision. */
static void put_(BH__Registry *r, uint64_t revision, uint64_t born_ms)
{
	BH__EndpointEntry e = {.id = "i-1", .service = "web", .address = "1.1.1.1:1", .hall = "h1", .slots = 6};
	BH__StoreVersion place = {.revision = revision};

	e.born_ms = born_ms;
	bh__registry_put(r, &e, place, place);
	bh__registry_set_store_version(r, place);
}

/* Removes the endpoint's entry at a revision. */
static void remove_(BH__Registry *r, uint64_t revision)
{
	BH__StoreVersion removed_at = {.revision = revision};

	bh__registry_remove(r, bh__registry_get(r, 0)->endpoint_id, removed_at, 1, removed_at);
	bh__registry_process_tick(r, NOW_US);
	assert_int_equal(bh__registry_get_count(r), 0);
}

/* A limit applies to one incarnation of an endpoint. It is restored when an entry of the same incarnation
 * returns after it has lapsed, and dropped when the endpoint restarts under the same id. */
static void limit_belongs_to_one_incarnation_(void **state)
{
	const BH__AdvertisedLimit advertised = {.in_force = true, .per_s = 2, .received_us = NOW_US};
	BH__Registry *r = bh__registry_new(1);
	BH__RegisteredEndpoint *e;

	(void)state;
	put_(r, 1, 77);
	e = bh__registry_get(r, 0);
	assert_true(bh__registered_endpoint_receive_limit(e, &advertised, NOW_US));
	remove_(r, 2);
	put_(r, 3, 77);
	e = bh__registry_get(r, 0);
	assert_true(e->signals.advertised.in_force && bh__endpoint_rate_is_limited(&e->rate, NOW_US));
	put_(r, 4, 78);
	assert_false(e->signals.advertised.in_force || bh__endpoint_rate_is_limited(&e->rate, NOW_US));
	assert_true(bh__registered_endpoint_receive_limit(e, &advertised, NOW_US));
	remove_(r, 5);
	put_(r, 6, 79);
	assert_false(bh__registry_get(r, 0)->signals.advertised.in_force);
	bh__registry_delete(r);
}

/* More endpoints leave than the registry remembers, and their departures arrive in reverse order of their
 * revisions. */
static void many_departures_are_handled_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	const BH__StoreVersion listed = {.revision = 1};
	BH__StoreVersion place = {.revision = 2000};
	const unsigned count = 1100;

	(void)state;
	for (unsigned i = 0; i < count; i++) {
		BH__EndpointEntry e = {.service = "web", .address = "1.1.1.1:1", .hall = "h1", .slots = 6};
		g_snprintf(e.id, sizeof e.id, "i-%u", i);
		bh__registry_put(r, &e, listed, listed);
	}
	for (unsigned i = 0; i < count; i++) {
		BH__RegisteredEndpoint *e = bh__registry_get(r, 0);
		place.revision--;
		bh__registry_remove(r, e->endpoint_id, place, 1, place);
		bh__registry_process_tick(r, NOW_US);
	}
	assert_int_equal(bh__registry_get_count(r), 0);
	bh__registry_delete(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_home_keeps_the_advertised_limit_),
		cmocka_unit_test(limit_holds_while_homes_change_),
		cmocka_unit_test(limit_holds_on_both_sides_of_a_partition_),
		cmocka_unit_test(no_burst_accumulates_),
		cmocka_unit_test(endpoint_with_limit_zero_is_probed_),
		cmocka_unit_test(lowest_limit_counts_),
		cmocka_unit_test(limit_belongs_to_one_incarnation_),
		cmocka_unit_test(many_departures_are_handled_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
