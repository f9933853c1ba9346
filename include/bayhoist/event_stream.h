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
	char last_id[BH__EVENT_ID_LEN]; /* id of the last event with one that was relayed; empty: none */
	uint64_t events;                /* number of events relayed so far */
} BH__EventStream;

/* What to do with the event at the start of a buffer. */
typedef enum {
	BH__EVENT_INCOMPLETE, /* wait for more data: its end is not in the buffer */
	BH__EVENT_RELAY,      /* relay it */
	BH__EVENT_DUPLICATE   /* drop it: its id is not later than that of the last event relayed */
} BH__EventState;

BH__EventState bh__event_stream_parse(BH__EventStream *s, const char *data, size_t len, size_t *event_len);

#endif
