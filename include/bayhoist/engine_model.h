/* SPDX-License-Identifier: BSD-3-Clause */
/* A timing model of an inference engine. The engine works in iterations; in each of them every running stream
 * gains a run of tokens and the engine prefills the waiting prompts. All parameters come from the
 * configuration of the service. */
#ifndef BAYHOIST_ENGINE_MODEL_H
#define BAYHOIST_ENGINE_MODEL_H

#include "bayhoist/types.h"

typedef struct {
	uint32_t slots;               /* requests that the engine processes concurrently */
	uint64_t kv_tokens;           /* capacity of the KV cache in tokens */
	uint32_t steps_per_iteration; /* decode steps of an iteration with at least one stream */
	uint32_t tokens_per_step;     /* maximum of prompt tokens prefilled along with one decode step */
	double step_ms;               /* base time of a decode step */
	double per_stream_ms;         /* added to a decode step for each stream */
	double per_kilotoken_ms;      /* added to a decode step for each thousand context tokens of its streams */
	double prefill_tokens_per_ms; /* prompt tokens prefilled in a millisecond */
	double per_megapair_ms;       /* added to the prefill for each million attention pairs */
	double hop_ms;                /* added to a decode step for a stream with part of its prompt on helpers */
	double report_lag_ms;         /* age of the load that an engine reports */
} BH__EngineModel;

void bh__engine_model_init(BH__EngineModel *m);
double bh__engine_model_prefill_ms(const BH__EngineModel *m, uint64_t prompt_tokens, unsigned parts);
double bh__engine_model_step_ms(const BH__EngineModel *m, unsigned streams, uint64_t context_tokens);
double bh__engine_model_iteration_ms(const BH__EngineModel *m, unsigned streams, uint64_t context_tokens);

#endif
