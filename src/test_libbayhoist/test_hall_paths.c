/* SPDX-License-Identifier: BSD-3-Clause */
/* Paths between halls that are dead in one direction or both, on virtual time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
/* after the others */
#include <cmocka.h>

#include "path_fleet.h"

#define HALLS 3
#define CUT 2 /* the hall that is cut off */
#define MS BH__MS_US
/* Aims in 100 first tries, from 1 s after the cut: in halls that hear, and in the one that does not. */
#define AIM_HEARS 97
#define AIM_CUT 90

typedef enum { FACE_IN, FACE_OUT, FACE_BOTH, FACE_COUNT } Face;

static const unsigned Sizes[] = {9, 85, 300};

/* Makes the paths between hall CUT and hall `other` dead. */
static void cut_pair_(PathFleet *f, Face face, unsigned other)
{
	if (face != FACE_OUT)
		path_fleet_cut(f, other, CUT, true);
	if (face != FACE_IN)
		path_fleet_cut(f, CUT, other, true);
}

static void cut_all_(PathFleet *f, Face face)
{
	for (unsigned i = 0; i < HALLS; i++)
		if (i != CUT)
			cut_pair_(f, face, i);
}

static unsigned requests_(unsigned count)
{
	return count / 3 + 3;
}

static void check_aims_(const PathFleet *f)
{
	for (unsigned i = 0; i < HALLS; i++) {
		unsigned aim = i == CUT ? AIM_CUT : AIM_HEARS;
		if (path_fleet_get_share(f, i) < aim)
			print_message("%u nodes, hall %u: %u of %u\n", f->count, i, f->served[i], f->asked[i]);
		assert_true(path_fleet_get_share(f, i) >= aim);
	}
}

static void check_no_dead_(const PathFleet *f)
{
	for (unsigned i = 0; i < f->count; i++)
		assert_int_equal(f->node[i].ever_dead, 0);
}

/* Duties come back in one step, at nearly all nodes: one that hears late may choose a node of its hall for a
 * moment. */
static void check_moves_(const PathFleet *f)
{
	unsigned more = 0;

	for (unsigned i = 0; i < f->count; i++)
		more += f->node[i].moves > 1;
	if (more)
		print_message("%u of %u nodes saw the duty move more than once\n", more, f->count);
	assert_true(more * 20 <= f->count);
}

/* Without a cut nothing is sent, probed or believed. */
static void at_rest_nothing_is_sent(void **state)
{
	PathFleet *f = path_fleet_new(85, HALLS);

	(void)state;
	path_fleet_run(f, 5000, 30);
	for (unsigned i = 0; i < f->count; i++) {
		assert_int_equal(f->node[i].probes, 0);
		assert_int_equal(f->node[i].reports, 0);
		assert_int_equal(f->node[i].version, 0);
	}
	assert_int_equal(f->members->type_bytes[BH__MESSAGE_HALL_PATHS], 0);
	path_fleet_delete(f);
}

/* One hall loses its paths to all others, in each direction and in both: each side goes on with its own. */
static void hall_without_any_path(void **state)
{
	(void)state;
	for (unsigned s = 0; s < G_N_ELEMENTS(Sizes); s++) {
		for (Face face = FACE_IN; face < FACE_COUNT; face++) {
			PathFleet *f = path_fleet_new(Sizes[s], HALLS);
			path_fleet_run(f, 2000, requests_(f->count));
			cut_all_(f, face);
			path_fleet_run(f, 1000, requests_(f->count));
			path_fleet_reset_counts(f);
			path_fleet_run(f, 5000, requests_(f->count));
			check_aims_(f);
			path_fleet_reset_counts(f);
			path_fleet_heal(f);
			path_fleet_run(f, 1500, requests_(f->count));
			assert_int_equal(path_fleet_count_lost(f), 0);
			path_fleet_run(f, 2000, requests_(f->count));
			check_aims_(f);
			check_moves_(f);
			check_no_dead_(f);
			assert_int_equal(path_fleet_count_members(f, BH__MEMBER_SUSPECT), 0);
			path_fleet_delete(f);
		}
	}
}

