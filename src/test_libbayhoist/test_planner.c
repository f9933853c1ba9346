/* SPDX-License-Identifier: BSD-3-Clause */
/* The planner: where prompts go, what waits, what is refused, and what becomes of it when engines or nodes
 * are lost. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>
#include "bayhoist/planner.h"
#include "pass_clock.h"

#define ENGINES 18
#define PAGE 4000
#define SHORT_PAGE (PAGE * 3 / 4) /* read in less than the 20 ms from which on a pace is learnt */
#define MEDIUM 45000
#define LONG 200000
#define OVER_ONE 600000 /* more than one engine holds */
#define MS BH__MS_US

typedef struct {
	BH__PlannerPort port; /* first */
	BH__Planner *planner;
	GArray *grants; /* BH__Grant */
	unsigned refused;
	uint64_t retry_after_ms; /* of the last refusal */
	unsigned queued;
	unsigned abandoned;
	unsigned inspected;
	uint64_t next_ask;
} Bench;

static void on_grant_(BH__PlannerPort *port, const BH__Grant *g)
{
	g_array_append_val(((Bench *)port)->grants, *g);
}

static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	(void)ask;
	(void)reason;
	assert_true(retry_after_ms > 0);
	((Bench *)port)->retry_after_ms = retry_after_ms;
	((Bench *)port)->refused++;
}

static void on_queued_(BH__PlannerPort *port, const BH__Ask *ask)
{
	(void)ask;
	((Bench *)port)->queued++;
}

static void on_abandoned_(BH__PlannerPort *port, const BH__Grant *g)
{
	(void)g;
	((Bench *)port)->abandoned++;
}

static void on_inspect_(BH__PlannerPort *port, uint64_t endpoint_id)
{
	(void)endpoint_id;
	((Bench *)port)->inspected++;
}

static BH__EngineModel model_(void)
{
	BH__EngineModel m;

	bh__engine_model_init(&m);
	m.kv_tokens = 450000;
	m.steps_per_pass = 46;
	m.step_ms = 0.925;
	m.per_stream_ms = 0.005;
	m.per_kilotoken_ms = 0.0025;
	m.read_tokens_per_ms = 256;
	m.per_megapair_ms = 0.09;
	return m;
}

static Bench *bench_new_(unsigned engines)
{
	Bench *b = g_new0(Bench, 1);
	BH__EngineModel m = model_();

	b->port = (BH__PlannerPort){.grant = on_grant_,
								.refuse = on_refuse_,
								.queued = on_queued_,
								.abandoned = on_abandoned_,
								.inspect = on_inspect_};
	b->planner = bh__planner_new(&b->port, 3, 4);
	b->grants = g_array_new(FALSE, TRUE, sizeof(BH__Grant));
	bh__planner_set_model(b->planner, &m);
	for (unsigned i = 1; i <= engines; i++)
		bh__planner_set_endpoint(b->planner, i, 0, false, 0);
	return b;
}

static void bench_free_(Bench *b)
{
	bh__planner_delete(b->planner);
	g_array_unref(b->grants);
	g_free(b);
}

static BH__Ask ask_(Bench *b, uint64_t tokens)
{
	bool page = tokens < 20000;
	BH__Ask a = {.ask_id = ++b->next_ask,
				 .pool_id = 3,
				 .node_id = 1,
				 .boot_id = 1,
				 .prompt_tokens = tokens,
				 .max_tokens = 1000,
				 .deadline_us = 10 * BH__SECOND_US,
				 .first_event_us = (page              ? 300
									: tokens < 100000 ? 1500
													  : 3000) *
								   MS,
				 .event_gap_us = (page              ? 200
								  : tokens < 100000 ? 500
													: 800) *
								 MS};

	return a;
}

static const BH__Grant *grant_(const Bench *b, unsigned index)
{
	assert_true(index < b->grants->len);
	return &g_array_index(b->grants, BH__Grant, index);
}

static void a_short_prompt_is_read_by_one_engine_(void **state)
{
	Bench *b = bench_new_(ENGINES);
	BH__Ask a = ask_(b, PAGE);

	(void)state;
	bh__planner_process_ask(b->planner, &a, 1000);
	assert_int_equal(grant_(b, 0)->member_count, 1);
	assert_int_equal(grant_(b, 0)->ask_id, a.ask_id);
	bench_free_(b);
}

/* Engines refuse a request that names one of them twice. */
static void no_engine_is_named_twice_(void **state)
{
	Bench *b = bench_new_(ENGINES);

	(void)state;
	for (unsigned i = 0; i < 60; i++) {
		BH__Ask a = ask_(b, i % 3 ? PAGE : i % 2 ? MEDIUM : LONG);
		bh__planner_process_ask(b->planner, &a, i * 20 * MS);
		bh__planner_process_tick(b->planner, i * 20 * MS + MS);
	}
	assert_true(b->grants->len > 20);
	for (guint i = 0; i < b->grants->len; i++) {
		const BH__Grant *g = grant_(b, i);
		uint64_t tokens = 0;
		for (unsigned k = 0; k < g->member_count; k++) {
			tokens += g->member[k].token_count;
			for (unsigned l = 0; l < k; l++)
				assert_true(g->member[k].endpoint_id != g->member[l].endpoint_id);
		}
		assert_true(tokens == PAGE || tokens == MEDIUM || tokens == LONG);
	}
	bench_free_(b);
}

/* Engines refuse to help with more prompts than they have slots. */
static void no_engine_helps_more_than_its_slots_(void **state)
{
	Bench *b = bench_new_(ENGINES);
	unsigned helps[ENGINES + 1] = {0};

	(void)state;
	for (unsigned i = 0; i < 80; i++) {
		BH__Ask a = ask_(b, MEDIUM);
		bh__planner_process_ask(b->planner, &a, i * 40 * MS);
		bh__planner_process_tick(b->planner, i * 40 * MS + MS);
	}
	assert_true(b->grants->len > 20); /* of which no answer begins */
	for (guint i = 0; i < b->grants->len; i++)
		for (unsigned k = 1; k < grant_(b, i)->member_count; k++)
			assert_true(++helps[grant_(b, i)->member[k].endpoint_id] <= 16);
	bench_free_(b);
}

