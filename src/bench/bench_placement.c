/* SPDX-License-Identifier: BSD-3-Clause */
/* Placement of prompts of very unlike lengths on engines that work in passes: the real planner against
 * simpler policies, over the mixes of the users' sheets, in virtual time and without faults. Prints the share
 * of the worth that is earned, with its standard error over the seeds. */
#include <getopt.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "bayhoist/planner.h"
#include "pass_engine.h"

#define ENGINES_MAX 60
#define KINDS 3
#define PHASES 3
#define PHASE_US (11400 * BH__MS_US)
#define NETWORK_US (3 * BH__MS_US) /* from a node to an engine, and back */
#define TICK_US (10 * BH__MS_US)
#define LANE_SHARE 2 /* of the policy with fixed lanes: one engine in so many is for long prompts */
#define LANE_TOKENS 20000
#define PART_TOKENS 8000 /* of the policy that reads in parts without pacing */

/* One kind of request, from the users' sheets. */
typedef struct {
	const char *name;
	double share; /* of requests */
	double prompt_mean, prompt_spread, prompt_max;
	double events_mean, events_spread, events_max;
	uint64_t target_ms, gap_ms, limit_ms;
	double worth, late_worth;
	double factor[PHASES]; /* of its rate */
} Kind;

/* A deployment of the users' sheets. */
typedef struct {
	const char *name;
	unsigned engines;
	uint32_t slots;
	uint32_t tokens_per_event;
	Kind kind[KINDS];
} Site;

static const Site Sites_[] = {
	{"small",
	 18,
	 16,
	 46,
	 {{"page", 39.5, 4960, 0.9, 23800, 34.9, 0.7, 87, 300, 200, 10000, 1.3, 0.33, {0.35, 2.4, 0.32}},
	  {"manual", 2.87, 45000, 0.5, 110000, 20.9, 0.6, 52, 1500, 500, 10000, 3.1, 0.79, {1.3, 0.5, 1.3}},
	  {"archive", 1.19, 210000, 0.55, 1000000, 17.4, 0.5, 43, 3000, 800, 15000, 22, 5.4, {2.8, 0.05, 2.8}}}},
	{"grown",
	 60,
	 12,
	 52,
	 {{"page", 102, 4960, 0.9, 23800, 33, 0.7, 82.5, 300, 200, 10000, 1.4, 0.34, {0.32, 2.5, 0.33}},
	  {"manual", 9.38, 45000, 0.5, 110000, 19.8, 0.6, 49.5, 1500, 500, 10000, 2.6, 0.66, {1.3, 0.5, 1.3}},
	  {"archive",
	   2.13,
	   300000,
	   0.55,
	   1000000,
	   16.5,
	   0.5,
	   41.2,
	   4000,
	   800,
	   15000,
	   30,
	   7.5,
	   {2.8, 0.05, 2.9}}}}};

typedef enum { POLICY_PLANNER, POLICY_LEAST_WORK, POLICY_LANES, POLICY_PARTS, POLICY_COUNT } Policy;

static const char *const PolicyString_[POLICY_COUNT] = {"planner", "least-work", "lanes", "parts-unpaced"};

typedef struct {
	PassRequest pass; /* first */
	unsigned kind;
	uint64_t arrived_us;
	uint64_t ask_id;
	uint64_t grant_id;
	bool refused;
} Request;

/* How many engines name which limit. */
typedef struct {
	unsigned engines;
	double per_s;
} Limits;

/* Something that happens at a time. */
typedef struct {
	uint64_t at_us;
	uint64_t order;
	Request *request;
	BH__Grant *grant; /* that reaches the engines; NULL: the request arrives */
} Event;

typedef struct {
	BH__PlannerPort port; /* first */
	const Site *site;
	Policy policy;
	BH__EngineModel model;
	BH__Planner *planner;
	PassFleet *fleet;
	GPtrArray *requests;
	GSequence *events;
	uint64_t next_order;
	uint64_t now_us;
	GHashTable *by_ask;
} Run;

typedef struct {
	double owed[KINDS];
	double earned[KINDS];
	unsigned count[KINDS];
	unsigned in_time[KINDS];
	unsigned served[KINDS];
	unsigned large[KINDS]; /* those of more than twice the mean */
	unsigned large_served[KINDS];
} Result;

