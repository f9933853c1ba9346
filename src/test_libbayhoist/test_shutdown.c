/* SPDX-License-Identifier: BSD-3-Clause */
/* Nodes that stop while requests come and endpoints fall silent, on virtual time. Guards against answers that
 * a leaving node takes and can't end, and against requests that it refuses in vain. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include "bayhoist/shutdown.h"
#include "bayhoist/silence_history.h"

#define GRACE_MS 8000
#define KNOWN_MS 3000 /* after the stop; callers that come later know other nodes */
#define STEP_MS 50    /* between two requests at a node */
#define MAX_WAIT_MS 1700
#define PATIENCE_MS 2000 /* of callers: a longer silence ends their interest in the answer */
#define TARGET_MS 300
#define T0_US (100 * BH__SECOND_US) /* of SIGTERM */

/* A time in which no endpoint does anything, from SIGTERM on. */
typedef struct {
	int from_ms;
	int to_ms;
} Silence;

/* What became of the requests that came from KNOWN_MS on. */
typedef struct {
	unsigned whole;
	unsigned refused;
	unsigned cut;
	unsigned served_elsewhere; /* of the refused ones, at nodes that stay */
} Count;

/* Returns when an endpoint ends `work_ms` of work that it gets at `at_ms`: it rests in silences. */
static int ends_ms_(int at_ms, int work_ms, const Silence *silence, unsigned count)
{
	for (unsigned i = 0; i < count; i++) {
		if (at_ms >= silence[i].to_ms)
			continue;
		if (at_ms + work_ms <= silence[i].from_ms)
			break;
		if (at_ms < silence[i].from_ms)
			work_ms -= silence[i].from_ms - at_ms;
		at_ms = silence[i].to_ms;
	}
	return at_ms + work_ms;
}

/* Has `stopping` of `nodes` nodes stop, and requests of one length come to each of them, and counts. */
static Count run_(unsigned nodes, unsigned stopping, int work_ms, const Silence *silence, unsigned silences)
{
	Count c = {0};

	for (unsigned n = 0; n < stopping; n++) {
		BH__Shutdown s = {0};
		BH__SilenceHistory seen = {0};
		bh__shutdown_begin(&s, GRACE_MS * BH__MS_US, T0_US);
		for (int at_ms = (int)(n * 7 % STEP_MS); at_ms < GRACE_MS; at_ms += STEP_MS) {
			uint64_t now_us = T0_US + (uint64_t)at_ms * BH__MS_US;
			BH__ShutdownRequest r = {.longest_us = (uint64_t)work_ms * BH__MS_US,
									 .max_wait_us = MAX_WAIT_MS * BH__MS_US,
									 .patience_us = PATIENCE_MS * BH__MS_US,
									 .target_us = TARGET_MS * BH__MS_US,
									 .is_observed = true,
									 .is_engine = true,
									 .has_peers = stopping < nodes};
			for (unsigned i = 0; i < silences; i++)
				if (at_ms >= silence[i].to_ms)
					bh__silence_history_record(
						&seen, (uint64_t)(silence[i].to_ms - silence[i].from_ms) * BH__MS_US, now_us);
			r.silence_us = bh__silence_history_get_longest_us(&seen, now_us);
			if (at_ms < KNOWN_MS)
				continue;
			if (!bh__shutdown_may_send(&s, &r, now_us)) {
				c.refused++;
				c.served_elsewhere += r.has_peers;
			}
			else if (T0_US + (uint64_t)ends_ms_(at_ms, work_ms, silence, silences) * BH__MS_US <= s.exit_us)
				c.whole++;
			else
				c.cut++;
		}
	}
	return c;
}

static const struct {
	unsigned nodes;
	unsigned stopping;
} Fleets[] = {{3, 1}, {3, 3}, {9, 5}, {85, 1}, {85, 85}};
static const int Works_ms[] = {60, 300, 1000, 2000, 4000, 7000};

/* One silence, at any moment: nothing is cut that came when callers knew other nodes. Where all nodes stop,
 * this holds as far as callers wait: what is refused there finds nobody. */
