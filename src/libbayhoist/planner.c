/* SPDX-License-Identifier: BSD-3-Clause */
/* The planner's ledger: what every engine was given, what became of it, and what other nodes tell of it. The
 * asks that wait are in planner_queue.c, the choice of engines in placement.c. */
#include <string.h>
#include "planner_internal.h"

/* An engine that failed takes nothing for so long, then twice that. */
#define ASIDE_FIRST_US_ (600 * BH__MS_US)
#define ASIDE_MAX_US_ (4 * BH__SECOND_US)
/* A first event that comes this much later than foretold makes the engines that read for it suspects. */
#define SUSPECT_FACTOR_ 1.5
#define SUSPECT_MS_ 60.0
#define INSPECT_PERIOD_US_ BH__SECOND_US /* between reports of one engine, which cost it a call */
#define SLOW_PACE_ 1.3                   /* an engine this slow is asked again until it is not */
/* What a grant that is overdue when it is told of has still to read, of its prompt. */
#define OLD_UNREAD_SHARE_ 0.1
/* A grant younger than this may not be in a list of holds yet. */
#define HOLD_GRACE_US_ (2 * BH__SECOND_US)

static BH__PassEngine *find_engine_(const BH__Planner *p, uint64_t endpoint_id);
static BH__PassEngine *add_engine_(BH__Planner *p, uint64_t endpoint_id, uint64_t life);
static gint compare_order_(gconstpointer a, gconstpointer b, gpointer seed);
static void free_engine_(gpointer engine);
static void restart_(BH__Planner *p, BH__PassEngine *e, uint64_t life);
static bool names_(const BH__Grant *g, uint64_t endpoint_id);
static double unread_share_(const BH__Grant *g);
static BH__PlacedRequest *enter_(BH__Planner *p, const BH__Grant *g, uint64_t due_us, uint64_t aim_us,
								 uint64_t now_us);
static void start_stream_(BH__Planner *p, BH__PlacedRequest *r, uint64_t now_us);
static void take_out_(BH__Planner *p, BH__PlacedRequest *r, bool goes_on, uint64_t now_us);
static void end_reads_(BH__Planner *p, BH__PlacedRequest *r, bool was_read, uint64_t now_us);
static void inspect_(BH__Planner *p, BH__PassEngine *e, uint64_t now_us);
static void suspect_(BH__Planner *p, const BH__PlacedRequest *r, double took_ms, uint64_t now_us);
static void set_aside_(BH__PassEngine *e, uint64_t now_us);
static GPtrArray *placed_of_(const BH__Planner *p, uint64_t node_id, bool others);

/* Returns a planner without engines. `boot_id` makes the ids of its grants unique. */
BH__Planner *bh__planner_new(BH__PlannerPort *port, uint64_t pool_id, uint64_t boot_id)
{
	BH__Planner *p = g_new0(BH__Planner, 1);

	p->port = port;
	p->pool_id = pool_id;
	p->boot_id = bh__hash_pair(boot_id, pool_id);
	bh__engine_model_init(&p->model);
	p->engines = g_ptr_array_new_with_free_func(free_engine_);
	p->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->placed = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	p->by_ask = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->waiting = g_ptr_array_new_with_free_func(g_free);
	return p;
}

