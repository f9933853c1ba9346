/* SPDX-License-Identifier: BSD-3-Clause */
/* Up to when keys are trusted: after a read, a refusal, a word of another node, a start, in each order, and
 * in fleets whose store holds a configuration that no node can decode. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include "bayhoist/configuration_state.h"
#include "fleet.h"

#define TRUST_US (5 * BH__SECOND_US)
#define PERIOD_US (FLEET_CONFIGURATION_MS * BH__MS_US)
#define STORE_READS_PER_S 2000

/* What a node learns, in the order of a row below; a time stands for the read that showed it. */
typedef enum { NONE, INSTALL, SHOW, CONFIRM, REFUSE, ABSENT } What;

typedef struct {
	const char *name;
	struct {
		What what;
		uint64_t version;
		uint64_t read_us;
	} step[5];
	BH__ConfigurationStatus status;
	uint64_t newest_read_us;
	uint64_t version;
} Row;

static const Row Rows_[] = {
	{"a node that knows nothing trusts nothing", {{NONE, 0, 0}}, BH__CONFIGURATION_ABSENT, 0, 0},
	{"a read moves the time", {{INSTALL, 1, 10}, {SHOW, 0, 20}}, BH__CONFIGURATION_WHOLE, 20, 1},
	{"an older one does not move it back",
	 {{INSTALL, 1, 10}, {SHOW, 0, 20}, {CONFIRM, 1, 15}},
	 BH__CONFIGURATION_WHOLE,
	 20,
	 1},
	{"another node's read moves it", {{INSTALL, 1, 10}, {CONFIRM, 1, 30}}, BH__CONFIGURATION_WHOLE, 30, 1},
	{"but not one of another version",
	 {{INSTALL, 2, 10}, {CONFIRM, 1, 30}, {CONFIRM, 3, 30}},
	 BH__CONFIGURATION_WHOLE,
	 10,
	 2},
	{"a refused one does not move it",
	 {{INSTALL, 1, 10}, {REFUSE, 0, 20}},
	 BH__CONFIGURATION_OUTDATED,
	 10,
	 1},
	{"nor does it each time that it is read",
	 {{INSTALL, 1, 10}, {REFUSE, 0, 20}, {REFUSE, 0, 30}},
	 BH__CONFIGURATION_OUTDATED,
	 10,
	 1},
	{"nor another node that does not know of it",
	 {{INSTALL, 1, 10}, {REFUSE, 2, 20}, {CONFIRM, 1, 40}},
	 BH__CONFIGURATION_OUTDATED,
	 20,
	 1},
	{"nor a read that began before it",
	 {{INSTALL, 1, 10}, {REFUSE, 0, 20}, {SHOW, 0, 15}},
	 BH__CONFIGURATION_OUTDATED,
	 15,
	 1},
	{"a later read that shows something else ends it",
	 {{INSTALL, 1, 10}, {REFUSE, 0, 20}, {SHOW, 0, 30}},
	 BH__CONFIGURATION_WHOLE,
	 30,
	 1},
	{"so does a later version",
	 {{INSTALL, 1, 10}, {REFUSE, 2, 20}, {INSTALL, 3, 30}},
	 BH__CONFIGURATION_WHOLE,
	 30,
	 3},
	{"also where the refused one has no number",
	 {{INSTALL, 1, 10}, {REFUSE, 0, 20}, {INSTALL, 3, 30}},
	 BH__CONFIGURATION_WHOLE,
	 30,
	 3},
	{"but not one between the two",
	 {{INSTALL, 1, 10}, {REFUSE, 3, 20}, {INSTALL, 2, 30}},
	 BH__CONFIGURATION_OUTDATED,
	 20,
	 2},
	{"nor one that was read before the refused one, which has no number",
	 {{INSTALL, 1, 10}, {REFUSE, 0, 20}, {INSTALL, 2, 15}},
	 BH__CONFIGURATION_OUTDATED,
	 15,
	 2},
	{"a node that starts and refuses the newest trusts an older one no longer than that",
	 {{REFUSE, 0, 20}, {INSTALL, 1, 40}, {CONFIRM, 1, 50}},
	 BH__CONFIGURATION_OUTDATED,
	 20,
	 1},
	{"one of the same number with other content is refused",
	 {{INSTALL, 4, 10}, {REFUSE, 4, 20}, {CONFIRM, 4, 30}},
	 BH__CONFIGURATION_OUTDATED,
	 20,
	 4},
	{"an older one says nothing",
	 {{INSTALL, 4, 10}, {REFUSE, 3, 20}, {SHOW, 0, 30}},
	 BH__CONFIGURATION_WHOLE,
	 30,
	 4},
	{"a store without one moves nothing",
	 {{INSTALL, 1, 10}, {ABSENT, 0, 30}},
	 BH__CONFIGURATION_WHOLE,
	 10,
	 1},
	{"a change that a watch tells moves nothing, and is in force",
	 {{INSTALL, 1, 10}, {INSTALL, 2, 0}},
	 BH__CONFIGURATION_WHOLE,
	 10,
	 2},
};

