/* SPDX-License-Identifier: BSD-3-Clause */
/* Tests of limits: account rates on many nodes that join, leave and are partitioned, retry budgets,
 * at-most-once execution and memory budgets. */
#include <glib.h>
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <cmocka.h>
#include <string.h>
#include "bayhoist/bucket.h"
#include "bayhoist/memory_budget.h"
#include "bayhoist/hash.h"
#include "bayhoist/idempotency.h"
#include "bayhoist/quota.h"
#include "retry.h"

#define NODES 9
#define RATE 100000.0
#define ACCOUNT 42
#define STEP_US (10 * BH__MS_US)

/* The quotas of nine nodes, which a network partition divides into two sides with a home each. */
typedef struct {
	BH__Quota *quota[NODES];
	bool alive[NODES];
	int side[NODES];       /* side of the partition, 0 or 1 */
	int home[2];           /* index of the home node on each side */
	double demand[NODES];  /* tokens per second */
	double backlog[NODES]; /* tokens not yet requested */
	double admitted;       /* tokens admitted in the current run */
	uint64_t now_us;
	double request_tokens; /* tokens of each request */
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

/* Counts the running nodes that are reachable from `side`, and those that are not. */
static void count_nodes_(const Fleet *f, int side, unsigned *alive, unsigned *lost)
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

/* Advances the simulation by STEP_US: each node requests the tokens of its demand and exchanges due asks and
 * grants with its home. */
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
		f->backlog[i] += f->demand[i] * STEP_US / 1e6;
		while (f->backlog[i] >= f->request_tokens) {
			uint64_t retry_us;
			f->backlog[i] -= f->request_tokens;
			if (bh__quota_take(f->quota[i], ACCOUNT, &Account, f->request_tokens, f->now_us, &retry_us) ==
				BH__QUOTA_ADMIT)
				f->admitted += f->request_tokens;
		}
		asks = bh__quota_get_asks(f->quota[i], f->now_us);
		count_nodes_(f, f->side[i], &alive, &lost);
		for (guint k = 0; k < asks->len; k++) {
			BH__QuotaEntry e = g_array_index(asks, BH__QuotaEntry, k);
			e.rate = bh__quota_allot(f->quota[home], (uint64_t)i + 1, 1, &e, RATE, alive, lost, f->now_us);
			bh__quota_process_grant(f->quota[i], &e, f->now_us);
		}
		g_array_unref(asks);
	}
}

/* Runs the simulation for some seconds. Returns the admitted rate as a share of the account's rate. */
static double run_(Fleet *f, unsigned seconds)
{
	f->admitted = 0;
	for (unsigned i = 0; i < seconds * 100; i++)
		step_(f);
	return f->admitted / seconds / RATE;
}

/* The admitted rate matches the account's rate when the demand is three times the rate, and when the whole
 * demand moves to one node. */
static void rate_is_met_(void **state)
{
	Fleet f;

	(void)state;
	fleet_init_(&f);
	for (int i = 0; i < NODES; i++)
		f.demand[i] = RATE / 3; /* three times the rate in total */
	run_(&f, 10);
	assert_true(run_(&f, 20) <= 1.05);
	assert_true(run_(&f, 20) >= 0.95);
	for (int i = 0; i < NODES; i++)
		f.demand[i] = i == 4 ? RATE * 2 : 0; /* the whole demand moves to one node */
	run_(&f, 15);
	assert_true(run_(&f, 20) >= 0.95);
	assert_true(run_(&f, 20) <= 1.05);
	fleet_finish_(&f);
}

/* Nodes stop and start again one after another. */
static void rate_is_met_while_nodes_join_and_leave_(void **state)
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
		f.alive[node] = false; /* stopped or replaced: the VM list no longer has it */
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

