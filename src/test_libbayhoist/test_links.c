/* SPDX-License-Identifier: BSD-3-Clause */
/* A node's own links: what is a cut and what is none, whom a failure is put down to, and how requests of
 * nodes that have lost their links reach the endpoints through peers, on virtual time.
 *
 * Guards against nodes that refused nearly all requests while their own links were cut, although their peers
 * reached every endpoint. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include "link_fleet.h"

#define MS BH__MS_US
#define STEP_MS 100
#define CUT_S 12
#define SETTLED_S 1       /* from when on after a cut the aim holds */
#define AIM_SHARE 0.95    /* of the share served at nodes whose links are whole */
#define REQUESTS_PER_S 60 /* of all nodes together, for each nine */
#define ANSWER_LIST_MIN_S 2
#define ANSWER_LIST_MAX_S 6
/* The busiest peer gets at most this times what an even part of the cut nodes' requests would be, and some
 * more by chance. */
#define EVEN_FACTOR 2
#define EVEN_EXTRA 12
#define BACK_MS 1000 /* by when links that are back are used */

static const unsigned Counts_[] = {9, 85, 300};

/* Counts of first tries. */
typedef struct {
	unsigned sent[2]; /* at nodes whose links are whole, and at those that are cut */
	unsigned served[2];
	unsigned failed_early; /* at cut nodes, before the aim holds */
	uint64_t worst_us;     /* longest time to the endpoint of one that was served late in the cut */
} Tries;

/* Sends first tries for `ms` to nodes that callers choose at random. With WAY_STEER callers don't choose a
 * node that the address list, as they hold it, leaves out. */
static void play_(LinkFleet *f, GRand *rand, unsigned ms, unsigned from_ms, Tries *t)
{
	unsigned per_step = MAX(1, f->count * REQUESTS_PER_S / 9 * STEP_MS / 1000);

	for (unsigned at = 0; at < ms; at += STEP_MS) {
		for (unsigned i = 0; i < per_step; i++) {
			unsigned node = (unsigned)g_rand_int_range(rand, 0, (gint32)f->count);
			unsigned list_ms = (unsigned)g_rand_int_range(rand, 0, 1000 * (ANSWER_LIST_MIN_S + 4));
			uint64_t endpoint_id = (uint64_t)g_rand_int_range(rand, 1, LINK_FLEET_ENDPOINTS + 1);
			uint64_t took_us;
			bool served;
			bool is_cut = f->node[node].is_cut;
			if (f->way == WAY_STEER && is_cut && bh__link_state_get(f->node[node].state) == BH__LINKS_CUT &&
				at >= MIN(list_ms + 1000u, ANSWER_LIST_MAX_S * 1000u))
				continue; /* the caller's list has left it out */
			served = link_fleet_request(f, node, endpoint_id, &took_us);
			if (at < from_ms) {
				t->failed_early += is_cut && !served;
				continue;
			}
			t->sent[is_cut]++;
			t->served[is_cut] += served;
			if (served)
				t->worst_us = MAX(t->worst_us, took_us);
		}
		link_fleet_run(f, STEP_MS);
	}
}

static double share_(const Tries *t, unsigned k)
{
	return t->sent[k] ? (double)t->served[k] / t->sent[k] : 1;
}

static void cut_(LinkFleet *f, unsigned first, unsigned count, bool is_cut)
{
	for (unsigned i = first; i < first + count; i++)
		f->node[i].is_cut = is_cut;
}

/* Two thirds of the nodes are cut off: from a second on they serve as many as the others, and no peer gets
 * much more of their requests than another. */
static void cut_nodes_serve_through_peers_(void **state)
{
	(void)state;
	for (unsigned k = 0; k < G_N_ELEMENTS(Counts_); k++) {
		for (Face face = FACE_REFUSED; face < FACE_COUNT; face++) {
			LinkFleet *f = link_fleet_new(Counts_[k], WAY_RELAY, face);
			GRand *rand = g_rand_new_with_seed(k + 1);
			unsigned cut = Counts_[k] * 2 / 3;
			unsigned through = 0;
			unsigned most = 0;
			Tries before = {0};
			Tries t = {0};
			play_(f, rand, 2000, 0, &before);
			cut_(f, 0, cut, true);
			member_fleet_reset_counts(f->members);
			play_(f, rand, CUT_S * 1000, SETTLED_S * 1000, &t);
			for (unsigned i = 0; i < f->count; i++) {
				through += f->node[i].for_peer;
				most = MAX(most, f->node[i].for_peer);
			}
			print_message(
				"%u nodes, %u cut, %s: %.3f of first tries served there, %.3f at the others, %u failed in "
				"the "
				"first second, slowest %.0f ms; busiest peer %u of %u; %u announcements, %.0f bytes a node\n",
				f->count, cut, face == FACE_DARK ? "dark" : "refused", share_(&t, 1), share_(&t, 0),
				t.failed_early, (double)t.worst_us / MS, most, through, f->messages,
				(double)f->members->bytes / f->count);
			assert_true(share_(&t, 1) >= AIM_SHARE * share_(&t, 0));
			assert_true(share_(&t, 0) >= share_(&before, 0));
			assert_true(most <= EVEN_FACTOR * through / (f->count - cut) + EVEN_EXTRA);
			g_rand_free(rand);
			link_fleet_delete(f);
		}
	}
}

