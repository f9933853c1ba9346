/* SPDX-License-Identifier: BSD-3-Clause */
/* The simulation: requests, the real pools and the real choice among them, and the simpler policies. */
#include "policy_sim.h"

#include <gsl/gsl_randist.h>
#include <limits.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "bayhoist/hash.h"

const char *const PolicyString[] = {"bayhoist",     "oracle",      "round-robin", "least-requests",
									"power-of-two", "fifo-memory", "no-scheduler"};
static const double ClassFrom[CLASSES] = {1000, 4000, 32000, 100000};
static const double ClassTo[CLASSES] = {4000, 32000, 100000, 1000000};
static const double ClassShare[CLASSES] = {0.70, 0.22, 0.06, 0.02};
static const double ClassDeadlineS[CLASSES] = {30, 60, 120, 600};

/* Workload. */

static gint by_arrival_(gconstpointer a, gconstpointer b)
{
	const Req *x = *(const Req *const *)a;
	const Req *y = *(const Req *const *)b;
	return x->arrival_us < y->arrival_us ? -1 : x->arrival_us > y->arrival_us;
}

static double log_uniform_(gsl_rng *rng, double from, double to)
{
	return from * pow(to / from, gsl_rng_uniform(rng));
}

/* Returns the mean engine time of a request, by the engine model. */
double sim_mean_cost_us(void)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
	double sum = 0;
	const int n = 20000;

	gsl_rng_set(rng, 99);
	for (int c = 0; c < CLASSES; c++) {
		double of_class = 0;
		for (int i = 0; i < n; i++)
			of_class += sim_cost_us(log_uniform_(rng, ClassFrom[c], ClassTo[c]), 0, 120);
		sum += ClassShare[c] * of_class / n;
	}
	gsl_rng_free(rng);
	return sum;
}

/* Half of all requests share the first half of their prompt with others about the same document. */
static void make_prefix_(Req *r, gsl_rng *rng)
{
	uint64_t document = (uint64_t)(DOCUMENTS * pow(gsl_rng_uniform(rng), 3));
	bool shares = gsl_rng_uniform(rng) < 0.5;

	r->prefix.count = 0;
	for (unsigned i = 0; i < BH__PREFIX_MAX && bh__prefix_get_tokens(i) <= r->tokens; i++) {
		bool common = shares && bh__prefix_get_tokens(i) <= r->tokens / 2;
		uint64_t whose = common ? (document << 8 | r->class) : (UINT64_C(1) << 40) + r->id;
		r->prefix.hash[r->prefix.count++] = bh__hash_pair(whose, i + 1);
	}
}

/* Makes the arrivals of one account; they depend on the seed, the account and its rate alone. */
void sim_add_account(Sim *s, unsigned account, double per_s, double seconds, uint64_t seed)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
	double t = 0;

	gsl_rng_set(rng, seed * 1000 + account + 1);
	while (per_s > 0 && (t += gsl_ran_exponential(rng, 1 / per_s)) < seconds) {
		Req *r = g_new0(Req, 1);
		double x = gsl_rng_uniform(rng);
		r->sim = s;
		r->account = account;
		while (r->class < CLASSES - 1 && x >= ClassShare[r->class])
			x -= ClassShare[r->class ++];
		r->id = (uint64_t)account << 32 | s->reqs->len;
		r->arrival_us = BH__SECOND_US + (uint64_t)(t * 1e6);
		r->deadline_us = r->arrival_us + (uint64_t)(ClassDeadlineS[r->class] * 1e6);
		r->tokens = (uint64_t)log_uniform_(rng, ClassFrom[r->class], ClassTo[r->class]);
		r->out = (uint64_t)CLAMP(gsl_ran_lognormal(rng, 4.5, 0.7), 5, MAX_OUT);
		r->cost_us = sim_cost_us((double)r->tokens, 0, (double)r->out);
		make_prefix_(r, rng);
		g_ptr_array_add(s->reqs, r);
	}
	gsl_rng_free(rng);
}

/* Running requests on engines. */

static unsigned priority_(const Req *r)
{
	return r->class;
}

static void init_work_(Req *r, unsigned part, uint64_t first, uint64_t count)
{
	SimWork *w = &r->work[part];
	bool last = part + 1 == r->parts;

	memset(w, 0, sizeof *w);
	w->id = r->id;
	w->owner = r;
	w->priority = priority_(r);
	w->order = ++r->sim->next_order;
	w->kv_tokens = count + (last ? r->out : 0);
	w->prefill_total = (double)count;
	w->context = (double)first;
	w->out_left = r->out;
	w->is_segment = !last;
	if (r->parts == 1)
		w->prefix = r->prefix;
}

