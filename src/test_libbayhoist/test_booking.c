/* SPDX-License-Identifier: BSD-3-Clause */
/* Tests of booked starts on virtual time: long prompts beside quick ones, beyond what the engines can take.
 * The engines of these tests do what the planner predicts; callers that are refused come back once, when they
 * were told to. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>
#include "bayhoist/planner.h"
#include "null_planner_port.h"
#include "sample_engine.h"

#define MS BH__MS_US
#define TICK_US (10 * MS)
#define POOL_ID 3
#define QUICK_TOKENS 5000
#define STREAM_US (2 * BH__SECOND_US)
#define LONG_DEADLINE_US (15 * BH__SECOND_US)
#define LONG_TARGET_US (4 * BH__SECOND_US)
#define HALF_WAIT_US (LONG_DEADLINE_US / 2)
#define NODES_MAX 300
#define PER_ENGINE_NODES 0.75 /* engines for each node of a fleet */

typedef enum { FIRST_TRY, ANSWERED_TRY, STREAMING, RETURNING, SERVED, REFUSED } CallerState;

/* One caller's request over all of its tries. */
typedef struct {
	BH__Ask ask; /* of the current try */
	uint64_t arrived_us;
	uint64_t asked_us; /* begin of the current try */
	uint64_t held_us;  /* time in tries that were refused */
	uint64_t return_us;
	uint64_t event_us; /* of the first event, then of the end */
	uint64_t grant_id;
	uint64_t shortest_return_us; /* shortest time after which it was told to come back */
	unsigned refusals;
	unsigned tries;
	CallerState state;
	bool is_long;
} Caller;

typedef struct {
	BH__PlannerPort port; /* first member, as the callbacks cast it to Site */
	BH__Planner *planner;
	BH__EngineModel model;
	unsigned engines;
	GPtrArray *callers; /* Caller, by ask id - 1 of their first try */
	GHashTable *by_ask;
	uint64_t now_us;
	uint64_t last_ask_id;
	unsigned refused_with_room; /* refusals while no prompt waits and under half of the slots are taken */
	unsigned grants;
	uint64_t stream_us; /* duration of the answers to long prompts */
	uint32_t random;
} Site;

static Caller *find_(Site *s, uint64_t ask_id)
{
	return g_hash_table_lookup(s->by_ask, &ask_id);
}

/* Returns true if under half of the slots are taken and no engine has a prompt to prefill. */
static bool has_room_(const Site *s)
{
	unsigned taken = 0;

	for (unsigned i = 0; i < bh__planner_get_engine_count(s->planner); i++) {
		BH__PlannerEngine e;
		bh__planner_get_engine(s->planner, i, &e);
		if (e.prefill_left_ms > 0)
			return false;
		taken += e.primaries;
	}
	return taken * 2 < bh__planner_get_engine_count(s->planner) * s->model.slots;
}

static void on_grant_(BH__PlannerPort *port, const BH__Grant *g)
{
	Site *s = (Site *)port;
	Caller *c = find_(s, g->ask_id);

	if (c->grant_id == g->grant_id)
		return;
	assert_int_equal(c->grant_id, 0);
	c->grant_id = g->grant_id;
	c->state = ANSWERED_TRY;
	c->event_us = s->now_us + g->expected_us;
	s->grants++;
}

static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	Site *s = (Site *)port;
	Caller *c = find_(s, ask->ask_id);
	uint64_t left_us = c->arrived_us + LONG_DEADLINE_US - s->now_us;

	(void)reason;
	s->refused_with_room += has_room_(s);
	c->held_us += s->now_us - c->asked_us;
	if (!c->refusals++ || c->shortest_return_us > retry_after_ms * MS)
		c->shortest_return_us = retry_after_ms * MS;
	c->state = c->tries > 1 ? REFUSED : RETURNING;
	c->return_us = s->now_us + MIN(retry_after_ms * MS, left_us / 3);
}

/* Gives the site a planner of the run `boot_id` that knows the engines and nothing else. */
static void start_planner_(Site *s, uint64_t boot_id)
{
	s->planner = bh__planner_new(&s->port, POOL_ID, boot_id);
	bh__planner_set_model(s->planner, &s->model);
	for (unsigned i = 1; i <= s->engines; i++)
		bh__planner_set_endpoint(s->planner, i, 0, false, s->now_us);
}

