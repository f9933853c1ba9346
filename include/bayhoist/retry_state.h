/* SPDX-License-Identifier: BSD-3-Clause */
/* Retry state of one caller's request: decides whether the request may be sent to another endpoint, and how
 * it ends for the caller. This module only decides; the program that uses it does the I/O. */
#ifndef BAYHOIST_RETRY_STATE_H
#define BAYHOIST_RETRY_STATE_H

#include "bayhoist/registry.h"
#include "bayhoist/routing.h"
#include "bayhoist/verdict.h"

/* How one dispatch of a request to an endpoint ended. */
typedef enum {
	BH__DISPATCH_ANSWERED,     /* with a complete answer for the caller */
	BH__DISPATCH_FAILED,       /* with a complete answer that reports a failure of the endpoint */
	BH__DISPATCH_REFUSED,      /* the endpoint reported that it did not run the request */
	BH__DISPATCH_UNREACHABLE,  /* no connection could be made; nothing was sent */
	BH__DISPATCH_BROKEN,       /* the answer is missing or incomplete; the request may have run */
	BH__DISPATCH_STOPPED,      /* ended by the gateway to avoid an endpoint crash; may have run */
	BH__DISPATCH_UNRESPONSIVE, /* ended by the gateway: the endpoint is unresponsive; may have run */
	BH__DISPATCH_END_COUNT
} BH__DispatchEnd;

extern const char *const BH__DispatchEndString[];

/* Next action after a dispatch has ended or the request cannot be dispatched. */
typedef enum {
	BH__NEXT_ACTION_DONE,         /* nothing: the caller has its answer */
	BH__NEXT_ACTION_PASS_THROUGH, /* relay the endpoint's failure response to the caller unchanged */
	BH__NEXT_ACTION_SEND,         /* send to another endpoint, from the start */
	BH__NEXT_ACTION_RESUME,   /* continue at another endpoint after the last event delivered to the caller */
	BH__NEXT_ACTION_REFUSE,   /* answer that the request did not run, and when to retry */
	BH__NEXT_ACTION_FAIL,     /* answer that the request failed; it may have run */
	BH__NEXT_ACTION_TIME_OUT, /* answer that the request timed out; it may have run */
	BH__NEXT_ACTION_BREAK_OFF /* close the caller's connection: the answer has begun and cannot be completed
							   */
} BH__NextAction;

extern const char *const BH__NextActionString[];

/* Why no other dispatch follows one that has ended. */
typedef enum {
	BH__NO_RETRY_NONE,      /* another one follows, or none is needed */
	BH__NO_RETRY_STOPPED,   /* the request is kept from endpoints */
	BH__NO_RETRY_ONCE,      /* it may have run, and must not run twice */
	BH__NO_RETRY_BEGUN,     /* the caller has the beginning of an answer that can't be resumed */
	BH__NO_RETRY_ATTEMPTS,  /* as many dispatches as are allowed have reached an endpoint */
	BH__NO_RETRY_UNREACHED, /* too many endpoints could not be connected to */
	BH__NO_RETRY_TIME,      /* too little time is left */
	BH__NO_RETRY_BUDGET     /* the service's retry budget is used up */
} BH__NoRetry;

extern const char *const BH__NoRetryString[];

/* Retry budget of one service, shared by all nodes. Each node may use an even part of the burst that the
 * service allows, and earns a fraction of a retry with each of its own requests. */
typedef struct {
	double level;    /* retries left now */
	double max;      /* upper bound of `level` */
	double share;    /* retries that each request earns */
	uint64_t spent;  /* retries taken */
	uint64_t denied; /* retries denied because too little budget was left */
} BH__ServiceRetryBudget;

void bh__service_retry_budget_init(BH__ServiceRetryBudget *b, double share, double burst);
void bh__service_retry_budget_set_nodes(BH__ServiceRetryBudget *b, double burst, unsigned nodes);
void bh__service_retry_budget_note_request(BH__ServiceRetryBudget *b);
bool bh__service_retry_budget_take(BH__ServiceRetryBudget *b);
void bh__service_retry_budget_return(BH__ServiceRetryBudget *b);

typedef struct {
	BH__RetryMode retry_mode;
	uint32_t max_attempts; /* most dispatches that may reach an endpoint */
	uint64_t deadline_us;  /* the caller's or the route's deadline, whichever is earlier */
	uint32_t dispatches;   /* dispatches that reached an endpoint */
	uint32_t unreachable;  /* dispatches that found no connection */
	bool may_have_run;     /* an endpoint may have run the request */
	bool answer_begun;     /* the caller has received the head of an answer */
	bool not_resumable;    /* no other dispatch can continue that answer */
	bool has_retry;        /* the retry for the next dispatch has been taken from the budget already */
	BH__NoRetry no_retry;  /* why the last dispatch that ended is not followed by another */
	unsigned tried_count;
	uint64_t tried[BH__TRIED_MAX]; /* endpoints not to be used again */
} BH__RetryState;

void bh__retry_state_init(BH__RetryState *state, const BH__RouteRule *rule, uint64_t deadline_us);
void bh__retry_state_note_tried(BH__RetryState *state, uint64_t endpoint_id);
BH__NextAction bh__retry_state_process_end(BH__RetryState *state, BH__DispatchEnd end,
										   BH__ServiceRetryBudget *budget, uint64_t now_us);
bool bh__retry_state_may_follow_failure(const BH__RetryState *state, const BH__ServiceRetryBudget *budget,
										uint64_t now_us);
BH__NextAction bh__retry_state_process_deadline(const BH__RetryState *state);
BH__NextAction bh__retry_state_process_no_endpoint(const BH__RetryState *state);
bool bh__retry_state_may_dispatch_again(const BH__RetryState *state, uint64_t now_us);
uint64_t bh__response_max_wait_us(const BH__RouteRule *rule, bool is_engine, bool has_begun);
uint64_t bh__response_patience_us(const BH__RouteRule *rule);
BH__Verdict bh__retry_state_get_verdict(const BH__RetryState *state);

#endif