/* Puts a request on one engine. Returns false if the engine has no memory and the request may not wait there.
 */
static bool run_on_(Req *r, unsigned engine, bool may_wait)
{
	Sim *s = r->sim;

	r->parts = 1;
	r->part = 0;
	r->engine[0] = engine;
	r->hall = s->hall_of[engine];
	init_work_(r, 0, 0, r->tokens);
	r->running = true;
	g_queue_push_tail(&s->sent[engine], g_memdup2(&s->now_us, sizeof s->now_us));
	if (sim_engine_add(&s->engine[engine], &r->work[0], may_wait, s->now_us))
		return true;
	r->running = false;
	return false;
}

static void end_(Req *r)
{
	r->over = true;
	r->running = false;
	g_ptr_array_remove_fast(r->sim->live, r);
}

static void refuse_(Req *r)
{
	r->refused = true;
	end_(r);
}

static void release_(Req *r, BH__ReleaseKind kind);
static void ask_(Req *r);
static void pump_fifo_(Sim *s);

static void on_first_(SimEngine *e, SimWork *w, uint64_t now_us)
{
	Req *r = w->owner;
	Sim *s = r->sim;
	uint64_t first = 0;

	(void)e;
	if (w->is_segment) { /* the next engine of the gang goes on */
		bh__pool_process_progress(s->pool[r->hall].pool, r->grant.grant_id, now_us);
		r->part++;
		for (unsigned i = 0; i < r->part; i++)
			first += r->grant.member[i].token_count;
		init_work_(r, r->part, first, r->grant.member[r->part].token_count);
		r->waits = !sim_engine_add(&s->engine[r->engine[r->part]], &r->work[r->part], false, now_us);
		return;
	}
	r->first_us = now_us;
	if (s->policy == POLICY_BAYHOIST && r->grant.reports_progress)
		bh__pool_process_progress(s->pool[r->hall].pool, r->grant.grant_id, now_us);
}

static void forget_own_(Req *r)
{
	Sim *s = r->sim;
	unsigned node = r->account % HALLS;

	if (s->policy != POLICY_NO_SCHEDULER || !r->parts)
		return;
	s->own_work[node][r->engine[0]] -= r->cost_us;
	s->own_kv[node][r->engine[0]] -= r->tokens + r->out;
}

static void drop_parts_(Req *r)
{
	for (unsigned i = 0; r->running && i <= r->part; i++)
		if (r->work[i].state != SIM_DEAD && !(r->waits && i == r->part))
			sim_engine_drop(&r->sim->engine[r->engine[i]], &r->work[i]);
}

static void on_done_(SimEngine *e, SimWork *w, uint64_t now_us)
{
	Req *r = w->owner;

	(void)e;
	r->done_us = now_us;
	drop_parts_(r);
	release_(r, BH__RELEASE_DONE);
	forget_own_(r);
	end_(r);
	if (r->sim->policy == POLICY_FIFO_MEMORY || r->sim->policy == POLICY_ORACLE)
		pump_fifo_(r->sim);
}

/* Bayhoist: the real pools and the real choice among them. */

static void release_(Req *r, BH__ReleaseKind kind)
{
	Sim *s = r->sim;

	if (s->policy != POLICY_BAYHOIST || !r->grant.grant_id)
		return;
	g_hash_table_remove(s->by_grant, &r->grant.grant_id);
	bh__pool_process_release(s->pool[r->hall].pool, r->grant.grant_id, kind, 0, s->now_us);
	r->grant.grant_id = 0;
}

