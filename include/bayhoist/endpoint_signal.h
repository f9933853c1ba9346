/* SPDX-License-Identifier: BSD-3-Clause */
/* Signals that endpoints give of themselves in the heads of their answers, beside what the platform tells of
 * them. Each is a number in a header; what is done about it is decided where it is taken. */
#ifndef BAYHOIST_ENDPOINT_SIGNAL_H
#define BAYHOIST_ENDPOINT_SIGNAL_H

#include "bayhoist/types.h"

typedef enum {
	BH__SIGNAL_LIMIT,   /* requests a second that it takes of all nodes together */
	BH__SIGNAL_LEAVING, /* not 0: it leaves, and nothing new is to go there */
	BH__SIGNAL_BACKOFF, /* seconds for which it wants nothing of the node that it answers */
	BH__SIGNAL_KIND_COUNT
} BH__SignalKind;

extern const char *const BH__SignalKindString[];

typedef enum {
	BH__SIGNAL_ABSENT,
	BH__SIGNAL_GIVEN,
	BH__SIGNAL_UNREADABLE /* the header is there, and its value is no number or a negative one */
} BH__SignalState;

typedef struct {
	BH__SignalState state;
	double value;  /* if it is given */
	char text[24]; /* as it came, cut short; for the log */
} BH__Signal;

void bh__signal_read(BH__Signal *s, BH__SignalKind kind, const char *value, double max);

#endif
