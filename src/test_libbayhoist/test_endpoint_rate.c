/* SPDX-License-Identifier: BSD-3-Clause */
/* Endpoints that name a limit get no more of all nodes together than half as much again in any 4 s, and five
 * requests; of what they offer at least four fifths is used while requests wait for it. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include "bayhoist/planner.h"
#include "bayhoist/registry.h"

#define SPAN_US (4 * BH__SECOND_US)
#define OVER 1.5
#define SLACK 5
#define NOW_US (1000 * BH__SECOND_US)
#define DAY_US (60 * BH__SECOND_US)
#define STEP_US (5 * BH__MS_US)
#define TRAVEL_US (3 * BH__MS_US) /* from a home to a node and on to the endpoint, at least */
#define TRAVEL_SPREAD_US (60 * BH__MS_US)
#define HOMES_MAX 3
#define NODES_MAX 984

/* A fleet whose nodes all have requests for one endpoint, all the time. */
typedef struct {
	GRand *rand;
	unsigned nodes;
	BH__EndpointRate home[HOMES_MAX]; /* as nodes see it that may be home */
	uint64_t full_until_us[NODES_MAX];
	GArray *arrivals; /* uint64_t */
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
	BH__NamedLimit named = {0};

	f->rand = g_rand_new_with_seed(seed);
	f->nodes = nodes;
	f->arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	bh__named_limit_hear(&named, per_s, NOW_US);
	for (unsigned i = 0; i < HOMES_MAX; i++)
		bh__endpoint_rate_set_named(&f->home[i], &named, NOW_US);
	return f;
}

static void fleet_delete_(Fleet *f)
{
	g_rand_free(f->rand);
	g_array_unref(f->arrivals);
	g_free(f);
}

/* A node asks a home for leave, as the gateway does. */
static void ask_(Fleet *f, unsigned node, unsigned home, uint64_t patience_us, uint64_t now_us)
{
	uint64_t wait_us;
	uint64_t at_us;

	if (now_us < f->full_until_us[node])
		return;
	if (!bh__endpoint_rate_promise(&f->home[home], patience_us, now_us, &wait_us)) {
		f->full_until_us[node] = now_us + MIN(wait_us, 100 * BH__MS_US);
		return;
	}
	at_us = now_us + wait_us + TRAVEL_US + (uint64_t)g_rand_int_range(f->rand, 0, TRAVEL_SPREAD_US);
	g_array_append_val(f->arrivals, at_us);
}

static unsigned most_in_span_(Fleet *f)
{
	unsigned most = 0;

	g_array_sort(f->arrivals, compare_);
	for (guint from = 0, to = 0; to < f->arrivals->len; to++) {
		while (g_array_index(f->arrivals, uint64_t, to) - g_array_index(f->arrivals, uint64_t, from) >=
			   SPAN_US)
			from++;
		most = MAX(most, to - from + 1);
	}
	return most;
}

static void check_(Fleet *f, const char *what, double per_s, double least_share)
{
	double allowed = OVER * per_s * SPAN_US / BH__SECOND_US + SLACK;
	double share = f->arrivals->len / (per_s * DAY_US / BH__SECOND_US);
	unsigned most = most_in_span_(f);

	print_message("%s, %u nodes, %.2f a second: %u of %.1f in 4 s, %.2f used\n", what, f->nodes, per_s, most,
				  allowed, share);
	assert_true(most <= allowed);
	assert_true(share >= least_share);
}

static const unsigned Nodes_[] = {1, 9, 85, 300, NODES_MAX};
static const double Limits_[] = {0.25, 0.7, 1, 2.7, 10, 120};

/* One home all the time. */
static void an_endpoint_gets_what_it_names_(void **state)
{
	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Nodes_); i++) {
		for (unsigned j = 0; j < G_N_ELEMENTS(Limits_); j++) {
			Fleet *f = fleet_new_(Nodes_[i], Limits_[j], i * 10 + j);
			bh__endpoint_rate_set_part(&f->home[0], 1, NOW_US);
			for (uint64_t us = NOW_US; us < NOW_US + DAY_US; us += STEP_US)
				for (unsigned n = 0; n < f->nodes; n++)
					ask_(f, n, 0, 100 * BH__MS_US, us);
			check_(f, "one home", Limits_[j], 0.8);
			fleet_delete_(f);
		}
	}
}

