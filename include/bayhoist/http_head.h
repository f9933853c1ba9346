/* SPDX-License-Identifier: BSD-3-Clause */
/* Checks the head of an HTTP/1 message, or the trailers behind a chunked body, byte by byte, ahead of a
 * parser that lets more pass: what one reader takes for a part of a name is a framing, an id or a proof to
 * another. The grammar is that of RFC 9110 (section 5) and RFC 9112 (sections 2 to 5). */
#ifndef BAYHOIST_HTTP_HEAD_H
#define BAYHOIST_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
	BH__HTTP_HEAD_ANSWER,  /* a status line and fields */
	BH__HTTP_HEAD_REQUEST, /* a request line and fields; empty lines may come first */
	BH__HTTP_HEAD_TRAILERS /* fields only */
} BH__HttpHeadKind;

typedef enum {
	BH__HTTP_HEAD_INCOMPLETE, /* all bytes are sound, and more are to come */
	BH__HTTP_HEAD_COMPLETE,   /* the blank line that ends it has been read */
	BH__HTTP_HEAD_BAD         /* it is none, see `cause` */
} BH__HttpHeadState;

/* One head that is being checked. */
typedef struct {
	BH__HttpHeadKind kind;
	BH__HttpHeadState state;
	int part;          /* where in the head the next byte stands, see http_head.c */
	bool after_cr;     /* the last byte was a CR, so that the next one ends the line */
	uint32_t line_len; /* bytes of the status or request line so far */
	uint32_t status;   /* of an answer; valid once its status line has been read */
	const char *cause; /* of BH__HTTP_HEAD_BAD */
} BH__HttpHead;

void bh__http_head_init(BH__HttpHead *h, BH__HttpHeadKind kind);
BH__HttpHeadState bh__http_head_process(BH__HttpHead *h, const char *data, size_t len, size_t *used);

#endif
