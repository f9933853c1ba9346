/* SPDX-License-Identifier: BSD-3-Clause */
/* A whole fleet that learns of requests which crash endpoints, on virtual time: 300 nodes, messages that take
 * a millisecond, and what happens when the node that judges dies, a node is cut off, or one starts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>
#include "bayhoist/crash_watch.h"
#include "bayhoist/hash.h"
#include "null_members.h"

#define NODES 300
#define SERVICE 77
#define HOP_US BH__MS_US
#define MS BH__MS_US

typedef struct {
	BH__CrashPort port; /* first */
	struct Fleet *fleet;
	unsigned index;
	BH__Members *members;
	BH__CrashWatch *watch;
	bool is_gone;
	bool is_cut_off;
	GArray *looks; /* uint64_t, endpoints that it was to look at */
} Node;

typedef struct {
	uint64_t at_us;
	unsigned to;
	BH__Message message;
	BH__QuarantineEntry entry[8];
} InFlight;

typedef struct Fleet {
	Node node[NODES];
	GQueue in_flight; /* InFlight, in order of time, since all take as long */
	uint64_t now_us;
	uint64_t sent;
	bool leaves; /* endpoints are leaving */
} Fleet;

static uint64_t id_(unsigned index)
{
	return bh__hash_pair(index + 1, 3);
}

static void on_send_(BH__CrashPort *port, uint64_t node_id, BH__Message *m)
{
	Node *n = (Node *)port;
	InFlight *f = g_new0(InFlight, 1);

	f->at_us = n->fleet->now_us + HOP_US;
	f->message = *m;
	f->message.from_node = id_(n->index);
	while (f->to < NODES && id_(f->to) != node_id)
		f->to++;
	if (m->type == BH__MESSAGE_QUARANTINE) {
		assert_in_range(m->as.quarantine.count, 1, G_N_ELEMENTS(f->entry));
		memcpy(f->entry, m->as.quarantine.entry, m->as.quarantine.count * sizeof f->entry[0]);
		f->message.as.quarantine.entry = f->entry;
	}
	n->fleet->sent++;
	if (n->is_cut_off || n->fleet->node[f->to].is_cut_off || n->fleet->node[f->to].is_gone)
		g_free(f);
	else
		g_queue_push_tail(&n->fleet->in_flight, f);
}

static bool on_find_endpoint_(BH__CrashPort *port, uint64_t endpoint_id, uint64_t *born_ms)
{
	(void)endpoint_id;
	*born_ms = 1;
	return !((Node *)port)->fleet->leaves;
}

static void on_look_(BH__CrashPort *port, uint64_t endpoint_id)
{
	g_array_append_val(((Node *)port)->looks, endpoint_id);
}

static void on_changed_(BH__CrashPort *port, const BH__QuarantineEntry *e, bool judged)
{
	(void)port;
	(void)e;
	(void)judged;
}

static void begin_node_(Fleet *f, unsigned index)
{
	Node *n = &f->node[index];
	BH__MemberInfo info = {.boot_id = 1, .state = BH__MEMBER_ALIVE, .capacity = 100};

	n->port = (BH__CrashPort){
		.send = on_send_, .find_endpoint = on_find_endpoint_, .look = on_look_, .changed = on_changed_};
	n->fleet = f;
	n->index = index;
	n->looks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (unsigned i = 0; i <= NODES; i++) { /* itself first */
		unsigned k = i == 0 ? index : i - 1;
		info.node_id = id_(k);
		g_snprintf(info.name, sizeof info.name, "vm%u", k);
		g_snprintf(info.peer_address, sizeof info.peer_address, "1.1.%u.%u:1", k / 250, k % 250);
		if (i == 0)
			n->members = bh__members_new(&NullMembersPort, &info, 1);
		else if (k != index)
			null_members_add(n->members, &info, f->now_us);
	}
	n->watch = bh__crash_watch_new(&n->port, n->members);
}

static void end_node_(Node *n)
{
	bh__crash_watch_delete(n->watch);
	bh__members_delete(n->members);
	g_array_unref(n->looks);
}

static int setup_(void **state)
{
	Fleet *f = g_new0(Fleet, 1);

	f->now_us = 100 * BH__SECOND_US;
	g_queue_init(&f->in_flight);
	for (unsigned i = 0; i < NODES; i++)
		begin_node_(f, i);
	*state = f;
	return 0;
}

