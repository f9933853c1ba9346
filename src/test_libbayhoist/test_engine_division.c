/* SPDX-License-Identifier: BSD-3-Clause */
/* Tests of how engines are divided between tight streams and long prompts, on virtual time: the real planner
 * before model engines, with a mix that turns from one kind to the other within a second. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>
#include "../bench/pass_engine.h"
#include "bayhoist/ask_timeout.h"
#include "bayhoist/planner.h"
#include "engine_division.h"
#include "null_planner_port.h"
#include "sample_engine.h"

#define MS BH__MS_US
#define TURN_US (4 * BH__SECOND_US)
#define END_US (8 * BH__SECOND_US)
#define TICK_US (10 * MS)
#define DELIVERY_MAX_US (9 * MS) /* from the planner to the engines */
/* Requests a second for each engine, and the factors by which they swell and shrink. */
#define TIGHT_PER_S 1.4
#define LONG_PER_S 0.032
#define SWOLLEN_TIGHT 2.5
#define SWOLLEN_LONG 2.8
#define SHRUNK_TIGHT 0.35
#define SHRUNK_LONG 0.05
/* Of 100 tight requests so many are in time, and fewer than so many pause for too long. */
#define IN_TIME_PERCENT 97
#define PAUSED_PERCENT 1

typedef struct {
	PassRequest pass; /* first member, as the fleet's callbacks cast it */
	BH__Ask ask;
	BH__Grant grant;
	uint64_t arrived_us;
	uint64_t start_us; /* when the grant reaches the engines; 0: no grant yet */
	bool started;
	bool refused;
	bool lost; /* one of its engines was lost */
} Request;

/* What happens at the turn. */
typedef enum { TURN_ONLY, TURN_NEW_PLANNER, TURN_LOST_ENGINES } TurnFault;

typedef struct {
	unsigned tight;
	unsigned in_time; /* of the tight ones */
	unsigned paused;  /* of the tight ones, for too long */
	unsigned longs;
	unsigned longs_in_time;
} Counts;

typedef struct {
	BH__PlannerPort port; /* first member, as the callbacks cast it */
	BH__Planner *planner;
	PassFleet *fleet;
	BH__EngineModel model;
	GPtrArray *requests; /* Request in the order of arrival */
	uint64_t now_us;
	uint64_t random;
	unsigned engines;
} Run;

/* Returns a pseudo-random number from 0 to 1. */
static double draw_(Run *run)
{
	run->random = run->random * 6364136223846793005 + 1442695040888963407;
	return (double)(run->random >> 11) / 9007199254740992.0;
}

static void on_grant_(BH__PlannerPort *port, const BH__Grant *g)
{
	Run *run = (Run *)port;
	Request *r = g_ptr_array_index(run->requests, g->ask_id - 1);

	r->grant = *g;
	r->start_us = run->now_us + (uint64_t)(draw_(run) * DELIVERY_MAX_US) + MS;
}

static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	(void)reason;
	(void)retry_after_ms;
	((Request *)g_ptr_array_index(((Run *)port)->requests, ask->ask_id - 1))->refused = true;
}

static void on_inspect_(BH__PlannerPort *port, uint64_t endpoint_id)
{
	bh__planner_process_slowdown(((Run *)port)->planner, endpoint_id, 1, ((Run *)port)->now_us);
}

static void on_first_(void *ctx, PassRequest *p, uint64_t now_us)
{
	Request *r = (Request *)p;

	r->grant.has_first_event = true;
	if (!r->lost)
		bh__planner_process_progress(((Run *)ctx)->planner, r->grant.grant_id, now_us);
}

static void on_done_(void *ctx, PassRequest *p, uint64_t now_us)
{
	Request *r = (Request *)p;

	if (!r->lost)
		bh__planner_process_release(((Run *)ctx)->planner, r->grant.grant_id, BH__RELEASE_DONE,
									BH__NO_ENDPOINT, now_us);
}

