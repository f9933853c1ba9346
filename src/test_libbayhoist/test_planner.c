/* SPDX-License-Identifier: BSD-3-Clause */
/* Tests of the planner: the placement of prompts, waiting and refused requests, and the handling of failed
 * engines and nodes. The tests of the iteration clock are here as well. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>
#include "bayhoist/planner.h"
#include "iteration_clock.h"

#define ENGINES 18
/* Prompt sizes in tokens. */
#define SHORT 4000
/* A prefill of less than 20 ms is too short to update the slowdown factor. */
#define UNOBSERVED (SHORT * 3 / 4)
#define MEDIUM 45000
#define LONG 200000
#define OVERSIZED 600000 /* exceeds the KV cache of one engine */
#define MS BH__MS_US

typedef struct {
	BH__PlannerPort port; /* first member, as the callbacks cast it to Fixture */
	BH__Planner *planner;
	GArray *grants; /* BH__Grant, in the order of the calls */
	unsigned refused;
	uint64_t retry_after_ms; /* of the last refusal */
	unsigned queued;
	unsigned abandoned;
	unsigned inspected;
	uint64_t last_ask_id;
} Fixture;

static void on_grant_(BH__PlannerPort *port, const BH__Grant *g)
{
	g_array_append_val(((Fixture *)port)->grants, *g);
}

static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	(void)ask;
	(void)reason;
	assert_true(retry_after_ms > 0);
	((Fixture *)port)->retry_after_ms = retry_after_ms;
	((Fixture *)port)->refused++;
}

static void on_queued_(BH__PlannerPort *port, const BH__Ask *ask)
{
	(void)ask;
	((Fixture *)port)->queued++;
}

static void on_abandoned_(BH__PlannerPort *port, const BH__Grant *g)
{
	(void)g;
	((Fixture *)port)->abandoned++;
}

static void on_inspect_(BH__PlannerPort *port, uint64_t endpoint_id)
{
	(void)endpoint_id;
	((Fixture *)port)->inspected++;
}

static BH__EngineModel model_(void)
{
	BH__EngineModel m;

	bh__engine_model_init(&m);
	m.kv_tokens = 450000;
	m.steps_per_iteration = 46;
	m.step_ms = 0.925;
	m.per_stream_ms = 0.005;
	m.per_kilotoken_ms = 0.0025;
	m.prefill_tokens_per_ms = 256;
	m.per_megapair_ms = 0.09;
	return m;
}

static Fixture *fixture_new_(unsigned engines)
{
	Fixture *f = g_new0(Fixture, 1);
	BH__EngineModel m = model_();

	f->port = (BH__PlannerPort){.grant = on_grant_,
								.refuse = on_refuse_,
								.queued = on_queued_,
								.abandoned = on_abandoned_,
								.inspect = on_inspect_};
	f->planner = bh__planner_new(&f->port, 3, 4);
	f->grants = g_array_new(FALSE, TRUE, sizeof(BH__Grant));
	bh__planner_set_model(f->planner, &m);
	for (unsigned i = 1; i <= engines; i++)
		bh__planner_set_endpoint(f->planner, i, 0, false, 0);
	return f;
}

static void fixture_free_(Fixture *f)
{
	bh__planner_delete(f->planner);
	g_array_unref(f->grants);
	g_free(f);
}

static BH__Ask ask_(Fixture *f, uint64_t tokens)
{
	bool is_short = tokens < 20000;
	BH__Ask a = {.ask_id = ++f->last_ask_id,
				 .pool_id = 3,
				 .node_id = 1,
				 .boot_id = 1,
				 .prompt_tokens = tokens,
				 .max_tokens = 1000,
				 .deadline_us = 10 * BH__SECOND_US,
				 .first_event_us = (is_short          ? 300
									: tokens < 100000 ? 1500
													  : 3000) *
								   MS,
				 .event_gap_us = (is_short          ? 200
								  : tokens < 100000 ? 500
													: 800) *
								 MS};

	return a;
}

static const BH__Grant *grant_(const Fixture *f, unsigned index)
{
	assert_true(index < f->grants->len);
	return &g_array_index(f->grants, BH__Grant, index);
}

static void a_short_prompt_is_prefilled_by_one_engine_(void **state)
{
	Fixture *f = fixture_new_(ENGINES);
	BH__Ask a = ask_(f, SHORT);

	(void)state;
	bh__planner_process_ask(f->planner, &a, 1000);
	assert_int_equal(grant_(f, 0)->member_count, 1);
	assert_int_equal(grant_(f, 0)->ask_id, a.ask_id);
	fixture_free_(f);
}

/* Engines refuse a request that names one of them twice. */
static void no_grant_names_an_engine_twice_(void **state)
{
	Fixture *f = fixture_new_(ENGINES);

	(void)state;
	for (unsigned i = 0; i < 60; i++) {
		BH__Ask a = ask_(f, i % 3 ? SHORT : i % 2 ? MEDIUM : LONG);
		bh__planner_process_ask(f->planner, &a, i * 20 * MS);
		bh__planner_process_tick(f->planner, i * 20 * MS + MS);
	}
	assert_true(f->grants->len > 20);
	for (guint i = 0; i < f->grants->len; i++) {
		const BH__Grant *g = grant_(f, i);
		uint64_t tokens = 0;
		for (unsigned k = 0; k < g->member_count; k++) {
			tokens += g->member[k].token_count;
			for (unsigned l = 0; l < k; l++)
				assert_true(g->member[k].endpoint_id != g->member[l].endpoint_id);
		}
		assert_true(tokens == SHORT || tokens == MEDIUM || tokens == LONG);
	}
	fixture_free_(f);
}

/* Engines refuse to be the helper of more prompts than they have slots. */
static void helper_parts_of_an_engine_do_not_exceed_its_slots_(void **state)
{
	Fixture *f = fixture_new_(ENGINES);
	unsigned helper_parts[ENGINES + 1] = {0};

	(void)state;
	for (unsigned i = 0; i < 80; i++) {
		BH__Ask a = ask_(f, MEDIUM);
		bh__planner_process_ask(f->planner, &a, i * 40 * MS);
		bh__planner_process_tick(f->planner, i * 40 * MS + MS);
	}
	assert_true(f->grants->len > 20); /* none of their answers begins */
	for (guint i = 0; i < f->grants->len; i++)
		for (unsigned k = 1; k < grant_(f, i)->member_count; k++)
			assert_true(++helper_parts[grant_(f, i)->member[k].endpoint_id] <= 16);
	fixture_free_(f);
}

/* Long prompts avoid engines with a running stream that has a short event gap. */
static void long_prompts_avoid_engines_with_tight_streams_(void **state)
{
	Fixture *f = fixture_new_(ENGINES);
	BH__Ask short_ask = ask_(f, SHORT);
	BH__Ask long_ask = ask_(f, LONG);

	(void)state;
	bh__planner_process_ask(f->planner, &short_ask, 1000);
	bh__planner_process_progress(f->planner, grant_(f, 0)->grant_id, 40 * MS);
	bh__planner_process_ask(f->planner, &long_ask, 50 * MS);
	assert_true(grant_(f, 1)->member_count > 8);
	for (unsigned i = 0; i < grant_(f, 1)->member_count; i++)
		assert_true(grant_(f, 1)->member[i].endpoint_id != grant_(f, 0)->member[0].endpoint_id);
	fixture_free_(f);
}

