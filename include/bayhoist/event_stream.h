/* SPDX-License-Identifier: BSD-3-Clause */
/* Server-sent events received from an endpoint. Finds the ends of events, so that only complete ones are
 * relayed, and tracks their ids, so that a stream can resume at another endpoint without a gap or a
 * duplicate. */
#ifndef BAYHOIST_EVENT_STREAM_H
#define BAYHOIST_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BH__EVENT_ID_LEN 64 /* size of the longest id that a stream can resume from, with the NUL */

/* State of one stream; all zero at its start. */
typedef struct {
	char first_id[BH__EVENT_ID_LEN]; /* id of the first event with one that was relayed; empty: none */
	char last_id[BH__EVENT_ID_LEN];  /* id of the last one; empty: none */
	uint64_t events;                 /* number of events relayed so far */
	uint64_t numbered;               /* those with an id */
	bool ends_unnumbered;            /* the last one relayed has none */
	bool skips;                      /* an id was not the number after the id before it */
} BH__EventStream;

/* What to do with the event at the start of a buffer. */
typedef enum {
	BH__EVENT_INCOMPLETE, /* wait for more data: its end is not in the buffer */
	BH__EVENT_RELAY,      /* relay it */
	BH__EVENT_COMMENT,    /* relay it: it is no event, but comments or blank lines */
	BH__EVENT_DUPLICATE,  /* drop it: its id is not later than that of the last event relayed */
	BH__EVENT_FOREIGN     /* it does not belong to the stream, which can't go on with what follows either */
} BH__EventState;

/* The event at the start of a buffer, as it was read. */
typedef struct {
	size_t len;                /* bytes with the blank line that ends it; 0: that is not in the buffer */
	char id[BH__EVENT_ID_LEN]; /* empty: none */
	bool has_fields;           /* false: comments and blank lines only */
	bool is_well_formed;       /* each line is a field or a comment */
} BH__EventText;

void bh__event_text_read(BH__EventText *e, const char *data, size_t len);
BH__EventState bh__event_stream_parse(BH__EventStream *s, const char *data, size_t len, size_t *event_len);
BH__EventState bh__event_stream_process(BH__EventStream *s, const BH__EventText *e);
bool bh__event_stream_is_continued_by(const BH__EventStream *s, const BH__EventText *e);
bool bh__event_stream_can_resume(const BH__EventStream *s);

#endif