/* Draws the arrivals of one kind between two times. */
static void add_requests_(Run *run, bool tight, double per_s, uint64_t from_us, uint64_t to_us)
{
	double at_us = (double)from_us;

	while ((at_us -= log(1 - draw_(run)) / per_s * 1e6) < (double)to_us) {
		Request *r = g_new0(Request, 1);
		r->arrived_us = (uint64_t)at_us;
		r->pass.prompt_tokens = (uint64_t)((tight ? 1000 : 60000) + draw_(run) * (tight ? 8000 : 300000));
		r->pass.events = (unsigned)(5 + draw_(run) * (tight ? 60 : 25));
		r->ask = (BH__Ask){.pool_id = 1,
						   .node_id = 1,
						   .boot_id = 1,
						   .prompt_tokens = r->pass.prompt_tokens,
						   .max_tokens = r->pass.events * run->model.steps_per_iteration,
						   .deadline_us = (tight ? 10 : 15) * BH__SECOND_US,
						   .first_event_us = (tight ? 300 : 4000) * MS,
						   .event_gap_us = (tight ? 250 : 1000) * MS};
		g_ptr_array_add(run->requests, r);
	}
}

static gint compare_arrival_(gconstpointer a, gconstpointer b)
{
	const Request *const *x = a;
	const Request *const *y = b;

	return (*x)->arrived_us < (*y)->arrived_us ? -1 : (*x)->arrived_us > (*y)->arrived_us;
}

static void new_planner_(Run *run)
{
	run->planner = bh__planner_new(&run->port, 1, 1 + run->now_us);
	bh__planner_set_model(run->planner, &run->model);
	for (unsigned i = 0; i < run->engines; i++)
		bh__planner_set_endpoint(run->planner, i + 1, 0, false, run->now_us);
}

static bool is_running_(const Request *r)
{
	return r->start_us && !r->pass.done_us && !r->lost;
}

/* The scheduler dies: another planner takes over with the grants that the nodes hold, and the asks that
 * waited come again. */
static void take_over_(Run *run)
{
	GArray *held = g_array_new(FALSE, FALSE, sizeof(BH__Grant));

	bh__planner_delete(run->planner);
	new_planner_(run);
	for (guint i = 0; i < run->requests->len; i++) {
		Request *r = g_ptr_array_index(run->requests, i);
		r->grant.age_us = run->now_us - r->arrived_us;
		if (is_running_(r))
			g_array_append_val(held, r->grant);
	}
	bh__planner_process_hold(run->planner, 1, 1, true, (const BH__Grant *)(void *)held->data, held->len,
							 run->now_us);
	g_array_unref(held);
	for (guint i = 0; i < run->requests->len; i++) {
		Request *r = g_ptr_array_index(run->requests, i);
		if (r->ask.ask_id && !r->start_us && !r->refused)
			bh__planner_process_ask(run->planner, &r->ask, run->now_us);
	}
}

/* Every third engine is lost with all that it worked on. */
static void lose_engines_(Run *run)
{
	for (unsigned i = 2; i < run->engines; i += 3)
		bh__planner_remove_endpoint(run->planner, i + 1, run->now_us);
	for (guint i = 0; i < run->requests->len; i++) {
		Request *r = g_ptr_array_index(run->requests, i);
		for (unsigned k = 0; is_running_(r) && k < r->grant.member_count; k++)
			r->lost |= r->grant.member[k].endpoint_id % 3 == 0;
		if (r->lost && r->start_us && !r->pass.done_us)
			bh__planner_process_release(run->planner, r->grant.grant_id, BH__RELEASE_LOST, BH__NO_ENDPOINT,
										run->now_us);
	}
}

