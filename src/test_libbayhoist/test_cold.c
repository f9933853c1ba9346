/* SPDX-License-Identifier: BSD-3-Clause */
/* Endpoints that are cold bear so many requests a second, of all nodes together, and fall over at half as
 * many again and a few. Each of many nodes that were free to send one at once would bring one down. A request
 * is counted by the endpoint's home, which all nodes ask. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>
#include "bayhoist/hash.h"
#include "bayhoist/planner.h"
#include "bayhoist/registry.h"

#define PER_S 26.0
#define OVER 1.5 /* times the rate, and so many, in any second, at which one falls over */
#define SLACK 5
#define COLD_US (6 * BH__SECOND_US)
#define STEP_US (10 * BH__MS_US)
#define NOW_US (1000 * BH__SECOND_US)

typedef struct {
	BH__PlannerPort port; /* first */
	BH__Planner *planner;
	GArray *arrivals; /* uint64_t: moments */
	uint64_t now_us;
	uint64_t next_ask;
} Scheduler;

static void note_(GArray *arrivals, uint64_t now_us)
{
	g_array_append_val(arrivals, now_us);
}

/* Returns the most arrivals of any second. */
static unsigned most_in_a_second_(const GArray *arrivals)
{
	unsigned most = 0;

	for (guint from = 0, to = 0; to < arrivals->len; to++) {
		while (g_array_index(arrivals, uint64_t, to) - g_array_index(arrivals, uint64_t, from) >=
			   BH__SECOND_US)
			from++;
		most = MAX(most, to - from + 1);
	}
	return most;
}

static void put_(BH__Registry *r, uint64_t revision, uint64_t cold_until_us)
{
	BH__EndpointEntry e = {.id = "i-1", .service = "web", .address = "1.1.1.1:1", .hall = "h1", .slots = 6};
	BH__StoreVersion place = {.revision = revision};

	e.cold_until_us = cold_until_us;
	bh__registry_put(r, &e, place, place);
	bh__registry_set_place(r, place);
}

/* Every node of a fleet has requests for a plain service with one endpoint, all the time from a moment on,
 * and asks the one that is its home. */
static void ask_home_(BH__EndpointRate *rate, unsigned nodes, uint64_t from_us, GArray *arrivals)
{
	uint64_t *full_until_us = g_new0(uint64_t, nodes);

	for (uint64_t us = from_us; us < from_us + COLD_US; us += STEP_US) {
		for (unsigned n = 0; n < nodes; n++) {
			uint64_t wait_us;
			if (us < full_until_us[n])
				continue;
			if (bh__endpoint_rate_promise(rate, 0, us, &wait_us))
				note_(arrivals, us);
			else
				full_until_us[n] = us + wait_us;
		}
	}
	g_free(full_until_us);
}

static void no_fleet_brings_a_cold_endpoint_down_(void **state)
{
	const unsigned counts[] = {1, 9, 85, 300, 1000};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		BH__Registry *r = bh__registry_new(1);
		BH__RegisteredEndpoint *e;
		put_(r, 1, NOW_US + COLD_US);
		bh__registry_set_cold_rate(r, "web", PER_S, NOW_US);
		e = bh__registry_get(r, 0);
		assert_false(bh__endpoint_rate_admits(&e->rate, NOW_US)); /* but by its home */
		bh__endpoint_rate_set_part(&e->rate, bh__home_part(counts[i], counts[i], 0, NOW_US), NOW_US);
		ask_home_(&e->rate, counts[i], NOW_US, arrivals);
		print_message("%u nodes: %u requests in 6 s, %u in a second at most\n", counts[i], arrivals->len,
					  most_in_a_second_(arrivals));
		assert_true(most_in_a_second_(arrivals) <= PER_S * OVER + SLACK);
		assert_true(arrivals->len >= PER_S * COLD_US / BH__SECOND_US * 0.8);
		assert_true(bh__endpoint_rate_admits(&e->rate, NOW_US + COLD_US));
		bh__registry_delete(r);
		g_array_unref(arrivals);
	}
}

/* An endpoint that was cold, has been used since, and turns cold again gets no more than the first time,
 * though each node could by now send it a request at once. */
