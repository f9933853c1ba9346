/* SPDX-License-Identifier: BSD-3-Clause */
/* Signals that endpoints send about themselves in the headers of their answers, in addition to what the
 * platform reports about them. Each signal is a number in a header. This module only parses them. */
#ifndef BAYHOIST_ENDPOINT_SIGNAL_H
#define BAYHOIST_ENDPOINT_SIGNAL_H

#include "bayhoist/types.h"

typedef enum {
	BH__SIGNAL_LIMIT,   /* requests per second that the endpoint accepts from all nodes together */
	BH__SIGNAL_LEAVING, /* not 0: the endpoint shuts down and accepts no new requests */
	BH__SIGNAL_BACKOFF, /* seconds for which the answered node should send no requests */
	BH__SIGNAL_SILENCE, /* in no answer: nodes that get none tell each other, see bayhoist/silence.h */
	BH__SIGNAL_KIND_COUNT
} BH__SignalKind;

/* Names by BH__SignalKind. */
extern const char *const BH__SignalKindString[];

typedef enum {
	BH__SIGNAL_ABSENT,  /* the answer has no such header */
	BH__SIGNAL_PRESENT, /* the answer has a valid value */
	BH__SIGNAL_INVALID  /* the value is not a number, or it is negative */
} BH__SignalState;

typedef struct {
	BH__SignalState state;
	double value;  /* in the unit of the kind; 0 unless the state is BH__SIGNAL_PRESENT */
	char text[24]; /* header value as received, truncated; for the log */
} BH__Signal;

void bh__signal_parse(BH__Signal *s, BH__SignalKind kind, const char *value, double max);

#endif
