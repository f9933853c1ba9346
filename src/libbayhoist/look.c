/* SPDX-License-Identifier: BSD-3-Clause */
/* The time of looks at a store that may be away. */
#include "bayhoist/look.h"

#include <glib.h>

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
