/* SPDX-License-Identifier: BSD-3-Clause */
/* Limits: account rates over many nodes while they come, go and are cut off; retries; at most once. */
#include <glib.h>
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <cmocka.h>
#include <string.h>
#include "bayhoist/memory_budget.h"
#include "bayhoist/hash.h"
#include "bayhoist/idempotency.h"
#include "bayhoist/quota.h"
#include "retry.h"

#define NODES 9
#define RATE 100000.0
#define ACCOUNT 42
#define STEP_US (10 * BH__MS_US)

/* Nine nodes' quotas, with homes on each side of a cut. Side of node i: side[i]; its home: home[side]. */
typedef struct {
	BH__Quota *quota[NODES];
	bool alive[NODES];
	int side[NODES];
	int home[2];
	double demand[NODES]; /* tokens a second */
	double owed[NODES];
	double admitted;
	uint64_t now_us;
	double request_tokens;
} Fleet;

static void fleet_init_(Fleet *f)
{
	memset(f, 0, sizeof *f);
	f->now_us = BH__SECOND_US;
	f->request_tokens = 500;
	for (int i = 0; i < NODES; i++) {
		f->quota[i] = bh__quota_new();
		f->alive[i] = true;
	}
}

static void fleet_finish_(Fleet *f)
{
	for (int i = 0; i < NODES; i++)
		bh__quota_delete(f->quota[i]);
}

static void count_(const Fleet *f, int side, unsigned *alive, unsigned *lost)
{
	*alive = 0;
	*lost = 0;
	for (int i = 0; i < NODES; i++) {
		if (f->alive[i] && f->side[i] == side)
			(*alive)++;
		else if (f->alive[i])
			(*lost)++;
	}
}

static void step_(Fleet *f)
{
	static const BH__Account Account = {.weight = 1, .tokens_per_s = (uint64_t)RATE};

	f->now_us += STEP_US;
	for (int i = 0; i < NODES; i++) {
		GArray *asks;
		int home = f->home[f->side[i]];
		unsigned alive;
		unsigned lost;
		if (!f->alive[i])
			continue;
		f->owed[i] += f->demand[i] * STEP_US / 1e6;
		while (f->owed[i] >= f->request_tokens) {
			uint64_t retry_us;
			f->owed[i] -= f->request_tokens;
			if (bh__quota_take(f->quota[i], ACCOUNT, &Account, f->request_tokens, f->now_us, &retry_us) ==
				BH__QUOTA_ADMIT)
				f->admitted += f->request_tokens;
		}
		asks = bh__quota_get_asks(f->quota[i], f->now_us);
		count_(f, f->side[i], &alive, &lost);
		for (guint k = 0; k < asks->len; k++) {
			BH__QuotaEntry e = g_array_index(asks, BH__QuotaEntry, k);
			e.rate = bh__quota_allot(f->quota[home], (uint64_t)i + 1, 1, &e, RATE, alive, lost, f->now_us);
			bh__quota_process_grant(f->quota[i], &e, f->now_us);
		}
		g_array_unref(asks);
	}
}

/* Runs for some seconds; returns the rate admitted over them as a share of the account's. */
static double run_(Fleet *f, unsigned seconds)
{
	f->admitted = 0;
	for (unsigned i = 0; i < seconds * 100; i++)
		step_(f);
	return f->admitted / seconds / RATE;
}

static void rate_is_held_(void **state)
{
	Fleet f;

	(void)state;
	fleet_init_(&f);
	for (int i = 0; i < NODES; i++)
		f.demand[i] = RATE / 3; /* three times too much */
	run_(&f, 10);
	assert_true(run_(&f, 20) <= 1.05);
	assert_true(run_(&f, 20) >= 0.95);
	for (int i = 0; i < NODES; i++)
		f.demand[i] = i == 4 ? RATE * 2 : 0; /* all of it moves to one node */
	run_(&f, 15);
	assert_true(run_(&f, 20) >= 0.95);
	assert_true(run_(&f, 20) <= 1.05);
	fleet_finish_(&f);
}