/* A short prompt that arrives just after a long one still finds an engine without a long iteration. */
static void a_long_prompt_leaves_an_engine_for_short_ones_(void **state)
{
	Fixture *f = fixture_new_(ENGINES);
	BH__Ask long_ask = ask_(f, LONG);
	BH__Ask short_ask = ask_(f, SHORT);

	(void)state;
	bh__planner_process_ask(f->planner, &long_ask, 1000);
	bh__planner_process_ask(f->planner, &short_ask, 2000);
	assert_int_equal(f->grants->len, 2);
	assert_true(grant_(f, 1)->expected_us < 60 * MS);
	fixture_free_(f);
}

static void a_prompt_larger_than_one_engine_uses_memory_of_two_(void **state)
{
	Fixture *f = fixture_new_(ENGINES);
	BH__Ask a = ask_(f, OVERSIZED);
	uint64_t kv = 0;
	unsigned holders = 0;

	(void)state;
	bh__planner_process_ask(f->planner, &a, 1000);
	for (unsigned i = 0; i < grant_(f, 0)->member_count; i++) {
		assert_true(grant_(f, 0)->member[i].kv_bytes <= 450000);
		kv += grant_(f, 0)->member[i].kv_bytes;
		holders += grant_(f, 0)->member[i].kv_bytes > 0;
	}
	assert_int_equal(kv, OVERSIZED + 1000);
	assert_int_equal(holders, 2);
	/* the node fails: the memory on the helper has to be freed */
	bh__planner_process_node_gone(f->planner, 1, 2000);
	assert_int_equal(f->abandoned, 1);
	fixture_free_(f);
}

/* An engine restarts under the same id. Guards against a planner that still counts the memory and the parts
 * of the earlier incarnation, or keeps the engine ejected for its failure. */
static void a_restarted_engine_holds_nothing_(void **state)
{
	Fixture *f = fixture_new_(2);
	BH__PlannerEngine e;
	unsigned others = 0;
	guint before;

	(void)state;
	for (unsigned i = 0; i < 8; i++) {
		BH__Ask a = ask_(f, MEDIUM);
		bh__planner_process_ask(f->planner, &a, i * MS);
	}
	before = f->grants->len;
	bh__planner_refuse_all(f->planner, BH__REASON_OVERLOAD); /* the queued requests */
	bh__planner_process_release(f->planner, grant_(f, 0)->grant_id, BH__RELEASE_LOST, 1, 20 * MS);
	bh__planner_set_endpoint(f->planner, 1, 1, false, 21 * MS);
	for (guint i = 1; i < before; i++) /* late releases belong to the earlier incarnation */
		if (grant_(f, i)->member[0].endpoint_id == 1)
			bh__planner_process_release(f->planner, grant_(f, i)->grant_id, BH__RELEASE_LOST, 1, 22 * MS);
	for (unsigned i = 0; i < bh__planner_get_engine_count(f->planner); i++) {
		bh__planner_get_engine(f->planner, i, &e);
		others += e.endpoint_id != 1;
		if (e.endpoint_id != 1)
			continue;
		assert_int_equal(e.kv_used_tokens, 0);
		assert_int_equal(e.primaries, 0);
		assert_int_equal(e.helper_parts, 0);
		assert_true(e.prefill_left_ms == 0);
	}
	assert_int_equal(others, 1);
	g_array_set_size(f->grants, 0);
	others = 0;
	for (unsigned i = 0; i < 10; i++) {
		BH__Ask a = ask_(f, UNOBSERVED);
		bh__planner_process_ask(f->planner, &a, 23 * MS);
	}
	for (guint i = 0; i < f->grants->len; i++)
		others += grant_(f, i)->member[0].endpoint_id != 1;
	assert_in_range(others, 0, f->grants->len - 1); /* the restarted engine gets its share at once */
	fixture_free_(f);
}

static void a_failed_engine_gets_no_new_prompts_(void **state)
{
	Fixture *f = fixture_new_(2);
	BH__Ask first = ask_(f, SHORT);
	uint64_t failed_id;

	(void)state;
	bh__planner_process_ask(f->planner, &first, 1000);
	failed_id = grant_(f, 0)->member[0].endpoint_id;
	bh__planner_process_release(f->planner, grant_(f, 0)->grant_id, BH__RELEASE_FAILED, failed_id, 2000);
	for (unsigned i = 1; i < 5; i++) {
		BH__Ask a = ask_(f, SHORT);
		bh__planner_process_ask(f->planner, &a, 3000 + i * 20 * MS); /* it may wait for the previous one */
		bh__planner_process_tick(f->planner, 3000 + i * 20 * MS + 19 * MS);
		assert_true(grant_(f, i)->member[0].endpoint_id != failed_id);
	}
	fixture_free_(f);
}

static double prefill_left_ms_(const Fixture *f)
{
	double ms = 0;

	for (unsigned i = 0; i < bh__planner_get_engine_count(f->planner); i++) {
		BH__PlannerEngine e;
		bh__planner_get_engine(f->planner, i, &e);
		ms += e.prefill_left_ms;
	}
	return ms;
}

/* An engine whose connection breaks may continue a prefill that nobody waits for. An engine that refuses or
 * ends a request does not. */
static void lost_requests_stay_in_the_backlog_(void **state)
{
	static const BH__ReleaseKind Kind[] = {BH__RELEASE_FAILED, BH__RELEASE_DONE, BH__RELEASE_LOST};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Kind); i++) {
		Fixture *f = fixture_new_(ENGINES);
		BH__Ask a = ask_(f, LONG);
		bh__planner_process_ask(f->planner, &a, 1000);
		assert_true(prefill_left_ms_(f) > 2000);
		bh__planner_process_release(f->planner, grant_(f, 0)->grant_id, Kind[i], 1, 2000);
		assert_int_equal(prefill_left_ms_(f) > 2000, Kind[i] == BH__RELEASE_LOST);
		fixture_free_(f);
	}
}

static void without_engines_requests_are_refused_at_once_(void **state)
{
	Fixture *f = fixture_new_(0);
	BH__Ask a = ask_(f, SHORT);

	(void)state;
	bh__planner_process_ask(f->planner, &a, 1000);
	assert_int_equal(f->refused, 1);
	assert_int_equal(f->grants->len, 0);
	fixture_free_(f);
}

/* A node repeats an ask if it gets no answer. The planner answers it again with the same grant. */
static void a_repeated_ask_is_granted_once_(void **state)
{
	Fixture *f = fixture_new_(2);
	BH__Ask a = ask_(f, SHORT);

	(void)state;
	bh__planner_process_ask(f->planner, &a, 1000);
	bh__planner_process_ask(f->planner, &a, 2000);
	assert_int_equal(f->grants->len, 2);
	assert_true(grant_(f, 0)->grant_id == grant_(f, 1)->grant_id);
	fixture_free_(f);
}

/* Released grants leave nothing in the ledger. */
static void the_ledger_is_empty_after_all_releases_(void **state)
{
	Fixture *f = fixture_new_(ENGINES);

	(void)state;
	for (unsigned i = 0; i < 30; i++) {
		BH__Ask a = ask_(f, i % 5 ? SHORT : i % 2 ? OVERSIZED : LONG);
		bh__planner_process_ask(f->planner, &a, i * 50 * MS);
	}
	for (guint i = 0; i < f->grants->len; i++) {
		if (i % 2)
			bh__planner_process_progress(f->planner, grant_(f, i)->grant_id, 2 * BH__SECOND_US);
		bh__planner_process_release(f->planner, grant_(f, i)->grant_id, BH__RELEASE_DONE, 0,
									3 * BH__SECOND_US);
	}
	for (unsigned i = 0; i < ENGINES; i++) {
		BH__PlannerEngine e;
		bh__planner_get_engine(f->planner, i, &e);
		assert_int_equal(e.primaries, 0);
		assert_int_equal(e.helper_parts, 0);
		assert_int_equal(e.streams, 0);
		assert_int_equal(e.kv_used_tokens, 0);
	}
	fixture_free_(f);
}

