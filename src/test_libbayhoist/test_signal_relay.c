/* SPDX-License-Identifier: BSD-3-Clause */
/* Distribution of endpoint signals: an endpoint says in an answer to one node that it leaves, and all other
 * nodes must be notified.
 *
 * Guards against two failures. While the store is unavailable, nodes learn of a leaving endpoint in no other
 * way; without notification they sent requests there for ten seconds. A node that notified all others itself
 * sent a message to each of 984 nodes, so the tests count the messages of each node. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include "bayhoist/hash.h"
#include "bayhoist/signal_relay.h"
#include "member_fleet.h"

#define SENT_PER_NODE_MAX 32   /* messages that one node may send for one signal, for any number of nodes */
#define TOTAL_PER_NODE_MAX 2.5 /* total messages per node of the fleet */
#define CONTROL_BYTES_PER_S 22000 /* budget of one node for control messages */
#define LINK_BYTES_PER_S 2500000  /* network link of the smallest nodes */
#define BORN_MS 1000
#define TICK_MS 100
#define HOME_DEATH_DETECTED_MS 4000 /* time within which a node that has died is found dead */
#define OUTAGE_MS 10000
#define ENDPOINT_REQUESTS_PER_S 10 /* requests of all nodes together at one endpoint */
#define NOTIFIED_WITHIN_MS 200     /* time within which all nodes must have received a signal */

static const unsigned Counts_[] = {9, 85, 300, 984, 3000};

typedef struct {
	BH__SignalRelayPort port; /* must be the first member: the callbacks cast it to RelayNode */
	MemberNode *node;
	BH__Registry *registry;
	BH__SignalRelay *relay;
} RelayNode;

static void send_(BH__SignalRelayPort *port, uint64_t node_id, BH__Message *m)
{
	member_fleet_send(((RelayNode *)port)->node, node_id, m);
}

/* Returns the home node of a service, or the asking node itself if there is no other. */
static uint64_t find_home_(BH__SignalRelayPort *port, const char *service)
{
	const RelayNode *self = (const RelayNode *)port;
	uint64_t home = bh__members_pick(self->node->members, bh__hash_name(service), NULL);

	return home ? home : self->node->id;
}

static void merged_(BH__SignalRelayPort *port, BH__SignalKind kind, const BH__RegisteredEndpoint *e)
{
	(void)port;
	(void)kind;
	assert_non_null(e);
}

static void on_message_(MemberNode *n, const BH__Message *m)
{
	assert_true(bh__signal_relay_process_message(((RelayNode *)n->user)->relay, m, n->fleet->now_us));
}

static BH__EndpointEntry make_entry_(unsigned i, uint64_t born_ms)
{
	BH__EndpointEntry e = {.service = "llm", .address = "10.0.0.1:80", .slots = 8, .born_ms = born_ms};

	snprintf(e.id, sizeof e.id, "i-%u", i);
	return e;
}

static uint64_t endpoint_id_(unsigned endpoint)
{
	return bh__hash_name(make_entry_(endpoint, 0).id);
}

static void start_relay_node_(MemberNode *n, unsigned endpoints)
{
	RelayNode *self = g_new0(RelayNode, 1);

	self->port = (BH__SignalRelayPort){.send = send_, .find_home = find_home_, .merged = merged_};
	self->node = n;
	self->registry = bh__registry_new(1);
	for (unsigned i = 0; i < endpoints; i++) {
		BH__EndpointEntry e = make_entry_(i, BORN_MS);
		bh__registry_put(self->registry, &e, (BH__StoreVersion){0, 5}, (BH__StoreVersion){0, 5});
	}
	self->relay = bh__signal_relay_new(&self->port, n->members, self->registry);
	n->user = self;
}

/* Returns a fleet in which every node knows all other nodes and all endpoints. */
static MemberFleet *fleet_new_(unsigned nodes, unsigned endpoints)
{
	MemberFleet *f = member_fleet_new(nodes);

	f->on_message = on_message_;
	for (unsigned i = 0; i < nodes; i++)
		start_relay_node_(&f->node[i], endpoints);
	return f;
}

static void fleet_delete_(MemberFleet *f)
{
	for (unsigned i = 0; i < f->count; i++) {
		RelayNode *self = f->node[i].user;
		bh__signal_relay_delete(self->relay);
		bh__registry_delete(self->registry);
		g_free(self);
	}
	member_fleet_delete(f);
}

