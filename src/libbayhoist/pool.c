/* SPDX-License-Identifier: BSD-3-Clause */
/* The pool scheduler. Asks wait in weighted fair order in a short and a long lane. A short ask is granted as
 * soon as an engine has the memory and little backlog. The first long ask reserves memory on all the engines
 * that it needs at once. It is granted when its first engine has the memory free; the other engines drain
 * while the first one prefills. Only one ask holds a reservation at a time, and it is granted all engines of
 * the reservation, so that long asks cannot deadlock. Short asks cannot starve it, because they are not
 * granted reserved memory. */
#include "bayhoist/pool.h"

#include <string.h>
#include "forecast.h"
#include "ledger.h"

#define SHORT_LOOKAHEAD_ 4 /* short asks tried, from the head of the lane, when the first ones do not fit */
#define BACKFILL_LOOKAHEAD_ 8 /* long asks tried for a backfill, from the head of the lane */
/* Time after the arrival of a long ask without engines in which later long asks may be granted first. */
#define BACKFILL_MAX_WAIT_US_ (20 * BH__SECOND_US)
#define USABLE_CHECK_INTERVAL_US_ (100 * BH__MS_US) /* between two searches for a usable engine */
/* Time without a usable engine before asks are refused. A new scheduler has received the reports of its
 * engines by then. */
#define NO_ENGINE_GRACE_US_ BH__SECOND_US
#define MIN_RETRY_AFTER_MS_ 200
#define MAX_RETRY_AFTER_MS_ 60000

/* The engine memory that is kept free for one long ask. */
typedef struct {
	uint64_t ask_id;                    /* 0: none */
	unsigned count;                     /* number of engines */
	uint64_t endpoint_id[BH__GANG_MAX]; /* in the order in which they prefill */
	uint64_t kv_bytes[BH__GANG_MAX];    /* reserved on each */
} Reservation_;

struct BH__Pool {
	BH__PoolPort *port;
	uint64_t pool_id;
	uint64_t boot_id;    /* hash of the node's boot id and the pool's id */
	uint64_t next_grant; /* number of grants so far, from which the grant ids are made */
	BH__Policy policy;
	BH__Engines *engines;
	BH__PrefixIndex *prefixes;
	BH__Queue *queue;
	BH__Ledger *ledger;
	BH__Forecast forecast;
	Reservation_ reservation;
	BH__PoolCounters counters;
	uint64_t last_usable_us; /* last time an engine was seen usable, or the first check; 0: no check yet */
	bool short_blocked;      /* no engine can take the first short asks, and nothing has changed since */
	bool is_scheduling;      /* guards against nested scheduling from a port's callback */
};

static BH__Lane get_lane_(const BH__Pool *p, const BH__Ask *ask);
static unsigned get_long_cap_(const BH__Pool *p);
static uint64_t get_wait_us_(BH__Pool *p, BH__Lane lane, uint64_t now_us);
static void on_orphan_(void *ctx, uint64_t endpoint_id, const BH__ReportedAttempt *attempt);
static unsigned get_min_dedicated_(const BH__Pool *p);
static unsigned count_long_prefilling_(const BH__Pool *p);
static void refuse_(BH__Pool *p, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_us);
static void schedule_all_(BH__Pool *p, uint64_t now_us);
static void schedule_unblocked_(BH__Pool *p, uint64_t now_us);
static bool schedule_short_(BH__Pool *p, uint64_t now_us);
static void schedule_short_on_engine_(BH__Pool *p, BH__Engine *engine, uint64_t now_us);
static bool schedule_long_(BH__Pool *p, uint64_t now_us);
static bool has_usable_engine_(BH__Pool *p, uint64_t now_us);
static bool has_adapter_(const BH__Pool *p, const BH__Ask *ask);
static bool is_too_long_(const BH__Pool *p, const BH__Ask *ask);
static bool reserve_(BH__Pool *p, BH__QueueEntry *e, uint64_t now_us);
static bool backfill_(BH__Pool *p, uint64_t now_us);
static void unreserve_(BH__Pool *p);
static bool is_reservation_ready_(BH__Pool *p);
static void grant_entry_(BH__Pool *p, BH__QueueEntry *e, BH__Engine *const engine[],
						 const uint64_t kv_bytes[], unsigned count, uint64_t now_us);
