/* SPDX-License-Identifier: BSD-3-Clause */
/* Tests of the request rate limit of cold endpoints. A cold endpoint bears a limited rate of requests from
 * all nodes together, and fails at 1.5 times that rate plus a few requests. If each of many nodes could send
 * a request without asking, they would overload it. The endpoint's home, which all nodes ask, counts the
 * requests. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>
#include "bayhoist/hash.h"
#include "bayhoist/planner.h"
#include "bayhoist/registry.h"
#include "null_planner_port.h"

#define COLD_RATE_PER_S 26.0 /* requests per second that a cold endpoint bears */
#define OVERLOAD_FACTOR 1.5  /* an endpoint fails at this factor of the rate in any second */
#define OVERLOAD_BURST 5     /* plus this number of requests */
#define COLD_US (6 * BH__SECOND_US)
#define STEP_US (10 * BH__MS_US)
#define NOW_US (1000 * BH__SECOND_US)
#define TICK_US (100 * BH__MS_US)    /* of a gateway's periodic work */
#define PERIOD_US (750 * BH__MS_US)  /* of a reader's reads, a quarter of the drain time of 3 s */
#define NEWS_US (30 * BH__MS_US)     /* from the start of a read until all nodes have its result */
#define WARM_US (20 * BH__SECOND_US) /* time for which endpoints are used before they become cold */

typedef struct {
	BH__PlannerPort port; /* must be the first member */
	BH__Planner *planner;
	GArray *arrivals; /* uint64_t: times at which requests are granted */
	uint64_t now_us;
	uint64_t next_ask;
} Scheduler;

static void record_arrival_(GArray *arrivals, uint64_t now_us)
{
	g_array_append_val(arrivals, now_us);
}

/* Returns the largest number of arrivals in any second. */
static unsigned max_per_second_(const GArray *arrivals)
{
	unsigned max_count = 0;

	for (guint from = 0, to = 0; to < arrivals->len; to++) {
		while (g_array_index(arrivals, uint64_t, to) - g_array_index(arrivals, uint64_t, from) >=
			   BH__SECOND_US)
			from++;
		max_count = MAX(max_count, to - from + 1);
	}
	return max_count;
}

/* Adds or updates the endpoint's entry at a revision. */
static void put_(BH__Registry *r, uint64_t revision, uint64_t cold_until_us)
{
	BH__EndpointEntry e = {.id = "i-1", .service = "web", .address = "1.1.1.1:1", .hall = "h1", .slots = 6};
	BH__StoreVersion place = {.revision = revision};

	e.cold_until_us = cold_until_us;
	bh__registry_put(r, &e, place, place);
	bh__registry_set_store_version(r, place);
}

/* From `from_us` on, every node has requests at any time for a service with one endpoint that is no engine,
 * and asks the endpoint's home. */
static void ask_home_(BH__EndpointRate *rate, unsigned nodes, uint64_t from_us, GArray *arrivals)
{
	uint64_t *next_ask_us = g_new0(uint64_t, nodes);

	for (uint64_t us = from_us; us < from_us + COLD_US; us += STEP_US) {
		for (unsigned n = 0; n < nodes; n++) {
			uint64_t wait_us;
			if (us < next_ask_us[n])
				continue;
			if (bh__endpoint_rate_reserve(rate, 0, us, &wait_us))
				record_arrival_(arrivals, us);
			else
				next_ask_us[n] = us + wait_us;
		}
	}
	g_free(next_ask_us);
}

/* Clusters of 1 to 1000 nodes send a cold endpoint no more requests than it bears, and at least 0.8 of its
 * rate. */
static void cold_endpoint_is_not_overloaded_(void **state)
{
	const unsigned counts[] = {1, 9, 85, 300, 1000};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		BH__Registry *r = bh__registry_new(1);
		BH__RegisteredEndpoint *e;
		put_(r, 1, NOW_US + COLD_US);
		bh__registry_set_cold_rate(r, "web", COLD_RATE_PER_S, NOW_US);
		e = bh__registry_get(r, 0);
		assert_false(bh__endpoint_rate_admits(&e->rate, NOW_US)); /* only its home grants requests */
		bh__endpoint_rate_set_rate_share(&e->rate, bh__home_rate_share(counts[i], counts[i], 0, NOW_US),
										 NOW_US);
		ask_home_(&e->rate, counts[i], NOW_US, arrivals);
		print_message("%u nodes: %u requests in 6 s, at most %u in a second\n", counts[i], arrivals->len,
					  max_per_second_(arrivals));
		assert_true(max_per_second_(arrivals) <= COLD_RATE_PER_S * OVERLOAD_FACTOR + OVERLOAD_BURST);
		assert_true(arrivals->len >= COLD_RATE_PER_S * COLD_US / BH__SECOND_US * 0.8);
		assert_true(bh__endpoint_rate_admits(&e->rate, NOW_US + COLD_US));
		bh__registry_delete(r);
		g_array_unref(arrivals);
	}
}