/* The ways that were weighed: none, leaving cut nodes out of the address list, and sending through peers. */
static void ways_compared_(void **state)
{
	static const char *const WayString[] = {"none", "address list", "peers"};

	(void)state;
	for (Way way = WAY_NONE; way < WAY_COUNT; way++) {
		LinkFleet *f = link_fleet_new(9, way, FACE_REFUSED);
		GRand *rand = g_rand_new_with_seed(7);
		Tries t = {0};
		play_(f, rand, 2000, 2000, &t);
		cut_(f, 0, 6, true);
		play_(f, rand, CUT_S * 1000, SETTLED_S * 1000, &t);
		print_message("%s: %u of %u first tries fail; %u of %u served at the six cut nodes\n", WayString[way],
					  t.sent[0] + t.sent[1] - t.served[0] - t.served[1], t.sent[0] + t.sent[1], t.served[1],
					  t.sent[1]);
		assert_true(way != WAY_RELAY || share_(&t, 1) >= AIM_SHARE);
		g_rand_free(rand);
		link_fleet_delete(f);
	}
}

/* An idle node whose links are cut serves its first request. */
static void an_idle_node_serves_its_first_request_(void **state)
{
	(void)state;
	for (Face face = FACE_REFUSED; face < FACE_COUNT; face++) {
		LinkFleet *f = link_fleet_new(9, WAY_RELAY, face);
		uint64_t took_us;
		f->node[4].is_cut = true;
		assert_true(link_fleet_request(f, 4, 1, &took_us));
		link_fleet_delete(f);
	}
}

/* All nodes are cut off: nobody is taken for a way for long, and when the links are back all serve within a
 * second. */
static void links_that_are_back_are_used_(void **state)
{
	(void)state;
	for (unsigned cut = 6; cut <= 9; cut += 3) {
		for (Face face = FACE_REFUSED; face < FACE_COUNT; face++) {
			LinkFleet *f = link_fleet_new(9, WAY_RELAY, face);
			GRand *rand = g_rand_new_with_seed(3);
			Tries t = {0};
			Tries after = {0};
			play_(f, rand, 1000, 0, &t);
			cut_(f, 0, cut, true);
			play_(f, rand, 5000, 0, &t);
			cut_(f, 0, cut, false);
			play_(f, rand, BACK_MS + 3000, BACK_MS, &after);
			for (unsigned i = 0; i < 9; i++)
				assert_int_equal(bh__link_state_get(f->node[i].state), BH__LINKS_UP);
			assert_int_equal(after.served[0], after.sent[0]);
			g_rand_free(rand);
			link_fleet_delete(f);
		}
	}
}

/* What is no cut: a service whose endpoints have all died, a hall that is dark for all nodes, one endpoint
 * that only this node can't reach. Failures at dead endpoints are put down to them. */
static void other_failures_are_no_cut_(void **state)
{
	(void)state;
	for (unsigned dead = 1; dead <= LINK_FLEET_ENDPOINTS; dead += 3) {
		LinkFleet *f = link_fleet_new(9, WAY_RELAY, FACE_REFUSED);
		GRand *rand = g_rand_new_with_seed(5);
		Tries t = {0};
		play_(f, rand, 1000, 0, &t);
		for (unsigned i = 1; i <= dead; i++)
			f->dead[i] = true;
		play_(f, rand, 3000, 0, &t);
		for (unsigned i = 0; i < 9; i++)
			assert_int_not_equal(bh__link_state_get(f->node[i].state), BH__LINKS_CUT);
		assert_true(f->blamed > 0);
		g_rand_free(rand);
		link_fleet_delete(f);
	}
}

/* Two endpoints that only peers reach make a cut; a connection made after their failures means there is none,
 * and one that stood before them says nothing. */
