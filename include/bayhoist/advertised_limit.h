/* SPDX-License-Identifier: BSD-3-Clause */
/* The rate limit that an endpoint advertises in its answers: the requests per second that it accepts from all
 * nodes together. The limit ends when an answer does not repeat it. Answers may be read in another order than
 * the endpoint made them, so only the answer to a request that was sent after the limit was last received
 * shows that the limit has ended. */
#ifndef BAYHOIST_ADVERTISED_LIMIT_H
#define BAYHOIST_ADVERTISED_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	bool in_force;
	double per_s;         /* requests per second; valid while in_force */
	uint64_t received_us; /* when the last answer with a limit was read; 0: never */
} BH__AdvertisedLimit;

bool bh__advertised_limit_receive(BH__AdvertisedLimit *l, double per_s, uint64_t received_us);
bool bh__advertised_limit_receive_none(BH__AdvertisedLimit *l, uint64_t sent_us);

#endif
