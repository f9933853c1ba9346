/* SPDX-License-Identifier: BSD-3-Clause */
/* A plain endpoint that falls silent: what it costs, on virtual time, for a fleet whose nodes each hold a
 * little of the load. Guards against each node learning for itself, at the price of its own requests, that
 * one of three endpoints hangs; and against taking an endpoint out of use because some requests run for long.
 */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include "bayhoist/hash.h"
#include "bayhoist/signal_relay.h"
#include "member_fleet.h"

#define ENDPOINTS 3
#define SILENT 1 /* the endpoint that falls silent */
#define REQUESTS_PER_S 48
#define ONCE_EVERY 4 /* each fourth request may run once only */
#define FEW_NODES 3  /* a small site, whose three nodes may all be late in trying a silent endpoint */
#define FEW_REQUESTS_PER_S 20
#define FEW_ONCE_EVERY 2 /* each second request may run once only */
#define FEW_SEEDS 60
#define STEP_MS 10     /* what a message or an answer takes, and the period of ticks */
#define TARGET_MS 250  /* in which callers want an answer */
#define GIVE_UP_MS 800 /* after which callers leave */
#define SILENT_FROM_MS 2000
#define END_MS 12000
#define LONG_EVERY 25 /* each 25th request runs until its caller leaves, at any endpoint */

typedef struct {
	BH__SignalRelayPort port; /* must be the first member */
	MemberNode *node;
	BH__Registry *registry;
	BH__SignalRelay *relay;
} Node;

typedef struct {
	unsigned node;
	unsigned endpoint;
	unsigned sent_ms;
	bool is_long;
	bool runs_once;
	bool is_reported;
} Request;

/* The requests of a run, and what else is drawn. */
typedef struct {
	unsigned per_s;
	unsigned once_every;
	unsigned seed;
} Load;

typedef struct {
	unsigned lost;          /* requests that got no answer from the silent endpoint, long ones apart */
	unsigned lost_once;     /* those of them that may run once only */
	unsigned avoided_after; /* ms after its silence in which the last node used it again */
	unsigned innocent;      /* picks at which another endpoint was avoided */
	unsigned messages;      /* of the busiest node */
} Cost;

static Cost play_load_(unsigned nodes, const Load *load, unsigned silent_ms, bool tells);

static void send_(BH__SignalRelayPort *port, uint64_t node_id, BH__Message *m)
{
	member_fleet_send(((Node *)port)->node, node_id, m);
}

static uint64_t find_home_(BH__SignalRelayPort *port, const char *service)
{
	const Node *n = (const Node *)port;
	uint64_t home = bh__members_pick(n->node->members, bh__hash_name(service), NULL);

	return home ? home : n->node->id;
}

static void merged_(BH__SignalRelayPort *port, BH__SignalKind kind, const BH__RegisteredEndpoint *e)
{
	(void)port;
	(void)kind;
	assert_non_null(e);
}

static void on_message_(MemberNode *n, const BH__Message *m)
{
	bh__signal_relay_process_message(((Node *)n->user)->relay, m, n->fleet->now_us);
}

static uint64_t id_(unsigned endpoint)
{
	char name[8];

	snprintf(name, sizeof name, "i-%u", endpoint);
	return bh__hash_name(name);
}

static MemberFleet *fleet_new_(unsigned nodes)
{
	MemberFleet *f = member_fleet_new(nodes);

	f->on_message = on_message_;
	for (unsigned i = 0; i < nodes; i++) {
		Node *n = g_new0(Node, 1);
		n->port = (BH__SignalRelayPort){.send = send_, .find_home = find_home_, .merged = merged_};
		n->node = &f->node[i];
		n->registry = bh__registry_new(i + 1);
		for (unsigned k = 0; k < ENDPOINTS; k++) {
			BH__EndpointEntry e = {
				.service = "web", .hall = "h", .address = "1.1.1.1:1", .slots = 8, .born_ms = 1};
			snprintf(e.id, sizeof e.id, "i-%u", k);
			bh__registry_put(n->registry, &e, (BH__StoreVersion){0, 5}, (BH__StoreVersion){0, 5});
		}
		n->relay = bh__signal_relay_new(&n->port, f->node[i].members, n->registry);
		f->node[i].user = n;
	}
	member_fleet_reset_counts(f);
	return f;
}

static void fleet_delete_(MemberFleet *f)
{
	for (unsigned i = 0; i < f->count; i++) {
		Node *n = f->node[i].user;
		bh__signal_relay_delete(n->relay);
		bh__registry_delete(n->registry);
		g_free(n);
	}
	member_fleet_delete(f);
}

static Node *node_(const MemberFleet *f, unsigned i)
{
	return f->node[i].user;
}

static bool is_avoided_(const MemberFleet *f, unsigned node, unsigned endpoint)
{
	return f->now_us < bh__registry_find(node_(f, node)->registry, id_(endpoint))->silence.until_us;
}