/* While tight streams run, long prompts are read on the other engines. */
static void long_prompts_keep_away_from_tight_streams_(void **state)
{
	Bench *b = bench_new_(ENGINES);
	BH__Ask page = ask_(b, PAGE);
	BH__Ask longer = ask_(b, LONG);

	(void)state;
	bh__planner_process_ask(b->planner, &page, 1000);
	bh__planner_process_progress(b->planner, grant_(b, 0)->grant_id, 40 * MS);
	bh__planner_process_ask(b->planner, &longer, 50 * MS);
	assert_true(grant_(b, 1)->member_count > 8);
	for (unsigned i = 0; i < grant_(b, 1)->member_count; i++)
		assert_true(grant_(b, 1)->member[i].endpoint_id != grant_(b, 0)->member[0].endpoint_id);
	bench_free_(b);
}

/* A short prompt that comes just after a long one still finds an engine that is not in a long pass. */
static void an_engine_is_kept_for_short_prompts_(void **state)
{
	Bench *b = bench_new_(ENGINES);
	BH__Ask longer = ask_(b, LONG);
	BH__Ask page = ask_(b, PAGE);

	(void)state;
	bh__planner_process_ask(b->planner, &longer, 1000);
	bh__planner_process_ask(b->planner, &page, 2000);
	assert_int_equal(b->grants->len, 2);
	assert_true(grant_(b, 1)->expected_us < 60 * MS);
	bench_free_(b);
}

static void a_prompt_over_one_engine_takes_memory_on_another_(void **state)
{
	Bench *b = bench_new_(ENGINES);
	BH__Ask a = ask_(b, OVER_ONE);
	uint64_t kv = 0;
	unsigned holders = 0;

	(void)state;
	bh__planner_process_ask(b->planner, &a, 1000);
	for (unsigned i = 0; i < grant_(b, 0)->member_count; i++) {
		assert_true(grant_(b, 0)->member[i].kv_bytes <= 450000);
		kv += grant_(b, 0)->member[i].kv_bytes;
		holders += grant_(b, 0)->member[i].kv_bytes > 0;
	}
	assert_int_equal(kv, OVER_ONE + 1000);
	assert_int_equal(holders, 2);
	/* its node dies: the memory on the helper has to be freed */
	bh__planner_process_node_gone(b->planner, 1, 2000);
	assert_int_equal(b->abandoned, 1);
	bench_free_(b);
}

/* An engine that is back under its id was thought to hold the memory and read the parts of before its end,
 * and was left alone for its failure. */
static void an_engine_that_is_back_holds_nothing_(void **state)
{
	Bench *b = bench_new_(2);
	BH__PlannerEngine e;
	unsigned others = 0;
	guint before;

	(void)state;
	for (unsigned i = 0; i < 8; i++) {
		BH__Ask a = ask_(b, MEDIUM);
		bh__planner_process_ask(b->planner, &a, i * MS);
	}
	before = b->grants->len;
	bh__planner_refuse_all(b->planner, BH__REASON_OVERLOAD); /* what waits */
	bh__planner_process_release(b->planner, grant_(b, 0)->grant_id, BH__RELEASE_LOST, 1, 20 * MS);
	bh__planner_set_endpoint(b->planner, 1, 1, false, 21 * MS);
	for (guint i = 1; i < before; i++) /* what breaks off late says nothing of the new life */
		if (grant_(b, i)->member[0].endpoint_id == 1)
			bh__planner_process_release(b->planner, grant_(b, i)->grant_id, BH__RELEASE_LOST, 1, 22 * MS);
	for (unsigned i = 0; i < bh__planner_get_engine_count(b->planner); i++) {
		bh__planner_get_engine(b->planner, i, &e);
		others += e.endpoint_id != 1;
		if (e.endpoint_id != 1)
			continue;
		assert_int_equal(e.kv_used_tokens, 0);
		assert_int_equal(e.primaries, 0);
		assert_int_equal(e.helper_parts, 0);
		assert_true(e.prefill_left_ms == 0);
	}
	assert_int_equal(others, 1);
	g_array_set_size(b->grants, 0);
	others = 0;
	for (unsigned i = 0; i < 10; i++) {
		BH__Ask a = ask_(b, SHORT_PAGE);
		bh__planner_process_ask(b->planner, &a, 23 * MS);
	}
	for (guint i = 0; i < b->grants->len; i++)
		others += grant_(b, i)->member[0].endpoint_id != 1;
	assert_in_range(others, 0, b->grants->len - 1); /* the one that is back takes its share at once */
	bench_free_(b);
}

static void an_engine_that_failed_is_left_alone_(void **state)
{
	Bench *b = bench_new_(2);
	BH__Ask first = ask_(b, PAGE);
	uint64_t failed;

	(void)state;
	bh__planner_process_ask(b->planner, &first, 1000);
	failed = grant_(b, 0)->member[0].endpoint_id;
	bh__planner_process_release(b->planner, grant_(b, 0)->grant_id, BH__RELEASE_FAILED, failed, 2000);
	for (unsigned i = 1; i < 5; i++) {
		BH__Ask a = ask_(b, PAGE);
		bh__planner_process_ask(b->planner, &a, 3000 + i * 20 * MS); /* it may wait for the one before it */
		bh__planner_process_tick(b->planner, 3000 + i * 20 * MS + 19 * MS);
		assert_true(grant_(b, i)->member[0].endpoint_id != failed);
	}
	bench_free_(b);
}

static double unread_ms_(const Bench *b)
{
	double ms = 0;

	for (unsigned i = 0; i < bh__planner_get_engine_count(b->planner); i++) {
		BH__PlannerEngine e;
		bh__planner_get_engine(b->planner, i, &e);
		ms += e.prefill_left_ms;
	}
	return ms;
}

