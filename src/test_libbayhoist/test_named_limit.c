/* SPDX-License-Identifier: BSD-3-Clause */
/* What is known of a limit that an endpoint names in its answers, which are read in any order. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include "bayhoist/named_limit.h"

/* Named, lower, higher, and no more. */
static void a_limit_holds_until_an_answer_names_none_(void **state)
{
	BH__NamedLimit l = {0};

	(void)state;
	assert_false(bh__named_limit_hear_none(&l, 5));
	assert_true(bh__named_limit_hear(&l, 4, 10));
	assert_false(bh__named_limit_hear(&l, 4, 20));
	assert_true(bh__named_limit_hear(&l, 1, 30));
	assert_true(bh__named_limit_hear(&l, 8, 40));
	assert_true(l.in_force && l.per_s == 8);
	assert_true(bh__named_limit_hear_none(&l, 50));
	assert_false(l.in_force);
}

/* An answer to a request that was sent before the limit was last heard may have been made before that. */
static void a_late_answer_does_not_end_it_(void **state)
{
	BH__NamedLimit l = {0};

	(void)state;
	bh__named_limit_hear(&l, 4, 100);
	assert_false(bh__named_limit_hear_none(&l, 90));
	assert_false(bh__named_limit_hear_none(&l, 100));
	assert_true(l.in_force);
	assert_true(bh__named_limit_hear_none(&l, 101));
}

/* News from another node may be older than what this one has heard. */
static void older_news_change_nothing_(void **state)
{
	BH__NamedLimit l = {0};

	(void)state;
	bh__named_limit_hear(&l, 4, 100);
	assert_false(bh__named_limit_hear(&l, 9, 99));
	assert_true(l.per_s == 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_limit_holds_until_an_answer_names_none_),
		cmocka_unit_test(a_late_answer_does_not_end_it_),
		cmocka_unit_test(older_news_change_nothing_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
