/* SPDX-License-Identifier: BSD-3-Clause */
/* Where nodes learn what the platform says, with hundreds of them in five data halls: who asks whom, what
 * becomes of it when the platform is away or turns some away, and how much is read of it. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include "bayhoist/hash.h"
#include "bayhoist/source.h"
#include "quiet_members.h"

#define NODES 295
#define HALLS 5
#define START_US (1000 * BH__SECOND_US)
#define PERIOD_US BH__SECOND_US
#define OUTAGE_MS 8000
#define STEP_MS 10
#define HOLD_MS 500 /* that a source keeps a question while the platform is away */

typedef struct {
	BH__Members *members[NODES];
	BH__Source source[NODES];
	uint64_t id[NODES];
} Fleet;

static BH__MemberInfo describe_(unsigned i)
{
	BH__MemberInfo info = {.boot_id = 1, .capacity = i % 3 ? 100 : 500};

	snprintf(info.name, sizeof info.name, "vm-%u", i);
	snprintf(info.hall, sizeof info.hall, "hall-%u", i % HALLS);
	info.node_id = bh__hash_name(info.name);
	return info;
}

/* Every node knows every other, and follows its source. */
static void fleet_init_(Fleet *f)
{
	memset(f, 0, sizeof *f);
	for (unsigned i = 0; i < NODES; i++) {
		BH__MemberInfo self = describe_(i);
		f->id[i] = self.node_id;
		f->members[i] = bh__members_new(&QuietMembersPort, &self, i);
		for (unsigned k = 0; k < NODES; k++) {
			BH__MemberInfo other = describe_(k);
			if (k != i)
				quiet_members_add(f->members[i], &other, START_US);
		}
		assert_true(bh__source_process_tick(&f->source[i], f->members[i], START_US));
	}
}

static void fleet_finish_(Fleet *f)
{
	for (unsigned i = 0; i < NODES; i++)
		bh__members_delete(f->members[i]);
}

static unsigned index_of_(const Fleet *f, uint64_t id)
{
	unsigned i = 0;

	while (f->id[i] != id)
		i++;
	return i;
}

/* One node reads the platform, and none answers more than its hall and one node of each other. */
static void nobody_answers_all_(void **state)
{
	static Fleet f;
	unsigned askers[NODES] = {0};
	unsigned readers = 0;

	(void)state;
	fleet_init_(&f);
	for (unsigned i = 0; i < NODES; i++) {
		readers += bh__source_reads(&f.source[i], f.members[i], START_US);
		if (bh__source_asks(&f.source[i], f.members[i]))
			askers[index_of_(&f, f.source[i].node)]++;
	}
	assert_int_equal(readers, 1);
	for (unsigned i = 0; i < NODES; i++)
		assert_true(askers[i] <= NODES / HALLS + HALLS);
	fleet_finish_(&f);
}

/* While the platform is away for all, every node hears from a few others that they know nothing fresh. The
 * nodes together look some ten times a second, and not each for itself. */
static void an_outage_is_not_answered_with_looks_(void **state)
{
	static Fleet f;
	uint64_t next_look_us[NODES] = {0};
	uint64_t next_answer_us[NODES] = {0};
	unsigned looks = 0;

	(void)state;
	fleet_init_(&f);
	for (uint64_t ms = 0; ms < OUTAGE_MS; ms += STEP_MS) {
		uint64_t now_us = START_US + ms * BH__MS_US;
		for (unsigned i = 0; i < NODES; i++) {
			BH__Source *s = &f.source[i];
			bool away = bh__source_is_platform_away(s);
			bool reads;
			bh__source_process_tick(s, f.members[i], now_us);
			if (now_us >= next_answer_us[i]) { /* the reader finds so of itself */
				bh__source_note_stale(s, now_us);
				next_answer_us[i] = now_us + (away ? HOLD_MS * BH__MS_US : 0);
			}
			assert_false(bh__source_is_cut_off(s));
			reads = bh__source_reads(s, f.members[i], now_us);
			if (!reads && !bh__source_is_platform_away(s))
				continue;
			if (!next_look_us[i] && !reads)
				next_look_us[i] = now_us + f.id[i] % bh__source_get_own_period_us(s, f.members[i], PERIOD_US);
			if (now_us < next_look_us[i])
				continue;
			next_look_us[i] =
				now_us + (reads ? PERIOD_US : bh__source_get_own_period_us(s, f.members[i], PERIOD_US));
			looks++;
		}
	}
	assert_true(looks <= (OUTAGE_MS / 1000 + 1) * 12);
	fleet_finish_(&f);
}

/* Where the platform turns the reader and the next in rank away, every node has found one that it serves
 * after a few questions, and asks its relay again later. */
static void readers_that_are_turned_away_are_left_(void **state)
{
	static Fleet f;
	uint64_t turned_away[2];

	(void)state;
	fleet_init_(&f);
	turned_away[0] = bh__members_pick_except(f.members[0], bh__hash_name("platform-reader"), NULL, NULL, 0);
	turned_away[1] =
		bh__members_pick_except(f.members[0], bh__hash_name("platform-reader"), NULL, turned_away, 1);
	for (unsigned i = 0; i < NODES; i++) {
		BH__Source *s = &f.source[i];
		uint64_t relay = s->node;
		unsigned asked = 0;
		while (s->node == relay || s->node == turned_away[0] || s->node == turned_away[1]) {
			bh__source_note_stale(s, START_US);
			bh__source_process_tick(s, f.members[i], START_US);
			asked++;
		}
		assert_true(asked <= 3);
		assert_false(bh__source_is_platform_away(s));
		bh__source_note_useful(s);
		bh__source_process_tick(s, f.members[i], START_US + 6 * BH__SECOND_US);
		assert_true(s->node == relay);
	}
	fleet_finish_(&f);
}

/* A node that no peer answers sees for itself, at its own pace. */
static void a_node_that_is_cut_off_sees_for_itself_(void **state)
{
	static Fleet f;
	BH__Source *s = &f.source[7];
	uint64_t first;

	(void)state;
	fleet_init_(&f);
	first = s->node;
	bh__source_note_silent(s, START_US);
	bh__source_process_tick(s, f.members[7], START_US);
	assert_true(s->node != first);
	assert_false(bh__source_is_cut_off(s));
	bh__source_note_silent(s, START_US);
	assert_true(bh__source_is_cut_off(s));
	assert_int_equal(bh__source_get_own_period_us(s, f.members[7], PERIOD_US), PERIOD_US);
	fleet_finish_(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(nobody_answers_all_),
		cmocka_unit_test(an_outage_is_not_answered_with_looks_),
		cmocka_unit_test(readers_that_are_turned_away_are_left_),
		cmocka_unit_test(a_node_that_is_cut_off_sees_for_itself_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