static void ask_(Req *r)
{
	Sim *s = r->sim;
	unsigned node = r->account % HALLS;
	char hall[8];
	BH__Route *route;

	g_snprintf(hall, sizeof hall, "h%u", node);
	r->ask = (BH__Ask){.ask_id = bh__hash_pair(r->id + 1, ++s->next_order),
					   .node_id = node + 1,
					   .boot_id = node + 1,
					   .account_id = r->account + 1,
					   .weight = 1,
					   .prompt_tokens = r->tokens,
					   .max_tokens = MAX_OUT,
					   .kv_bytes = r->tokens + r->out,
					   .prefix = r->prefix};
	r->ask.deadline_us = r->deadline_us > s->now_us ? r->deadline_us - s->now_us : 0;
	route = bh__routes_choose(s->routes[node], bh__hash_name("m"), &r->ask, &s->settings, hall, r->tried,
							  r->tried_count, s->now_us);
	if (!route || r->tried_count == TRIES_MAX) {
		refuse_(r);
		return;
	}
	bh__routes_note_sent(s->routes[node], route, &r->ask);
	r->ask.pool_id = route->pool_id;
	g_hash_table_insert(s->by_ask, &r->ask.ask_id, r);
	for (unsigned h = 0; h < HALLS; h++)
		if (bh__pool_get_id((const char *[]){"h0", "h1", "h2"}[h], "m") == route->pool_id)
			bh__pool_process_ask(s->pool[h].pool, &r->ask, s->now_us);
}

static unsigned engine_index_(uint64_t endpoint_id)
{
	return (unsigned)endpoint_id - 1;
}

static void on_grant_(BH__PoolPort *port, const BH__Grant *g)
{
	SimPool *p = (SimPool *)port;
	Sim *s = p->sim;
	Req *r = g_hash_table_lookup(s->by_ask, &g->ask_id);

	g_hash_table_remove(s->by_ask, &g->ask_id);
	r->grant = *g;
	r->hall = p->hall;
	r->parts = g->member_count;
	r->part = 0;
	r->waits = false;
	g_hash_table_insert(s->by_grant, &r->grant.grant_id, r);
	for (unsigned i = 0; i < r->parts; i++)
		r->engine[i] = engine_index_(g->member[i].endpoint_id);
	init_work_(r, 0, 0, g->member[0].token_count);
	r->running = true;
	if (!sim_engine_add(&s->engine[r->engine[0]], &r->work[0], false, s->now_us)) {
		r->running = false;
		release_(r, BH__RELEASE_REFUSED);
		ask_(r);
	}
}

static void on_refuse_(BH__PoolPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	Sim *s = ((SimPool *)port)->sim;
	Req *r = g_hash_table_lookup(s->by_ask, &ask->ask_id);

	(void)reason;
	(void)retry_after_ms;
	g_hash_table_remove(s->by_ask, &ask->ask_id);
	r->tried[r->tried_count++] = ask->pool_id;
	ask_(r);
}

static void on_orphan_(BH__PoolPort *port, uint64_t endpoint_id, uint64_t attempt_id, uint64_t owner_node,
					   uint64_t owner_boot)
{
	(void)port;
	(void)endpoint_id;
	(void)attempt_id;
	(void)owner_node;
	(void)owner_boot;
}

static void make_pools_(Sim *s)
{
	GString *c = g_string_new("{\"resources\":[{\"kind\":\"model\",\"name\":\"m\",\"spec\":{}}");
	struct json_object *change;

	for (unsigned i = 0; i < ENGINES; i++)
		g_string_append_printf(
			c,
			",{\"kind\":\"endpoint\",\"name\":\"e%u\",\"spec\":{\"address\":\"1.1.1.1:1\",\"hall\":"
			"\"h%u\",\"model\":\"m\"}}",
			i, s->hall_of[i]);
	g_string_append(c, "]}");
	change = bh__json_parse(c->str, c->len, NULL);
	s->catalog = bh__catalog_new();
	if (!bh__catalog_apply(s->catalog, change, NULL))
		abort();
	json_object_put(change);
	g_string_free(c, TRUE);
	for (unsigned h = 0; h < HALLS; h++) {
		char hall[8];
		g_snprintf(hall, sizeof hall, "h%u", h);
		s->pool[h].port = (BH__PoolPort){on_grant_, on_refuse_, on_orphan_};
		s->pool[h].sim = s;
		s->pool[h].hall = h;
		s->pool[h].pool = bh__pool_new(&s->pool[h].port, bh__pool_get_id(hall, "m"), h + 1, h + 1);
		bh__pool_set_policy(s->pool[h].pool, &s->settings);
		s->routes[h] = bh__routes_new();
		bh__routes_load(s->routes[h], s->catalog);
		for (unsigned i = 0; i < bh__routes_get_count(s->routes[h]); i++)
			bh__routes_get(s->routes[h], i)->scheduler = 1;
	}
	for (unsigned i = 0; i < ENGINES; i++) {
		BH__PoolEndpoint e = {.endpoint_id = i + 1,
							  .kv_bytes = SIM_KV_TOKENS,
							  .max_streams = 256,
							  .serves_short = true,
							  .serves_long = true,
							  .ready = true};
		bh__pool_set_endpoint(s->pool[s->hall_of[i]].pool, &e, s->now_us);
	}
}