/* Engines whose connection breaks may go on reading for nobody; those that refuse or are left do not. */
static void lost_requests_are_read_to_their_end_(void **state)
{
	static const BH__ReleaseKind Kind[] = {BH__RELEASE_FAILED, BH__RELEASE_DONE, BH__RELEASE_LOST};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Kind); i++) {
		Bench *b = bench_new_(ENGINES);
		BH__Ask a = ask_(b, LONG);
		bh__planner_process_ask(b->planner, &a, 1000);
		assert_true(unread_ms_(b) > 2000);
		bh__planner_process_release(b->planner, grant_(b, 0)->grant_id, Kind[i], 1, 2000);
		assert_int_equal(unread_ms_(b) > 2000, Kind[i] == BH__RELEASE_LOST);
		bench_free_(b);
	}
}

static void without_engines_requests_are_refused_at_once_(void **state)
{
	Bench *b = bench_new_(0);
	BH__Ask a = ask_(b, PAGE);

	(void)state;
	bh__planner_process_ask(b->planner, &a, 1000);
	assert_int_equal(b->refused, 1);
	assert_int_equal(b->grants->len, 0);
	bench_free_(b);
}

/* An ask that is repeated, since its answer may be lost, is answered again and granted once. */
static void a_repeated_ask_is_granted_once_(void **state)
{
	Bench *b = bench_new_(2);
	BH__Ask a = ask_(b, PAGE);

	(void)state;
	bh__planner_process_ask(b->planner, &a, 1000);
	bh__planner_process_ask(b->planner, &a, 2000);
	assert_int_equal(b->grants->len, 2);
	assert_true(grant_(b, 0)->grant_id == grant_(b, 1)->grant_id);
	bench_free_(b);
}

/* Whatever is granted and comes to its end leaves nothing behind. */
static void the_ledger_is_empty_in_the_end_(void **state)
{
	Bench *b = bench_new_(ENGINES);

	(void)state;
	for (unsigned i = 0; i < 30; i++) {
		BH__Ask a = ask_(b, i % 5 ? PAGE : i % 2 ? OVER_ONE : LONG);
		bh__planner_process_ask(b->planner, &a, i * 50 * MS);
	}
	for (guint i = 0; i < b->grants->len; i++) {
		if (i % 2)
			bh__planner_process_progress(b->planner, grant_(b, i)->grant_id, 2 * BH__SECOND_US);
		bh__planner_process_release(b->planner, grant_(b, i)->grant_id, BH__RELEASE_DONE, 0,
									3 * BH__SECOND_US);
	}
	for (unsigned i = 0; i < ENGINES; i++) {
		BH__PlannerEngine e;
		bh__planner_get_engine(b->planner, i, &e);
		assert_int_equal(e.primaries, 0);
		assert_int_equal(e.helper_parts, 0);
		assert_int_equal(e.streams, 0);
		assert_int_equal(e.kv_used_tokens, 0);
	}
	bench_free_(b);
}

/* A node's list of what it holds ends what it does not name, and tells a new scheduler of what it does. */
static void holds_set_the_ledger_right_(void **state)
{
	Bench *old = bench_new_(ENGINES);
	Bench *b = bench_new_(ENGINES);
	BH__Ask first = ask_(old, LONG);
	BH__Ask second = ask_(old, PAGE);
	BH__PlannerEngine e;
	unsigned primaries = 0;

	(void)state;
	bh__planner_process_ask(old->planner, &first, 1000);
	bh__planner_process_ask(old->planner, &second, 1000);
	bh__planner_process_hold(b->planner, 1, 1, true, grant_(old, 0), 2, 2000);
	for (unsigned i = 0; i < ENGINES; i++) {
		bh__planner_get_engine(b->planner, i, &e);
		primaries += e.primaries;
	}
	assert_int_equal(primaries, 2);
	bh__planner_process_hold(b->planner, 1, 1, false, grant_(old, 0), 1, 10 * BH__SECOND_US);
	primaries = 0;
	for (unsigned i = 0; i < ENGINES; i++) {
		bh__planner_get_engine(b->planner, i, &e);
		primaries += e.primaries;
	}
	assert_int_equal(primaries, 1);
	bench_free_(b);
	bench_free_(old);
}

/* A first event that comes much too late makes the engines that read for it suspects, once a second at most.
 */
static void slow_engines_are_inspected_(void **state)
{
	Bench *b = bench_new_(ENGINES);
	BH__Ask a = ask_(b, LONG);
	BH__Ask again = ask_(b, LONG);

	(void)state;
	bh__planner_process_ask(b->planner, &a, 1000);
	bh__planner_process_progress(b->planner, grant_(b, 0)->grant_id, 2 * BH__SECOND_US);
	assert_int_equal(b->inspected, grant_(b, 0)->member_count);
	bh__planner_process_slowdown(b->planner, grant_(b, 0)->member[1].endpoint_id, 4, 2 * BH__SECOND_US);
	bh__planner_process_ask(b->planner, &again, 2 * BH__SECOND_US + 10 * MS);
	for (unsigned i = 0; i < grant_(b, 1)->member_count; i++)
		assert_true(grant_(b, 1)->member[i].endpoint_id != grant_(b, 0)->member[1].endpoint_id);
	bench_free_(b);
}

/* An engine whose answer is overdue is left until one begins there. */
static void engines_with_overdue_answers_take_nothing_new_(void **state)
{
	Bench *b = bench_new_(2);
	BH__Ask a = ask_(b, SHORT_PAGE);
	uint64_t stuck, now_us;

	(void)state;
	bh__planner_process_ask(b->planner, &a, 0);
	stuck = grant_(b, 0)->member[0].endpoint_id;
	now_us = grant_(b, 0)->expected_us + 150 * MS; /* and nothing has come */
	for (unsigned i = 1; i <= 3; i++) {
		a = ask_(b, SHORT_PAGE);
		bh__planner_process_ask(b->planner, &a, now_us);
		now_us += 19 * MS; /* it may wait for the one before it */
		bh__planner_process_tick(b->planner, now_us);
		assert_int_not_equal(grant_(b, i)->member[0].endpoint_id, stuck);
	}
	bh__planner_process_progress(b->planner, grant_(b, 0)->grant_id, now_us);
	a = ask_(b, SHORT_PAGE);
	bh__planner_process_ask(b->planner, &a, now_us + 1);
	assert_int_equal(grant_(b, 4)->member[0].endpoint_id, stuck);
	bench_free_(b);
}