static void split_prompt_(BH__Grant *g, uint64_t prompt_tokens);
static void apply_cache_events_(BH__Pool *p, BH__Engine *e, const BH__LoadReport *r);

/* Returns the id of the pool of a data hall and a model. */
uint64_t bh__pool_get_id(const char *hall, const char *model)
{
	return bh__hash_pair(bh__hash_name(hall), bh__hash_name(model));
}

/* Returns a pool without engines, to be freed with bh__pool_delete(). Decisions go to `port`, which must
 * outlive the pool. `boot_id` makes the ids of its grants unique; `seed` seeds the random choice of candidate
 * engines. */
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

/* Frees the pool; NULL is allowed. Waiting asks are dropped without a refusal. */
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

/* Replaces the policy, which applies from the next decision on. */
void bh__pool_set_policy(BH__Pool *p, const BH__Policy *policy)
{
	p->policy = *policy;
}

/* Adds an endpoint or replaces its description. Grants on it stay in the ledger. If it is leaving, the
 * current reservation is cancelled. */
void bh__pool_set_endpoint(BH__Pool *p, const BH__PoolEndpoint *endpoint, uint64_t now_us)
{
	BH__Engine *e = bh__engines_add(p->engines, endpoint->endpoint_id);

	e->spec = *endpoint;
	if (endpoint->kv_bytes)
		e->kv_capacity_bytes = endpoint->kv_bytes;
	if (endpoint->leaving)
		unreserve_(p);
	schedule_all_(p, now_us);
}

/* Removes an endpoint and its cached prefixes, and cancels the current reservation. */
void bh__pool_remove_endpoint(BH__Pool *p, uint64_t endpoint_id)
{
	unreserve_(p);
	bh__prefix_index_remove_endpoint(p->prefixes, endpoint_id);
	bh__engines_remove(p->engines, endpoint_id);
}

/* Returns the lane of an ask, by the length of its prompt. */
static BH__Lane get_lane_(const BH__Pool *p, const BH__Ask *ask)
{
	return ask->prompt_tokens > p->policy.long_tokens ? BH__LANE_LONG : BH__LANE_SHORT;
}

/* Returns the maximum number of engines that may prefill long prompts at the same time. */
static unsigned get_long_cap_(const BH__Pool *p)
{
	return bh__forecast_get_long_cap(&p->forecast, p->engines, &p->policy);
}

/* Returns the predicted wait of a new ask in a lane. */
static uint64_t get_wait_us_(BH__Pool *p, BH__Lane lane, uint64_t now_us)
{
	return bh__forecast_get_wait_us(&p->forecast, p->engines, &p->policy, p->queue, lane, now_us);
}

/* Returns the number of engines that may be dedicated to long prompts while these prefill: the policy's
 * minimum share for long prompts, which holds under any load of short prompts. */
static unsigned get_min_dedicated_(const BH__Pool *p)
{
	return (unsigned)(p->policy.min_long_share * bh__engines_get_count(p->engines) + 0.5);
}

/* Returns the number of engines that run a long prefill. */
static unsigned count_long_prefilling_(const BH__Pool *p)
{
	unsigned busy = 0;
	for (unsigned i = 0; i < bh__engines_get_count(p->engines); i++)
		busy += bh__engines_get(p->engines, i)->long_prefills > 0;
	return busy;
}

/* Refuses an ask, with a retry time between MIN_RETRY_AFTER_MS_ and MAX_RETRY_AFTER_MS_. */
static void refuse_(BH__Pool *p, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_us)
{
	p->counters.refusals++;
	p->port->refuse(p->port, ask, reason,
					CLAMP(retry_after_us / BH__MS_US, MIN_RETRY_AFTER_MS_, MAX_RETRY_AFTER_MS_));
}

/* Returns false if no engine has been usable for NO_ENGINE_GRACE_US_. The engines are searched only if the
 * last usable one was seen at least USABLE_CHECK_INTERVAL_US_ ago. */