static void rate_is_held_while_nodes_come_and_go_(void **state)
{
	Fleet f;
	double sum = 0;
	const unsigned Rounds = 12;

	(void)state;
	fleet_init_(&f);
	for (int i = 0; i < NODES; i++)
		f.demand[i] = RATE / 3;
	run_(&f, 10);
	for (unsigned round = 0; round < Rounds; round++) {
		int node = 1 + (int)(round % (NODES - 1));
		f.alive[node] = false; /* stopped or replaced: the VM list shows it gone */
		bh__quota_delete(f.quota[node]);
		f.quota[node] = bh__quota_new();
		bh__quota_process_node_gone(f.quota[0], (uint64_t)node + 1, true, f.now_us);
		sum += run_(&f, 10);
		f.alive[node] = true;
		sum += run_(&f, 10);
	}
	assert_true(sum / (2 * Rounds) <= 1.05);
	assert_true(sum / (2 * Rounds) >= 0.95);
	fleet_finish_(&f);
}

static void rate_is_held_while_cut_(void **state)
{
	Fleet f;

	(void)state;
	fleet_init_(&f);
	for (int i = 0; i < NODES; i++)
		f.demand[i] = RATE / 3;
	f.demand[8] = RATE * 3; /* the one that is cut off wants most */
	run_(&f, 15);
	for (int i = 6; i < NODES; i++)
		f.side[i] = 1;
	f.home[1] = 6;
	for (int i = 6; i < NODES; i++)
		bh__quota_process_node_gone(f.quota[0], (uint64_t)i + 1, false, f.now_us);
	for (int i = 0; i < 6; i++)
		bh__quota_process_node_gone(f.quota[6], (uint64_t)i + 1, false, f.now_us);
	assert_true(run_(&f, 60) <= 1.05);
	assert_true(run_(&f, 60) <= 1.05);
	assert_true(run_(&f, 60) >= 0.95);
	for (int i = 6; i < NODES; i++)
		f.side[i] = 0;
	assert_true(run_(&f, 60) <= 1.05);
	assert_true(run_(&f, 60) >= 0.95);
	fleet_finish_(&f);
}

static void an_outage_makes_no_storm_(void **state)
{
	BH__RetryBudget b;
	unsigned sent = 0;

	(void)state;
	bh__retry_init(&b);
	for (int i = 0; i < 10000; i++) { /* half of the engines are out: half of all attempts fail */
		int tries = 1;
		bh__retry_record_first_attempt(&b, 0.1);
		sent++;
		while (tries < 8 && (i + tries) % 2 && bh__retry_take(&b)) {
			sent++;
			tries++;
		}
	}
	assert_true(sent <= 11000 + 20);
	assert_true(b.denied > 0);
}

static void once_remembers_and_forgets_safely_(void **state)
{
	BH__IdempotencyTable *o = bh__idempotency_new(100, 1 << 20);
	BH__IdempotencyOutcome ran = {.verdict = BH__VERDICT_RAN, .answer = "yes", .answer_len = 3};
	BH__IdempotencyOutcome known;
	uint64_t entry;
	GRand *rand = g_rand_new_with_seed(3);
	GHashTable *has_run = g_hash_table_new(g_direct_hash, g_direct_equal);

	(void)state;
	for (int i = 0; i < 100000; i++) { /* keys from a small set, stamps old and new: none runs twice */
		guint key = (guint)g_rand_int_range(rand, 0, 1000);
		char name[16];
		static uint64_t stamp_of_key[1000];
		BH__IdempotencyState s;
		if (!stamp_of_key[key])
			stamp_of_key[key] = bh__idempotency_issue(o);
		g_snprintf(name, sizeof name, "k%u", key);
		s = bh__idempotency_claim(o, 1, name, key, stamp_of_key[key], &entry, &known);
		if (s == BH__IDEMPOTENCY_RUN) {
			assert_false(g_hash_table_contains(has_run, GUINT_TO_POINTER(key + 1)));
			g_hash_table_add(has_run, GUINT_TO_POINTER(key + 1));
			bh__idempotency_finish(o, entry, &ran);
		}
		else if (s == BH__IDEMPOTENCY_FINISHED) {
			assert_memory_equal(known.answer, "yes", 3);
		}
		else {
			assert_int_equal(s, BH__IDEMPOTENCY_EVICTED);
		}
	}
	assert_true(bh__idempotency_get_count(o) <= 100);
	assert_true(bh__idempotency_get_low_watermark(o) > 0);
	g_hash_table_unref(has_run);
	g_rand_free(rand);
	bh__idempotency_delete(o);
}