/* Returns true if a node may send requests to an endpoint. */
static bool considers_usable_(const MemberNode *n, unsigned endpoint)
{
	const BH__RegisteredEndpoint *e =
		bh__registry_find(((RelayNode *)n->user)->registry, endpoint_id_(endpoint));

	return e && bh__registered_endpoint_is_usable(e, 1);
}

/* Counts the responsive nodes that may send requests to an endpoint. */
static unsigned count_nodes_using_(const MemberFleet *f, unsigned endpoint)
{
	unsigned count = 0;

	for (unsigned i = 0; i < f->count; i++)
		count += !f->node[i].unresponsive && considers_usable_(&f->node[i], endpoint);
	return count;
}

/* Lets a node read an answer in which an endpoint says that it leaves. Returns true if the node did not know.
 */
static bool receive_leaving_(MemberNode *n, unsigned endpoint)
{
	RelayNode *self = n->user;

	return bh__signal_relay_receive_leaving(
		self->relay, bh__registry_find(self->registry, endpoint_id_(endpoint)), n->fleet->now_us);
}

/* Runs one tick on each responsive node and delivers all messages. */
static void tick_(MemberFleet *f)
{
	for (unsigned i = 0; i < f->count; i++)
		if (!f->node[i].unresponsive)
			bh__signal_relay_process_tick(((RelayNode *)f->node[i].user)->relay, f->now_us);
	member_fleet_deliver_pending(f);
}

/* Returns the home node of the service that all endpoints of the tests belong to. */
static MemberNode *find_home_of_(MemberFleet *f)
{
	uint64_t home = find_home_(&((RelayNode *)f->node[0].user)->port, "llm");

	for (unsigned i = 0; i < f->count; i++)
		if (f->node[i].id == home)
			return &f->node[i];
	return NULL;
}

/* A signal that one node receives, or a tenth of all nodes at the same moment, reaches all nodes, and no node
 * sends more than SENT_PER_NODE_MAX messages. Each receiver adds one message, the one to the home node. */
static void test_leaving_broadcast_message_count_(void **state)
{
	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Counts_); i++) {
		for (unsigned tenth = 0; tenth < 2; tenth++) {
			MemberFleet *f = fleet_new_(Counts_[i], 3);
			unsigned receivers = tenth ? MAX(f->count / 10, 1u) : 1;
			for (unsigned k = 0; k < receivers; k++)
				assert_true(receive_leaving_(&f->node[k * (f->count / receivers)], 1));
			assert_false(receive_leaving_(&f->node[0], 1));
			member_fleet_deliver_pending(f);
			tick_(f);
			print_message("%u nodes, %u receivers: %u messages in total, at most %u by one node, at most %u "
						  "bytes by one node\n",
						  f->count, receivers, member_fleet_get_total(f), member_fleet_get_busiest(f),
						  (unsigned)member_fleet_get_busiest_bytes(f));
			assert_int_equal(count_nodes_using_(f, 1), 0);
			assert_int_equal(count_nodes_using_(f, 0), f->count);
			assert_true(member_fleet_get_busiest(f) <= SENT_PER_NODE_MAX + 1);
			assert_true(member_fleet_get_total(f) <= TOTAL_PER_NODE_MAX * f->count + receivers);
			fleet_delete_(f);
		}
	}
}

/* 300 endpoints begin to leave within one second, each noticed by another node: the broadcasts stay within
 * the control budget and do not fill a network link. */
static void test_leaving_hall_stays_within_control_budget_(void **state)
{
	const unsigned endpoints = 300;

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Counts_); i++) {
		MemberFleet *f = fleet_new_(Counts_[i], endpoints);
		for (unsigned k = 0; k < endpoints; k++) {
			receive_leaving_(&f->node[k * 7 % f->count], k);
			member_fleet_deliver_pending(f);
			if (k % 30 == 29)
				tick_(f);
		}
		for (unsigned k = 0; k < 10; k++)
			tick_(f);
		for (unsigned k = 0; k < endpoints; k++)
			assert_int_equal(count_nodes_using_(f, k), 0);
		print_message("%u nodes, %u leaving endpoints in 1 s: %u bytes per node, at most %u by one node\n",
					  f->count, endpoints, (unsigned)(f->bytes / f->count),
					  (unsigned)member_fleet_get_busiest_bytes(f));
		assert_true(f->bytes / f->count <= CONTROL_BYTES_PER_S);
		assert_true(member_fleet_get_busiest_bytes(f) <= LINK_BYTES_PER_S / 10);
		fleet_delete_(f);
	}
}