/* The planner of another node that is told a whole ledger knows as much as the first, also of how far the
 * engines are. */
static void a_ledger_is_handed_over_whole_(void **state)
{
	Bench *a = bench_new_(4);
	Bench *b = bench_new_(4);
	GArray *all = g_array_new(FALSE, FALSE, sizeof(BH__Grant));
	BH__Ask ask = ask_(a, 100000);
	BH__EngineModel m = model_();
	double whole_ms = bh__engine_model_read_ms(&m, 100000, 1);
	uint64_t half_us;

	(void)state;
	bh__planner_process_ask(a->planner, &ask, 0);
	half_us = grant_(a, 0)->expected_us / 2;
	bh__planner_process_tick(a->planner, half_us);
	bh__planner_list_grants(a->planner, all, half_us);
	assert_int_equal(all->len, 1);
	bh__planner_process_hold(b->planner, 9, 9, true, (const BH__Grant *)(void *)all->data, all->len, half_us);
	assert_true(unread_ms_(b) > 0);
	assert_true(unread_ms_(b) < whole_ms * 0.6);
	g_array_unref(all);
	bench_free_(a);
	bench_free_(b);
}

/* A long prompt that is late already is read at length where engines stand idle; while many long prompts come
 * that can be in time, it is not. */
static void late_prompts_use_idle_engines_(void **state)
{
	(void)state;
	for (unsigned busy = 0; busy <= 1; busy++) {
		Bench *b = bench_new_(4);
		BH__Ask late = ask_(b, 400000);
		late.first_event_us = 1;
		late.max_tokens = 100;
		late.deadline_us = 12 * BH__SECOND_US;
		for (unsigned i = 0; i < busy * 3; i++) {
			BH__Ask fresh = ask_(b, 250000);
			bh__planner_process_ask(b->planner, &fresh, i * MS);
			bh__planner_process_withdraw(b->planner, fresh.ask_id);
		}
		for (unsigned i = 0; i < b->grants->len; i++)
			bh__planner_process_release(b->planner, grant_(b, i)->grant_id, BH__RELEASE_DONE, BH__NO_ENDPOINT,
										10 * MS);
		b->grants->len = 0;
		bh__planner_process_ask(b->planner, &late, 500 * MS);
		bh__planner_process_tick(b->planner, 510 * MS);
		assert_int_equal(b->grants->len, busy ? 0 : 1);
		bench_free_(b);
	}
}

/* Nodes that decide alone, each knowing its own work only, do not all fill the same engine. */
static void nodes_alone_take_different_engines_(void **state)
{
	enum { NODES = 9 };
	bool used[ENGINES + 1] = {false};
	unsigned different = 0;

	(void)state;
	for (uint64_t node = 1; node <= NODES; node++) {
		Bench *b = bench_new_(0);
		BH__Ask a = ask_(b, PAGE);
		BH__EngineModel m = model_();
		bh__planner_delete(b->planner);
		b->planner = bh__planner_new(&b->port, 3, node * 77);
		bh__planner_set_model(b->planner, &m);
		bh__planner_set_local(b->planner, true);
		for (unsigned i = 1; i <= ENGINES; i++)
			bh__planner_set_endpoint(b->planner, i, 0, false, 0);
		bh__planner_process_ask(b->planner, &a, 1000);
		different += !used[grant_(b, 0)->member[0].endpoint_id];
		used[grant_(b, 0)->member[0].endpoint_id] = true;
		bench_free_(b);
	}
	assert_true(different >= NODES / 2);
}

static void add_part_(BH__PassClock *c, uint64_t grant_id, double ms, bool helps, uint64_t due_us,
					  uint64_t now_us)
{
	BH__PassPart p = {
		.grant_id = grant_id, .due_us = due_us, .aim_us = due_us, .value = 1, .left_ms = ms, .helps = helps};

	bh__pass_clock_add_part(c, &p, now_us);
}

/* A prompt that was read earlier than foretold takes its own part off what the engine has to read, once, and
 * nothing of the others'. (The reckoning used to be moved on by the lead, so that engines seemed free with
 * most of a long prompt still to read, and short ones that were sent there waited for it.) */
static void a_lead_is_of_one_prompt_only_(void **state)
{
	BH__EngineModel m = model_();
	BH__PassClock c;

	(void)state;
	bh__pass_clock_init(&c);
	add_part_(&c, 1, 500, true, 3000 * MS, 0);
	add_part_(&c, 2, 100, true, 3000 * MS, 0);
	add_part_(&c, 3, 100, true, 3000 * MS, 0);
	bh__pass_clock_advance(&c, &m, 50 * MS);
	assert_true(bh__pass_clock_get_backlog_ms(&c) == 650);
	bh__pass_clock_note_read(&c, &m, 3, false, 50 * MS);
	assert_true(bh__pass_clock_get_backlog_ms(&c) == 600);
	bh__pass_clock_note_read(&c, &m, 3, false, 50 * MS);
	assert_true(bh__pass_clock_get_backlog_ms(&c) == 600);
	bh__pass_clock_note_read(&c, &m, 2, false, 50 * MS);
	assert_true(bh__pass_clock_get_backlog_ms(&c) == 500);
	bh__pass_clock_clear(&c);
}

