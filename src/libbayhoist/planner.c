/* SPDX-License-Identifier: BSD-3-Clause */
/* The planner: its ledger of grants and the asks that wait. The choice of engines is in placement.c. */
#include "bayhoist/planner.h"

#include <math.h>
#include <string.h>
#include "placement.h"

/* A request waits for engines that can take it without making a stream late; from this share of the time to
 * its first event on it may make some late, if they are worth less. */
#define WAIT_SHARE_TIGHT_ 0.05
#define WAIT_SHARE_ 0.6
#define FORCE_LEAD_MS_ 400 /* for the passes under way to end, and for the longer one to come */
#define LATE_LOSS_ 0.75    /* share of a value that is lost when an answer is late */
#define OFFER_SHARE_ 0.25  /* a request that no engine has a slot for is refused by then; the users' bound */
#define OFFER_MARGIN_US_ (15 * BH__MS_US)
/* Callers give a stream up that has not begun after the longest of these. A request that can't be in time any
 * more waits behind all others until shortly before. */
#define PATIENCE_US_ (2 * BH__SECOND_US)
#define PATIENCE_TARGETS_ 4
#define PATIENCE_GAPS_ 8
#define PATIENCE_SHARE_ 0.75
#define DEADLINE_SHARE_ 0.45
/* Share of the time to its first event in which a prompt is to have been read, as long as others would delay
 * it: the rest is for what the reckoning misses. */
#define DUE_SHARE_ 0.8
#define DEFAULT_FIRST_EVENT_US_ BH__SECOND_US
/* A long prompt that is late is read at length on engines that answer nothing, where prompts of the last
 * seconds that could be in time took less than this share of the engines: for this share of the time that its
 * caller waits, the rest being for the answer. That cut the worth of requests refused a second time by a
 * tenth (further 0.0133 to 0.0117 of all, 96 days of the users' mix). */
#define LONG_WORK_US_ (3.0 * BH__SECOND_US)
#define CALM_SHARE_ 0.3
#define LATE_READ_SHARE_ 0.33
#define LOOKS_PER_PUMP_ 12 /* waiting asks that are tried each time */
/* An engine that failed takes nothing for so long, then twice that. */
#define ASIDE_FIRST_US_ (600 * BH__MS_US)
#define ASIDE_MAX_US_ (4 * BH__SECOND_US)
/* A first event that comes this much later than foretold makes the engines that read for it suspects. */
#define SUSPECT_FACTOR_ 1.5
#define SUSPECT_MS_ 60.0
#define INSPECT_PERIOD_US_ BH__SECOND_US /* between reports of one engine, which cost it a call */
#define SLOW_PACE_ 1.3                   /* an engine this slow is asked again until it is not */
#define RETRY_AFTER_MIN_MS_ 150
#define RETRY_AFTER_MAX_MS_ 2000
/* What a grant that is overdue when it is told of has still to read, of its prompt. */
#define OLD_UNREAD_SHARE_ 0.1
/* A grant younger than this may not be in a list of holds yet. */
#define HOLD_GRACE_US_ (2 * BH__SECOND_US)

typedef struct {
	BH__Ask ask;
	uint64_t arrived_us;
} Waiting_;

struct BH__Planner {
	BH__PlannerPort *port;
	uint64_t pool_id;
	uint64_t boot_id;
	uint64_t next_grant;
	uint64_t order_seed; /* of the order in which engines are filled */
	BH__EngineModel model;
	GPtrArray *engines; /* BH__PassEngine */
	GHashTable *by_id;  /* the same by endpoint id */
	GHashTable *placed; /* BH__PlacedRequest by grant id */
	GHashTable *by_ask; /* the same by ask id */
	GPtrArray *waiting; /* Waiting_, the smallest prompt first */
	BH__PlannerCounters counters;
	double long_work_ms; /* of long prompts lately, on one engine; older ones count less */
	uint64_t long_work_us;
	bool pumping;
};

