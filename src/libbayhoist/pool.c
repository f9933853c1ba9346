/* SPDX-License-Identifier: BSD-3-Clause */
/* The pool scheduler. Asks wait in weighted fair order in a short and a long lane. Short ones go to an engine
 * as soon as one has memory and little backlog. Of the long ones, the first in line chooses its engine or
 * engines, all at once, which then keep free what it needs; it starts when the first has the memory, and the
 * others drain meanwhile. Only one prompt at a time chooses and it is given all that it chose, so there is no
 * deadlock, and no stream of short ones starves it. */
#include "bayhoist/pool.h"

#include <string.h>
#include "forecast.h"
#include "ledger.h"

#define SHORT_LOOKAHEAD_ 4 /* entries tried when the first does not fit */
#define BACKFILL_LOOKAHEAD_ 8
#define PATIENCE_US_ (20 * BH__SECOND_US) /* that others may start before a long prompt that cannot */
#define USABLE_CHECK_US_ (100 * BH__MS_US)
#define NO_ENGINE_GRACE_US_ BH__SECOND_US /* a new scheduler has heard from its engines by then */
#define MIN_RETRY_AFTER_MS_ 200
#define MAX_RETRY_AFTER_MS_ 60000

/* The long ask that keeps memory free for itself. */
typedef struct {
	uint64_t ask_id; /* 0: none */
	unsigned count;
	uint64_t endpoint_id[BH__GANG_MAX];
	uint64_t kv_bytes[BH__GANG_MAX];
} Reservation_;

struct BH__Pool {
	BH__PoolPort *port;
	uint64_t pool_id;
	uint64_t boot_id;
	uint64_t next_grant;
	BH__Policy policy;
	BH__Engines *engines;
	BH__PrefixIndex *prefixes;
	BH__Queue *queue;
	BH__Ledger *ledger;
	BH__Forecast forecast;
	Reservation_ reservation;
	BH__PoolCounters counters;
	uint64_t usable_us; /* when an engine was last usable; at first, when the pool began */
	bool short_blocked; /* the first short asks fit on no engine, and nothing has changed since */
	bool pumping;
};

static BH__Lane lane_of_(const BH__Pool *p, const BH__Ask *ask);
static unsigned long_cap_(const BH__Pool *p);
static uint64_t wait_us_(BH__Pool *p, BH__Lane lane, uint64_t now_us);
static void on_orphan_(void *ctx, uint64_t endpoint_id, const BH__ReportedAttempt *attempt);
static unsigned long_floor_(const BH__Pool *p);
static unsigned busy_with_long_(const BH__Pool *p);
static void refuse_(BH__Pool *p, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_us);
static void pump_(BH__Pool *p, uint64_t now_us);
static void pump_more_(BH__Pool *p, uint64_t now_us);
static bool pump_short_(BH__Pool *p, uint64_t now_us);
static void pump_engine_(BH__Pool *p, BH__Engine *engine, uint64_t now_us);
static bool pump_long_(BH__Pool *p, uint64_t now_us);
static bool has_engines_(BH__Pool *p, uint64_t now_us);
static bool has_adapter_(const BH__Pool *p, const BH__Ask *ask);
static bool is_too_long_(const BH__Pool *p, const BH__Ask *ask);
static bool reserve_(BH__Pool *p, BH__QueueEntry *e, uint64_t now_us);
static bool backfill_(BH__Pool *p, uint64_t now_us);
static void unreserve_(BH__Pool *p);
static bool reservation_is_free_(BH__Pool *p);
static void grant_entry_(BH__Pool *p, BH__QueueEntry *e, BH__Engine *const engine[],
						 const uint64_t kv_bytes[], unsigned count, uint64_t now_us);
static void split_prompt_(BH__Grant *g, uint64_t prompt_tokens);
static void take_cache_events_(BH__Pool *p, BH__Engine *e, const BH__LoadReport *r);

/* Returns the id of the pool of a data hall and a model. */
uint64_t bh__pool_get_id(const char *hall, const char *model)
{
	return bh__hash_pair(bh__hash_name(hall), bh__hash_name(model));
}