/* Sends the granted requests whose time has come to their engines. */
static void start_granted_(Run *run)
{
	for (guint i = 0; i < run->requests->len; i++) {
		Request *r = g_ptr_array_index(run->requests, i);
		unsigned engine[BH__GRANT_MEMBERS_MAX];
		if (r->arrived_us > run->now_us)
			return;
		if (r->started || !r->start_us || r->start_us > run->now_us || r->lost)
			continue;
		for (unsigned k = 0; k < r->grant.member_count; k++)
			engine[k] = (unsigned)r->grant.member[k].endpoint_id - 1;
		r->started = true;
		pass_fleet_start(run->fleet, &r->pass, engine, r->grant.member_count, run->now_us);
	}
}

/* Plays in steps of a millisecond, until nobody waits for long any more. */
static void play_(Run *run, TurnFault fault)
{
	guint next = 0;

	for (run->now_us = MS; run->now_us < END_US + 6 * BH__SECOND_US; run->now_us += MS) {
		if (run->now_us == TURN_US + 100 * MS && fault == TURN_NEW_PLANNER)
			take_over_(run);
		if (run->now_us == TURN_US + 100 * MS && fault == TURN_LOST_ENGINES)
			lose_engines_(run);
		while (pass_fleet_get_next_us(run->fleet) <= run->now_us)
			pass_fleet_process(run->fleet, pass_fleet_get_next_us(run->fleet));
		for (; next < run->requests->len; next++) {
			Request *r = g_ptr_array_index(run->requests, next);
			if (r->arrived_us > run->now_us)
				break;
			r->ask.ask_id = next + 1;
			bh__planner_process_ask(run->planner, &r->ask, run->now_us);
		}
		start_granted_(run);
		if (run->now_us % TICK_US == 0)
			bh__planner_process_tick(run->planner, run->now_us);
	}
}

static bool is_tight_(const Request *r)
{
	return r->ask.event_gap_us == 250 * MS;
}

/* Adds up the requests that no lost engine had. */
static void count_(const Run *run, Counts *c)
{
	for (guint i = 0; i < run->requests->len; i++) {
		const Request *r = g_ptr_array_index(run->requests, i);
		bool first = r->pass.first_us && r->pass.first_us <= r->arrived_us + r->ask.first_event_us;
		bool smooth = r->pass.pause_us <= r->ask.event_gap_us;
		if (r->lost)
			continue;
		c->tight += is_tight_(r);
		c->longs += !is_tight_(r);
		c->in_time += is_tight_(r) && first && smooth;
		c->paused += is_tight_(r) && !smooth;
		c->longs_in_time += !is_tight_(r) && first && smooth;
	}
}

static void open_(Run *run, unsigned engines)
{
	run->engines = engines;
	run->port = NullPlannerPort;
	run->port.grant = on_grant_;
	run->port.refuse = on_refuse_;
	run->port.inspect = on_inspect_;
	sample_engine_init(&run->model);
	run->fleet = pass_fleet_new(&run->model, engines, on_first_, on_done_, run);
	run->requests = g_ptr_array_new_with_free_func(g_free);
	new_planner_(run);
}

static void close_(Run *run)
{
	bh__planner_delete(run->planner);
	pass_fleet_delete(run->fleet);
	g_ptr_array_unref(run->requests);
}

/* Plays a mix that turns from swollen tight prompts to swollen long ones, or the other way. */
static void play_turn_(unsigned engines, bool to_long, TurnFault fault, uint64_t seed, Counts *counts)
{
	Run run = {.random = seed};
	double tight[2] = {SWOLLEN_TIGHT, SHRUNK_TIGHT};
	double longs[2] = {SHRUNK_LONG, SWOLLEN_LONG};

	open_(&run, engines);
	for (unsigned phase = 0; phase < 2; phase++) {
		unsigned k = to_long ? phase : 1 - phase;
		uint64_t from_us = phase * TURN_US;
		add_requests_(&run, true, TIGHT_PER_S * engines * tight[k], from_us, from_us + TURN_US);
		add_requests_(&run, false, LONG_PER_S * engines * longs[k], from_us, from_us + TURN_US);
	}
	g_ptr_array_sort(run.requests, compare_arrival_);
	play_(&run, fault);
	count_(&run, counts);
	close_(&run);
}