/* The simpler policies. */

static unsigned pick_round_robin_(Sim *s)
{
	return s->next_engine++ % ENGINES;
}

/* Returns the requests of an engine by its lagged report, plus those sent since the report was made: without
 * that correction everything between two reports goes to one engine. */
static unsigned requests_seen_(const Sim *s, unsigned engine)
{
	return s->seen[engine].requests + s->sent[engine].length;
}

static unsigned pick_least_requests_(Sim *s)
{
	unsigned best = (unsigned)gsl_rng_uniform_int(s->rng, ENGINES);
	for (unsigned i = 0; i < ENGINES; i++)
		if (requests_seen_(s, i) < requests_seen_(s, best))
			best = i;
	return best;
}

static unsigned pick_power_of_two_(Sim *s)
{
	unsigned a = (unsigned)gsl_rng_uniform_int(s->rng, ENGINES);
	unsigned b = (unsigned)gsl_rng_uniform_int(s->rng, ENGINES);
	return requests_seen_(s, a) <= requests_seen_(s, b) ? a : b;
}

/* The design without its scheduler: two choices by what reports show and the entry node itself has sent. */
static void arrive_no_scheduler_(Req *r)
{
	Sim *s = r->sim;
	unsigned node = r->account % HALLS;
	unsigned best = ENGINES;

	for (unsigned k = 0; k < 2; k++) {
		unsigned e = (unsigned)gsl_rng_uniform_int(s->rng, ENGINES);
		if (s->own_kv[node][e] + r->tokens + r->out > SIM_KV_TOKENS)
			continue;
		if (best == ENGINES || s->own_work[node][e] + 1e5 * requests_seen_(s, e) <
								   s->own_work[node][best] + 1e5 * requests_seen_(s, best))
			best = e;
	}
	if (best == ENGINES)
		best = (unsigned)gsl_rng_uniform_int(s->rng, ENGINES);
	s->own_work[node][best] += r->cost_us;
	s->own_kv[node][best] += r->tokens + r->out;
	run_on_(r, best, true);
}

/* One queue for all, in order of arrival, with exact knowledge of memory. */
static void pump_fifo_(Sim *s)
{
	while (s->fifo.length) {
		Req *r = s->fifo.head->data;
		unsigned best = 0;
		for (unsigned i = 1; i < ENGINES; i++)
			if (s->engine[i].kv_used < s->engine[best].kv_used)
				best = i;
		if (r->over) {
			g_queue_pop_head(&s->fifo);
			continue;
		}
		if (s->engine[best].kv_used + r->tokens + r->out > SIM_KV_TOKENS)
			return;
		g_queue_pop_head(&s->fifo);
		run_on_(r, best, false);
	}
}

/* The oracle sees every engine exactly, now: the engine with the least work at the request's priority that
 * has the memory, and a first-come queue for the rest. */
static void arrive_oracle_(Req *r)
{
	Sim *s = r->sim;
	unsigned best = ENGINES;
	double best_us = 0;

	for (unsigned i = 0; i < ENGINES; i++) {
		const SimEngine *e = &s->engine[i];
		double us = sim_engine_get_prefill_left(e, priority_(r)) * SIM_PREFILL_US -
					sim_engine_get_cached(e, &r->prefix) * SIM_PREFILL_US +
					(e->stepping && e->step_end_us > s->now_us ? (double)(e->step_end_us - s->now_us) : 0) +
					e->work->len * SIM_STREAM_US +
					(s->hall_of[i] != r->account % HALLS ? s->user->hop_us : 0);
		if (e->kv_used + r->tokens + r->out > SIM_KV_TOKENS)
			continue;
		if (best == ENGINES || us < best_us) {
			best = i;
			best_us = us;
		}
	}
	if (best < ENGINES)
		run_on_(r, best, false);
	else
		g_queue_push_tail(&s->fifo, r);
}

