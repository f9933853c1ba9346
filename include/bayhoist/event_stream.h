/* SPDX-License-Identifier: BSD-3-Clause */
/* Server-sent events as they come from an endpoint: finds where whole events end, so that only whole ones are
 * passed on, and follows their ids, so that a stream can go on elsewhere without a gap or a repeat. */
#ifndef BAYHOIST_EVENT_STREAM_H
#define BAYHOIST_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BH__EVENT_ID_LEN 64 /* longest event id that a stream can go on from, with its terminator */

typedef struct {
	char last_id[BH__EVENT_ID_LEN]; /* of the last event that was passed on; empty: none had one */
	uint64_t events;                /* passed on so far */
} BH__EventStream;

/* What becomes of the event at the start of a buffer. */
typedef enum {
	BH__EVENT_INCOMPLETE, /* its end has not come */
	BH__EVENT_NEXT,       /* to be passed on */
	BH__EVENT_SEEN        /* not later than the last one that was passed on: to be dropped */
} BH__EventState;

BH__EventState bh__event_stream_take(BH__EventStream *s, const char *data, size_t len, size_t *event_len);

#endif