/* The home node dies before it has broadcast a signal: the node that received the signal notifies the next
 * home node. */
static void test_signal_survives_home_node_death_(void **state)
{
	const unsigned counts[] = {9, 85, 300};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		MemberFleet *f = fleet_new_(counts[i], 3);
		MemberNode *home = find_home_of_(f);
		MemberNode *receiver = home == &f->node[0] ? &f->node[1] : &f->node[0];
		unsigned waited_ms = 0;
		home->unresponsive = true;
		receive_leaving_(receiver, 1);
		member_fleet_deliver_pending(f);
		while (count_nodes_using_(f, 1) && waited_ms < HOME_DEATH_DETECTED_MS) {
			member_fleet_run(f, TICK_MS);
			tick_(f);
			waited_ms += TICK_MS;
		}
		print_message("%u nodes, home node dead: all notified after %u ms\n", f->count, waited_ms);
		assert_int_equal(count_nodes_using_(f, 1), 0);
		fleet_delete_(f);
	}
}

/* A node that starts with outdated entries receives the current signals from the home node. */
static void test_starting_node_is_notified_(void **state)
{
	MemberFleet *f = fleet_new_(9, 80);
	MemberNode *home = find_home_of_(f);
	MemberNode *late = home == &f->node[8] ? &f->node[7] : &f->node[8];
	RelayNode *old = late->user;

	(void)state;
	late->unresponsive = true;
	for (unsigned k = 0; k < 70; k++)
		receive_leaving_(home, k);
	for (unsigned k = 0; k < 5; k++)
		tick_(f);
	bh__signal_relay_delete(old->relay);
	bh__registry_delete(old->registry);
	g_free(old);
	start_relay_node_(late, 80);
	late->unresponsive = false;
	assert_true(considers_usable_(late, 69));
	bh__signal_relay_notify_node(((RelayNode *)home->user)->relay, late->id, f->now_us);
	member_fleet_deliver_pending(f);
	for (unsigned k = 0; k < 80; k++)
		assert_int_equal(considers_usable_(late, k), k >= 70);
	fleet_delete_(f);
}

/* All nodes use a later incarnation of an endpoint, even if they receive the leaving signal of the earlier
 * incarnation after it. */
static void test_later_incarnation_is_used_(void **state)
{
	MemberFleet *f = fleet_new_(9, 3);
	BH__Message late = {.type = BH__MESSAGE_SIGNALS};

	(void)state;
	receive_leaving_(&f->node[0], 1);
	member_fleet_deliver_pending(f);
	tick_(f);
	assert_int_equal(count_nodes_using_(f, 1), 0);
	late.as.signals.count = 1;
	late.as.signals.item[0] =
		(BH__SignalUpdate){.kind = BH__SIGNAL_LEAVING, .endpoint_id = endpoint_id_(1), .born_ms = BORN_MS};
	for (unsigned i = 0; i < f->count; i++) {
		RelayNode *self = f->node[i].user;
		BH__EndpointEntry e = make_entry_(1, BORN_MS + 500);
		bh__registry_put(self->registry, &e, (BH__StoreVersion){0, 9}, (BH__StoreVersion){0, 9});
		bh__signal_relay_process_message(self->relay, &late, f->now_us);
	}
	assert_int_equal(count_nodes_using_(f, 1), f->count);
	fleet_delete_(f);
}

/* Simulates an outage of the store, in which only answers show that an endpoint leaves. Returns the number of
 * requests that reach the endpoint more than NOTIFIED_WITHIN_MS after the first node has received the signal.
 * With `notifies` nodes notify each other; otherwise each node relies on its own answers. Stores the number
 * of messages sent in `messages`. */
static unsigned simulate_outage_(unsigned nodes, bool notifies, unsigned *messages)
{
	MemberFleet *f = fleet_new_(nodes, 3);
	GRand *rand = g_rand_new_with_seed(nodes);
	bool *received = g_new0(bool, nodes);
	unsigned first_received_ms = 0;
	unsigned late = 0;

	member_fleet_reset_counts(f);
	for (unsigned ms = TICK_MS; ms <= OUTAGE_MS; ms += TICK_MS) {
		for (unsigned k = 0; k < ENDPOINT_REQUESTS_PER_S * TICK_MS / 1000; k++) {
			unsigned at = (unsigned)g_rand_int_range(rand, 0, (gint32)nodes);
			if (notifies ? !considers_usable_(&f->node[at], 1) : received[at])
				continue;
			late += first_received_ms && ms > first_received_ms + NOTIFIED_WITHIN_MS;
			if (!first_received_ms)
				first_received_ms = ms;
			received[at] = true;
			if (notifies)
				receive_leaving_(&f->node[at], 1);
		}
		member_fleet_deliver_pending(f);
		tick_(f);
	}
	*messages = member_fleet_get_total(f);
	g_free(received);
	g_rand_free(rand);
	fleet_delete_(f);
	return late;
}

