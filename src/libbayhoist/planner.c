/* SPDX-License-Identifier: BSD-3-Clause */
/* The planner's ledger: the grants on every engine, their progress, and the grants reported by other nodes.
 * The waiting asks are in planner_queue.c, the choice of engines in placement.c. */
#include <string.h>
#include "planner_internal.h"

/* A request's engines are inspected if its first event takes longer than this multiple of the predicted time
 * plus this margin. */
#define LATE_FACTOR_ 1.5
#define LATE_MARGIN_MS_ 60.0
/* Minimum time between two reports of an engine, each of which costs the engine a call. */
#define INSPECT_PERIOD_US_ BH__SECOND_US
/* An engine with a larger slowdown factor is inspected at each grant, until it is no longer slow. */
#define INSPECT_SLOWDOWN_ 1.3
/* Share of the prompt that counts as not yet prefilled if a grant is already overdue when this planner
 * receives it. */
#define PREFILL_LEFT_SHARE_MIN_ 0.1
/* A grant younger than this may be missing from a node's list of held grants, because it can still be on its
 * way to that node. */
#define HOLD_GRACE_US_ (2 * BH__SECOND_US)

static BH__IterationEngine *find_engine_(const BH__Planner *p, uint64_t endpoint_id);
static BH__IterationEngine *add_engine_(BH__Planner *p, uint64_t endpoint_id, uint64_t incarnation);
static gint compare_order_(gconstpointer a, gconstpointer b, gpointer seed);
static void free_engine_(gpointer engine);
static void reset_engine_(BH__Planner *p, BH__IterationEngine *e, uint64_t incarnation);
static bool grant_uses_(const BH__Grant *g, uint64_t endpoint_id);
static double prefill_left_share_(const BH__Grant *g);
static BH__PlacedRequest *add_grant_(BH__Planner *p, const BH__Grant *g, uint64_t due_us,
									 uint64_t first_event_target_us, uint64_t now_us);
static void start_stream_(BH__Planner *p, BH__PlacedRequest *r, uint64_t now_us);
static bool is_long_(const BH__Planner *p, const BH__PlacedRequest *r);
static void remove_grant_(BH__Planner *p, BH__PlacedRequest *r, bool prefill_continues, uint64_t now_us);
static void end_prefill_(BH__Planner *p, BH__PlacedRequest *r, bool completed, uint64_t now_us);
static void request_report_(BH__Planner *p, BH__IterationEngine *e, uint64_t now_us);
static void inspect_if_late_(BH__Planner *p, const BH__PlacedRequest *r, double took_ms, uint64_t now_us);
static void eject_(BH__Planner *p, BH__IterationEngine *e, uint64_t node_id, uint64_t now_us);
static GPtrArray *list_node_grants_(const BH__Planner *p, uint64_t node_id, bool other_nodes);

/* Returns a planner without engines. `boot_id` is the id of this node's process run and makes the ids of the
 * planner's grants unique. */
BH__Planner *bh__planner_new(BH__PlannerPort *port, uint64_t pool_id, uint64_t boot_id)
{
	BH__Planner *p = g_new0(BH__Planner, 1);

	p->port = port;
	p->pool_id = pool_id;
	p->boot_id = bh__hash_pair(boot_id, pool_id);
	bh__engine_model_init(&p->model);
	p->engines = g_ptr_array_new_with_free_func(free_engine_);
	p->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->by_grant = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	p->by_ask = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->waiting = g_ptr_array_new_with_free_func(g_free);
	p->bookings = bh__booking_table_new();
	p->shares = bh__account_shares_new();
	return p;
}

void bh__planner_delete(BH__Planner *p)
{
	if (!p)
		return;
	g_hash_table_unref(p->by_ask);
	g_hash_table_unref(p->by_id);
	g_ptr_array_unref(p->engines);
	g_hash_table_unref(p->by_grant);
	g_ptr_array_unref(p->waiting);
	bh__booking_table_delete(p->bookings);
	bh__account_shares_delete(p->shares);
	g_free(p);
}