static void nor_one_that_turns_cold_again_(void **state)
{
	const unsigned nodes = 1000;
	const uint64_t again_us = NOW_US + 20 * BH__SECOND_US;
	GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	BH__Registry *r = bh__registry_new(1);
	BH__RegisteredEndpoint *e;

	(void)state;
	put_(r, 1, NOW_US + COLD_US);
	e = bh__registry_get(r, 0);
	bh__registry_set_cold_rate(r, "web", PER_S, NOW_US);
	bh__endpoint_rate_set_part(&e->rate, 1, NOW_US);
	put_(r, 2, again_us + COLD_US);
	bh__registry_set_cold_rate(r, "web", PER_S, again_us);
	ask_home_(&e->rate, nodes, again_us, arrivals);
	print_message("%u nodes, cold again: %u in a second at most\n", nodes, most_in_a_second_(arrivals));
	assert_true(most_in_a_second_(arrivals) <= PER_S * OVER + SLACK);
	bh__registry_delete(r);
	g_array_unref(arrivals);
}

static void on_grant_(BH__PlannerPort *port, const BH__Grant *g)
{
	Scheduler *s = (Scheduler *)port;

	note_(s->arrivals, s->now_us);
	(void)g;
}

static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	(void)port;
	(void)ask;
	(void)reason;
	(void)retry_after_ms;
}

static void on_queued_(BH__PlannerPort *port, const BH__Ask *ask)
{
	(void)port;
	(void)ask;
}

static void on_abandoned_(BH__PlannerPort *port, const BH__Grant *g)
{
	(void)port;
	(void)g;
}

static void on_inspect_(BH__PlannerPort *port, uint64_t endpoint_id)
{
	(void)port;
	(void)endpoint_id;
}

/* Engines answer at once here, so that no other limit holds. */
static Scheduler *scheduler_new_(GArray *arrivals, uint64_t boot_id, double part)
{
	const BH__Limit limit[BH__LIMIT_KIND_COUNT] = {
		[BH__LIMIT_COLD] = {.per_s = PER_S, .until_us = NOW_US + COLD_US}};
	Scheduler *s = g_new0(Scheduler, 1);
	BH__EngineModel m;

	bh__engine_model_init(&m);
	m.slots = 1000;
	m.kv_tokens = 100 * 1000 * 1000;
	s->port = (BH__PlannerPort){.grant = on_grant_,
								.refuse = on_refuse_,
								.queued = on_queued_,
								.abandoned = on_abandoned_,
								.inspect = on_inspect_};
	s->arrivals = arrivals;
	s->now_us = NOW_US;
	s->planner = bh__planner_new(&s->port, 3, boot_id);
	bh__planner_set_model(s->planner, &m);
	bh__planner_set_local(s->planner, part <= 0);
	bh__planner_set_rate_share(s->planner, part, NOW_US);
	bh__planner_set_limits(s->planner, 1, limit, NOW_US);
	bh__planner_set_endpoint(s->planner, 1, 1, false, NOW_US);
	return s;
}

static void ask_(Scheduler *s, uint64_t now_us)
{
	BH__Ask a = {.ask_id = ++s->next_ask,
				 .pool_id = 3,
				 .node_id = 1,
				 .boot_id = 1,
				 .prompt_tokens = 100,
				 .max_tokens = 10,
				 .deadline_us = BH__SECOND_US,
				 .first_event_us = 300 * BH__MS_US,
				 .event_gap_us = 200 * BH__MS_US};
	guint was = s->arrivals->len;

	s->now_us = now_us;
	bh__planner_process_ask(s->planner, &a, now_us);
	if (s->arrivals->len > was)
		bh__planner_process_progress(s->planner, 0, now_us);
}

/* One node schedules, another takes over from it in the middle of a second, of which the first does not hear,
 * and a tenth of all nodes decide alone all the while. */