static const Site *find_site_(const char *name);
static void set_model_(const Site *site, BH__EngineModel *m);
static double draw_(gsl_rng *rng, double mean, double spread, double max);
static void draw_requests_(Run *run, gsl_rng *rng, double per_s);
static void push_(Run *run, uint64_t at_us, Request *request, const BH__Grant *grant);
static gint compare_events_(gconstpointer a, gconstpointer b, gpointer data);
static void run_(const Site *site, const Limits *limits, Policy policy, double per_s, unsigned long seed,
				 Result *out);
static void set_limits_(BH__Planner *p, const Limits *limits);
static void play_(Run *run);
static void arrive_(Run *run, Request *r);
static void place_simply_(Run *run, Request *r);
static void start_(Run *run, Request *r, const BH__Grant *g);
static void on_grant_(BH__PlannerPort *port, const BH__Grant *g);
static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms);
static void on_queued_(BH__PlannerPort *port, const BH__Ask *ask);
static void on_abandoned_(BH__PlannerPort *port, const BH__Grant *g);
static void on_inspect_(BH__PlannerPort *port, uint64_t endpoint_id);
static void on_first_(void *ctx, PassRequest *r, uint64_t now_us);
static void on_done_(void *ctx, PassRequest *r, uint64_t now_us);
static void judge_(const Run *run, Result *out);
static void print_(const Site *site, Policy policy, double per_s, unsigned seeds, const Result *results);

int main(int argc, char **argv)
{
	static const struct option Options[] = {
		{"seeds", required_argument, NULL, 's'},   {"load", required_argument, NULL, 'l'},
		{"policy", required_argument, NULL, 'p'},  {"site", required_argument, NULL, 'S'},
		{"limited", required_argument, NULL, 'n'}, {"limit", required_argument, NULL, 'L'},
		{"help", no_argument, NULL, 'h'},          {NULL, 0, NULL, 0}};
	unsigned seeds = 3;
	double loads[2] = {41, 55};
	unsigned load_count = 2;
	const char *only = NULL;
	const Site *site = &Sites_[0];
	Limits limits = {0};
	int option;

	while ((option = getopt_long(argc, argv, "s:l:p:S:n:L:h", Options, NULL)) != -1) {
		if (option == 's') {
			seeds = (unsigned)strtoul(optarg, NULL, 10);
		}
		else if (option == 'l') {
			loads[0] = strtod(optarg, NULL);
			load_count = 1;
		}
		else if (option == 'p') {
			only = optarg;
		}
		else if (option == 'n') {
			limits.engines = (unsigned)strtoul(optarg, NULL, 10);
		}
		else if (option == 'L') {
			limits.per_s = strtod(optarg, NULL);
		}
		else if (option == 'S') {
			site = find_site_(optarg);
		}
		else {
			puts("Usage: bench_placement [--seeds N] [--load REQUESTS_PER_S] [--policy NAME] [--site "
				 "small|grown] [--limited ENGINES --limit REQUESTS_PER_S]");
			return option == 'h' ? 0 : 64;
		}
	}
	if (!seeds || seeds > 10000) {
		fputs("bench_placement: --seeds must be 1 to 10000\n", stderr);
		return 64;
	}
	if (!site) {
		fputs("bench_placement: --site must be small or grown\n", stderr);
		return 64;
	}
	for (unsigned l = 0; l < load_count; l++) {
		for (int p = 0; p < POLICY_COUNT; p++) {
			Result *results = g_new0(Result, seeds);
			if (only && strcmp(only, PolicyString_[p]) != 0)
				continue;
			for (unsigned s = 0; s < seeds; s++)
				run_(site, &limits, (Policy)p, loads[l], s + 1, &results[s]);
			print_(site, (Policy)p, loads[l], seeds, results);
			g_free(results);
		}
	}
	return 0;
}

/* Returns the deployment of that name, or NULL. */
static const Site *find_site_(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(Sites_); i++)
		if (!strcmp(Sites_[i].name, name))
			return &Sites_[i];
	return NULL;
}

/* The engines of the users' sheets. */
static void set_model_(const Site *site, BH__EngineModel *m)
{
	bh__engine_model_init(m);
	m->slots = site->slots;
	m->kv_tokens = 450000;
	m->steps_per_iteration = site->tokens_per_event;
	m->tokens_per_step = 2048;
	m->step_ms = 0.925;
	m->per_stream_ms = 0.00483;
	m->per_kilotoken_ms = 0.00254;
	m->prefill_tokens_per_ms = 256;
	m->per_megapair_ms = 0.0917;
	m->hop_ms = 0.1;
}