static void a_cut_needs_two_bad_paths_since_the_last_connection_(void **state)
{
	BH__LinkState *l = bh__link_state_new(0);

	(void)state;
	bh__link_state_note_failed(l, 1, 10 * MS);
	bh__link_state_note_peer(l, 1, true, 12 * MS);
	assert_int_equal(bh__link_state_choose(l, 1), BH__LINK_ROUTE_PEER);
	assert_int_equal(bh__link_state_choose(l, 2), BH__LINK_ROUTE_DIRECT);
	bh__link_state_note_reached(l, 3, 15 * MS, 18 * MS); /* the other links are whole */
	bh__link_state_note_failed(l, 2, 20 * MS);
	bh__link_state_note_peer(l, 2, true, 22 * MS);
	assert_int_equal(bh__link_state_get(l), BH__LINKS_UP);
	bh__link_state_note_reached(l, 3, 15 * MS, 30 * MS); /* an open connection lives on */
	bh__link_state_note_failed(l, 4, 40 * MS);
	bh__link_state_note_peer(l, 4, false, 41 * MS); /* this one is dead */
	assert_int_equal(bh__link_state_get(l), BH__LINKS_DARK);
	assert_int_equal(bh__link_state_choose(l, 9), BH__LINK_ROUTE_DIRECT);
	bh__link_state_note_failed(l, 1, 50 * MS);
	bh__link_state_note_peer(l, 1, true, 52 * MS);
	assert_int_equal(bh__link_state_get(l), BH__LINKS_CUT);
	assert_int_equal(bh__link_state_choose(l, 9), BH__LINK_ROUTE_PEER);
	bh__link_state_note_reached(l, 3, 15 * MS, 60 * MS);
	assert_int_equal(bh__link_state_get(l), BH__LINKS_CUT);
	bh__link_state_note_reached(l, 3, 61 * MS, 64 * MS);
	assert_int_equal(bh__link_state_get(l), BH__LINKS_UP);
	bh__link_state_delete(l);
}

/* If nobody reaches two endpoints or more, it is open whose fault that is: nothing goes through peers, and
 * the node looks again. */
static void what_nobody_reaches_is_dark_(void **state)
{
	BH__LinkState *l = bh__link_state_new(0);

	(void)state;
	bh__link_state_note_failed(l, 1, 10 * MS);
	assert_int_equal(bh__link_state_get(l), BH__LINKS_UP);
	assert_int_equal(bh__link_state_take_look(l, 11 * MS), BH__NO_ENDPOINT);
	bh__link_state_note_failed(l, 2, 20 * MS);
	bh__link_state_note_peer(l, 2, false, 21 * MS);
	assert_int_equal(bh__link_state_get(l), BH__LINKS_DARK);
	assert_int_equal(bh__link_state_choose(l, 1), BH__LINK_ROUTE_DIRECT);
	assert_int_not_equal(bh__link_state_take_look(l, 30 * MS), BH__NO_ENDPOINT);
	bh__link_state_note_reached(l, 1, 40 * MS, 40 * MS);
	assert_int_equal(bh__link_state_get(l), BH__LINKS_UP);
	bh__link_state_delete(l);
}

/* A failure is this node's own fault while the path is known to be bad, and of dispatches that a cut
 * overlapped; not of later ones. */
static void failures_in_a_cut_are_own_faults_(void **state)
{
	BH__LinkState *l = bh__link_state_new(0);

	(void)state;
	assert_false(bh__link_state_is_own_fault(l, 1, 0));
	for (uint64_t id = 1; id <= 2; id++) {
		bh__link_state_note_failed(l, id, 10 * MS);
		bh__link_state_note_peer(l, id, true, 12 * MS);
	}
	assert_true(bh__link_state_is_own_fault(l, 3, 5 * MS));
	bh__link_state_note_reached(l, 1, 20 * MS, 20 * MS);
	assert_true(bh__link_state_is_own_fault(l, 3, 15 * MS));
	assert_false(bh__link_state_is_own_fault(l, 3, 21 * MS));
	bh__link_state_delete(l);
}

/* While the path is bad, the node looks again four times a second, and not at endpoints that it reaches. */
static void bad_paths_are_looked_at_again_(void **state)
{
	BH__LinkState *l = bh__link_state_new(0);
	unsigned looks = 0;

	(void)state;
	bh__link_state_note_failed(l, 1, 10 * MS);
	bh__link_state_note_peer(l, 1, true, 12 * MS);
	for (unsigned ms = 20; ms < 1020; ms += 10)
		looks += bh__link_state_take_look(l, ms * MS) == 1;
	assert_in_range(looks, 4, 5);
	bh__link_state_note_reached(l, 1, 1100 * MS, 1100 * MS);
	assert_int_equal(bh__link_state_take_look(l, 2000 * MS), BH__NO_ENDPOINT);
	bh__link_state_delete(l);
}