/* A home dies every 20 s, and the next one takes over; half of the nodes hear of that half a second later,
 * and the old one, which is only cut off from the others, goes on for those. */
static void homes_that_change_add_nothing_(void **state)
{
	const uint64_t period_us = 20 * BH__SECOND_US;
	const uint64_t late_us = 500 * BH__MS_US;

	(void)state;
	for (unsigned i = 1; i < G_N_ELEMENTS(Nodes_); i++) {
		for (unsigned j = 0; j < G_N_ELEMENTS(Limits_); j++) {
			Fleet *f = fleet_new_(Nodes_[i], Limits_[j], i * 10 + j);
			for (uint64_t us = NOW_US; us < NOW_US + DAY_US; us += STEP_US) {
				uint64_t since_us = NOW_US + (us - NOW_US) / period_us * period_us;
				unsigned now = (unsigned)((us - NOW_US) / period_us) % HOMES_MAX;
				unsigned before = (now + HOMES_MAX - 1) % HOMES_MAX;
				bool overlap = us < since_us + late_us;
				double part = bh__home_part(f->nodes, f->nodes, since_us, us);
				bh__endpoint_rate_set_part(&f->home[now], part, us);
				if (!overlap)
					bh__endpoint_rate_set_part(&f->home[before], 0, us);
				for (unsigned n = 0; n < f->nodes; n++)
					ask_(f, n, n % 2 && overlap ? before : now, 100 * BH__MS_US, us);
			}
			check_(f, "homes change", Limits_[j], 0.8);
			fleet_delete_(f);
		}
	}
}

/* A third of the nodes is cut off for 30 s and has a home of its own; both count the lost ones as known. */
static void both_sides_of_a_cut_stay_within_it_(void **state)
{
	(void)state;
	for (unsigned i = 1; i < G_N_ELEMENTS(Nodes_); i++) {
		for (unsigned j = 0; j < G_N_ELEMENTS(Limits_); j++) {
			Fleet *f = fleet_new_(Nodes_[i], Limits_[j], i * 10 + j);
			unsigned lost = f->nodes / 3;
			for (uint64_t us = NOW_US; us < NOW_US + DAY_US; us += STEP_US) {
				bool cut = us >= NOW_US + 10 * BH__SECOND_US && us < NOW_US + 40 * BH__SECOND_US;
				bool known = us >= NOW_US + 12 * BH__SECOND_US && cut;
				bh__endpoint_rate_set_part(
					&f->home[0], bh__home_part(known ? f->nodes - lost : f->nodes, f->nodes, 0, us), us);
				bh__endpoint_rate_set_part(
					&f->home[1], known ? bh__home_part(lost, f->nodes, NOW_US + 12 * BH__SECOND_US, us) : 0,
					us);
				for (unsigned n = 0; n < f->nodes; n++)
					if (!cut || n >= lost || known)
						ask_(f, n, cut && n < lost ? 1 : 0, 100 * BH__MS_US, us);
			}
			check_(f, "cut", Limits_[j], 0.8);
			fleet_delete_(f);
		}
	}
}

/* Whatever waited when the endpoint named its limit, and when it names a lower one. */
static void no_burst_is_saved_up_(void **state)
{
	Fleet *f = fleet_new_(NODES_MAX, 50, 1);
	BH__NamedLimit named = {.in_force = true, .per_s = 50, .heard_us = NOW_US};

	(void)state;
	bh__endpoint_rate_set_part(&f->home[0], 1, NOW_US);
	bh__named_limit_hear(&named, 1, NOW_US + 20 * BH__SECOND_US); /* nothing was sent for 20 s */
	bh__endpoint_rate_set_named(&f->home[0], &named, NOW_US + 20 * BH__SECOND_US);
	for (uint64_t us = NOW_US + 20 * BH__SECOND_US; us < NOW_US + DAY_US; us += STEP_US)
		for (unsigned n = 0; n < f->nodes; n++)
			ask_(f, n, 0, BH__SECOND_US, us);
	assert_true(most_in_span_(f) <= OVER * 4 + SLACK);
	fleet_delete_(f);
}

/* One that takes none gets a request now and then, as long as it says so; it can't say that it takes some
 * otherwise. */
