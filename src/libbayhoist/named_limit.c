/* SPDX-License-Identifier: BSD-3-Clause */
/* Limits that endpoints name in their answers. */
#include "bayhoist/named_limit.h"

#include <glib.h>

/* An answer that was read at `heard_us` names a limit. Returns true if that changes what is known; older
 * news than is known changes nothing. */
bool bh__named_limit_hear(BH__NamedLimit *l, double per_s, uint64_t heard_us)
{
	bool changes = !l->in_force || l->per_s != per_s;

	if (heard_us < l->heard_us)
		return false;
	l->in_force = true;
	l->per_s = per_s;
	l->heard_us = heard_us;
	return changes;
}

/* The answer to a request that was sent at `sent_us` names none. Returns true if the limit has ended by that.
 */
bool bh__named_limit_hear_none(BH__NamedLimit *l, uint64_t sent_us)
{
	if (!l->in_force || sent_us <= l->heard_us)
		return false;
	l->in_force = false;
	return true;
}
