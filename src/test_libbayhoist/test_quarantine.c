/* SPDX-License-Identifier: BSD-3-Clause */
/* Requests that crash endpoints: who is held on what evidence, who is not, and for how long. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>
#include "bayhoist/crash_reports.h"
#include "bayhoist/hash.h"

#define CULPRIT 1
#define MS BH__MS_US
#define S BH__SECOND_US

typedef struct {
	BH__Quarantine *quarantine;
	BH__CrashReports *reports;
	uint64_t now_us;
	uint64_t next_endpoint;
} Judge;

static BH__Fingerprint request_(uint64_t n)
{
	return (BH__Fingerprint){.high = n, .low = bh__hash_pair(n, n)};
}

static int setup_(void **state)
{
	Judge *j = g_new0(Judge, 1);

	j->quarantine = bh__quarantine_new();
	j->reports = bh__crash_reports_new();
	j->now_us = 5 * S;
	j->next_endpoint = 1000;
	*state = j;
	return 0;
}

static int teardown_(void **state)
{
	Judge *j = *state;

	bh__crash_reports_delete(j->reports);
	bh__quarantine_delete(j->quarantine);
	g_free(j);
	return 0;
}

static void report_(Judge *j, uint64_t endpoint, uint64_t n)
{
	BH__CrashSuspect s = {.fingerprint = request_(n), .weight = BH__CRASH_WEIGHT};

	bh__crash_reports_process(j->reports, endpoint, j->now_us / MS, &s, j->now_us);
}

/* Judges what is due after `ms`. Returns the number of entries that changed. */
static unsigned judge_after_(Judge *j, uint64_t ms)
{
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));
	unsigned n;

	j->now_us += ms * MS;
	bh__crash_reports_judge(j->reports, j->quarantine, changed, j->now_us);
	bh__quarantine_process_tick(j->quarantine, j->now_us);
	n = changed->len;
	g_array_unref(changed);
	return n;
}

/* An endpoint of its own crashes under the requests whose numbers follow, up to a 0. */
static void crash_(Judge *j, uint64_t first, ...)
{
	uint64_t endpoint = j->next_endpoint++;
	va_list more;

	va_start(more, first);
	for (uint64_t n = first; n; n = va_arg(more, uint64_t))
		report_(j, endpoint, n);
	va_end(more);
	bh__crash_reports_process_proof(j->reports, endpoint, BH__CRASH_PROVEN);
	judge_after_(j, 100);
}

#define END ((uint64_t)0)
#define N(n) ((uint64_t)(n))

static bool is_held_(const Judge *j, uint64_t n)
{
	BH__Fingerprint f = request_(n);

	return bh__quarantine_get_held_us(j->quarantine, &f, j->now_us) > 0;
}

static void event_(Judge *j, uint64_t n, BH__QuarantineEvent event)
{
	BH__Fingerprint f = request_(n);

	bh__quarantine_process_event(j->quarantine, &f, event, j->now_us);
}

static void a_request_is_held_after_three_crashes_(void **state)
{
	Judge *j = *state;

	crash_(j, N(CULPRIT), N(11), N(12), N(13), END);
	crash_(j, N(CULPRIT), N(14), N(11), END);
	assert_false(is_held_(j, CULPRIT));
	crash_(j, N(CULPRIT), N(15), N(16), END);
	assert_true(is_held_(j, CULPRIT));
	for (uint64_t n = 11; n <= 16; n++)
		assert_false(is_held_(j, n));
}

/* Beside two such requests 34 others met three crashes or more within 28 s, since what broke off was sent on
 * to the same engines. Counted alike, they would all have been held. */
static void requests_that_follow_it_to_the_next_engine_are_not_held_(void **state)
{
	Judge *j = *state;

	crash_(j, N(CULPRIT), N(11), N(12), END);
	crash_(j, N(CULPRIT), N(11), N(13), END);
	crash_(j, N(CULPRIT), N(11), N(14), END);
	assert_false(is_held_(j, 11));
	crash_(j, N(CULPRIT), N(15), END);
	assert_true(is_held_(j, CULPRIT));
	assert_false(is_held_(j, 11));
	crash_(j, N(CULPRIT), N(11), N(12), END); /* a copy that was under way */
	assert_false(is_held_(j, 11));
	assert_false(is_held_(j, 12));
}

static void copies_that_crash_three_at_once_are_held_(void **state)
{
	Judge *j = *state;

	for (uint64_t endpoint = 1; endpoint <= 3; endpoint++) {
		report_(j, endpoint, CULPRIT);
		for (uint64_t n = 0; n < 11; n++)
			report_(j, endpoint, 100 * endpoint + n);
		bh__crash_reports_process_proof(j->reports, endpoint, BH__CRASH_PROVEN);
	}
	assert_int_equal(judge_after_(j, 59), 0);
	judge_after_(j, 1);
	assert_true(is_held_(j, CULPRIT));
	for (uint64_t endpoint = 1; endpoint <= 3; endpoint++)
		for (uint64_t n = 0; n < 11; n++)
			assert_false(is_held_(j, 100 * endpoint + n));
}

