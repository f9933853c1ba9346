/* SPDX-License-Identifier: BSD-3-Clause */
/* A time that few answers exceed, from those that were seen. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdbool.h>
#include "bayhoist/answer_time.h"

#define MS 1000u

static void nothing_is_known_at_first_(void **state)
{
	BH__AnswerTime t = {0};

	(void)state;
	assert_int_equal(bh__answer_time_get_longest_us(&t, 1000 * MS), 0);
}

/* One answer tells little of how much they differ. */
static void one_answer_is_not_trusted_(void **state)
{
	BH__AnswerTime t = {0};

	(void)state;
	bh__answer_time_note(&t, 1000 * MS, 1000 * MS);
	assert_int_equal(bh__answer_time_get_longest_us(&t, 1000 * MS), 3000 * MS);
}

/* Answers that take a time and up to half as much again: one in a hundred at most exceeds what is told, and
 * that is at most twice the longest. */
static void few_exceed_it_(void **state)
{
	GRand *rand = g_rand_new_with_seed(1);
	BH__AnswerTime t = {0};
	unsigned longer = 0;

	(void)state;
	for (unsigned i = 0; i < 2000; i++) {
		uint64_t took_us = (uint64_t)(1000 * MS * g_rand_double_range(rand, 1, 1.5));
		uint64_t longest_us = bh__answer_time_get_longest_us(&t, 1000 * MS);
		longer += i > 10 && took_us > longest_us;
		assert_true(i <= 10 || longest_us < 3000 * MS);
		bh__answer_time_note(&t, took_us, 1000 * MS);
	}
	assert_in_range(longer, 0, 20);
	g_rand_free(rand);
}

/* Answers of very unlike lengths, by turns mostly short and mostly long: a long one that comes after many
 * short ones is expected to take long, and a short one after long ones is not. One in fifty at most exceeds
 * what is told. */
static void unlike_lengths_are_told_apart_(void **state)
{
	GRand *rand = g_rand_new_with_seed(2);
	BH__AnswerTime t = {0};
	unsigned longer = 0;

	(void)state;
	for (unsigned i = 0; i < 4000; i++) {
		bool is_long = g_rand_double(rand) < (i / 100 % 2 ? 0.9 : 0.05);
		uint64_t expected_us = (uint64_t)(MS * (is_long ? g_rand_double_range(rand, 2000, 5000)
														: g_rand_double_range(rand, 300, 600)));
		uint64_t took_us = (uint64_t)((double)expected_us * g_rand_double_range(rand, 0.6, 1.1));
		uint64_t longest_us = bh__answer_time_get_longest_us(&t, expected_us);
		longer += i > 10 && took_us > longest_us;
		assert_true(i <= 10 || longest_us < 2 * expected_us);
		bh__answer_time_note(&t, took_us, expected_us);
	}
	assert_in_range(longer, 0, 80);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(nothing_is_known_at_first_),
		cmocka_unit_test(one_answer_is_not_trusted_),
		cmocka_unit_test(few_exceed_it_),
		cmocka_unit_test(unlike_lengths_are_told_apart_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