/* Returns an empty pool. `boot_id` makes its grants' ids unique; `seed` sets the order of random looks. */
BH__Pool *bh__pool_new(BH__PoolPort *port, uint64_t pool_id, uint64_t boot_id, uint32_t seed)
{
	BH__Pool *p = g_new0(BH__Pool, 1);
	p->port = port;
	p->pool_id = pool_id;
	p->boot_id = bh__hash_pair(boot_id, pool_id);
	bh__policy_init(&p->policy);
	p->engines = bh__engines_new(seed);
	p->prefixes = bh__prefix_index_new();
	p->queue = bh__queue_new();
	p->ledger = bh__ledger_new(p->engines, on_orphan_, p);
	return p;
}

void bh__pool_delete(BH__Pool *p)
{
	if (!p)
		return;
	bh__ledger_delete(p->ledger);
	bh__engines_delete(p->engines);
	bh__prefix_index_delete(p->prefixes);
	bh__queue_delete(p->queue);
	g_free(p);
}

void bh__pool_set_policy(BH__Pool *p, const BH__Policy *policy)
{
	p->policy = *policy;
}

/* Adds an endpoint or changes what is known of it. Work that it runs stays in the ledger. */
void bh__pool_set_endpoint(BH__Pool *p, const BH__PoolEndpoint *endpoint, uint64_t now_us)
{
	BH__Engine *e = bh__engines_add(p->engines, endpoint->endpoint_id);

	e->spec = *endpoint;
	if (endpoint->kv_bytes)
		e->kv_capacity_bytes = endpoint->kv_bytes;
	if (endpoint->leaving)
		unreserve_(p);
	pump_(p, now_us);
}

void bh__pool_remove_endpoint(BH__Pool *p, uint64_t endpoint_id)
{
	unreserve_(p);
	bh__prefix_index_remove_endpoint(p->prefixes, endpoint_id);
	bh__engines_remove(p->engines, endpoint_id);
}

static BH__Lane lane_of_(const BH__Pool *p, const BH__Ask *ask)
{
	return ask->prompt_tokens > p->policy.long_tokens ? BH__LANE_LONG : BH__LANE_SHORT;
}

static unsigned long_cap_(const BH__Pool *p)
{
	return bh__forecast_get_long_cap(&p->forecast, p->engines, &p->policy);
}

static uint64_t wait_us_(BH__Pool *p, BH__Lane lane, uint64_t now_us)
{
	return bh__forecast_get_wait_us(&p->forecast, p->engines, &p->policy, p->queue, lane, now_us);
}

/* Returns how many engines long prompts may have to themselves while they prefill: their least share, which
 * holds however much short work there is. */
static unsigned long_floor_(const BH__Pool *p)
{
	return (unsigned)(p->policy.min_long_share * bh__engines_get_count(p->engines) + 0.5);
}

static unsigned busy_with_long_(const BH__Pool *p)
{
	unsigned busy = 0;
	for (unsigned i = 0; i < bh__engines_get_count(p->engines); i++)
		busy += bh__engines_get(p->engines, i)->long_prefills > 0;
	return busy;
}

static void refuse_(BH__Pool *p, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_us)
{
	p->counters.refusals++;
	p->port->refuse(p->port, ask, reason,
					CLAMP(retry_after_us / BH__MS_US, MIN_RETRY_AFTER_MS_, MAX_RETRY_AFTER_MS_));
}

/* Returns false if no engine has been usable for a while. */
static bool has_engines_(BH__Pool *p, uint64_t now_us)
{
	if (!p->usable_us)
		p->usable_us = now_us;
	if (now_us < p->usable_us + USABLE_CHECK_US_)
		return true;
	for (unsigned i = 0; i < bh__engines_get_count(p->engines); i++) {
		if (bh__engine_is_usable(bh__engines_get(p->engines, i))) {
			p->usable_us = now_us;
			return true;
		}
	}
	return now_us < p->usable_us + NO_ENGINE_GRACE_US_;
}