/* Sends a request from a random node, as the gateway does. */
static void send_request_(const MemberFleet *f, const Load *load, GArray *open, GRand *rand, unsigned number,
						  unsigned ms)
{
	Request q = {.node = (unsigned)g_rand_int_range(rand, 0, (gint32)f->count),
				 .sent_ms = ms,
				 .is_long = number % LONG_EVERY == 0,
				 .runs_once = number % load->once_every == 0};
	BH__Registry *r = node_(f, q.node)->registry;
	const BH__RegisteredEndpoint *e = q.runs_once
										  ? bh__registry_pick_once(r, "web", "h", NULL, 0, f->now_us)
										  : bh__registry_pick(r, "web", "h", NULL, 0, false, f->now_us);

	assert_non_null(e); /* none is refused while two others serve */
	while (id_(q.endpoint) != e->endpoint_id)
		q.endpoint++;
	bh__registry_note_start(node_(f, q.node)->registry, e->endpoint_id, f->now_us);
	g_array_append_val(open, q);
}

/* Ends or reports a request if that is due. Returns true if it has ended. */
static bool process_request_(const MemberFleet *f, Request *q, bool is_silent, bool tells, unsigned ms,
							 Cost *cost)
{
	Node *n = node_(f, q->node);
	BH__RegisteredEndpoint *e = bh__registry_find(n->registry, id_(q->endpoint));
	bool ends = ms >= q->sent_ms + GIVE_UP_MS;

	if (!q->is_long && ms >= q->sent_ms + STEP_MS && !(is_silent && q->endpoint == SILENT)) {
		bh__signal_relay_note_heard(n->relay, e, f->now_us);
		bh__registry_note_end(n->registry, e->endpoint_id, e->incarnation, BH__ENDPOINT_OUTCOME_SERVED,
							  f->now_us);
		return true;
	}
	if (tells && !q->is_reported &&
		ms >=
			q->sent_ms + bh__silence_get_overdue_us(STEP_MS * BH__MS_US, TARGET_MS * BH__MS_US) / BH__MS_US) {
		q->is_reported = true;
		bh__signal_relay_report_silence(n->relay, e, q->sent_ms * BH__MS_US, f->now_us);
	}
	if (ends) {
		bh__registry_note_end(n->registry, e->endpoint_id, e->incarnation, BH__ENDPOINT_OUTCOME_ABANDONED,
							  f->now_us);
		cost->lost += !q->is_long;
		cost->lost_once += !q->is_long && q->runs_once;
	}
	return ends;
}

/* Plays a fleet before three endpoints, of which one is silent for `silent_ms`. */
static Cost play_(unsigned nodes, unsigned silent_ms, bool tells)
{
	const Load load = {.per_s = REQUESTS_PER_S, .once_every = ONCE_EVERY, .seed = nodes};

	return play_load_(nodes, &load, silent_ms, tells);
}

/* The same with a load of its own. */
static Cost play_load_(unsigned nodes, const Load *load, unsigned silent_ms, bool tells)
{
	MemberFleet *f = fleet_new_(nodes);
	GRand *rand = g_rand_new_with_seed(load->seed);
	GArray *open = g_array_new(FALSE, FALSE, sizeof(Request));
	Cost cost = {0};
	unsigned number = 0;

	for (unsigned ms = 0; ms < END_MS; ms += STEP_MS) {
		bool is_silent = ms >= SILENT_FROM_MS && ms < SILENT_FROM_MS + silent_ms;
		f->now_us = ms * BH__MS_US;
		member_fleet_deliver_pending(f);
		for (guint i = open->len; i-- > 0;)
			if (process_request_(f, &g_array_index(open, Request, i), is_silent, tells, ms, &cost))
				g_array_remove_index_fast(open, i);
		for (; number < ms * load->per_s / 1000; number++)
			send_request_(f, load, open, rand, number, ms);
		for (unsigned i = 0; i < nodes; i++) {
			if (ms >= SILENT_FROM_MS + silent_ms && is_avoided_(f, i, SILENT))
				cost.avoided_after = ms - SILENT_FROM_MS - silent_ms;
			for (unsigned k = 0; k < ENDPOINTS; k++)
				cost.innocent += (k != SILENT || ms < SILENT_FROM_MS) && is_avoided_(f, i, k);
		}
	}
	cost.innocent /= nodes;
	cost.messages = member_fleet_get_busiest(f);
	g_array_unref(open);
	g_rand_free(rand);
	fleet_delete_(f);
	return cost;
}

/* One of three endpoints hangs for 7 s: it costs a few requests in all, however many nodes there are. */
static void a_hanging_endpoint_costs_few_requests_(void **state)
{
	static const unsigned Counts[] = {9, 62, 300};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Counts); i++) {
		Cost alone = play_(Counts[i], 7000, false);
		Cost told = play_(Counts[i], 7000, true);
		print_message(
			"%u nodes, hangs for 7 s: %u lost (%u that run once), each for itself %u (%u); avoided for "
			"%u ms after it, others for %u ms; busiest node sent %u messages\n",
			Counts[i], told.lost, told.lost_once, alone.lost, alone.lost_once, told.avoided_after,
			told.innocent * STEP_MS, told.messages);
		assert_true(told.lost * 3 < alone.lost);
		assert_in_range(told.lost_once, 0, 3);
	}
}