static gint compare_order_(gconstpointer a, gconstpointer b, gpointer seed);
static void free_engine_(gpointer engine);
static BH__PassEngine *find_engine_(const BH__Planner *p, uint64_t endpoint_id);
static uint64_t first_event_us_(const BH__Ask *ask);
static Waiting_ *find_waiting_(const BH__Planner *p, uint64_t ask_id);
static void push_(BH__Planner *p, const BH__Ask *ask, uint64_t now_us);
static bool try_place_(BH__Planner *p, const BH__Ask *ask, bool late, uint64_t arrived_us, uint64_t now_us);
static void note_long_work_(BH__Planner *p, const BH__Ask *ask, uint64_t now_us);
static double idle_read_ms_(const BH__Planner *p, const BH__Ask *left, uint64_t now_us);
static bool may_force_(const BH__Planner *p, const BH__Ask *ask, uint64_t waited_us);
static bool force_(BH__Planner *p, const BH__Ask *left, uint64_t now_us, BH__Placement *place);
static bool may_force_late_(const BH__Ask *ask, uint64_t waited_us);
static bool force_late_(BH__Planner *p, const BH__Ask *left, uint64_t now_us, BH__Placement *place);
static uint64_t patience_us_(const BH__Ask *ask);
static bool is_late_(const BH__Planner *p, const Waiting_ *w, uint64_t now_us);
static void pump_some_(BH__Planner *p, bool late, uint64_t now_us);
static void grant_(BH__Planner *p, const BH__Ask *ask, const BH__Placement *place, uint64_t due_us,
				   uint64_t now_us);
static double unread_share_(const BH__Grant *g);
static BH__PlacedRequest *enter_(BH__Planner *p, const BH__Grant *g, uint64_t due_us, uint64_t now_us);
static void start_stream_(BH__Planner *p, BH__PlacedRequest *r, uint64_t now_us);
static void take_out_(BH__Planner *p, BH__PlacedRequest *r, bool goes_on, uint64_t now_us);
static void end_reads_(BH__Planner *p, BH__PlacedRequest *r, bool was_read, uint64_t now_us);
static void inspect_(BH__Planner *p, BH__PassEngine *e, uint64_t now_us);
static void suspect_(BH__Planner *p, const BH__PlacedRequest *r, double took_ms, uint64_t now_us);
static void set_aside_(BH__PassEngine *e, uint64_t now_us);
static void refuse_(BH__Planner *p, const BH__Ask *ask, BH__Reason reason, uint64_t now_us);
static void pump_(BH__Planner *p, uint64_t now_us);
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

/* Adds an engine, or changes whether it is leaving. */
void bh__planner_set_endpoint(BH__Planner *p, uint64_t endpoint_id, bool leaving, uint64_t now_us)
{
	BH__PassEngine *e = find_engine_(p, endpoint_id);

	if (!e) {
		e = g_new0(BH__PassEngine, 1);
		e->endpoint_id = endpoint_id;
		e->homes = g_ptr_array_new();
		bh__pass_clock_init(&e->clock);
		g_ptr_array_add(p->engines, e);
		g_hash_table_insert(p->by_id, &e->endpoint_id, e);
		g_ptr_array_sort_with_data(p->engines, compare_order_, &p->order_seed);
	}
	e->leaving = leaving;
	pump_(p, now_us);
}

/* Forgets an engine; grants on it stay until they are released. */
void bh__planner_remove_endpoint(BH__Planner *p, uint64_t endpoint_id, uint64_t now_us)
{
	BH__PassEngine *e = find_engine_(p, endpoint_id);

	if (!e)
		return;
	g_hash_table_remove(p->by_id, &endpoint_id);
	g_ptr_array_remove(p->engines, e);
	pump_(p, now_us);
}

static uint64_t first_event_us_(const BH__Ask *ask)
{
	return ask->first_event_us ? ask->first_event_us : DEFAULT_FIRST_EVENT_US_;
}

static Waiting_ *find_waiting_(const BH__Planner *p, uint64_t ask_id)
{
	for (guint i = 0; i < p->waiting->len; i++) {
		Waiting_ *w = g_ptr_array_index(p->waiting, i);
		if (w->ask.ask_id == ask_id)
			return w;
	}
	return NULL;
}

