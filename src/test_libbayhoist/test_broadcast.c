/* SPDX-License-Identifier: BSD-3-Clause */
/* Broadcast of member updates to all nodes: the messages and bytes that each node sends for it.
 *
 * When a node sent an update to each of 984 others itself, it sent 2 MB with the answers over a link of 20
 * Mbit/s, opened as many connections, and answered probes late meanwhile. It was therefore suspected, another
 * node broadcast the suspicion, and it broadcast the refutation. With 57 nodes restarted in turn, this load
 * sustained itself until no request was served. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>
#include "member_fleet.h"

#define SENT_MAX 32 /* messages that one node may send for one broadcast, for any number of nodes */
#define TOTAL_PER_NODE_MAX 2.5 /* messages of one broadcast in total, per node */
#define BYTES_PER_NODE_MAX 700 /* of one broadcast, mean per node */
/* Mean share of the live nodes that a broadcast reaches before failures are detected. */
#define REACHED_SHARE_MIN 0.98
#define ANNOUNCERS 20
#define SEEDS 3
#define IDLE_MS 25000
/* Peers of a node per bit of the number of nodes: twice the nodes that it probes and that probe it. */
#define PEERS_PER_BIT_MAX 4
#define RESTARTS 24
#define CONTROL_BYTES_PER_S_MAX 22000 /* budget of one node for control messages */
#define RECORDS_MAX 50                /* in a table sent for a single difference among 1,000 nodes */
#define CONVERGENCE_MAX_MS 1000       /* by when probes have informed the nodes that a broadcast missed */

/* Returns how many responsive nodes have received that a node is leaving. */
static unsigned count_informed_(const MemberFleet *f, uint64_t leaving)
{
	unsigned count = 0;

	for (unsigned i = 0; i < f->count; i++) {
		const BH__MemberInfo *info = bh__members_find(f->node[i].members, leaving);
		count += !f->node[i].unresponsive && info && info->leaving;
	}
	return count;
}

/* An announcement reaches all nodes, and neither a single node nor all together send too much for it. */
static void broadcast_load_is_bounded_(void **state)
{
	const unsigned counts[] = {2, 9, 100, 300, 1000, 3000};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		MemberFleet *f = member_fleet_new(counts[i]);
		MemberNode *n = &f->node[counts[i] / 2];
		bh__members_set_self(n->members, true, 0, 0);
		bh__members_announce(n->members);
		member_fleet_deliver_pending(f);
		print_message("%u nodes: %u messages in total, at most %u from one node, %u bytes per node\n",
					  f->count, member_fleet_get_total(f), member_fleet_get_busiest(f),
					  (unsigned)(f->bytes / f->count));
		assert_int_equal(count_informed_(f, n->id), f->count);
		assert_true(member_fleet_get_busiest(f) <= SENT_MAX);
		assert_true(member_fleet_get_total(f) <= TOTAL_PER_NODE_MAX * f->count);
		assert_true(f->bytes <= (uint64_t)BYTES_PER_NODE_MAX * f->count);
		member_fleet_delete(f);
	}
}

/* A twentieth of all nodes has just become unresponsive and is not suspected yet. Whichever node broadcasts,
 * most of the others receive it at once, and all within a second. */
static void broadcast_survives_failures_(void **state)
{
	const unsigned counts[] = {100, 300, 1000};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		MemberFleet *f = member_fleet_new(counts[i]);
		unsigned unresponsive = 0;
		unsigned informed = 0;
		unsigned announcers = 0;
		for (unsigned k = 3; k < f->count; k += 20) {
			f->node[k].unresponsive = true;
			unresponsive++;
		}
		for (unsigned k = 0; announcers < ANNOUNCERS; k++) {
			if (f->node[k].unresponsive)
				continue;
			bh__members_set_self(f->node[k].members, true, 0, 0);
			bh__members_announce(f->node[k].members);
			member_fleet_deliver_pending(f);
			informed += count_informed_(f, f->node[k].id);
			announcers++;
		}
		print_message("%u nodes, %u unresponsive: %.1f of the others receive it at once\n", f->count,
					  unresponsive, (double)informed / ANNOUNCERS);
		assert_true(informed >= REACHED_SHARE_MIN * ANNOUNCERS * (f->count - unresponsive));
		member_fleet_run(f, CONVERGENCE_MAX_MS);
		for (unsigned k = 0; k < ANNOUNCERS; k++)
			assert_true(f->node[k].unresponsive ||
						count_informed_(f, f->node[k].id) == f->count - unresponsive);
		member_fleet_delete(f);
	}
}

/* A suspicion and its refutation take at most two broadcasts, even if several nodes suspect the same node. */
static void refuted_suspicion_sends_few_messages_(void **state)
{
	MemberFleet *f = member_fleet_new(1000);
	uint64_t suspect = f->node[7].id;

	(void)state;
	for (unsigned i = 0; i < f->count; i++)
		if (i != 7 && i % 300 == 0)
			bh__members_process_unreachable(f->node[i].members, suspect, BH__SECOND_US);
	member_fleet_deliver_pending(f);
	for (unsigned i = 0; i < f->count; i++)
		assert_int_equal(bh__members_find(f->node[i].members, suspect)->state, BH__MEMBER_ALIVE);
	print_message("1000 nodes, four suspect one: %u messages, at most %u from one node\n",
				  member_fleet_get_total(f), member_fleet_get_busiest(f));
	assert_true(member_fleet_get_busiest(f) <= 2 * SENT_MAX);
	assert_true(member_fleet_get_total(f) <= 2 * TOTAL_PER_NODE_MAX * f->count);
	member_fleet_delete(f);
}

/* Nodes that have just started compare tables often. If one node has a single record that the others lack,
 * only the differing part of the table is sent. Whole tables took 100 kB each, in both directions, on links
 * that carry 2.5 MB/s. */
