/* SPDX-License-Identifier: BSD-3-Clause */
/* Rate limits that endpoints advertise in their answers. */
#include "bayhoist/advertised_limit.h"

#include <glib.h>

/* Merges a limit of `per_s` requests per second from an answer that was read at `received_us`. Returns true
 * if the limit has changed. A limit from an older answer than the last one is ignored. */
bool bh__advertised_limit_receive(BH__AdvertisedLimit *l, double per_s, uint64_t received_us)
{
	bool is_change = !l->in_force || l->per_s != per_s;

	if (received_us < l->received_us)
		return false;
	l->in_force = true;
	l->per_s = per_s;
	l->received_us = received_us;
	return is_change;
}

/* Handles an answer without a limit to a request that was sent at `sent_us`. Returns true if this ends the
 * limit. */
bool bh__advertised_limit_receive_none(BH__AdvertisedLimit *l, uint64_t sent_us)
{
	if (!l->in_force || sent_us <= l->received_us)
		return false;
	l->in_force = false;
	return true;
}
