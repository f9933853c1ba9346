/* SPDX-License-Identifier: BSD-3-Clause */
/* An endpoint says in an answer to one node that it leaves, and all others hear of it.
 *
 * The store was away, so that nothing else could tell them, and requests went there for ten seconds. The work
 * of each node is counted: where one told all others itself, it sent a message to each of 984. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include "bayhoist/hash.h"
#include "bayhoist/signal_relay.h"
#include "member_fleet.h"

#define SENT_MAX 32      /* messages of one node for one signal, whatever the number of nodes */
#define TOTAL_FACTOR 2.5 /* messages in all, for each node */
#define CONTROL_BYTES_PER_S 22000
#define LINK_BYTES_PER_S 2500000 /* of the smallest nodes */
#define BORN_MS 1000
#define TICK_MS 100
#define HOME_LOST_MS 4000 /* in which a node that died is known to be dead */
#define OUTAGE_MS 10000
#define ENDPOINT_REQUESTS_PER_S 10 /* of all nodes, at one endpoint */
#define KNOWN_MS 200               /* in which all are to know */

static const unsigned Counts_[] = {9, 85, 300, 984, 3000};

typedef struct {
	BH__SignalRelayPort port; /* first */
	MemberNode *node;
	BH__Registry *registry;
	BH__SignalRelay *relay;
} Listener;

static void send_(BH__SignalRelayPort *port, uint64_t node_id, BH__Message *m)
{
	member_fleet_send(((Listener *)port)->node, node_id, m);
}

static uint64_t find_home_(BH__SignalRelayPort *port, const char *service)
{
	const Listener *l = (const Listener *)port;
	uint64_t home = bh__members_pick(l->node->members, bh__hash_name(service), NULL);

	return home ? home : l->node->id;
}

static void learnt_(BH__SignalRelayPort *port, BH__SignalKind kind, const BH__RegisteredEndpoint *e)
{
	(void)port;
	(void)kind;
	assert_non_null(e);
}

static void on_message_(MemberNode *n, const BH__Message *m)
{
	assert_true(bh__signal_relay_process_message(((Listener *)n->user)->relay, m, n->fleet->now_us));
}

static BH__EndpointEntry entry_(unsigned i, uint64_t born_ms)
{
	BH__EndpointEntry e = {.service = "llm", .address = "10.0.0.1:80", .slots = 8, .born_ms = born_ms};

	snprintf(e.id, sizeof e.id, "i-%u", i);
	return e;
}

static uint64_t id_(unsigned endpoint)
{
	return bh__hash_name(entry_(endpoint, 0).id);
}

static void listener_start_(MemberNode *n, unsigned endpoints)
{
	Listener *l = g_new0(Listener, 1);

	l->port = (BH__SignalRelayPort){.send = send_, .find_home = find_home_, .learnt = learnt_};
	l->node = n;
	l->registry = bh__registry_new(1);
	for (unsigned i = 0; i < endpoints; i++) {
		BH__EndpointEntry e = entry_(i, BORN_MS);
		bh__registry_put(l->registry, &e, (BH__Place){0, 5}, (BH__Place){0, 5});
	}
	l->relay = bh__signal_relay_new(&l->port, n->members, l->registry);
	n->user = l;
}

/* All nodes know all others, and all endpoints. */
static MemberFleet *fleet_new_(unsigned nodes, unsigned endpoints)
{
	MemberFleet *f = member_fleet_new(nodes);

	f->on_message = on_message_;
	for (unsigned i = 0; i < nodes; i++)
		listener_start_(&f->node[i], endpoints);
	return f;
}

static void fleet_delete_(MemberFleet *f)
{
	for (unsigned i = 0; i < f->count; i++) {
		Listener *l = f->node[i].user;
		bh__signal_relay_delete(l->relay);
		bh__registry_delete(l->registry);
		g_free(l);
	}
	member_fleet_delete(f);
}

static bool uses_(const MemberNode *n, unsigned endpoint)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(((Listener *)n->user)->registry, id_(endpoint));

	return e && bh__registered_endpoint_is_usable(e, 1);
}

static unsigned count_users_(const MemberFleet *f, unsigned endpoint)
{
	unsigned count = 0;

	for (unsigned i = 0; i < f->count; i++)
		count += !f->node[i].silent && uses_(&f->node[i], endpoint);
	return count;
}

static bool hear_(MemberNode *n, unsigned endpoint)
{
	Listener *l = n->user;

	return bh__signal_relay_hear_leaving(l->relay, bh__registry_find(l->registry, id_(endpoint)),
										 n->fleet->now_us);
}