/* Takes an ask. One that comes a second time is told again what became of it. */
void bh__planner_process_ask(BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	BH__PlacedRequest *known = g_hash_table_lookup(p->by_ask, &ask->ask_id);

	if (known) {
		p->port->grant(p->port, &known->grant);
		return;
	}
	if (find_waiting_(p, ask->ask_id)) {
		p->port->queued(p->port, ask);
		return;
	}
	if (ask->first_event_us > 1)
		note_long_work_(p, ask, now_us);
	if (try_place_(p, ask, false, now_us, now_us))
		return;
	push_(p, ask, now_us);
	p->counters.queued++;
	p->port->queued(p->port, ask);
}

static void push_(BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	Waiting_ *w = g_new0(Waiting_, 1);
	guint at = 0;

	w->ask = *ask;
	w->arrived_us = now_us;
	while (at < p->waiting->len &&
		   ((Waiting_ *)g_ptr_array_index(p->waiting, at))->ask.prompt_tokens <= ask->prompt_tokens)
		at++;
	g_ptr_array_insert(p->waiting, (gint)at, w);
}

/* Drops an ask that waits. */
void bh__planner_process_withdraw(BH__Planner *p, uint64_t ask_id)
{
	Waiting_ *w = find_waiting_(p, ask_id);

	if (w)
		g_ptr_array_remove(p->waiting, w);
}

/* Grants or refuses an ask, or returns false if it is to wait. With `late` an ask that can't be in time any
 * more is looked at, otherwise one that can. */
static bool try_place_(BH__Planner *p, const BH__Ask *ask, bool late, uint64_t arrived_us, uint64_t now_us)
{
	BH__Placement place;
	BH__Ask left = *ask; /* with the times that are left now */
	uint64_t waited_us = now_us - arrived_us;
	uint64_t aim_us = first_event_us_(ask);
	bool found;

	if (waited_us >= ask->deadline_us) {
		refuse_(p, ask, BH__REASON_DEADLINE, now_us);
		return true;
	}
	left.deadline_us = ask->deadline_us - waited_us;
	left.first_event_us = late || waited_us >= aim_us ? 0 : aim_us - waited_us;
	found = bh__placement_find(&p->model, p->engines, &left, late ? idle_read_ms_(p, &left, now_us) : 0,
							   now_us, &place) ||
			(late ? may_force_late_(ask, waited_us) && force_late_(p, &left, now_us, &place)
				  : may_force_(p, ask, waited_us) && force_(p, &left, now_us, &place));
	if (found) {
		p->counters.late += place.read_end_us > arrived_us + aim_us;
		grant_(p, ask, &place, arrived_us + (uint64_t)((double)aim_us * DUE_SHARE_), now_us);
		return true;
	}
	if (waited_us < patience_us_(ask) &&
		(waited_us + OFFER_MARGIN_US_ < (uint64_t)((double)aim_us * OFFER_SHARE_) ||
		 bh__placement_force(&p->model, p->engines, &left, now_us, &place)))
		return false;
	refuse_(p, ask, p->engines->len ? BH__REASON_OVERLOAD : BH__REASON_NO_ENDPOINT, now_us);
	return true;
}

/* Notes a prompt that is to be in time, of which the long ones need many engines. */
static void note_long_work_(BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	p->long_work_ms *= exp(-(double)(now_us - p->long_work_us) / LONG_WORK_US_);
	p->long_work_us = now_us;
	if (!bh__placement_is_tight(ask->event_gap_us))
		p->long_work_ms += bh__engine_model_read_ms(&p->model, ask->prompt_tokens, 1);
}

/* Returns how long a prompt that is late may be read on an engine that answers nothing else: 0 while long
 * prompts that can be in time need the engines. */
static double idle_read_ms_(const BH__Planner *p, const BH__Ask *left, uint64_t now_us)
{
	double work_ms = p->long_work_ms * exp(-(double)(now_us - p->long_work_us) / LONG_WORK_US_);
	double engines_ms = LONG_WORK_US_ / 1000 * p->engines->len;

	return work_ms < engines_ms * CALM_SHARE_ ? (double)left->deadline_us / 1000 * LATE_READ_SHARE_ : 0;
}

/* Returns true if a request has waited so long that it may make others late: the longer it takes to read, the
 * sooner. */
