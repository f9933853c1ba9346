/* SPDX-License-Identifier: BSD-3-Clause */
/* Tests of the limit that an endpoint advertises, with answers that are read in any order. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include "bayhoist/advertised_limit.h"

/* An endpoint advertises a limit, repeats it, lowers it, raises it and ends it. */
static void limit_stays_until_an_answer_has_none_(void **state)
{
	BH__AdvertisedLimit l = {0};

	(void)state;
	assert_false(bh__advertised_limit_receive_none(&l, 5));
	assert_true(bh__advertised_limit_receive(&l, 4, 10));
	assert_false(bh__advertised_limit_receive(&l, 4, 20));
	assert_true(bh__advertised_limit_receive(&l, 1, 30));
	assert_true(bh__advertised_limit_receive(&l, 8, 40));
	assert_true(l.in_force && l.per_s == 8);
	assert_true(bh__advertised_limit_receive_none(&l, 50));
	assert_false(l.in_force);
}

/* The answer to a request that was sent before the limit was last received may be older than the limit, so
 * its lack of a limit must not end it. */
static void late_answer_does_not_end_limit_(void **state)
{
	BH__AdvertisedLimit l = {0};

	(void)state;
	bh__advertised_limit_receive(&l, 4, 100);
	assert_false(bh__advertised_limit_receive_none(&l, 90));
	assert_false(bh__advertised_limit_receive_none(&l, 100));
	assert_true(l.in_force);
	assert_true(bh__advertised_limit_receive_none(&l, 101));
}

/* A limit that another node reports may be older than the one that this node has received itself. */
static void older_limit_is_ignored_(void **state)
{
	BH__AdvertisedLimit l = {0};

	(void)state;
	bh__advertised_limit_receive(&l, 4, 100);
	assert_false(bh__advertised_limit_receive(&l, 9, 99));
	assert_true(l.per_s == 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limit_stays_until_an_answer_has_none_),
		cmocka_unit_test(late_answer_does_not_end_limit_),
		cmocka_unit_test(older_limit_is_ignored_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