static void nor_do_schedulers_that_change_(void **state)
{
	const unsigned counts[] = {9, 85, 300, 1000};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		unsigned alone_count = counts[i] / 10;
		Scheduler **alone = g_new0(Scheduler *, alone_count + 1);
		Scheduler *first = scheduler_new_(arrivals, 1, 1);
		Scheduler *second = scheduler_new_(arrivals, 2, 0);
		for (unsigned n = 0; n < alone_count; n++)
			alone[n] = scheduler_new_(arrivals, 10 + n, 0);
		for (uint64_t us = NOW_US; us < NOW_US + COLD_US; us += STEP_US) {
			if (us == NOW_US + COLD_US / 2)
				bh__planner_set_local(second->planner, false);
			if (us >= NOW_US + COLD_US / 2)
				bh__planner_set_rate_share(second->planner,
										   bh__home_part(counts[i], counts[i], NOW_US + COLD_US / 2, us), us);
			ask_(first, us);
			ask_(second, us);
			for (unsigned n = 0; n < alone_count; n++)
				ask_(alone[n], us);
		}
		print_message("%u nodes: %u grants in 6 s, %u in a second at most\n", counts[i], arrivals->len,
					  most_in_a_second_(arrivals));
		assert_true(most_in_a_second_(arrivals) <= PER_S * OVER + SLACK);
		assert_true(arrivals->len >= PER_S * COLD_US / BH__SECOND_US * 0.5);
		for (unsigned n = 0; n < alone_count; n++) {
			bh__planner_delete(alone[n]->planner);
			g_free(alone[n]);
		}
		bh__planner_delete(first->planner);
		bh__planner_delete(second->planner);
		g_free(first);
		g_free(second);
		g_free(alone);
		g_array_unref(arrivals);
	}
}

static unsigned count_changes_(const BH__Registry *r, uint64_t since)
{
	GArray *facts = g_array_new(FALSE, FALSE, sizeof(BH__EndpointFact));
	GArray *departures = g_array_new(FALSE, FALSE, sizeof(BH__EndpointDeparture));
	unsigned count;

	assert_true(
		bh__registry_list_changes(r, (BH__StoreVersion){.revision = since}, NOW_US, facts, departures));
	count = facts->len;
	g_array_unref(facts);
	g_array_unref(departures);
	return count;
}

/* That an endpoint turns cold is news, also a second time; that a little less is left of it is not. */
static void turning_cold_is_news_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	uint64_t version;

	(void)state;
	put_(r, 1, 0);
	version = bh__registry_get_version(r);
	put_(r, 2, NOW_US + 3 * BH__SECOND_US);
	assert_true(bh__registry_get_version(r) > version);
	assert_int_equal(count_changes_(r, 1), 1);
	version = bh__registry_get_version(r);
	put_(r, 3, NOW_US + 3200 * BH__MS_US);
	assert_int_equal(bh__registry_get_version(r), version);
	assert_int_equal(count_changes_(r, 2), 0);
	put_(r, 4, NOW_US + 9 * BH__SECOND_US);
	assert_int_equal(count_changes_(r, 3), 1);
	bh__registry_delete(r);
}

/* So is that it is warm before the time that it had told, as after an entry that was wrong: nodes that did
 * not hear of it would keep to the rate until then. That the time is over is not. */
static void being_warm_early_is_news_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	uint64_t version;

	(void)state;
	bh__registry_process_tick(r, NOW_US);
	put_(r, 1, NOW_US + 600 * BH__SECOND_US);
	version = bh__registry_get_version(r);
	put_(r, 2, NOW_US + 3 * BH__SECOND_US);
	assert_true(bh__registry_get_version(r) > version);
	assert_int_equal(count_changes_(r, 1), 1);
	bh__registry_process_tick(r, NOW_US + BH__SECOND_US);
	put_(r, 3, 0);
	assert_int_equal(count_changes_(r, 2), 1);
	put_(r, 4, NOW_US + 3 * BH__SECOND_US);
	version = bh__registry_get_version(r);
	bh__registry_process_tick(r, NOW_US + 3 * BH__SECOND_US);
	put_(r, 5, 0);
	assert_int_equal(bh__registry_get_version(r), version);
	assert_int_equal(count_changes_(r, 4), 0);
	bh__registry_delete(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_fleet_brings_a_cold_endpoint_down_),
		cmocka_unit_test(nor_one_that_turns_cold_again_),
		cmocka_unit_test(nor_do_schedulers_that_change_),
		cmocka_unit_test(turning_cold_is_news_),
		cmocka_unit_test(being_warm_early_is_news_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