static void small_table_difference_sends_few_records_(void **state)
{
	MemberFleet *f = member_fleet_new(1000);
	BH__MemberInfo info = member_fleet_make_info(500);
	BH__Message update = {.type = BH__MESSAGE_MEMBERS, .as.members = {.count = 1, .member = &info}};
	unsigned uninformed = 0;

	(void)state;
	member_fleet_run(f, 300);
	assert_int_equal(f->tables, 0); /* all tables are equal */
	info.boot_id++;
	bh__members_process_message(f->node[0].members, &update, f->now_us);
	member_fleet_run(f, 1000);
	print_message("1000 nodes, one restart: %u tables with %u records in total\n", f->tables, f->records);
	assert_true(f->tables > 0);
	assert_true(f->records <= f->tables * RECORDS_MAX);
	member_fleet_run(f, 4000);
	for (unsigned i = 0; i < f->count; i++)
		uninformed += i != 500 && bh__members_find(f->node[i].members, info.node_id)->boot_id < info.boot_id;
	assert_int_equal(uninformed, 0);
	member_fleet_delete(f);
}

/* Announces that a node is leaving and stops it. */
static void stop_node_(MemberFleet *f, unsigned i)
{
	bh__members_set_self(f->node[i].members, true, 0, 0);
	bh__members_announce(f->node[i].members);
	member_fleet_deliver_pending(f);
	f->node[i].unresponsive = true;
}

/* Starts a stopped node with an empty table and three seeds. */
static void restart_node_(MemberFleet *f, unsigned i)
{
	MemberNode *n = &f->node[i];
	BH__MemberInfo self = member_fleet_make_info(i);

	self.boot_id = 6;
	bh__members_delete(n->members);
	n->members = bh__members_new(&n->port, &self, 10000 + i);
	n->unresponsive = false;
	for (unsigned k = 0; k < SEEDS; k++)
		bh__members_add_seed(n->members, f->node[f->count - 1 - k].address);
	bh__members_process_tick(n->members, f->now_us);
	member_fleet_deliver_pending(f);
}

/* Nodes are restarted in turn, four per second, each a second after it was stopped. The bytes sent for it
 * stay within the budget for control messages, and no node is falsely considered dead afterwards. */
static void rolling_restart_is_cheap_(void **state)
{
	const unsigned counts[] = {100, 300, 1000};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		MemberFleet *f = member_fleet_new(counts[i]);
		uint64_t busiest = 0;
		unsigned false_deaths = 0;
		member_fleet_run(f, 5000); /* until the startup phase is over */
		f->bytes = 0;
		memset(f->type_bytes, 0, sizeof f->type_bytes);
		for (unsigned k = 0; k < f->count; k++)
			f->node[k].bytes = 0;
		for (unsigned step = 0; step < RESTARTS + 4; step++) {
			if (step < RESTARTS)
				stop_node_(f, step);
			if (step >= 4)
				restart_node_(f, step - 4);
			member_fleet_run(f, 250);
		}
		for (unsigned k = 0; k < f->count; k++)
			busiest = MAX(busiest, f->node[k].bytes);
		print_message("%u nodes, %u restarted in turn: %u bytes per second per node, %u at the busiest;",
					  f->count, RESTARTS, (unsigned)(f->bytes * 4 / (RESTARTS + 4) / f->count),
					  (unsigned)(busiest * 4 / (RESTARTS + 4)));
		for (int t = 0; t < BH__MESSAGE_TYPE_COUNT; t++)
			if (f->type_bytes[t])
				print_message(" %s %u kB", BH__MessageTypeString[t], (unsigned)(f->type_bytes[t] / 1000));
		print_message("\n");
		member_fleet_run(f, 2000);
		for (unsigned a = 0; a < f->count; a += 7)
			for (unsigned b = 0; b < f->count; b++)
				false_deaths +=
					a != b && !bh__member_is_usable(bh__members_find(f->node[a].members, f->node[b].id));
		assert_int_equal(false_deaths, 0);
		assert_true(f->bytes * 4 / (RESTARTS + 4) / f->count <= CONTROL_BYTES_PER_S_MAX);
		member_fleet_delete(f);
	}
}

/* A node keeps a connection to each node that it has sent to, which takes 34 kB at both ends. An idle node
 * sends to only a few nodes, whose number grows with the logarithm of the number of nodes, and never to all.
 */
static void idle_node_contacts_few_peers_(void **state)
{
	const unsigned counts[] = {9, 100, 300, 1000};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
		MemberFleet *f = member_fleet_new(counts[i]);
		unsigned most = 0;
		unsigned total = 0;
		member_fleet_run(f, 5000); /* until the startup phase is over */
		for (unsigned k = 0; k < f->count; k++)
			g_hash_table_remove_all(f->node[k].peers);
		member_fleet_run(f, IDLE_MS);
		for (unsigned k = 0; k < f->count; k++) {
			unsigned peers = g_hash_table_size(f->node[k].peers);
			total += peers;
			most = MAX(most, peers);
		}
		print_message("%u nodes, idle for %u s: a node has sent to %u others, at most %u\n", f->count,
					  IDLE_MS / 1000, total / f->count, most);
		assert_true(total <= f->count * PEERS_PER_BIT_MAX * g_bit_storage(f->count));
		member_fleet_delete(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(broadcast_load_is_bounded_),
		cmocka_unit_test(broadcast_survives_failures_),
		cmocka_unit_test(refuted_suspicion_sends_few_messages_),
		cmocka_unit_test(small_table_difference_sends_few_records_),
		cmocka_unit_test(rolling_restart_is_cheap_),
		cmocka_unit_test(idle_node_contacts_few_peers_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
