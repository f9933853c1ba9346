/* SPDX-License-Identifier: BSD-3-Clause */
/* The state of one caller's request, shared by the files of calls. */
#ifndef BAYHOIST_CALL_INTERNAL_H
#define BAYHOIST_CALL_INTERNAL_H

#include <event2/buffer.h>
#include "bayhoist/silent_dispatch.h"
#include "gate.h"

#define RETRY_SOON_MS 200 /* retry-after of a refusal whose cause is brief */

typedef enum {
	CALL_STARTING,  /* waits until the node's startup state is complete, or the wait for it ends */
	CALL_ASKING,    /* waits for the scheduler to grant engines */
	CALL_RESERVING, /* waits for the memory reservation on the granted engines */
	CALL_PERMIT,    /* waits for a permit of a rate-limited endpoint, or for the time that the permit names */
	CALL_SUSPECTED, /* waits until the crash that it met has been evaluated */
	CALL_DISPATCHED /* dispatched to an endpoint */
} CallState;

struct Call {
	Gate *gate;
	Inbound *in;
	const InboundRequest *request;
	BH__Routing *routing;
	const BH__RouteRule *rule;
	const BH__ServiceSpec *service;
	const BH__KeyOwner *owner;  /* account of the caller's API key; NULL: none */
	BH__CrashSubjects subjects; /* what may make it crash endpoints; identical for each caller retry */
	BH__RetryState retry;       /* dispatches so far, and whether another one is allowed */
	CallState state;
	CallAdmission admission;      /* ask to the scheduler and the grant held */
	bool queued;                  /* the scheduler keeps the ask waiting */
	bool queued_logged;           /* the queueing has been logged */
	unsigned unused_grants;       /* number of grants returned unused */
	uint64_t asked_us;            /* when the last ask was sent, or the last sign of the scheduler received */
	uint64_t unanswered_since_us; /* when the first ask was sent that the scheduler has not answered */
	uint64_t permit_endpoint;     /* endpoint that a permit is asked for */
	uint64_t send_at_us;          /* when the permit allows the dispatch; 0: no permit yet */
	uint64_t suspected_us;        /* when CALL_SUSPECTED began */
	uint64_t waited_before_us;    /* estimated wait of the caller in earlier tries; 0: none or unknown */
	MemoryHold *memory;           /* memory reserved on helpers; NULL: none */
	Outbound *out;                /* connection of the current dispatch; NULL: none */
	uint64_t endpoint_id;         /* endpoint of the current or last dispatch */
	uint64_t endpoint_incarnation; /* incarnation of that endpoint, see bh__registry_note_start() */
	bool silence_reported;         /* that dispatch was reported as overdue */
	uint64_t sent_us;              /* when the current or last dispatch began */
	uint32_t pauses;            /* number of gaps between received parts of the current dispatch's answer */
	uint64_t longest_pause_us;  /* longest such gap of all dispatches */
	uint64_t silence_us;        /* by which silences of the endpoint have prolonged the current dispatch */
	uint64_t received_us;       /* when the endpoint last went on with its answer, or the dispatch began */
	BH__SilentDispatch silence; /* the looks at that dispatch while it is silent */
	bool is_replacing;          /* engines are asked for in place of that of the silent dispatch */
	bool end_known;             /* the dispatch's end is known before its connection ends */
	BH__DispatchEnd known_end;  /* that end; valid if `end_known` */
	bool is_own_fault;          /* the last dispatch failed on the way to its endpoint */
	OutboundHead head;          /* head of the answer; `headers` is a copy that the call owns */
	struct evbuffer *body;     /* answer buffered until it is complete, or the incomplete event of a stream */
	BH__AnswerAssembly answer; /* what the caller has of its answer, and what may go on it */
	bool progress_notified; /* the answer of the current dispatch has begun, and the scheduler was notified */
	bool paused;            /* reading from the endpoint is paused until the caller has caught up */
	uint64_t paused_us;     /* when that pause began */
	uint64_t unread_until_us; /* a cut until then is of an answer that stayed unread; 0: none */
	bool crash_reported;      /* a dispatch that an endpoint broke off was reported to crashes.c */
	bool awaits_evaluation;   /* the crash that the last dispatch may have met is to be evaluated first */
	struct event *timer;
};

/* call.c */
bool call_endpoint_is_usable(const Call *c, uint64_t endpoint_id);
uint64_t call_find_unusable(const Call *c, const BH__Grant *g);
void call_act(Call *c, BH__NextAction next);
void call_set_timer(Call *c, uint64_t now_us);
void call_abandon(Call *c, uint64_t retry_after_ms, const char *code, const char *message);
void call_refuse(Call *c, int status, uint64_t retry_after_ms, const char *code, const char *message);

/* call_times.c */
uint64_t call_record_caller_time(const Call *c);
void call_record_answer_time(const Call *c, uint64_t took_us);
uint64_t call_get_answer_tokens(const Call *c);
bool call_has_observed_answers(const Call *c);
uint64_t call_longest_answer_us(const Call *c);
void call_note_gap(Call *c, uint64_t gap_us);
uint64_t call_longest_silence_us(const Call *c);

/* call_subjects.c */
void call_set_subjects(Call *c);
void call_log_admitted(const Call *c, uint64_t now_us, uint64_t time_us);

/* silences.c */
BH__RegisteredEndpoint *silences_pick_endpoint(const Call *c, uint64_t now_us);
bool silences_has_other(const Call *c, uint64_t now_us);
void silences_note_heard(const Call *c, uint64_t now_us);

/* silent_dispatches.c */
uint64_t silent_dispatch_get_due_us(const Call *c);
bool silent_dispatch_look(Call *c, const BH__ServiceRetryBudget *budget, uint64_t now_us);

/* call_refusal.c */
bool call_refuse_unrouted(Call *c);
bool call_abandon_unsendable(Call *c);
bool call_is_sendable(const Call *c);

/* call_stop.c */
bool call_outlasts_stop(const Call *c);
uint64_t call_retry_stopping_ms(const Gate *g, uint64_t now_us);
void call_note_sent_at_stop(const Call *c);
void call_note_refused_at_stop(const Call *c);
void call_note_unfinished(const Call *c);

/* call_ask.c */
const char *call_scheduler_name(const Call *c);
bool call_awaits_grant(const Call *c);
void call_ask(Call *c);
uint64_t call_get_ask_due_us(const Call *c);
void call_process_ask_due(Call *c, uint64_t now_us);
void call_process_silence(Call *c, uint64_t now_us);
void call_use_replacement(Call *c);
void call_stop_replacing(Call *c);

/* dispatch.c */
bool call_is_streaming(const Call *c);
void dispatch_start(Call *c, uint64_t endpoint_id);
void dispatch_end(Call *c, BH__DispatchEnd end);
void dispatch_complete_answer(Call *c);

#endif
