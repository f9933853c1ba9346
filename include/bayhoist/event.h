/* SPDX-License-Identifier: BSD-3-Clause */
/* Events of a node. Each is written as one log line; timelines over all processes are built from these. */
#ifndef BAYHOIST_EVENT_H
#define BAYHOIST_EVENT_H

#include "bayhoist/types.h"

typedef enum {
	BH__EVENT_MEMBER,
	BH__EVENT_DUTY,
	BH__EVENT_CONFIG,
	BH__EVENT_REQUEST,
	BH__EVENT_GRANT,
	BH__EVENT_ATTEMPT,
	BH__EVENT_RETRY,
	BH__EVENT_FINISH,
	BH__EVENT_ORPHAN,
	BH__EVENT_ENDPOINT,
	BH__EVENT_ORDER,
	BH__EVENT_STORE,
	BH__EVENT_NODE,
	BH__EVENT_QUARANTINE
} BH__EventType;

extern const char *const BH__EventTypeString[];

typedef struct {
	BH__EventType type;
	uint64_t request_id; /* 0: none */
	uint64_t attempt_id; /* 0: none */
	const char *subject; /* name of a node, endpoint, pool, ...; may be NULL */
	const char *what;    /* one word for what happened */
	uint64_t value;      /* a count, revision or time, depending on `type` and `what` */
} BH__Event;

#endif
