/* SPDX-License-Identifier: BSD-3-Clause */
/* What call.c and sending.c share: one caller's request. */
#ifndef BAYHOIST_CALL_INTERNAL_H
#define BAYHOIST_CALL_INTERNAL_H

#include <event2/buffer.h>
#include "gate.h"

typedef enum {
	CALL_STARTING,  /* waits until the node knows the configuration and the endpoints */
	CALL_ASKING,    /* waits for engines */
	CALL_RESERVING, /* waits for memory on them */
	CALL_PERMIT,    /* waits for leave to send to an endpoint that is limited, or until it may */
	CALL_SUSPECTED, /* waits until the crash that it met has been judged */
	CALL_SENDING    /* an endpoint has it */
} CallState;

struct Call {
	Gate *gate;
	Inbound *in;
	const InboundRequest *request;
	BH__Routing *routing;
	const BH__RouteRule *rule;
	const BH__ServiceSpec *service;
	const BH__KeyOwner *owner;   /* NULL: none */
	BH__Fingerprint fingerprint; /* the same in each try of the same request */
	BH__RetryState x;
	CallState state;
	CallPlace place;
	bool queued;
	bool told_queued;       /* in the log */
	unsigned unused_grants; /* that had to be given back */
	uint64_t asked_us;
	uint64_t permit_endpoint;  /* to which it is to be sent with leave */
	uint64_t send_at_us;       /* with that leave; 0: it has none yet */
	uint64_t suspected_us;     /* since when it waits for that */
	uint64_t waited_before_us; /* by its caller, before this try */
	MemoryHold *memory;
	Outbound *out;
	uint64_t endpoint_id;
	uint64_t endpoint_life; /* see bh__registry_note_start() */
	uint64_t sent_us;
	uint32_t pauses;           /* of the sending that is under way, between what came of the answer */
	uint64_t longest_pause_us; /* between what the endpoints sent of the answer */
	uint64_t received_us;      /* when the endpoint last sent something of the answer */
	bool judged;               /* the sending's end is known before its connection's */
	BH__DispatchEnd judgement;
	OutboundHead head;     /* of the answer; `headers` is our own copy */
	struct evbuffer *body; /* of an answer that is kept until it is whole; or the rest of an event */
	bool passing;          /* the answer goes on as it comes */
	bool told_progress;    /* the scheduler knows that this sending's answer has begun */
	BH__EventStream events;
	bool paused;
	bool was_aborted; /* a sending that an endpoint broke off was reported */
	struct event *timer;
};

/* call.c */
bool call_endpoint_is_usable(const Call *c, uint64_t endpoint_id);
void call_act(Call *c, BH__NextAction next);
void call_set_timer(Call *c, uint64_t now_us);

/* sending.c */
void sending_start(Call *c, uint64_t endpoint_id);
void sending_end(Call *c, BH__DispatchEnd end);
void sending_begin_answer(Call *c);

#endif
