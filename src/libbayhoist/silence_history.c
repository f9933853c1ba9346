/* SPDX-License-Identifier: BSD-3-Clause */
#include "bayhoist/silence_history.h"

/* For so long after a silence another one is expected. */
#define EXPECTED_US_ (60 * BH__SECOND_US)

/* Returns by how much a gap in an answer, or the wait for its beginning, exceeds what the work of an endpoint
 * explains, in microseconds: half of the time for which one may be silent; 0 if it does not. */
uint64_t bh__silence_get_excess_us(uint64_t gap_us, uint64_t max_wait_us)
{
	return gap_us > max_wait_us / 2 ? gap_us - max_wait_us / 2 : 0;
}

/* Records a silence that has ended now. */
void bh__silence_history_record(BH__SilenceHistory *h, uint64_t silence_us, uint64_t now_us)
{
	if (silence_us < bh__silence_history_get_longest_us(h, now_us))
		return;
	h->longest_us = silence_us;
	h->ended_us = now_us;
}

/* Returns the longest silence of the last minute, in microseconds; 0: none. */
uint64_t bh__silence_history_get_longest_us(const BH__SilenceHistory *h, uint64_t now_us)
{
	return now_us < h->ended_us + EXPECTED_US_ ? h->longest_us : 0;
}