static void test_one_silence(void **state)
{
	(void)state;
	for (size_t f = 0; f < G_N_ELEMENTS(Fleets); f++)
		for (size_t w = 0; w < G_N_ELEMENTS(Works_ms); w++)
			for (int len_ms = 500; len_ms <= 3000; len_ms += 500)
				for (int from_ms = -1000; from_ms <= 7500; from_ms += 100) {
					if (Fleets[f].stopping == Fleets[f].nodes && len_ms > PATIENCE_MS)
						continue;
					Silence s = {from_ms, from_ms + len_ms};
					Count c = run_(Fleets[f].nodes, Fleets[f].stopping, Works_ms[w], &s, 1);
					if (c.cut)
						print_error("%u of %u, %d ms of work, silence of %d ms from %d: %u cut\n",
									Fleets[f].stopping, Fleets[f].nodes, Works_ms[w], len_ms, from_ms, c.cut);
					assert_int_equal(c.cut, 0);
				}
}

/* Two silences, one after the other, together as long as callers wait where all nodes stop. */
static void test_two_silences(void **state)
{
	(void)state;
	for (size_t f = 0; f < G_N_ELEMENTS(Fleets); f++)
		for (size_t w = 0; w < G_N_ELEMENTS(Works_ms); w++)
			for (int len_ms = 500; len_ms <= 1500; len_ms += 500)
				for (int from_ms = -1000; from_ms <= 5000; from_ms += 200)
					for (int gap_ms = 200; gap_ms <= 2000; gap_ms += 600) {
						int second_ms = from_ms + len_ms + gap_ms;
						if (Fleets[f].stopping == Fleets[f].nodes && 2 * len_ms > PATIENCE_MS)
							continue;
						Silence s[] = {{from_ms, from_ms + len_ms}, {second_ms, second_ms + len_ms}};
						Count c = run_(Fleets[f].nodes, Fleets[f].stopping, Works_ms[w], s, 2);
						assert_int_equal(c.cut, 0);
					}
}

/* Where all nodes stop, short answers are taken for the first five of eight seconds. */
static void test_all_stop(void **state)
{
	BH__Shutdown s;
	BH__ShutdownRequest r = {.longest_us = 350 * BH__MS_US,
							 .max_wait_us = MAX_WAIT_MS * BH__MS_US,
							 .patience_us = PATIENCE_MS * BH__MS_US,
							 .target_us = TARGET_MS * BH__MS_US,
							 .is_observed = true,
							 .is_engine = true};

	(void)state;
	bh__shutdown_begin(&s, GRACE_MS * BH__MS_US, T0_US);
	for (uint64_t at_ms = 0; at_ms <= 5000; at_ms += STEP_MS)
		assert_true(bh__shutdown_may_send(&s, &r, T0_US + at_ms * BH__MS_US));
	r.is_observed = false; /* a node that has just started knows only what is borne of an engine */
	r.longest_us = (MAX_WAIT_MS + 50) * BH__MS_US;
	for (uint64_t at_ms = 0; at_ms <= 5000; at_ms += STEP_MS)
		assert_true(bh__shutdown_may_send(&s, &r, T0_US + at_ms * BH__MS_US));
}

/* Without a silence, what a leaving node refuses is served by those that stay, and callers who know no other
 * node yet are served as long as their answers fit. */
static void test_no_silence(void **state)
{
	(void)state;
	for (size_t f = 0; f < G_N_ELEMENTS(Fleets); f++)
		for (size_t w = 0; w < G_N_ELEMENTS(Works_ms); w++) {
			Count c = run_(Fleets[f].nodes, Fleets[f].stopping, Works_ms[w], NULL, 0);
			assert_int_equal(c.cut, 0);
			if (Fleets[f].stopping < Fleets[f].nodes)
				assert_int_equal(c.refused, c.served_elsewhere);
		}
	for (size_t w = 0; w < G_N_ELEMENTS(Works_ms); w++) {
		BH__Shutdown s;
		BH__ShutdownRequest r = {.longest_us = (uint64_t)Works_ms[w] * BH__MS_US,
								 .max_wait_us = MAX_WAIT_MS * BH__MS_US,
								 .patience_us = PATIENCE_MS * BH__MS_US,
								 .is_observed = true,
								 .is_engine = true,
								 .has_peers = true};
		bh__shutdown_begin(&s, GRACE_MS * BH__MS_US, T0_US);
		for (uint64_t at_ms = 0; at_ms < KNOWN_MS; at_ms += STEP_MS)
			assert_true(bh__shutdown_may_send(&s, &r, T0_US + at_ms * BH__MS_US) ==
						(at_ms + (uint64_t)Works_ms[w] <= GRACE_MS - 250));
	}
}