static void tick_(MemberFleet *f)
{
	for (unsigned i = 0; i < f->count; i++)
		if (!f->node[i].silent)
			bh__signal_relay_process_tick(((Listener *)f->node[i].user)->relay, f->now_us);
	member_fleet_settle(f);
}

static MemberNode *find_home_of_(MemberFleet *f)
{
	uint64_t home = find_home_(&((Listener *)f->node[0].user)->port, "llm");

	for (unsigned i = 0; i < f->count; i++)
		if (f->node[i].id == home)
			return &f->node[i];
	return NULL;
}

/* One node hears it; or a tenth of all at the same moment, which makes a message more of each. */
static void no_node_tells_all_itself_(void **state)
{
	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Counts_); i++) {
		for (unsigned tenth = 0; tenth < 2; tenth++) {
			MemberFleet *f = fleet_new_(Counts_[i], 3);
			unsigned hearers = tenth ? MAX(f->count / 10, 1u) : 1;
			for (unsigned k = 0; k < hearers; k++)
				assert_true(hear_(&f->node[k * (f->count / hearers)], 1));
			assert_false(hear_(&f->node[0], 1));
			member_fleet_settle(f);
			tick_(f);
			print_message("%u nodes, %u hear: %u messages in all, %u of one node, %u bytes of one node\n",
						  f->count, hearers, member_fleet_get_total(f), member_fleet_get_busiest(f),
						  (unsigned)member_fleet_get_busiest_bytes(f));
			assert_int_equal(count_users_(f, 1), 0);
			assert_int_equal(count_users_(f, 0), f->count);
			assert_true(member_fleet_get_busiest(f) <= SENT_MAX + 1);
			assert_true(member_fleet_get_total(f) <= TOTAL_FACTOR * f->count + hearers);
			fleet_delete_(f);
		}
	}
}

/* 300 endpoints begin to leave in the same second, and any node hears of each. */
static void a_hall_that_leaves_fills_no_link_(void **state)
{
	const unsigned endpoints = 300;

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Counts_); i++) {
		MemberFleet *f = fleet_new_(Counts_[i], endpoints);
		for (unsigned k = 0; k < endpoints; k++) {
			hear_(&f->node[k * 7 % f->count], k);
			member_fleet_settle(f);
			if (k % 30 == 29)
				tick_(f);
		}
		for (unsigned k = 0; k < 10; k++)
			tick_(f);
		for (unsigned k = 0; k < endpoints; k++)
			assert_int_equal(count_users_(f, k), 0);
		print_message("%u nodes, %u endpoints in a second: %u bytes a node, %u of one node\n", f->count,
					  endpoints, (unsigned)(f->bytes / f->count),
					  (unsigned)member_fleet_get_busiest_bytes(f));
		assert_true(f->bytes / f->count <= CONTROL_BYTES_PER_S);
		assert_true(member_fleet_get_busiest_bytes(f) <= LINK_BYTES_PER_S / 10);
		fleet_delete_(f);
	}
}

/* The home dies before it has told anybody: whoever heard it tells the next one. */
static void a_home_that_dies_loses_nothing_(void **state)
{
	const unsigned counts[] = {9, 85, 300};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		MemberFleet *f = fleet_new_(counts[i], 3);
		MemberNode *home = find_home_of_(f);
		MemberNode *hearer = home == &f->node[0] ? &f->node[1] : &f->node[0];
		unsigned waited_ms = 0;
		home->silent = true;
		hear_(hearer, 1);
		member_fleet_settle(f);
		while (count_users_(f, 1) && waited_ms < HOME_LOST_MS) {
			member_fleet_run(f, TICK_MS);
			tick_(f);
			waited_ms += TICK_MS;
		}
		print_message("%u nodes, the home is dead: all know after %u ms\n", f->count, waited_ms);
		assert_int_equal(count_users_(f, 1), 0);
		fleet_delete_(f);
	}
}

/* A node that starts with entries which say otherwise is told by the home. */
static void a_node_that_starts_is_told_(void **state)
{
	MemberFleet *f = fleet_new_(9, 80);
	MemberNode *home = find_home_of_(f);
	MemberNode *late = home == &f->node[8] ? &f->node[7] : &f->node[8];
	Listener *old = late->user;

	(void)state;
	late->silent = true;
	for (unsigned k = 0; k < 70; k++)
		hear_(home, k);
	for (unsigned k = 0; k < 5; k++)
		tick_(f);
	bh__signal_relay_delete(old->relay);
	bh__registry_delete(old->registry);
	g_free(old);
	listener_start_(late, 80);
	late->silent = false;
	assert_true(uses_(late, 69));
	bh__signal_relay_tell_node(((Listener *)home->user)->relay, late->id, f->now_us);
	member_fleet_settle(f);
	for (unsigned k = 0; k < 80; k++)
		assert_int_equal(uses_(late, k), k >= 70);
	fleet_delete_(f);
}