/* Returns false if the ask needs an adapter that no usable engine holds. */
static bool has_adapter_(const BH__Pool *p, const BH__Ask *ask)
{
	for (unsigned i = 0; i < bh__engines_get_count(p->engines) && ask->adapter_id; i++)
		if (bh__engine_can_serve(bh__engines_get(p->engines, i), ask))
			return true;
	return ask->adapter_id == 0;
}

/* Returns true if the engines together cannot hold the ask. Without any engine that is not known. */
static bool is_too_long_(const BH__Pool *p, const BH__Ask *ask)
{
	return lane_of_(p, ask) == BH__LANE_LONG && bh__engines_get_gang_size(p->engines, 0) &&
		   !bh__engines_get_gang_size(p->engines, ask->kv_bytes);
}

/* Takes an ask: grants it now or later, or refuses it, at once if it could not finish in time. */
void bh__pool_process_ask(BH__Pool *p, const BH__Ask *ask, uint64_t now_us)
{
	BH__Lane lane = lane_of_(p, ask);
	uint64_t run_us = bh__forecast_get_run_us(&p->forecast, p->engines, ask, now_us);
	uint64_t wait_us = wait_us_(p, lane, now_us);
	uint32_t queued = bh__pool_get_queued(p);
	BH__QueueEntry *e = NULL;

	if (bh__queue_find(p->queue, ask->ask_id))
		return; /* sent twice */
	bh__forecast_note_arrival(&p->forecast, lane, ask->prompt_tokens + ask->max_tokens, now_us);
	if (!has_engines_(p, now_us) || !has_adapter_(p, ask))
		refuse_(p, ask, BH__REASON_NO_ENDPOINT, BH__SECOND_US);
	else if (is_too_long_(p, ask))
		refuse_(p, ask, BH__REASON_TOO_LONG, 0);
	else if (queued >= p->policy.queue_max)
		refuse_(p, ask, BH__REASON_OVERLOAD, wait_us);
	else if (run_us >= ask->deadline_us)
		refuse_(p, ask, BH__REASON_DEADLINE, 0);
	else if (wait_us + run_us >= ask->deadline_us)
		refuse_(p, ask, BH__REASON_OVERLOAD, wait_us + run_us - ask->deadline_us);
	else
		e = bh__queue_push(p->queue, ask, lane, now_us + ask->deadline_us - run_us, now_us);
	if (e &&
		e == bh__queue_get_first(p->queue, BH__LANE_SHORT)) /* it may fit where the ones behind it do not */
		p->short_blocked = false;
	pump_more_(p, now_us);
}

/* Drops an ask that waits; one already granted is ended by its release. */
void bh__pool_process_withdraw(BH__Pool *p, uint64_t ask_id)
{
	BH__QueueEntry *e = bh__queue_find(p->queue, ask_id);

	if (p->reservation.ask_id == ask_id)
		unreserve_(p);
	if (e)
		bh__queue_remove(p->queue, e);
}

/* Grants all that can be granted, after something has changed. */
static void pump_(BH__Pool *p, uint64_t now_us)
{
	p->short_blocked = false;
	pump_more_(p, now_us);
}

static void pump_more_(BH__Pool *p, uint64_t now_us)
{
	if (p->pumping) /* a grant's receiver may call back */
		return;
	p->pumping = true;
	while (pump_long_(p, now_us))
		;
	while (!p->short_blocked && pump_short_(p, now_us))
		;
	p->pumping = false;
}

static bool pump_short_(BH__Pool *p, uint64_t now_us)
{
	BH__QueueEntry *e = bh__queue_get_first(p->queue, BH__LANE_SHORT);

	for (unsigned looks = 0; e && looks < SHORT_LOOKAHEAD_; looks++) {
		BH__Engine *engine = bh__engines_pick_short(p->engines, p->prefixes, &e->ask, now_us);
		if (engine) {
			grant_entry_(p, e, &engine, &e->ask.kv_bytes, 1, now_us);
			return true;
		}
		e = bh__queue_get_next(e);
	}
	p->short_blocked = e != NULL || bh__queue_get_count(p->queue, BH__LANE_SHORT) > 0;
	return false;
}

/* Grants short asks on one engine that has got room, where all engines were full. What time alone makes
 * possible on the others is found at the next tick. */