/* During an outage of the store, no request reaches a leaving endpoint once NOTIFIED_WITHIN_MS have passed.
 */
static void test_outage_stops_requests_to_leaving_endpoint_(void **state)
{
	const unsigned counts[] = {9, 85, 984};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		unsigned isolated_messages;
		unsigned notified_messages;
		unsigned isolated = simulate_outage_(counts[i], false, &isolated_messages);
		unsigned notified = simulate_outage_(counts[i], true, &notified_messages);
		print_message(
			"%u nodes, outage of %u s: %u late requests at the leaving endpoint without notification, "
			"%u with notification (%u messages)\n",
			counts[i], OUTAGE_MS / 1000, isolated, notified, notified_messages);
		assert_int_equal(notified, 0);
		assert_int_equal(isolated_messages, 0);
		assert_true(notified_messages <= TOTAL_PER_NODE_MAX * counts[i] + ENDPOINT_REQUESTS_PER_S);
	}
}

/* Counts of a run in which requests go to a plain service whose endpoints reject some of them: one endpoint
 * rejects all, or each rejects what exceeds its slots and queue. */
typedef struct {
	unsigned rejections; /* rejections by endpoints */
	unsigned refused;    /* requests rejected twice, or that found no usable endpoint */
	unsigned served;
	unsigned messages;
} LoadCounts;

typedef struct {
	uint64_t end_us;
	unsigned node;
	unsigned endpoint;
	uint64_t incarnation;
} RunningRequest;

#define LOAD_ENDPOINTS 3
#define LOAD_SLOTS 8 /* the slots in make_entry_() */
#define LOAD_QUEUE 2 /* requests that wait at an endpoint */
#define LOAD_SERVICE_TIME_US (60 * BH__MS_US)
#define LOAD_BACKOFF_US (3 * BH__SECOND_US) /* backoff that an endpoint asks for */
#define LOAD_STEP_US (5 * BH__MS_US)

/* Sends a request of a node to an endpoint. Returns false if the endpoint rejects it. */
static bool dispatch_(MemberFleet *f, unsigned node, BH__RegisteredEndpoint *e, unsigned index,
					  GArray *requests, bool rejects_all, bool notifies)
{
	RelayNode *self = f->node[node].user;
	unsigned running = 0;
	RunningRequest w = {.node = node, .endpoint = index};

	for (guint i = 0; i < requests->len; i++)
		running += g_array_index(requests, RunningRequest, i).endpoint == index;
	w.incarnation = bh__registry_note_start(self->registry, e->endpoint_id, f->now_us);
	w.end_us = f->now_us + LOAD_SERVICE_TIME_US * MAX(running / LOAD_SLOTS, 1u);
	if ((rejects_all && index == 0) || running >= LOAD_SLOTS + LOAD_QUEUE) {
		bh__registry_note_end(self->registry, e->endpoint_id, w.incarnation, BH__ENDPOINT_OUTCOME_REFUSED,
							  f->now_us);
		bh__registered_endpoint_receive_backoff(e, f->now_us + LOAD_BACKOFF_US);
		if (notifies)
			bh__signal_relay_receive_overload(self->relay, e, f->now_us + LOAD_BACKOFF_US, f->now_us);
		return false;
	}
	g_array_append_val(requests, w);
	return true;
}

/* Simulates `per_s` requests per second for OUTAGE_MS. With `rejects_all` the first endpoint rejects all
 * requests; with `notifies` nodes notify each other of backoffs. */
