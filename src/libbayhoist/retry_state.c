/* SPDX-License-Identifier: BSD-3-Clause */
/* Retry policy for a caller's request. A request that may have run and must not run twice is never retried. A
 * request that did not run and cannot be retried is rejected with an answer that says so. All other requests
 * are retried as long as attempts, retry budget and time are left. */
#include "bayhoist/retry_state.h"

#include <string.h>
#include "bayhoist/planner.h"

#define UNREACHABLE_MAX_ 3 /* connection failures after which another endpoint is still tried */
/* With less time left, another dispatch cannot produce an answer. */
#define MIN_TIME_LEFT_US_ (30 * BH__MS_US)
/* An endpoint counts as unresponsive after these multiples of the route rule's targets. They are shorter than
 * the caller's own limits: a caller abandons a stream after 2 s, four times its target or eight times its
 * event gap, whichever is longest. */
/* Callers give a stream up after a gap of so long, or so many times the target of the first event or of a
 * gap, whichever is longest. */
#define PATIENCE_MIN_MS_ 2000
#define PATIENCE_TARGET_FACTOR_ 4
#define PATIENCE_GAP_FACTOR_ 8

#define FIRST_EVENT_WAIT_FACTOR_ 2
#define FIRST_EVENT_WAIT_EXTRA_MS_ 500
#define EVENT_GAP_WAIT_FACTOR_ 4
#define MIN_WAIT_MS_ 900
/* When a sender is heard again whose packets were lost for a second: TCP repeats the first of them 0.2, 0.4,
 * 0.8 and 1.6 s after it was sent. */
#define HEARD_AFTER_1S_MS_ 1600
/* An engine does not count as unresponsive before its longest possible iteration is over, nor before a path
 * that lost all packets for a second is heard again, plus a network allowance. Otherwise one long iteration,
 * or one such second, would cause every stream of the engine to be retried. */
#define MIN_ENGINE_WAIT_MS_ (MAX(BH__MAX_ITERATION_MS, HEARD_AFTER_1S_MS_) + 100)
/* Fraction of the allowed retries that is used, because a node that restarts begins with a full budget again.
 */
#define BUDGET_SHARE_USED_ 0.7

const char *const BH__DispatchEndString[] = {"answered", "failed",  "refused", "unreachable",
											 "broken",   "stopped", "silent"};
const char *const BH__NextActionString[] = {"done",   "pass-on", "send",     "resume",
											"refuse", "fail",    "time-out", "break-off"};
const char *const BH__NoRetryString[] = {"",         "stopped",   "once", "begun",
										 "attempts", "unreached", "time", "budget"};

static BH__NoRetry find_obstacle_(const BH__RetryState *state, uint64_t now_us);
static BH__NextAction abandon_(const BH__RetryState *state, BH__DispatchEnd end);
static BH__NextAction dispatch_again_(const BH__RetryState *state);
static BH__NextAction end_without_retry_(const BH__RetryState *state, BH__NextAction action_if_may_have_run);

/* Initializes a full retry budget. `burst` is the number of retries allowed in a burst, `share` the number
 * of retries that each request earns. Both are reduced by BUDGET_SHARE_USED_. */
void bh__service_retry_budget_init(BH__ServiceRetryBudget *b, double share, double burst)
{
	memset(b, 0, sizeof *b);
	b->share = share * BUDGET_SHARE_USED_;
	b->max = burst * BUDGET_SHARE_USED_;
	b->level = b->max;
}

/* Sets the maximum to this node's even part of the service's allowance `burst`, which `nodes` nodes share.
 */
void bh__service_retry_budget_set_nodes(BH__ServiceRetryBudget *b, double burst, unsigned nodes)
{
	b->max = burst * BUDGET_SHARE_USED_ / MAX(nodes, 1u);
	b->level = MIN(b->level, b->max);
}

/* Credits the budget with one request. */
void bh__service_retry_budget_note_request(BH__ServiceRetryBudget *b)
{
	b->level = MIN(b->level + b->share, b->max);
}