static void the_death_of_half_of_all_endpoints_condemns_nobody_(void **state)
{
	Judge *j = *state;

	for (unsigned again = 0; again < 2; again++) { /* what broke off goes elsewhere and meets it once more */
		for (uint64_t endpoint = 1; endpoint <= 435; endpoint++) {
			for (uint64_t n = 0; n < 12; n++)
				report_(j, 1000 * again + endpoint, 12 * endpoint + n);
			bh__crash_reports_process_proof(j->reports, 1000 * again + endpoint, BH__CRASH_PROVEN);
		}
		judge_after_(j, 100);
	}
	for (uint64_t n = 0; n < 12 * 436; n++)
		assert_false(is_held_(j, n));
	assert_int_equal(bh__quarantine_get_counters(j->quarantine)->held, 0);
}

static void what_breaks_off_and_lives_is_no_evidence_(void **state)
{
	static const BH__CrashProof Proofs[] = {BH__CRASH_UNKNOWN, BH__CRASH_DENIED};
	Judge *j = *state;

	for (unsigned k = 0; k < G_N_ELEMENTS(Proofs); k++)
		for (uint64_t i = 0; i < 8; i++) {
			report_(j, 100 * k + i, CULPRIT);
			bh__crash_reports_process_proof(j->reports, 100 * k + i, Proofs[k]);
			assert_int_equal(judge_after_(j, 200), 0);
		}
	assert_int_equal(bh__quarantine_get_counters(j->quarantine)->held, 0);
}

static void an_endpoint_that_says_it_has_started_since_has_crashed_(void **state)
{
	Judge *j = *state;

	report_(j, 1, CULPRIT);
	bh__crash_reports_process_proof(j->reports, 1, BH__CRASH_DENIED);
	assert_int_equal(judge_after_(j, 3000), 0);
	bh__crash_reports_process_start(j->reports, 1, 5000); /* its old entry once more */
	assert_int_equal(judge_after_(j, 0), 0);
	bh__crash_reports_process_start(j->reports, 1, 7000);
	assert_int_equal(judge_after_(j, 0), 1);
	for (unsigned again = 0; again < 2; again++) { /* back under its id, it crashes once more */
		judge_after_(j, 2000);
		report_(j, 1, CULPRIT);
		bh__crash_reports_process_proof(j->reports, 1, BH__CRASH_PROVEN);
		judge_after_(j, 100);
	}
	assert_true(is_held_(j, CULPRIT));
}

static void an_old_break_is_not_counted_with_a_later_crash_(void **state)
{
	Judge *j = *state;

	for (uint64_t endpoint = 1; endpoint <= 4; endpoint++) {
		report_(j, endpoint, 11);
		bh__crash_reports_process_proof(j->reports, endpoint, BH__CRASH_DENIED);
		judge_after_(j, 600);
		report_(j, endpoint, CULPRIT);
		bh__crash_reports_process_proof(j->reports, endpoint, BH__CRASH_PROVEN);
		judge_after_(j, 600);
	}
	assert_true(is_held_(j, CULPRIT));
	assert_null(
		bh__quarantine_find(j->quarantine, &(BH__Fingerprint){.high = 11, .low = bh__hash_pair(11, 11)}));
}

static void a_report_that_comes_late_counts_as_well_(void **state)
{
	Judge *j = *state;

	for (uint64_t endpoint = 1; endpoint <= 3; endpoint++) {
		report_(j, endpoint, 10 + endpoint);
		bh__crash_reports_process_proof(j->reports, endpoint, BH__CRASH_PROVEN);
		judge_after_(j, 100);
		report_(j, endpoint, CULPRIT);
		judge_after_(j, 10);
		judge_after_(j, 700);
	}
	assert_true(is_held_(j, CULPRIT));
	assert_false(is_held_(j, 11));
}

static void a_request_that_is_served_is_innocent_(void **state)
{
	Judge *j = *state;

	for (unsigned i = 0; i < 4; i++) {
		crash_(j, N(11), END);
		crash_(j, N(11), END);
		event_(j, 11, BH__QUARANTINE_SERVE);
	}
	assert_false(is_held_(j, 11));
	assert_int_equal(bh__quarantine_get_counters(j->quarantine)->cleared, 4);
}

