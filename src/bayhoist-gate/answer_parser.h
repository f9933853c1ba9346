/* SPDX-License-Identifier: BSD-3-Clause */
/* Parser of one HTTP/1 answer of an endpoint. */
#ifndef BAYHOIST_GATE_ANSWER_PARSER_H
#define BAYHOIST_GATE_ANSWER_PARSER_H

#include "gate.h"

typedef struct AnswerParser AnswerParser;

typedef enum {
	ANSWER_INCOMPLETE, /* more is to come, or the owner has ended the parser */
	ANSWER_COMPLETE,   /* the answer has been read to its end; bytes after it belong to no request */
	ANSWER_BAD         /* what was read is no answer */
} AnswerStatus;

/* Receivers of the head of the final answer and of each part of its body. */
typedef struct {
	void (*on_head)(void *ctx, const OutboundHead *head);
	void (*on_body)(void *ctx, const char *data, size_t len);
} AnswerCallbacks;

AnswerParser *answer_parser_new(Gate *g, bool no_body, const AnswerCallbacks *cb, void *ctx);
void answer_parser_delete(AnswerParser *a);
bool answer_parser_is_in_head(const AnswerParser *a);
const char *answer_parser_get_cause(const AnswerParser *a);
void answer_parser_end(AnswerParser *a);
AnswerStatus answer_parser_read(AnswerParser *a, struct evbuffer *input);
AnswerStatus answer_parser_finish(AnswerParser *a);

#endif
