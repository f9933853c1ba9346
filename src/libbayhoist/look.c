/* SPDX-License-Identifier: BSD-3-Clause */
/* The time of looks at a store that may be away. */
#include "bayhoist/look.h"

#include <glib.h>

/* Of the time in which a change is to be in force everywhere: what others tell is usually younger, and what
 * is left is enough for a look and for taking up what it shows. */
#define OLD_SHARE_ 0.8

/* Returns the age from which on a node that does not read for others looks at the configuration itself; a
 * change is to be in force everywhere within `bound_us`. One that reads the endpoints itself, since no peer
 * told it of them, hears nothing of the configuration either: it looks once a period, as a reader does. With
 * the whole bound for an age, nodes that were left alone took a change up 60 ms after it. */
uint64_t bh__look_get_old_us(uint64_t bound_us, uint64_t period_us, bool reads_itself)
{
	return reads_itself ? period_us : (uint64_t)((double)bound_us * OLD_SHARE_);
}

/* Returns true, and takes it for made, if a look may be made now. `answered_us` is when the latest look was
 * sent that was answered. With `steady` the store is known to answer somebody, or others wait for this node:
 * it looks once a period. */
bool bh__look_process(BH__Look *l, uint64_t period_us, uint64_t answered_us, bool steady, uint64_t now_us)
{
	bool failed = l->sent_us && answered_us < l->sent_us;

	if (!failed || steady)
		l->backoff_us = period_us;
	if (l->sent_us && now_us < l->sent_us + MAX(l->backoff_us, period_us))
		return false;
	if (failed)
		l->backoff_us = MIN(l->backoff_us * 2, BH__LOOK_BACKOFF_MAX_US);
	l->sent_us = now_us;
	return true;
}