/* A node's list of held grants enters these in the ledger of a new scheduler, and removes the node's grants
 * that the list does not name. */
static void holds_correct_the_ledger_(void **state)
{
	Fixture *old = fixture_new_(ENGINES);
	Fixture *f = fixture_new_(ENGINES);
	BH__Ask first = ask_(old, LONG);
	BH__Ask second = ask_(old, SHORT);
	BH__PlannerEngine e;
	unsigned primaries = 0;

	(void)state;
	bh__planner_process_ask(old->planner, &first, 1000);
	bh__planner_process_ask(old->planner, &second, 1000);
	bh__planner_process_hold(f->planner, 1, 1, true, grant_(old, 0), 2, 2000);
	for (unsigned i = 0; i < ENGINES; i++) {
		bh__planner_get_engine(f->planner, i, &e);
		primaries += e.primaries;
	}
	assert_int_equal(primaries, 2);
	bh__planner_process_hold(f->planner, 1, 1, false, grant_(old, 0), 1, 10 * BH__SECOND_US);
	primaries = 0;
	for (unsigned i = 0; i < ENGINES; i++) {
		bh__planner_get_engine(f->planner, i, &e);
		primaries += e.primaries;
	}
	assert_int_equal(primaries, 1);
	fixture_free_(f);
	fixture_free_(old);
}

/* If a first event is much too late, the planner inspects all engines that prefilled for it, each at most
 * once a second. */
static void slow_engines_are_inspected_(void **state)
{
	Fixture *f = fixture_new_(ENGINES);
	BH__Ask a = ask_(f, LONG);
	BH__Ask again = ask_(f, LONG);

	(void)state;
	bh__planner_process_ask(f->planner, &a, 1000);
	bh__planner_process_progress(f->planner, grant_(f, 0)->grant_id, 2 * BH__SECOND_US);
	assert_int_equal(f->inspected, grant_(f, 0)->member_count);
	bh__planner_process_slowdown(f->planner, grant_(f, 0)->member[1].endpoint_id, 4, 2 * BH__SECOND_US);
	bh__planner_process_ask(f->planner, &again, 2 * BH__SECOND_US + 10 * MS);
	for (unsigned i = 0; i < grant_(f, 1)->member_count; i++)
		assert_true(grant_(f, 1)->member[i].endpoint_id != grant_(f, 0)->member[1].endpoint_id);
	fixture_free_(f);
}

/* An engine with an overdue answer gets no new prompt until an answer begins there. */
static void engines_with_overdue_answers_get_no_new_prompts_(void **state)
{
	Fixture *f = fixture_new_(2);
	BH__Ask a = ask_(f, UNOBSERVED);
	uint64_t overdue, now_us;

	(void)state;
	bh__planner_process_ask(f->planner, &a, 0);
	overdue = grant_(f, 0)->member[0].endpoint_id;
	now_us = grant_(f, 0)->expected_us + 150 * MS; /* the first event is still missing */
	for (unsigned i = 1; i <= 3; i++) {
		a = ask_(f, UNOBSERVED);
		bh__planner_process_ask(f->planner, &a, now_us);
		now_us += 19 * MS; /* it may wait for the previous one */
		bh__planner_process_tick(f->planner, now_us);
		assert_int_not_equal(grant_(f, i)->member[0].endpoint_id, overdue);
	}
	bh__planner_process_progress(f->planner, grant_(f, 0)->grant_id, now_us);
	a = ask_(f, UNOBSERVED);
	bh__planner_process_ask(f->planner, &a, now_us + 1);
	assert_int_equal(grant_(f, 4)->member[0].endpoint_id, overdue);
	fixture_free_(f);
}

/* A planner that receives a complete ledger from another node has the same state, including the progress of
 * the prefill. */
static void a_full_hold_transfers_the_ledger_(void **state)
{
	Fixture *a = fixture_new_(4);
	Fixture *f = fixture_new_(4);
	GArray *all = g_array_new(FALSE, FALSE, sizeof(BH__Grant));
	BH__Ask ask = ask_(a, 100000);
	BH__EngineModel m = model_();
	double complete_ms = bh__engine_model_prefill_ms(&m, 100000, 1);
	uint64_t half_us;

	(void)state;
	bh__planner_process_ask(a->planner, &ask, 0);
	half_us = grant_(a, 0)->expected_us / 2;
	bh__planner_process_tick(a->planner, half_us);
	bh__planner_list_grants(a->planner, all, half_us);
	assert_int_equal(all->len, 1);
	bh__planner_process_hold(f->planner, 9, 9, true, (const BH__Grant *)(void *)all->data, all->len, half_us);
	assert_true(prefill_left_ms_(f) > 0);
	assert_true(prefill_left_ms_(f) < complete_ms * 0.6);
	g_array_unref(all);
	fixture_free_(a);
	fixture_free_(f);
}

/* A long prompt that is late already goes to idle engines, but not while many long prompts arrive that can be
 * in time. */
static void late_prompts_use_idle_engines_(void **state)
{
	(void)state;
	for (unsigned loaded = 0; loaded <= 1; loaded++) {
		Fixture *f = fixture_new_(4);
		BH__Ask late = ask_(f, 400000);
		late.first_event_us = 1;
		late.max_tokens = 100;
		late.deadline_us = 12 * BH__SECOND_US;
		for (unsigned i = 0; i < loaded * 3; i++) {
			BH__Ask fresh = ask_(f, 250000);
			bh__planner_process_ask(f->planner, &fresh, i * MS);
			bh__planner_process_withdraw(f->planner, fresh.ask_id);
		}
		for (unsigned i = 0; i < f->grants->len; i++)
			bh__planner_process_release(f->planner, grant_(f, i)->grant_id, BH__RELEASE_DONE, BH__NO_ENDPOINT,
										10 * MS);
		f->grants->len = 0;
		bh__planner_process_ask(f->planner, &late, 500 * MS);
		bh__planner_process_tick(f->planner, 510 * MS);
		assert_int_equal(f->grants->len, loaded ? 0 : 1);
		fixture_free_(f);
	}
}

/* Nodes that plan locally, each of which knows its own requests only, do not all choose the same engine. */
static void local_planners_choose_different_engines_(void **state)
{
	enum { NODES = 9 };
	bool used[ENGINES + 1] = {false};
	unsigned distinct = 0;

	(void)state;
	for (uint64_t node = 1; node <= NODES; node++) {
		Fixture *f = fixture_new_(0);
		BH__Ask a = ask_(f, SHORT);
		BH__EngineModel m = model_();
		bh__planner_delete(f->planner);
		f->planner = bh__planner_new(&f->port, 3, node * 77);
		bh__planner_set_model(f->planner, &m);
		bh__planner_set_local(f->planner, true);
		for (unsigned i = 1; i <= ENGINES; i++)
			bh__planner_set_endpoint(f->planner, i, 0, false, 0);
		bh__planner_process_ask(f->planner, &a, 1000);
		distinct += !used[grant_(f, 0)->member[0].endpoint_id];
		used[grant_(f, 0)->member[0].endpoint_id] = true;
		fixture_free_(f);
	}
	assert_true(distinct >= NODES / 2);
}

