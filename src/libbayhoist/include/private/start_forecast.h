/* SPDX-License-Identifier: BSD-3-Clause */
/* A forecast of when waiting prompts can start: a copy of the planner's ledger that is moved forward in time
 * and on which the prompts are placed by the same rules as on the ledger itself.
 *
 * Streams of long prompts end in the copy after their mean duration, and their memory and engines become
 * free. Other streams stay, since their requests arrive so often that new ones replace those that end. */
#ifndef BAYHOIST_PRIVATE_START_FORECAST_H
#define BAYHOIST_PRIVATE_START_FORECAST_H

#include "start_rules.h"

typedef struct BH__StartForecast BH__StartForecast;

BH__StartForecast *bh__start_forecast_new(const BH__EngineModel *m, const GPtrArray *engines,
										  const BH__LongWork *long_work, uint64_t long_stream_us,
										  uint64_t now_us);
void bh__start_forecast_delete(BH__StartForecast *f);
void bh__start_forecast_advance(BH__StartForecast *f, uint64_t to_us);
bool bh__start_forecast_place(BH__StartForecast *f, const BH__Ask *ask, uint64_t arrived_us);

#endif