static void pump_engine_(BH__Pool *p, BH__Engine *engine, uint64_t now_us)
{
	BH__QueueEntry *e = bh__queue_get_first(p->queue, BH__LANE_SHORT);
	unsigned looks = 0;

	if (p->pumping)
		return;
	p->pumping = true;
	while (e && looks < SHORT_LOOKAHEAD_) {
		BH__QueueEntry *next = bh__queue_get_next(e);
		if (bh__engine_takes_short(engine, &e->ask, now_us))
			grant_entry_(p, e, &engine, &e->ask.kv_bytes, 1, now_us);
		else
			looks++;
		e = next;
	}
	p->pumping = false;
}

static bool pump_long_(BH__Pool *p, uint64_t now_us)
{
	BH__QueueEntry *e;
	BH__Engine *engine[BH__GANG_MAX];
	Reservation_ r;
	bool dedicated;

	if (!p->reservation.ask_id) {
		e = bh__queue_get_first(p->queue, BH__LANE_LONG);
		if (!e)
			return false;
		if (is_too_long_(p, &e->ask)) { /* engines were lost since it came */
			BH__Ask ask = e->ask;
			bh__queue_remove(p->queue, e);
			refuse_(p, &ask, BH__REASON_TOO_LONG, 0);
			return true;
		}
		if (!reserve_(p, e, now_us)) /* it needs engines that other long prompts fill */
			return now_us < e->arrived_us + PATIENCE_US_ && backfill_(p, now_us);
	}
	if (!reservation_is_free_(p))
		return backfill_(p, now_us);
	r = p->reservation;
	dedicated = bh__engines_find(p->engines, r.endpoint_id[0])->dedicated;
	unreserve_(p);
	e = bh__queue_find(p->queue, r.ask_id);
	g_assert(e);
	for (unsigned i = 0; i < r.count; i++)
		engine[i] = bh__engines_find(p->engines, r.endpoint_id[i]);
	engine[0]->dedicated = dedicated;
	grant_entry_(p, e, engine, r.kv_bytes, r.count, now_us);
	return true;
}

/* While the first long ask waits for its memory, grants one behind it that fits into what is free besides. */
static bool backfill_(BH__Pool *p, uint64_t now_us)
{
	BH__QueueEntry *e = bh__queue_get_first(p->queue, BH__LANE_LONG);

	if (busy_with_long_(p) >= long_cap_(p))
		return false;
	for (unsigned looks = 0; e && looks < BACKFILL_LOOKAHEAD_; looks++) {
		BH__Engine *engine[BH__GANG_MAX];
		if (e->ask.ask_id != p->reservation.ask_id &&
			bh__engines_pick_long(p->engines, p->prefixes, &e->ask, false, engine, now_us) == 1 &&
			bh__engine_get_free(engine[0]) >= e->ask.kv_bytes) {
			grant_entry_(p, e, engine, &e->ask.kv_bytes, 1, now_us);
			return true;
		}
		e = bh__queue_get_next(e);
	}
	return false;
}

/* Chooses engines for the first long ask and has them keep its memory free. */
static bool reserve_(BH__Pool *p, BH__QueueEntry *e, uint64_t now_us)
{
	BH__Engine *engine[BH__GANG_MAX];
	bool below_floor = bh__engines_count_dedicated(p->engines) < long_floor_(p);
	unsigned n = bh__engines_pick_long(p->engines, p->prefixes, &e->ask, below_floor, engine, now_us);
	unsigned busy = busy_with_long_(p);

	if (!n || (busy > 0 && busy >= long_cap_(p)))
		return false;
	p->reservation.ask_id = e->ask.ask_id;
	p->reservation.count = n;
	for (unsigned i = 0; i < n; i++) {
		uint64_t part = (e->ask.kv_bytes + n - 1) / n;
		p->reservation.endpoint_id[i] = engine[i]->spec.endpoint_id;
		p->reservation.kv_bytes[i] = part;
		engine[i]->kv_reserved_bytes += part;
	}
	engine[0]->dedicated = below_floor;
	return true;
}