static void a_request_is_tried_again_after_its_time_(void **state)
{
	Judge *j = *state;
	BH__Fingerprint f = request_(CULPRIT);
	uint64_t first_us;

	for (unsigned i = 0; i < 3; i++)
		crash_(j, N(CULPRIT), END);
	first_us = bh__quarantine_get_held_us(j->quarantine, &f, j->now_us);
	assert_in_range(first_us, 599 * S, 600 * S);
	judge_after_(j, 600000);
	assert_false(is_held_(j, CULPRIT));
	assert_int_equal(bh__quarantine_find(j->quarantine, &f)->state, BH__QUARANTINE_PROBATION);
	crash_(j, N(CULPRIT), N(11), END);
	assert_true(is_held_(j, CULPRIT));
	assert_in_range(bh__quarantine_get_held_us(j->quarantine, &f, j->now_us), 1199 * S, 1200 * S);
	assert_false(is_held_(j, 11));
	judge_after_(j, 1200000);
	event_(j, CULPRIT, BH__QUARANTINE_SERVE);
	assert_int_equal(bh__quarantine_find(j->quarantine, &f)->state, BH__QUARANTINE_CLEARED);
	judge_after_(j, 61000);
	assert_null(bh__quarantine_find(j->quarantine, &f));
}

static void nodes_agree_on_the_latest_entry_(void **state)
{
	Judge *j = *state;
	BH__Quarantine *other = bh__quarantine_new();
	BH__Fingerprint f = request_(CULPRIT);
	BH__QuarantineEntry held;

	for (unsigned i = 0; i < 3; i++)
		crash_(j, N(CULPRIT), END);
	held = *bh__quarantine_find(j->quarantine, &f);
	assert_int_not_equal(bh__quarantine_get_hash(other), bh__quarantine_get_hash(j->quarantine));
	assert_true(bh__quarantine_learn(other, &held, j->now_us));
	assert_false(bh__quarantine_learn(other, &held, j->now_us));
	assert_int_equal(bh__quarantine_get_hash(other), bh__quarantine_get_hash(j->quarantine));
	assert_true(bh__quarantine_process_event(other, &f, BH__QUARANTINE_RELEASE, j->now_us));
	assert_false(bh__quarantine_learn(other, &held, j->now_us)); /* what is released does not come back */
	assert_true(bh__quarantine_learn(j->quarantine, bh__quarantine_find(other, &f), j->now_us));
	assert_false(is_held_(j, CULPRIT));
	held.version += 10;
	assert_false(bh__quarantine_learn(other, &held, held.since_us + 600 * S)); /* its time is over */
	bh__quarantine_delete(other);
}

static void the_table_is_bounded_and_keeps_what_is_held_(void **state)
{
	Judge *j = *state;
	GArray *all = g_array_new(FALSE, FALSE, sizeof(BH__QuarantineEntry));

	for (unsigned i = 0; i < 3; i++)
		crash_(j, N(CULPRIT), END);
	for (uint64_t n = 100; n < 10100; n++) {
		BH__CrashSuspect s = {.fingerprint = request_(n), .weight = BH__CRASH_WEIGHT};
		BH__CrashFinding finding = {0};
		bh__quarantine_process_crash(j->quarantine, n, &s, 1, &finding, all, j->now_us);
	}
	g_array_set_size(all, 0);
	bh__quarantine_list(j->quarantine, false, all);
	assert_in_range(all->len, 1000, 2048);
	assert_true(is_held_(j, CULPRIT));
	g_array_unref(all);
}

static void only_the_same_account_path_and_body_are_the_same_(void **state)
{
	static const uint8_t Body[] = "body";
	BH__FingerprintSource source = {
		.account = "a", .method = "POST", .target = "/x", .body = Body, .body_len = 4};
	BH__FingerprintSource other = source;
	BH__Fingerprint f = bh__fingerprint_compute(&source);
	BH__Fingerprint g;
	char text[BH__FINGERPRINT_TEXT_LEN];

	(void)state;
	g = bh__fingerprint_compute(&other);
	assert_true(bh__fingerprint_equal(&f, &g));
	other.account = "aP";
	other.method = "OST";
	g = bh__fingerprint_compute(&other);
	assert_false(bh__fingerprint_equal(&f, &g));
	other = source;
	other.body_len = 3;
	g = bh__fingerprint_compute(&other);
	assert_false(bh__fingerprint_equal(&f, &g));
	bh__fingerprint_write(&f, text);
	assert_true(bh__fingerprint_read(text, &g));
	assert_true(bh__fingerprint_equal(&f, &g));
	assert_false(bh__fingerprint_read("12", &g));
	text[5] = 'x';
	assert_false(bh__fingerprint_read(text, &g));
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup_, teardown_)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(a_request_is_held_after_three_crashes_),
		TEST(requests_that_follow_it_to_the_next_engine_are_not_held_),
		TEST(copies_that_crash_three_at_once_are_held_),
		TEST(the_death_of_half_of_all_endpoints_condemns_nobody_),
		TEST(what_breaks_off_and_lives_is_no_evidence_),
		TEST(an_endpoint_that_says_it_has_started_since_has_crashed_),
		TEST(an_old_break_is_not_counted_with_a_later_crash_),
		TEST(a_report_that_comes_late_counts_as_well_),
		TEST(a_request_that_is_served_is_innocent_),
		TEST(a_request_is_tried_again_after_its_time_),
		TEST(nodes_agree_on_the_latest_entry_),
		TEST(the_table_is_bounded_and_keeps_what_is_held_),
		TEST(only_the_same_account_path_and_body_are_the_same_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
