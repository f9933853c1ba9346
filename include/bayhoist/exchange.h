/* SPDX-License-Identifier: BSD-3-Clause */
/* One caller's request and the endpoints that it is sent to: whether it may be sent again, and what its
 * caller is told in the end. Decisions alone; the program that uses it does the sending. */
#ifndef BAYHOIST_EXCHANGE_H
#define BAYHOIST_EXCHANGE_H

#include "bayhoist/registry.h"
#include "bayhoist/routing.h"
#include "bayhoist/verdict.h"

/* How one sending ended. */
typedef enum {
	BH__SENDING_ANSWERED,    /* with a whole answer that is the caller's */
	BH__SENDING_FAILED,      /* with a whole answer that says the endpoint failed */
	BH__SENDING_REFUSED,     /* the endpoint says that it did not run the request */
	BH__SENDING_UNREACHABLE, /* no connection: nothing was sent */
	BH__SENDING_BROKEN,      /* no whole answer: it may have run */
	BH__SENDING_STOPPED,     /* we ended it, since it would crash the endpoint: it may have run */
	BH__SENDING_SILENT,      /* nothing came for so long that we ended it: it may have run */
	BH__SENDING_END_COUNT
} BH__SendingEnd;

extern const char *const BH__SendingEndString[];

/* What is to be done next. */
typedef enum {
	BH__NEXT_DONE,     /* the caller has its answer */
	BH__NEXT_PASS_ON,  /* the endpoint's failure goes to the caller as it is */
	BH__NEXT_SEND,     /* to another endpoint, from the start */
	BH__NEXT_RESUME,   /* to another endpoint, after the last event that the caller has */
	BH__NEXT_REFUSE,   /* it did not run: the caller is told so, and when to come back */
	BH__NEXT_FAIL,     /* it may have run: the caller is told that it failed */
	BH__NEXT_TIME_OUT, /* the same, because its time is up */
	BH__NEXT_BREAK_OFF /* its answer has begun and can't be completed: the connection is broken off */
} BH__Next;

extern const char *const BH__NextString[];

/* The budget of repeated sendings to one service. It is shared by all nodes: each has an even part of what
 * the service allows at once, and a share of what its own requests earn. */
typedef struct {
	double level; /* sendings that may be made now */
	double max;
	double share; /* earned by each request */
	uint64_t spent;
	uint64_t denied;
} BH__RepeatBudget;

void bh__repeat_budget_init(BH__RepeatBudget *b, double share, double at_once);
void bh__repeat_budget_set_nodes(BH__RepeatBudget *b, double at_once, unsigned nodes);
void bh__repeat_budget_note_request(BH__RepeatBudget *b);
bool bh__repeat_budget_take(BH__RepeatBudget *b);

typedef struct {
	BH__Repeat repeat;
	uint32_t max_attempts;
	uint64_t deadline_us; /* the caller's or the route's, whichever comes first */
	uint32_t sendings;    /* that reached an endpoint */
	uint32_t unreachable; /* that did not */
	bool may_have_run;
	bool answer_begun; /* its caller has the head of an answer */
	unsigned tried_count;
	uint64_t tried[BH__TRIED_MAX]; /* endpoints to keep away from */
} BH__Exchange;

void bh__exchange_init(BH__Exchange *x, const BH__RouteRule *rule, uint64_t deadline_us);
void bh__exchange_note_tried(BH__Exchange *x, uint64_t endpoint_id);
BH__Next bh__exchange_process_end(BH__Exchange *x, BH__SendingEnd end, BH__RepeatBudget *budget,
								  uint64_t now_us);
BH__Next bh__exchange_process_deadline(const BH__Exchange *x);
BH__Next bh__exchange_process_no_place(const BH__Exchange *x);
bool bh__exchange_may_send_again(const BH__Exchange *x, uint64_t now_us);
uint64_t bh__patience_us(const BH__RouteRule *rule, bool is_engine, bool has_begun);
BH__Verdict bh__exchange_get_verdict(const BH__Exchange *x);

#endif