/* Two halls lose the path between them: requests and duties go over the third. */
static void pair_of_halls(void **state)
{
	(void)state;
	for (unsigned s = 0; s < G_N_ELEMENTS(Sizes); s++) {
		for (Face face = FACE_IN; face < FACE_COUNT; face++) {
			PathFleet *f = path_fleet_new(Sizes[s], HALLS);
			unsigned for_peer = 0;
			path_fleet_run(f, 2000, requests_(f->count));
			cut_pair_(f, face, 0);
			path_fleet_run(f, 1000, requests_(f->count));
			path_fleet_reset_counts(f);
			path_fleet_run(f, 5000, requests_(f->count));
			for (unsigned i = 0; i < HALLS; i++)
				assert_true(path_fleet_get_share(f, i) >= AIM_HEARS);
			for (unsigned i = 0; i < f->count; i++) {
				const BH__Members *m = f->node[i].node->members;
				const BH__MemberInfo *scheduler = bh__members_find(m, bh__members_pick(m, 77, NULL));
				assert_string_equal(scheduler->hall, "hall-1");
				for_peer += f->node[i].for_peer;
			}
			assert_true(for_peer > 0);
			path_fleet_heal(f);
			path_fleet_run(f, 1500, requests_(f->count));
			assert_int_equal(path_fleet_count_lost(f), 0);
			check_no_dead_(f);
			path_fleet_delete(f);
		}
	}
}

/* Without the belief, a third of all requests of both sides fails. */
static void without_the_belief(void **state)
{
	PathFleet *f = path_fleet_new(85, HALLS);

	(void)state;
	f->ignores_paths = true;
	path_fleet_run(f, 2000, 30);
	cut_all_(f, FACE_IN);
	path_fleet_run(f, 1000, 30);
	path_fleet_reset_counts(f);
	path_fleet_run(f, 3000, 30);
	assert_true(path_fleet_get_share(f, 0) < 75);
	assert_true(path_fleet_get_share(f, CUT) < 40);
	path_fleet_delete(f);
}

/* Cuts of half a second, two and six, and one that comes and goes each half second. */
static void short_cuts_and_flapping(void **state)
{
	static const unsigned Lasts[] = {500, 2000, 6000};
	PathFleet *f;

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Lasts); i++) {
		f = path_fleet_new(85, HALLS);
		path_fleet_run(f, 2000, 30);
		cut_all_(f, FACE_IN);
		path_fleet_run(f, Lasts[i], 30);
		path_fleet_heal(f);
		path_fleet_run(f, 1500, 30);
		assert_int_equal(path_fleet_count_lost(f), 0);
		path_fleet_reset_counts(f);
		path_fleet_run(f, 3000, 30);
		check_aims_(f);
		check_no_dead_(f);
		path_fleet_delete(f);
	}
	f = path_fleet_new(85, HALLS);
	path_fleet_run(f, 2000, 30);
	for (unsigned i = 0; i < 8; i++) {
		cut_all_(f, FACE_IN);
		path_fleet_run(f, 500, 30);
		path_fleet_heal(f);
		path_fleet_run(f, 500, 30);
	}
	for (unsigned i = 0; i < f->count; i++)
		assert_true(f->node[i].losses <= 2 * 8);
	path_fleet_run(f, 4000, 30);
	assert_int_equal(path_fleet_count_lost(f), 0);
	check_no_dead_(f);
	path_fleet_delete(f);
}