static int teardown_(void **state)
{
	Fleet *f = *state;

	for (unsigned i = 0; i < NODES; i++)
		end_node_(&f->node[i]);
	g_queue_clear_full(&f->in_flight, g_free);
	g_free(f);
	return 0;
}

/* Endpoints that are looked at have crashed. */
static void look_(Fleet *f, Node *n)
{
	while (n->looks->len) {
		uint64_t endpoint_id = g_array_index(n->looks, uint64_t, 0);
		g_array_remove_index(n->looks, 0);
		bh__crash_watch_process_proof(n->watch, endpoint_id, BH__CRASH_PROVEN, f->now_us);
	}
}

/* Lets time pass, a millisecond a step; every node ticks each 100 ms, and when it is due. */
static void pass_(Fleet *f, unsigned ms)
{
	for (unsigned i = 0; i < ms; i++) {
		InFlight *m;
		f->now_us += MS;
		while ((m = g_queue_peek_head(&f->in_flight)) && m->at_us <= f->now_us) {
			Node *to = &f->node[m->to];
			g_queue_pop_head(&f->in_flight);
			if (!to->is_gone)
				bh__crash_watch_process_message(to->watch, &m->message, f->now_us);
			g_free(m);
		}
		for (unsigned k = 0; k < NODES; k++) {
			Node *n = &f->node[k];
			if (n->is_gone)
				continue;
			look_(f, n);
			if ((f->now_us / MS + k) % 100 == 0 || bh__crash_watch_get_due_us(n->watch) <= f->now_us)
				bh__crash_watch_process_tick(n->watch, f->now_us);
		}
	}
}

static BH__Fingerprint request_(uint64_t n)
{
	return (BH__Fingerprint){.high = n, .low = bh__hash_pair(n, n)};
}

static void break_off_(Fleet *f, unsigned node, uint64_t endpoint, uint64_t request)
{
	BH__Fingerprint r = request_(request);

	bh__crash_watch_note_broken(f->node[node].watch, SERVICE, endpoint, &r, false, f->now_us);
}

/* Returns how many nodes hold a request. */
static unsigned holders_(const Fleet *f, uint64_t request)
{
	BH__Fingerprint r = request_(request);
	unsigned count = 0;

	for (unsigned i = 0; i < NODES; i++)
		count +=
			!f->node[i].is_gone &&
			bh__quarantine_get_held_us(bh__crash_watch_get_quarantine(f->node[i].watch), &r, f->now_us) > 0;
	return count;
}

static unsigned judge_(const Fleet *f, unsigned seen_by)
{
	uint64_t id = bh__members_pick(f->node[seen_by].members, SERVICE, NULL);
	unsigned index = 0;

	while (id_(index) != id)
		index++;
	return index;
}

/* A node sees another's probe. */
static void probe_(Fleet *f, unsigned from, unsigned to)
{
	BH__Message m = {.type = BH__MESSAGE_PING, .from_node = id_(from)};

	m.as.ping.quarantine_hash = bh__quarantine_get_hash(bh__crash_watch_get_quarantine(f->node[from].watch));
	assert_false(bh__crash_watch_process_message(f->node[to].watch, &m, f->now_us));
}

static void all_nodes_hold_it_within_a_tenth_of_a_second_(void **state)
{
	Fleet *f = *state;

	pass_(f, 1000);
	assert_int_equal(f->sent, 0); /* at rest nothing is said */
	for (unsigned copy = 0; copy < 3; copy++) {
		break_off_(f, 10 * copy, 500 + copy, 1);
		for (unsigned k = 0; k < 11; k++)
			break_off_(f, 20 * k + copy, 500 + copy, 100 * (copy + 1) + k);
	}
	pass_(f, 100);
	assert_int_equal(holders_(f, 1), NODES);
	for (uint64_t innocent = 100; innocent < 311; innocent++)
		assert_int_equal(holders_(f, innocent), 0);
	assert_in_range(f->sent, NODES, 36 + 2 * NODES); /* reports; the second crash, the third */
}

