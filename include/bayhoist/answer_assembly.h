/* SPDX-License-Identifier: BSD-3-Clause */
/* Puts the caller's answer together from the answers that the dispatches of its request got: decides which of
 * their bytes may go to the caller, and whether another dispatch can continue what the caller has. The
 * program that uses it does the I/O. */
#ifndef BAYHOIST_ANSWER_ASSEMBLY_H
#define BAYHOIST_ANSWER_ASSEMBLY_H

#include "bayhoist/event_stream.h"
#include "bayhoist/retry_state.h"

/* What the head of an endpoint's answer says of it. */
typedef struct {
	int status;           /* HTTP status */
	bool not_run;         /* the endpoint says that it did not run the request that it answers */
	bool is_own;          /* it names this request */
	bool is_nameless;     /* it names no request */
	bool is_proven;       /* it names a request, and proves that an endpoint gave it */
	bool is_event_stream; /* its media type is that of an event stream */
	bool is_encoded;      /* a content coding has been applied to its body */
} BH__AnswerHead;

/* What becomes of the body of an answer. */
typedef enum {
	BH__ANSWER_BODY_UNUSED, /* nothing of it goes to the caller */
	BH__ANSWER_BODY_EVENTS, /* it is forwarded event by event */
	BH__ANSWER_BODY_PLAIN,  /* it is forwarded when it is complete, or has outgrown its buffer */
	BH__ANSWER_BODY_FAILURE /* it is forwarded when it is complete, and the request is not retried */
} BH__AnswerBody;

/* The decision on an answer by its head. */
typedef struct {
	BH__AnswerBody body;
	BH__DispatchEnd end; /* how the dispatch has ended; valid for BH__ANSWER_BODY_UNUSED */
} BH__HeadVerdict;

/* How the transfer of an answer ended. */
typedef enum {
	BH__TRANSFER_COMPLETE,    /* the answer is complete, by its length or its last chunk */
	BH__TRANSFER_CLOSED,      /* the same, but the end of its connection alone says so */
	BH__TRANSFER_UNREACHABLE, /* no connection could be set up */
	BH__TRANSFER_BROKEN       /* the connection broke, or what was received is no answer */
} BH__TransferEnd;

/* The answer of one request. */
typedef struct {
	bool streams;             /* answers to the request are event streams */
	BH__AnswerBody begun;     /* body of the answer whose head the caller has; BH__ANSWER_BODY_UNUSED: none */
	BH__AnswerBody body;      /* body of the current dispatch's answer */
	BH__EventStream events;   /* events that the caller has */
	uint64_t dispatch_events; /* those that the current dispatch gave */
	char first_id[BH__EVENT_ID_LEN]; /* id of the first of them; empty: none */
	uint64_t dispatch_bytes;         /* bytes that the current dispatch gave */
	size_t comment_bytes;            /* of comments since its last event */
} BH__AnswerAssembly;

void bh__answer_head_set_origin(BH__AnswerHead *head, const char *request_id, const char *named_id,
								bool has_proof);
bool bh__answer_head_is_foreign(const BH__AnswerHead *head);
void bh__answer_assembly_init(BH__AnswerAssembly *a, bool streams);
void bh__answer_assembly_process_dispatch(BH__AnswerAssembly *a);
BH__HeadVerdict bh__answer_assembly_process_head(BH__AnswerAssembly *a, const BH__AnswerHead *head);
BH__EventState bh__answer_assembly_process_event(BH__AnswerAssembly *a, const char *data, size_t len,
												 size_t *event_len);
bool bh__answer_assembly_can_resume(const BH__AnswerAssembly *a);
void bh__answer_assembly_note_forwarded(BH__AnswerAssembly *a, size_t len);
BH__DispatchEnd bh__answer_assembly_get_end(const BH__AnswerAssembly *a, BH__TransferEnd end, int status,
											size_t buffered);

#endif
