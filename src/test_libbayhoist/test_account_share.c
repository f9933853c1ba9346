/* SPDX-License-Identifier: BSD-3-Clause */
/* Tests of accounts that compete for engines, on virtual time. The engines do what the planner predicts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>
#include "account_share.h"
#include "bayhoist/planner.h"
#include "null_planner_port.h"

#define MS BH__MS_US
#define TICK_US (10 * MS)
#define ENGINES 18
#define ACCOUNTS 12
#define LARGE 1           /* the account that sends more than the others */
#define ORDINARY_PER_S 4  /* requests a second of each other account, together half of what the engines do */
#define CAPACITY_PER_S 90 /* requests a second that the engines can answer */
#define LEAD_US (3 * BH__SECOND_US)
#define PLAY_US (12 * BH__SECOND_US)
#define TARGET_US (300 * MS)
#define STREAM_US (2 * BH__SECOND_US)
/* A twelfth of 18 engines does 24 requests in the 1.5 s for which one may wait. */
#define WAITING_MAX 40
#define MAX_WAIT_US (1520 * MS) /* 0.75 of the 2 s that callers wait at least, and two ticks */
#define REPEATS_MAX 20          /* tries of a caller that does not wait */

typedef struct {
	BH__Ask ask;
	uint64_t arrived_us;
	uint64_t event_us;
	uint64_t grant_id;
	uint64_t asked_us; /* of the current try */
	unsigned tries;
	bool refused;
	bool streams;
	bool in_time;
	bool ended;
} Caller;

typedef struct {
	BH__PlannerPort port; /* first member, as the callbacks cast it to Site */
	BH__Planner *planner;
	BH__EngineModel model;
	GPtrArray *callers;
	GHashTable *by_ask;
	uint64_t now_us;
	uint64_t last_ask_id;
	uint64_t waited_max_us; /* longest wait of any ask */
	unsigned waiting_max;   /* most asks of the large account that waited at a time */
	uint32_t random;
} Site;

static void on_grant_(BH__PlannerPort *port, const BH__Grant *g)
{
	Site *s = (Site *)port;
	Caller *c = g_hash_table_lookup(s->by_ask, &g->ask_id);

	c->grant_id = g->grant_id;
	c->event_us = s->now_us + g->expected_us;
}

static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	Site *s = (Site *)port;
	Caller *c = g_hash_table_lookup(s->by_ask, &ask->ask_id);

	(void)reason;
	assert_true(retry_after_ms > 0);
	c->refused = true;
}

/* Gives the site a planner of the run `boot_id` that knows the engines and nothing else. */
static void start_planner_(Site *s, uint64_t boot_id)
{
	s->planner = bh__planner_new(&s->port, 3, boot_id);
	bh__planner_set_model(s->planner, &s->model);
	for (unsigned i = 1; i <= ENGINES; i++)
		bh__planner_set_endpoint(s->planner, i, 0, false, s->now_us);
}