/* An endpoint that was cold becomes cold again after it was in use. It gets no more
 * requests than the first time, although each node could send it a request at once by then. */
static void endpoint_cold_again_is_not_overloaded_(void **state)
{
	const unsigned nodes = 1000;
	const uint64_t second_cold_us = NOW_US + 20 * BH__SECOND_US;
	GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	BH__Registry *r = bh__registry_new(1);
	BH__RegisteredEndpoint *e;

	(void)state;
	put_(r, 1, NOW_US + COLD_US);
	e = bh__registry_get(r, 0);
	bh__registry_set_cold_rate(r, "web", COLD_RATE_PER_S, NOW_US);
	bh__endpoint_rate_set_rate_share(&e->rate, 1, NOW_US);
	put_(r, 2, second_cold_us + COLD_US);
	bh__registry_set_cold_rate(r, "web", COLD_RATE_PER_S, second_cold_us);
	ask_home_(&e->rate, nodes, second_cold_us, arrivals);
	print_message("%u nodes, cold again: at most %u requests in a second\n", nodes,
				  max_per_second_(arrivals));
	assert_true(max_per_second_(arrivals) <= COLD_RATE_PER_S * OVERLOAD_FACTOR + OVERLOAD_BURST);
	bh__registry_delete(r);
	g_array_unref(arrivals);
}

static void on_grant_(BH__PlannerPort *port, const BH__Grant *g)
{
	Scheduler *s = (Scheduler *)port;

	record_arrival_(s->arrivals, s->now_us);
	(void)g;
}

/* Creates the planner of one node. Engines answer at once, so no other limit applies. `share` is the share of
 * the rate that the node grants; 0: the node does not schedule the service. */
static Scheduler *scheduler_new_(GArray *arrivals, uint64_t boot_id, double share)
{
	const BH__Limit limit[BH__LIMIT_KIND_COUNT] = {
		[BH__LIMIT_COLD] = {.per_s = COLD_RATE_PER_S, .until_us = NOW_US + COLD_US}};
	Scheduler *s = g_new0(Scheduler, 1);
	BH__EngineModel m;

	bh__engine_model_init(&m);
	m.slots = 1000;
	m.kv_tokens = 100 * 1000 * 1000;
	s->port = NullPlannerPort;
	s->port.grant = on_grant_;
	s->arrivals = arrivals;
	s->now_us = NOW_US;
	s->planner = bh__planner_new(&s->port, 3, boot_id);
	bh__planner_set_model(s->planner, &m);
	bh__planner_set_local(s->planner, share <= 0);
	bh__planner_set_rate_share(s->planner, share, NOW_US);
	bh__planner_set_limits(s->planner, 1, limit, NOW_US);
	bh__planner_set_endpoint(s->planner, 1, 1, false, NOW_US);
	return s;
}

/* Asks the scheduler for one request and reports its prefill as done if it is granted. */
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
	guint previous_count = s->arrivals->len;

	s->now_us = now_us;
	bh__planner_process_ask(s->planner, &a, now_us);
	if (s->arrivals->len > previous_count)
		bh__planner_process_progress(s->planner, 0, now_us);
}

/* One node schedules the service. Another node takes over in the middle of a second without notifying the
 * first, and a tenth of all nodes decide without the scheduler during the whole test. */
