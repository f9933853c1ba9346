/* SPDX-License-Identifier: BSD-3-Clause */
/* The queue of asks waiting for engines: the order in which they are placed, when an ask may delay running
 * streams, and when it is refused. The choice of engines is in placement.c. */
#include <string.h>
#include "planner_internal.h"

/* Share of the first-event target by which a prompt should be prefilled, as long as only other requests would
 * delay it. The rest is a margin for prediction errors. */
#define DUE_SHARE_ 0.8
#define PLACEMENTS_PER_ROUND_ 12 /* waiting asks tried in one round */
#define RETRY_AFTER_MAX_MS_ 2000

static BH__WaitingAsk *find_waiting_(const BH__Planner *p, uint64_t ask_id);
static void enqueue_(BH__Planner *p, const BH__Ask *ask, bool has_returned, uint64_t now_us);
static bool try_place_(BH__Planner *p, const BH__Ask *ask, bool late, uint64_t arrived_us, uint64_t now_us);
static bool refuse_if_hopeless_(BH__Planner *p, const BH__Ask *ask, uint64_t waited_us, uint64_t now_us);
static bool has_engine_(const BH__Planner *p, const BH__Ask *ask);
static uint64_t rate_limit_wait_us_(const BH__Planner *p, const BH__Ask *ask, uint64_t now_us);
static void place_some_(BH__Planner *p, bool late, bool over_share, uint64_t now_us);
static uint64_t soonest_free_us_(const BH__Planner *p);
static void refuse_(BH__Planner *p, const BH__Ask *ask, BH__Reason reason, uint64_t now_us);

/* Returns the waiting ask with this id, or NULL if there is none. */
static BH__WaitingAsk *find_waiting_(const BH__Planner *p, uint64_t ask_id)
{
	for (guint i = 0; i < p->waiting->len; i++) {
		BH__WaitingAsk *w = g_ptr_array_index(p->waiting, i);
		if (w->ask.ask_id == ask_id)
			return w;
	}
	return NULL;
}

/* Processes an ask: grants, queues or refuses it. For a repeated ask the port is notified again of the
 * existing grant or of the queued state. */
void bh__planner_process_ask(BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	BH__PlacedRequest *placed = g_hash_table_lookup(p->by_ask, &ask->ask_id);
	BH__WaitingAsk *waiting = find_waiting_(p, ask->ask_id);
	bool has_returned;
	bool over_share;

	if (placed) {
		p->port->grant(p->port, &placed->grant);
		return;
	}
	if (waiting) { /* the set of engines that requested a backoff may have changed */
		waiting->ask.backoff_count = ask->backoff_count;
		memcpy(waiting->ask.backoff, ask->backoff, sizeof ask->backoff);
		p->port->queued(p->port, ask);
		return;
	}
	if (ask->first_event_us > 1)
		bh__long_work_note(&p->long_work, &p->model, ask, now_us);
	has_returned = bh__planner_books(p, ask) && bh__booking_table_process_return(p->bookings, ask, now_us);
	over_share = bh__planner_is_over_share(p, ask, now_us);
	if (!(over_share && (bh__planner_is_crowded(p) || bh__planner_is_contended(p, now_us))) &&
		try_place_(p, ask, false, now_us, now_us))
		return;
	if (!over_share && bh__placement_is_tight(ask->event_gap_us))
		p->contended_us = now_us;
	if (bh__planner_account_is_full(p, ask, now_us)) {
		bh__planner_refuse_account(p, ask, now_us);
		return;
	}
	enqueue_(p, ask, has_returned, now_us);
	p->counters.queued++;
	p->port->queued(p->port, ask);
	if (bh__planner_books(p, ask))
		bh__planner_book(p, now_us);
}

/* Inserts an ask into the queue. */
static void enqueue_(BH__Planner *p, const BH__Ask *ask, bool has_returned, uint64_t now_us)
{
	BH__WaitingAsk *w = g_new0(BH__WaitingAsk, 1);
	guint at = 0;

	w->ask = *ask;
	w->arrived_us = now_us;
	w->has_returned = has_returned;
	while (at < p->waiting->len &&
		   !bh__waiting_ask_comes_before(w, g_ptr_array_index(p->waiting, at), &p->model))
		at++;
	g_ptr_array_insert(p->waiting, (gint)at, w);
}