/* A part that is given just before a pass begins reaches the engine too late for it. */
static void a_part_takes_its_time_to_an_engine_(void **state)
{
	BH__EngineModel m = model_();
	BH__PassClock c;

	(void)state;
	bh__pass_clock_init(&c);
	bh__pass_clock_begin_stream(&c, &m, 1000, 0); /* a pass of 43 ms */
	bh__pass_clock_advance(&c, &m, 38 * MS);
	assert_true(bh__pass_clock_predict_read(&c, &m, 100, true, 38 * MS) > 220 * MS);
	add_part_(&c, 1, 100, true, 3000 * MS, 38 * MS);
	bh__pass_clock_advance(&c, &m, 60 * MS);
	assert_true(bh__pass_clock_get_backlog_ms(&c) == 100);
	bh__pass_clock_advance(&c, &m, 90 * MS);
	assert_true(bh__pass_clock_get_backlog_ms(&c) == 0);
	assert_true(bh__pass_clock_get_pass_left_ms(&c, 90 * MS) > 130);
	bh__pass_clock_clear(&c);
}

/* The answer to a prompt that several engines read begins when the last is done, and does not end the pass of
 * another. */
static void an_answer_read_by_several_ends_no_pass_(void **state)
{
	BH__EngineModel m = model_();
	BH__PassClock c;

	(void)state;
	bh__pass_clock_init(&c);
	bh__pass_clock_begin_stream(&c, &m, 1000, 0);
	add_part_(&c, 1, 100, true, 3000 * MS, 10 * MS);
	add_part_(&c, 2, 300, true, 3000 * MS, 10 * MS);
	bh__pass_clock_advance(&c, &m, 200 * MS);
	bh__pass_clock_note_read(&c, &m, 1, false, 200 * MS);
	assert_true(bh__pass_clock_get_pass_left_ms(&c, 200 * MS) > 250);
	assert_true(bh__pass_clock_get_backlog_ms(&c) == 0);
	bh__pass_clock_clear(&c);
}

/* A stream that has paused tells when a pass ended, and how long it was: parts that came after it had begun
 * are in the next one, also those that were taken as read. */
static void a_pass_that_is_told_of_sets_the_clock_(void **state)
{
	BH__EngineModel m = model_();
	BH__PassClock c;

	(void)state;
	bh__pass_clock_init(&c);
	bh__pass_clock_begin_stream(&c, &m, 1000, 0);
	add_part_(&c, 1, 200, true, 3000 * MS, 10 * MS);
	bh__pass_clock_advance(&c, &m, 290 * MS); /* reckoned to have been read from 43 to 286 */
	add_part_(&c, 2, 150, true, 3000 * MS, 290 * MS);
	bh__pass_clock_advance(&c, &m, 330 * MS);
	bh__pass_clock_note_pass(&c, &m, 288 * MS, 330 * MS);
	assert_true(bh__pass_clock_get_backlog_ms(&c) == 0);
	assert_true(fabs(bh__pass_clock_get_pass_left_ms(&c, 330 * MS) - 193) < 2);
	bh__pass_clock_note_pass(&c, &m, 5000 * MS, 340 * MS); /* its caller's link stood still */
	assert_true(fabs(bh__pass_clock_get_pass_left_ms(&c, 340 * MS) - 183) < 2);
	bh__pass_clock_clear(&c);

	bh__pass_clock_init(&c);
	bh__pass_clock_begin_stream(&c, &m, 1000, 0);
	add_part_(&c, 1, 200, true, 3000 * MS, 10 * MS);
	bh__pass_clock_advance(&c, &m, 300 * MS);
	bh__pass_clock_note_pass(&c, &m, 290 * MS, 300 * MS); /* it began before the part was there */
	assert_true(fabs(bh__pass_clock_get_pass_left_ms(&c, 300 * MS) - 243) < 2);
	bh__pass_clock_note_read(&c, &m, 1, false, 310 * MS);
	bh__pass_clock_note_pass(&c, &m, 100 * MS, 320 * MS);
	assert_true(bh__pass_clock_get_pass_left_ms(&c, 320 * MS) < 45);
	bh__pass_clock_clear(&c);
}

/* While an answer of which several engines read the prompt is awaited on an engine that writes streams, the
 * rest of its pass and the whole of the next are that answer's first pause. (Parts that each kept the next
 * pass alone within what streams bear made 46 of 62 long pauses, a day of 60 engines.) */
static void the_first_pause_spans_two_passes_(void **state)
{
	Bench *b = bench_new_(2);
	BH__Grant g = {.grant_id = 900, .node_id = 2, .member_count = 1, .event_gap_us = 500 * MS};
	uint64_t now_us = BH__SECOND_US;
	double more = 0;

	(void)state;
	for (uint64_t engine = 1; engine <= 2; engine++) { /* each writes a stream */
		g.grant_id++;
		g.member[0] = (BH__GrantMember){.endpoint_id = engine, .token_count = MEDIUM, .kv_bytes = MEDIUM};
		bh__planner_process_remote_grant(b->planner, &g, now_us);
		bh__planner_process_progress(b->planner, g.grant_id, now_us + 300 * MS);
	}
	g = (BH__Grant){.grant_id = 910, .node_id = 2, .member_count = 2, .event_gap_us = 500 * MS};
	g.member[0] = (BH__GrantMember){.endpoint_id = 1, .token_count = MEDIUM / 2, .kv_bytes = MEDIUM};
	g.member[1] = (BH__GrantMember){.endpoint_id = 2, .token_count = MEDIUM / 2};
	now_us += 310 * MS;
	bh__planner_process_remote_grant(b->planner, &g, now_us);
	now_us += 55 * MS; /* its parts are in the pass under way */
	for (unsigned i = 0; i < 3; i++) {
		BH__Ask a = ask_(b, MEDIUM);
		bh__planner_process_ask(b->planner, &a, now_us);
	}
	for (guint i = 0; i < b->grants->len; i++)
		for (unsigned k = 0; k < grant_(b, i)->member_count; k++)
			if (grant_(b, i)->member[k].endpoint_id == 1)
				more += (double)grant_(b, i)->member[k].token_count / MEDIUM;
	/* shares of 295 ms, beside 140 ms that are left of the pass and 43 ms for the streams */
	assert_true(more < 0.9);
	for (unsigned i = 0; i < 40; i++)
		bh__planner_process_tick(b->planner, now_us += 10 * MS);
	assert_true(b->grants->len > 0); /* in a later pass */
	bench_free_(b);
}