/* Takes one retry from the budget. Returns false if less than one is left. */
bool bh__service_retry_budget_take(BH__ServiceRetryBudget *b)
{
	if (b->level < 1) {
		b->denied++;
		return false;
	}
	b->level -= 1;
	b->spent++;
	return true;
}

/* Returns a retry that was taken and not used. */
void bh__service_retry_budget_return(BH__ServiceRetryBudget *b)
{
	b->level = MIN(b->level + 1, b->max);
	b->spent--;
}

/* Initializes the state of a new request. `rule` allows at least one dispatch, even with a `max_attempts` of
 * 0. */
void bh__retry_state_init(BH__RetryState *state, const BH__RouteRule *rule, uint64_t deadline_us)
{
	memset(state, 0, sizeof *state);
	state->retry_mode = rule->retry_mode;
	state->max_attempts = MAX(rule->max_attempts, 1u);
	state->deadline_us = deadline_us;
}

/* Adds an endpoint that the request is not sent to again. Once BH__TRIED_MAX are stored, the new endpoint
 * replaces one of them, chosen by the number of dispatches. */
void bh__retry_state_note_tried(BH__RetryState *state, uint64_t endpoint_id)
{
	if (state->tried_count < BH__TRIED_MAX)
		state->tried[state->tried_count++] = endpoint_id;
	else
		state->tried[state->dispatches % BH__TRIED_MAX] = endpoint_id;
}

/* Returns whether the request may have run at an endpoint. */
BH__Verdict bh__retry_state_get_verdict(const BH__RetryState *state)
{
	return state->may_have_run ? BH__VERDICT_MAY_HAVE_RUN : BH__VERDICT_NOT_RUN;
}

/* Returns true if the request may be sent to one more endpoint, without regard to the retry budget. */
bool bh__retry_state_may_dispatch_again(const BH__RetryState *state, uint64_t now_us)
{
	return find_obstacle_(state, now_us) == BH__NO_RETRY_NONE;
}

/* Returns why the request may not be sent to one more endpoint, without regard to the retry budget. */
static BH__NoRetry find_obstacle_(const BH__RetryState *state, uint64_t now_us)
{
	if (state->may_have_run && state->retry_mode == BH__RETRY_MODE_NEVER)
		return BH__NO_RETRY_ONCE;
	if (state->answer_begun && (state->retry_mode != BH__RETRY_MODE_RESUME || state->not_resumable))
		return BH__NO_RETRY_BEGUN;
	if (state->dispatches >= state->max_attempts)
		return BH__NO_RETRY_ATTEMPTS;
	if (state->unreachable > UNREACHABLE_MAX_)
		return BH__NO_RETRY_UNREACHED;
	return now_us + MIN_TIME_LEFT_US_ < state->deadline_us ? BH__NO_RETRY_NONE : BH__NO_RETRY_TIME;
}

/* Records how a dispatch ended and returns the next action. A retry is charged to `budget` unless no dispatch
 * has reached an endpoint so far, since nothing has arrived then, or it has been charged already. */
BH__NextAction bh__retry_state_process_end(BH__RetryState *state, BH__DispatchEnd end,
										   BH__ServiceRetryBudget *budget, uint64_t now_us)
{
	if (end == BH__DISPATCH_ANSWERED)
		return BH__NEXT_ACTION_DONE;
	if (end == BH__DISPATCH_UNREACHABLE)
		state->unreachable++;
	else
		state->dispatches++;
	if (end == BH__DISPATCH_BROKEN || end == BH__DISPATCH_UNRESPONSIVE || end == BH__DISPATCH_FAILED ||
		end == BH__DISPATCH_STOPPED)
		state->may_have_run = true;
	state->no_retry = end == BH__DISPATCH_STOPPED ? BH__NO_RETRY_STOPPED : find_obstacle_(state, now_us);
	if (state->no_retry == BH__NO_RETRY_NONE && (end != BH__DISPATCH_UNREACHABLE || state->dispatches > 0) &&
		!state->has_retry && !bh__service_retry_budget_take(budget))
		state->no_retry = BH__NO_RETRY_BUDGET;
	state->has_retry = false;
	return state->no_retry == BH__NO_RETRY_NONE ? dispatch_again_(state) : abandon_(state, end);
}

