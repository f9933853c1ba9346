/* SPDX-License-Identifier: BSD-3-Clause */
/* Events of a node: one log line each, and the time line over all processes. */
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
	uint64_t request_id; /* 0: none, and so for the other ids */
	uint64_t attempt_id;
	const char *subject; /* name of a node, endpoint, pool, ...; may be NULL */
	const char *what;    /* what happened, one word */
	uint64_t value;
} BH__Event;

#endif