static void add_part_(BH__IterationClock *c, uint64_t grant_id, double ms, bool for_helper, uint64_t due_us,
					  uint64_t now_us)
{
	BH__PrefillPart p = {.grant_id = grant_id,
						 .due_us = due_us,
						 .target_us = due_us,
						 .utility = 1,
						 .left_ms = ms,
						 .for_helper = for_helper};

	bh__iteration_clock_add_part(c, &p, now_us);
}

/* A prefill that ends earlier than predicted removes its own part from the backlog, once, and leaves the
 * others. Guards against a clock that advances by the time gained: engines then seemed free with most of a
 * long prompt left, and short prompts sent there waited for it. */
static void an_early_prefill_affects_its_own_part_only_(void **state)
{
	BH__EngineModel m = model_();
	BH__IterationClock c;

	(void)state;
	bh__iteration_clock_init(&c);
	add_part_(&c, 1, 500, true, 3000 * MS, 0);
	add_part_(&c, 2, 100, true, 3000 * MS, 0);
	add_part_(&c, 3, 100, true, 3000 * MS, 0);
	bh__iteration_clock_advance(&c, &m, 50 * MS);
	assert_true(bh__iteration_clock_get_backlog_ms(&c) == 650);
	bh__iteration_clock_note_prefilled(&c, &m, 3, false, 50 * MS);
	assert_true(bh__iteration_clock_get_backlog_ms(&c) == 600);
	bh__iteration_clock_note_prefilled(&c, &m, 3, false, 50 * MS);
	assert_true(bh__iteration_clock_get_backlog_ms(&c) == 600);
	bh__iteration_clock_note_prefilled(&c, &m, 2, false, 50 * MS);
	assert_true(bh__iteration_clock_get_backlog_ms(&c) == 500);
	bh__iteration_clock_clear(&c);
}

/* A part granted just before an iteration begins reaches the engine too late for it. */
static void a_part_just_granted_misses_the_next_iteration_(void **state)
{
	BH__EngineModel m = model_();
	BH__IterationClock c;

	(void)state;
	bh__iteration_clock_init(&c);
	bh__iteration_clock_begin_stream(&c, &m, 1000, 0); /* an iteration of 43 ms */
	bh__iteration_clock_advance(&c, &m, 38 * MS);
	assert_true(bh__iteration_clock_predict_prefill_end(&c, &m, 100, true, 38 * MS) > 220 * MS);
	add_part_(&c, 1, 100, true, 3000 * MS, 38 * MS);
	bh__iteration_clock_advance(&c, &m, 60 * MS);
	assert_true(bh__iteration_clock_get_backlog_ms(&c) == 100);
	bh__iteration_clock_advance(&c, &m, 90 * MS);
	assert_true(bh__iteration_clock_get_backlog_ms(&c) == 0);
	assert_true(bh__iteration_clock_get_iteration_left_ms(&c, 90 * MS) > 130);
	bh__iteration_clock_clear(&c);
}

/* The answer to a prompt that several engines prefill begins when the last of them finishes. It does not end
 * the iterations of the others. */
static void an_answer_with_helpers_ends_no_iteration_(void **state)
{
	BH__EngineModel m = model_();
	BH__IterationClock c;

	(void)state;
	bh__iteration_clock_init(&c);
	bh__iteration_clock_begin_stream(&c, &m, 1000, 0);
	add_part_(&c, 1, 100, true, 3000 * MS, 10 * MS);
	add_part_(&c, 2, 300, true, 3000 * MS, 10 * MS);
	bh__iteration_clock_advance(&c, &m, 200 * MS);
	bh__iteration_clock_note_prefilled(&c, &m, 1, false, 200 * MS);
	assert_true(bh__iteration_clock_get_iteration_left_ms(&c, 200 * MS) > 250);
	assert_true(bh__iteration_clock_get_backlog_ms(&c) == 0);
	bh__iteration_clock_clear(&c);
}

/* The pause of a stream shows when an iteration ended and how long it was. Parts that arrived after its start
 * belong to the next iteration, including those already counted as prefilled. */
static void an_observed_iteration_corrects_the_clock_(void **state)
{
	BH__EngineModel m = model_();
	BH__IterationClock c;

	(void)state;
	bh__iteration_clock_init(&c);
	bh__iteration_clock_begin_stream(&c, &m, 1000, 0);
	add_part_(&c, 1, 200, true, 3000 * MS, 10 * MS);
	bh__iteration_clock_advance(&c, &m, 290 * MS); /* predicted prefill: from 43 ms to 286 ms */
	add_part_(&c, 2, 150, true, 3000 * MS, 290 * MS);
	bh__iteration_clock_advance(&c, &m, 330 * MS);
	bh__iteration_clock_note_iteration(&c, &m, 288 * MS, 330 * MS);
	assert_true(bh__iteration_clock_get_backlog_ms(&c) == 0);
	assert_true(fabs(bh__iteration_clock_get_iteration_left_ms(&c, 330 * MS) - 193) < 2);
	bh__iteration_clock_note_iteration(&c, &m, 5000 * MS,
									   340 * MS); /* ignored: a stalled connection of the caller */
	assert_true(fabs(bh__iteration_clock_get_iteration_left_ms(&c, 340 * MS) - 183) < 2);
	bh__iteration_clock_clear(&c);

	bh__iteration_clock_init(&c);
	bh__iteration_clock_begin_stream(&c, &m, 1000, 0);
	add_part_(&c, 1, 200, true, 3000 * MS, 10 * MS);
	bh__iteration_clock_advance(&c, &m, 300 * MS);
	bh__iteration_clock_note_iteration(&c, &m, 290 * MS, 300 * MS); /* it began before the part arrived */
	assert_true(fabs(bh__iteration_clock_get_iteration_left_ms(&c, 300 * MS) - 243) < 2);
	bh__iteration_clock_note_prefilled(&c, &m, 1, false, 310 * MS);
	bh__iteration_clock_note_iteration(&c, &m, 100 * MS, 320 * MS);
	assert_true(bh__iteration_clock_get_iteration_left_ms(&c, 320 * MS) < 45);
	bh__iteration_clock_clear(&c);
}

/* An engine with streams takes part in the prefill of an answer with helpers. The first pause of that answer
 * is the rest of the current iteration plus the whole next one. Guards against parts that each keep only the
 * next iteration within the event gap: they caused 46 of 62 long pauses in a simulated day of 60 engines. */