/* A network partition separates three of nine nodes, and ends. Both sides together keep to the rate. */
static void rate_is_met_during_a_partition_(void **state)
{
	Fleet f;

	(void)state;
	fleet_init_(&f);
	for (int i = 0; i < NODES; i++)
		f.demand[i] = RATE / 3;
	f.demand[8] = RATE * 3; /* a node on the smaller side has the highest demand */
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

/* Half of all attempts fail. A retry budget of 0.1 limits the attempts to 1.1 times the requests. */
static void outage_causes_no_retry_storm_(void **state)
{
	BH__RetryBudget b;
	unsigned sent = 0;

	(void)state;
	bh__retry_init(&b);
	for (int i = 0; i < 10000; i++) { /* half of the engines are down: half of all attempts fail */
		int attempts = 1;
		bh__retry_record_first_attempt(&b, 0.1);
		sent++;
		while (attempts < 8 && (i + attempts) % 2 && bh__retry_take(&b)) {
			sent++;
			attempts++;
		}
	}
	assert_true(sent <= 11000 + 20);
	assert_true(b.denied > 0);
}

/* A key that the table has evicted is reported as forgotten and never runs again. */
static void idempotency_key_never_runs_twice_(void **state)
{
	BH__IdempotencyTable *o = bh__idempotency_new(100, 1 << 20);
	BH__IdempotencyOutcome ran = {.verdict = BH__VERDICT_RAN, .answer = "yes", .answer_len = 3};
	BH__IdempotencyOutcome finished;
	uint64_t entry;
	GRand *rand = g_rand_new_with_seed(3);
	GHashTable *executed = g_hash_table_new(g_direct_hash, g_direct_equal);

	(void)state;
	for (int i = 0; i < 100000; i++) { /* keys of a small set with old and new stamps: none runs twice */
		guint key = (guint)g_rand_int_range(rand, 0, 1000);
		char name[16];
		static uint64_t stamp_of_key[1000];
		BH__IdempotencyState s;
		if (!stamp_of_key[key])
			stamp_of_key[key] = bh__idempotency_issue(o);
		g_snprintf(name, sizeof name, "k%u", key);
		s = bh__idempotency_claim(o, 1, name, key, stamp_of_key[key], &entry, &finished);
		if (s == BH__IDEMPOTENCY_RUN) {
			assert_false(g_hash_table_contains(executed, GUINT_TO_POINTER(key + 1)));
			g_hash_table_add(executed, GUINT_TO_POINTER(key + 1));
			bh__idempotency_finish(o, entry, &ran);
		}
		else if (s == BH__IDEMPOTENCY_FINISHED) {
			assert_memory_equal(finished.answer, "yes", 3);
		}
		else {
			assert_int_equal(s, BH__IDEMPOTENCY_EVICTED);
		}
	}
	assert_true(bh__idempotency_get_count(o) <= 100);
	assert_true(bh__idempotency_get_low_watermark(o) > 0);
	g_hash_table_unref(executed);
	g_rand_free(rand);
	bh__idempotency_delete(o);
}

/* Accounts that use the same key do not affect each other. A key with another request hash, or with a stamp
 * that this table has not issued, is not run. */
static void idempotency_keys_are_per_account_(void **state)
{
	BH__IdempotencyTable *o = bh__idempotency_new(10, 1000);
	BH__IdempotencyOutcome finished;
	uint64_t entry;
	uint64_t stamp = bh__idempotency_issue(o);

	(void)state;
	assert_int_equal(bh__idempotency_claim(o, 1, "k", 5, stamp, &entry, &finished), BH__IDEMPOTENCY_RUN);
	assert_int_equal(bh__idempotency_claim(o, 1, "k", 5, stamp, &entry, &finished), BH__IDEMPOTENCY_RUNNING);
	assert_int_equal(bh__idempotency_claim(o, 1, "k", 6, stamp, &entry, &finished),
					 BH__IDEMPOTENCY_KEY_REUSED);
	assert_int_equal(bh__idempotency_claim(o, 2, "k", 5, stamp, &entry, &finished), BH__IDEMPOTENCY_RUN);
	assert_int_equal(bh__idempotency_claim(o, 2, "new", 5, stamp + 1, &entry, &finished),
					 BH__IDEMPOTENCY_FOREIGN_STAMP);
	bh__idempotency_delete(o);
}

/* A stamp that is written can be parsed, and malformed stamps are rejected. */
static void stamps_are_parsed_strictly_(void **state)
{
	BH__Stamp s = {1, 2, 3};
	char text[BH__STAMP_LEN];
	BH__Stamp parsed;

	(void)state;
	bh__stamp_write(&s, text);
	assert_true(bh__stamp_parse(text, &parsed));
	assert_memory_equal(&s, &parsed, sizeof s);
	assert_false(bh__stamp_parse("", &parsed));
	assert_false(bh__stamp_parse("1-2", &parsed));
	assert_false(bh__stamp_parse("1-2-3x", &parsed));
	assert_false(bh__stamp_parse("0000000000000000000001-2-3", &parsed));
}

/* Thousands of callers do not read their answers, and requests arrive faster than they end. The memory that a
 * VM of 160 MB uses for kept answers and requests stays within a fixed share of its memory. With few callers,
 * each may use the full maximum. */
static void memory_budget_is_bounded_(void **state)
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

/* 4,000 callers at a VM of 160 MB come one after the other, and none of them reads its answer. All of what is
 * kept stays within the budget and what every answer may have; it is free again when they have gone. */
static void callers_that_come_in_turn_share_the_budget_(void **state)
{
	const size_t max = 128 * 1024;
	const size_t least = 8 * 1024;
	const unsigned callers = 4000;
	BH__MemoryBudget b = {.memory_bytes = 160 * 1024 * 1024};

	(void)state;
	for (unsigned i = 1; i <= callers; i++)
		bh__memory_budget_note_answer(&b, bh__memory_budget_get_answer_max(&b, i, max), 0);
	assert_true(b.answer_bytes <= b.memory_bytes / 5 + max + callers * least);
	assert_int_equal(bh__memory_budget_get_answer_max(&b, 1, max), least);
	bh__memory_budget_note_answer(&b, 0, b.answer_bytes);
	assert_int_equal(bh__memory_budget_get_answer_max(&b, 1, max), max);
}

/* The same where the node knows how many answers there may be: all of what is kept stays within a fifth of
 * the memory, whether the callers come in turn or fill their shares at once, and a few get large shares. */
static void answers_stay_within_their_share_(void **state)
{
	const size_t max = 128 * 1024;
	const unsigned callers = 4000;

	(void)state;
	for (unsigned at_once = 0; at_once < 2; at_once++) {
		BH__MemoryBudget b = {.memory_bytes = 160 * 1024 * 1024, .answers_max = callers};
		assert_int_equal(bh__memory_budget_get_answer_max(&b, 10, max), max);
		for (unsigned i = 1; i <= callers; i++)
			bh__memory_budget_note_answer(
				&b, bh__memory_budget_get_answer_max(&b, at_once ? callers : i, max), 0);
		assert_true(b.answer_bytes <= b.memory_bytes / 5);
		assert_true(bh__memory_budget_get_answer_max(&b, callers, max) >= 4 * 1024);
	}
}

/* Tokens that come seldom, or never, are waited for an hour; a wait never exceeds what its type holds. */
static void waits_are_bounded_(void **state)
{
	static const double Rates_per_s[] = {0, 1e-300, 1e-13, 1e-4, 1e6};
	BH__Bucket b;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Rates_per_s); i++) {
		bh__bucket_init(&b, Rates_per_s[i], 10);
		bh__bucket_spend(&b, 1e30, BH__SECOND_US);
		assert_int_equal(bh__bucket_get_wait_us(&b, 1), 3600 * BH__SECOND_US);
	}
	bh__bucket_init(&b, 2, 10);
	bh__bucket_spend(&b, 10, BH__SECOND_US);
	assert_int_equal(bh__bucket_get_wait_us(&b, 1), BH__SECOND_US / 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(memory_budget_is_bounded_),
		cmocka_unit_test(callers_that_come_in_turn_share_the_budget_),
		cmocka_unit_test(answers_stay_within_their_share_),
		cmocka_unit_test(waits_are_bounded_),
		cmocka_unit_test(rate_is_met_),
		cmocka_unit_test(rate_is_met_while_nodes_join_and_leave_),
		cmocka_unit_test(rate_is_met_during_a_partition_),
		cmocka_unit_test(outage_causes_no_retry_storm_),
		cmocka_unit_test(idempotency_key_never_runs_twice_),
		cmocka_unit_test(idempotency_keys_are_per_account_),
		cmocka_unit_test(stamps_are_parsed_strictly_),
	};
	return cmocka_run_group_tests_name("limits", tests, NULL, NULL);
}