static void arrive_(Req *r)
{
	Sim *s = r->sim;

	g_ptr_array_add(s->live, r);
	if (s->policy == POLICY_BAYHOIST) {
		ask_(r);
		return;
	}
	if (r->tokens + r->out > SIM_KV_TOKENS) { /* only a gang could hold it */
		refuse_(r);
		return;
	}
	switch (s->policy) {
	case POLICY_ROUND_ROBIN:
		run_on_(r, pick_round_robin_(s), true);
		break;
	case POLICY_LEAST_REQUESTS:
		run_on_(r, pick_least_requests_(s), true);
		break;
	case POLICY_POWER_OF_TWO:
		run_on_(r, pick_power_of_two_(s), true);
		break;
	case POLICY_NO_SCHEDULER:
		arrive_no_scheduler_(r);
		break;
	case POLICY_FIFO_MEMORY:
		g_queue_push_tail(&s->fifo, r);
		pump_fifo_(s);
		break;
	default:
		arrive_oracle_(r);
		break;
	}
}

/* Reports and digests, late. */

static void take_snapshots_(Sim *s)
{
	for (unsigned i = 0; i < ENGINES; i++) {
		SimEngine *e = &s->engine[i];
		LateReport *r = g_new0(LateReport, 1);
		r->at_us = s->now_us + REPORT_LAG_US;
		r->engine = i;
		r->snapshot = (Snapshot){s->now_us, e->work->len + e->waiting.length, e->kv_used};
		r->kv_used = e->kv_used;
		r->has_attempts = s->now_us < BH__SECOND_US || s->now_us % LIST_EVERY_US == 0;
		r->attempts = g_array_new(FALSE, FALSE, sizeof(BH__ReportedAttempt));
		for (guint k = 0; k < e->work->len; k++) {
			const SimWork *w = g_ptr_array_index(e->work, k);
			const Req *q = w->owner;
			BH__ReportedAttempt a = {q->grant.grant_id, 1, 1, w->kv_tokens};
			g_array_append_val(r->attempts, a);
		}
		r->cache_first = e->cache_sequence;
		r->cache = e->cache_events;
		e->cache_sequence += r->cache->len;
		e->cache_events = g_array_new(FALSE, FALSE, sizeof(BH__CacheEvent));
		g_queue_push_tail(&s->reports, r);
	}
}

static void deliver_reports_(Sim *s)
{
	LateReport *r;

	while ((r = g_queue_peek_head(&s->reports)) && r->at_us <= s->now_us) {
		g_queue_pop_head(&s->reports);
		s->seen[r->engine] = r->snapshot;
		while (s->sent[r->engine].length && *(uint64_t *)s->sent[r->engine].head->data <= r->snapshot.at_us)
			g_free(g_queue_pop_head(&s->sent[r->engine]));
		if (s->policy == POLICY_BAYHOIST) {
			BH__LoadReport report = {.endpoint_id = r->engine + 1,
									 .reachable = true,
									 .has_attempts = r->has_attempts,
									 .boot_id = 1,
									 .kv_total_bytes = SIM_KV_TOKENS,
									 .kv_used_bytes = r->kv_used,
									 .prefill_tokens_per_s = 28000,
									 .token_us = 30000,
									 .attempt_count = r->attempts->len,
									 .attempt = (const BH__ReportedAttempt *)(void *)r->attempts->data,
									 .cache_first_sequence = r->cache_first,
									 .cache_event_count = r->cache->len,
									 .cache_event = (const BH__CacheEvent *)(void *)r->cache->data};
			bh__pool_process_report(s->pool[s->hall_of[r->engine]].pool, &report, s->now_us);
		}
		g_array_unref(r->attempts);
		g_array_unref(r->cache);
		g_free(r);
	}
}

static void send_digests_(Sim *s)
{
	for (unsigned h = 0; h < HALLS; h++) {
		for (unsigned node = 0; node < HALLS; node++) {
			LateDigest *d = g_new0(LateDigest, 1);
			bh__pool_get_digest(s->pool[h].pool, &d->digest, s->now_us);
			d->digest.node_id = 1;
			d->node = node;
			d->at_us = s->now_us + DIGEST_LAG_US;
			g_queue_push_tail(&s->digests, d);
		}
	}
}

static void deliver_digests_(Sim *s)
{
	LateDigest *d;

	while ((d = g_queue_peek_head(&s->digests)) && d->at_us <= s->now_us) {
		g_queue_pop_head(&s->digests);
		bh__routes_update_digest(s->routes[d->node], &d->digest, s->now_us);
		g_free(d);
	}
}