/* Returns true if bh__retry_state_process_end() would have another dispatch follow one that fails now. */
bool bh__retry_state_may_follow_failure(const BH__RetryState *state, const BH__ServiceRetryBudget *budget,
										uint64_t now_us)
{
	BH__RetryState after = *state;

	after.dispatches++;
	after.may_have_run = true;
	return bh__retry_state_may_dispatch_again(&after, now_us) && budget->level >= 1;
}

/* Returns the action that retries the request: from the start, or after the last event if its answer has
 * begun. */
static BH__NextAction dispatch_again_(const BH__RetryState *state)
{
	return state->answer_begun ? BH__NEXT_ACTION_RESUME : BH__NEXT_ACTION_SEND;
}

/* Returns the action that ends a request whose last dispatch ended with `end` and that is not retried. */
static BH__NextAction abandon_(const BH__RetryState *state, BH__DispatchEnd end)
{
	if (end == BH__DISPATCH_FAILED)
		return end_without_retry_(state, BH__NEXT_ACTION_PASS_THROUGH);
	return end_without_retry_(state, end == BH__DISPATCH_UNRESPONSIVE ? BH__NEXT_ACTION_TIME_OUT
																	  : BH__NEXT_ACTION_FAIL);
}

/* Returns the action that ends a request that is not retried. `action_if_may_have_run` is the action if the
 * request may have run and the caller has not received the beginning of an answer. */
static BH__NextAction end_without_retry_(const BH__RetryState *state, BH__NextAction action_if_may_have_run)
{
	if (state->answer_begun)
		return BH__NEXT_ACTION_BREAK_OFF;
	return state->may_have_run ? action_if_may_have_run : BH__NEXT_ACTION_REFUSE;
}

/* Returns the action that ends a request whose deadline has passed. If a dispatch is in progress, the caller
 * must have set `may_have_run` first. */
BH__NextAction bh__retry_state_process_deadline(const BH__RetryState *state)
{
	return end_without_retry_(state, BH__NEXT_ACTION_TIME_OUT);
}

/* Returns the action that ends a request that no endpoint accepts. */
BH__NextAction bh__retry_state_process_no_endpoint(const BH__RetryState *state)
{
	return end_without_retry_(state, BH__NEXT_ACTION_FAIL);
}

/* Returns the time in microseconds after which an endpoint that sends nothing counts as unresponsive. With
 * `has_begun` false it applies to the beginning of the answer, otherwise to the gap between two events. */
uint64_t bh__response_max_wait_us(const BH__RouteRule *rule, bool is_engine, bool has_begun)
{
	uint64_t ms = has_begun
					  ? (uint64_t)rule->event_gap_ms * EVENT_GAP_WAIT_FACTOR_
					  : (uint64_t)rule->target_ms * FIRST_EVENT_WAIT_FACTOR_ + FIRST_EVENT_WAIT_EXTRA_MS_;
	uint64_t min_ms = is_engine ? MIN_ENGINE_WAIT_MS_ : MIN_WAIT_MS_;

	return MAX(ms, min_ms) * BH__MS_US;
}

/* Returns the time in microseconds for which the caller of a stream waits for its next event, and for the
 * first one, before it gives the stream up. */
uint64_t bh__response_patience_us(const BH__RouteRule *rule)
{
	uint64_t target_ms = (uint64_t)rule->target_ms * PATIENCE_TARGET_FACTOR_;
	uint64_t gap_ms = (uint64_t)rule->event_gap_ms * PATIENCE_GAP_FACTOR_;

	return MAX(MAX(target_ms, gap_ms), PATIENCE_MIN_MS_) * BH__MS_US;
}