static void what_was_reported_is_told_to_the_next_judge_(void **state)
{
	Fleet *f = *state;
	unsigned judge = judge_(f, 0);
	unsigned node = judge == 5 ? 6 : 5;

	break_off_(f, node, 501, 1);
	break_off_(f, node, 502, 1);
	pass_(f, 100);
	f->node[judge].is_gone = true; /* and nobody knows yet */
	break_off_(f, node, 503, 1);
	pass_(f, 500);
	assert_int_equal(holders_(f, 1), 0);
	for (unsigned i = 0; i < NODES; i++)
		bh__members_process_unreachable(f->node[i].members, id_(judge), f->now_us);
	assert_int_not_equal(judge_(f, node), judge);
	pass_(f, 300);
	assert_int_equal(holders_(f, 1), NODES - 1);
}

static void a_node_that_missed_it_is_told_after_a_probe_(void **state)
{
	Fleet *f = *state;
	unsigned judge = judge_(f, 0);
	unsigned cut = (judge + 1) % NODES;
	unsigned other = (judge + 2) % NODES;

	f->node[cut].is_cut_off = true;
	for (unsigned i = 0; i < 3; i++)
		break_off_(f, other, 500 + i, 1);
	pass_(f, 100);
	assert_int_equal(holders_(f, 1), NODES - 1);
	f->node[cut].is_cut_off = false;
	f->sent = 0;
	probe_(f, cut, other);
	pass_(f, 2);
	assert_int_equal(holders_(f, 1), NODES);
	assert_int_equal(f->sent, 1);
	probe_(f, cut, other);
	pass_(f, 2);
	assert_int_equal(f->sent, 1); /* they agree */
}

static void a_node_that_starts_is_told_after_a_probe_(void **state)
{
	Fleet *f = *state;

	for (unsigned i = 0; i < 3; i++)
		break_off_(f, 3, 500 + i, 1);
	pass_(f, 100);
	end_node_(&f->node[8]);
	begin_node_(f, 8);
	assert_int_equal(holders_(f, 1), NODES - 1);
	probe_(f, 8, 9);
	pass_(f, 2);
	assert_int_equal(holders_(f, 1), NODES);
}

static void an_operators_word_reaches_all_(void **state)
{
	Fleet *f = *state;
	BH__Fingerprint r = request_(1);

	for (unsigned i = 0; i < 3; i++)
		break_off_(f, 3, 500 + i, 1);
	pass_(f, 100);
	assert_true(bh__crash_watch_release(f->node[200].watch, &r, f->now_us));
	pass_(f, 2);
	assert_int_equal(holders_(f, 1), 0);
	probe_(f, 4, 9);
	pass_(f, 2);
	assert_int_equal(holders_(f, 1), 0);
}

static void a_request_that_is_served_is_cleared_on_all_(void **state)
{
	Fleet *f = *state;
	BH__Fingerprint r = request_(1);

	for (unsigned i = 0; i < 2; i++)
		break_off_(f, 3, 500 + i, 1);
	pass_(f, 100);
	assert_true(bh__crash_watch_is_suspected(f->node[40].watch, &r));
	bh__crash_watch_note_served(f->node[40].watch, SERVICE, &r, false, f->now_us);
	pass_(f, 5);
	for (unsigned i = 0; i < NODES; i++)
		assert_false(bh__crash_watch_is_suspected(f->node[i].watch, &r));
	break_off_(f, 3, 600, 1);
	pass_(f, 100);
	assert_int_equal(holders_(f, 1), 0);
}

static void what_leaving_endpoints_break_off_is_no_evidence_(void **state)
{
	Fleet *f = *state;

	f->leaves = true;
	for (unsigned i = 0; i < 6; i++)
		break_off_(f, i, 500 + i, 1);
	pass_(f, 200);
	assert_int_equal(holders_(f, 1), 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup_, teardown_)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(all_nodes_hold_it_within_a_tenth_of_a_second_),
		TEST(what_was_reported_is_told_to_the_next_judge_),
		TEST(a_node_that_missed_it_is_told_after_a_probe_),
		TEST(a_node_that_starts_is_told_after_a_probe_),
		TEST(an_operators_word_reaches_all_),
		TEST(a_request_that_is_served_is_cleared_on_all_),
		TEST(what_leaving_endpoints_break_off_is_no_evidence_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