uint64_t bh__planner_get_id(const BH__Planner *p)
{
	return p->pool_id;
}

void bh__planner_set_model(BH__Planner *p, const BH__EngineModel *model)
{
	p->model = *model;
}

/* Sets whether this planner sees only the work of its own node, because another node schedules the service. A
 * local planner fills engines in an order that is specific to its node, so that nodes which place requests
 * independently at the same time do not all fill the same engines. */
void bh__planner_set_local(BH__Planner *p, bool is_local)
{
	p->is_local = is_local;
	p->order_seed = is_local ? p->boot_id : 0;
	g_ptr_array_sort_with_data(p->engines, compare_order_, &p->order_seed);
}

/* Compares engines by the hash of their endpoint ids and the order seed `seed`. */
static gint compare_order_(gconstpointer a, gconstpointer b, gpointer seed)
{
	const BH__IterationEngine *const *x = a;
	const BH__IterationEngine *const *y = b;
	uint64_t p = bh__hash_pair((*x)->endpoint_id, *(const uint64_t *)seed);
	uint64_t q = bh__hash_pair((*y)->endpoint_id, *(const uint64_t *)seed);

	return p < q ? -1 : p > q;
}

static void free_engine_(gpointer engine)
{
	BH__IterationEngine *e = engine;

	g_ptr_array_unref(e->primaries);
	bh__iteration_clock_clear(&e->clock);
	g_free(e);
}

/* Returns the engine with this endpoint id, or NULL if there is none. */
static BH__IterationEngine *find_engine_(const BH__Planner *p, uint64_t endpoint_id)
{
	return g_hash_table_lookup(p->by_id, &endpoint_id);
}

/* Adds an engine without grants at its position in the planner's order. */
static BH__IterationEngine *add_engine_(BH__Planner *p, uint64_t endpoint_id, uint64_t incarnation)
{
	BH__IterationEngine *e = g_new0(BH__IterationEngine, 1);

	e->endpoint_id = endpoint_id;
	e->incarnation = incarnation;
	e->primaries = g_ptr_array_new();
	bh__iteration_clock_init(&e->clock);
	g_ptr_array_add(p->engines, e);
	g_hash_table_insert(p->by_id, &e->endpoint_id, e);
	g_ptr_array_sort_with_data(p->engines, compare_order_, &p->order_seed);
	return e;
}

/* Adds an engine, or updates whether it is leaving. A changed `incarnation` means that the engine has
 * restarted. */
void bh__planner_set_endpoint(BH__Planner *p, uint64_t endpoint_id, uint64_t incarnation, bool leaving,
							  uint64_t now_us)
{
	BH__IterationEngine *e = find_engine_(p, endpoint_id);

	if (!e)
		e = add_engine_(p, endpoint_id, incarnation);
	if (e->incarnation != incarnation)
		reset_engine_(p, e, incarnation);
	if (e->leaving != leaving)
		bh__booking_table_request_update(p->bookings);
	e->leaving = leaving;
	bh__planner_place_waiting(p, now_us);
}

/* Sets the rate limits of an engine. `limit` is an array with one limit of each kind. An unknown engine is
 * added, but receives no grants until bh__planner_set_endpoint() is called for it. */
void bh__planner_set_limits(BH__Planner *p, uint64_t endpoint_id, const BH__Limit *limit, uint64_t now_us)
{
	BH__IterationEngine *e = find_engine_(p, endpoint_id);

	if (!e) {
		e = add_engine_(p, endpoint_id, 0);
		e->leaving = true;
	}
	for (int k = 0; k < BH__LIMIT_KIND_COUNT; k++)
		if (limit[k].per_s != e->rate.limit[k].per_s || limit[k].until_us != e->rate.limit[k].until_us)
			bh__endpoint_rate_begin_limit(&e->rate, (BH__LimitKind)k, &limit[k], now_us);
	bh__endpoint_rate_set_rate_share(&e->rate, p->rate_share, now_us);
}