void bh__planner_delete(BH__Planner *p)
{
	if (!p)
		return;
	g_hash_table_unref(p->by_ask);
	g_hash_table_unref(p->by_id);
	g_ptr_array_unref(p->engines);
	g_hash_table_unref(p->placed);
	g_ptr_array_unref(p->waiting);
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

/* Sets whether the planner knows of its own node's work only. Then it takes engines in an order of its own,
 * so that nodes which decide alone at the same time do not all fill the same engines. */
void bh__planner_set_alone(BH__Planner *p, bool alone)
{
	p->order_seed = alone ? p->boot_id : 0;
	g_ptr_array_sort_with_data(p->engines, compare_order_, &p->order_seed);
}

static gint compare_order_(gconstpointer a, gconstpointer b, gpointer seed)
{
	const BH__PassEngine *const *x = a;
	const BH__PassEngine *const *y = b;
	uint64_t p = bh__hash_pair((*x)->endpoint_id, *(const uint64_t *)seed);
	uint64_t q = bh__hash_pair((*y)->endpoint_id, *(const uint64_t *)seed);

	return p < q ? -1 : p > q;
}

static void free_engine_(gpointer engine)
{
	BH__PassEngine *e = engine;

	g_ptr_array_unref(e->homes);
	bh__pass_clock_clear(&e->clock);
	g_free(e);
}

static BH__PassEngine *find_engine_(const BH__Planner *p, uint64_t endpoint_id)
{
	return g_hash_table_lookup(p->by_id, &endpoint_id);
}

static BH__PassEngine *add_engine_(BH__Planner *p, uint64_t endpoint_id, uint64_t life)
{
	BH__PassEngine *e = g_new0(BH__PassEngine, 1);

	e->endpoint_id = endpoint_id;
	e->life = life;
	e->homes = g_ptr_array_new();
	bh__pass_clock_init(&e->clock);
	g_ptr_array_add(p->engines, e);
	g_hash_table_insert(p->by_id, &e->endpoint_id, e);
	g_ptr_array_sort_with_data(p->engines, compare_order_, &p->order_seed);
	return e;
}

/* Adds an engine, or changes whether it is leaving. With another `life` than before it has started again. */
void bh__planner_set_endpoint(BH__Planner *p, uint64_t endpoint_id, uint64_t life, bool leaving,
							  uint64_t now_us)
{
	BH__PassEngine *e = find_engine_(p, endpoint_id);

	if (!e)
		e = add_engine_(p, endpoint_id, life);
	if (e->life != life)
		restart_(p, e, life);
	e->leaving = leaving;
	bh__planner_pump(p, now_us);
}

/* Sets what limits an engine, one limit of each kind. One that is not known yet is added, and used once
 * bh__planner_set_endpoint() says so. */
void bh__planner_set_limits(BH__Planner *p, uint64_t endpoint_id, const BH__Limit *limit, uint64_t now_us)
{
	BH__PassEngine *e = find_engine_(p, endpoint_id);

	if (!e) {
		e = add_engine_(p, endpoint_id, 0);
		e->leaving = true;
	}
	for (int k = 0; k < BH__LIMIT_KIND_COUNT; k++)
		if (limit[k].per_s != e->rate.limit[k].per_s || limit[k].until_us != e->rate.limit[k].until_us)
			bh__endpoint_rate_set_limit(&e->rate, (BH__LimitKind)k, limit[k].per_s, limit[k].until_us,
										now_us);
	bh__endpoint_rate_set_part(&e->rate, p->part, now_us);
}

/* Sets the part of the engines' limits that this planner counts for; 0: it grants none that are limited. */
void bh__planner_set_part(BH__Planner *p, double part, uint64_t now_us)
{
	p->part = part;
	for (guint i = 0; i < p->engines->len; i++)
		bh__endpoint_rate_set_part(&((BH__PassEngine *)g_ptr_array_index(p->engines, i))->rate, part, now_us);
}

/* An engine has started again: it holds nothing of what it was given, and no failure counts against it.
 * Grants that name it keep their other engines until they are released. */
static void restart_(BH__Planner *p, BH__PassEngine *e, uint64_t life)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->placed);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		BH__Grant *g = &((BH__PlacedRequest *)value)->grant;
		for (unsigned i = 0; i < g->member_count; i++)
			if (g->member[i].endpoint_id == e->endpoint_id)
				g->member[i].endpoint_id = BH__NO_ENDPOINT;
	}
	g_ptr_array_set_size(e->homes, 0);
	bh__pass_clock_clear(&e->clock);
	bh__pass_clock_init(&e->clock);
	e->life = life;
	e->helps = 0;
	e->kv_used_tokens = 0;
	e->failures = 0;
	e->set_aside_until_us = 0;
	e->asked_backoff_until_us = 0;
	e->last_begun_us = 0;
	e->inspected_us = 0;
}