/* Parts for other engines are read before the engine's own prompts, the newest first; its own in their order.
 */
static void the_newest_part_is_read_first_(void **state)
{
	BH__EngineModel m = model_();
	BH__PassClock c;

	(void)state;
	bh__pass_clock_init(&c);
	add_part_(&c, 1, 50, false, 0, 0);
	add_part_(&c, 2, 50, false, 0, 0);
	add_part_(&c, 3, 50, true, 0, 0);
	add_part_(&c, 4, 50, true, 0, 0);
	for (unsigned left = 4; left > 0; left--) {
		static const uint64_t Last[] = {0, 2, 2, 3, 4};
		assert_int_equal(c.parts->len, left);
		assert_int_equal(g_array_index(c.parts, BH__PassPart, left - 1).grant_id, Last[left]);
		bh__pass_clock_advance(&c, &m, (uint64_t)(5 - left) * 50 * MS);
	}
	assert_int_equal(c.parts->len, 0);
	bh__pass_clock_clear(&c);
}

/* A prompt is read in steps of so many tokens, and each step takes its time beside that of the tokens. */
static void reading_takes_its_steps_too_(void **state)
{
	BH__EngineModel m = model_();
	double steps = 100000.0 / m.tokens_per_step;
	double tokens_ms = 100000 / m.read_tokens_per_ms;
	double pairs_ms = 100000.0 * 100000 / 2 / 1e6 * m.per_megapair_ms;
	double read_ms = bh__engine_model_read_ms(&m, 100000, 1);

	(void)state;
	assert_true(fabs(read_ms - (tokens_ms + pairs_ms + steps * m.step_ms)) < 0.001);
	assert_true(fabs(bh__engine_model_read_ms(&m, 100000, 4) - read_ms / 4) < 0.001);
}

/* A part for another engine is foretold to be read at once where no stream is written; an own prompt comes
 * after all that waits. */
static void parts_are_foretold_in_the_order_of_reading_(void **state)
{
	BH__EngineModel m = model_();
	BH__PassClock c;

	(void)state;
	bh__pass_clock_init(&c);
	add_part_(&c, 1, 500, true, 0, 0);
	assert_true(bh__pass_clock_predict_read(&c, &m, 100, true, 0) < 110 * MS);
	assert_true(bh__pass_clock_predict_read(&c, &m, 100, false, 0) > 600 * MS);
	bh__pass_clock_begin_stream(&c, &m, 1000, 0);
	assert_true(bh__pass_clock_predict_read(&c, &m, 100, true, 0) > 600 * MS);
	bh__pass_clock_clear(&c);
}

/* A part may overtake others only if it is much shorter and makes none of them late. */
static void a_part_overtakes_only_what_can_wait_(void **state)
{
	BH__EngineModel m = model_();
	BH__PassClock c;

	(void)state;
	bh__pass_clock_init(&c);
	assert_true(bh__pass_clock_get_room_ms(&c, &m, 0) > 1e6);
	add_part_(&c, 1, 400, true, 3000 * MS, 0);
	assert_true(bh__pass_clock_get_room_ms(&c, &m, 0) < 300);
	assert_true(bh__pass_clock_get_room_ms(&c, &m, 0) > 50);
	add_part_(&c, 2, 400, true, 830 * MS, 0); /* in time with 430 ms to spare; the first one with 2200 ms */
	add_part_(&c, 3, 400, true, 1250 * MS,
			  0); /* in time with 850 ms to spare, which leaves 30 ms for the second */
	assert_true(bh__pass_clock_get_room_ms(&c, &m, 0) <= 31);
	assert_true(bh__pass_clock_get_damage(&c, 20, 0) == 0);
	assert_true(bh__pass_clock_get_damage(&c, 40, 0) == 1);
	assert_true(bh__pass_clock_get_damage(&c, 5000, 0) == 3);
	bh__pass_clock_clear(&c);
}

/* A part that has nothing left to spare but can still be in time is no more overtaken than one that has: it
 * was taken for lost, and starved for seconds. */
static void a_part_counts_until_its_aim_(void **state)
{
	BH__EngineModel m = model_();
	BH__PassPart p = {
		.grant_id = 1, .due_us = 350 * MS, .aim_us = 450 * MS, .value = 1, .left_ms = 400, .helps = true};
	BH__PassClock c;

	(void)state;
	bh__pass_clock_init(&c);
	bh__pass_clock_add_part(&c, &p, 0);
	assert_true(bh__pass_clock_get_room_ms(&c, &m, 0) <= 51);
	assert_true(bh__pass_clock_get_damage(&c, 40, 0) == 0);
	assert_true(bh__pass_clock_get_damage(&c, 60, 0) == 1);
	bh__pass_clock_clear(&c);
}

/* The first engines name a limit. */
static void limit_(Bench *b, unsigned engines, double per_s)
{
	const BH__Limit limit[BH__LIMIT_KIND_COUNT] = {
		[BH__LIMIT_NAMED] = {.per_s = per_s, .until_us = BH__LIMIT_NO_END}};

	for (unsigned i = 1; i <= engines; i++)
		bh__planner_set_limits(b->planner, i, limit, 0);
}

/* Returns how often the grants from one on name an engine. */
static unsigned count_parts_(const Bench *b, unsigned first, uint64_t endpoint_id)
{
	unsigned parts = 0;

	for (unsigned i = first; i < b->grants->len; i++)
		for (unsigned k = 0; k < grant_(b, i)->member_count; k++)
			parts += grant_(b, i)->member[k].endpoint_id == endpoint_id;
	return parts;
}