/* A later start of the endpoint is used by all, also where the word on the earlier one comes after it. */
static void a_later_start_is_used_(void **state)
{
	MemberFleet *f = fleet_new_(9, 3);
	BH__Message late = {.type = BH__MESSAGE_SIGNALS};

	(void)state;
	hear_(&f->node[0], 1);
	member_fleet_settle(f);
	tick_(f);
	assert_int_equal(count_users_(f, 1), 0);
	late.as.signals.count = 1;
	late.as.signals.item[0] =
		(BH__SignalNews){.kind = BH__SIGNAL_LEAVING, .endpoint_id = id_(1), .born_ms = BORN_MS};
	for (unsigned i = 0; i < f->count; i++) {
		Listener *l = f->node[i].user;
		BH__EndpointEntry e = entry_(1, BORN_MS + 500);
		bh__registry_put(l->registry, &e, (BH__Place){0, 9}, (BH__Place){0, 9});
		bh__signal_relay_process_message(l->relay, &late, f->now_us);
	}
	assert_int_equal(count_users_(f, 1), f->count);
	fleet_delete_(f);
}

/* In an outage nothing but answers tells. Returns how many requests come to the endpoint, later than KNOWN_MS
 * after the first node has heard; with `tells` nodes tell each other, otherwise each learns from its own
 * answers. */
static unsigned play_outage_(unsigned nodes, bool tells, unsigned *messages)
{
	MemberFleet *f = fleet_new_(nodes, 3);
	GRand *rand = g_rand_new_with_seed(nodes);
	bool *heard = g_new0(bool, nodes);
	unsigned first_ms = 0;
	unsigned late = 0;

	member_fleet_reset_counts(f);
	for (unsigned ms = TICK_MS; ms <= OUTAGE_MS; ms += TICK_MS) {
		for (unsigned k = 0; k < ENDPOINT_REQUESTS_PER_S * TICK_MS / 1000; k++) {
			unsigned at = (unsigned)g_rand_int_range(rand, 0, (gint32)nodes);
			if (tells ? !uses_(&f->node[at], 1) : heard[at])
				continue;
			late += first_ms && ms > first_ms + KNOWN_MS;
			if (!first_ms)
				first_ms = ms;
			heard[at] = true;
			if (tells)
				hear_(&f->node[at], 1);
		}
		member_fleet_settle(f);
		tick_(f);
	}
	*messages = member_fleet_get_total(f);
	g_free(heard);
	g_rand_free(rand);
	fleet_delete_(f);
	return late;
}

static void in_an_outage_all_hear_at_once_(void **state)
{
	const unsigned counts[] = {9, 85, 984};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		unsigned kept_messages;
		unsigned told_messages;
		unsigned kept = play_outage_(counts[i], false, &kept_messages);
		unsigned told = play_outage_(counts[i], true, &told_messages);
		print_message("%u nodes, outage of %u s: %u requests at the endpoint after the first word where each "
					  "node learns for itself, %u where they tell each other, with %u messages\n",
					  counts[i], OUTAGE_MS / 1000, kept, told, told_messages);
		assert_int_equal(told, 0);
		assert_int_equal(kept_messages, 0);
		assert_true(told_messages <= TOTAL_FACTOR * counts[i] + ENDPOINT_REQUESTS_PER_S);
	}
}

/* Requests at a plain service of which one endpoint turns away all, or each what it can't take. */
typedef struct {
	unsigned turned_away;
	unsigned refused; /* twice, so that its caller is */
	unsigned served;
	unsigned messages;
} Crowd;

typedef struct {
	uint64_t end_us;
	unsigned node;
	unsigned endpoint;
	uint64_t life;
} Work;

#define CROWD_ENDPOINTS 3
#define CROWD_SLOTS 8 /* as entry_() says */
#define CROWD_QUEUE 2
#define CROWD_WORK_US (60 * BH__MS_US)
#define CROWD_REST_US (3 * BH__SECOND_US)
#define CROWD_STEP_US (5 * BH__MS_US)