static void unreserve_(BH__Pool *p)
{
	for (unsigned i = 0; i < p->reservation.count; i++) {
		BH__Engine *e = bh__engines_find(p->engines, p->reservation.endpoint_id[i]);
		if (!e)
			continue;
		e->kv_reserved_bytes -= MIN(e->kv_reserved_bytes, p->reservation.kv_bytes[i]);
		e->dedicated &= e->long_prefills > 0;
	}
	memset(&p->reservation, 0, sizeof p->reservation);
}

/* Returns true once the memory reserved on the first engine is really free. The others drain while it works:
 * nothing new is put into what the prompt needs there. Gives the reservation up if an engine is lost. */
static bool reservation_is_free_(BH__Pool *p)
{
	for (unsigned i = 0; i < p->reservation.count; i++) {
		const BH__Engine *e = bh__engines_find(p->engines, p->reservation.endpoint_id[i]);
		if (!e || !bh__engine_is_usable(e)) {
			unreserve_(p);
			return false;
		}
		if (i == 0 &&
			(e->kv_granted_bytes + e->kv_foreign_bytes + p->reservation.kv_bytes[0] > e->kv_capacity_bytes ||
			 e->streams >= e->spec.max_streams))
			return false;
	}
	return true;
}

static void grant_entry_(BH__Pool *p, BH__QueueEntry *e, BH__Engine *const engine[],
						 const uint64_t kv_bytes[], unsigned count, uint64_t now_us)
{
	BH__Grant g = {.grant_id = bh__hash_pair(p->boot_id, ++p->next_grant),
				   .ask_id = e->ask.ask_id,
				   .pool_id = p->pool_id,
				   .node_id = e->ask.node_id,
				   .boot_id = e->ask.boot_id,
				   .priority_level =
					   e->ask.priority_level * BH__SIZE_CLASSES + bh__size_class(e->ask.prompt_tokens),
				   .is_long = e->lane == BH__LANE_LONG,
				   .reports_progress = bh__size_class(e->ask.prompt_tokens) > 0,
				   .member_count = (uint8_t)count};
	uint32_t cached = 0;

	for (unsigned i = 0; i < count; i++) {
		g.member[i].endpoint_id = engine[i]->spec.endpoint_id;
		g.member[i].kv_bytes = kv_bytes[i];
	}
	split_prompt_(&g, e->ask.prompt_tokens);
	if (count == 1)
		cached = bh__prefix_index_get_cached(p->prefixes, &e->ask.prefix, engine[0]->spec.endpoint_id);
	bh__engine_charge(engine[0], bh__size_class(e->ask.prompt_tokens),
					  g.member[0].token_count - MIN(cached, g.member[0].token_count), now_us);
	bh__queue_charge(p->queue, e);
	bh__queue_remove(p->queue, e);
	bh__ledger_add(p->ledger, &g, true, now_us);
	p->counters.grants++;
	p->counters.gang_grants += count > 1;
	p->port->grant(p->port, &g);
}

/* Gives each member of a gang an equal run of the prompt. */
static void split_prompt_(BH__Grant *g, uint64_t prompt_tokens)
{
	uint64_t done = 0;

	for (unsigned i = 0; i < g->member_count; i++) {
		uint64_t end = prompt_tokens * (i + 1u) / g->member_count;
		g->member[i].first_token = done;
		g->member[i].token_count = end - done;
		done = end;
	}
}

/* Ends a grant. An engine that failed gets no work until its next good report. */
void bh__pool_process_release(BH__Pool *p, uint64_t grant_id, BH__ReleaseKind kind, uint64_t failed_endpoint,
							  uint64_t now_us)
{
	BH__LedgerEntry *entry = bh__ledger_find(p->ledger, grant_id);
	BH__Engine *failed = bh__engines_find(p->engines, failed_endpoint);

	if (failed && kind == BH__RELEASE_FAILED)
		failed->reachable = false;
	if (entry && p->short_blocked && entry->grant.member_count == 1) {
		BH__Engine *engine = bh__engines_find(p->engines, entry->grant.member[0].endpoint_id);
		bh__ledger_end(p->ledger, entry, now_us);
		pump_more_(p, now_us); /* long ones first */
		if (engine)
			pump_engine_(p, engine, now_us);
		return;
	}
	if (entry)
		bh__ledger_end(p->ledger, entry, now_us);
	pump_(p, now_us);
}