static bool may_force_(const BH__Planner *p, const BH__Ask *ask, uint64_t waited_us)
{
	bool tight = bh__placement_is_tight(ask->event_gap_us);
	double read_ms = bh__engine_model_read_ms(&p->model, ask->prompt_tokens, BH__GRANT_MEMBERS_MAX);
	double aim_us = (double)first_event_us_(ask);
	double latest_us = tight ? aim_us : aim_us - (read_ms + FORCE_LEAD_MS_) * 1000;

	return (double)waited_us >= MIN(latest_us, aim_us * (tight ? WAIT_SHARE_TIGHT_ : WAIT_SHARE_));
}

/* Finds a place where a request is in time and makes less late than it is worth. */
static bool force_(BH__Planner *p, const BH__Ask *left, uint64_t now_us, BH__Placement *place)
{
	double gain = bh__placement_value(left->prompt_tokens) * LATE_LOSS_;

	return bh__placement_force(&p->model, p->engines, left, now_us, place) &&
		   place->read_end_us <= now_us + left->first_event_us && place->damage < gain;
}

/* Returns true if a request that is late has waited for half as long as it may, and is a short one: engine
 * time is worth more to those that are in time, and late prompts of all lengths cost 0.03 of the worth (96
 * days of the users' mix). */
static bool may_force_late_(const BH__Ask *ask, uint64_t waited_us)
{
	return bh__placement_is_tight(ask->event_gap_us) && waited_us * 2 >= patience_us_(ask);
}

/* Finds a place where a request that is late makes less late than what it is still worth. */
static bool force_late_(BH__Planner *p, const BH__Ask *left, uint64_t now_us, BH__Placement *place)
{
	double gain = bh__placement_value(left->prompt_tokens) * (1 - LATE_LOSS_);

	return bh__placement_force(&p->model, p->engines, left, now_us, place) && place->damage < gain;
}

/* Returns how long a request that is late may wait for a place. */
static uint64_t patience_us_(const BH__Ask *ask)
{
	uint64_t us =
		MAX(PATIENCE_US_, MAX(first_event_us_(ask) * PATIENCE_TARGETS_, ask->event_gap_us * PATIENCE_GAPS_));

	return MIN((uint64_t)((double)us * PATIENCE_SHARE_),
			   (uint64_t)((double)ask->deadline_us * DEADLINE_SHARE_));
}

/* Grants an ask whose first event is due at `due_us`. */
static void grant_(BH__Planner *p, const BH__Ask *ask, const BH__Placement *place, uint64_t due_us,
				   uint64_t now_us)
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
	r = enter_(p, &g, due_us, now_us);
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
static BH__PlacedRequest *enter_(BH__Planner *p, const BH__Grant *g, uint64_t due_us, uint64_t now_us)
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
		enter_(p, grant, now_us + grant->expected_us, now_us);
}

/* Asks for an engine's report, unless that was done a moment ago. */
static void inspect_(BH__Planner *p, BH__PassEngine *e, uint64_t now_us)
{
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
	pump_(p, now_us);
}

static void set_aside_(BH__PassEngine *e, uint64_t now_us)
{
	uint64_t aside_us = ASIDE_FIRST_US_ << MIN(e->failures, 8u);

	e->failures++;
	e->set_aside_until_us = now_us + MIN(aside_us, ASIDE_MAX_US_);
}

/* A grant ends. An engine that failed takes nothing for a while. */
void bh__planner_process_release(BH__Planner *p, uint64_t grant_id, BH__ReleaseKind kind,
								 uint64_t failed_endpoint, uint64_t now_us)
{
	BH__PlacedRequest *r = g_hash_table_lookup(p->placed, &grant_id);
	BH__PassEngine *failed = find_engine_(p, failed_endpoint);

	if (failed && (kind == BH__RELEASE_FAILED || kind == BH__RELEASE_LOST))
		set_aside_(failed, now_us);
	if (r)
		take_out_(p, r, kind == BH__RELEASE_LOST, now_us);
	pump_(p, now_us);
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
			enter_(p, &grant[i], now_us + grant[i].expected_us, now_us);
	}
	for (guint i = 0; i < list->len; i++) {
		BH__PlacedRequest *r = g_ptr_array_index(list, i);
		bool young = r->grant.boot_id == boot_id && now_us < r->granted_us + HOLD_GRACE_US_;
		if (!young && !g_hash_table_contains(named, &r->grant.grant_id))
			take_out_(p, r, false, now_us);
	}
	g_ptr_array_unref(list);
	g_hash_table_unref(named);
	pump_(p, now_us);
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
	for (guint i = p->waiting->len; i-- > 0;)
		if (((Waiting_ *)g_ptr_array_index(p->waiting, i))->ask.node_id == node_id)
			g_ptr_array_remove_index(p->waiting, i);
	pump_(p, now_us);
}