static bool has_usable_engine_(BH__Pool *p, uint64_t now_us)
{
	if (!p->last_usable_us)
		p->last_usable_us = now_us;
	if (now_us < p->last_usable_us + USABLE_CHECK_INTERVAL_US_)
		return true;
	for (unsigned i = 0; i < bh__engines_get_count(p->engines); i++) {
		if (bh__engine_is_usable(bh__engines_get(p->engines, i))) {
			p->last_usable_us = now_us;
			return true;
		}
	}
	return now_us < p->last_usable_us + NO_ENGINE_GRACE_US_;
}

/* Returns false if the ask needs an adapter that no usable engine has loaded. */
static bool has_adapter_(const BH__Pool *p, const BH__Ask *ask)
{
	for (unsigned i = 0; i < bh__engines_get_count(p->engines) && ask->adapter_id; i++)
		if (bh__engine_can_serve(bh__engines_get(p->engines, i), ask))
			return true;
	return ask->adapter_id == 0;
}

/* Returns true if the ask is long and its memory exceeds what a gang of the pool's engines can hold. Returns
 * false if no usable engine serves long prompts, since the pool's capacity is then unknown. */
static bool is_too_long_(const BH__Pool *p, const BH__Ask *ask)
{
	return get_lane_(p, ask) == BH__LANE_LONG && bh__engines_get_gang_size(p->engines, 0) &&
		   !bh__engines_get_gang_size(p->engines, ask->kv_bytes);
}

/* Queues an ask, to be granted now or later, or refuses it. An ask is refused at once if no engine can serve
 * it, if its prompt is too long for the pool, if the queue is full, or if its predicted end is past its
 * deadline. An ask that waits already is ignored. */
void bh__pool_process_ask(BH__Pool *p, const BH__Ask *ask, uint64_t now_us)
{
	BH__Lane lane = get_lane_(p, ask);
	uint64_t run_us = bh__forecast_get_run_us(&p->forecast, p->engines, ask, now_us);
	uint64_t wait_us = get_wait_us_(p, lane, now_us);
	uint32_t queued = bh__pool_get_queued(p);
	BH__QueueEntry *e = NULL;

	if (bh__queue_find(p->queue, ask->ask_id))
		return; /* duplicate message */
	bh__forecast_note_arrival(&p->forecast, lane, ask->prompt_tokens + ask->max_tokens, now_us);
	if (!has_usable_engine_(p, now_us) || !has_adapter_(p, ask))
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
	if (e && e == bh__queue_get_first(p->queue, BH__LANE_SHORT)) /* an engine may have the memory for it */
		p->short_blocked = false;
	schedule_unblocked_(p, now_us);
}

/* Removes an ask from the queue without a refusal. An ask that is already granted is ended by its release. */
void bh__pool_process_withdraw(BH__Pool *p, uint64_t ask_id)
{
	BH__QueueEntry *e = bh__queue_find(p->queue, ask_id);

	if (p->reservation.ask_id == ask_id)
		unreserve_(p);
	if (e)
		bh__queue_remove(p->queue, e);
}

/* Grants all asks that can be granted, after a change that may have made an engine available. */
static void schedule_all_(BH__Pool *p, uint64_t now_us)
{
	p->short_blocked = false;
	schedule_unblocked_(p, now_us);
}

/* Grants all asks that can be granted, long ones first. Short asks are skipped while no engine can take the
 * first of them. */
static void schedule_unblocked_(BH__Pool *p, uint64_t now_us)
{
	if (p->is_scheduling) /* the port's callbacks may call the pool */
		return;
	p->is_scheduling = true;
	while (schedule_long_(p, now_us))
		;
	while (!p->short_blocked && schedule_short_(p, now_us))
		;
	p->is_scheduling = false;
}

/* Grants one of the first SHORT_LOOKAHEAD_ short asks. Returns false, and marks the lane as blocked unless it
 * is empty, if no engine can take any of them. */