/* Draws from a lognormal distribution with that mean and relative spread. */
static double draw_(gsl_rng *rng, double mean, double spread, double max)
{
	double sigma = sqrt(log(1 + spread * spread));

	return CLAMP(gsl_ran_lognormal(rng, log(mean) - sigma * sigma / 2, sigma), 1, max);
}

static void draw_requests_(Run *run, gsl_rng *rng, double per_s)
{
	const Kind *kind = run->site->kind;
	double sum = 0;

	for (unsigned k = 0; k < KINDS; k++)
		sum += kind[k].share;
	for (unsigned k = 0; k < KINDS; k++) {
		for (unsigned phase = 0; phase < PHASES; phase++) {
			double rate_per_us = per_s * kind[k].share / sum * kind[k].factor[phase] / 1e6;
			double at_us = (double)(phase * PHASE_US);
			while ((at_us += gsl_ran_exponential(rng, 1 / rate_per_us)) < (double)((phase + 1) * PHASE_US)) {
				Request *r = g_new0(Request, 1);
				r->kind = k;
				r->arrived_us = (uint64_t)at_us;
				r->pass.prompt_tokens =
					(uint64_t)draw_(rng, kind[k].prompt_mean, kind[k].prompt_spread, kind[k].prompt_max);
				r->pass.events =
					(unsigned)draw_(rng, kind[k].events_mean, kind[k].events_spread, kind[k].events_max);
				r->pass.ctx = r;
				g_ptr_array_add(run->requests, r);
				push_(run, r->arrived_us, r, NULL);
			}
		}
	}
}

static void push_(Run *run, uint64_t at_us, Request *request, const BH__Grant *grant)
{
	Event *e = g_new0(Event, 1);

	e->at_us = at_us;
	e->order = run->next_order++;
	e->request = request;
	e->grant = grant ? g_memdup2(grant, sizeof *grant) : NULL;
	g_sequence_insert_sorted(run->events, e, compare_events_, NULL);
}

static gint compare_events_(gconstpointer a, gconstpointer b, gpointer data)
{
	const Event *x = a;
	const Event *y = b;

	(void)data;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static void run_(const Site *site, const Limits *limits, Policy policy, double per_s, unsigned long seed,
				 Result *out)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	Run run = {.site = site, .policy = policy};

	gsl_rng_set(rng, seed);
	run.port = (BH__PlannerPort){.grant = on_grant_,
								 .refuse = on_refuse_,
								 .queued = on_queued_,
								 .abandoned = on_abandoned_,
								 .inspect = on_inspect_};
	set_model_(site, &run.model);
	run.planner = bh__planner_new(&run.port, 1, 1);
	bh__planner_set_model(run.planner, &run.model);
	run.fleet = pass_fleet_new(&run.model, site->engines, on_first_, on_done_, &run);
	run.requests = g_ptr_array_new_with_free_func(g_free);
	run.events = g_sequence_new(g_free);
	run.by_ask = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (unsigned i = 0; i < site->engines; i++)
		bh__planner_set_endpoint(run.planner, i + 1, 0, false, 0);
	set_limits_(run.planner, limits);
	draw_requests_(&run, rng, per_s);
	play_(&run);
	judge_(&run, out);
	g_hash_table_unref(run.by_ask);
	g_sequence_free(run.events);
	g_ptr_array_unref(run.requests);
	pass_fleet_delete(run.fleet);
	bh__planner_delete(run.planner);
	gsl_rng_free(rng);
}

/* The first engines name a limit all the time. */
static void set_limits_(BH__Planner *p, const Limits *limits)
{
	const BH__Limit limit[BH__LIMIT_KIND_COUNT] = {
		[BH__LIMIT_ADVERTISED] = {.per_s = limits->per_s, .until_us = BH__LIMIT_NO_END}};

	bh__planner_set_rate_share(p, 1, 0);
	for (unsigned i = 0; i < limits->engines; i++)
		bh__planner_set_limits(p, i + 1, limit, 0);
}