/* Returns a site of `nodes` nodes whose engines hold 344,000 tokens each. */
static Site *site_new_(unsigned nodes)
{
	Site *s = g_new0(Site, 1);

	s->port = NullPlannerPort;
	s->port.grant = on_grant_;
	s->port.refuse = on_refuse_;
	sample_engine_init(&s->model);
	s->engines = MAX((unsigned)(nodes * PER_ENGINE_NODES), 18);
	s->callers = g_ptr_array_new_with_free_func(g_free);
	s->by_ask = g_hash_table_new(g_int64_hash, g_int64_equal);
	s->now_us = BH__SECOND_US;
	s->stream_us = STREAM_US;
	s->random = 1;
	start_planner_(s, 4);
	return s;
}

static void site_free_(Site *s)
{
	bh__planner_delete(s->planner);
	g_hash_table_unref(s->by_ask);
	g_ptr_array_unref(s->callers);
	g_free(s);
}

/* Returns a pseudorandom number from 0 to 1. */
static double random_(Site *s)
{
	s->random = s->random * 1664525u + 1013904223u;
	return (double)(s->random >> 8) / (1 << 24);
}

/* Sends the ask of a caller's next try. */
static void send_ask_(Site *s, Caller *c)
{
	uint64_t elapsed_us = s->now_us - c->arrived_us;
	uint64_t target_us = c->is_long ? LONG_TARGET_US : 300 * MS;

	c->tries++;
	c->state = FIRST_TRY;
	c->asked_us = s->now_us;
	c->ask.ask_id = ++s->last_ask_id;
	c->ask.deadline_us = LONG_DEADLINE_US - elapsed_us;
	c->ask.first_event_us = target_us > elapsed_us ? target_us - elapsed_us : 1;
	g_hash_table_insert(s->by_ask, &c->ask.ask_id, c);
	bh__planner_process_ask(s->planner,
							&(BH__Ask){.ask_id = c->ask.ask_id,
									   .pool_id = POOL_ID,
									   .node_id = c->ask.node_id,
									   .boot_id = 1,
									   .prompt_tokens = c->ask.prompt_tokens,
									   .max_tokens = c->ask.max_tokens,
									   .deadline_us = c->ask.deadline_us,
									   .first_event_us = c->ask.first_event_us,
									   .event_gap_us = c->ask.event_gap_us},
							s->now_us);
}

/* Adds a caller that arrives now. */
static Caller *add_caller_(Site *s, uint64_t prompt_tokens)
{
	Caller *c = g_new0(Caller, 1);

	c->arrived_us = s->now_us;
	c->is_long = prompt_tokens > QUICK_TOKENS;
	c->ask.node_id = 1 + s->callers->len % NODES_MAX;
	c->ask.prompt_tokens = prompt_tokens;
	c->ask.max_tokens = 700;
	c->ask.event_gap_us = (c->is_long ? 1000 : 250) * MS;
	g_ptr_array_add(s->callers, c);
	send_ask_(s, c);
	return c;
}

/* Moves the callers forward to the current time. */
static void process_callers_(Site *s)
{
	for (guint i = 0; i < s->callers->len; i++) {
		Caller *c = g_ptr_array_index(s->callers, i);
		if (c->state == ANSWERED_TRY && s->now_us >= c->event_us) {
			c->state = STREAMING;
			c->event_us = s->now_us + (c->is_long ? s->stream_us : STREAM_US);
			bh__planner_process_progress(s->planner, c->grant_id, s->now_us);
		}
		else if (c->state == STREAMING && s->now_us >= c->event_us) {
			c->state = SERVED;
			bh__planner_process_release(s->planner, c->grant_id, BH__RELEASE_DONE, BH__NO_ENDPOINT,
										s->now_us);
		}
		else if (c->state == RETURNING && s->now_us >= c->return_us) {
			send_ask_(s, c);
		}
	}
}

/* Plays `duration_us` with `quick_per_s` quick and `long_per_s` long prompts a second for each 54 engines. */
static void play_(Site *s, uint64_t duration_us, double quick_per_s, double long_per_s)
{
	uint64_t end_us = s->now_us + duration_us;
	double share = (double)TICK_US / BH__SECOND_US * s->engines / 54;

	while (s->now_us < end_us) {
		s->now_us += TICK_US;
		process_callers_(s);
		for (double n = quick_per_s * share; random_(s) < n; n--)
			add_caller_(s, QUICK_TOKENS);
		for (double n = long_per_s * share; random_(s) < n; n--)
			add_caller_(s, (uint64_t)(100000 + 160000 / (0.12 + random_(s)) * 0.6));
		bh__planner_process_tick(s->planner, s->now_us);
	}
}