/* Returns true if a grant has work on an engine, in that engine's present life. */
static bool names_(const BH__Grant *g, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < g->member_count; i++)
		if (g->member[i].endpoint_id == endpoint_id)
			return true;
	return false;
}

/* Forgets an engine; grants on it stay until they are released. */
void bh__planner_remove_endpoint(BH__Planner *p, uint64_t endpoint_id, uint64_t now_us)
{
	BH__PassEngine *e = find_engine_(p, endpoint_id);

	if (!e)
		return;
	g_hash_table_remove(p->by_id, &endpoint_id);
	g_ptr_array_remove(p->engines, e);
	bh__planner_pump(p, now_us);
}

/* Grants an ask whose first event is due at `due_us`. */
void bh__planner_grant(BH__Planner *p, const BH__Ask *ask, const BH__Placement *place, uint64_t due_us,
					   uint64_t aim_us, uint64_t now_us)
{
	BH__Grant g = {.grant_id = bh__hash_pair(p->boot_id, ++p->next_grant),
				   .ask_id = ask->ask_id,
				   .pool_id = p->pool_id,
				   .node_id = ask->node_id,
				   .boot_id = ask->boot_id,
				   .priority_level = ask->priority_level,
				   .tells_progress = true,
				   .event_gap_us = ask->event_gap_us,
				   .expected_us = place->read_end_us - now_us,
				   .member_count = (uint8_t)place->count};
	BH__PlacedRequest *r;
	uint64_t done = 0;

	for (unsigned i = 0; i < place->count; i++) {
		uint64_t end = ask->prompt_tokens * (i + 1) / place->count;
		g.member[i].endpoint_id = place->engine[i]->endpoint_id;
		g.member[i].kv_bytes = place->kv_tokens[i];
		g.member[i].first_token = done;
		g.member[i].token_count = end - done;
		done = end;
	}
	for (unsigned i = 0; i < place->count; i++)
		bh__endpoint_rate_note(&place->engine[i]->rate, now_us);
	r = enter_(p, &g, due_us, aim_us, now_us);
	r->expected_ms = (double)(place->read_end_us - now_us) / 1000 / place->engine[0]->clock.pace;
	for (unsigned i = 0; i < place->count; i++)
		if (place->engine[i]->clock.pace > SLOW_PACE_)
			inspect_(p, place->engine[i], now_us);
	p->counters.grants++;
	p->counters.helped += place->count > 1;
	p->port->grant(p->port, &r->grant);
}

/* Returns how much of its prompt a grant still has to read, going by its age. */
static double unread_share_(const BH__Grant *g)
{
	double passed = g->expected_us ? (double)g->age_us / (double)g->expected_us : 0;

	return CLAMP(1 - passed, OLD_UNREAD_SHARE_, 1);
}

/* Enters a grant in the ledger. Its first event is due at `due_us`. */
static BH__PlacedRequest *enter_(BH__Planner *p, const BH__Grant *g, uint64_t due_us, uint64_t aim_us,
								 uint64_t now_us)
{
	BH__PlacedRequest *r = g_new0(BH__PlacedRequest, 1);
	uint64_t prompt_tokens = 0;
	double part_ms;

	for (unsigned i = 0; i < g->member_count; i++)
		prompt_tokens += g->member[i].token_count;
	part_ms = bh__engine_model_read_ms(&p->model, prompt_tokens, g->member_count) * unread_share_(g);
	r->grant = *g;
	r->grant.age_us = 0;
	r->granted_us = now_us - MIN(now_us, g->age_us);
	r->event_gap_us = g->event_gap_us;
	r->value = bh__placement_value(prompt_tokens);
	for (unsigned i = 0; i < g->member_count; i++) {
		BH__PassEngine *e = find_engine_(p, g->member[i].endpoint_id);
		r->tokens += g->member[i].kv_bytes;
		if (!e)
			continue;
		bh__pass_clock_advance(&e->clock, &p->model, now_us);
		if (!g->writes)
			bh__pass_clock_add_part(&e->clock,
									&(BH__PassPart){.grant_id = g->grant_id,
													.due_us = due_us,
													.aim_us = aim_us,
													.value = r->value,
													.left_ms = part_ms,
													.helps = i > 0},
									now_us);
		e->kv_used_tokens += g->member[i].kv_bytes;
		if (i == 0)
			g_ptr_array_add(e->homes, r);
		else
			e->helps += !g->writes;
	}
	g_hash_table_insert(p->placed, &r->grant.grant_id, r);
	g_hash_table_insert(p->by_ask, &r->grant.ask_id, r);
	if (g->writes)
		start_stream_(p, r, now_us);
	return r;
}

