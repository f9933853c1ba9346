/* SPDX-License-Identifier: BSD-3-Clause */
/* Taking over a duty, and what is inferred of how long callers have waited. */
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
#define LIMIT_US (10 * BH__SECOND_US)

/* Returns the table of node 1, in which nodes 1 to NODES live. */
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

/* A node that takes over waits until all that live have told what they hold. */
static void a_new_scheduler_waits_for_all_(void **state)
{
	BH__Members *m = members_();
	BH__Takeover t;

	(void)state;
	bh__takeover_init(&t);
	assert_false(bh__takeover_is_done(&t, m, START_US));
	bh__takeover_note_report(&t, 2, false, START_US - 20 * BH__MS_US); /* it noticed before this node did */
	bh__takeover_begin(&t, START_US);
	bh__takeover_note_report(&t, 3, false, START_US + BH__MS_US);
	assert_false(bh__takeover_is_done(&t, m, START_US + BH__MS_US));
	bh__members_process_unreachable(m, 4, START_US + 2 * BH__MS_US); /* nobody waits for that one */
	assert_true(bh__takeover_is_done(&t, m, START_US + 2 * BH__MS_US));
	bh__takeover_end(&t);
	assert_false(bh__takeover_is_done(&t, m, START_US + 3 * BH__MS_US));
	bh__takeover_clear(&t);
	bh__members_delete(m);
}

/* What the scheduler of before tells is all; and nobody is waited for long. */
static void one_ledger_or_some_time_is_enough_(void **state)
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
	bh__takeover_begin(&t, START_US + 5 * BH__SECOND_US); /* that was another time */
	assert_false(bh__takeover_is_done(&t, m, START_US + 5 * BH__SECOND_US));
	bh__takeover_clear(&t);
	bh__members_delete(m);
}

/* A caller that comes back has less time left than those that begin. */
static void a_caller_that_comes_back_is_known_by_its_time_(void **state)
{
	BH__CallerTime t;

	(void)state;
	bh__caller_time_init(&t, LIMIT_US);
	assert_int_equal(bh__caller_time_note(&t, LIMIT_US - 2 * BH__MS_US), 0);
	assert_int_equal(bh__caller_time_note(&t, LIMIT_US - 2 * BH__SECOND_US), 2 * BH__SECOND_US);
	assert_int_equal(bh__caller_time_note(&t, LIMIT_US), 0);
}

/* Where callers begin with another time than the route allows, that is learnt, up or down. */
static void the_time_that_callers_begin_with_is_learnt_(void **state)
{
	BH__CallerTime t;
	unsigned wrong = 0;

	(void)state;
	bh__caller_time_init(&t, LIMIT_US);
	for (unsigned i = 0; i < 40; i++)
		wrong += bh__caller_time_note(&t, LIMIT_US / 2) > 0;
	assert_true(wrong < 16);
	assert_int_equal(bh__caller_time_note(&t, LIMIT_US / 2), 0);
	assert_int_equal(bh__caller_time_note(&t, LIMIT_US / 4), LIMIT_US / 4);
	assert_int_equal(bh__caller_time_note(&t, LIMIT_US * 2), 0);
	assert_int_equal(bh__caller_time_note(&t, LIMIT_US), LIMIT_US);
}

/* Where callers begin with all sorts of times, none is taken for one that comes back. */
static void callers_that_differ_tell_nothing_(void **state)
{
	BH__CallerTime t;
	unsigned wrong = 0;

	(void)state;
	bh__caller_time_init(&t, LIMIT_US);
	for (unsigned i = 0; i < 1000; i++) {
		uint64_t left_us = LIMIT_US / 10 + LIMIT_US * ((i * 7919) % 1000) / 1250;
		bool judged = bh__caller_time_note(&t, left_us) > 0;
		wrong += judged && i >= 100;
	}
	assert_int_equal(wrong, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_new_scheduler_waits_for_all_),
		cmocka_unit_test(one_ledger_or_some_time_is_enough_),
		cmocka_unit_test(a_caller_that_comes_back_is_known_by_its_time_),
		cmocka_unit_test(the_time_that_callers_begin_with_is_learnt_),
		cmocka_unit_test(callers_that_differ_tell_nothing_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
