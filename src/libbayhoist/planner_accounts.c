/* SPDX-License-Identifier: BSD-3-Clause */
/* Accounts that compete for a planner's engines. While they do, an account that has lately used far more than
 * the others is placed behind them and leaves some slots free, and what waits for it is bounded. Its callers'
 * retries count against its own bound, however often they come. */
#include "planner_internal.h"

#define CONTENTION_US_ BH__SECOND_US /* time for which accounts compete after one had to wait */
#define CROWDED_SHARE_ 0.75          /* share of the slots above which few are free */

static double account_waiting_ms_(const BH__Planner *p, uint64_t account_id);

/* Returns true if the account of an ask has lately used far more of the engines than the others. */
bool bh__planner_is_over_share(BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	return ask->account_id && bh__account_shares_is_over(p->shares, ask->account_id, now_us);
}

/* Returns true while accounts compete for the engines: an ask of an account within its share had to wait
 * within CONTENTION_US_. */
bool bh__planner_is_contended(const BH__Planner *p, uint64_t now_us)
{
	return p->contended_us && now_us < p->contended_us + CONTENTION_US_;
}

/* Returns true while few slots are free. These are left to the accounts within their shares. */
bool bh__planner_is_crowded(const BH__Planner *p)
{
	unsigned slots = 0;
	unsigned taken = 0;

	for (guint i = 0; i < p->engines->len; i++) {
		const BH__IterationEngine *e = g_ptr_array_index(p->engines, i);
		slots += p->model.slots;
		taken += e->leaving ? p->model.slots : e->primaries->len;
	}
	return taken > slots * CROWDED_SHARE_;
}

/* Returns the work of an account that waits, in milliseconds of one engine. */
static double account_waiting_ms_(const BH__Planner *p, uint64_t account_id)
{
	double ms = 0;

	for (guint i = 0; i < p->waiting->len; i++) {
		const BH__WaitingAsk *w = g_ptr_array_index(p->waiting, i);
		if (w->ask.account_id == account_id)
			ms += bh__start_rules_work_ms(&p->model, &w->ask);
	}
	return ms;
}

/* Returns true if an account over its share already has as much waiting as its share of the engines does in
 * the time for which the ask may wait: the ask would wait in vain. */
bool bh__planner_account_is_full(BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	double share_ms;

	if (!bh__planner_is_over_share(p, ask, now_us) || bh__start_rules_has_room(&p->model, p->engines, now_us))
		return false;
	share_ms = bh__account_shares_get_fair_share(p->shares, ask->account_id, now_us) * p->engines->len *
			   (double)bh__start_rules_max_wait_us(ask) / BH__MS_US;
	return account_waiting_ms_(p, ask->account_id) > share_ms;
}

/* Refuses an ask of an account that has too much waiting. The suggested retry delay is the time in which its
 * share of the engines does that work. */
void bh__planner_refuse_account(BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	double engines = bh__account_shares_get_fair_share(p->shares, ask->account_id, now_us) * p->engines->len;
	double retry_after_ms = account_waiting_ms_(p, ask->account_id) / MAX(engines, 1);

	p->counters.refusals++;
	p->counters.account_refusals++;
	p->port->refuse(p->port, ask, BH__REASON_OVERLOAD,
					(uint64_t)CLAMP(retry_after_ms, BH__RETRY_AFTER_MIN_MS,
									(double)ask->deadline_us / BH__RETURN_SHARE / BH__MS_US));
}