/* Removes an ask from the queue, if it is there. */
void bh__planner_process_withdraw(BH__Planner *p, uint64_t ask_id)
{
	BH__WaitingAsk *w = find_waiting_(p, ask_id);

	if (w)
		g_ptr_array_remove(p->waiting, w);
	bh__booking_table_remove(p->bookings, ask_id);
}

/* Grants or refuses an ask, or returns false if it has to wait. `late` says that the first event can no
 * longer be in time. */
static bool try_place_(BH__Planner *p, const BH__Ask *ask, bool late, uint64_t arrived_us, uint64_t now_us)
{
	BH__Placement placement;
	uint64_t waited_us = now_us - arrived_us;
	uint64_t target_us = bh__start_rules_first_event_target_us(ask);

	bh__planner_update_division(p, now_us);
	if (waited_us < ask->deadline_us && bh__start_rules_find(&p->model, p->engines, &p->long_work, ask, late,
															 waited_us, now_us, &placement)) {
		bh__account_shares_note_work(p->shares, ask->account_id, ask->weight,
									 bh__start_rules_work_ms(&p->model, ask), now_us);
		bh__booking_table_process_start(p->bookings, ask->ask_id, p->port, now_us);
		p->counters.late += placement.prefill_end_us > arrived_us + target_us;
		bh__planner_grant(p, ask, &placement, arrived_us + (uint64_t)((double)target_us * DUE_SHARE_),
						  arrived_us + target_us, now_us);
		return true;
	}
	return refuse_if_hopeless_(p, ask, waited_us, now_us);
}

/* Refuses an ask that has waited for `waited_us` and finds no place any more. Returns false if it may wait
 * on.
 */
static bool refuse_if_hopeless_(BH__Planner *p, const BH__Ask *ask, uint64_t waited_us, uint64_t now_us)
{
	if (waited_us >= ask->deadline_us)
		refuse_(p, ask, BH__REASON_DEADLINE, now_us);
	else if (!has_engine_(p, ask))
		refuse_(p, ask, BH__REASON_NO_ENDPOINT, now_us);
	else if (waited_us +
				 MAX(rate_limit_wait_us_(p, ask, now_us), bh__planner_get_ejection_wait_us(p, ask, now_us)) >=
			 bh__start_rules_max_wait_us(ask))
		refuse_(p, ask, BH__REASON_OVERLOAD, now_us);
	else
		return false;
	return true;
}

/* Returns true if there is an engine that is not leaving and has not requested a backoff from the asking
 * node. */
static bool has_engine_(const BH__Planner *p, const BH__Ask *ask)
{
	for (guint i = 0; i < p->engines->len; i++) {
		const BH__IterationEngine *e = g_ptr_array_index(p->engines, i);
		if (!e->leaving && !bh__ask_backs_off_from(ask, e->endpoint_id))
			return true;
	}
	return false;
}

/* Returns how long an ask has to wait if all engines are rate-limited, including the wait for the asks ahead
 * of it in the queue; 0 if any engine is not rate-limited. */
static uint64_t rate_limit_wait_us_(const BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	double ahead = 1;
	double per_s = 0;

	for (guint i = 0; i < p->engines->len; i++) {
		const BH__IterationEngine *e = g_ptr_array_index(p->engines, i);
		if (e->leaving)
			continue;
		if (!bh__endpoint_rate_is_limited(&e->rate, now_us))
			return 0;
		per_s += e->rate.requests.rate_per_s;
		ahead -= bh__bucket_get_level(&e->rate.requests, now_us);
	}
	for (guint i = 0; i < p->waiting->len; i++) {
		const BH__WaitingAsk *w = g_ptr_array_index(p->waiting, i);
		if (w->ask.ask_id == ask->ask_id || w->ask.prompt_tokens > ask->prompt_tokens)
			break;
		ahead++;
	}
	if (ahead <= 0 || per_s <= 0)
		return 0;
	return (uint64_t)(MIN(ahead / per_s, BH__BUCKET_WAIT_MAX_S) * BH__SECOND_US);
}

/* Returns the earliest known time at which an engine that is not leaving may accept a request, or UINT64_MAX
 * if there is no such engine. */