static void takeover_does_not_overload_cold_endpoint_(void **state)
{
	const unsigned counts[] = {9, 85, 300, 1000};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		unsigned local_count = counts[i] / 10;
		Scheduler **local = g_new0(Scheduler *, local_count + 1);
		Scheduler *previous = scheduler_new_(arrivals, 1, 1);
		Scheduler *successor = scheduler_new_(arrivals, 2, 0);
		for (unsigned n = 0; n < local_count; n++)
			local[n] = scheduler_new_(arrivals, 10 + n, 0);
		for (uint64_t us = NOW_US; us < NOW_US + COLD_US; us += STEP_US) {
			if (us == NOW_US + COLD_US / 2)
				bh__planner_set_local(successor->planner, false);
			if (us >= NOW_US + COLD_US / 2)
				bh__planner_set_rate_share(
					successor->planner, bh__home_rate_share(counts[i], counts[i], NOW_US + COLD_US / 2, us),
					us);
			ask_(previous, us);
			ask_(successor, us);
			for (unsigned n = 0; n < local_count; n++)
				ask_(local[n], us);
		}
		print_message("%u nodes: %u grants in 6 s, at most %u in a second\n", counts[i], arrivals->len,
					  max_per_second_(arrivals));
		assert_true(max_per_second_(arrivals) <= COLD_RATE_PER_S * OVERLOAD_FACTOR + OVERLOAD_BURST);
		assert_true(arrivals->len >= COLD_RATE_PER_S * COLD_US / BH__SECOND_US * 0.5);
		for (unsigned n = 0; n < local_count; n++) {
			bh__planner_delete(local[n]->planner);
			g_free(local[n]);
		}
		bh__planner_delete(previous->planner);
		bh__planner_delete(successor->planner);
		g_free(previous);
		g_free(successor);
		g_free(local);
		g_array_unref(arrivals);
	}
}

/* While requests wait, nine tenths of what a cold engine bears are used: a scheduler that stays gets four
 * times as many asks as it may grant, each of which waits for at most 0.3 s. */
static void waiting_requests_use_the_cold_rate_(void **state)
{
	GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	Scheduler *s = scheduler_new_(arrivals, 1, 1);

	(void)state;
	for (uint64_t us = NOW_US; us < NOW_US + COLD_US; us += STEP_US) {
		guint previous_count = arrivals->len;
		s->now_us = us;
		bh__planner_process_tick(s->planner, us);
		for (guint i = previous_count; i < arrivals->len; i++)
			bh__planner_process_progress(s->planner, 0, us);
		ask_(s, us);
	}
	print_message("%u grants in 6 s, at most %u in a second\n", arrivals->len, max_per_second_(arrivals));
	assert_true(max_per_second_(arrivals) <= COLD_RATE_PER_S * OVERLOAD_FACTOR + OVERLOAD_BURST);
	assert_true(arrivals->len >= COLD_RATE_PER_S * COLD_US / BH__SECOND_US * 0.9);
	bh__planner_delete(s->planner);
	g_free(s);
	g_array_unref(arrivals);
}

/* The same for a plain endpoint, whose home reserves: of four callers that come for each place one waits. */
static void reserved_requests_use_the_cold_rate_(void **state)
{
	BH__EndpointRate r = {0};
	GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	(void)state;
	bh__endpoint_rate_set_rate_share(&r, 1, NOW_US);
	bh__endpoint_rate_set_limit(&r, BH__LIMIT_COLD, COLD_RATE_PER_S, NOW_US + COLD_US, NOW_US);
	for (uint64_t us = NOW_US; us < NOW_US + COLD_US; us += STEP_US) {
		uint64_t wait_us;
		if (bh__endpoint_rate_reserve(&r, 100 * BH__MS_US, us, &wait_us) && us + wait_us < NOW_US + COLD_US)
			record_arrival_(arrivals, us + wait_us);
	}
	print_message("%u permits in 6 s, at most %u in a second\n", arrivals->len, max_per_second_(arrivals));
	assert_true(max_per_second_(arrivals) <= COLD_RATE_PER_S * OVERLOAD_FACTOR + OVERLOAD_BURST);
	assert_true(arrivals->len >= COLD_RATE_PER_S * COLD_US / BH__SECOND_US * 0.9);
	g_array_unref(arrivals);
}

/* Returns the number of endpoint changes that the registry lists since a revision. */
static unsigned count_changes_(const BH__Registry *r, uint64_t since)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(BH__EndpointRecord));
	GArray *departures = g_array_new(FALSE, FALSE, sizeof(BH__EndpointDeparture));
	unsigned count;

	assert_true(
		bh__registry_list_changes(r, (BH__StoreVersion){.revision = since}, NOW_US, changes, departures));
	count = changes->len;
	g_array_unref(changes);
	g_array_unref(departures);
	return count;
}

/* An endpoint that becomes cold is a change that nodes receive, also the second time. A small difference
 * in the remaining time is not. */