static LoadCounts simulate_load_(unsigned nodes, unsigned per_s, bool rejects_all, bool notifies)
{
	MemberFleet *f = fleet_new_(nodes, LOAD_ENDPOINTS);
	GRand *rand = g_rand_new_with_seed(nodes);
	GArray *requests = g_array_new(FALSE, FALSE, sizeof(RunningRequest));
	LoadCounts load = {0};
	double due = 0;

	member_fleet_reset_counts(f);
	for (unsigned step = 0; step < OUTAGE_MS * BH__MS_US / LOAD_STEP_US; step++) {
		f->now_us += LOAD_STEP_US;
		for (guint i = requests->len; i-- > 0;) {
			const RunningRequest *w = &g_array_index(requests, RunningRequest, i);
			if (f->now_us < w->end_us)
				continue;
			bh__registry_note_end(((RelayNode *)f->node[w->node].user)->registry, endpoint_id_(w->endpoint),
								  w->incarnation, BH__ENDPOINT_OUTCOME_SERVED, f->now_us);
			g_array_remove_index_fast(requests, i);
			load.served++;
		}
		for (due += (double)per_s * LOAD_STEP_US / BH__SECOND_US; due >= 1; due--) {
			unsigned node = (unsigned)g_rand_int_range(rand, 0, (gint32)nodes);
			BH__Registry *r = ((RelayNode *)f->node[node].user)->registry;
			uint64_t tried[2];
			unsigned tries = 0;
			BH__RegisteredEndpoint *e;
			while (tries < 2 && (e = bh__registry_pick(r, "llm", "", tried, tries, false, f->now_us))) {
				unsigned index = (unsigned)g_ascii_strtoull(e->entry.id + 2, NULL, 10);
				if (dispatch_(f, node, e, index, requests, rejects_all, notifies))
					break;
				tried[tries++] = e->endpoint_id;
				load.rejections++;
			}
			load.refused += tries == 2 || !e;
		}
		member_fleet_deliver_pending(f);
		if (step % (TICK_MS * BH__MS_US / LOAD_STEP_US) == 0)
			tick_(f);
	}
	load.messages = member_fleet_get_total(f);
	g_array_unref(requests);
	g_rand_free(rand);
	fleet_delete_(f);
	return load;
}

/* An endpoint that rejects all requests looks idle to every node whose request it has not rejected yet. If
 * nodes notify each other, it gets in each backoff period only the requests that arrive until all nodes are
 * notified. */
static void test_overloaded_endpoint_is_avoided_(void **state)
{
	const unsigned counts[] = {9, 85, 300};
	const unsigned per_s = 30;
	const unsigned backoff_periods = OUTAGE_MS * BH__MS_US / LOAD_BACKOFF_US + 1;

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		LoadCounts isolated = simulate_load_(counts[i], per_s, true, false);
		LoadCounts notified = simulate_load_(counts[i], per_s, true, true);
		print_message("%u nodes, one of three endpoints rejects all: %u rejections without notification, "
					  "%u with notification (%u messages)\n",
					  counts[i], isolated.rejections, notified.rejections, notified.messages);
		assert_true(notified.rejections <=
					backoff_periods * per_s * NOTIFIED_WITHIN_MS / 1000 + backoff_periods);
		assert_int_equal(notified.refused, 0);
		assert_true(notified.messages <= backoff_periods * (TOTAL_PER_NODE_MAX * counts[i] +
															per_s * NOTIFIED_WITHIN_MS / 1000 + 1));
	}
}

/* All endpoints are overloaded: with notification the fleet serves at least 95% of the requests that it
 * serves without. */
static void test_overloaded_endpoints_stay_in_use_(void **state)
{
	const unsigned counts[] = {9, 85, 300};
	const unsigned per_s = 600; /* the endpoints can serve 400 */

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		LoadCounts isolated = simulate_load_(counts[i], per_s, false, false);
		LoadCounts notified = simulate_load_(counts[i], per_s, false, true);
		print_message("%u nodes, 150%% of the capacity requested: %u served and %u rejections without "
					  "notification, %u and %u with notification (%u messages)\n",
					  counts[i], isolated.served, isolated.rejections, notified.served, notified.rejections,
					  notified.messages);
		assert_true(notified.served >= 0.95 * isolated.served);
	}
}

/* Lets a node read an answer with a limit, or without one if `per_s` is 0. Returns true if its limit changes.
 */
static bool receive_limit_(MemberNode *n, unsigned endpoint, double per_s)
{
	RelayNode *self = n->user;
	BH__AdvertisedLimit received = {.in_force = per_s > 0, .per_s = per_s, .received_us = n->fleet->now_us};

	return bh__signal_relay_receive_limit(
		self->relay, bh__registry_find(self->registry, endpoint_id_(endpoint)), &received, n->fleet->now_us);
}