/* A key that the newest configuration has taken away goes on working, where a node can't decode that one. */
static void only_a_read_of_the_one_in_force_moves_trust_(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Rows_); i++) {
		const Row *row = &Rows_[i];
		BH__ConfigurationState s;
		bh__configuration_state_init(&s, 1);
		for (size_t k = 0; k < G_N_ELEMENTS(row->step) && row->step[k].what != NONE; k++) {
			uint64_t version = row->step[k].version;
			uint64_t read_us = row->step[k].read_us * BH__SECOND_US;
			uint64_t now_us = (k + 100) * BH__SECOND_US;
			if (row->step[k].what == INSTALL)
				bh__configuration_state_note_installed(&s, version, 0, read_us, now_us);
			else if (row->step[k].what == SHOW)
				bh__configuration_state_note_shown(&s, read_us, now_us);
			else if (row->step[k].what == CONFIRM)
				bh__configuration_state_note_confirmed(&s, version, read_us);
			else if (row->step[k].what == REFUSE)
				bh__configuration_state_note_refused(&s, version, read_us, now_us);
			else
				bh__configuration_state_note_absent(&s, read_us);
		}
		if (bh__configuration_state_get_status(&s) != row->status ||
			s.newest_read_us != row->newest_read_us * BH__SECOND_US || s.version != row->version)
			fail_msg("%s: status %s, newest %u s, version %u", row->name,
					 BH__ConfigurationStatusString[bh__configuration_state_get_status(&s)],
					 (unsigned)(s.newest_read_us / BH__SECOND_US), (unsigned)s.version);
		assert_int_equal(bh__configuration_state_is_trusted(&s, TRUST_US, s.newest_read_us + TRUST_US - 1),
						 s.version != 0);
		assert_false(bh__configuration_state_is_trusted(&s, TRUST_US, s.newest_read_us + TRUST_US));
	}
}

/* An operator asks since when a configuration is not in force: not since the last look at it. */
static void a_status_has_its_beginning_(void **state)
{
	BH__ConfigurationState s;

	(void)state;
	bh__configuration_state_init(&s, 1);
	bh__configuration_state_note_installed(&s, 1, 0, 10, 11);
	assert_int_equal(s.since_us, 11);
	bh__configuration_state_note_refused(&s, 2, 20, 21);
	bh__configuration_state_note_refused(&s, 2, 30, 31);
	assert_int_equal(s.since_us, 21);
	bh__configuration_state_note_installed(&s, 3, 2, 40, 41);
	assert_int_equal(bh__configuration_state_get_status(&s), BH__CONFIGURATION_PARTIAL);
	assert_int_equal(s.since_us, 41);
}

/* All nodes stop to trust the keys of before, whoever reads for them and whoever starts meanwhile, without
 * more reads than the store bears; and all serve again once there is one that they can decode. */
static void a_fleet_trusts_no_keys_behind_a_configuration_it_cannot_decode_(void **state)
{
	static const unsigned Nodes[] = {9, 85, 300};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Nodes); i++) {
		FleetOptions o = {.nodes = Nodes[i], .halls = 5, .endpoints = 20, .seed = 41};
		Fleet *f = fleet_new(&o);
		FleetWork work;
		fleet_run(f, 4 * BH__SECOND_US);
		assert_int_equal(fleet_count_refusing(f), 0);
		fleet_take_work(f);
		fleet_set_configuration_readable(f, false);
		fleet_run(f, FLEET_TRUST_US);
		assert_int_equal(fleet_count_refusing(f), o.nodes);
		work = fleet_take_work(f);
		print_message("%u nodes: %u calls in %u ms\n", o.nodes, work.calls,
					  (unsigned)(FLEET_TRUST_US / BH__MS_US));
		assert_true(work.calls <= STORE_READS_PER_S * FLEET_TRUST_US / BH__SECOND_US / 4);
		fleet_run(f, 10 * BH__SECOND_US);
		assert_int_equal(fleet_count_refusing(f), o.nodes);
		fleet_set_configuration_readable(f, true);
		fleet_run(f, PERIOD_US);
		assert_int_equal(fleet_count_refusing(f), 0);
		fleet_delete(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(only_a_read_of_the_one_in_force_moves_trust_),
		cmocka_unit_test(a_status_has_its_beginning_),
		cmocka_unit_test(a_fleet_trusts_no_keys_behind_a_configuration_it_cannot_decode_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
