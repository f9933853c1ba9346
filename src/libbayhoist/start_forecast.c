/* SPDX-License-Identifier: BSD-3-Clause */
/* A forecast of starts on a copy of the ledger. */
#include "start_forecast.h"

typedef enum {
	EVENT_PREFILLED_, /* the engine has prefilled its part of the prompt */
	EVENT_ENDED_      /* the stream has ended, and the engine's memory is free */
} EventKind_;

/* What happens to one engine of a request. */
typedef struct {
	uint64_t at_us;
	EventKind_ kind;
	BH__IterationEngine *engine;
	const BH__PlacedRequest *request;
	uint64_t kv_tokens;
	bool is_primary;
} Event_;

struct BH__StartForecast {
	const BH__EngineModel *model;
	const BH__LongWork *long_work;
	uint64_t long_stream_us;
	uint64_t now_us;
	GPtrArray *engines;  /* copies of the planner's engines */
	GHashTable *by_id;   /* the elements of `engines` by endpoint id */
	GPtrArray *requests; /* BH__PlacedRequest that the forecast has placed */
	GArray *events;      /* Event_ still to come, the latest first */
};

static BH__IterationEngine *copy_engine_(const BH__IterationEngine *e);
static void free_engine_(gpointer engine);
static uint64_t stream_us_(const BH__StartForecast *f, const BH__PlacedRequest *r, uint64_t prompt_tokens);
static void add_request_(BH__StartForecast *f, const BH__PlacedRequest *r);
static void add_event_(BH__StartForecast *f, const Event_ *event);
static void process_event_(BH__StartForecast *f, const Event_ *event);
static void add_placement_(BH__StartForecast *f, const BH__Ask *ask, const BH__Placement *placement,
						   uint64_t arrived_us);

/* Returns a forecast that starts with the state of `engines` at `now_us`. Streams of long prompts last for
 * `long_stream_us`. The model and the long work are referenced until the forecast is deleted. */
BH__StartForecast *bh__start_forecast_new(const BH__EngineModel *m, const GPtrArray *engines,
										  const BH__LongWork *long_work, uint64_t long_stream_us,
										  uint64_t now_us)
{
	BH__StartForecast *f = g_new0(BH__StartForecast, 1);

	f->model = m;
	f->long_work = long_work;
	f->long_stream_us = long_stream_us;
	f->now_us = now_us;
	f->engines = g_ptr_array_new_with_free_func(free_engine_);
	f->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->requests = g_ptr_array_new_with_free_func(g_free);
	f->events = g_array_new(FALSE, FALSE, sizeof(Event_));
	for (guint i = 0; i < engines->len; i++) {
		BH__IterationEngine *e = copy_engine_(g_ptr_array_index(engines, i));
		g_ptr_array_add(f->engines, e);
		g_hash_table_insert(f->by_id, &e->endpoint_id, e);
	}
	for (guint i = 0; i < engines->len; i++) {
		const BH__IterationEngine *e = g_ptr_array_index(engines, i);
		for (guint k = 0; k < e->primaries->len; k++)
			add_request_(f, g_ptr_array_index(e->primaries, k));
	}
	return f;
}

void bh__start_forecast_delete(BH__StartForecast *f)
{
	g_hash_table_unref(f->by_id);
	g_ptr_array_unref(f->engines);
	g_ptr_array_unref(f->requests);
	g_array_unref(f->events);
	g_free(f);
}

/* Returns a copy of an engine. No answer counts as overdue there, since answers begin in the forecast when
 * they are predicted to. */
static BH__IterationEngine *copy_engine_(const BH__IterationEngine *e)
{
	BH__IterationEngine *copy = g_memdup2(e, sizeof *e);

	copy->primaries = g_ptr_array_copy(e->primaries, NULL, NULL);
	copy->clock.parts = g_array_copy(e->clock.parts);
	copy->clock.prefilled = g_array_copy(e->clock.prefilled);
	copy->last_stream_started_us = UINT64_MAX;
	return copy;
}

static void free_engine_(gpointer engine)
{
	BH__IterationEngine *e = engine;

	g_ptr_array_unref(e->primaries);
	bh__iteration_clock_clear(&e->clock);
	g_free(e);
}

/* Returns the predicted duration of a long prompt's stream: the mean of those that have ended, or, before the
 * first one has, the time for the longest answer. */
static uint64_t stream_us_(const BH__StartForecast *f, const BH__PlacedRequest *r, uint64_t prompt_tokens)
{
	uint64_t answer_tokens = r->tokens - MIN(r->tokens, prompt_tokens);

	if (f->long_stream_us)
		return f->long_stream_us;
	return (uint64_t)((double)answer_tokens * bh__engine_model_step_ms(f->model, 1, r->tokens) * BH__MS_US);
}