static bool schedule_short_(BH__Pool *p, uint64_t now_us)
{
	BH__QueueEntry *e = bh__queue_get_first(p->queue, BH__LANE_SHORT);

	for (unsigned tried = 0; e && tried < SHORT_LOOKAHEAD_; tried++) {
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

/* Grants short asks on one engine whose memory has been released while the short lane was blocked. Other
 * engines whose backlog has shrunk in the meantime are used at the next tick. */
static void schedule_short_on_engine_(BH__Pool *p, BH__Engine *engine, uint64_t now_us)
{
	BH__QueueEntry *e = bh__queue_get_first(p->queue, BH__LANE_SHORT);
	unsigned tried = 0;

	if (p->is_scheduling)
		return;
	p->is_scheduling = true;
	while (e && tried < SHORT_LOOKAHEAD_) {
		BH__QueueEntry *next = bh__queue_get_next(e);
		if (bh__engine_can_take_short(engine, &e->ask, now_us))
			grant_entry_(p, e, &engine, &e->ask.kv_bytes, 1, now_us);
		else
			tried++;
		e = next;
	}
	p->is_scheduling = false;
}

/* Makes progress in the long lane: reserves engines for its first ask, and grants that ask once its first
 * engine has the memory free. Until then, later asks may be granted by backfill. Returns true if an ask was
 * granted or refused, so that another call may do more. */
static bool schedule_long_(BH__Pool *p, uint64_t now_us)
{
	BH__QueueEntry *e;
	BH__Engine *engine[BH__GANG_MAX];
	Reservation_ r;
	bool dedicated;

	if (!p->reservation.ask_id) {
		e = bh__queue_get_first(p->queue, BH__LANE_LONG);
		if (!e)
			return false;
		if (is_too_long_(p, &e->ask)) { /* engines have been lost since it arrived */
			BH__Ask ask = e->ask;
			bh__queue_remove(p->queue, e);
			refuse_(p, &ask, BH__REASON_TOO_LONG, 0);
			return true;
		}
		if (!reserve_(p, e, now_us)) /* too few engines can take it, or the cap is reached */
			return now_us < e->arrived_us + BACKFILL_MAX_WAIT_US_ && backfill_(p, now_us);
	}
	if (!is_reservation_ready_(p))
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

/* While the first long ask waits, grants one of the first BACKFILL_LOOKAHEAD_ long asks that fits on a single
 * engine into memory that is neither in use nor reserved. Returns false if there is none. */
static bool backfill_(BH__Pool *p, uint64_t now_us)
{
	BH__QueueEntry *e = bh__queue_get_first(p->queue, BH__LANE_LONG);

	if (count_long_prefilling_(p) >= get_long_cap_(p))
		return false;
	for (unsigned tried = 0; e && tried < BACKFILL_LOOKAHEAD_; tried++) {
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

/* Chooses the engines for the first long ask and reserves an equal share of its memory on each. While fewer
 * engines than the minimum are dedicated to long prompts, the first engine becomes dedicated and may have any
 * backlog. Returns false if too few engines can take the ask or if as many engines as the cap allows prefill
 * long prompts. */
static bool reserve_(BH__Pool *p, BH__QueueEntry *e, uint64_t now_us)
{
	BH__Engine *engine[BH__GANG_MAX];
	bool below_min_dedicated = bh__engines_count_dedicated(p->engines) < get_min_dedicated_(p);
	unsigned n = bh__engines_pick_long(p->engines, p->prefixes, &e->ask, below_min_dedicated, engine, now_us);
	unsigned busy = count_long_prefilling_(p);

	if (!n || (busy > 0 && busy >= get_long_cap_(p)))
		return false;
	p->reservation.ask_id = e->ask.ask_id;
	p->reservation.count = n;
	for (unsigned i = 0; i < n; i++) {
		uint64_t member_bytes = (e->ask.kv_bytes + n - 1) / n;
		p->reservation.endpoint_id[i] = engine[i]->spec.endpoint_id;
		p->reservation.kv_bytes[i] = member_bytes;
		engine[i]->kv_reserved_bytes += member_bytes;
	}
	engine[0]->dedicated = below_min_dedicated;
	return true;
}

/* Cancels the reservation, if there is one. The ask stays in the queue. */
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

/* Returns true once the memory reserved on the first engine is free and it has a free stream. The other
 * engines drain while the first one prefills, since no new work is granted their reserved memory. Cancels the
 * reservation and returns false if one of its engines is no longer usable. */
static bool is_reservation_ready_(BH__Pool *p)
{
	for (unsigned i = 0; i < p->reservation.count; i++) {
		const BH__Engine *e = bh__engines_find(p->engines, p->reservation.endpoint_id[i]);
		if (!e || !bh__engine_is_usable(e)) {
			unreserve_(p);
			return false;
		}
		if (i == 0 && (e->kv_granted_bytes + e->kv_unaccounted_bytes + p->reservation.kv_bytes[0] >
						   e->kv_capacity_bytes ||
					   e->streams >= e->spec.max_streams))
			return false;
	}
	return true;
}

/* Grants a waiting ask `kv_bytes[i]` of memory on each of `count` engines and removes it from the queue. The
 * first engine's backlog grows by the prefill of its part of the prompt, less the cached prefix for a grant
 * on a single engine. */
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

/* Divides the prompt into consecutive token ranges of equal length, one for each member of the grant. */
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

/* Ends a grant. If the release reports a failure, the engine `failed_endpoint` gets no work until a report
 * shows it as reachable again. An unknown grant or endpoint is ignored. */
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
		schedule_unblocked_(p, now_us); /* long asks before short ones */
		if (engine)
			schedule_short_on_engine_(p, engine, now_us);
		return;
	}
	if (entry)
		bh__ledger_end(p->ledger, entry, now_us);
	schedule_all_(p, now_us);
}

/* Handles the end of a member's prefill: its engine may take another prompt if it has the memory, and the
 * next member's prefill begins. An unknown grant is ignored. */
void bh__pool_process_progress(BH__Pool *p, uint64_t grant_id, uint64_t now_us)
{
	BH__LedgerEntry *entry = bh__ledger_find(p->ledger, grant_id);

	if (!entry)
		return;
	bh__ledger_process_progress(p->ledger, entry, now_us);
	schedule_all_(p, now_us);
}

/* Handles a node's list of the grants that it holds. `full` says that the grants are complete, so that
 * unknown ones enter the ledger; otherwise only their ids are set. The node's grants from another boot end at
 * once, and those that the list lacks end after a grace period. */
void bh__pool_process_hold(BH__Pool *p, uint64_t node_id, uint64_t boot_id, bool full, const BH__Grant *grant,
						   uint32_t count, uint64_t now_us)
{
	bh__ledger_process_hold(p->ledger, node_id, boot_id, full, grant, count, now_us);
	schedule_all_(p, now_us);
}

/* Handles the loss of a node: ends its grants and removes its asks without a refusal. */
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
	schedule_all_(p, now_us);
}

/* Handles an engine's load report: updates its rates and memory, compares its attempts with the ledger, and
 * applies its cache events. If the engine was unreachable, it is only marked as such. A new incarnation
 * starts with an empty cache. */
void bh__pool_process_report(BH__Pool *p, const BH__LoadReport *report, uint64_t now_us)
{
	BH__Engine *e = bh__engines_find(p->engines, report->endpoint_id);

	if (!e)
		return;
	e->reachable = report->reachable;
	if (!report->reachable)
		return;
	if (e->boot_id != report->boot_id) {
		bh__prefix_index_remove_endpoint(p->prefixes, report->endpoint_id);
		e->cache_next_sequence = 0;
		e->kv_unaccounted_bytes = 0; /* held by the previous incarnation */
		e->boot_id = report->boot_id;
	}
	e->reported |= report->has_attempts; /* before the first list, the memory in use is unknown */
	e->kv_capacity_bytes = report->kv_total_bytes;
	e->kv_reported_bytes = report->kv_used_bytes;
	if (report->prefill_tokens_per_s)
		e->prefill_tokens_per_us =
			(e->prefill_tokens_per_us + (double)report->prefill_tokens_per_s / 1e6) / 2;
	if (report->token_us)
		e->token_us = (e->token_us + report->token_us) / 2;
	if (report->has_attempts)
		bh__ledger_process_report(p->ledger, e, report, now_us);
	apply_cache_events_(p, e, report);
	schedule_all_(p, now_us);
}

/* Passes an orphan found by the ledger to the port. */
static void on_orphan_(void *ctx, uint64_t endpoint_id, const BH__ReportedAttempt *attempt)
{
	BH__Pool *p = ctx;

	p->counters.orphans++;
	p->port->orphan(p->port, endpoint_id, attempt->attempt_id, attempt->owner_node, attempt->owner_boot);
}

/* Applies an engine's cache events to the prefix index. After a gap in their sequence numbers, first removes
 * all prefixes of the engine, since evictions may have been lost. Events applied before are skipped. */
static void apply_cache_events_(BH__Pool *p, BH__Engine *e, const BH__LoadReport *r)
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
			continue; /* already applied */
		if (ev->kind == BH__CACHE_ADDED)
			bh__prefix_index_add(p->prefixes, ev->hash, r->endpoint_id);
		else
			bh__prefix_index_remove(p->prefixes, ev->hash, r->endpoint_id);
	}
	e->cache_next_sequence = MAX(sequence, e->cache_next_sequence);
}