/* Plays until nothing is left to happen. */
static void play_(Run *run)
{
	uint64_t tick_us = 0;

	for (;;) {
		GSequenceIter *it = g_sequence_get_begin_iter(run->events);
		Event *e = g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
		uint64_t pass_us = pass_fleet_get_next_us(run->fleet);
		uint64_t event_us = e ? e->at_us : UINT64_MAX;
		uint64_t wake_us = bh__planner_is_waiting(run->planner) ? MAX(tick_us, run->now_us) : UINT64_MAX;
		uint64_t next_us = MIN(MIN(pass_us, event_us), wake_us);
		if (next_us == UINT64_MAX)
			return;
		run->now_us = next_us;
		if (next_us == event_us) {
			Request *r = e->request;
			BH__Grant *g = e->grant;
			g_sequence_remove(it);
			if (g)
				start_(run, r, g);
			else
				arrive_(run, r);
			g_free(g);
		}
		else if (next_us == pass_us) {
			pass_fleet_process(run->fleet, next_us);
		}
		else {
			tick_us = next_us + TICK_US;
			bh__planner_process_tick(run->planner, next_us);
		}
	}
}

static void arrive_(Run *run, Request *r)
{
	const Kind *k = &run->site->kind[r->kind];
	BH__Ask ask = {.ask_id = ++run->next_order,
				   .pool_id = 1,
				   .node_id = 1,
				   .boot_id = 1,
				   .prompt_tokens = r->pass.prompt_tokens,
				   .max_tokens = r->pass.events * run->site->tokens_per_event,
				   .deadline_us = k->limit_ms * BH__MS_US,
				   .first_event_us = k->target_ms * BH__MS_US,
				   .event_gap_us = k->gap_ms * BH__MS_US};

	if (run->policy != POLICY_PLANNER) {
		place_simply_(run, r);
		return;
	}
	r->ask_id = ask.ask_id;
	g_hash_table_insert(run->by_ask, &r->ask_id, r);
	bh__planner_process_ask(run->planner, &ask, run->now_us);
}

/* The simpler policies: the engines with the least to read, among all or those of the prompt's lane. */
static void place_simply_(Run *run, Request *r)
{
	bool is_long = r->pass.prompt_tokens > LANE_TOKENS;
	unsigned lane = run->site->engines / LANE_SHARE;
	unsigned first = run->policy == POLICY_LANES && !is_long ? lane : 0;
	unsigned end = run->policy == POLICY_LANES && is_long ? lane : run->site->engines;
	unsigned parts =
		run->policy == POLICY_PARTS ? (unsigned)((r->pass.prompt_tokens + PART_TOKENS - 1) / PART_TOKENS) : 1;
	BH__Grant g = {.member_count = (uint8_t)CLAMP(parts, 1, 17)};
	bool used[ENGINES_MAX] = {false};

	for (unsigned i = 0; i < g.member_count; i++) {
		unsigned best = first;
		double best_ms = INFINITY;
		for (unsigned e = first; e < end; e++) {
			double ms = pass_fleet_get_backlog_ms(run->fleet, e) + 3 * pass_fleet_get_load(run->fleet, e);
			if (used[e] || ms >= best_ms)
				continue;
			best = e;
			best_ms = ms;
		}
		used[best] = true;
		g.member[i].endpoint_id = best + 1;
	}
	push_(run, run->now_us + NETWORK_US, r, &g);
}

static void start_(Run *run, Request *r, const BH__Grant *g)
{
	unsigned engine[BH__GRANT_MEMBERS_MAX];

	for (unsigned i = 0; i < g->member_count; i++)
		engine[i] = (unsigned)g->member[i].endpoint_id - 1;
	r->grant_id = g->grant_id;
	pass_fleet_start(run->fleet, &r->pass, engine, g->member_count, run->now_us);
}

static void on_grant_(BH__PlannerPort *port, const BH__Grant *g)
{
	Run *run = (Run *)port;
	Request *r = g_hash_table_lookup(run->by_ask, &g->ask_id);

	push_(run, run->now_us + NETWORK_US, r, g);
}

static void on_refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	Request *r = g_hash_table_lookup(((Run *)port)->by_ask, &ask->ask_id);

	(void)reason;
	(void)retry_after_ms;
	r->refused = true;
}

static void on_queued_(BH__PlannerPort *port, const BH__Ask *ask)
{
	(void)port;
	(void)ask;
}