static void the_first_pause_spans_two_iterations_(void **state)
{
	Fixture *f = fixture_new_(2);
	BH__Grant g = {.grant_id = 900, .node_id = 2, .member_count = 1, .event_gap_us = 500 * MS};
	uint64_t now_us = BH__SECOND_US;
	double share_of_first = 0;

	(void)state;
	for (uint64_t engine = 1; engine <= 2; engine++) { /* each engine has a stream */
		g.grant_id++;
		g.member[0] = (BH__GrantMember){.endpoint_id = engine, .token_count = MEDIUM, .kv_bytes = MEDIUM};
		bh__planner_process_remote_grant(f->planner, &g, now_us);
		bh__planner_process_progress(f->planner, g.grant_id, now_us + 300 * MS);
	}
	g = (BH__Grant){.grant_id = 910, .node_id = 2, .member_count = 2, .event_gap_us = 500 * MS};
	g.member[0] = (BH__GrantMember){.endpoint_id = 1, .token_count = MEDIUM / 2, .kv_bytes = MEDIUM};
	g.member[1] = (BH__GrantMember){.endpoint_id = 2, .token_count = MEDIUM / 2};
	now_us += 310 * MS;
	bh__planner_process_remote_grant(f->planner, &g, now_us);
	now_us += 55 * MS; /* its parts are in the current iteration */
	for (unsigned i = 0; i < 3; i++) {
		BH__Ask a = ask_(f, MEDIUM);
		bh__planner_process_ask(f->planner, &a, now_us);
	}
	for (guint i = 0; i < f->grants->len; i++)
		for (unsigned k = 0; k < grant_(f, i)->member_count; k++)
			if (grant_(f, i)->member[k].endpoint_id == 1)
				share_of_first += (double)grant_(f, i)->member[k].token_count / MEDIUM;
	/* shares of 295 ms, besides 140 ms left of the current iteration and 43 ms for the streams */
	assert_true(share_of_first < 0.9);
	for (unsigned i = 0; i < 40; i++)
		bh__planner_process_tick(f->planner, now_us += 10 * MS);
	assert_true(f->grants->len > 0); /* in a later iteration */
	fixture_free_(f);
}

/* An engine prefills parts for other engines before its own prompts, the newest first. Its own prompts follow
 * in the order of arrival. */
static void the_newest_helper_part_is_prefilled_first_(void **state)
{
	BH__EngineModel m = model_();
	BH__IterationClock c;

	(void)state;
	bh__iteration_clock_init(&c);
	add_part_(&c, 1, 50, false, 0, 0);
	add_part_(&c, 2, 50, false, 0, 0);
	add_part_(&c, 3, 50, true, 0, 0);
	add_part_(&c, 4, 50, true, 0, 0);
	for (unsigned left = 4; left > 0; left--) {
		static const uint64_t Last[] = {0, 2, 2, 3, 4};
		assert_int_equal(c.parts->len, left);
		assert_int_equal(g_array_index(c.parts, BH__PrefillPart, left - 1).grant_id, Last[left]);
		bh__iteration_clock_advance(&c, &m, (uint64_t)(5 - left) * 50 * MS);
	}
	assert_int_equal(c.parts->len, 0);
	bh__iteration_clock_clear(&c);
}

/* A prefill takes the time of its tokens and attention pairs, plus that of the steps into which it is
 * divided. */
static void prefill_time_includes_the_steps_(void **state)
{
	BH__EngineModel m = model_();
	double steps = 100000.0 / m.tokens_per_step;
	double tokens_ms = 100000 / m.prefill_tokens_per_ms;
	double pairs_ms = 100000.0 * 100000 / 2 / 1e6 * m.per_megapair_ms;
	double prefill_ms = bh__engine_model_prefill_ms(&m, 100000, 1);

	(void)state;
	assert_true(fabs(prefill_ms - (tokens_ms + pairs_ms + steps * m.step_ms)) < 0.001);
	assert_true(fabs(bh__engine_model_prefill_ms(&m, 100000, 4) - prefill_ms / 4) < 0.001);
}

/* Without streams, the predicted prefill of a part for another engine starts at once, and that of an own
 * prompt after all waiting parts. */
static void predictions_follow_the_prefill_order_(void **state)
{
	BH__EngineModel m = model_();
	BH__IterationClock c;

	(void)state;
	bh__iteration_clock_init(&c);
	add_part_(&c, 1, 500, true, 0, 0);
	assert_true(bh__iteration_clock_predict_prefill_end(&c, &m, 100, true, 0) < 110 * MS);
	assert_true(bh__iteration_clock_predict_prefill_end(&c, &m, 100, false, 0) > 600 * MS);
	bh__iteration_clock_begin_stream(&c, &m, 1000, 0);
	assert_true(bh__iteration_clock_predict_prefill_end(&c, &m, 100, true, 0) > 600 * MS);
	bh__iteration_clock_clear(&c);
}

/* A part may overtake others only if it is much shorter and makes none of them late. */
static void a_part_overtakes_only_parts_with_enough_slack_(void **state)
{
	BH__EngineModel m = model_();
	BH__IterationClock c;

	(void)state;
	bh__iteration_clock_init(&c);
	assert_true(bh__iteration_clock_get_headroom_ms(&c, &m, 0) > 1e6);
	add_part_(&c, 1, 400, true, 3000 * MS, 0);
	assert_true(bh__iteration_clock_get_headroom_ms(&c, &m, 0) < 300);
	assert_true(bh__iteration_clock_get_headroom_ms(&c, &m, 0) > 50);
	/* in time with a slack of 430 ms; that of the first part is 2200 ms */
	add_part_(&c, 2, 400, true, 830 * MS, 0);
	/* in time with a slack of 850 ms, which leaves 30 ms for the second part */
	add_part_(&c, 3, 400, true, 1250 * MS, 0);
	assert_true(bh__iteration_clock_get_headroom_ms(&c, &m, 0) <= 31);
	assert_true(bh__iteration_clock_get_delay_cost(&c, 20, 0) == 0);
	assert_true(bh__iteration_clock_get_delay_cost(&c, 40, 0) == 1);
	assert_true(bh__iteration_clock_get_delay_cost(&c, 5000, 0) == 3);
	bh__iteration_clock_clear(&c);
}

/* A part that is past its due time but can still meet its target limits the headroom like any other. Guards
 * against a planner that takes such a part for late: newer parts then overtake it, and it starves for
 * seconds. */
static void a_part_limits_the_headroom_until_its_target_(void **state)
{
	BH__EngineModel m = model_();
	BH__PrefillPart p = {.grant_id = 1,
						 .due_us = 350 * MS,
						 .target_us = 450 * MS,
						 .utility = 1,
						 .left_ms = 400,
						 .for_helper = true};
	BH__IterationClock c;

	(void)state;
	bh__iteration_clock_init(&c);
	bh__iteration_clock_add_part(&c, &p, 0);
	assert_true(bh__iteration_clock_get_headroom_ms(&c, &m, 0) <= 51);
	assert_true(bh__iteration_clock_get_delay_cost(&c, 40, 0) == 0);
	assert_true(bh__iteration_clock_get_delay_cost(&c, 60, 0) == 1);
	bh__iteration_clock_clear(&c);
}

/* Sets an advertised limit of `per_s` requests per second on the engines from 1 to `engines`. */
static void set_advertised_limits_(Fixture *f, unsigned engines, double per_s)
{
	const BH__Limit limit[BH__LIMIT_KIND_COUNT] = {
		[BH__LIMIT_ADVERTISED] = {.per_s = per_s, .until_us = BH__LIMIT_NO_END}};

	for (unsigned i = 1; i <= engines; i++)
		bh__planner_set_limits(f->planner, i, limit, 0);
}

/* Returns how often the grants from index `first` on name an engine. */
static unsigned count_parts_(const Fixture *f, unsigned first, uint64_t endpoint_id)
{
	unsigned parts = 0;

	for (unsigned i = first; i < f->grants->len; i++)
		for (unsigned k = 0; k < grant_(f, i)->member_count; k++)
			parts += grant_(f, i)->member[k].endpoint_id == endpoint_id;
	return parts;
}

/* A part prefilled for another engine counts against the limit as a request, and a limited helper holds no
 * memory for it. */