/* On a small site with little load one endpoint hangs: what may run only once is lost until the endpoint is
 * known to be silent, one request a node at most, and is not what finds out whether it still is. */
static void what_runs_once_tries_no_silent_endpoint_(void **state)
{
	unsigned lost = 0;
	unsigned most = 0;

	(void)state;
	for (unsigned seed = 1; seed <= FEW_SEEDS; seed++) {
		const Load load = {.per_s = FEW_REQUESTS_PER_S, .once_every = FEW_ONCE_EVERY, .seed = seed};
		Cost told = play_load_(FEW_NODES, &load, 5000, true);
		lost += told.lost_once;
		most = MAX(most, told.lost_once);
	}
	print_message("%u nodes, hangs for 5 s, %u seeds: %u that run once lost, %u at most\n", FEW_NODES,
				  FEW_SEEDS, lost, most);
	assert_in_range(most, 0, FEW_NODES);
}

/* A silent endpoint is kept from what may run only once until the last node has tried it with another request
 * and has had time to notice, however long the silence is declared for. */
static void runs_once_after_the_last_try_(void **state)
{
	(void)state;
	for (uint64_t hold_us = 400 * BH__MS_US; hold_us <= 2 * BH__SECOND_US; hold_us *= 2) {
		BH__Silence last = {0};
		assert_true(bh__silence_declare(&last, 1, hold_us, 1.0, BH__SECOND_US));
		assert_true(last.once_until_us >=
					last.until_us + 2 * bh__silence_get_overdue_us(0, TARGET_MS * BH__MS_US));
	}
}

/* One is silent for a second and goes on: it is used again within the time for which it was silent. */
static void a_short_silence_ends_for_all_(void **state)
{
	static const unsigned Counts[] = {9, 62, 300};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Counts); i++) {
		Cost told = play_(Counts[i], 1000, true);
		print_message("%u nodes, silent for 1 s: %u lost (%u that run once), avoided for %u ms after it\n",
					  Counts[i], told.lost, told.lost_once, told.avoided_after);
		assert_in_range(told.avoided_after, 0, 1000);
	}
}

/* None falls silent, but some requests run for long at any endpoint: none is avoided for long. */
static void long_requests_condemn_nobody_(void **state)
{
	static const unsigned Counts[] = {9, 62, 300};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Counts); i++) {
		Cost told = play_(Counts[i], 0, true);
		print_message("%u nodes, none silent: avoided for %u ms of %u; busiest node sent %u messages\n",
					  Counts[i], told.innocent * STEP_MS, END_MS * ENDPOINTS, told.messages);
		assert_int_equal(told.lost, 0);
		assert_true(told.innocent * STEP_MS <= END_MS * ENDPOINTS / 100);
	}
}

/* A thousand requests of one node are overdue at once: it sends a few reports. */
static void many_overdue_requests_make_few_reports_(void **state)
{
	MemberFleet *f = fleet_new_(9);
	Node *n = node_(f, 0);
	BH__RegisteredEndpoint *e;

	(void)state;
	if (find_home_(&n->port, "web") == f->node[0].id)
		n = node_(f, 1);
	e = bh__registry_find(n->registry, id_(SILENT));
	for (unsigned i = 0; i < 1000; i++)
		bh__signal_relay_report_silence(n->relay, e, 1 + i, BH__SECOND_US);
	assert_in_range(member_fleet_get_busiest(f), 1, 2);
	fleet_delete_(f);
}

/* The second try of a request goes to none that was tried, nor to one that is silent while another is left.
 */
static void second_tries_are_spread_(void **state)
{
	MemberFleet *f = fleet_new_(9);
	BH__Registry *r = node_(f, 0)->registry;
	uint64_t tried = id_(0);

	(void)state;
	f->now_us = BH__SECOND_US;
	bh__silence_declare(&bh__registry_find(r, id_(SILENT))->silence, 1, BH__SECOND_US, 0, f->now_us);
	for (unsigned i = 0; i < 100; i++)
		assert_int_equal(bh__registry_pick(r, "web", "h", &tried, 1, true, f->now_us)->endpoint_id, id_(2));
	fleet_delete_(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test(a_hanging_endpoint_costs_few_requests_),
									   cmocka_unit_test(what_runs_once_tries_no_silent_endpoint_),
									   cmocka_unit_test(runs_once_after_the_last_try_),
									   cmocka_unit_test(a_short_silence_ends_for_all_),
									   cmocka_unit_test(long_requests_condemn_nobody_),
									   cmocka_unit_test(many_overdue_requests_make_few_reports_),
									   cmocka_unit_test(second_tries_are_spread_)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
