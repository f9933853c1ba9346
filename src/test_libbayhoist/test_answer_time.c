/* SPDX-License-Identifier: BSD-3-Clause */
/* Tests of the bound on answer times that is estimated from recorded answers. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdbool.h>
#include "bayhoist/answer_time.h"

#define MS 1000u

/* Without an answer there is no bound. */
static void no_bound_without_answers_(void **state)
{
	BH__AnswerTime t = {0};

	(void)state;
	assert_int_equal(bh__answer_time_get_upper_bound_us(&t, 1000 * MS), 0);
}

/* One answer says little about the spread of times: the deviation is then half the answer's time, and the
 * bound three times it. */
static void one_answer_gives_a_wide_bound_(void **state)
{
	BH__AnswerTime t = {0};

	(void)state;
	bh__answer_time_record(&t, 1000 * MS, 1000 * MS);
	assert_int_equal(bh__answer_time_get_upper_bound_us(&t, 1000 * MS), 3000 * MS);
}

/* Answers take between 1 and 1.5 times the expected time. At most one in a hundred exceeds the bound, and the
 * bound stays below twice the longest answer. */
static void few_answers_exceed_the_bound_(void **state)
{
	GRand *rand = g_rand_new_with_seed(1);
	BH__AnswerTime t = {0};
	unsigned exceeded = 0;

	(void)state;
	for (unsigned i = 0; i < 2000; i++) {
		uint64_t took_us = (uint64_t)(1000 * MS * g_rand_double_range(rand, 1, 1.5));
		uint64_t bound_us = bh__answer_time_get_upper_bound_us(&t, 1000 * MS);
		exceeded += i > 10 && took_us > bound_us;
		assert_true(i <= 10 || bound_us < 3000 * MS);
		bh__answer_time_record(&t, took_us, 1000 * MS);
	}
	assert_in_range(exceeded, 0, 20);
	g_rand_free(rand);
}

/* Answers have very different lengths, mostly short and mostly long by turns of 100. A long answer after many
 * short ones has a long bound, a short one after long ones a short bound. At most one in fifty exceeds its
 * bound, which stays below twice the expected time. */
static void bound_scales_with_expected_time_(void **state)
{
	GRand *rand = g_rand_new_with_seed(2);
	BH__AnswerTime t = {0};
	unsigned exceeded = 0;

	(void)state;
	for (unsigned i = 0; i < 4000; i++) {
		bool is_long = g_rand_double(rand) < (i / 100 % 2 ? 0.9 : 0.05);
		uint64_t expected_us = (uint64_t)(MS * (is_long ? g_rand_double_range(rand, 2000, 5000)
														: g_rand_double_range(rand, 300, 600)));
		uint64_t took_us = (uint64_t)((double)expected_us * g_rand_double_range(rand, 0.6, 1.1));
		uint64_t bound_us = bh__answer_time_get_upper_bound_us(&t, expected_us);
		exceeded += i > 10 && took_us > bound_us;
		assert_true(i <= 10 || bound_us < 2 * expected_us);
		bh__answer_time_record(&t, took_us, expected_us);
	}
	assert_in_range(exceeded, 0, 80);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_bound_without_answers_),
		cmocka_unit_test(one_answer_gives_a_wide_bound_),
		cmocka_unit_test(few_answers_exceed_the_bound_),
		cmocka_unit_test(bound_scales_with_expected_time_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