typedef struct {
	unsigned owed;
	unsigned in_time;
	unsigned late;
	unsigned refused;
	unsigned held_long;        /* refused for good after more than half of its time in the queue */
	unsigned returned_at_once; /* refused, and told to come back within half a second */
	unsigned quick;
	unsigned quick_in_time;
} Tally;

static Tally tally_(const Site *s)
{
	Tally t = {0};

	for (guint i = 0; i < s->callers->len; i++) {
		const Caller *c = g_ptr_array_index(s->callers, i);
		if (!c->is_long) {
			t.quick++;
			t.quick_in_time += c->state == SERVED && c->event_us <= c->arrived_us + STREAM_US + 300 * MS;
			continue;
		}
		t.owed++;
		t.in_time += c->state == SERVED && c->event_us <= c->arrived_us + STREAM_US + LONG_TARGET_US;
		t.late += c->state == SERVED && c->event_us > c->arrived_us + STREAM_US + LONG_TARGET_US;
		t.refused += c->state == REFUSED;
		t.held_long += c->state == REFUSED && c->held_us > HALF_WAIT_US;
		t.returned_at_once += c->refusals && c->shortest_return_us < BH__SECOND_US / 2;
	}
	return t;
}

/* Plays a burst of long prompts beside 75 quick ones a second for each 54 engines. */
static Site *play_burst_(unsigned nodes, uint64_t duration_us, double long_per_s)
{
	Site *s = site_new_(nodes);

	play_(s, 2 * BH__SECOND_US, 75, MIN(long_per_s, 1.7));
	play_(s, duration_us, 75, long_per_s);
	play_(s, 14 * BH__SECOND_US, 75, 0);
	return s;
}

/* Load: for some seconds six times as many long prompts as before, 9.9 a second for each 54 engines, beside
 * quick ones. Without a booking, a caller that could not be served waited for 0.45 of its time, was told to
 * come back at once, and waited again. */
static void long_prompts_beyond_capacity_are_not_held_in_vain_(void **state)
{
	static const struct {
		unsigned nodes;
		uint64_t burst_us;
	} Fleets_[] = {{9, 10 * BH__SECOND_US}, {72, 10 * BH__SECOND_US}, {300, 4 * BH__SECOND_US}};

	(void)state;
	for (unsigned k = 0; k < G_N_ELEMENTS(Fleets_); k++) {
		Site *s = play_burst_(Fleets_[k].nodes, Fleets_[k].burst_us, 9.9);
		Tally t = tally_(s);
		assert_int_equal(t.in_time + t.late + t.refused, t.owed);
		assert_int_equal(t.held_long, 0);
		assert_int_equal(t.returned_at_once, 0);
		assert_int_equal(s->refused_with_room, 0);
		site_free_(s);
	}
}

/* The quick prompts of the same burst are in time as often as without long ones, but for one in 50. */
static void quick_prompts_do_not_pay_for_bookings_(void **state)
{
	Site *alone = play_burst_(72, 10 * BH__SECOND_US, 0);
	Site *beside = play_burst_(72, 10 * BH__SECOND_US, 9.9);
	Tally a = tally_(alone);
	Tally b = tally_(beside);

	(void)state;
	assert_true((double)b.quick_in_time / b.quick >= 0.98 * a.quick_in_time / a.quick);
	site_free_(alone);
	site_free_(beside);
}

/* Returns a site of `engines` engines that read quickly, each of which writes the answer to a prompt that
 * leaves little of its memory. */
static Site *full_site_new_(unsigned engines)
{
	Site *s = site_new_(9);

	bh__planner_delete(s->planner);
	s->engines = engines;
	s->stream_us = 5 * BH__SECOND_US;
	s->model.prefill_tokens_per_ms = 200;
	s->model.per_megapair_ms = 0;
	start_planner_(s, 4);
	for (unsigned i = 0; i < engines; i++)
		add_caller_(s, 300000);
	play_(s, 2500 * MS, 0, 0);
	assert_int_equal(s->grants, engines);
	return s;
}

/* Failure: three of four engines leave while a prompt that needs the memory of two has a booked start. Its
 * caller is sent away at once, and finds its place when it comes back. */