/* Refuses the asks that can no longer finish in time, and all asks if no engine is usable. Then grants the
 * asks that have become possible as the engines' backlogs shrink. */
void bh__pool_process_tick(BH__Pool *p, uint64_t now_us)
{
	BH__QueueEntry *e;

	while ((e = bh__queue_get_expired(p->queue, now_us))) {
		BH__Ask ask = e->ask;
		uint64_t wait_us = get_wait_us_(p, e->lane, now_us);
		bh__pool_process_withdraw(p, ask.ask_id);
		refuse_(p, &ask, BH__REASON_OVERLOAD, wait_us);
	}
	if (!has_usable_engine_(p, now_us))
		bh__pool_refuse_all(p, BH__REASON_NO_ENDPOINT);
	bh__ledger_process_tick(p->ledger, now_us);
	schedule_all_(p, now_us);
}

/* Refuses all waiting asks, with the minimum retry time; used when this node stops scheduling the pool. */
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

/* Fills in the pool's digest, from which nodes choose among pools. The short wait includes the smallest sum
 * of backlog and stream delay among the usable engines. */
void bh__pool_get_digest(BH__Pool *p, BH__PoolDigest *digest, uint64_t now_us)
{
	uint64_t min_delay_us = UINT64_MAX;

	memset(digest, 0, sizeof *digest);
	digest->pool_id = p->pool_id;
	digest->sequence = now_us;
	digest->queued = bh__pool_get_queued(p);
	for (unsigned i = 0; i < bh__engines_get_count(p->engines); i++) {
		const BH__Engine *e = bh__engines_get(p->engines, i);
		if (!bh__engine_is_usable(e))
			continue;
		digest->endpoints++;
		digest->kv_total_bytes += e->kv_capacity_bytes;
		digest->kv_granted_bytes += e->kv_granted_bytes + e->kv_unaccounted_bytes;
		min_delay_us =
			MIN(min_delay_us, bh__engine_get_backlog_us(e, 1, now_us) + e->streams * UINT64_C(500));
	}
	digest->short_wait_us = get_wait_us_(p, BH__LANE_SHORT, now_us) + (digest->endpoints ? min_delay_us : 0);
	digest->long_wait_us = get_wait_us_(p, BH__LANE_LONG, now_us);
}