/* Silence that is no path's: a silent endpoint, and a hall whose nodes were killed. */
static void silence_without_a_dead_path(void **state)
{
	PathFleet *f = path_fleet_new(85, HALLS);

	(void)state;
	f->silent[CUT] = true;
	path_fleet_run(f, 3000, 30);
	assert_int_equal(path_fleet_count_lost(f), 0);
	for (unsigned i = 0; i < f->count; i++)
		assert_int_equal(f->node[i].reports, 0);
	for (unsigned i = CUT; i < PATH_ENDPOINTS; i += HALLS)
		f->silent[i] = true;
	path_fleet_run(f, 3000, 30);
	assert_int_equal(path_fleet_count_lost(f), 0);
	f->is_killed[CUT] = true;
	path_fleet_run(f, 6000, 30);
	assert_int_equal(path_fleet_count_lost(f), 0);
	path_fleet_delete(f);
}

/* A hall without power is as good as one without a path: the others go on without it, its nodes have no duty,
 * and all are back with the power. */
static void hall_without_power(void **state)
{
	PathFleet *f = path_fleet_new(85, HALLS);

	(void)state;
	path_fleet_run(f, 2000, 30);
	f->is_dark[CUT] = true;
	path_fleet_run(f, 1000, 30);
	path_fleet_reset_counts(f);
	path_fleet_run(f, 6000, 30);
	assert_true(path_fleet_get_share(f, 0) >= AIM_HEARS);
	assert_true(path_fleet_get_share(f, 1) >= AIM_HEARS);
	for (unsigned i = 0; i < f->count; i++) {
		const BH__Members *m = f->node[i].node->members;
		for (uint64_t key = 1; f->node[i].hall != CUT && key < 20; key++)
			assert_string_not_equal(bh__members_find(m, bh__members_pick(m, key, NULL))->hall, "hall-2");
	}
	f->is_dark[CUT] = false;
	path_fleet_run(f, 4000, 30);
	assert_int_equal(path_fleet_count_lost(f), 0);
	assert_int_equal(path_fleet_count_members(f, BH__MEMBER_SUSPECT), 0);
	assert_int_equal(path_fleet_count_members(f, BH__MEMBER_DEAD), 0);
	path_fleet_delete(f);
}

/* What reports cost: few nodes report, however many there are. */
static void reports_are_bounded(void **state)
{
	(void)state;
	for (unsigned s = 0; s < G_N_ELEMENTS(Sizes); s++) {
		PathFleet *f = path_fleet_new(Sizes[s], HALLS);
		unsigned reporters = 0;
		unsigned probes = 0;
		uint64_t bytes;
		path_fleet_run(f, 2000, requests_(f->count));
		cut_all_(f, FACE_IN);
		path_fleet_run(f, 4000, requests_(f->count));
		path_fleet_reset_counts(f);
		bytes = f->members->type_bytes[BH__MESSAGE_HALL_PATHS];
		path_fleet_run(f, 2000, requests_(f->count));
		for (unsigned i = 0; i < f->count; i++) {
			reporters += f->node[i].reports > 0;
			probes += f->node[i].probes;
		}
		bytes = f->members->type_bytes[BH__MESSAGE_HALL_PATHS] - bytes;
		print_message("%u nodes: %u report, %u probes/s, %u bytes/s a node\n", f->count, reporters,
					  probes / 2, (unsigned)(bytes / 2 / f->count));
		assert_true(reporters <= 4 * 4 + 4);
		assert_true(bytes / 2 / f->count <= 4096);
		path_fleet_delete(f);
	}
}