/* A member of a grant has done its prefill: its engine may take another prompt, memory permitting, and the
 * next member begins. */
void bh__pool_process_progress(BH__Pool *p, uint64_t grant_id, uint64_t now_us)
{
	BH__LedgerEntry *entry = bh__ledger_find(p->ledger, grant_id);

	if (!entry)
		return;
	bh__ledger_process_progress(p->ledger, entry, now_us);
	pump_(p, now_us);
}

/* A node says which grants it holds, whole or by their ids alone. */
void bh__pool_process_hold(BH__Pool *p, uint64_t node_id, uint64_t boot_id, bool full, const BH__Grant *grant,
						   uint32_t count, uint64_t now_us)
{
	bh__ledger_process_hold(p->ledger, node_id, boot_id, full, grant, count, now_us);
	pump_(p, now_us);
}

/* A node is gone: ends its grants and drops its asks. */
void bh__pool_process_node_gone(BH__Pool *p, uint64_t node_id, uint64_t now_us)
{
	bh__ledger_process_node_gone(p->ledger, node_id, now_us);
	for (int lane = 0; lane < BH__LANE_COUNT; lane++) {
		BH__QueueEntry *e = bh__queue_get_first(p->queue, (BH__Lane)lane);
		while (e) {
			BH__QueueEntry *next = bh__queue_get_next(e);
			if (e->ask.node_id == node_id)
				bh__pool_process_withdraw(p, e->ask.ask_id);
			e = next;
		}
	}
	pump_(p, now_us);
}

/* Takes an engine's load report. */
void bh__pool_process_report(BH__Pool *p, const BH__LoadReport *r, uint64_t now_us)
{
	BH__Engine *e = bh__engines_find(p->engines, r->endpoint_id);

	if (!e)
		return;
	e->reachable = r->reachable;
	if (!r->reachable)
		return;
	if (e->boot_id != r->boot_id) {
		bh__prefix_index_remove_endpoint(p->prefixes, r->endpoint_id);
		e->cache_next_sequence = 0;
		e->kv_foreign_bytes = 0; /* of its earlier life */
		e->boot_id = r->boot_id;
	}
	e->reported |= r->has_attempts; /* until the first list what others run there is unknown */
	e->kv_capacity_bytes = r->kv_total_bytes;
	e->kv_reported_bytes = r->kv_used_bytes;
	if (r->prefill_tokens_per_s)
		e->prefill_tokens_per_us = (e->prefill_tokens_per_us + (double)r->prefill_tokens_per_s / 1e6) / 2;
	if (r->token_us)
		e->token_us = (e->token_us + r->token_us) / 2;
	if (r->has_attempts)
		bh__ledger_process_report(p->ledger, e, r, now_us);
	take_cache_events_(p, e, r);
	pump_(p, now_us);
}

static void on_orphan_(void *ctx, uint64_t endpoint_id, const BH__ReportedAttempt *attempt)
{
	BH__Pool *p = ctx;

	p->counters.orphans++;
	p->port->orphan(p->port, endpoint_id, attempt->attempt_id, attempt->owner_node, attempt->owner_boot);
}

/* Follows an engine's cache events; after a gap all that was known of it is forgotten. */
static void take_cache_events_(BH__Pool *p, BH__Engine *e, const BH__LoadReport *r)
{
	uint64_t sequence = r->cache_first_sequence;

	if (!r->cache_event_count)
		return;
	if (sequence > e->cache_next_sequence && e->cache_next_sequence) {
		p->counters.cache_gaps++;
		bh__prefix_index_remove_endpoint(p->prefixes, r->endpoint_id);
	}
	for (uint32_t i = 0; i < r->cache_event_count; i++, sequence++) {
		const BH__CacheEvent *ev = &r->cache_event[i];
		if (sequence < e->cache_next_sequence)
			continue; /* seen before */
		if (ev->kind == BH__CACHE_ADDED)
			bh__prefix_index_add(p->prefixes, ev->hash, r->endpoint_id);
		else
			bh__prefix_index_remove(p->prefixes, ev->hash, r->endpoint_id);
	}
	e->cache_next_sequence = MAX(sequence, e->cache_next_sequence);
}