static void limited_engines_get_no_more_parts_than_their_limit_(void **state)
{
	Fixture *f = fixture_new_(ENGINES);
	const unsigned limited = ENGINES - 4;
	const uint64_t every_us = 250 * MS;
	unsigned helped = 0;

	(void)state;
	bh__planner_set_rate_share(f->planner, 1, 0);
	set_advertised_limits_(f, limited, 2);
	for (unsigned i = 0; i < 40; i++) {
		BH__Ask a = ask_(f, LONG);
		unsigned first = f->grants->len;
		bh__planner_process_ask(f->planner, &a, (i + 1) * every_us);
		for (unsigned k = first; k < f->grants->len; k++)
			bh__planner_process_release(f->planner, grant_(f, k)->grant_id, BH__RELEASE_DONE, 0,
										(i + 1) * every_us + 200 * MS);
		for (unsigned k = first; k < f->grants->len; k++)
			for (unsigned m = 1; m < grant_(f, k)->member_count; m++)
				assert_true(grant_(f, k)->member[m].endpoint_id > limited ||
							!grant_(f, k)->member[m].kv_bytes);
	}
	assert_true(count_parts_(f, 0, ENGINES) > 30);
	for (unsigned e = 1; e <= limited; e++) {
		helped += count_parts_(f, 0, e);
		assert_in_range(count_parts_(f, 0, e), 0, 2 * 10 + 2);
	}
	assert_in_range(helped, 2 * 10, limited * (2 * 10 + 2));
	fixture_free_(f);
}

/* If all engines are limited, asks beyond the limits are refused at once and get a time to retry after. */
static void asks_beyond_the_limits_are_refused_at_once_(void **state)
{
	Fixture *f = fixture_new_(2);

	(void)state;
	bh__planner_set_rate_share(f->planner, 1, 0);
	set_advertised_limits_(f, 2, 1);
	for (unsigned i = 0; i < 30; i++) {
		BH__Ask a = ask_(f, SHORT);
		bh__planner_process_ask(f->planner, &a, 10 * BH__SECOND_US);
	}
	assert_in_range(f->grants->len, 2, 4);
	assert_in_range(f->refused, 20, 27);
	assert_in_range(f->retry_after_ms, 1000, 3000);
	fixture_free_(f);
}

/* An overloaded engine that advertises a limit gets no report request either, however late its answers
 * are. */
static void limited_engines_are_not_inspected_(void **state)
{
	Fixture *f = fixture_new_(3);
	BH__Ask a = ask_(f, MEDIUM);

	(void)state;
	bh__planner_set_rate_share(f->planner, 1, 0);
	set_advertised_limits_(f, 3, 50);
	bh__planner_process_ask(f->planner, &a, BH__SECOND_US);
	assert_true(grant_(f, 0)->member_count > 1);
	bh__planner_process_progress(f->planner, grant_(f, 0)->grant_id, 4 * BH__SECOND_US);
	assert_int_equal(f->inspected, 0);
	fixture_free_(f);
}

/* A node that plans locally does not know the requests of the others, so it sends none to limited engines. */
static void local_planners_avoid_limited_engines_(void **state)
{
	Fixture *f = fixture_new_(3);

	(void)state;
	bh__planner_set_local(f->planner, true);
	set_advertised_limits_(f, 2, 100);
	for (unsigned i = 0; i < 5; i++) {
		BH__Ask a = ask_(f, SHORT);
		bh__planner_process_ask(f->planner, &a, (i + 1) * BH__SECOND_US);
	}
	assert_int_equal(f->grants->len, 5);
	assert_int_equal(count_parts_(f, 0, 3), 5);
	fixture_free_(f);
}

/* Sets backoffs of the engines from `first` to `last` for the node that asks. */
static void set_backoffs_(BH__Ask *a, unsigned first, unsigned last)
{
	a->backoff_count = 0;
	for (unsigned i = first; i <= last; i++)
		a->backoff[a->backoff_count++] = i;
}

/* Engines in backoff for a node get none of its requests, as primaries or as helpers, both when idle and
 * under load, while other nodes use them. */
static void backoffs_apply_to_one_node_only_(void **state)
{
	Fixture *f = fixture_new_(ENGINES);
	const uint64_t prompts[] = {SHORT, MEDIUM, LONG, OVERSIZED};
	unsigned others = 0;

	(void)state;
	for (unsigned round = 0; round < 40; round++) {
		BH__Ask a = ask_(f, prompts[round % 4]);
		a.node_id = 1 + round % 2;
		if (a.node_id == 1)
			set_backoffs_(&a, 5, ENGINES);
		bh__planner_process_ask(f->planner, &a, round * 20 * MS);
		bh__planner_process_tick(f->planner, round * 20 * MS + 10 * MS);
	}
	for (unsigned ms = 800; ms < 6000; ms += 10)
		bh__planner_process_tick(f->planner, ms * MS);
	assert_true(f->grants->len > 20);
	for (unsigned i = 0; i < f->grants->len; i++) {
		const BH__Grant *g = grant_(f, i);
		for (unsigned k = 0; k < g->member_count; k++) {
			assert_true(g->node_id == 2 || g->member[k].endpoint_id < 5);
			others += g->node_id == 2 && g->member[k].endpoint_id >= 5;
		}
	}
	assert_true(others > 0);
	fixture_free_(f);
}

/* An ask is refused at once if all usable engines are in backoff for its node. The ask of another
 * node is granted. */
static void an_ask_with_backoffs_from_all_engines_is_refused_at_once_(void **state)
{
	Fixture *f = fixture_new_(3);
	BH__Ask a = ask_(f, SHORT);
	BH__Ask other = ask_(f, SHORT);

	(void)state;
	set_backoffs_(&a, 1, 2);
	bh__planner_set_endpoint(f->planner, 3, 0, true, 0);
	bh__planner_process_ask(f->planner, &a, 1000);
	assert_int_equal(f->refused, 1);
	assert_int_equal(f->queued, 0);
	bh__planner_process_ask(f->planner, &other, 1000);
	assert_int_equal(f->grants->len, 1);
	fixture_free_(f);
}

/* A waiting ask is repeated with the current backoffs of its node. It gets an engine whose backoff has ended,
 * and none whose backoff has begun meanwhile. */
static void a_waiting_ask_follows_changed_backoffs_(void **state)
{
	Fixture *f = fixture_new_(2);
	BH__Ask first = ask_(f, SHORT);
	BH__Ask a = ask_(f, SHORT);

	(void)state;
	set_backoffs_(&first, 1, 1);
	bh__planner_process_ask(f->planner, &first, 1000);
	bh__planner_process_release(f->planner, grant_(f, 0)->grant_id, BH__RELEASE_FAILED, 2, 2000);
	set_backoffs_(&a, 1, 1);
	bh__planner_process_ask(f->planner, &a, 3000); /* the other engine is ejected */
	bh__planner_process_tick(f->planner, 10 * MS);
	assert_int_equal(f->grants->len, 1);
	set_backoffs_(&a, 2, 2);
	bh__planner_process_ask(f->planner, &a, 20 * MS);
	bh__planner_process_tick(f->planner, 30 * MS);
	assert_int_equal(f->grants->len, 2);
	assert_int_equal(grant_(f, 1)->member[0].endpoint_id, 1);
	fixture_free_(f);
}

/* If the engines without a backoff for the node are ejected for longer than the ask may wait, the ask is
 * refused at once, with the time until the first of them returns. */