/* Sets the share of the engines' rate limits that this planner enforces, from 0 to 1. With 0 it gives no
 * grants on rate-limited engines. */
void bh__planner_set_rate_share(BH__Planner *p, double rate_share, uint64_t now_us)
{
	p->rate_share = rate_share;
	for (guint i = 0; i < p->engines->len; i++)
		bh__endpoint_rate_set_rate_share(&((BH__IterationEngine *)g_ptr_array_index(p->engines, i))->rate,
										 rate_share, now_us);
}

/* Resets the state of an engine that has restarted: it has lost all its requests, and its earlier failures no
 * longer count. Grants that include the engine keep their other engines until they are released. */
static void reset_engine_(BH__Planner *p, BH__IterationEngine *e, uint64_t incarnation)
{
	GHashTableIter it;
	gpointer entry;

	g_hash_table_iter_init(&it, p->by_grant);
	while (g_hash_table_iter_next(&it, NULL, &entry)) {
		BH__Grant *g = &((BH__PlacedRequest *)entry)->grant;
		for (unsigned i = 0; i < g->member_count; i++)
			if (g->member[i].endpoint_id == e->endpoint_id)
				g->member[i].endpoint_id = BH__NO_ENDPOINT;
	}
	g_ptr_array_set_size(e->primaries, 0);
	bh__iteration_clock_clear(&e->clock);
	bh__iteration_clock_init(&e->clock);
	e->incarnation = incarnation;
	e->helper_parts = 0;
	e->kv_used_tokens = 0;
	memset(&e->ejection, 0, sizeof e->ejection);
	e->requested_backoff_until_us = 0;
	e->last_stream_started_us = 0;
	e->inspected_us = 0;
}

/* Returns true if a grant includes an engine in its current incarnation. */
static bool grant_uses_(const BH__Grant *g, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < g->member_count; i++)
		if (g->member[i].endpoint_id == endpoint_id)
			return true;
	return false;
}

/* Removes an engine. Grants on it stay in the ledger until they are released. */
void bh__planner_remove_endpoint(BH__Planner *p, uint64_t endpoint_id, uint64_t now_us)
{
	BH__IterationEngine *e = find_engine_(p, endpoint_id);

	if (!e)
		return;
	g_hash_table_remove(p->by_id, &endpoint_id);
	g_ptr_array_remove(p->engines, e);
	bh__booking_table_request_update(p->bookings);
	bh__planner_place_waiting(p, now_us);
}

/* Grants an ask on the engines of `placement`, each of which prefills an equal part of the prompt. The prompt
 * should be prefilled by `due_us`; the first event is late after `first_event_target_us`. */
void bh__planner_grant(BH__Planner *p, const BH__Ask *ask, const BH__Placement *placement, uint64_t due_us,
					   uint64_t first_event_target_us, uint64_t now_us)
{
	BH__Grant g = {.grant_id = bh__hash_pair(p->boot_id, ++p->next_grant),
				   .ask_id = ask->ask_id,
				   .pool_id = p->pool_id,
				   .node_id = ask->node_id,
				   .boot_id = ask->boot_id,
				   .priority_level = ask->priority_level,
				   .reports_progress = true,
				   .event_gap_us = ask->event_gap_us,
				   .expected_us = placement->prefill_end_us - now_us,
				   .member_count = (uint8_t)placement->count};
	BH__PlacedRequest *r;
	uint64_t assigned_tokens = 0;

	for (unsigned i = 0; i < placement->count; i++) {
		uint64_t end_token = ask->prompt_tokens * (i + 1) / placement->count;
		g.member[i].endpoint_id = placement->engine[i]->endpoint_id;
		g.member[i].kv_bytes = placement->kv_tokens[i];
		g.member[i].first_token = assigned_tokens;
		g.member[i].token_count = end_token - assigned_tokens;
		assigned_tokens = end_token;
	}
	for (unsigned i = 0; i < placement->count; i++)
		bh__endpoint_rate_count_request(&placement->engine[i]->rate, now_us);
	r = add_grant_(p, &g, due_us, first_event_target_us, now_us);
	r->expected_ms =
		(double)(placement->prefill_end_us - now_us) / 1000 / placement->engine[0]->clock.slowdown;
	for (unsigned i = 0; i < placement->count; i++)
		if (placement->engine[i]->clock.slowdown > INSPECT_SLOWDOWN_)
			request_report_(p, placement->engine[i], now_us);
	p->counters.grants++;
	p->counters.last_resorts += now_us < placement->engine[0]->ejection.until_us;
	p->counters.helped += placement->count > 1;
	p->port->grant(p->port, &r->grant);
}