/* Refuses asks that can no longer finish in time and grants what time has made possible. */
void bh__pool_process_tick(BH__Pool *p, uint64_t now_us)
{
	BH__QueueEntry *e;

	while ((e = bh__queue_get_expired(p->queue, now_us))) {
		BH__Ask ask = e->ask;
		uint64_t wait_us = wait_us_(p, e->lane, now_us);
		bh__pool_process_withdraw(p, ask.ask_id);
		refuse_(p, &ask, BH__REASON_OVERLOAD, wait_us);
	}
	if (!has_engines_(p, now_us))
		bh__pool_refuse_all(p, BH__REASON_NO_ENDPOINT);
	bh__ledger_process_tick(p->ledger, now_us);
	pump_(p, now_us);
}

/* Refuses all that waits: this node gives the pool up. */
void bh__pool_refuse_all(BH__Pool *p, BH__Reason reason)
{
	for (int lane = 0; lane < BH__LANE_COUNT; lane++) {
		BH__QueueEntry *e;
		while ((e = bh__queue_get_first(p->queue, (BH__Lane)lane))) {
			BH__Ask ask = e->ask;
			bh__pool_process_withdraw(p, ask.ask_id);
			refuse_(p, &ask, reason, 0);
		}
	}
}

/* Fills in a digest for the nodes that choose among pools. */
void bh__pool_get_digest(BH__Pool *p, BH__PoolDigest *d, uint64_t now_us)
{
	uint64_t least_us = UINT64_MAX;

	memset(d, 0, sizeof *d);
	d->pool_id = p->pool_id;
	d->sequence = now_us;
	d->queued = bh__pool_get_queued(p);
	for (unsigned i = 0; i < bh__engines_get_count(p->engines); i++) {
		const BH__Engine *e = bh__engines_get(p->engines, i);
		if (!bh__engine_is_usable(e))
			continue;
		d->endpoints++;
		d->kv_total_bytes += e->kv_capacity_bytes;
		d->kv_granted_bytes += e->kv_granted_bytes + e->kv_foreign_bytes;
		least_us = MIN(least_us, bh__engine_get_backlog_us(e, 1, now_us) + e->streams * UINT64_C(500));
	}
	d->short_wait_us = wait_us_(p, BH__LANE_SHORT, now_us) + (d->endpoints ? least_us : 0);
	d->long_wait_us = wait_us_(p, BH__LANE_LONG, now_us);
}

/* Fills in what operators see of an endpoint. Returns false if the pool does not know it. */
bool bh__pool_get_endpoint_state(const BH__Pool *p, uint64_t endpoint_id, BH__PoolEndpointState *state)
{
	const BH__Engine *e = bh__engines_find(p->engines, endpoint_id);

	if (!e)
		return false;
	state->spec = e->spec;
	state->kv_granted_bytes = e->kv_granted_bytes;
	state->kv_reserved_bytes = e->kv_reserved_bytes;
	state->kv_reported_bytes = e->kv_reported_bytes;
	state->kv_foreign_bytes = e->kv_foreign_bytes;
	state->streams = e->streams;
	state->long_prefills = e->long_prefills;
	state->reachable = e->reachable;
	return true;
}

/* Returns the sequence number of the engine's next cache event that the pool has not seen. */
uint64_t bh__pool_get_cache_sequence(const BH__Pool *p, uint64_t endpoint_id)
{
	const BH__Engine *e = bh__engines_find(p->engines, endpoint_id);
	return e ? e->cache_next_sequence : 0;
}

uint32_t bh__pool_get_queued(const BH__Pool *p)
{
	return bh__queue_get_count(p->queue, BH__LANE_SHORT) + bh__queue_get_count(p->queue, BH__LANE_LONG);
}

const BH__PoolCounters *bh__pool_get_counters(const BH__Pool *p)
{
	return &p->counters;
}