/* Counts the nodes at which a limit of an endpoint is in force. */
static unsigned count_limited_(const MemberFleet *f, unsigned endpoint)
{
	unsigned count = 0;

	for (unsigned i = 0; i < f->count; i++)
		count += bh__registry_find(((RelayNode *)f->node[i].user)->registry, endpoint_id_(endpoint))
					 ->signals.advertised.in_force;
	return count;
}

/* All nodes are notified of a limit that begins or ends, and no node sends more than SENT_PER_NODE_MAX
 * messages. Guards against a home node that notifies every other node itself. */
static void test_limit_broadcast_message_count_(void **state)
{
	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Counts_); i++) {
		MemberFleet *f = fleet_new_(Counts_[i], 3);
		for (unsigned k = 0; k < 2; k++) {
			member_fleet_reset_counts(f);
			f->now_us += BH__SECOND_US;
			assert_true(receive_limit_(&f->node[f->count / 2], 1, k ? 0 : 2.5));
			member_fleet_deliver_pending(f);
			tick_(f);
			assert_int_equal(count_limited_(f, 1), k ? 0 : f->count);
			assert_true(member_fleet_get_busiest(f) <= SENT_PER_NODE_MAX + 1);
		}
		print_message("%u nodes, one limit: %u messages in total, at most %u by one node\n", f->count,
					  member_fleet_get_total(f), member_fleet_get_busiest(f));
		fleet_delete_(f);
	}
}

/* An endpoint advertises a slightly different limit in each answer, and 300 endpoints begin to advertise one
 * within one second: the messages stay within the control budget of a node. */
static void test_changing_limits_stay_within_control_budget_(void **state)
{
	const unsigned endpoints = 300;

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Counts_); i++) {
		MemberFleet *f = fleet_new_(Counts_[i], endpoints);
		for (unsigned k = 0; k < 1000; k++) { /* 100 answers per second */
			f->now_us += 10 * BH__MS_US;
			receive_limit_(&f->node[k * 7 % f->count], 1, 10 + (k % 10) * 0.1);
			member_fleet_deliver_pending(f);
			if (k % 10 == 9)
				tick_(f);
		}
		print_message(
			"%u nodes, a changing limit: %u bytes/s per node, at most %u messages by one node in 10 s\n",
			f->count, (unsigned)(f->bytes / 10 / f->count), member_fleet_get_busiest(f));
		assert_true(f->bytes / 10 / f->count <= CONTROL_BYTES_PER_S / 10);
		assert_true(member_fleet_get_busiest(f) <= 1000 + 2 * SENT_PER_NODE_MAX);
		assert_int_equal(count_limited_(f, 1), f->count);
		member_fleet_reset_counts(f);
		for (unsigned k = 0; k < endpoints; k++) {
			receive_limit_(&f->node[k * 7 % f->count], k, 5);
			if (k % 30 == 29) {
				f->now_us += TICK_MS * BH__MS_US;
				member_fleet_deliver_pending(f);
				tick_(f);
			}
		}
		for (unsigned k = 0; k < 10; k++)
			tick_(f);
		print_message("%u nodes, %u limits in 1 s: %u bytes per node, at most %u by one node\n", f->count,
					  endpoints, (unsigned)(f->bytes / f->count),
					  (unsigned)member_fleet_get_busiest_bytes(f));
		assert_true(f->bytes / f->count <= CONTROL_BYTES_PER_S);
		assert_true(member_fleet_get_busiest_bytes(f) <= LINK_BYTES_PER_S / 10);
		for (unsigned k = 0; k < endpoints; k++)
			assert_int_equal(count_limited_(f, k), f->count);
		fleet_delete_(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_leaving_broadcast_message_count_),
		cmocka_unit_test(test_leaving_hall_stays_within_control_budget_),
		cmocka_unit_test(test_signal_survives_home_node_death_),
		cmocka_unit_test(test_starting_node_is_notified_),
		cmocka_unit_test(test_later_incarnation_is_used_),
		cmocka_unit_test(test_outage_stops_requests_to_leaving_endpoint_),
		cmocka_unit_test(test_overloaded_endpoint_is_avoided_),
		cmocka_unit_test(test_overloaded_endpoints_stay_in_use_),
		cmocka_unit_test(test_limit_broadcast_message_count_),
		cmocka_unit_test(test_changing_limits_stay_within_control_budget_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
