/* SPDX-License-Identifier: BSD-3-Clause */
/* Forecasts of the load and of the waiting and run times of a pool. */
#include "forecast.h"

#include <math.h>

#define MIX_DECAY_US_ (30.0 * 1e6) /* time constant of the decay of the load mix */
#define LONG_SHARE_MARGIN_ 1.25
#define RATE_SAMPLE_MAX_ 32u /* a sample is enough, as the engines of a pool are alike */
#define RATES_VALID_US_ (50 * BH__MS_US)

static void update_rates_(BH__Forecast *f, const BH__Engines *engines, uint64_t now_us);

/* Adds `tokens` that arrive in a lane to the load mix, after decaying what arrived earlier. */
void bh__forecast_note_arrival(BH__Forecast *f, BH__Lane lane, uint64_t tokens, uint64_t now_us)
{
	double keep = exp(-(double)(now_us - f->mix_updated_us) / MIX_DECAY_US_);

	for (int i = 0; i < BH__LANE_COUNT; i++)
		f->mix_tokens[i] *= keep;
	f->mix_updated_us = now_us;
	f->mix_tokens[lane] += (double)tokens;
}

/* Computes the mean rates of the usable engines from a sample of the pool. Does nothing while the last result
 * is less than RATES_VALID_US_ old. */
static void update_rates_(BH__Forecast *f, const BH__Engines *engines, uint64_t now_us)
{
	unsigned sampled = MIN(bh__engines_get_count(engines), RATE_SAMPLE_MAX_);
	unsigned usable = 0;

	if (f->rates_updated_us && now_us < f->rates_updated_us + RATES_VALID_US_)
		return;
	f->rates_updated_us = now_us;
	f->tokens_per_us = 0;
	f->token_us = 0;
	f->usable_engines = 0;
	for (unsigned i = 0; i < sampled; i++) {
		const BH__Engine *e = bh__engines_get(engines, i);
		if (!bh__engine_is_usable(e))
			continue;
		f->tokens_per_us += e->prefill_tokens_per_us;
		f->token_us += e->token_us;
		usable++;
	}
	if (!usable)
		return;
	f->usable_engines = usable * bh__engines_get_count(engines) / sampled;
	f->tokens_per_us /= usable;
	f->token_us /= usable;
}

/* Returns how many engines may process long prompts at the same time: the share of long prompts in the recent
 * load, plus a margin, within the bounds of the policy. The result is at least 1. */
unsigned bh__forecast_get_long_cap(const BH__Forecast *f, const BH__Engines *engines,
								   const BH__Policy *policy)
{
	double sum = f->mix_tokens[BH__LANE_SHORT] + f->mix_tokens[BH__LANE_LONG];
	double share = sum > 0 ? f->mix_tokens[BH__LANE_LONG] / sum * LONG_SHARE_MARGIN_ : 0;
	unsigned cap;

	share = CLAMP(share, policy->min_long_share, policy->long_share);
	cap = (unsigned)(share * bh__engines_get_count(engines) + 0.5);
	return MAX(cap, 1);
}

/* Returns how many microseconds a new request of a lane would wait for the work queued ahead of it; 0 also if
 * no engine is usable. */
uint64_t bh__forecast_get_wait_us(BH__Forecast *f, const BH__Engines *engines, const BH__Policy *policy,
								  const BH__Queue *queue, BH__Lane lane, uint64_t now_us)
{
	unsigned servers;

	update_rates_(f, engines, now_us);
	servers = lane == BH__LANE_LONG ? MIN(bh__forecast_get_long_cap(f, engines, policy), f->usable_engines)
									: f->usable_engines;
	if (!servers)
		return 0;
	return (uint64_t)((double)bh__queue_get_work(queue, lane) / (f->tokens_per_us * servers));
}

/* Returns the expected microseconds from the grant to the last token of the answer. The prefill counts as 0
 * if no engine is usable. */
uint64_t bh__forecast_get_run_us(BH__Forecast *f, const BH__Engines *engines, const BH__Ask *ask,
								 uint64_t now_us)
{
	uint64_t prefill_us;

	update_rates_(f, engines, now_us);
	prefill_us = f->usable_engines ? (uint64_t)((double)ask->prompt_tokens / f->tokens_per_us) : 0;
	return prefill_us + ask->max_tokens * f->token_us;
}