static void becoming_cold_is_a_change_(void **state)
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

/* An endpoint that is warm before its announced time, for example after a wrong entry, is a change too: nodes
 * that do not receive it would apply the cold rate until then. The end of the announced time is not a
 * change. */
static void becoming_warm_early_is_a_change_(void **state)
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

/* A number of nodes send requests to the endpoints of a service, some of which become cold at once. */
typedef struct {
	unsigned nodes;
	unsigned endpoints;
	unsigned cold;
	double demand_per_s; /* on each endpoint */
} ColdCase;

typedef struct {
	unsigned max_in_second; /* most requests that a cold endpoint gets in a second */
	unsigned reads;         /* reads of the platform per second before */
} ColdCounts;

/* Merges the entries of all endpoints into the registry of a node. */
static void put_all_(BH__Registry *r, const ColdCase *c, uint64_t revision, uint64_t cold_until_us)
{
	BH__StoreVersion place = {.revision = revision};

	for (unsigned i = 0; i < c->endpoints; i++) {
		BH__EndpointEntry e = {.service = "web", .hall = "h1", .slots = 6};
		g_snprintf(e.id, sizeof e.id, "i-%u", i);
		g_snprintf(e.address, sizeof e.address, "1.1.1.1:%u", i + 1);
		e.cold_until_us = i < c->cold ? cold_until_us : 0;
		bh__registry_put(r, &e, place, place);
	}
	bh__registry_set_store_version(r, place);
}

/* Sends a request from a node to an endpoint, unless that is limited and its home, node 0, grants none. */
static void send_one_(BH__Registry **r, unsigned node, unsigned endpoint, GArray **arrivals, uint64_t now_us)
{
	BH__RegisteredEndpoint *e = bh__registry_get(r[node], endpoint);
	BH__RegisteredEndpoint *home = bh__registry_get(r[0], endpoint);
	uint64_t wait_us;

	if (bh__endpoint_rate_is_limited(&e->rate, now_us)) {
		bh__endpoint_rate_set_rate_share(&home->rate, 1, now_us);
		if (!bh__endpoint_rate_reserve(&home->rate, 0, now_us, &wait_us))
			return;
	}
	bh__registry_note_start(r[node], e->endpoint_id, now_us);
	record_arrival_(arrivals[endpoint], now_us);
}

/* Plays a case on virtual time. The last node reads the platform; the others have its news NEWS_US later. The
 * endpoints become cold `phase_us` after WARM_US. */
static ColdCounts play_(const ColdCase *c, uint64_t phase_us)
{
	GRand *rand = g_rand_new_with_seed(7);
	BH__Registry **r = g_new0(BH__Registry *, c->nodes);
	GArray **arrivals = g_new0(GArray *, c->endpoints);
	uint64_t cold_us = 0;
	uint64_t read_us = NOW_US;
	uint64_t news_us = UINT64_MAX;
	uint64_t notice_us = UINT64_MAX;
	ColdCounts counts = {0};
	double requests = 0;

	for (unsigned n = 0; n < c->nodes; n++) {
		r[n] = bh__registry_new(n);
		bh__registry_set_node_count(r[n], c->nodes);
		put_all_(r[n], c, 1, 0);
		bh__registry_process_tick(r[n], NOW_US);
		bh__registry_set_cold_rate(r[n], "web", COLD_RATE_PER_S, NOW_US);
	}
	for (unsigned i = 0; i < c->endpoints; i++)
		arrivals[i] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (uint64_t us = NOW_US; us < NOW_US + WARM_US + 4 * BH__SECOND_US; us += BH__MS_US) {
		bool is_tick = !((us - NOW_US) % TICK_US);
		cold_us = us == NOW_US + WARM_US + phase_us ? us : cold_us;
		if (us == news_us) {
			for (unsigned n = 0; n < c->nodes; n++) {
				put_all_(r[n], c, 2, cold_us + COLD_US);
				bh__registry_set_cold_rate(r[n], "web", COLD_RATE_PER_S, us);
			}
		}
		for (unsigned n = 0; is_tick && n < c->nodes; n++) {
			uint64_t node_notice_us = bh__registry_set_cold_rate(r[n], "web", COLD_RATE_PER_S, us);
			bh__registry_process_tick(r[n], us);
			notice_us = n == c->nodes - 1 ? node_notice_us : notice_us;
		}
		if (is_tick && us >= read_us + MIN(notice_us, PERIOD_US)) {
			counts.reads += us >= NOW_US + WARM_US - BH__SECOND_US && us < NOW_US + WARM_US;
			read_us = us;
			if (cold_us && news_us == UINT64_MAX)
				news_us = us + NEWS_US;
		}
		for (requests += c->demand_per_s * c->endpoints / 1000; requests >= 1; requests--)
			send_one_(r, (unsigned)g_rand_int_range(rand, 0, (gint32)c->nodes),
					  (unsigned)g_rand_int_range(rand, 0, (gint32)c->endpoints), arrivals, us);
	}
	for (unsigned i = 0; i < c->endpoints; i++) {
		guint first = 0;
		while (first < arrivals[i]->len && g_array_index(arrivals[i], uint64_t, first) < cold_us)
			first++;
		g_array_remove_range(arrivals[i], 0, first);
		first = arrivals[i]->len;
		while (first && g_array_index(arrivals[i], uint64_t, first - 1) >= cold_us + COLD_US)
			first--;
		g_array_set_size(arrivals[i], first);
		if (i < c->cold)
			counts.max_in_second = MAX(counts.max_in_second, max_per_second_(arrivals[i]));
		g_array_unref(arrivals[i]);
	}
	for (unsigned n = 0; n < c->nodes; n++)
		bh__registry_delete(r[n]);
	g_free(r);
	g_free(arrivals);
	g_rand_free(rand);
	return counts;
}