static void an_ask_that_would_wait_too_long_is_refused_at_once_(void **state)
{
	Fixture *f = fixture_new_(2);
	BH__Ask a;

	(void)state;
	for (unsigned i = 0; i < 4; i++) { /* each failure ejects engine 2 for longer, up to 4 s */
		a = ask_(f, SHORT);
		set_backoffs_(&a, 1, 1);
		bh__planner_process_ask(f->planner, &a, i * 10 * BH__SECOND_US);
		bh__planner_process_release(f->planner, grant_(f, i)->grant_id, BH__RELEASE_FAILED, 2,
									i * 10 * BH__SECOND_US + MS);
	}
	a = ask_(f, SHORT);
	set_backoffs_(&a, 1, 1);
	bh__planner_process_ask(f->planner, &a, 30 * BH__SECOND_US + 1000 * MS);
	assert_int_equal(f->refused, 1);
	assert_in_range(f->retry_after_ms, 2900, 3100);
	a = ask_(f, SHORT); /* the ask of another node goes to the other engine */
	bh__planner_process_ask(f->planner, &a, 30 * BH__SECOND_US + 1000 * MS);
	assert_int_equal(f->grants->len, 5);
	a = ask_(f, SHORT); /* engine 2 is back; its backoff is shorter than its ejection would be */
	set_backoffs_(&a, 1, 1);
	bh__planner_process_ask(f->planner, &a, 40 * BH__SECOND_US);
	bh__planner_process_backoff(f->planner, 2, 2000 * MS, 40 * BH__SECOND_US);
	bh__planner_process_release(f->planner, grant_(f, 5)->grant_id, BH__RELEASE_FAILED, 2,
								40 * BH__SECOND_US);
	a = ask_(f, SHORT);
	set_backoffs_(&a, 1, 1);
	bh__planner_process_ask(f->planner, &a, 40 * BH__SECOND_US);
	assert_int_equal(f->refused, 2);
	assert_in_range(f->retry_after_ms, 1990, 2010);
	fixture_free_(f);
}

/* Two nodes that have lost their own links report that every engine fails. As soon as both have said so, the
 * requests of the others are placed at once. */
static void failures_of_nodes_that_lost_their_links_are_withdrawn_(void **state)
{
	Fixture *f = fixture_new_(3);
	BH__Ask a;

	(void)state;
	for (unsigned i = 0; i < 3; i++) {
		a = ask_(f, SHORT);
		a.node_id = 7 + i % 2;
		bh__planner_process_ask(f->planner, &a, i * MS);
		bh__planner_process_release(f->planner, grant_(f, i)->grant_id, BH__RELEASE_FAILED,
									grant_(f, i)->member[0].endpoint_id, i * MS);
	}
	assert_int_equal(bh__planner_count_ejected(f->planner, 10 * MS), 3);
	a = ask_(f, SHORT);
	bh__planner_process_ask(f->planner, &a, 10 * MS);
	assert_int_equal(f->queued, 1);
	bh__planner_withdraw_failures(f->planner, 7, 20 * MS);
	bh__planner_withdraw_failures(f->planner, 8, 20 * MS);
	assert_int_equal(bh__planner_count_ejected(f->planner, 20 * MS), 0);
	assert_int_equal(f->queued, 1);
	assert_int_equal(grant_(f, f->grants->len - 1)->ask_id, a.ask_id);
	fixture_free_(f);
}

/* An engine that two nodes report is still ejected when one of them takes its report back. */
static void what_other_nodes_reported_still_counts_(void **state)
{
	Fixture *f = fixture_new_(1);
	BH__Ask first = ask_(f, SHORT);
	BH__Ask second = ask_(f, SHORT);

	(void)state;
	first.node_id = 7;
	second.node_id = 8;
	bh__planner_process_ask(f->planner, &first, 0);
	bh__planner_process_progress(f->planner, grant_(f, 0)->grant_id, 30 * MS);
	bh__planner_process_ask(f->planner, &second, 300 * MS);
	bh__planner_process_tick(f->planner, 400 * MS);
	assert_int_equal(f->grants->len, 2);
	for (unsigned i = 0; i < 2; i++)
		bh__planner_process_release(f->planner, grant_(f, i)->grant_id, BH__RELEASE_FAILED, 1, 500 * MS);
	assert_int_equal(bh__planner_withdraw_failures(f->planner, 7, 510 * MS), 1);
	assert_int_equal(bh__planner_count_ejected(f->planner, 510 * MS), 1);
	assert_int_equal(bh__planner_withdraw_failures(f->planner, 8, 520 * MS), 1);
	assert_int_equal(bh__planner_count_ejected(f->planner, 520 * MS), 0);
	fixture_free_(f);
}

/* Has each of three engines fail a request, as when answers to requests of one kind are cut at any engine:
 * all are ejected at `at_us`. */
static void eject_all_(Fixture *f, uint64_t at_us)
{
	for (unsigned endpoint = 1; endpoint <= 3; endpoint++)
		bh__planner_process_release(f->planner, 0, BH__RELEASE_FAILED, endpoint, at_us);
	assert_int_equal(bh__planner_count_ejected(f->planner, at_us), 3);
}

/* Streams whose answers three engines cut, one after another, eject all of them for up to 4 s. Sound streams
 * after them wait until an engine has shown that it lives, and are placed there; none is refused. */
static void ejected_engines_that_live_are_used_if_all_are_ejected_(void **state)
{
	Fixture *f = fixture_new_(3);
	BH__Ask a = ask_(f, SHORT);

	(void)state;
	for (unsigned i = 0; i < 5; i++)
		eject_all_(f, (1000 + 100 * i) * MS);
	assert_int_equal(f->inspected, 5 * 3);
	bh__planner_process_ask(f->planner, &a, 1401 * MS);
	assert_int_equal(f->queued, 1);
	bh__planner_process_answer(f->planner, 2, 1400 * MS, true, 1410 * MS);
	assert_int_equal(f->grants->len, 1);
	assert_int_equal(grant_(f, 0)->member[0].endpoint_id, 2);
	bh__planner_process_answer(f->planner, 3, 1400 * MS, true, 1410 * MS);
	a = ask_(f, SHORT);
	bh__planner_process_ask(f->planner, &a, 3000 * MS);
	assert_int_equal(f->grants->len, 2);
	assert_int_not_equal(grant_(f, 1)->member[0].endpoint_id, 1);
	assert_int_equal(bh__planner_get_counters(f->planner)->last_resorts, 2);
	assert_int_equal(f->refused, 0);
	fixture_free_(f);
}

/* Engines that are dead, or were heard only before their last failure, get nothing: asks are refused after
 * 0.2 s at the latest, and later ones at once. */
static void ejected_engines_that_are_not_heard_get_nothing_(void **state)
{
	Fixture *f = fixture_new_(3);
	BH__Ask a = ask_(f, SHORT);

	(void)state;
	for (unsigned i = 0; i < 5; i++)
		eject_all_(f, (1000 + 100 * i) * MS);
	bh__planner_process_ask(f->planner, &a, 1401 * MS);
	bh__planner_process_answer(f->planner, 1, 1300 * MS, true,
							   1410 * MS); /* answers from before the failure */
	bh__planner_process_answer(f->planner, 2, 1349 * MS, true, 1410 * MS);
	bh__planner_process_tick(f->planner, 1599 * MS);
	assert_int_equal(f->refused, 0);
	bh__planner_process_tick(f->planner, 1601 * MS);
	assert_int_equal(f->refused, 1);
	assert_in_range(f->retry_after_ms, 3700, 3900);
	a = ask_(f, SHORT);
	bh__planner_process_ask(f->planner, &a, 1700 * MS);
	assert_int_equal(f->refused, 2);
	bh__planner_process_answer(f->planner, 1, 1400 * MS, true,
							   2410 * MS); /* a connection set up a second later */
	bh__planner_process_answer(f->planner, 2, 1500 * MS, true, 1510 * MS); /* asked for another reason */
	a = ask_(f, SHORT);
	bh__planner_process_ask(f->planner, &a, 1800 * MS);
	assert_int_equal(f->refused, 3);
	assert_int_equal(f->grants->len, 0);
	bh__planner_process_release(f->planner, 0, BH__RELEASE_FAILED, 3, 2500 * MS);
	bh__planner_process_answer(f->planner, 3, 2500 * MS, true, 2510 * MS); /* lives, and then fails again */
	bh__planner_process_release(f->planner, 0, BH__RELEASE_FAILED, 3, 2600 * MS);
	a = ask_(f, SHORT);
	bh__planner_process_ask(f->planner, &a, 2900 * MS);
	assert_int_equal(f->refused, 4);
	assert_int_equal(f->grants->len, 0);
	fixture_free_(f);
}