static void one_that_takes_none_is_asked_now_and_then_(void **state)
{
	Fleet *f = fleet_new_(9, 0, 1);

	(void)state;
	bh__endpoint_rate_set_part(&f->home[0], 1, NOW_US);
	for (uint64_t us = NOW_US; us < NOW_US + DAY_US; us += STEP_US)
		for (unsigned n = 0; n < f->nodes; n++)
			ask_(f, n, 0, 0, us);
	assert_in_range(f->arrivals->len, 1, DAY_US / BH__SECOND_US / 4);
	assert_true(most_in_span_(f) <= SLACK);
	fleet_delete_(f);
}

/* The least of several limits counts, and what is over counts no more. */
static void the_least_limit_counts_(void **state)
{
	BH__EndpointRate r = {0};
	BH__NamedLimit named = {.in_force = true, .per_s = 5};

	(void)state;
	assert_false(bh__endpoint_rate_is_limited(&r, NOW_US));
	assert_true(bh__endpoint_rate_admits(&r, NOW_US));
	bh__endpoint_rate_set_limit(&r, BH__LIMIT_COLD, 2, NOW_US + BH__SECOND_US, NOW_US);
	bh__endpoint_rate_set_named(&r, &named, NOW_US);
	assert_true(bh__endpoint_rate_get_per_s(&r, NOW_US) == 2);
	assert_false(bh__endpoint_rate_admits(&r, NOW_US)); /* another node counts */
	assert_true(bh__endpoint_rate_get_per_s(&r, NOW_US + BH__SECOND_US) == 5);
	named.in_force = false;
	bh__endpoint_rate_set_named(&r, &named, NOW_US);
	assert_false(bh__endpoint_rate_is_limited(&r, NOW_US + BH__SECOND_US));
}

static void put_(BH__Registry *r, uint64_t revision, uint64_t born_ms)
{
	BH__EndpointEntry e = {.id = "i-1", .service = "web", .address = "1.1.1.1:1", .hall = "h1", .slots = 6};
	BH__StoreVersion place = {.revision = revision};

	e.born_ms = born_ms;
	bh__registry_put(r, &e, place, place);
	bh__registry_set_place(r, place);
}

/* The endpoint's entry is gone from a revision on. */
static void remove_(BH__Registry *r, uint64_t revision)
{
	BH__StoreVersion gone = {.revision = revision};

	bh__registry_remove(r, bh__registry_get(r, 0)->endpoint_id, gone, 1, gone);
	bh__registry_process_tick(r, NOW_US);
	assert_int_equal(bh__registry_get_count(r), 0);
}

/* A limit is one start's: it is back with an entry that lapsed, and gone with a start under the same id. */
static void a_limit_belongs_to_one_start_(void **state)
{
	const BH__NamedLimit told = {.in_force = true, .per_s = 2, .heard_us = NOW_US};
	BH__Registry *r = bh__registry_new(1);
	BH__RegisteredEndpoint *e;

	(void)state;
	put_(r, 1, 77);
	e = bh__registry_get(r, 0);
	assert_true(bh__registered_endpoint_hear_limit(e, &told, NOW_US));
	remove_(r, 2);
	put_(r, 3, 77);
	e = bh__registry_get(r, 0);
	assert_true(e->signals.named.in_force && bh__endpoint_rate_is_limited(&e->rate, NOW_US));
	put_(r, 4, 78);
	assert_false(e->signals.named.in_force || bh__endpoint_rate_is_limited(&e->rate, NOW_US));
	assert_true(bh__registered_endpoint_hear_limit(e, &told, NOW_US));
	remove_(r, 5);
	put_(r, 6, 79);
	assert_false(bh__registry_get(r, 0)->signals.named.in_force);
	bh__registry_delete(r);
}

/* More leave than are remembered, the one that left first last of all. */
static void many_that_leave_harm_nothing_(void **state)
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
		cmocka_unit_test(an_endpoint_gets_what_it_names_),
		cmocka_unit_test(homes_that_change_add_nothing_),
		cmocka_unit_test(both_sides_of_a_cut_stay_within_it_),
		cmocka_unit_test(no_burst_is_saved_up_),
		cmocka_unit_test(one_that_takes_none_is_asked_now_and_then_),
		cmocka_unit_test(the_least_limit_counts_),
		cmocka_unit_test(a_limit_belongs_to_one_start_),
		cmocka_unit_test(many_that_leave_harm_nothing_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