/* Adds the events to come of a request that its engines hold. */
static void add_request_(BH__StartForecast *f, const BH__PlacedRequest *r)
{
	uint64_t first_event_us =
		r->stream_started_us ? r->stream_started_us : r->granted_us + r->grant.expected_us;
	uint64_t prompt_tokens = bh__grant_get_prompt_tokens(&r->grant);
	bool is_long = bh__start_rules_is_long(f->model, prompt_tokens, r->event_gap_us);

	for (unsigned i = 0; i < r->grant.member_count; i++) {
		Event_ event = {.engine = g_hash_table_lookup(f->by_id, &r->grant.member[i].endpoint_id),
						.request = r,
						.kv_tokens = r->grant.member[i].kv_bytes,
						.is_primary = i == 0};
		if (!event.engine)
			continue;
		event.kind = EVENT_PREFILLED_;
		event.at_us = MAX(first_event_us, f->now_us);
		if (!r->grant.has_first_event)
			add_event_(f, &event);
		event.kind = EVENT_ENDED_;
		event.at_us = MAX(first_event_us + stream_us_(f, r, prompt_tokens), event.at_us);
		if (is_long)
			add_event_(f, &event);
	}
}

/* Inserts an event before the events that come earlier. Of two events at the same time the one added first
 * comes first. */
static void add_event_(BH__StartForecast *f, const Event_ *event)
{
	guint at = f->events->len;

	while (at > 0 && g_array_index(f->events, Event_, at - 1).at_us <= event->at_us)
		at--;
	g_array_insert_vals(f->events, at, event, 1);
}

/* Moves the forecast forward to `to_us`. */
void bh__start_forecast_advance(BH__StartForecast *f, uint64_t to_us)
{
	while (f->events->len) {
		Event_ event = g_array_index(f->events, Event_, f->events->len - 1);
		if (event.at_us > to_us)
			break;
		g_array_set_size(f->events, f->events->len - 1);
		process_event_(f, &event);
	}
	f->now_us = to_us;
}

/* Applies an event to the copy of its engine. */
static void process_event_(BH__StartForecast *f, const Event_ *event)
{
	BH__IterationEngine *e = event->engine;

	bh__iteration_clock_advance(&e->clock, f->model, event->at_us);
	if (event->kind == EVENT_ENDED_) {
		e->kv_used_tokens -= MIN(e->kv_used_tokens, event->kv_tokens);
		if (event->is_primary && g_ptr_array_remove_fast(e->primaries, (gpointer)event->request))
			bh__iteration_clock_end_stream(&e->clock, event->request->tokens);
		return;
	}
	bh__iteration_clock_remove_part(&e->clock, event->request->grant.grant_id, event->at_us);
	if (event->is_primary)
		bh__iteration_clock_begin_stream(&e->clock, f->model, event->request->tokens, event->at_us);
	else
		e->helper_parts -= e->helper_parts > 0;
}

/* Places an ask that arrived at `arrived_us` at the forecast's current time. Returns false if it would have
 * to wait. */
bool bh__start_forecast_place(BH__StartForecast *f, const BH__Ask *ask, uint64_t arrived_us)
{
	uint64_t waited_us = f->now_us - MIN(f->now_us, arrived_us);
	BH__Placement placement;

	if (waited_us >= ask->deadline_us ||
		!bh__start_rules_find(f->model, f->engines, f->long_work, ask,
							  bh__start_rules_is_late(f->model, ask, waited_us), waited_us, f->now_us,
							  &placement))
		return false;
	add_placement_(f, ask, &placement, arrived_us);
	return true;
}

/* Adds a placed ask to the copies of its engines. */
static void add_placement_(BH__StartForecast *f, const BH__Ask *ask, const BH__Placement *placement,
						   uint64_t arrived_us)
{
	BH__PlacedRequest *r = g_new0(BH__PlacedRequest, 1);
	double part_ms = bh__engine_model_prefill_ms(f->model, ask->prompt_tokens, placement->count);
	uint64_t target_us = arrived_us + bh__start_rules_first_event_target_us(ask);

	g_ptr_array_add(f->requests, r);
	r->grant.grant_id = ask->ask_id;
	r->grant.expected_us = placement->prefill_end_us - f->now_us;
	r->grant.event_gap_us = r->event_gap_us = ask->event_gap_us;
	r->grant.member_count = (uint8_t)placement->count;
	r->granted_us = f->now_us;
	r->answer_utility = bh__placement_utility(ask->prompt_tokens);
	r->tokens = ask->prompt_tokens + ask->max_tokens;
	for (unsigned i = 0; i < placement->count; i++) {
		BH__IterationEngine *e = placement->engine[i];
		r->grant.member[i].endpoint_id = e->endpoint_id;
		r->grant.member[i].kv_bytes = placement->kv_tokens[i];
		r->grant.member[i].token_count = ask->prompt_tokens / placement->count;
		bh__iteration_clock_add_part(&e->clock,
									 &(BH__PrefillPart){.grant_id = r->grant.grant_id,
														.due_us = target_us,
														.target_us = target_us,
														.utility = r->answer_utility,
														.left_ms = part_ms,
														.for_helper = i > 0},
									 f->now_us);
		e->kv_used_tokens += placement->kv_tokens[i];
		if (i == 0)
			g_ptr_array_add(e->primaries, r);
		else
			e->helper_parts++;
		bh__endpoint_rate_count_request(&e->rate, f->now_us);
	}
	add_request_(f, r);
}