/* Sends a request of a node to an endpoint. Returns false if that turns it away. */
static bool offer_(MemberFleet *f, unsigned node, BH__RegisteredEndpoint *e, unsigned index, GArray *works,
				   bool sheds_all, bool tells)
{
	Listener *l = f->node[node].user;
	unsigned running = 0;
	Work w = {.node = node, .endpoint = index};

	for (guint i = 0; i < works->len; i++)
		running += g_array_index(works, Work, i).endpoint == index;
	w.life = bh__registry_note_start(l->registry, e->endpoint_id);
	w.end_us = f->now_us + CROWD_WORK_US * MAX(running / CROWD_SLOTS, 1u);
	if ((sheds_all && index == 0) || running >= CROWD_SLOTS + CROWD_QUEUE) {
		bh__registry_note_end(l->registry, e->endpoint_id, w.life, BH__USE_REFUSED, f->now_us);
		bh__registered_endpoint_hear_backoff(e, f->now_us + CROWD_REST_US);
		if (tells)
			bh__signal_relay_hear_overload(l->relay, e, f->now_us + CROWD_REST_US, f->now_us);
		return false;
	}
	g_array_append_val(works, w);
	return true;
}

static Crowd play_crowd_(unsigned nodes, unsigned per_s, bool sheds_all, bool tells)
{
	MemberFleet *f = fleet_new_(nodes, CROWD_ENDPOINTS);
	GRand *rand = g_rand_new_with_seed(nodes);
	GArray *works = g_array_new(FALSE, FALSE, sizeof(Work));
	Crowd crowd = {0};
	double due = 0;

	member_fleet_reset_counts(f);
	for (unsigned step = 0; step < OUTAGE_MS * BH__MS_US / CROWD_STEP_US; step++) {
		f->now_us += CROWD_STEP_US;
		for (guint i = works->len; i-- > 0;) {
			const Work *w = &g_array_index(works, Work, i);
			if (f->now_us < w->end_us)
				continue;
			bh__registry_note_end(((Listener *)f->node[w->node].user)->registry, id_(w->endpoint), w->life,
								  BH__USE_SERVED, f->now_us);
			g_array_remove_index_fast(works, i);
			crowd.served++;
		}
		for (due += (double)per_s * CROWD_STEP_US / BH__SECOND_US; due >= 1; due--) {
			unsigned node = (unsigned)g_rand_int_range(rand, 0, (gint32)nodes);
			BH__Registry *r = ((Listener *)f->node[node].user)->registry;
			uint64_t tried[2];
			unsigned tries = 0;
			BH__RegisteredEndpoint *e;
			while (tries < 2 && (e = bh__registry_pick(r, "llm", "", tried, tries, false, f->now_us))) {
				unsigned index = (unsigned)g_ascii_strtoull(e->entry.id + 2, NULL, 10);
				if (offer_(f, node, e, index, works, sheds_all, tells))
					break;
				tried[tries++] = e->endpoint_id;
				crowd.turned_away++;
			}
			crowd.refused += tries == 2 || !e;
		}
		member_fleet_settle(f);
		if (step % (TICK_MS * BH__MS_US / CROWD_STEP_US) == 0)
			tick_(f);
	}
	crowd.messages = member_fleet_get_total(f);
	g_array_unref(works);
	g_rand_free(rand);
	fleet_delete_(f);
	return crowd;
}

/* An endpoint that turns all away looks idle to each node that it has not turned away yet. Where nodes tell
 * each other, it gets in each rest no more than what comes until all know. */
static void a_crowded_endpoint_is_known_to_all_(void **state)
{
	const unsigned counts[] = {9, 85, 300};
	const unsigned per_s = 30;
	const unsigned rests = OUTAGE_MS * BH__MS_US / CROWD_REST_US + 1;

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		Crowd kept = play_crowd_(counts[i], per_s, true, false);
		Crowd told = play_crowd_(counts[i], per_s, true, true);
		print_message(
			"%u nodes, one of three turns all away: %u turned away where each node learns for itself, "
			"%u where they tell each other (%u messages)\n",
			counts[i], kept.turned_away, told.turned_away, told.messages);
		assert_true(told.turned_away <= rests * per_s * KNOWN_MS / 1000 + rests);
		assert_int_equal(told.refused, 0);
		assert_true(told.messages <= rests * (TOTAL_FACTOR * counts[i] + per_s * KNOWN_MS / 1000 + 1));
	}
}

