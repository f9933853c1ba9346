/* SPDX-License-Identifier: BSD-3-Clause */
/* A limit that an endpoint names in its answers: the requests a second that it takes of all nodes together,
 * for as long as it says so. Answers are read in another order than they were made, so that only one to a
 * request which was sent after the limit was last heard shows that it has ended. */
#ifndef BAYHOIST_NAMED_LIMIT_H
#define BAYHOIST_NAMED_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	bool in_force;
	double per_s;      /* while it is in force */
	uint64_t heard_us; /* when an answer was last read that named it */
} BH__NamedLimit;

bool bh__named_limit_hear(BH__NamedLimit *l, double per_s, uint64_t heard_us);
bool bh__named_limit_hear_none(BH__NamedLimit *l, uint64_t sent_us);

#endif