/* One node's belief: what suffices for a conclusion, and what does not. */
static void evidence_of_one_node(void **state)
{
	BH__HallPaths *h = bh__hall_paths_new("a", 1);
	BH__PathReport r = {.node_id = 2, .from = "a", .to = "b", .is_lost = true, .hall_nodes = 9};
	BH__PathReport own;
	uint64_t now_us = 10 * BH__SECOND_US;

	(void)state;
	bh__hall_paths_set_nodes(h, "a", 9);
	bh__hall_paths_note_reached(h, "a", now_us - 1);
	for (unsigned i = 0; i < 4; i++)
		bh__hall_paths_note_failed(h, "b", 100 + i, now_us);
	assert_int_equal(bh__hall_paths_get_state(h, "b"), BH__PATH_DOUBTFUL); /* its own links may be at fault */
	assert_string_equal(bh__hall_paths_take_probe(h, now_us), "a");
	assert_string_equal(bh__hall_paths_take_probe(h, now_us), "b");
	bh__hall_paths_note_reached(h, "a", now_us + 1);
	bh__hall_paths_process_tick(h, now_us + 2);
	assert_int_equal(bh__hall_paths_get_state(h, "b"), BH__PATH_LOST);
	assert_true(bh__hall_paths_is_reachable(h, "b")); /* through another node of its hall */
	assert_true(bh__hall_paths_take_report(h, now_us + 2, &own));
	assert_true(own.is_lost);
	assert_false(bh__hall_paths_take_report(h, now_us + 3, &own));
	bh__hall_paths_process_report(h, &r, now_us + 4);
	assert_false(bh__hall_paths_is_reachable(h, "b"));
	assert_false(bh__hall_paths_may_serve(h, "b"));
	bh__hall_paths_set_nodes(h, "b", 9);
	bh__hall_paths_set_nodes(h, "c", 9);
	assert_true(bh__hall_paths_is_reachable(h, "b"));
	assert_false(bh__hall_paths_may_serve(h, "a"));
	assert_true(bh__hall_paths_may_serve(h, "c"));
	r.is_lost = false;
	bh__hall_paths_process_report(h, &r, now_us + 5);
	assert_false(bh__hall_paths_may_serve(h, "a")); /* duties move when it has settled */
	now_us += 2 * BH__SECOND_US;
	bh__hall_paths_process_tick(h, now_us);
	assert_true(bh__hall_paths_may_serve(h, "a")); /* one report alone makes no belief */
	bh__hall_paths_note_reached(h, "b", now_us);
	bh__hall_paths_note_reached(h, "b", now_us + 1);
	assert_int_equal(bh__hall_paths_get_state(h, "b"), BH__PATH_LOST); /* one moment is not enough */
	bh__hall_paths_note_reached(h, "b", now_us + 200 * MS);
	assert_int_equal(bh__hall_paths_get_state(h, "b"), BH__PATH_OPEN);
	assert_true(bh__hall_paths_take_report(h, now_us + 200 * MS, &own));
	assert_false(own.is_lost);
	bh__hall_paths_delete(h);
}

/* Reports end by themselves, and nodes without a hall believe nothing. */
static void reports_expire(void **state)
{
	BH__HallPaths *h = bh__hall_paths_new("a", 1);
	BH__PathReport r = {.from = "c", .to = "b", .is_lost = true, .hall_nodes = 9};

	(void)state;
	for (r.node_id = 2; r.node_id < 4; r.node_id++)
		bh__hall_paths_process_report(h, &r, 1000);
	assert_false(bh__hall_paths_has_path(h, "b", "c"));
	assert_true(bh__hall_paths_has_path(h, "a", "c"));
	bh__hall_paths_process_tick(h, 10 * BH__SECOND_US);
	assert_true(bh__hall_paths_has_path(h, "b", "c"));
	bh__hall_paths_delete(h);
	h = bh__hall_paths_new("", 1);
	for (r.node_id = 2; r.node_id < 4; r.node_id++)
		bh__hall_paths_process_report(h, &r, 1000);
	for (unsigned i = 0; i < 9; i++)
		bh__hall_paths_note_failed(h, "b", i, 2000);
	assert_true(bh__hall_paths_has_path(h, "b", "c"));
	assert_int_equal(bh__hall_paths_get_state(h, "b"), BH__PATH_OPEN);
	bh__hall_paths_delete(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(at_rest_nothing_is_sent), cmocka_unit_test(hall_without_any_path),
		cmocka_unit_test(pair_of_halls),           cmocka_unit_test(without_the_belief),
		cmocka_unit_test(short_cuts_and_flapping), cmocka_unit_test(silence_without_a_dead_path),
		cmocka_unit_test(hall_without_power),      cmocka_unit_test(reports_are_bounded),
		cmocka_unit_test(evidence_of_one_node),    cmocka_unit_test(reports_expire),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