/* The answer's first event is there: from now on it is a stream on its engine. */
static void start_stream_(BH__Planner *p, BH__PlacedRequest *r, uint64_t now_us)
{
	BH__PassEngine *e = find_engine_(p, r->grant.member[0].endpoint_id);

	r->grant.writes = true;
	if (e)
		bh__pass_clock_begin_stream(&e->clock, &p->model, r->tokens, now_us);
}

/* Takes a grant out of the ledger. With `goes_on` its engines still read the prompt, for nobody. */
static void take_out_(BH__Planner *p, BH__PlacedRequest *r, bool goes_on, uint64_t now_us)
{
	if (!r->grant.writes && !goes_on)
		end_reads_(p, r, false, now_us);
	for (unsigned i = 0; i < r->grant.member_count; i++) {
		BH__PassEngine *e = find_engine_(p, r->grant.member[i].endpoint_id);
		if (!e)
			continue;
		e->kv_used_tokens -= MIN(e->kv_used_tokens, r->grant.member[i].kv_bytes);
		if (i > 0)
			continue;
		if (g_ptr_array_remove_fast(e->homes, r) && r->grant.writes) {
			bh__pass_clock_advance(&e->clock, &p->model, now_us);
			bh__pass_clock_end_stream(&e->clock, r->tokens);
		}
	}
	g_hash_table_remove(p->by_ask, &r->grant.ask_id);
	g_hash_table_remove(p->placed, &r->grant.grant_id);
}

/* A prompt is not being read any more: it has been, or will not be. */
static void end_reads_(BH__Planner *p, BH__PlacedRequest *r, bool was_read, uint64_t now_us)
{
	for (unsigned i = 0; i < r->grant.member_count; i++) {
		BH__PassEngine *e = find_engine_(p, r->grant.member[i].endpoint_id);
		if (!e)
			continue;
		if (i > 0)
			e->helps -= e->helps > 0;
		bh__pass_clock_advance(&e->clock, &p->model, now_us);
		if (was_read)
			bh__pass_clock_note_read(&e->clock, &p->model, r->grant.grant_id, r->grant.member_count == 1,
									 now_us);
		else
			bh__pass_clock_drop_part(&e->clock, r->grant.grant_id, now_us);
	}
}

/* Enters a grant that another node's planner gave. */
void bh__planner_process_note(BH__Planner *p, const BH__Grant *grant, uint64_t now_us)
{
	if (!g_hash_table_contains(p->placed, &grant->grant_id))
		enter_(p, grant, now_us + grant->expected_us, now_us + grant->expected_us, now_us);
}

/* Asks for an engine's report, unless that was done a moment ago, or the engine is limited in what it gets.
 */
static void inspect_(BH__Planner *p, BH__PassEngine *e, uint64_t now_us)
{
	if (bh__endpoint_rate_is_limited(&e->rate, now_us))
		return;
	if (e->inspected_us && now_us < e->inspected_us + INSPECT_PERIOD_US_)
		return;
	e->inspected_us = now_us;
	p->port->inspect(p->port, e->endpoint_id);
}

/* An engine told its pace in a report. */
void bh__planner_process_pace(BH__Planner *p, uint64_t endpoint_id, double pace, uint64_t now_us)
{
	BH__PassEngine *e = find_engine_(p, endpoint_id);

	if (!e)
		return;
	bh__pass_clock_advance(&e->clock, &p->model, now_us);
	bh__pass_clock_set_pace(&e->clock, pace, now_us);
}

