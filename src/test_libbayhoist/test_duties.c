/* SPDX-License-Identifier: BSD-3-Clause */
/* Tests of the takeover of a duty and of the estimate of how long callers have waited. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include "bayhoist/caller_time.h"
#include "bayhoist/takeover.h"
#include "null_members.h"

#define NODES 4
#define START_US (1000 * BH__SECOND_US)
#define TIMEOUT_US (10 * BH__SECOND_US)

/* Returns the member table of node 1, in which nodes 1 to NODES are alive. */
static BH__Members *members_(void)
{
	BH__MemberInfo info = {.node_id = 1, .boot_id = 1, .name = "n-1"};
	BH__Members *m = bh__members_new(&NullMembersPort, &info, 1);

	for (unsigned i = 2; i <= NODES; i++) {
		info.node_id = i;
		null_members_add(m, &info, START_US);
	}
	return m;
}

/* A node that takes over a duty waits until all other live nodes have reported the grants that they hold. */
static void new_scheduler_waits_for_all_live_nodes_(void **state)
{
	BH__Members *m = members_();
	BH__Takeover t;

	(void)state;
	bh__takeover_init(&t);
	assert_false(bh__takeover_is_done(&t, m, START_US));
	/* Node 2 noticed the change earlier than node 1. */
	bh__takeover_note_report(&t, 2, false, START_US - 20 * BH__MS_US);
	bh__takeover_begin(&t, START_US);
	bh__takeover_note_report(&t, 3, false, START_US + BH__MS_US);
	assert_false(bh__takeover_is_done(&t, m, START_US + BH__MS_US));
	/* An unreachable node is not waited for. */
	bh__members_process_unreachable(m, 4, START_US + 2 * BH__MS_US);
	assert_true(bh__takeover_is_done(&t, m, START_US + 2 * BH__MS_US));
	bh__takeover_end(&t);
	assert_false(bh__takeover_is_done(&t, m, START_US + 3 * BH__MS_US));
	bh__takeover_clear(&t);
	bh__members_delete(m);
}

/* The takeover is complete when the previous scheduler has sent its ledger, or after BH__TAKEOVER_MAX_US. */
static void takeover_ends_with_previous_ledger_or_timeout_(void **state)
{
	BH__Members *m = members_();
	BH__Takeover t;

	(void)state;
	bh__takeover_init(&t);
	bh__takeover_begin(&t, START_US);
	assert_false(bh__takeover_is_done(&t, m, START_US + BH__TAKEOVER_MAX_US - 1));
	assert_true(bh__takeover_is_done(&t, m, START_US + BH__TAKEOVER_MAX_US));
	bh__takeover_begin(&t, START_US);
	bh__takeover_note_report(&t, 2, true, START_US + BH__MS_US);
	assert_true(bh__takeover_is_done(&t, m, START_US + BH__MS_US));
	bh__takeover_begin(&t, START_US + 5 * BH__SECOND_US); /* the ledger was that of an earlier takeover */
	assert_false(bh__takeover_is_done(&t, m, START_US + 5 * BH__SECOND_US));
	bh__takeover_clear(&t);
	bh__members_delete(m);
}

/* A caller retry has less time left than a first try: the difference is what its caller has waited. */
static void caller_retry_is_detected_by_time_left_(void **state)
{
	BH__CallerTime t;

	(void)state;
	bh__caller_time_init(&t, TIMEOUT_US);
	assert_int_equal(bh__caller_time_record(&t, TIMEOUT_US - 2 * BH__MS_US), 0);
	assert_int_equal(bh__caller_time_record(&t, TIMEOUT_US - 2 * BH__SECOND_US), 2 * BH__SECOND_US);
	assert_int_equal(bh__caller_time_record(&t, TIMEOUT_US), 0);
}

/* The estimate adapts, up and down, when callers start with another time than the route allows. */
static void initial_time_adapts_to_callers_(void **state)
{
	BH__CallerTime t;
	unsigned false_retries = 0;

	(void)state;
	bh__caller_time_init(&t, TIMEOUT_US);
	for (unsigned i = 0; i < 40; i++)
		false_retries += bh__caller_time_record(&t, TIMEOUT_US / 2) > 0;
	assert_true(false_retries < 16);
	assert_int_equal(bh__caller_time_record(&t, TIMEOUT_US / 2), 0);
	assert_int_equal(bh__caller_time_record(&t, TIMEOUT_US / 4), TIMEOUT_US / 4);
	assert_int_equal(bh__caller_time_record(&t, TIMEOUT_US * 2), 0);
	assert_int_equal(bh__caller_time_record(&t, TIMEOUT_US), TIMEOUT_US);
}

/* No request counts as a caller retry when callers start with widely different times. */
static void different_initial_times_are_not_taken_for_retries_(void **state)
{
	BH__CallerTime t;
	unsigned false_retries = 0;

	(void)state;
	bh__caller_time_init(&t, TIMEOUT_US);
	for (unsigned i = 0; i < 1000; i++) {
		uint64_t left_us = TIMEOUT_US / 10 + TIMEOUT_US * ((i * 7919) % 1000) / 1250;
		bool is_retry = bh__caller_time_record(&t, left_us) > 0;
		false_retries += is_retry && i >= 100;
	}
	assert_int_equal(false_retries, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(new_scheduler_waits_for_all_live_nodes_),
		cmocka_unit_test(takeover_ends_with_previous_ledger_or_timeout_),
		cmocka_unit_test(caller_retry_is_detected_by_time_left_),
		cmocka_unit_test(initial_time_adapts_to_callers_),
		cmocka_unit_test(different_initial_times_are_not_taken_for_retries_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