/* The time until a peer is asked follows the observed connect times, within bounds. */
static void patience_follows_connect_times_(void **state)
{
	BH__LinkState *l = bh__link_state_new(0);

	(void)state;
	assert_int_equal(bh__link_state_get_patience_us(l), 100 * MS);
	for (unsigned i = 0; i < 50; i++)
		bh__link_state_note_connect_time(l, 3 * MS);
	assert_int_equal(bh__link_state_get_patience_us(l), 20 * MS);
	for (unsigned i = 0; i < 50; i++)
		bh__link_state_note_connect_time(l, i % 2 ? 10 * MS : 50 * MS);
	assert_in_range(bh__link_state_get_patience_us(l), 60 * MS, 100 * MS);
	bh__link_state_delete(l);
}

/* Peers that refused or told of a cut are left alone for a while; the load of the others counts. */
static void peers_that_refused_are_left_alone_(void **state)
{
	MemberFleet *f = member_fleet_new(3);
	BH__RelayPeers *r = bh__relay_peers_new(1);
	const BH__Members *m = f->node[0].members;
	uint64_t second = f->node[1].id;
	uint64_t third = f->node[2].id;

	(void)state;
	bh__relay_peers_note_refused(r, second, 0);
	assert_int_equal(bh__relay_peers_pick(r, m, NULL, 0, 500 * MS), third);
	assert_int_equal(bh__relay_peers_pick(r, m, &third, 1, 500 * MS), 0);
	bh__relay_peers_set_cut(r, third, true, 0);
	assert_int_equal(bh__relay_peers_pick(r, m, NULL, 0, 500 * MS), 0);
	assert_int_equal(bh__relay_peers_pick(r, m, NULL, 0, 1500 * MS), second);
	bh__relay_peers_set_cut(r, third, false, 0);
	for (unsigned i = 0; i < 10; i++)
		bh__relay_peers_note_begin(r, second);
	assert_int_equal(bh__relay_peers_pick(r, m, NULL, 0, 1500 * MS), third);
	for (unsigned i = 0; i < 10; i++)
		bh__relay_peers_note_end(r, second);
	assert_int_equal(bh__relay_peers_get_in_use(r, second), 0);
	bh__relay_peers_delete(r);
	member_fleet_delete(f);
}

/* A peer that could not be reached once is used after the others, but rather than none: of three nodes one
 * has its links, and one slow hop to it must not leave the others without a way. */
static void a_peer_that_was_lost_is_the_last_one_(void **state)
{
	MemberFleet *f = member_fleet_new(3);
	BH__RelayPeers *r = bh__relay_peers_new(1);
	const BH__Members *m = f->node[0].members;
	uint64_t second = f->node[1].id;
	uint64_t third = f->node[2].id;

	(void)state;
	bh__relay_peers_note_lost(r, second, 0);
	assert_int_equal(bh__relay_peers_pick(r, m, NULL, 0, 500 * MS), third);
	bh__relay_peers_set_cut(r, third, true, 0);
	assert_int_equal(bh__relay_peers_pick(r, m, NULL, 0, 500 * MS), second);
	assert_int_equal(bh__relay_peers_pick(r, m, &second, 1, 500 * MS), 0);
	bh__relay_peers_note_refused(r, second, 0);
	assert_int_equal(bh__relay_peers_pick(r, m, NULL, 0, 500 * MS), 0);
	bh__relay_peers_delete(r);
	member_fleet_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test(a_cut_needs_two_bad_paths_since_the_last_connection_),
									   cmocka_unit_test(what_nobody_reaches_is_dark_),
									   cmocka_unit_test(failures_in_a_cut_are_own_faults_),
									   cmocka_unit_test(bad_paths_are_looked_at_again_),
									   cmocka_unit_test(patience_follows_connect_times_),
									   cmocka_unit_test(peers_that_refused_are_left_alone_),
									   cmocka_unit_test(a_peer_that_was_lost_is_the_last_one_),
									   cmocka_unit_test(an_idle_node_serves_its_first_request_),
									   cmocka_unit_test(cut_nodes_serve_through_peers_),
									   cmocka_unit_test(ways_compared_),
									   cmocka_unit_test(links_that_are_back_are_used_),
									   cmocka_unit_test(other_failures_are_no_cut_)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
