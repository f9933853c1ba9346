/* SPDX-License-Identifier: BSD-3-Clause */
/* Sending a caller's request, again if need be. What may have run and must not run twice is never sent again;
 * what did not run is refused in words that say so; all else is sent again while attempts, budget and time
 * last. */
#include "bayhoist/exchange.h"

#include <string.h>
#include "bayhoist/planner.h"

#define UNREACHABLE_MAX_ 3              /* endpoints without a connection before the request is refused */
#define LEAST_TIME_US_ (30 * BH__MS_US) /* with less left another sending can't bring an answer */
/* An endpoint counts as silent after so many of its rule's aims. A stream is given up by its caller after 2
 * s, four times its target or eight times its gap, whichever is longest. */
#define OVERDUE_FACTOR_ 2
#define OVERDUE_EXTRA_MS_ 500
#define STALL_FACTOR_ 4
#define LEAST_PATIENCE_MS_ 900
/* With engines not before a pass that reads all that one may, and the network's share, are over: else one
 * long pass has every stream of its engine sent again. */
#define LEAST_ENGINE_PATIENCE_MS_ (BH__MAX_ITERATION_MS + 200)
#define BUDGET_FILL_ 0.7 /* of what is allowed that is used: nodes restart, and then begin anew */

const char *const BH__SendingEndString[] = {"answered", "failed",  "refused", "unreachable",
											"broken",   "stopped", "silent"};
const char *const BH__NextString[] = {"done",   "pass-on", "send",     "resume",
									  "refuse", "fail",    "time-out", "break-off"};

static BH__Next give_up_(const BH__Exchange *x, BH__SendingEnd end);
static BH__Next send_again_(const BH__Exchange *x);
static BH__Next end_without_more_(const BH__Exchange *x, BH__Next if_may_have_run);

/* Sets a budget that allows `at_once` sendings besides a share of the requests. */
void bh__repeat_budget_init(BH__RepeatBudget *b, double share, double at_once)
{
	memset(b, 0, sizeof *b);
	b->share = share * BUDGET_FILL_;
	b->max = at_once * BUDGET_FILL_;
	b->level = b->max;
}

/* Follows the number of nodes that share the service's allowance. */
void bh__repeat_budget_set_nodes(BH__RepeatBudget *b, double at_once, unsigned nodes)
{
	b->max = at_once * BUDGET_FILL_ / MAX(nodes, 1u);
	b->level = MIN(b->level, b->max);
}

void bh__repeat_budget_note_request(BH__RepeatBudget *b)
{
	b->level = MIN(b->level + b->share, b->max);
}

/* Takes one sending. Returns false if the budget is spent. */
bool bh__repeat_budget_take(BH__RepeatBudget *b)
{
	if (b->level < 1) {
		b->denied++;
		return false;
	}
	b->level -= 1;
	b->spent++;
	return true;
}

void bh__exchange_init(BH__Exchange *x, const BH__RouteRule *rule, uint64_t deadline_us)
{
	memset(x, 0, sizeof *x);
	x->repeat = rule->repeat;
	x->max_attempts = MAX(rule->max_attempts, 1u);
	x->deadline_us = deadline_us;
}

/* Notes an endpoint that the request is kept away from; of many, the latest. */
void bh__exchange_note_tried(BH__Exchange *x, uint64_t endpoint_id)
{
	if (x->tried_count < BH__TRIED_MAX)
		x->tried[x->tried_count++] = endpoint_id;
	else
		x->tried[x->sendings % BH__TRIED_MAX] = endpoint_id;
}

BH__Verdict bh__exchange_get_verdict(const BH__Exchange *x)
{
	return x->may_have_run ? BH__VERDICT_MAY_HAVE_RUN : BH__VERDICT_NOT_RUN;
}

/* Returns true if the request may go to one more endpoint, budget aside. */
bool bh__exchange_may_send_again(const BH__Exchange *x, uint64_t now_us)
{
	bool harmless = !x->may_have_run || x->repeat != BH__REPEAT_NEVER;
	bool continues = !x->answer_begun || x->repeat == BH__REPEAT_RESUME;

	return harmless && continues && x->sendings < x->max_attempts && x->unreachable <= UNREACHABLE_MAX_ &&
		   now_us + LEAST_TIME_US_ < x->deadline_us;
}

/* A sending has ended: says what is next. A sending without a connection costs no budget, since nothing
 * arrived. */
BH__Next bh__exchange_process_end(BH__Exchange *x, BH__SendingEnd end, BH__RepeatBudget *budget,
								  uint64_t now_us)
{
	if (end == BH__SENDING_ANSWERED)
		return BH__NEXT_DONE;
	if (end == BH__SENDING_UNREACHABLE)
		x->unreachable++;
	else
		x->sendings++;
	if (end == BH__SENDING_BROKEN || end == BH__SENDING_SILENT || end == BH__SENDING_FAILED ||
		end == BH__SENDING_STOPPED)
		x->may_have_run = true;
	if (end == BH__SENDING_STOPPED || !bh__exchange_may_send_again(x, now_us))
		return give_up_(x, end);
	if ((end != BH__SENDING_UNREACHABLE || x->sendings > 0) && !bh__repeat_budget_take(budget))
		return give_up_(x, end);
	return send_again_(x);
}

static BH__Next send_again_(const BH__Exchange *x)
{
	return x->answer_begun ? BH__NEXT_RESUME : BH__NEXT_SEND;
}

static BH__Next give_up_(const BH__Exchange *x, BH__SendingEnd end)
{
	if (end == BH__SENDING_FAILED)
		return end_without_more_(x, BH__NEXT_PASS_ON);
	return end_without_more_(x, end == BH__SENDING_SILENT ? BH__NEXT_TIME_OUT : BH__NEXT_FAIL);
}

/* Returns how a request ends that is sent no more: `if_may_have_run` says how one does that may have run and
 * whose caller has no part of an answer. */
static BH__Next end_without_more_(const BH__Exchange *x, BH__Next if_may_have_run)
{
	if (x->answer_begun)
		return BH__NEXT_BREAK_OFF;
	return x->may_have_run ? if_may_have_run : BH__NEXT_REFUSE;
}

/* The request's time is up. `x->may_have_run` must say whether a sending is under way. */
BH__Next bh__exchange_process_deadline(const BH__Exchange *x)
{
	return end_without_more_(x, BH__NEXT_TIME_OUT);
}

/* No endpoint can take the request now, or none will. */
BH__Next bh__exchange_process_no_place(const BH__Exchange *x)
{
	return end_without_more_(x, BH__NEXT_FAIL);
}

/* Returns how long an endpoint may send nothing before it counts as silent: before its answer to a request of
 * this rule has begun, or between two events. */
uint64_t bh__patience_us(const BH__RouteRule *rule, bool is_engine, bool has_begun)
{
	uint64_t ms = has_begun ? (uint64_t)rule->event_gap_ms * STALL_FACTOR_
							: (uint64_t)rule->target_ms * OVERDUE_FACTOR_ + OVERDUE_EXTRA_MS_;
	uint64_t least_ms = is_engine ? LEAST_ENGINE_PATIENCE_MS_ : LEAST_PATIENCE_MS_;

	return MAX(ms, least_ms) * BH__MS_US;
}