/* Returns the share of a grant's prompt that is not yet prefilled, estimated from the grant's age. */
static double prefill_left_share_(const BH__Grant *g)
{
	double elapsed_share = g->expected_us ? (double)g->age_us / (double)g->expected_us : 0;

	return CLAMP(1 - elapsed_share, PREFILL_LEFT_SHARE_MIN_, 1);
}

/* Adds a grant to the ledger and to the iteration clocks of its engines. The prompt should be prefilled by
 * `due_us`; the first event is late after `first_event_target_us`. */
static BH__PlacedRequest *add_grant_(BH__Planner *p, const BH__Grant *g, uint64_t due_us,
									 uint64_t first_event_target_us, uint64_t now_us)
{
	BH__PlacedRequest *r = g_new0(BH__PlacedRequest, 1);
	uint64_t prompt_tokens = bh__grant_get_prompt_tokens(g);
	double part_ms;

	part_ms = bh__engine_model_prefill_ms(&p->model, prompt_tokens, g->member_count) * prefill_left_share_(g);
	r->grant = *g;
	r->grant.age_us = 0;
	r->granted_us = now_us - MIN(now_us, g->age_us);
	r->event_gap_us = g->event_gap_us;
	r->answer_utility = bh__placement_utility(prompt_tokens);
	for (unsigned i = 0; i < g->member_count; i++) {
		BH__IterationEngine *e = find_engine_(p, g->member[i].endpoint_id);
		r->tokens += g->member[i].kv_bytes;
		if (!e)
			continue;
		bh__iteration_clock_advance(&e->clock, &p->model, now_us);
		if (!g->has_first_event)
			bh__iteration_clock_add_part(&e->clock,
										 &(BH__PrefillPart){.grant_id = g->grant_id,
															.due_us = due_us,
															.target_us = first_event_target_us,
															.utility = r->answer_utility,
															.left_ms = part_ms,
															.for_helper = i > 0},
										 now_us);
		e->kv_used_tokens += g->member[i].kv_bytes;
		if (i == 0)
			g_ptr_array_add(e->primaries, r);
		else
			e->helper_parts += !g->has_first_event;
	}
	g_hash_table_insert(p->by_grant, &r->grant.grant_id, r);
	g_hash_table_insert(p->by_ask, &r->grant.ask_id, r);
	if (g->has_first_event)
		start_stream_(p, r, now_us);
	return r;
}

/* Marks a request as streaming after its first event and adds the stream to the clock of its primary engine.
 */
static void start_stream_(BH__Planner *p, BH__PlacedRequest *r, uint64_t now_us)
{
	BH__IterationEngine *e = find_engine_(p, r->grant.member[0].endpoint_id);

	r->grant.has_first_event = true;
	if (e)
		bh__iteration_clock_begin_stream(&e->clock, &p->model, r->tokens, now_us);
}

/* Returns true if the prompt of a grant is long. */
static bool is_long_(const BH__Planner *p, const BH__PlacedRequest *r)
{
	return bh__start_rules_is_long(&p->model, bh__grant_get_prompt_tokens(&r->grant), r->event_gap_us);
}

/* Removes a grant from the ledger and frees it. With `prefill_continues` its engines go on prefilling the
 * prompt although nobody waits for the answer. */