static Site *site_new_(void)
{
	Site *s = g_new0(Site, 1);
	BH__EngineModel m;

	bh__engine_model_init(&m);
	m.slots = 12;
	m.kv_tokens = 344000;
	m.steps_per_iteration = 38;
	m.step_ms = 1.3;
	m.prefill_tokens_per_ms = 154;
	m.per_megapair_ms = 0.16;
	s->port = NullPlannerPort;
	s->port.grant = on_grant_;
	s->port.refuse = on_refuse_;
	s->model = m;
	s->now_us = BH__SECOND_US;
	start_planner_(s, 4);
	s->callers = g_ptr_array_new_with_free_func(g_free);
	s->by_ask = g_hash_table_new(g_int64_hash, g_int64_equal);
	s->random = 1;
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

static void send_ask_(Site *s, Caller *c)
{
	c->tries++;
	c->asked_us = s->now_us;
	c->refused = false;
	c->ask.ask_id = ++s->last_ask_id;
	g_hash_table_insert(s->by_ask, &c->ask.ask_id, c);
	bh__planner_process_ask(s->planner,
							&(BH__Ask){.ask_id = c->ask.ask_id,
									   .node_id = 1,
									   .boot_id = 1,
									   .account_id = c->ask.account_id,
									   .prompt_tokens = 5000,
									   .max_tokens = 700,
									   .deadline_us = 10 * BH__SECOND_US,
									   .first_event_us = TARGET_US,
									   .event_gap_us = 250 * MS},
							s->now_us);
}

static void add_callers_(Site *s, uint64_t account_id, double per_s)
{
	for (double n = per_s * TICK_US / BH__SECOND_US; random_(s) < n; n--) {
		Caller *c = g_new0(Caller, 1);
		c->arrived_us = s->now_us;
		c->ask.account_id = account_id;
		g_ptr_array_add(s->callers, c);
		send_ask_(s, c);
	}
}

/* Moves the callers forward. Those of the large account that are refused repeat without waiting. */
static void process_callers_(Site *s)
{
	unsigned waiting = 0;

	for (guint i = 0; i < s->callers->len; i++) {
		Caller *c = g_ptr_array_index(s->callers, i);
		if (c->ended)
			continue;
		if (c->refused) {
			c->ended = c->ask.account_id != LARGE || c->tries == REPEATS_MAX;
			if (!c->ended)
				send_ask_(s, c);
		}
		else if (!c->grant_id) {
			waiting += c->ask.account_id == LARGE;
			s->waited_max_us = MAX(s->waited_max_us, s->now_us - c->asked_us);
		}
		else if (s->now_us >= c->event_us && !c->streams) {
			c->streams = true;
			c->in_time = c->event_us <= c->arrived_us + TARGET_US;
			c->event_us = s->now_us + STREAM_US;
			bh__planner_process_progress(s->planner, c->grant_id, s->now_us);
		}
		else if (s->now_us >= c->event_us) {
			c->ended = true;
			bh__planner_process_release(s->planner, c->grant_id, BH__RELEASE_DONE, BH__NO_ENDPOINT,
										s->now_us);
		}
	}
	s->waiting_max = MAX(s->waiting_max, waiting);
}

/* Replaces the planner by that of a node that takes over. It learns the grants from the nodes that hold them,
 * and the asks that wait, but not what the accounts have used. */
static void change_scheduler_(Site *s)
{
	BH__Planner *old = s->planner;
	GArray *held = g_array_new(FALSE, FALSE, sizeof(BH__Grant));

	bh__planner_list_grants(old, held, s->now_us);
	start_planner_(s, 5);
	bh__planner_process_hold(s->planner, 1, 1, true, (const BH__Grant *)(const void *)held->data, held->len,
							 s->now_us);
	for (guint i = 0; i < s->callers->len; i++) {
		Caller *c = g_ptr_array_index(s->callers, i);
		if (!c->ended && !c->refused && !c->grant_id)
			send_ask_(s, c);
	}
	g_array_unref(held);
	bh__planner_delete(old);
}

/* Plays the ordinary load of all accounts for LEAD_US, then PLAY_US in which the large one sends
 * `large_per_s` requests a second. Returns the share of the other accounts' requests that were in time. */
static double play_(Site *s, double large_per_s, bool scheduler_dies)
{
	uint64_t begin_us = s->now_us + LEAD_US;
	unsigned owed = 0;
	unsigned in_time = 0;

	while (s->now_us < begin_us + PLAY_US) {
		s->now_us += TICK_US;
		if (scheduler_dies && s->now_us == begin_us + PLAY_US / 2)
			change_scheduler_(s);
		process_callers_(s);
		for (uint64_t id = 2; id <= ACCOUNTS; id++)
			add_callers_(s, id, ORDINARY_PER_S);
		add_callers_(s, LARGE, s->now_us < begin_us ? ORDINARY_PER_S : large_per_s);
		bh__planner_process_tick(s->planner, s->now_us);
	}
	for (guint i = 0; i < s->callers->len; i++) {
		const Caller *c = g_ptr_array_index(s->callers, i);
		if (c->ask.account_id == LARGE || c->arrived_us + BH__SECOND_US > s->now_us)
			continue;
		owed++;
		in_time += c->in_time;
	}
	return (double)in_time / owed;
}

/* Load: one account sends twice and five times what all engines do, from one moment to the next, and repeats
 * what is refused without waiting; also while the scheduler dies. The others get at least 95 in 100 of what
 * they get without it. */
static void others_are_served_as_if_the_large_one_were_not_there_(void **state)
{
	static const double Loads_[] = {2 * CAPACITY_PER_S, 5 * CAPACITY_PER_S};
	Site *alone = site_new_();
	double alone_share = play_(alone, 0, false);

	(void)state;
	site_free_(alone);
	for (unsigned i = 0; i < G_N_ELEMENTS(Loads_); i++) {
		for (int scheduler_dies = 0; scheduler_dies <= 1; scheduler_dies++) {
			Site *s = site_new_();
			double share = play_(s, Loads_[i], scheduler_dies);
			assert_true(share >= 0.95 * alone_share);
			/* A new scheduler takes half a second to tell the accounts apart. */
			assert_true(s->waiting_max <= WAITING_MAX + (scheduler_dies ? Loads_[i] / 2 : 0));
			assert_true(s->waited_max_us <= MAX_WAIT_US);
			site_free_(s);
		}
	}
}

/* Two accounts, one of which uses four times as much as the other by weight, or the same. */
static void a_share_counts_by_weight_(void **state)
{
	BH__AccountShares *shares = bh__account_shares_new();

	(void)state;
	bh__account_shares_note_work(shares, 1, 4, 400, BH__SECOND_US);
	assert_false(bh__account_shares_is_over(shares, 1, BH__SECOND_US)); /* nobody to compete with */
	bh__account_shares_note_work(shares, 2, 1, 100, BH__SECOND_US);
	assert_false(bh__account_shares_is_over(shares, 1, BH__SECOND_US));
	bh__account_shares_note_work(shares, 1, 4, 1000, BH__SECOND_US);
	assert_true(bh__account_shares_is_over(shares, 1, BH__SECOND_US));
	assert_false(bh__account_shares_is_over(shares, 2, BH__SECOND_US));
	assert_int_equal(bh__account_shares_get_count(shares), 2);
	assert_false(bh__account_shares_is_over(shares, 1, 60 * BH__SECOND_US)); /* forgotten by then */
	assert_int_equal(bh__account_shares_get_count(shares), 0);
	bh__account_shares_delete(shares);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(others_are_served_as_if_the_large_one_were_not_there_),
		cmocka_unit_test(a_share_counts_by_weight_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