/* Plays the turn with the fleets that stand behind 9, 72 and 300 nodes, small ones more often, and checks the
 * tight requests. */
static void check_turn_(bool to_long, TurnFault fault)
{
	static const unsigned Engines[] = {18, 54, 150};
	static const unsigned Plays[] = {40, 8, 2};

	for (unsigned i = 0; i < G_N_ELEMENTS(Engines); i++) {
		Counts c = {0};
		for (unsigned seed = 1; seed <= Plays[i]; seed++)
			play_turn_(Engines[i], to_long, fault, seed, &c);
		print_message("%u engines: %u tight, in time %u, paused %u; %u long, in time %u\n", Engines[i],
					  c.tight, c.in_time, c.paused, c.longs, c.longs_in_time);
		assert_true(c.in_time * 100 >= c.tight * IN_TIME_PERCENT);
		assert_true(c.paused * 100 <= c.tight * PAUSED_PERCENT);
	}
}

static void a_mix_that_turns_to_long_prompts_(void **state)
{
	(void)state;
	check_turn_(true, TURN_ONLY);
}

static void a_mix_that_turns_to_tight_prompts_(void **state)
{
	(void)state;
	check_turn_(false, TURN_ONLY);
}

static void a_scheduler_that_dies_in_the_turn_to_long_prompts_(void **state)
{
	(void)state;
	check_turn_(true, TURN_NEW_PLANNER);
}

static void a_scheduler_that_dies_in_the_turn_to_tight_prompts_(void **state)
{
	(void)state;
	check_turn_(false, TURN_NEW_PLANNER);
}

static void a_third_of_the_engines_is_lost_in_the_turn_(void **state)
{
	(void)state;
	check_turn_(true, TURN_LOST_ENGINES);
}

/* Asks for a short tight prompt at a time. Returns the request. */
static Request *ask_tight_(Run *run, uint64_t first_event_us, uint64_t now_us)
{
	Request *r = g_new0(Request, 1);

	run->now_us = now_us;
	g_ptr_array_add(run->requests, r);
	r->ask = (BH__Ask){.ask_id = run->requests->len,
					   .pool_id = 1,
					   .node_id = 1,
					   .boot_id = 1,
					   .prompt_tokens = 4000,
					   .max_tokens = 1000,
					   .deadline_us = 10 * BH__SECOND_US,
					   .first_event_us = first_event_us,
					   .event_gap_us = 250 * MS};
	bh__planner_process_ask(run->planner, &r->ask, now_us);
	return r;
}

/* The engine that fills up first is in a long iteration: a prompt that would be late there goes to another
 * engine at once, and is not kept until it is late on all of them. */
static void a_tight_prompt_does_not_wait_for_the_fullest_engine_(void **state)
{
	Run run = {.random = 1};
	Request *first;
	Request *late;
	uint64_t engine;

	(void)state;
	open_(&run, 4);
	first = ask_tight_(&run, 300 * MS, MS);
	engine = first->grant.member[0].endpoint_id;
	bh__planner_process_progress(run.planner, first->grant.grant_id, 40 * MS);
	for (unsigned i = 0; i < 3; i++)
		assert_int_equal(ask_tight_(&run, 300 * MS, 41 * MS)->grant.member[0].endpoint_id, engine);
	late = ask_tight_(&run, 220 * MS, 92 * MS);
	assert_true(late->start_us > 0);
	assert_true(late->grant.member[0].endpoint_id != engine);
	close_(&run);
}

/* A part counts twice, for the current iteration and for the next, as long as it is not known that the engine
 * began the current one after the part had come. */
