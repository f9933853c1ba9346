/* SPDX-License-Identifier: BSD-3-Clause */
/* Evidence of outages of the platform's store. */
#include "bayhoist/outage.h"

/* No entry expires in an outage shorter than this, because an endpoint has to miss three check-ins. */
#define OUTAGE_MIN_US_ (1500 * BH__MS_US)
/* A read that ends later than this after its time-out shows that this node was not running meanwhile. */
#define SUSPENDED_AFTER_US_ (300 * BH__MS_US)

/* Records that a platform read sent at `sent_us` with a time-out of `timeout_us` was not answered. A read
 * that ends long after its time-out is ignored, since this node was suspended. */
void bh__outage_note_read_failed(BH__Outage *o, uint64_t sent_us, uint64_t timeout_us, uint64_t now_us)
{
	if (now_us <= sent_us + timeout_us + SUSPENDED_AFTER_US_)
		o->seen_us = now_us;
}

/* Records that several other nodes have reported that the store does not answer them either. */
void bh__outage_note_others_out_of_sync(BH__Outage *o, uint64_t now_us)
{
	o->seen_us = now_us;
}

/* Returns the time from which an endpoint counts as gone when a platform read that ends at `now_us` finds its
 * entry missing. `as_of_us` is the time of the latest platform read, by this node or another one, whose
 * result this node holds. After an outage the endpoint gets a grace period in which it can write its entry
 * again. When only a node's own reads were counted, a node that had not read for long kept endpoints for
 * those two seconds although all other nodes knew that they had left. */
uint64_t bh__outage_get_gone_at_us(const BH__Outage *o, uint64_t as_of_us, uint64_t now_us)
{
	bool had_outage = as_of_us && o->seen_us > as_of_us && now_us > as_of_us + OUTAGE_MIN_US_;

	return had_outage ? now_us + BH__OUTAGE_GRACE_US : now_us;
}