/* An ask does not wait for engines that are known not to answer, as those that refuse connections. */
static void asks_do_not_wait_for_engines_that_are_dead_(void **state)
{
	Fixture *f = fixture_new_(3);
	BH__Ask a = ask_(f, SHORT);

	(void)state;
	for (unsigned i = 0; i < 5; i++)
		eject_all_(f, (1000 + 100 * i) * MS);
	for (unsigned endpoint = 1; endpoint <= 2; endpoint++)
		bh__planner_process_answer(f->planner, endpoint, 1400 * MS, false, 1401 * MS);
	bh__planner_process_ask(f->planner, &a, 1402 * MS); /* the third one may answer */
	assert_int_equal(f->queued, 1);
	bh__planner_process_answer(f->planner, 3, 1400 * MS, false, 1403 * MS);
	assert_int_equal(f->refused, 1);
	a = ask_(f, SHORT);
	bh__planner_process_ask(f->planner, &a, 1410 * MS);
	assert_int_equal(f->refused, 2);
	assert_int_equal(f->grants->len, 0);
	fixture_free_(f);
}

/* While any engine is not ejected, those that are get nothing although they live. */
static void ejected_engines_get_nothing_while_others_are_not_(void **state)
{
	Fixture *f = fixture_new_(3);

	(void)state;
	for (unsigned endpoint = 1; endpoint <= 2; endpoint++)
		bh__planner_process_release(f->planner, 0, BH__RELEASE_FAILED, endpoint, 1000 * MS);
	for (unsigned endpoint = 1; endpoint <= 2; endpoint++)
		bh__planner_process_answer(f->planner, endpoint, 1001 * MS, true, 1010 * MS);
	for (unsigned i = 0; i < 6; i++) {
		BH__Ask a = ask_(f, SHORT);
		bh__planner_process_ask(f->planner, &a, (1020 + 60 * i) * MS);
		bh__planner_process_tick(f->planner, (1050 + 60 * i) * MS);
	}
	for (unsigned i = 0; i < f->grants->len; i++)
		assert_int_equal(grant_(f, i)->member[0].endpoint_id, 3);
	assert_int_not_equal(f->grants->len, 0);
	fixture_free_(f);
}

/* Thirty streams that break together on each engine cost it one request for its report, and an engine that
 * does not answer is not asked again: what answers later has been started since. */
static void ejected_engines_are_asked_once_(void **state)
{
	Fixture *f = fixture_new_(3);

	(void)state;
	for (unsigned i = 0; i < 30; i++)
		eject_all_(f, (1000 + i) * MS);
	assert_int_equal(f->inspected, 3);
	for (unsigned ms = 1030; ms < 3030; ms += 10) {
		BH__Ask a = ask_(f, SHORT);
		bh__planner_process_ask(f->planner, &a, ms * MS);
		bh__planner_process_tick(f->planner, ms * MS);
	}
	assert_int_equal(f->inspected, 3);
	assert_int_equal(f->grants->len, 0);
	eject_all_(f, 3100 * MS);
	assert_int_equal(f->inspected, 6);
	fixture_free_(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(ejected_engines_that_live_are_used_if_all_are_ejected_),
		cmocka_unit_test(ejected_engines_that_are_not_heard_get_nothing_),
		cmocka_unit_test(asks_do_not_wait_for_engines_that_are_dead_),
		cmocka_unit_test(ejected_engines_get_nothing_while_others_are_not_),
		cmocka_unit_test(ejected_engines_are_asked_once_),
		cmocka_unit_test(limited_engines_get_no_more_parts_than_their_limit_),
		cmocka_unit_test(asks_beyond_the_limits_are_refused_at_once_),
		cmocka_unit_test(local_planners_avoid_limited_engines_),
		cmocka_unit_test(backoffs_apply_to_one_node_only_),
		cmocka_unit_test(an_ask_with_backoffs_from_all_engines_is_refused_at_once_),
		cmocka_unit_test(a_waiting_ask_follows_changed_backoffs_),
		cmocka_unit_test(an_ask_that_would_wait_too_long_is_refused_at_once_),
		cmocka_unit_test(failures_of_nodes_that_lost_their_links_are_withdrawn_),
		cmocka_unit_test(what_other_nodes_reported_still_counts_),
		cmocka_unit_test(limited_engines_are_not_inspected_),
		cmocka_unit_test(a_short_prompt_is_prefilled_by_one_engine_),
		cmocka_unit_test(no_grant_names_an_engine_twice_),
		cmocka_unit_test(helper_parts_of_an_engine_do_not_exceed_its_slots_),
		cmocka_unit_test(long_prompts_avoid_engines_with_tight_streams_),
		cmocka_unit_test(a_long_prompt_leaves_an_engine_for_short_ones_),
		cmocka_unit_test(a_prompt_larger_than_one_engine_uses_memory_of_two_),
		cmocka_unit_test(a_restarted_engine_holds_nothing_),
		cmocka_unit_test(a_failed_engine_gets_no_new_prompts_),
		cmocka_unit_test(lost_requests_stay_in_the_backlog_),
		cmocka_unit_test(without_engines_requests_are_refused_at_once_),
		cmocka_unit_test(a_repeated_ask_is_granted_once_),
		cmocka_unit_test(the_ledger_is_empty_after_all_releases_),
		cmocka_unit_test(holds_correct_the_ledger_),
		cmocka_unit_test(slow_engines_are_inspected_),
		cmocka_unit_test(engines_with_overdue_answers_get_no_new_prompts_),
		cmocka_unit_test(local_planners_choose_different_engines_),
		cmocka_unit_test(an_early_prefill_affects_its_own_part_only_),
		cmocka_unit_test(the_newest_helper_part_is_prefilled_first_),
		cmocka_unit_test(prefill_time_includes_the_steps_),
		cmocka_unit_test(a_full_hold_transfers_the_ledger_),
		cmocka_unit_test(late_prompts_use_idle_engines_),
		cmocka_unit_test(a_part_just_granted_misses_the_next_iteration_),
		cmocka_unit_test(an_answer_with_helpers_ends_no_iteration_),
		cmocka_unit_test(an_observed_iteration_corrects_the_clock_),
		cmocka_unit_test(the_first_pause_spans_two_iterations_),
		cmocka_unit_test(predictions_follow_the_prefill_order_),
		cmocka_unit_test(a_part_overtakes_only_parts_with_enough_slack_),
		cmocka_unit_test(a_part_limits_the_headroom_until_its_target_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