static void a_booking_lost_with_its_engines_is_told_at_once_(void **state)
{
	Site *s = full_site_new_(4);
	Caller *c = add_caller_(s, 600000);
	BH__BookingInfo info;
	uint64_t lost_us;

	(void)state;
	play_(s, 300 * MS, 0, 0);
	assert_int_equal(c->state, FIRST_TRY);
	assert_int_equal(bh__planner_count_bookings(s->planner), 1);
	for (uint64_t id = 2; id <= 4; id++)
		bh__planner_remove_endpoint(s->planner, id, s->now_us);
	lost_us = s->now_us;
	play_(s, 500 * MS, 0, 0);
	assert_int_equal(c->state, RETURNING);
	assert_true(c->asked_us + c->held_us <= lost_us + 500 * MS);
	assert_true(c->return_us >= s->now_us + BH__SECOND_US);
	assert_int_equal(bh__planner_count_bookings(s->planner), 1); /* from the time of its return */
	assert_true(bh__planner_get_booking(s->planner, 0, &info));
	assert_true(info.is_away && info.start_us == c->return_us);
	assert_false(bh__planner_get_booking(s->planner, 1, &info));
	for (uint64_t id = 2; id <= 4; id++)
		bh__planner_set_endpoint(s->planner, id, 1, false, s->now_us);
	play_(s, c->return_us - s->now_us + BH__SECOND_US, 0, 0);
	assert_int_equal(bh__planner_get_booking_counters(s->planner)->returned, 1);
	assert_true(c->state == ANSWERED_TRY || c->state == STREAMING);
	site_free_(s);
}

/* A prompt that waits for memory starts when it was booked to. */
static void a_booked_start_is_kept_(void **state)
{
	Site *s = full_site_new_(4);
	Caller *c;
	uint64_t start_us;
	uint64_t wait_us;
	uint64_t kept;

	(void)state;
	play_(s, 6 * BH__SECOND_US, 0, 0); /* the duration of a stream is known now */
	for (unsigned i = 0; i < 4; i++)
		add_caller_(s, 300000);
	play_(s, 2500 * MS, 0, 0);
	assert_int_equal(s->grants, 8);
	c = add_caller_(s, 600000);
	start_us = bh__planner_get_booked_start(s->planner, c->ask.ask_id);
	wait_us = start_us - s->now_us;
	assert_true(start_us != UINT64_MAX);
	kept = bh__planner_get_booking_counters(s->planner)->kept;
	while (c->state == FIRST_TRY)
		play_(s, TICK_US, 0, 0);
	assert_int_equal(c->state, ANSWERED_TRY);
	assert_true(s->now_us + wait_us / 10 >= start_us && s->now_us <= start_us + wait_us / 10);
	assert_int_equal(bh__planner_get_booking_counters(s->planner)->kept, kept + 1);
	assert_int_equal(bh__planner_count_bookings(s->planner), 0);
	site_free_(s);
}

/* Lists what the site's callers hold, for the planner that takes over. */
static GArray *list_held_(const Site *s)
{
	GArray *held = g_array_new(FALSE, FALSE, sizeof(BH__Grant));

	bh__planner_list_grants(s->planner, held, s->now_us);
	return held;
}

/* Failure: the scheduler dies. Its successor learns the grants, and the asks when the nodes repeat them. */
static void a_new_scheduler_books_the_same_starts_once_(void **state)
{
	Site *s = full_site_new_(4);
	BH__Planner *old = s->planner;
	Caller *c = add_caller_(s, 600000);
	uint64_t start_us = bh__planner_get_booked_start(old, c->ask.ask_id);
	uint64_t wait_us = start_us - s->now_us;
	GArray *held = list_held_(s);

	(void)state;
	assert_true(start_us != UINT64_MAX);
	start_planner_(s, 5);
	bh__planner_process_hold(s->planner, 1, 1, true, (const BH__Grant *)(const void *)held->data, held->len,
							 s->now_us);
	for (unsigned i = 0; i < 3; i++) {
		bh__planner_process_ask(s->planner, &c->ask, s->now_us);
		bh__planner_process_tick(s->planner, s->now_us);
	}
	assert_int_equal(bh__planner_count_bookings(s->planner), 1);
	assert_int_equal(bh__planner_get_booking_counters(s->planner)->booked, 1);
	assert_true(labs((long)bh__planner_get_booked_start(s->planner, c->ask.ask_id) - (long)start_us) <=
				(long)wait_us / 10);
	bh__planner_process_withdraw(s->planner, c->ask.ask_id);
	assert_int_equal(bh__planner_count_bookings(s->planner), 0);
	g_array_unref(held);
	bh__planner_delete(old);
	site_free_(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(long_prompts_beyond_capacity_are_not_held_in_vain_),
		cmocka_unit_test(quick_prompts_do_not_pay_for_bookings_),
		cmocka_unit_test(a_booking_lost_with_its_engines_is_told_at_once_),
		cmocka_unit_test(a_booked_start_is_kept_),
		cmocka_unit_test(a_new_scheduler_books_the_same_starts_once_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