/* A silence that has occurred counts from the first second on, for a minute; a shorter one does not replace
 * it. */
static void test_silence_is_remembered(void **state)
{
	BH__SilenceHistory h = {0};

	(void)state;
	assert_int_equal(bh__silence_history_get_longest_us(&h, T0_US), 0);
	bh__silence_history_record(&h, 2 * BH__SECOND_US, T0_US);
	bh__silence_history_record(&h, BH__SECOND_US, T0_US + BH__SECOND_US);
	assert_int_equal(bh__silence_history_get_longest_us(&h, T0_US + 59 * BH__SECOND_US), 2 * BH__SECOND_US);
	assert_int_equal(bh__silence_history_get_longest_us(&h, T0_US + 60 * BH__SECOND_US), 0);
	bh__silence_history_record(&h, BH__SECOND_US, T0_US + 61 * BH__SECOND_US);
	assert_int_equal(bh__silence_history_get_longest_us(&h, T0_US + 62 * BH__SECOND_US), BH__SECOND_US);
}

/* The node exits when it has nothing to do and callers have had the time to find others, and at the end of
 * the grace period at the latest, also if that is very short. */
static void test_exit(void **state)
{
	BH__Shutdown s = {0};

	(void)state;
	bh__shutdown_begin(&s, GRACE_MS * BH__MS_US, T0_US);
	assert_false(bh__shutdown_is_due(&s, false, T0_US + 3100 * BH__MS_US));
	assert_true(bh__shutdown_is_due(&s, false, T0_US + 3200 * BH__MS_US));
	assert_false(bh__shutdown_is_due(&s, true, T0_US + 7600 * BH__MS_US));
	assert_true(bh__shutdown_is_due(&s, true, T0_US + 7900 * BH__MS_US));
	bh__shutdown_begin(&s, 100 * BH__MS_US, T0_US);
	assert_true(bh__shutdown_is_due(&s, true, T0_US + 100 * BH__MS_US));
	bh__shutdown_end(&s, T0_US);
	assert_int_equal(bh__shutdown_get_left_us(&s, T0_US), 0);
}

/* Once no new connections begin, those being set up have a tenth of a second, and callers that have connected
 * have a second for their first requests, as far as the grace period goes; nobody is waited for if there are
 * none. */
static void test_first_requests(void **state)
{
	BH__Shutdown s = {0};

	(void)state;
	bh__shutdown_begin(&s, GRACE_MS * BH__MS_US, T0_US);
	bh__shutdown_close(&s, T0_US + 3200 * BH__MS_US);
	assert_true(bh__shutdown_awaits_handshakes(&s, T0_US + 3299 * BH__MS_US));
	assert_false(bh__shutdown_awaits_handshakes(&s, T0_US + 3300 * BH__MS_US));
	assert_false(bh__shutdown_awaits_callers(&s, 0, T0_US + 3200 * BH__MS_US));
	assert_true(bh__shutdown_awaits_callers(&s, 1, T0_US + 4199 * BH__MS_US));
	assert_false(bh__shutdown_awaits_callers(&s, 1, T0_US + 4200 * BH__MS_US));
	bh__shutdown_begin(&s, 3300 * BH__MS_US, T0_US);
	assert_false(bh__shutdown_is_closing_due(&s, true, T0_US + 2949 * BH__MS_US));
	assert_true(bh__shutdown_is_closing_due(&s, true, T0_US + 2950 * BH__MS_US));
	bh__shutdown_close(&s, T0_US + 3050 * BH__MS_US);
	assert_false(bh__shutdown_awaits_handshakes(&s, T0_US + 3050 * BH__MS_US));
	assert_false(bh__shutdown_awaits_callers(&s, 1, T0_US + 3050 * BH__MS_US));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_silence),
		cmocka_unit_test(test_two_silences),
		cmocka_unit_test(test_all_stop),
		cmocka_unit_test(test_no_silence),
		cmocka_unit_test(test_silence_is_remembered),
		cmocka_unit_test(test_exit),
		cmocka_unit_test(test_first_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
