/* SPDX-License-Identifier: BSD-3-Clause */
/* Detection of an unresponsive node from requests that time out. */
#include "bayhoist/response_monitor.h"

/* Resets the count of timed-out requests. Called when a message from the node arrives or another node takes
 * its place. */
void bh__response_monitor_reset(BH__ResponseMonitor *s)
{
	s->timeout_count = 0;
	s->unresponsive_since_us = 0;
}

/* Records that a request to the node was abandoned without a response. Returns whether the node is to be
 * suspected now; if so, also resets the count. */
bool bh__response_monitor_record_timeout(BH__ResponseMonitor *s, uint64_t now_us)
{
	if (s->timeout_count++ == 0)
		s->unresponsive_since_us = now_us;
	if (s->timeout_count < BH__RESPONSE_MONITOR_REQUESTS ||
		now_us < s->unresponsive_since_us + BH__RESPONSE_MONITOR_MIN_US)
		return false;
	bh__response_monitor_reset(s);
	return true;
}