/* Fills in the state of an endpoint for operators. Returns false if the endpoint is not in the pool. */
bool bh__pool_get_endpoint_state(const BH__Pool *p, uint64_t endpoint_id, BH__PoolEndpointState *state)
{
	const BH__Engine *e = bh__engines_find(p->engines, endpoint_id);

	if (!e)
		return false;
	state->spec = e->spec;
	state->kv_granted_bytes = e->kv_granted_bytes;
	state->kv_reserved_bytes = e->kv_reserved_bytes;
	state->kv_reported_bytes = e->kv_reported_bytes;
	state->kv_unaccounted_bytes = e->kv_unaccounted_bytes;
	state->streams = e->streams;
	state->long_prefills = e->long_prefills;
	state->reachable = e->reachable;
	return true;
}

/* Returns the sequence number of the engine's next cache event to apply; 0 if none has been applied or the
 * endpoint is not in the pool. */
uint64_t bh__pool_get_cache_sequence(const BH__Pool *p, uint64_t endpoint_id)
{
	const BH__Engine *e = bh__engines_find(p->engines, endpoint_id);
	return e ? e->cache_next_sequence : 0;
}

/* Returns the number of asks that wait in both lanes. */
uint32_t bh__pool_get_queued(const BH__Pool *p)
{
	return bh__queue_get_count(p->queue, BH__LANE_SHORT) + bh__queue_get_count(p->queue, BH__LANE_LONG);
}

/* Returns the counters, which stay valid as long as the pool. */
const BH__PoolCounters *bh__pool_get_counters(const BH__Pool *p)
{
	return &p->counters;
}