static void once_keeps_accounts_apart_(void **state)
{
	BH__IdempotencyTable *o = bh__idempotency_new(10, 1000);
	BH__IdempotencyOutcome known;
	uint64_t entry;
	uint64_t stamp = bh__idempotency_issue(o);

	(void)state;
	assert_int_equal(bh__idempotency_claim(o, 1, "k", 5, stamp, &entry, &known), BH__IDEMPOTENCY_RUN);
	assert_int_equal(bh__idempotency_claim(o, 1, "k", 5, stamp, &entry, &known), BH__IDEMPOTENCY_RUNNING);
	assert_int_equal(bh__idempotency_claim(o, 1, "k", 6, stamp, &entry, &known), BH__IDEMPOTENCY_KEY_REUSED);
	assert_int_equal(bh__idempotency_claim(o, 2, "k", 5, stamp, &entry, &known), BH__IDEMPOTENCY_RUN);
	assert_int_equal(bh__idempotency_claim(o, 2, "new", 5, stamp + 1, &entry, &known),
					 BH__IDEMPOTENCY_FOREIGN_STAMP);
	bh__idempotency_delete(o);
}

static void stamps_are_read_strictly_(void **state)
{
	BH__Stamp s = {1, 2, 3};
	char text[BH__STAMP_LEN];
	BH__Stamp back;

	(void)state;
	bh__stamp_write(&s, text);
	assert_true(bh__stamp_parse(text, &back));
	assert_memory_equal(&s, &back, sizeof s);
	assert_false(bh__stamp_parse("", &back));
	assert_false(bh__stamp_parse("1-2", &back));
	assert_false(bh__stamp_parse("1-2-3x", &back));
	assert_false(bh__stamp_parse("0000000000000000000001-2-3", &back));
}

/* Callers that do not read, thousands of them, and requests that come faster than they go: what a VM of 160
 * MB keeps for them stays within a fixed share of its memory. Few callers have as much each as they ever had.
 */
static void what_is_kept_for_others_is_bounded_(void **state)
{
	const unsigned connections[] = {1, 100, 1000, 3000, 10000};
	const size_t max = 128 * 1024;
	BH__MemoryBudget r = {.memory_bytes = 160 * 1024 * 1024};
	BH__MemoryBudget unknown = {0};
	size_t kept = 0;

	(void)state;
	assert_int_equal(bh__memory_budget_get_answer_max(&r, 1, max), max);
	assert_int_equal(bh__memory_budget_get_answer_max(&unknown, 100000, max), max);
	for (size_t i = 0; i < G_N_ELEMENTS(connections); i++) {
		size_t each = bh__memory_budget_get_answer_max(&r, connections[i], max);
		assert_true(each >= 8 * 1024);
		assert_true(each == 8 * 1024 || each * connections[i] <= r.memory_bytes / 4);
	}
	while (bh__memory_budget_reserve_request(&r, 75000))
		kept += 75000;
	assert_true(kept <= r.memory_bytes / 5 && kept >= r.memory_bytes / 10);
	assert_int_equal(r.refusals, 1);
	bh__memory_budget_release_request(&r, 75000);
	assert_true(bh__memory_budget_reserve_request(&r, 75000));
	assert_true(bh__memory_budget_reserve_request(&unknown, 1000 * 1000 * 1000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(what_is_kept_for_others_is_bounded_),
		cmocka_unit_test(rate_is_held_),
		cmocka_unit_test(rate_is_held_while_nodes_come_and_go_),
		cmocka_unit_test(rate_is_held_while_cut_),
		cmocka_unit_test(an_outage_makes_no_storm_),
		cmocka_unit_test(once_remembers_and_forgets_safely_),
		cmocka_unit_test(once_keeps_accounts_apart_),
		cmocka_unit_test(stamps_are_read_strictly_),
	};
	return cmocka_run_group_tests_name("limits", tests, NULL, NULL);
}