/* A part read for another engine counts as a request, and brings no orders for memory with it. */
static void limited_engines_read_no_more_parts_than_they_take_(void **state)
{
	Bench *b = bench_new_(ENGINES);
	const unsigned limited = ENGINES - 4;
	const uint64_t every_us = 250 * MS;
	unsigned helped = 0;

	(void)state;
	bh__planner_set_rate_share(b->planner, 1, 0);
	limit_(b, limited, 2);
	for (unsigned i = 0; i < 40; i++) {
		BH__Ask a = ask_(b, LONG);
		unsigned first = b->grants->len;
		bh__planner_process_ask(b->planner, &a, (i + 1) * every_us);
		for (unsigned k = first; k < b->grants->len; k++)
			bh__planner_process_release(b->planner, grant_(b, k)->grant_id, BH__RELEASE_DONE, 0,
										(i + 1) * every_us + 200 * MS);
		for (unsigned k = first; k < b->grants->len; k++)
			for (unsigned m = 1; m < grant_(b, k)->member_count; m++)
				assert_true(grant_(b, k)->member[m].endpoint_id > limited ||
							!grant_(b, k)->member[m].kv_bytes);
	}
	assert_true(count_parts_(b, 0, ENGINES) > 30);
	for (unsigned e = 1; e <= limited; e++) {
		helped += count_parts_(b, 0, e);
		assert_in_range(count_parts_(b, 0, e), 0, 2 * 10 + 2);
	}
	assert_in_range(helped, 2 * 10, limited * (2 * 10 + 2));
	bench_free_(b);
}

/* Where all engines are limited, those that can't have their turn are refused at once, and told when it is.
 */
static void what_limited_engines_leave_is_refused_at_once_(void **state)
{
	Bench *b = bench_new_(2);

	(void)state;
	bh__planner_set_rate_share(b->planner, 1, 0);
	limit_(b, 2, 1);
	for (unsigned i = 0; i < 30; i++) {
		BH__Ask a = ask_(b, PAGE);
		bh__planner_process_ask(b->planner, &a, 10 * BH__SECOND_US);
	}
	assert_in_range(b->grants->len, 2, 4);
	assert_in_range(b->refused, 20, 27);
	assert_in_range(b->retry_after_ms, 1000, 3000);
	bench_free_(b);
}

/* An engine in need is not asked for reports either, however late its answers are. */
static void limited_engines_are_not_inspected_(void **state)
{
	Bench *b = bench_new_(3);
	BH__Ask a = ask_(b, MEDIUM);

	(void)state;
	bh__planner_set_rate_share(b->planner, 1, 0);
	limit_(b, 3, 50);
	bh__planner_process_ask(b->planner, &a, BH__SECOND_US);
	assert_true(grant_(b, 0)->member_count > 1);
	bh__planner_process_progress(b->planner, grant_(b, 0)->grant_id, 4 * BH__SECOND_US);
	assert_int_equal(b->inspected, 0);
	bench_free_(b);
}

/* A node that decides alone does not know what others send. */
static void alone_nothing_goes_to_limited_engines_(void **state)
{
	Bench *b = bench_new_(3);

	(void)state;
	bh__planner_set_local(b->planner, true);
	limit_(b, 2, 100);
	for (unsigned i = 0; i < 5; i++) {
		BH__Ask a = ask_(b, PAGE);
		bh__planner_process_ask(b->planner, &a, (i + 1) * BH__SECOND_US);
	}
	assert_int_equal(b->grants->len, 5);
	assert_int_equal(count_parts_(b, 0, 3), 5);
	bench_free_(b);
}

/* The engines from one on want nothing of the node that asks. */
static void rest_from_(BH__Ask *a, unsigned first, unsigned last)
{
	a->backoff_count = 0;
	for (unsigned i = first; i <= last; i++)
		a->backoff[a->backoff_count++] = i;
}

/* They get nothing of that node, as the one that answers or as helpers, alone and in the rush, while other
 * nodes use them. */
static void engines_that_want_rest_are_left_to_others_(void **state)
{
	Bench *b = bench_new_(ENGINES);
	const uint64_t prompts[] = {PAGE, MEDIUM, LONG, OVER_ONE};
	unsigned others = 0;

	(void)state;
	for (unsigned round = 0; round < 40; round++) {
		BH__Ask a = ask_(b, prompts[round % 4]);
		a.node_id = 1 + round % 2;
		if (a.node_id == 1)
			rest_from_(&a, 5, ENGINES);
		bh__planner_process_ask(b->planner, &a, round * 20 * MS);
		bh__planner_process_tick(b->planner, round * 20 * MS + 10 * MS);
	}
	for (unsigned ms = 800; ms < 6000; ms += 10)
		bh__planner_process_tick(b->planner, ms * MS);
	assert_true(b->grants->len > 20);
	for (unsigned i = 0; i < b->grants->len; i++) {
		const BH__Grant *g = grant_(b, i);
		for (unsigned k = 0; k < g->member_count; k++) {
			assert_true(g->node_id == 2 || g->member[k].endpoint_id < 5);
			others += g->node_id == 2 && g->member[k].endpoint_id >= 5;
		}
	}
	assert_true(others > 0);
	bench_free_(b);
}

/* Where all that are there want rest, an ask is refused at once; one of another node is not. */
static void what_all_engines_refuse_is_refused_at_once_(void **state)
{
	Bench *b = bench_new_(3);
	BH__Ask a = ask_(b, PAGE);
	BH__Ask other = ask_(b, PAGE);

	(void)state;
	rest_from_(&a, 1, 2);
	bh__planner_set_endpoint(b->planner, 3, 0, true, 0);
	bh__planner_process_ask(b->planner, &a, 1000);
	assert_int_equal(b->refused, 1);
	assert_int_equal(b->queued, 0);
	bh__planner_process_ask(b->planner, &other, 1000);
	assert_int_equal(b->grants->len, 1);
	bench_free_(b);
}

