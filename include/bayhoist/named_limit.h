/* SPDX-License-Identifier: BSD-3-Clause */
/* The rate limit that an endpoint advertises in its answers: the requests per second that it accepts from all
 * nodes together. The limit ends when an answer does not repeat it. Answers may be read in another order than
 * the endpoint made them, so only the answer to a request that was sent after the limit was last received
 * shows that the limit has ended. */
#ifndef BAYHOIST_NAMED_LIMIT_H
#define BAYHOIST_NAMED_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	bool in_force;
	double per_s;      /* requests per second; valid while in_force */
	uint64_t heard_us; /* when the last answer with a limit was read; 0: never */
} BH__NamedLimit;

bool bh__named_limit_hear(BH__NamedLimit *l, double per_s, uint64_t heard_us);
bool bh__named_limit_hear_none(BH__NamedLimit *l, uint64_t sent_us);

#endif
