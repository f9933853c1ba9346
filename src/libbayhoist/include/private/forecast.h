/* SPDX-License-Identifier: BSD-3-Clause */
/* Forecasts for a pool: the speed of its engines, the split of its load between short and long prompts, and
 * how long a request is going to wait and run. */
#ifndef BAYHOIST_PRIVATE_FORECAST_H
#define BAYHOIST_PRIVATE_FORECAST_H

#include "engines.h"
#include "queue.h"

typedef struct {
	double mix_tokens[BH__LANE_COUNT]; /* arrived tokens by lane, with exponential decay */
	uint64_t mix_updated_us;           /* time of the last arrival; 0: none yet */
	uint64_t rates_updated_us;         /* time at which the fields below were computed; 0: never */
	double tokens_per_us;              /* mean prefill rate of a usable engine */
	unsigned usable_engines;           /* estimated number of usable engines in the pool */
	uint64_t token_us;                 /* mean time of a usable engine for one output token */
} BH__Forecast;

void bh__forecast_note_arrival(BH__Forecast *f, BH__Lane lane, uint64_t tokens, uint64_t now_us);
unsigned bh__forecast_get_long_cap(const BH__Forecast *f, const BH__Engines *engines,
								   const BH__Policy *policy);
uint64_t bh__forecast_get_wait_us(BH__Forecast *f, const BH__Engines *engines, const BH__Policy *policy,
								  const BH__Queue *queue, BH__Lane lane, uint64_t now_us);
uint64_t bh__forecast_get_run_us(BH__Forecast *f, const BH__Engines *engines, const BH__Ask *ask,
								 uint64_t now_us);

#endif