/* All are crowded: what they bear is used no less than where each node learns for itself. */
static void crowded_endpoints_are_used_(void **state)
{
	const unsigned counts[] = {9, 85, 300};
	const unsigned per_s = 600; /* of 400 that they bear */

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		Crowd kept = play_crowd_(counts[i], per_s, false, false);
		Crowd told = play_crowd_(counts[i], per_s, false, true);
		print_message(
			"%u nodes, half as much again as all bear: %u served and %u turned away where each node "
			"learns for itself, %u and %u where they tell each other (%u messages)\n",
			counts[i], kept.served, kept.turned_away, told.served, told.turned_away, told.messages);
		assert_true(told.served >= 0.95 * kept.served);
	}
}

static bool hear_limit_(MemberNode *n, unsigned endpoint, double per_s)
{
	Listener *l = n->user;
	BH__NamedLimit heard = {.in_force = per_s > 0, .per_s = per_s, .heard_us = n->fleet->now_us};

	return bh__signal_relay_hear_limit(l->relay, bh__registry_find(l->registry, id_(endpoint)), &heard,
									   n->fleet->now_us);
}

static unsigned count_limited_(const MemberFleet *f, unsigned endpoint)
{
	unsigned count = 0;

	for (unsigned i = 0; i < f->count; i++)
		count +=
			bh__registry_find(((Listener *)f->node[i].user)->registry, id_(endpoint))->signals.named.in_force;
	return count;
}

/* A limit that begins or ends is known to all, and no node tells all itself: the home told each other node.
 */
static void limits_go_along_the_ring_(void **state)
{
	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Counts_); i++) {
		MemberFleet *f = fleet_new_(Counts_[i], 3);
		for (unsigned k = 0; k < 2; k++) {
			member_fleet_reset_counts(f);
			f->now_us += BH__SECOND_US;
			assert_true(hear_limit_(&f->node[f->count / 2], 1, k ? 0 : 2.5));
			member_fleet_settle(f);
			tick_(f);
			assert_int_equal(count_limited_(f, 1), k ? 0 : f->count);
			assert_true(member_fleet_get_busiest(f) <= SENT_MAX + 1);
		}
		print_message("%u nodes, a limit: %u messages in all, %u of one node\n", f->count,
					  member_fleet_get_total(f), member_fleet_get_busiest(f));
		fleet_delete_(f);
	}
}

/* An endpoint that names a slightly other figure in each answer, and 300 that come into need in one second:
 * for control a node spends no more than it may. */
static void limits_that_move_are_little_news_(void **state)
{
	const unsigned endpoints = 300;

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Counts_); i++) {
		MemberFleet *f = fleet_new_(Counts_[i], endpoints);
		for (unsigned k = 0; k < 1000; k++) { /* a hundred answers a second */
			f->now_us += 10 * BH__MS_US;
			hear_limit_(&f->node[k * 7 % f->count], 1, 10 + (k % 10) * 0.1);
			member_fleet_settle(f);
			if (k % 10 == 9)
				tick_(f);
		}
		print_message(
			"%u nodes, a figure that moves: %u bytes a second a node, %u messages of one node in 10 s\n",
			f->count, (unsigned)(f->bytes / 10 / f->count), member_fleet_get_busiest(f));
		assert_true(f->bytes / 10 / f->count <= CONTROL_BYTES_PER_S / 10);
		assert_true(member_fleet_get_busiest(f) <= 1000 + 2 * SENT_MAX);
		assert_int_equal(count_limited_(f, 1), f->count);
		member_fleet_reset_counts(f);
		for (unsigned k = 0; k < endpoints; k++) {
			hear_limit_(&f->node[k * 7 % f->count], k, 5);
			if (k % 30 == 29) {
				f->now_us += TICK_MS * BH__MS_US;
				member_fleet_settle(f);
				tick_(f);
			}
		}
		for (unsigned k = 0; k < 10; k++)
			tick_(f);
		print_message("%u nodes, %u limits in a second: %u bytes a node, %u of one node\n", f->count,
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
		cmocka_unit_test(no_node_tells_all_itself_),
		cmocka_unit_test(a_hall_that_leaves_fills_no_link_),
		cmocka_unit_test(a_home_that_dies_loses_nothing_),
		cmocka_unit_test(a_node_that_starts_is_told_),
		cmocka_unit_test(a_later_start_is_used_),
		cmocka_unit_test(in_an_outage_all_hear_at_once_),
		cmocka_unit_test(a_crowded_endpoint_is_known_to_all_),
		cmocka_unit_test(crowded_endpoints_are_used_),
		cmocka_unit_test(limits_go_along_the_ring_),
		cmocka_unit_test(limits_that_move_are_little_news_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