/* Forgets what other nodes hold: this node does not schedule the service any more. */
void bh__planner_keep_only(BH__Planner *p, uint64_t node_id, uint64_t now_us)
{
	GPtrArray *list = placed_of_(p, node_id, true);

	for (guint i = 0; i < list->len; i++)
		take_out_(p, g_ptr_array_index(list, i), false, now_us);
	g_ptr_array_unref(list);
	pump_(p, now_us);
}

static void refuse_(BH__Planner *p, const BH__Ask *ask, BH__Reason reason, uint64_t now_us)
{
	uint64_t soonest_us = UINT64_MAX;
	uint64_t retry_after_ms;

	for (guint i = 0; i < p->engines->len; i++) {
		const BH__PassEngine *e = g_ptr_array_index(p->engines, i);
		uint64_t free_us = MAX(e->clock.pass_end_us, e->set_aside_until_us);
		if (!e->leaving)
			soonest_us = MIN(soonest_us, free_us);
	}
	if (soonest_us == UINT64_MAX)
		retry_after_ms = RETRY_AFTER_MAX_MS_ / 4;
	else
		retry_after_ms = soonest_us > now_us ? (soonest_us - now_us) / BH__MS_US : 0;
	p->counters.refusals++;
	p->port->refuse(p->port, ask, reason, CLAMP(retry_after_ms, RETRY_AFTER_MIN_MS_, RETRY_AFTER_MAX_MS_));
}

/* Tries the asks that wait, after something has changed: first those that can be in time. */
static void pump_(BH__Planner *p, uint64_t now_us)
{
	if (p->pumping) /* a grant's receiver may call back */
		return;
	p->pumping = true;
	pump_some_(p, false, now_us);
	pump_some_(p, true, now_us);
	p->pumping = false;
}

static void pump_some_(BH__Planner *p, bool late, uint64_t now_us)
{
	unsigned looks = 0;
	guint i = 0;

	while (i < p->waiting->len && looks < LOOKS_PER_PUMP_) {
		Waiting_ w = *(Waiting_ *)g_ptr_array_index(p->waiting, i);
		if (is_late_(p, &w, now_us) != late) {
			i++;
			continue;
		}
		looks++;
		if (try_place_(p, &w.ask, late, w.arrived_us, now_us))
			bh__planner_process_withdraw(p, w.ask.ask_id);
		else
			i++;
	}
}

/* Returns true if the first event can't be in time any more, wherever the request goes. */
static bool is_late_(const BH__Planner *p, const Waiting_ *w, uint64_t now_us)
{
	double least_ms = bh__engine_model_read_ms(&p->model, w->ask.prompt_tokens, BH__GRANT_MEMBERS_MAX);

	return now_us + (uint64_t)(least_ms * 1000) >= w->arrived_us + first_event_us_(&w->ask);
}

/* Grants what time has made possible and refuses what it has made impossible. To be called often while
 * bh__planner_is_waiting(). */
void bh__planner_process_tick(BH__Planner *p, uint64_t now_us)
{
	pump_(p, now_us);
}

/* Refuses all that waits. */
void bh__planner_refuse_all(BH__Planner *p, BH__Reason reason)
{
	while (p->waiting->len) {
		BH__Ask ask = ((Waiting_ *)g_ptr_array_index(p->waiting, 0))->ask;
		g_ptr_array_remove_index(p->waiting, 0);
		p->port->refuse(p->port, &ask, reason, RETRY_AFTER_MIN_MS_);
	}
}

bool bh__planner_is_waiting(const BH__Planner *p)
{
	return p->waiting->len > 0;
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