/* Suspects the engines that read for a request whose first event took `took_ms`, if that is too long. */
static void suspect_(BH__Planner *p, const BH__PlacedRequest *r, double took_ms, uint64_t now_us)
{
	double expected_ms = (double)r->grant.expected_us / 1000;

	if (took_ms < expected_ms * SUSPECT_FACTOR_ + SUSPECT_MS_)
		return;
	for (unsigned i = 0; i < r->grant.member_count; i++) {
		BH__PassEngine *e = find_engine_(p, r->grant.member[i].endpoint_id);
		if (e)
			inspect_(p, e, now_us);
	}
}

/* The first event of an answer has come. */
void bh__planner_process_progress(BH__Planner *p, uint64_t grant_id, uint64_t now_us)
{
	BH__PlacedRequest *r = g_hash_table_lookup(p->placed, &grant_id);
	BH__PassEngine *e;

	if (!r || r->grant.writes)
		return;
	r->begun_us = now_us;
	if (r->grant.member_count > 1)
		suspect_(p, r, (double)(now_us - r->granted_us) / 1000, now_us);
	end_reads_(p, r, true, now_us);
	start_stream_(p, r, now_us);
	e = find_engine_(p, r->grant.member[0].endpoint_id);
	if (e) {
		e->failures = 0;
		e->last_begun_us = now_us;
		if (r->grant.member_count == 1)
			bh__pass_clock_observe(&e->clock, r->expected_ms, (double)(now_us - r->granted_us) / 1000);
	}
	bh__planner_pump(p, now_us);
}

/* A stream has paused for a long pass of its engine, which has just ended. */
void bh__planner_process_pass(BH__Planner *p, uint64_t grant_id, uint64_t pass_us, uint64_t now_us)
{
	BH__PlacedRequest *r = g_hash_table_lookup(p->placed, &grant_id);
	BH__PassEngine *e = r && r->grant.writes ? find_engine_(p, r->grant.member[0].endpoint_id) : NULL;

	if (!e)
		return;
	bh__pass_clock_advance(&e->clock, &p->model, now_us);
	bh__pass_clock_note_pass(&e->clock, &p->model, pass_us, now_us);
	bh__planner_pump(p, now_us);
}

static void set_aside_(BH__PassEngine *e, uint64_t now_us)
{
	uint64_t aside_us = ASIDE_FIRST_US_ << MIN(e->failures, 8u);

	e->failures++;
	e->set_aside_until_us = now_us + MIN(aside_us, ASIDE_MAX_US_);
	if (now_us < e->asked_backoff_until_us)
		e->set_aside_until_us = MIN(e->set_aside_until_us, e->asked_backoff_until_us);
}

/* An engine has asked a node for so long a backoff. To be called before the release of the grant that it
 * turned away: it is not set aside for the others for longer than its own word says. */
void bh__planner_process_backoff(BH__Planner *p, uint64_t endpoint_id, uint64_t backoff_us, uint64_t now_us)
{
	BH__PassEngine *e = find_engine_(p, endpoint_id);

	if (e)
		e->asked_backoff_until_us = MAX(e->asked_backoff_until_us, now_us + backoff_us);
}

/* A grant ends. An engine that failed takes nothing for a while. */
void bh__planner_process_release(BH__Planner *p, uint64_t grant_id, BH__ReleaseKind kind,
								 uint64_t failed_endpoint, uint64_t now_us)
{
	BH__PlacedRequest *r = g_hash_table_lookup(p->placed, &grant_id);
	BH__PassEngine *failed = find_engine_(p, failed_endpoint);

	if (failed && (!r || names_(&r->grant, failed_endpoint)) &&
		(kind == BH__RELEASE_FAILED || kind == BH__RELEASE_LOST))
		set_aside_(failed, now_us);
	if (r)
		take_out_(p, r, kind == BH__RELEASE_LOST, now_us);
	bh__planner_pump(p, now_us);
}