static uint64_t soonest_free_us_(const BH__Planner *p)
{
	uint64_t soonest_us = UINT64_MAX;

	for (guint i = 0; i < p->engines->len; i++) {
		const BH__IterationEngine *e = g_ptr_array_index(p->engines, i);
		if (!e->leaving)
			soonest_us = MIN(soonest_us, MAX(e->clock.iteration_end_us, e->ejection.until_us));
	}
	return soonest_us;
}

/* Refuses an ask. The suggested retry delay is the time until an engine may be free, limited to the range
 * from BH__RETRY_AFTER_MIN_MS to RETRY_AFTER_MAX_MS_, or the known wait for rate limits or ejections if that
 * is longer. */
static void refuse_(BH__Planner *p, const BH__Ask *ask, BH__Reason reason, uint64_t now_us)
{
	uint64_t soonest_us = soonest_free_us_(p);
	uint64_t wait_us =
		MAX(rate_limit_wait_us_(p, ask, now_us), bh__planner_get_ejection_wait_us(p, ask, now_us));
	uint64_t retry_after_ms;

	if (soonest_us == UINT64_MAX)
		retry_after_ms = RETRY_AFTER_MAX_MS_ / 4;
	else
		retry_after_ms = soonest_us > now_us ? (soonest_us - now_us) / BH__MS_US : 0;
	retry_after_ms = CLAMP(retry_after_ms, BH__RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS_);
	p->counters.refusals++;
	p->port->refuse(p->port, ask, reason, MAX(retry_after_ms, wait_us / BH__MS_US));
}

/* Tries to place waiting asks after a change of state: first those that can still be in time, then late ones.
 */
void bh__planner_place_waiting(BH__Planner *p, uint64_t now_us)
{
	if (p->placing_waiting) /* the receiver of a grant may call the planner again */
		return;
	p->placing_waiting = true;
	for (int over_share = 0; over_share <= 1; over_share++) {
		place_some_(p, false, over_share, now_us);
		place_some_(p, true, over_share, now_us);
	}
	bh__planner_book(p, now_us);
	p->placing_waiting = false;
}

/* Tries to place at most PLACEMENTS_PER_ROUND_ waiting asks, either late ones or those that can be in time,
 * and either those of accounts that use far more than the others or the rest. */
static void place_some_(BH__Planner *p, bool late, bool over_share, uint64_t now_us)
{
	unsigned tried = 0;
	guint i = 0;

	while (i < p->waiting->len && tried < PLACEMENTS_PER_ROUND_) {
		BH__WaitingAsk w = *(BH__WaitingAsk *)g_ptr_array_index(p->waiting, i);
		if (bh__start_rules_is_late(&p->model, &w.ask, now_us - w.arrived_us) != late ||
			bh__planner_is_over_share(p, &w.ask, now_us) != over_share) {
			i++;
			continue;
		}
		tried++;
		if (over_share && bh__planner_is_crowded(p)
				? refuse_if_hopeless_(p, &w.ask, now_us - w.arrived_us, now_us)
				: try_place_(p, &w.ask, late || (over_share && bh__planner_is_contended(p, now_us)),
							 w.arrived_us, now_us))
			bh__planner_process_withdraw(p, w.ask.ask_id);
		else
			i++;
	}
}

/* Grants or refuses waiting asks as time passes. The caller calls this often while bh__planner_is_waiting()
 * returns true. */
void bh__planner_process_tick(BH__Planner *p, uint64_t now_us)
{
	bh__planner_place_waiting(p, now_us);
}

/* Refuses all waiting asks for `reason`. */
void bh__planner_refuse_all(BH__Planner *p, BH__Reason reason)
{
	while (p->waiting->len) {
		BH__Ask ask = ((BH__WaitingAsk *)g_ptr_array_index(p->waiting, 0))->ask;
		g_ptr_array_remove_index(p->waiting, 0);
		p->port->refuse(p->port, &ask, reason, BH__RETRY_AFTER_MIN_MS);
	}
}

bool bh__planner_is_waiting(const BH__Planner *p)
{
	return p->waiting->len > 0;
}

/* Removes the waiting asks of a node that is gone, without refusing them. */
void bh__planner_drop_asks(BH__Planner *p, uint64_t node_id)
{
	for (guint i = p->waiting->len; i-- > 0;)
		if (((BH__WaitingAsk *)g_ptr_array_index(p->waiting, i))->ask.node_id == node_id)
			g_ptr_array_remove_index(p->waiting, i);
}