static void remove_grant_(BH__Planner *p, BH__PlacedRequest *r, bool prefill_continues, uint64_t now_us)
{
	if (!r->grant.has_first_event && !prefill_continues)
		end_prefill_(p, r, false, now_us);
	for (unsigned i = 0; i < r->grant.member_count; i++) {
		BH__IterationEngine *e = find_engine_(p, r->grant.member[i].endpoint_id);
		if (!e)
			continue;
		e->kv_used_tokens -= MIN(e->kv_used_tokens, r->grant.member[i].kv_bytes);
		if (i > 0)
			continue;
		if (g_ptr_array_remove_fast(e->primaries, r) && r->grant.has_first_event) {
			bh__iteration_clock_advance(&e->clock, &p->model, now_us);
			bh__iteration_clock_end_stream(&e->clock, r->tokens);
		}
	}
	if (r->stream_started_us && is_long_(p, r))
		bh__booking_table_note_stream(p->bookings, now_us - r->stream_started_us);
	g_hash_table_remove(p->by_ask, &r->grant.ask_id);
	g_hash_table_remove(p->by_grant, &r->grant.grant_id);
}

/* Ends the prefill of a prompt on all its engines: either it is `completed`, or the rest of the prompt will
 * not be prefilled. */
static void end_prefill_(BH__Planner *p, BH__PlacedRequest *r, bool completed, uint64_t now_us)
{
	for (unsigned i = 0; i < r->grant.member_count; i++) {
		BH__IterationEngine *e = find_engine_(p, r->grant.member[i].endpoint_id);
		if (!e)
			continue;
		if (i > 0)
			e->helper_parts -= e->helper_parts > 0;
		bh__iteration_clock_advance(&e->clock, &p->model, now_us);
		if (completed)
			bh__iteration_clock_note_prefilled(&e->clock, &p->model, r->grant.grant_id,
											   r->grant.member_count == 1, now_us);
		else
			bh__iteration_clock_remove_part(&e->clock, r->grant.grant_id, now_us);
	}
}

/* Adds a grant that another node's planner has given. A known grant is ignored. */
void bh__planner_process_remote_grant(BH__Planner *p, const BH__Grant *grant, uint64_t now_us)
{
	if (!g_hash_table_contains(p->by_grant, &grant->grant_id))
		add_grant_(p, grant, now_us + grant->expected_us, now_us + grant->expected_us, now_us);
}

/* Requests an engine's report, unless one was requested within INSPECT_PERIOD_US_ or the engine is
 * rate-limited. */
static void request_report_(BH__Planner *p, BH__IterationEngine *e, uint64_t now_us)
{
	if (bh__endpoint_rate_is_limited(&e->rate, now_us))
		return;
	if (e->inspected_us && now_us < e->inspected_us + INSPECT_PERIOD_US_)
		return;
	e->inspected_us = now_us;
	p->port->inspect(p->port, e->endpoint_id);
}

/* Sets the slowdown factor that an engine has reported. */
void bh__planner_process_slowdown(BH__Planner *p, uint64_t endpoint_id, double slowdown, uint64_t now_us)
{
	BH__IterationEngine *e = find_engine_(p, endpoint_id);

	if (!e)
		return;
	bh__iteration_clock_advance(&e->clock, &p->model, now_us);
	bh__iteration_clock_set_slowdown(&e->clock, slowdown, now_us);
}

/* Inspects all engines of a request whose first event, after `took_ms`, came much later than predicted. */
static void inspect_if_late_(BH__Planner *p, const BH__PlacedRequest *r, double took_ms, uint64_t now_us)
{
	double expected_ms = (double)r->grant.expected_us / 1000;

	if (took_ms < expected_ms * LATE_FACTOR_ + LATE_MARGIN_MS_)
		return;
	for (unsigned i = 0; i < r->grant.member_count; i++) {
		BH__IterationEngine *e = find_engine_(p, r->grant.member[i].endpoint_id);
		if (e)
			request_report_(p, e, now_us);
	}
}

