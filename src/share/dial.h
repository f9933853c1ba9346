/* SPDX-License-Identifier: BSD-3-Clause */
/* Whether somebody listens at an address: a connection that is opened and closed again. */
#ifndef BAYHOIST_GATE_DIAL_H
#define BAYHOIST_GATE_DIAL_H

#include <event2/event.h>

typedef enum {
	DIAL_CONNECTED,
	DIAL_REFUSED, /* the machine answers, and nobody listens there */
	DIAL_SILENT   /* no answer came, or none that tells */
} DialEnd;

typedef struct Dial Dial;

Dial *dial_start(struct event_base *base, const char *address, void (*done)(void *ctx, DialEnd end),
				 void *ctx);
void dial_cancel(Dial *d);

#endif