static void on_abandoned_(BH__PlannerPort *port, const BH__Grant *g)
{
	(void)port;
	(void)g;
}

/* The engines are as fast as their model says. */
static void on_inspect_(BH__PlannerPort *port, uint64_t endpoint_id)
{
	Run *run = (Run *)port;

	bh__planner_process_slowdown(run->planner, endpoint_id, 1, run->now_us);
}

static void on_first_(void *ctx, PassRequest *p, uint64_t now_us)
{
	Run *run = ctx;

	if (run->policy == POLICY_PLANNER)
		bh__planner_process_progress(run->planner, ((Request *)p->ctx)->grant_id, now_us);
}

static void on_done_(void *ctx, PassRequest *p, uint64_t now_us)
{
	Run *run = ctx;

	if (run->policy == POLICY_PLANNER)
		bh__planner_process_release(run->planner, ((Request *)p->ctx)->grant_id, BH__RELEASE_DONE,
									BH__NO_ENDPOINT, now_us);
}

/* Adds up what was earned: a request counts by its size within its kind, as on the sheets. */
static void judge_(const Run *run, Result *out)
{
	for (guint i = 0; i < run->requests->len; i++) {
		const Request *r = g_ptr_array_index(run->requests, i);
		const Kind *k = &run->site->kind[r->kind];
		double size = 0.3 + 0.7 * (double)r->pass.prompt_tokens / k->prompt_mean;
		uint64_t took_us = r->pass.first_us - r->arrived_us + NETWORK_US;
		bool in_time = r->pass.done_us && took_us <= k->target_ms * BH__MS_US &&
					   r->pass.pause_us <= k->gap_ms * BH__MS_US;
		bool late = r->pass.done_us && r->pass.done_us <= r->arrived_us + k->limit_ms * BH__MS_US;
		size = MIN(size, 4);
		late = late && took_us <= MAX(2000, MAX(4 * k->target_ms, 8 * k->gap_ms)) * BH__MS_US;
		out->count[r->kind]++;
		out->in_time[r->kind] += in_time;
		out->served[r->kind] += in_time || late;
		out->large[r->kind] += (double)r->pass.prompt_tokens > 2 * k->prompt_mean;
		out->large_served[r->kind] += (in_time || late) && (double)r->pass.prompt_tokens > 2 * k->prompt_mean;
		out->owed[r->kind] += size * k->worth;
		out->earned[r->kind] += in_time ? size * k->worth : late ? size * k->late_worth : 0;
	}
}

static void print_(const Site *site, Policy policy, double per_s, unsigned seeds, const Result *results)
{
	double sum = 0;
	double squares = 0;
	double error = 0;
	double share[KINDS] = {0};
	double in_time[KINDS] = {0};
	double served[KINDS] = {0};
	double large[KINDS] = {0};

	for (unsigned s = 0; s < seeds; s++) {
		const Result *r = &results[s];
		double owed = 0;
		double earned = 0;
		for (unsigned k = 0; k < KINDS; k++) {
			owed += r->owed[k];
			earned += r->earned[k];
			share[k] += r->owed[k] > 0 ? r->earned[k] / r->owed[k] / seeds : 1.0 / seeds;
			served[k] += r->count[k] ? (double)r->served[k] / r->count[k] / seeds : 1.0 / seeds;
			large[k] += r->large[k] ? (double)r->large_served[k] / r->large[k] / seeds : 1.0 / seeds;
			in_time[k] += r->count[k] ? (double)r->in_time[k] / r->count[k] / seeds : 1.0 / seeds;
		}
		sum += earned / owed;
		squares += earned / owed * earned / owed;
	}
	if (seeds > 1)
		error = sqrt(MAX(squares / seeds - sum / seeds * sum / seeds, 0) / (seeds - 1));
	printf("site=%s load=%.0f policy=%s seeds=%u worth=%.4f error=%.4f", site->name, per_s,
		   PolicyString_[policy], seeds, sum / seeds, error);
	for (unsigned k = 0; k < KINDS; k++)
		printf(" %s=%.3f %s_in_time=%.3f %s_served=%.3f %s_large_served=%.3f", site->kind[k].name, share[k],
			   site->kind[k].name, in_time[k], site->kind[k].name, served[k], site->kind[k].name, large[k]);
	putchar('\n');
}