/* Records the first event of an answer: the prompt has been prefilled and the stream starts. */
void bh__planner_process_progress(BH__Planner *p, uint64_t grant_id, uint64_t now_us)
{
	BH__PlacedRequest *r = g_hash_table_lookup(p->by_grant, &grant_id);
	BH__IterationEngine *e;

	if (!r || r->grant.has_first_event)
		return;
	r->stream_started_us = now_us;
	if (r->grant.member_count > 1)
		inspect_if_late_(p, r, (double)(now_us - r->granted_us) / 1000, now_us);
	end_prefill_(p, r, true, now_us);
	start_stream_(p, r, now_us);
	e = find_engine_(p, r->grant.member[0].endpoint_id);
	if (e) {
		bh__ejection_note_success(&e->ejection);
		e->last_stream_started_us = now_us;
		if (r->grant.member_count == 1)
			bh__iteration_clock_observe(&e->clock, r->expected_ms, (double)(now_us - r->granted_us) / 1000);
	}
	bh__planner_place_waiting(p, now_us);
}

/* Records that a stream has paused for `iteration_us` during a long iteration of its engine, which has just
 * ended. */
void bh__planner_process_iteration(BH__Planner *p, uint64_t grant_id, uint64_t iteration_us, uint64_t now_us)
{
	BH__PlacedRequest *r = g_hash_table_lookup(p->by_grant, &grant_id);
	BH__IterationEngine *e =
		r && r->grant.has_first_event ? find_engine_(p, r->grant.member[0].endpoint_id) : NULL;

	if (!e)
		return;
	bh__iteration_clock_advance(&e->clock, &p->model, now_us);
	bh__iteration_clock_note_iteration(&e->clock, &p->model, iteration_us, now_us);
	bh__planner_place_waiting(p, now_us);
}

/* Ejects an engine after a failure that a node reports, but not beyond a backoff that the engine itself has
 * requested, and asks for its report as a sign of life, unless it is rate-limited or another node
 * schedules the service. */
static void eject_(BH__Planner *p, BH__IterationEngine *e, uint64_t node_id, uint64_t now_us)
{
	uint64_t backoff_us = e->requested_backoff_until_us;

	p->counters.ejections++;
	bh__booking_table_request_update(p->bookings);
	bh__ejection_add(&e->ejection, node_id, now_us < backoff_us ? backoff_us : 0, now_us);
	if (!p->is_local && !bh__endpoint_rate_is_limited(&e->rate, now_us) &&
		bh__ejection_take_ask(&e->ejection, now_us))
		p->port->inspect(p->port, e->endpoint_id);
}

/* Records that an engine has requested a backoff of `backoff_us` from a node. This must be called before the
 * release of the grant that the engine rejected, so that the engine is not ejected for longer than the
 * backoff that it requested. */
void bh__planner_process_backoff(BH__Planner *p, uint64_t endpoint_id, uint64_t backoff_us, uint64_t now_us)
{
	BH__IterationEngine *e = find_engine_(p, endpoint_id);

	if (e)
		e->requested_backoff_until_us = MAX(e->requested_backoff_until_us, now_us + backoff_us);
}

/* Ends a grant. `failed_endpoint` is ejected for a while if it failed or its connection broke. */
void bh__planner_process_release(BH__Planner *p, uint64_t grant_id, BH__ReleaseKind kind,
								 uint64_t failed_endpoint, uint64_t now_us)
{
	BH__PlacedRequest *r = g_hash_table_lookup(p->by_grant, &grant_id);
	BH__IterationEngine *failed = find_engine_(p, failed_endpoint);

	if (failed && (!r || grant_uses_(&r->grant, failed_endpoint)) &&
		(kind == BH__RELEASE_FAILED || kind == BH__RELEASE_LOST))
		eject_(p, failed, r ? r->grant.node_id : 0, now_us);
	if (r)
		remove_grant_(p, r, kind == BH__RELEASE_LOST, now_us);
	bh__planner_place_waiting(p, now_us);
}

/* Returns the grants of a node, or, with `other_nodes`, those of all other nodes. The caller frees the array.
 */