static void parts_of_an_iteration_that_is_not_observed_are_uncertain_(void **state)
{
	BH__EngineModel m;
	BH__IterationClock c;
	BH__PrefillPart part = {.grant_id = 1, .left_ms = 60, .for_helper = true};

	(void)state;
	bh__engine_model_init(&m);
	m.steps_per_iteration = 50;
	m.step_ms = 1;
	bh__iteration_clock_init(&c);
	bh__iteration_clock_begin_stream(&c, &m, 0, 0);
	bh__iteration_clock_add_part(&c, &part, 10 * MS);
	bh__iteration_clock_advance(&c, &m, 70 * MS); /* an iteration is predicted to have begun at 50 ms */
	assert_true(c.iteration_part_count == 1);
	assert_true(bh__iteration_clock_get_uncertain_ms(&c, 70 * MS) == 60);
	bh__iteration_clock_clear(&c);

	bh__iteration_clock_init(&c);
	bh__iteration_clock_begin_stream(&c, &m, 0, 0);
	bh__iteration_clock_add_part(&c, &part, 10 * MS);
	bh__iteration_clock_advance(&c, &m, 49 * MS);
	bh__iteration_clock_note_iteration(&c, &m, 49 * MS, 49 * MS); /* that iteration has ended */
	assert_true(c.iteration_part_count == 1);
	assert_true(bh__iteration_clock_get_uncertain_ms(&c, 51 * MS) == 60);
	assert_true(bh__iteration_clock_get_uncertain_ms(&c, 70 * MS) == 0);
	bh__iteration_clock_clear(&c);
}

/* As many engines are set aside as the tight requests need by the slots of an engine. */
static void engines_are_set_aside_by_their_slots_(void **state)
{
	BH__EngineModel m = {.slots = 12};
	BH__EngineDivision s = {.tight_count = 100};

	(void)state;
	assert_true(bh__engine_division_get_wanted(&s, &m) * (m.slots - 1) >= 100);
	assert_true(bh__engine_division_get_wanted(&s, &m) <= 10);
	m.slots = 24;
	assert_true(bh__engine_division_get_wanted(&s, &m) <= 5);
	m.slots = 1;
	assert_true(bh__engine_division_get_wanted(&s, &m) >= 100);
}

/* A prompt waits for a silent scheduler as long as its own target allows, and at least for one answer. */
static void silence_is_borne_by_the_target_(void **state)
{
	BH__Ask ask = {.first_event_us = 0};

	(void)state;
	assert_int_equal(bh__ask_get_timeout_us(&ask), BH__ASK_REPEAT_US);
	ask.first_event_us = 300 * MS;
	assert_int_equal(bh__ask_get_timeout_us(&ask), BH__ASK_REPEAT_US);
	ask.first_event_us = 4000 * MS;
	assert_true(bh__ask_get_timeout_us(&ask) >= 200 * MS);
	assert_true(bh__ask_get_timeout_us(&ask) <= 1000 * MS);
	ask.first_event_us = 1; /* late already */
	ask.deadline_us = 8000 * MS;
	ask.event_gap_us = 1000 * MS;
	assert_true(bh__ask_get_timeout_us(&ask) >= 200 * MS);
	ask.event_gap_us = 250 * MS;
	assert_int_equal(bh__ask_get_timeout_us(&ask), BH__ASK_REPEAT_US);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_tight_prompt_does_not_wait_for_the_fullest_engine_),
		cmocka_unit_test(parts_of_an_iteration_that_is_not_observed_are_uncertain_),
		cmocka_unit_test(engines_are_set_aside_by_their_slots_),
		cmocka_unit_test(silence_is_borne_by_the_target_),
		cmocka_unit_test(a_mix_that_turns_to_long_prompts_),
		cmocka_unit_test(a_mix_that_turns_to_tight_prompts_),
		cmocka_unit_test(a_scheduler_that_dies_in_the_turn_to_long_prompts_),
		cmocka_unit_test(a_scheduler_that_dies_in_the_turn_to_tight_prompts_),
		cmocka_unit_test(a_third_of_the_engines_is_lost_in_the_turn_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