/* An ask that waits says again and again which engines its node rests from: it gets one that is left of those
 * by now, and none that has joined them meanwhile. */
static void an_ask_that_waits_follows_the_rests_(void **state)
{
	Bench *b = bench_new_(2);
	BH__Ask first = ask_(b, PAGE);
	BH__Ask a = ask_(b, PAGE);

	(void)state;
	rest_from_(&first, 1, 1);
	bh__planner_process_ask(b->planner, &first, 1000);
	bh__planner_process_release(b->planner, grant_(b, 0)->grant_id, BH__RELEASE_FAILED, 2, 2000);
	rest_from_(&a, 1, 1);
	bh__planner_process_ask(b->planner, &a, 3000); /* the other engine is set aside */
	bh__planner_process_tick(b->planner, 10 * MS);
	assert_int_equal(b->grants->len, 1);
	rest_from_(&a, 2, 2);
	bh__planner_process_ask(b->planner, &a, 20 * MS);
	bh__planner_process_tick(b->planner, 30 * MS);
	assert_int_equal(b->grants->len, 2);
	assert_int_equal(grant_(b, 1)->member[0].endpoint_id, 1);
	bench_free_(b);
}

/* The engines that take requests of the node are set aside for longer than the ask may wait: it is refused at
 * once, and told when the first is back. */
static void what_has_to_wait_too_long_is_refused_at_once_(void **state)
{
	Bench *b = bench_new_(2);
	BH__Ask a;

	(void)state;
	for (unsigned i = 0; i < 4; i++) { /* each failure sets it aside for longer, up to 4 s */
		a = ask_(b, PAGE);
		rest_from_(&a, 1, 1);
		bh__planner_process_ask(b->planner, &a, i * 10 * BH__SECOND_US);
		bh__planner_process_release(b->planner, grant_(b, i)->grant_id, BH__RELEASE_FAILED, 2,
									i * 10 * BH__SECOND_US + MS);
	}
	a = ask_(b, PAGE);
	rest_from_(&a, 1, 1);
	bh__planner_process_ask(b->planner, &a, 30 * BH__SECOND_US + 1000 * MS);
	assert_int_equal(b->refused, 1);
	assert_in_range(b->retry_after_ms, 2900, 3100);
	a = ask_(b, PAGE); /* that of another node goes to the other engine */
	bh__planner_process_ask(b->planner, &a, 30 * BH__SECOND_US + 1000 * MS);
	assert_int_equal(b->grants->len, 5);
	a = ask_(b, PAGE); /* it is back, and asks for less rest than it would be set aside for */
	rest_from_(&a, 1, 1);
	bh__planner_process_ask(b->planner, &a, 40 * BH__SECOND_US);
	bh__planner_process_backoff(b->planner, 2, 2000 * MS, 40 * BH__SECOND_US);
	bh__planner_process_release(b->planner, grant_(b, 5)->grant_id, BH__RELEASE_FAILED, 2,
								40 * BH__SECOND_US);
	a = ask_(b, PAGE);
	rest_from_(&a, 1, 1);
	bh__planner_process_ask(b->planner, &a, 40 * BH__SECOND_US);
	assert_int_equal(b->refused, 2);
	assert_in_range(b->retry_after_ms, 1990, 2010);
	bench_free_(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limited_engines_read_no_more_parts_than_they_take_),
		cmocka_unit_test(what_limited_engines_leave_is_refused_at_once_),
		cmocka_unit_test(alone_nothing_goes_to_limited_engines_),
		cmocka_unit_test(engines_that_want_rest_are_left_to_others_),
		cmocka_unit_test(what_all_engines_refuse_is_refused_at_once_),
		cmocka_unit_test(an_ask_that_waits_follows_the_rests_),
		cmocka_unit_test(what_has_to_wait_too_long_is_refused_at_once_),
		cmocka_unit_test(limited_engines_are_not_inspected_),
		cmocka_unit_test(a_short_prompt_is_read_by_one_engine_),
		cmocka_unit_test(no_engine_is_named_twice_),
		cmocka_unit_test(no_engine_helps_more_than_its_slots_),
		cmocka_unit_test(long_prompts_keep_away_from_tight_streams_),
		cmocka_unit_test(an_engine_is_kept_for_short_prompts_),
		cmocka_unit_test(a_prompt_over_one_engine_takes_memory_on_another_),
		cmocka_unit_test(an_engine_that_is_back_holds_nothing_),
		cmocka_unit_test(an_engine_that_failed_is_left_alone_),
		cmocka_unit_test(lost_requests_are_read_to_their_end_),
		cmocka_unit_test(without_engines_requests_are_refused_at_once_),
		cmocka_unit_test(a_repeated_ask_is_granted_once_),
		cmocka_unit_test(the_ledger_is_empty_in_the_end_),
		cmocka_unit_test(holds_set_the_ledger_right_),
		cmocka_unit_test(slow_engines_are_inspected_),
		cmocka_unit_test(engines_with_overdue_answers_take_nothing_new_),
		cmocka_unit_test(nodes_alone_take_different_engines_),
		cmocka_unit_test(a_lead_is_of_one_prompt_only_),
		cmocka_unit_test(the_newest_part_is_read_first_),
		cmocka_unit_test(reading_takes_its_steps_too_),
		cmocka_unit_test(a_ledger_is_handed_over_whole_),
		cmocka_unit_test(late_prompts_use_idle_engines_),
		cmocka_unit_test(a_part_takes_its_time_to_an_engine_),
		cmocka_unit_test(an_answer_read_by_several_ends_no_pass_),
		cmocka_unit_test(a_pass_that_is_told_of_sets_the_clock_),
		cmocka_unit_test(the_first_pause_spans_two_passes_),
		cmocka_unit_test(parts_are_foretold_in_the_order_of_reading_),
		cmocka_unit_test(a_part_overtakes_only_what_can_wait_),
		cmocka_unit_test(a_part_counts_until_its_aim_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