/* Endpoints that become cold while they are in use get no more than they bear, also before all nodes know of
 * it, whenever between two reads of the platform that is. */
static void becoming_cold_in_use_is_noticed_in_time_(void **state)
{
	const unsigned nodes[] = {9, 85};
	const unsigned endpoints[] = {3, 30};

	(void)state;
	for (unsigned k = 0; k < 12; k++) {
		ColdCase c = {.nodes = nodes[k % 2], .endpoints = endpoints[k / 2 % 2], .demand_per_s = 80};
		ColdCounts worst = {0};
		c.cold = k / 4 == 0 ? 1 : k / 4 == 1 ? c.endpoints / 3 : c.endpoints;
		for (uint64_t phase_us = BH__MS_US; phase_us < PERIOD_US; phase_us += PERIOD_US / 8) {
			ColdCounts counts = play_(&c, phase_us);
			worst.max_in_second = MAX(worst.max_in_second, counts.max_in_second);
			worst.reads = MAX(worst.reads, counts.reads);
		}
		print_message("%u nodes, %u of %u endpoints become cold: at most %u in a second, %u reads\n", c.nodes,
					  c.cold, c.endpoints, worst.max_in_second, worst.reads);
		assert_true(worst.max_in_second <= COLD_RATE_PER_S * OVERLOAD_FACTOR + OVERLOAD_BURST);
	}
}

/* Where the demand is within what a cold endpoint bears, the platform is read no more often. */
static void usual_demand_costs_no_reads_(void **state)
{
	const unsigned nodes[] = {9, 85, 300};

	(void)state;
	for (unsigned k = 0; k < 6; k++) {
		ColdCase c = {.nodes = nodes[k / 2], .endpoints = 30, .cold = 1, .demand_per_s = k % 2 ? 20 : 2};
		ColdCounts counts = play_(&c, PERIOD_US / 2);
		print_message("%u nodes, %.0f a second to each: at most %u in a second, %u reads\n", c.nodes,
					  c.demand_per_s, counts.max_in_second, counts.reads);
		assert_true(counts.reads <= (BH__SECOND_US + PERIOD_US - 1) / PERIOD_US);
		assert_true(counts.max_in_second <= COLD_RATE_PER_S * OVERLOAD_FACTOR + OVERLOAD_BURST);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cold_endpoint_is_not_overloaded_),
		cmocka_unit_test(endpoint_cold_again_is_not_overloaded_),
		cmocka_unit_test(takeover_does_not_overload_cold_endpoint_),
		cmocka_unit_test(waiting_requests_use_the_cold_rate_),
		cmocka_unit_test(reserved_requests_use_the_cold_rate_),
		cmocka_unit_test(becoming_cold_is_a_change_),
		cmocka_unit_test(becoming_warm_early_is_a_change_),
		cmocka_unit_test(becoming_cold_in_use_is_noticed_in_time_),
		cmocka_unit_test(usual_demand_costs_no_reads_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