/* Returns the grants of a node, or with `others` those of all other nodes. */
static GPtrArray *placed_of_(const BH__Planner *p, uint64_t node_id, bool others)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->placed);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if ((((BH__PlacedRequest *)value)->grant.node_id == node_id) != others)
			g_ptr_array_add(list, value);
	return list;
}

/* Adds all grants to `out`, with their ages, for the planner of another node. */
void bh__planner_list_grants(const BH__Planner *p, GArray *out, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->placed);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const BH__PlacedRequest *r = value;
		BH__Grant g = r->grant;
		g.age_us = now_us - MIN(now_us, r->granted_us);
		g_array_append_val(out, g);
	}
}

/* A node says which grants it holds, whole or by their ids alone: those that are not named are over. */
void bh__planner_process_hold(BH__Planner *p, uint64_t node_id, uint64_t boot_id, bool full,
							  const BH__Grant *grant, uint32_t count, uint64_t now_us)
{
	GHashTable *named = g_hash_table_new(g_int64_hash, g_int64_equal);
	GPtrArray *list = placed_of_(p, node_id, false);

	for (uint32_t i = 0; i < count; i++) {
		g_hash_table_add(named, (gpointer)&grant[i].grant_id);
		if (full && grant[i].member_count && !g_hash_table_contains(p->placed, &grant[i].grant_id))
			enter_(p, &grant[i], now_us + grant[i].expected_us, now_us + grant[i].expected_us, now_us);
	}
	for (guint i = 0; i < list->len; i++) {
		BH__PlacedRequest *r = g_ptr_array_index(list, i);
		bool young = r->grant.boot_id == boot_id && now_us < r->granted_us + HOLD_GRACE_US_;
		if (!young && !g_hash_table_contains(named, &r->grant.grant_id))
			take_out_(p, r, false, now_us);
	}
	g_ptr_array_unref(list);
	g_hash_table_unref(named);
	bh__planner_pump(p, now_us);
}

/* A node is gone: its grants end and its asks are dropped. Memory that it held on helpers is told of. */
void bh__planner_process_node_gone(BH__Planner *p, uint64_t node_id, uint64_t now_us)
{
	GPtrArray *list = placed_of_(p, node_id, false);

	for (guint i = 0; i < list->len; i++) {
		BH__PlacedRequest *r = g_ptr_array_index(list, i);
		BH__Grant g = r->grant;
		bool holds = false;
		for (unsigned k = 1; k < g.member_count; k++)
			holds |= g.member[k].kv_bytes > 0;
		take_out_(p, r, false, now_us);
		if (holds)
			p->port->abandoned(p->port, &g);
	}
	g_ptr_array_unref(list);
	bh__planner_drop_asks(p, node_id);
	bh__planner_pump(p, now_us);
}

/* Forgets what other nodes hold: this node does not schedule the service any more. */
void bh__planner_keep_only(BH__Planner *p, uint64_t node_id, uint64_t now_us)
{
	GPtrArray *list = placed_of_(p, node_id, true);

	for (guint i = 0; i < list->len; i++)
		take_out_(p, g_ptr_array_index(list, i), false, now_us);
	g_ptr_array_unref(list);
	bh__planner_pump(p, now_us);
}

unsigned bh__planner_get_engine_count(const BH__Planner *p)
{
	return p->engines->len;
}

/* Fills in what is believed of an engine. */
void bh__planner_get_engine(const BH__Planner *p, unsigned index, BH__PlannerEngine *out)
{
	const BH__PassEngine *e = g_ptr_array_index(p->engines, index);

	*out = (BH__PlannerEngine){.endpoint_id = e->endpoint_id,
							   .homes = e->homes->len,
							   .streams = e->clock.streams,
							   .helps = e->helps,
							   .kv_used_tokens = e->kv_used_tokens,
							   .unread_ms = bh__pass_clock_get_backlog_ms(&e->clock),
							   .pace = e->clock.pace,
							   .usable = !e->leaving};
}

const BH__PlannerCounters *bh__planner_get_counters(const BH__Planner *p)
{
	return &p->counters;
}