/* Ends what is past its deadline. */
static void expire_(Sim *s)
{
	for (guint i = s->live->len; i-- > 0;) {
		Req *r = g_ptr_array_index(s->live, i);
		if (r->waits)
			r->waits = !sim_engine_add(&s->engine[r->engine[r->part]], &r->work[r->part], false, s->now_us);
		if (s->now_us < r->deadline_us)
			continue;
		r->late = true;
		drop_parts_(r);
		release_(r, BH__RELEASE_DONE);
		forget_own_(r);
		if (s->policy == POLICY_BAYHOIST && g_hash_table_remove(s->by_ask, &r->ask.ask_id))
			for (unsigned h = 0; h < HALLS; h++)
				bh__pool_process_withdraw(s->pool[h].pool, r->ask.ask_id);
		end_(r);
	}
}

/* A run. */

Sim *sim_new(const User *user, PolicyKind policy, uint64_t seed)
{
	Sim *s = g_new0(Sim, 1);

	s->policy = policy;
	s->user = user;
	s->rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(s->rng, seed);
	s->now_us = BH__SECOND_US - 600 * BH__MS_US;
	s->by_ask = g_hash_table_new(g_int64_hash, g_int64_equal);
	s->by_grant = g_hash_table_new(g_int64_hash, g_int64_equal);
	s->reqs = g_ptr_array_new_with_free_func(g_free);
	s->live = g_ptr_array_new();
	bh__policy_init(&s->settings);
	s->settings.hall_penalty_ms = user->hop_us / 1000;
	for (unsigned i = 0; i < ENGINES; i++) {
		bool by_priority =
			policy == POLICY_BAYHOIST || policy == POLICY_ORACLE || policy == POLICY_NO_SCHEDULER;
		sim_engine_init(&s->engine[i], i, by_priority);
		s->engine[i].on_first = on_first_;
		s->engine[i].on_done = on_done_;
		s->hall_of[i] = i % HALLS;
	}
	make_pools_(s);
	return s;
}

void sim_delete(Sim *s)
{
	LateReport *r;

	while ((r = g_queue_pop_head(&s->reports))) {
		g_array_unref(r->attempts);
		g_array_unref(r->cache);
		g_free(r);
	}
	g_queue_clear_full(&s->digests, g_free);
	g_queue_clear(&s->fifo);
	for (unsigned h = 0; h < HALLS; h++) {
		bh__pool_delete(s->pool[h].pool);
		bh__routes_delete(s->routes[h]);
	}
	for (unsigned i = 0; i < ENGINES; i++) {
		sim_engine_finish(&s->engine[i]);
		g_queue_clear_full(&s->sent[i], g_free);
	}
	bh__catalog_delete(s->catalog);
	g_hash_table_unref(s->by_ask);
	g_hash_table_unref(s->by_grant);
	g_ptr_array_unref(s->live);
	g_ptr_array_unref(s->reqs);
	gsl_rng_free(s->rng);
	g_free(s);
}

/* Samples how much of the memory is in use and how many engines prefill. */
static void sample_(Sim *s)
{
	s->samples++;
	for (unsigned i = 0; i < ENGINES; i++) {
		s->kv_sum += (double)s->engine[i].kv_used / SIM_KV_TOKENS / ENGINES;
		s->prefill_busy += (sim_engine_get_prefill_left(&s->engine[i], UINT_MAX) > 0) / (double)ENGINES;
	}
}

void sim_run(Sim *s, double seconds)
{
	guint next = 0;
	uint64_t end_us = BH__SECOND_US + (uint64_t)(seconds * 1e6);

	g_ptr_array_sort(s->reqs, by_arrival_);
	/* goes on after the last arrival until all is over, so that no long one's end is left out */
	for (; s->now_us < end_us || s->live->len; s->now_us += STEP_US) {
		if (s->now_us % REPORT_EVERY_US == 0)
			take_snapshots_(s);
		deliver_reports_(s);
		if (s->policy == POLICY_BAYHOIST && s->now_us % TICK_US == 0) {
			if (s->now_us % (100 * BH__MS_US) == 0)
				send_digests_(s);
			deliver_digests_(s);
			for (unsigned h = 0; h < HALLS; h++)
				bh__pool_process_tick(s->pool[h].pool, s->now_us);
		}
		for (unsigned i = 0; i < ENGINES; i++)
			sim_engine_run(&s->engine[i], s->now_us);
		if (s->now_us % TICK_US == 0)
			expire_(s);
		if (s->now_us % (100 * BH__MS_US) == 0 && s->now_us < end_us)
			sample_(s);
		while (next < s->reqs->len && ((Req *)g_ptr_array_index(s->reqs, next))->arrival_us <= s->now_us)
			arrive_(g_ptr_array_index(s->reqs, next++));
	}
}