static GPtrArray *list_node_grants_(const BH__Planner *p, uint64_t node_id, bool other_nodes)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	gpointer entry;

	g_hash_table_iter_init(&it, p->by_grant);
	while (g_hash_table_iter_next(&it, NULL, &entry))
		if ((((BH__PlacedRequest *)entry)->grant.node_id == node_id) != other_nodes)
			g_ptr_array_add(list, entry);
	return list;
}

/* Appends all grants with their current ages to `out`, for transfer to the planner of another node. */
void bh__planner_list_grants(const BH__Planner *p, GArray *out, uint64_t now_us)
{
	GHashTableIter it;
	gpointer entry;

	g_hash_table_iter_init(&it, p->by_grant);
	while (g_hash_table_iter_next(&it, NULL, &entry)) {
		const BH__PlacedRequest *r = entry;
		BH__Grant g = r->grant;
		g.age_us = now_us - MIN(now_us, r->granted_us);
		g_array_append_val(out, g);
	}
}

/* Processes a node's list of the grants that it holds. With `full` the list holds complete grants, and
 * unknown ones are added to the ledger; otherwise only their ids are valid. Grants of the node that are
 * missing from the list have ended, except those given to its current run within HOLD_GRACE_US_. */
void bh__planner_process_hold(BH__Planner *p, uint64_t node_id, uint64_t boot_id, bool full,
							  const BH__Grant *grant, uint32_t count, uint64_t now_us)
{
	GHashTable *held_ids = g_hash_table_new(g_int64_hash, g_int64_equal);
	GPtrArray *list = list_node_grants_(p, node_id, false);

	for (uint32_t i = 0; i < count; i++) {
		g_hash_table_add(held_ids, (gpointer)&grant[i].grant_id);
		if (full && grant[i].member_count && !g_hash_table_contains(p->by_grant, &grant[i].grant_id))
			add_grant_(p, &grant[i], now_us + grant[i].expected_us, now_us + grant[i].expected_us, now_us);
	}
	for (guint i = 0; i < list->len; i++) {
		BH__PlacedRequest *r = g_ptr_array_index(list, i);
		bool in_grace_period = r->grant.boot_id == boot_id && now_us < r->granted_us + HOLD_GRACE_US_;
		if (!in_grace_period && !g_hash_table_contains(held_ids, &r->grant.grant_id))
			remove_grant_(p, r, false, now_us);
	}
	g_ptr_array_unref(list);
	g_hash_table_unref(held_ids);
	bh__planner_place_waiting(p, now_us);
}

/* Ends the grants and drops the asks of a node that is gone. Grants with memory on helpers are passed to the
 * port's abandoned(). */
void bh__planner_process_node_gone(BH__Planner *p, uint64_t node_id, uint64_t now_us)
{
	GPtrArray *list = list_node_grants_(p, node_id, false);

	for (guint i = 0; i < list->len; i++) {
		BH__PlacedRequest *r = g_ptr_array_index(list, i);
		BH__Grant g = r->grant;
		bool has_helper_memory = false;
		for (unsigned k = 1; k < g.member_count; k++)
			has_helper_memory |= g.member[k].kv_bytes > 0;
		remove_grant_(p, r, false, now_us);
		if (has_helper_memory)
			p->port->abandoned(p->port, &g);
	}
	g_ptr_array_unref(list);
	bh__planner_drop_asks(p, node_id);
	bh__planner_place_waiting(p, now_us);
}

/* Removes the grants of all nodes other than `node_id`. Called when this node stops scheduling the service.
 */
void bh__planner_drop_other_nodes(BH__Planner *p, uint64_t node_id, uint64_t now_us)
{
	GPtrArray *list = list_node_grants_(p, node_id, true);

	for (guint i = 0; i < list->len; i++)
		remove_grant_(p, g_ptr_array_index(list, i), false, now_us);
	g_ptr_array_unref(list);
	bh__planner_place_waiting(p, now_us);
}
