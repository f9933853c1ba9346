/* SPDX-License-Identifier: BSD-3-Clause */
/* How long a model engine takes: it works in passes, in which every running stream gains a run of tokens and
 * the prompts that wait are read. All figures come from the configuration of the service. */
#ifndef BAYHOIST_ENGINE_MODEL_H
#define BAYHOIST_ENGINE_MODEL_H

#include "bayhoist/types.h"

typedef struct {
	uint32_t slots;            /* requests that it works on at a time */
	uint64_t kv_tokens;        /* tokens of context that its memory holds */
	uint32_t steps_per_pass;   /* token steps of a pass in which a stream is written */
	uint32_t tokens_per_step;  /* prompt tokens that are read beside one token step, at most */
	double step_ms;            /* a token step */
	double per_stream_ms;      /* more for each stream written in it */
	double per_kilotoken_ms;   /* more for each thousand tokens of a stream's context */
	double read_tokens_per_ms; /* prompt tokens read in a millisecond */
	double per_megapair_ms;    /* more for each million pairs of a token and one before it */
	double hop_ms;             /* more in a step for a stream whose prompt helpers hold */
	double report_lag_ms;      /* age of what an engine says of itself */
} BH__EngineModel;

void bh__engine_model_init(BH__EngineModel *m);
double bh__engine_model_read_ms(const BH__EngineModel *m, uint64_t prompt_tokens, unsigned parts);
double bh__engine_model_step_ms(const BH__EngineModel *m, unsigned streams, uint64_t context_tokens);
double bh__engine_model_pass_ms(const BH__EngineModel *m, unsigned streams, uint64_t context_tokens);

#endif
